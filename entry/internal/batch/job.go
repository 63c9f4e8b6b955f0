// Package batch fills the calls of stage targets. For each stage service one
// host, its home, takes the pieces of all hosts, decides in which order they are
// made and packs them into calls, since a call costs much the same for one piece
// as for many.
package batch

import (
	"time"

	"chivepost/share/fleet"
)

// Job is all pieces of one stage of one request.
type Job struct {
	ID          string
	Request     string
	Class       string // pieces of one class take alike long
	Stage       int
	Pieces      int
	Key         string
	Inputs      []string
	TimeLeft    time.Duration // until the pieces are of no use
	DueIn       time.Duration // until the request can no longer be on time
	Priority    int
	RankDelay   time.Duration // how much later than it is due a job ranks
	DataCentre  string        // where the results of the last stages are wanted
	Regions     []string
	ResultBytes int64
	Readers     int              // pieces of later stages that read each result; 0: the request itself does
	InputBytes  map[string]int64 // what each piece reads, by data centre
	Partial     []string         // results of some pieces, by number; empty ones are to be made
}

// Order is all stages of one request.
type Order struct {
	ID           string          `cbor:"id"` // unique over all hosts
	Request      string          `cbor:"request"`
	Route        string          `cbor:"route"`
	Stages       []fleet.Stage   `cbor:"stages"`
	Pieces       []int           `cbor:"pieces"` // of each stage; 0: the stage is left out
	Key          string          `cbor:"key"`
	TimeLeft     time.Duration   `cbor:"time_left"`      // until the results are of no use
	DueIn        time.Duration   `cbor:"due_in"`         // until the request can no longer be on time
	Priority     int             `cbor:"priority"`       // of the account, or else of the route
	Rank         int             `cbor:"rank,omitempty"` // of the route, 0 is first
	DataCentre   string          `cbor:"data_centre"`    // where results are wanted
	Regions      []string        `cbor:"regions,omitempty"`
	OriginRegion string          `cbor:"from,omitempty"`    // region of the host that has the request
	Region       string          `cbor:"region,omitempty"`  // whose targets are used; empty: all
	Moved        bool            `cbor:"moved,omitempty"`   // another region's home has handed it over
	Progress     []StageProgress `cbor:"made,omitempty"`    // by stage, at a home that was lost
	Session      string          `cbor:"session,omitempty"` // requests of one share the start of their prompt
	PrefixTokens int             `cbor:"shared,omitempty"`  // tokens of that start
}

// SessionTarget says which target a request of a session went to.
type SessionTarget struct {
	Session    string `cbor:"session"`
	Target     string `cbor:"target"`
	DataCentre string `cbor:"data_centre"`
	Region     string `cbor:"region"`
}

// StageProgress is what is there of a stage.
type StageProgress struct {
	IsDone  bool     `cbor:"is_done"`
	Handles []string `cbor:"handles,omitempty"` // none once no stage needs them; of a stage under way some are empty
}

// Reason says why a job has no results.
type Reason string

// The reasons.
const (
	ReasonNone    Reason = ""
	ReasonBusy    Reason = "busy"    // it would not be done in time
	ReasonLate    Reason = "late"    // its time is over
	ReasonGone    Reason = "gone"    // an input no longer exists
	ReasonFailed  Reason = "failed"  // targets failed too often
	ReasonUnknown Reason = "unknown" // this host doesn't know the job
	ReasonDropped Reason = "dropped" // the caller has left
	ReasonMoved   Reason = "moved"   // another region's home serves it better
)

// Result is what became of a job or an order. Without a reason Handles has one
// entry for each piece, of an order for each piece of the stages that no other
// one needs.
type Result struct {
	IsDone       bool            `cbor:"is_done"`
	Handles      []string        `cbor:"handles,omitempty"`
	Reason       Reason          `cbor:"reason,omitempty"`
	RetryAfter   time.Duration   `cbor:"retry_after,omitempty"`
	Progress     []StageProgress `cbor:"made,omitempty"`   // by stage, of an order that isn't done
	DataCentre   string          `cbor:"near,omitempty"`   // data centre of most of the results; empty: no matter
	Region       string          `cbor:"region,omitempty"` // where the order is to go, if it is to be moved
	PrefixTarget string          `cbor:"prefer,omitempty"` // target that has the start of the prompt
	Runs         int             `cbor:"runs,omitempty"`   // how often the stages of an order began
	Wait         time.Duration   `cbor:"wait,omitempty"`   // before the first call, of an order over all stages
}

// entry is a job in the queue of its home.
type entry struct {
	job       Job
	due       time.Time // the job is late after this
	until     time.Time // and of no use after this
	added     time.Time
	started   time.Time // first call; zero: none
	todo      []int     // pieces still to be sent
	pending   int       // pieces in calls
	handles   []string
	place     string // data centre of the first call
	best      string // data centre where it moves the fewest bytes; empty: all are alike
	least     int64  // those bytes
	tries     int    // calls that failed
	fetched   int    // pieces whose inputs their targets have
	isFreed   bool   // the inputs are given up
	onFetched func() bool
	finish    func(Result)
	finished  bool
}

func (j *entry) end(r Result) {
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

// Call is one call to a stage target.
type Call struct {
	Target   string
	Address  string
	Pieces   []Piece
	Expected time.Duration // how long it takes, with what waits before it
	Timeout  time.Duration // after which it is given up

	started    time.Time
	own        time.Duration // without the way and what waits before it
	path       time.Duration // the way that is expected
	isQueued   bool          // another call was at work as it was made
	turn       time.Time     // since when it is at work; zero: it waits
	isTight    bool          // the target may lack space for some results
	hasFetched bool          // the target has the inputs
	bytes      int64
	entries    []*entry
}

// Piece is one piece of a call.
type Piece struct {
	Request  string
	Stage    int
	Number   int
	TimeLeft time.Duration
	Key      string
	Inputs   []string
}

// Outcome is what became of a piece.
type Outcome struct {
	Handle string
	Fault  Fault // set if there is no handle
}

// Fault says why a piece has no result.
type Fault int

// The faults.
const (
	FaultNone    Fault = iota
	FaultLate          // the target found its time over
	FaultGone          // an input is gone
	FaultNoSpace       // the target has no space for the result
	FaultError         // the piece failed
)

// Failure is why a call as a whole has no answer.
type Failure int

// The failures.
const (
	FailureNone    Failure = iota
	FailureRefused         // the target says that it ran nothing: it is full
	FailureAbsent          // no connection, or another target has the address
	FailureBroken          // no whole answer
	FailureTimeout         // no answer within the limit of the call
)
