package claims

// requestKey identifies a request by its client account and the ID that the account
// chose.
type requestKey struct{ account, id string }

// stageClaim is the first claim of one stage of a request.
type stageClaim struct {
	stage    string
	claim    string
	host     string
	offset   int64
	done     bool
	released bool
	// sent is set when this process has confirmed the ticket of the claim.
	sent   bool
	result string
	digest string
}

// requestClaims holds the first claim of each stage of a request, as read from the
// stream. The hash is the body hash of the request's first claim of any stage.
type requestClaims struct {
	hash   string
	stages []*stageClaim
}

func (r *requestClaims) stage(name string) *stageClaim {
	for _, sc := range r.stages {
		if sc.stage == name {
			return sc
		}
	}
	return nil
}

// index holds the claims that have been read from the stream. It covers a request if
// the position in the request's ID is at or above floor: every claim of the request
// has then been read in order.
type index struct {
	floor, next int64
	maxHistory  int64
	maxBytes    int
	bytes       int
	requests    map[requestKey]*requestClaims
	// order lists the requests by the offset of their first claim.
	order []orderedKey
}

type orderedKey struct {
	offset int64
	key    requestKey
}

// stageClaimOverheadBytes is the memory of a stageClaim without the strings that size
// counts: 355 bytes with 200000 claims and body hashes of 64 bytes, rounded up.
const stageClaimOverheadBytes = 360

func newIndex(maxHistory int64, maxBytes int) *index {
	return &index{floor: 1, next: 1, maxHistory: maxHistory, maxBytes: maxBytes, requests: map[requestKey]*requestClaims{}}
}

func (x *index) find(key requestKey, stage string) *stageClaim {
	if r := x.requests[key]; r != nil {
		return r.stage(stage)
	}
	return nil
}

// lookup returns the decision for a new claim if the records read so far imply one.
func (x *index) lookup(key requestKey, stage, hash string, position int64) (Decision, bool) {
	if r := x.requests[key]; r != nil {
		if r.hash != hash {
			return Decision{Kind: Conflict}, true
		}
		if sc := r.stage(stage); sc != nil {
			return sc.decision(), true
		}
	}
	if position < x.floor {
		return Decision{Kind: Expired}, true
	}
	return Decision{}, false
}

func (sc *stageClaim) decision() Decision {
	d := Decision{Kind: Taken, Host: sc.host, Offset: sc.offset}
	switch {
	case sc.done:
		d.Kind, d.Result, d.Digest = Done, sc.result, sc.digest
	case sc.released:
		d.Kind = Released
	}
	return d
}

// addClaim applies a claim record. It returns the new stageClaim if the record is the
// first claim of its stage, and nil otherwise. A claim that is not covered, or whose
// offset is below its position, never counts as the first, because an earlier one may
// not have been read.
func (x *index) addClaim(offset int64, r record) *stageClaim {
	position, err := ParseID(r.ID)
	if err != nil || position < x.floor || position > offset {
		return nil
	}
	key := requestKey{r.Account, r.ID}
	req := x.requests[key]
	if req == nil {
		req = &requestClaims{hash: r.BodyHash}
		x.requests[key] = req
		x.order = append(x.order, orderedKey{offset, key})
	}
	if req.hash != r.BodyHash || req.stage(r.Stage) != nil {
		return nil
	}
	sc := &stageClaim{stage: r.Stage, claim: r.Claim, host: r.Host, offset: offset}
	req.stages = append(req.stages, sc)
	x.bytes += sc.size(key)
	return sc
}

// applyOutcome applies a done or release record and returns the claim that it ends.
// A record of any claim but the first of its stage has no effect.
func (x *index) applyOutcome(r record) *stageClaim {
	key := requestKey{r.Account, r.ID}
	sc := x.find(key, r.Stage)
	if sc == nil || sc.claim != r.Claim {
		return nil
	}
	x.bytes -= sc.size(key)
	switch r.Kind {
	case kindDone:
		sc.done, sc.result, sc.digest = true, r.Result, r.Digest
	case kindRelease:
		sc.released = true
	}
	x.bytes += sc.size(key)
	return sc
}

// raiseFloor raises floor to at least offset, and further while the index exceeds its
// limits. Dropping a request is safe, because its position is below the new floor and
// the index no longer covers it.
func (x *index) raiseFloor(offset int64) {
	x.floor = max(x.floor, offset, x.next-x.maxHistory)
	for len(x.order) > 0 && (x.order[0].offset < x.floor || x.bytes > x.maxBytes) {
		first := x.order[0]
		for _, sc := range x.requests[first.key].stages {
			x.bytes -= sc.size(first.key)
		}
		delete(x.requests, first.key)
		x.order = x.order[1:]
		x.floor = max(x.floor, first.offset+1)
	}
}

func (sc *stageClaim) size(key requestKey) int {
	return stageClaimOverheadBytes + len(key.account) + len(key.id) + len(sc.stage) + len(sc.claim) + len(sc.host) +
		len(sc.result) + len(sc.digest)
}
