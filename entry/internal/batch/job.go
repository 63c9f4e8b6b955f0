// Package batch schedules stages and batches their pieces into calls to stage
// targets. One host, the home of a stage service, takes the pieces of all hosts,
// orders them and packs them into calls, since a call costs about the same for one
// piece as for many.
package batch

import (
	"time"

	"chivepost/share/fleet"
)

// Job holds all pieces of one stage of one request.
type Job struct {
	ID          string
	Request     string
	Class       string // pieces of the same class take about the same time
	Stage       int
	Pieces      int
	Key         string
	Inputs      []string
	TimeLeft    time.Duration // after this the pieces are of no use
	DueIn       time.Duration // after this the request can't be on time
	Priority    int
	RankDelay   time.Duration // added to the due time for comparison
	DataCentre  string        // where the final results are needed
	Regions     []string
	ResultBytes int64
	Readers     int              // pieces of later stages that read each result; 0: the request itself reads them
	InputBytes  map[string]int64 // bytes that each piece reads, by data centre
	Partial     []string         // handles of finished pieces, by number; "" for pieces to run
}

// Order holds all stages of one request.
type Order struct {
	ID           string          `cbor:"id"` // unique over all hosts
	Request      string          `cbor:"request"`
	Route        string          `cbor:"route"`
	Stages       []fleet.Stage   `cbor:"stages"`
	Pieces       []int           `cbor:"pieces"` // of each stage; 0: the stage is skipped
	Key          string          `cbor:"key"`
	TimeLeft     time.Duration   `cbor:"time_left"`           // after this the results are of no use
	DueIn        time.Duration   `cbor:"due_in"`              // after this the request can't be on time
	Objective    time.Duration   `cbor:"objective,omitempty"` // latency objective of the route
	Priority     int             `cbor:"priority"`            // of the client account, or else of the route
	Rank         int             `cbor:"rank,omitempty"`      // of the route; 0 is the most urgent
	DataCentre   string          `cbor:"data_centre"`         // where the final results are needed
	Regions      []string        `cbor:"regions,omitempty"`
	OriginRegion string          `cbor:"from,omitempty"`    // region of the host that received the request
	Region       string          `cbor:"region,omitempty"`  // region whose targets are used; empty: all
	Moved        bool            `cbor:"moved,omitempty"`   // handed over by the home of another region
	Progress     []StageProgress `cbor:"made,omitempty"`    // by stage, at the previous home
	Session      string          `cbor:"session,omitempty"` // requests of a session share a prefix of their prompts
	PrefixTokens int             `cbor:"shared,omitempty"`  // tokens of that prefix
	Service      string          `cbor:"service,omitempty"` // of the request itself
	// SessionTokens are the tokens of the prefix that only the session shares, and OwnTokens
	// those of the rest of the prompt but for parts that most requests of the service have.
	SessionTokens int `cbor:"session_tokens,omitempty"`
	OwnTokens     int `cbor:"own_tokens,omitempty"`
}

// maxStages and maxPieces bound an order: many times the stages of a pipeline, and many full
// calls.
const (
	maxStages = 64
	maxPieces = 10_000
)

// isValid reports whether an order can be run: its numbers are in their ranges and its stages
// follow stages that exist.
func (o *Order) isValid() bool {
	sum := 0
	for _, n := range o.Pieces {
		if n < 0 || n > maxPieces {
			return false
		}
		sum += n
	}
	for i, s := range o.Stages {
		for _, a := range s.After {
			if a < 0 || a >= len(o.Stages) || a == i {
				return false
			}
		}
	}
	return sum <= maxPieces && len(o.Stages) <= maxStages && len(o.Pieces) <= maxStages
}

// SessionTarget is the target that a request of a session went to.
type SessionTarget struct {
	Session    string `cbor:"session"`
	Target     string `cbor:"target"`
	DataCentre string `cbor:"data_centre"`
	Region     string `cbor:"region"`
}

// StageProgress holds the results so far of a stage.
type StageProgress struct {
	IsDone  bool     `cbor:"is_done"`
	Handles []string `cbor:"handles,omitempty"` // empty once no stage needs them; "" for missing ones of a running stage
	Starts  []int64  `cbor:"starts,omitempty"`  // of the makers of Handles, on the wire
}

// Reason is why a job or an order ended without results.
type Reason string

// Reasons of a Result.
const (
	ReasonNone    Reason = ""
	ReasonBusy    Reason = "busy"    // it can't be done in time
	ReasonLate    Reason = "late"    // its time has run out
	ReasonGone    Reason = "gone"    // an input no longer exists
	ReasonFailed  Reason = "failed"  // targets failed too often
	ReasonUnknown Reason = "unknown" // this host doesn't know the order
	ReasonDropped Reason = "dropped" // the caller has left
	ReasonMoved   Reason = "moved"   // the home of another region can serve it better
)

// Result is the outcome of a job or an order. On success, Handles has an entry for
// each piece of the job, or for each piece of the order's last stages, whose results
// no other stage reads.
type Result struct {
	IsDone       bool            `cbor:"is_done"`
	Handles      []string        `cbor:"handles,omitempty"`
	Starts       []int64         `cbor:"starts,omitempty"` // of the makers of Handles, on the wire
	Reason       Reason          `cbor:"reason,omitempty"`
	RetryAfter   time.Duration   `cbor:"retry_after,omitempty"`
	Progress     []StageProgress `cbor:"made,omitempty"`   // by stage, of an order that isn't done
	DataCentre   string          `cbor:"near,omitempty"`   // where the request should run; empty: anywhere
	Region       string          `cbor:"region,omitempty"` // region to hand the order to, with ReasonMoved
	PrefixTarget string          `cbor:"prefer,omitempty"` // target that has the prefix cached; empty: none
	IsPlaced     bool            `cbor:"placed,omitempty"` // PrefixTarget was chosen by the prompts of the region
	Runs         int             `cbor:"runs,omitempty"`   // how often the stages of an order were started
	Wait         time.Duration   `cbor:"wait,omitempty"`   // before the first call; of an order, over all stages
}

// queuedJob is a job in a queue.
type queuedJob struct {
	job            Job
	due            time.Time // late after this
	until          time.Time // of no use after this
	added          time.Time
	started        time.Time // time of the first call; zero: none yet
	todo           []int     // numbers of the pieces to send
	isHeld         bool      // nobody polls for its order
	held           []int     // instead of todo while the job is held
	pending        int       // number of pieces in calls
	handles        []string
	dataCentre     string // data centre of the first call
	bestDataCentre string // data centre where it moves the fewest bytes; empty: all are equal
	leastBytes     int64  // bytes moved there
	failures       int    // failed calls and pieces
	fetched        int    // pieces whose inputs are fetched
	inputsFreed    bool   // the inputs are freed, no piece can be retried
	onFetched      func() bool
	finish         func(Result)
	finished       bool
}

// end reports the result of a job once.
func (j *queuedJob) end(r Result) {
	if j.finished {
		return
	}
	j.finished = true
	r.IsDone = true
	if !j.started.IsZero() {
		r.Wait = j.started.Sub(j.added)
	}
	j.finish(r)
}

// Call is a call to a stage target with a batch of pieces.
type Call struct {
	Target   string
	Address  string
	Start    int64 // StartMillis of the target
	Pieces   []Piece
	Expected time.Duration // expected time, including calls queued before it
	Timeout  time.Duration // the call is cancelled after this

	started       time.Time
	workTime      time.Duration // expected time without the round trip and calls before it
	roundTrip     time.Duration // expected round trip
	isQueued      bool          // another call was running when it was sent
	runningSince  time.Time     // zero: it is queued at the target
	isSpaceTight  bool          // the target may lack space for some results
	inputsFetched bool          // the target has fetched the inputs
	resultBytes   int64
	jobs          []*queuedJob
}

// Piece is one item of a stage's work, as it is sent in a call.
type Piece struct {
	Request  string
	Stage    int
	Number   int
	TimeLeft time.Duration
	Key      string
	Inputs   []string
}

// Outcome is the handle of the result of a piece, or the fault that prevented it.
type Outcome struct {
	Handle string
	Fault  Fault // set if Handle is empty
}

// Fault is why a piece has no result.
type Fault int

// Faults of an Outcome.
const (
	FaultNone    Fault = iota
	FaultLate          // its time had run out at the target
	FaultGone          // an input no longer exists
	FaultNoSpace       // the target has no space for the result
	FaultError         // the piece failed
)

// Failure is why a call as a whole has no valid answer.
type Failure int

// Failures of a Call.
const (
	FailureNone        Failure = iota
	FailureRefused             // the target reported that it is full and ran nothing
	FailureUnreachable         // no connection, or another target has the address
	FailureBroken              // the answer is incomplete or invalid
	FailureTimeout             // no answer within the timeout of the call
	FailureRepeated            // the target gives handles again that it gave before: it has started again
	failureOutlived            // the answer is of another start of the target than the queue knows
)
