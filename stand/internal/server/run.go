package server

import (
	"net/http"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// serveRun handles POST /v1/run of stage pools and plain services.
func (t *Target) serveRun(w http.ResponseWriter, r *http.Request) {
	var body target.RunRequest
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	c := t.begin(w, r, body.Input)
	if c == nil {
		return
	}
	outcome := outcomeFailed
	// Deferred because serve.Drop leaves the handler by a panic.
	defer func() { c.finish(outcome) }()
	if sleep(c.ctx, c.scale(t.opts.Spec.Pace.Service.Std())) != nil {
		outcome = c.interruptedOutcome(r)
		serve.Drop()
	}
	if c.isHit("fail", c.faults.Fail) {
		c.writeFailure(w)
		return
	}
	if t.opts.Spec.Kind == bundle.KindService {
		t.ledger.add(c.workID)
	}
	a := answer{id: body.ID, input: body.Input, output: target.ExpectedOutput(t.opts.Spec.Kind, t.opts.Spec.Pool, body.Input)}
	outcome = outcomeAnswered
	if sleep(c.ctx, c.faults.Late.Std()+c.delay) != nil || c.isHit("lose_answers", c.faults.LoseAnswers) {
		serve.Drop()
	}
	c.setHeaders(w)
	t.writeRun(w, c, a)
}

// writeRun writes the answer and applies the faults crossed and truncated.
func (t *Target) writeRun(w http.ResponseWriter, c *call, a answer) {
	previous := t.swapLastAnswer(a)
	whole := target.RunResponse{ID: a.id, Output: a.output, Length: len(a.output), Checksum: apiv1.Checksum(a.output)}
	switch {
	case c.isHit("crossed", c.faults.Crossed):
		whole = target.RunResponse{ID: previous.id, Output: previous.output, Length: len(previous.output), Checksum: apiv1.Checksum(previous.output)}
		if c.isHit("crossed_header", 0.5) {
			w.Header().Set(target.HeaderRequestID, previous.id)
		}
	case c.isHit("truncated", c.faults.Truncated):
		if c.isHit("truncated_body", 0.5) {
			w.Header().Set("Content-Length", "100000")
		}
		whole.Output = whole.Output[:len(whole.Output)/2]
	}
	serve.WriteJSON(w, http.StatusOK, whole)
}
