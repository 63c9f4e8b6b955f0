package claims

// requestKey names a request: the account that sent it and the id it chose.
type requestKey struct{ account, id string }

// entry is the first claim of one stage of a request.
type entry struct {
	stage    string
	claim    string
	host     string
	offset   int64
	done     bool
	released bool
	// sent is set when this process has confirmed the claim.
	sent   bool
	result string
	digest string
}

// request holds what the stream says about one request. The body hash is that of
// its first claim, whatever the stage.
type request struct {
	hash    string
	entries []*entry
}

func (r *request) stage(name string) *entry {
	for _, e := range r.entries {
		if e.stage == name {
			return e
		}
	}
	return nil
}

// index is the claims stream as read so far. A request is covered when the position
// in its id is at or above floor: then every claim of it has been read in order.
type index struct {
	floor, next int64
	maxHistory  int64
	maxBytes    int
	bytes       int
	requests    map[requestKey]*request
	// order lists the requests by the offset of their first claim.
	order []orderedKey
}

type orderedKey struct {
	offset int64
	key    requestKey
}

// entryOverhead is the memory of an entry beside the strings that size counts, in
// bytes: measured as 355 with 200000 entries and body hashes of 64 bytes.
const entryOverhead = 360

func newIndex(maxHistory int64, maxBytes int) *index {
	return &index{floor: 1, next: 1, maxHistory: maxHistory, maxBytes: maxBytes, requests: map[requestKey]*request{}}
}

func (x *index) find(key requestKey, stage string) *entry {
	if r := x.requests[key]; r != nil {
		return r.stage(stage)
	}
	return nil
}

// lookup returns the decision that the stream already implies for a claim.
func (x *index) lookup(key requestKey, stage, hash string, position int64) (Decision, bool) {
	if r := x.requests[key]; r != nil {
		if r.hash != hash {
			return Decision{Kind: Conflict}, true
		}
		if e := r.stage(stage); e != nil {
			return e.decision(), true
		}
	}
	if position < x.floor {
		return Decision{Kind: Expired}, true
	}
	return Decision{}, false
}

func (e *entry) decision() Decision {
	d := Decision{Kind: Taken, Host: e.host, Offset: e.offset}
	switch {
	case e.done:
		d.Kind, d.Result, d.Digest = Done, e.result, e.digest
	case e.released:
		d.Kind = Released
	}
	return d
}

// add applies a claim record and returns its entry if it is the first claim of its
// stage. A claim that is not covered, or that lies before its own position, is never
// the first: an earlier one may have gone unread.
func (x *index) add(offset int64, r record) *entry {
	position, err := ParseID(r.ID)
	if err != nil || position < x.floor || position > offset {
		return nil
	}
	key := requestKey{r.Account, r.ID}
	req := x.requests[key]
	if req == nil {
		req = &request{hash: r.BodyHash}
		x.requests[key] = req
		x.order = append(x.order, orderedKey{offset, key})
	}
	if req.hash != r.BodyHash || req.stage(r.Stage) != nil {
		return nil
	}
	e := &entry{stage: r.Stage, claim: r.Claim, host: r.Host, offset: offset}
	req.entries = append(req.entries, e)
	x.bytes += e.size(key)
	return e
}

// finish applies a done or release record. Only a record that names the first claim
// has an effect.
func (x *index) finish(r record) *entry {
	key := requestKey{r.Account, r.ID}
	e := x.find(key, r.Stage)
	if e == nil || e.claim != r.Claim {
		return nil
	}
	x.bytes -= e.size(key)
	switch r.Kind {
	case kindDone:
		e.done, e.result, e.digest = true, r.Result, r.Digest
	case kindRelease:
		e.released = true
	}
	x.bytes += e.size(key)
	return e
}

// raise moves floor up to offset, and further while the index is larger than its
// bounds. The dropped requests have positions below floor, so they are not covered
// any more.
func (x *index) raise(offset int64) {
	x.floor = max(x.floor, offset, x.next-x.maxHistory)
	for len(x.order) > 0 && (x.order[0].offset < x.floor || x.bytes > x.maxBytes) {
		first := x.order[0]
		for _, e := range x.requests[first.key].entries {
			x.bytes -= e.size(first.key)
		}
		delete(x.requests, first.key)
		x.order = x.order[1:]
		x.floor = max(x.floor, first.offset+1)
	}
}

func (e *entry) size(key requestKey) int {
	return entryOverhead + len(key.account) + len(key.id) + len(e.stage) + len(e.claim) + len(e.host) +
		len(e.result) + len(e.digest)
}
