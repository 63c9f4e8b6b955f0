package server

import (
	"net/http"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// run answers POST /v1/run of stage pools and plain services.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	var body target.RunBody
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	c := t.begin(w, r, body.Input)
	if c == nil {
		return
	}
	outcome := outcomeFailed
	// Deferred, because a dropped connection leaves the handler by a panic.
	defer func() { c.finish(outcome) }()
	if sleep(c.ctx, c.pace(t.opts.Spec.Pace.Service.Std())) != nil {
		outcome = c.ended(r)
		serve.Drop()
	}
	if c.hit("fail", c.faults.Fail) {
		c.fail(w)
		return
	}
	if t.opts.Spec.Kind == bundle.KindService {
		t.ledger.add(c.work)
	}
	a := answer{id: body.ID, input: body.Input, output: target.Expected(t.opts.Spec.Kind, t.opts.Spec.Pool, body.Input)}
	outcome = outcomeAnswered
	if sleep(c.ctx, c.faults.Late.Std()+c.delay) != nil || c.hit("lose_answers", c.faults.LoseAnswers) {
		serve.Drop()
	}
	c.stamp(w)
	t.writeRun(w, c, a)
}

// writeRun writes the answer, damaged if a fault says so.
func (t *Target) writeRun(w http.ResponseWriter, c *call, a answer) {
	old := t.swap(a)
	whole := target.RunAnswer{ID: a.id, Output: a.output, Length: len(a.output), Checksum: apiv1.Checksum(a.output)}
	switch {
	case c.hit("crossed", c.faults.Crossed):
		whole = target.RunAnswer{ID: old.id, Output: old.output, Length: len(old.output), Checksum: apiv1.Checksum(old.output)}
		if c.hit("crossed_header", 0.5) {
			w.Header().Set(target.HeaderRequestID, old.id)
		}
	case c.hit("truncated", c.faults.Truncated):
		if c.hit("truncated_body", 0.5) {
			w.Header().Set("Content-Length", "100000")
		}
		whole.Output = whole.Output[:len(whole.Output)/2]
	}
	serve.WriteJSON(w, http.StatusOK, whole)
}
