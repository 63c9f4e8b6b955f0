package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"chivepost/share/target"
	"chivepost/stand/internal/serve"
)

// serveCompletion handles POST /v1/completions of engines.
func (t *Target) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var body target.CompletionRequest
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if !body.Stream {
		serve.WriteError(w, http.StatusBadRequest, "only streamed completions are supported")
		return
	}
	c := t.begin(w, r, body.Prompt)
	if c == nil {
		return
	}
	outcome := outcomeFailed
	defer func() { c.finish(outcome) }()
	cached := t.cache.Use(target.PrefixBlockHashes(body.Prompt)) * target.PrefixBlockBytes / target.TokenBytes
	tokens := (len(body.Prompt) + target.TokenBytes - 1) / target.TokenBytes
	p := t.opts.Spec.Pace
	// A resumed stream computes the tokens that it omits at the speed of prompt tokens.
	compute := tokens - cached + max(body.ResumeFrom, 0)
	prefill := p.FirstToken.Std() + time.Duration(compute)*p.PromptToken.Std()
	if sleep(c.ctx, c.scale(prefill)) != nil {
		outcome = c.interruptedOutcome(r)
		serve.Drop()
	}
	if c.isHit("fail", c.faults.Fail) {
		c.writeFailure(w)
		return
	}
	if sleep(c.ctx, c.faults.Late.Std()+c.delay) != nil {
		outcome = c.interruptedOutcome(r)
		serve.Drop()
	}
	c.setHeaders(w)
	pieces := target.OutputTokens(t.opts.Spec.Kind, t.opts.Spec.Pool, body.Prompt)
	pieces = pieces[min(max(body.ResumeFrom, 0), len(pieces)):]
	s := newStream(w, c, body, pieces)
	s.usage = target.Usage{
		PromptTokens: tokens, CompletionTokens: len(pieces), TotalTokens: tokens + len(pieces),
		PromptDetails: &target.PromptDetail{CachedTokens: cached},
	}
	for i := range s.pieces {
		if i > 0 && sleep(c.ctx, c.scale(p.PerToken.Std())) != nil {
			outcome = c.interruptedOutcome(r)
			serve.Drop()
		}
		if !s.writePiece(i) {
			return
		}
	}
	s.writeEnd()
	outcome = outcomeAnswered
}

// stream writes the chunks of a completion and applies the faults crossed and truncated.
type stream struct {
	w         http.ResponseWriter
	flusher   http.Flusher
	id        string
	model     string
	pieces    []string
	usage     target.Usage
	skip      int    // Index of the piece to omit, -1 for none.
	endsEarly bool   // The stream ends at the omitted piece.
	otherID   string // ID of another stream, sent with one of the pieces.
}

func newStream(w http.ResponseWriter, c *call, body target.CompletionRequest, pieces []string) *stream {
	s := &stream{w: w, id: "cmpl-" + c.id, model: body.Model, pieces: pieces, skip: -1}
	s.flusher, _ = w.(http.Flusher)
	previous := c.t.swapLastAnswer(answer{id: c.id, input: c.input, output: strings.Join(pieces, "")})
	switch {
	case c.isHit("crossed", c.faults.Crossed):
		if c.isHit("crossed_header", 0.5) {
			w.Header().Set(target.HeaderRequestID, previous.id)
			s.pieces = []string{previous.output}
		} else {
			s.otherID = "cmpl-" + previous.id
		}
	case c.isHit("truncated", c.faults.Truncated):
		s.skip, s.endsEarly = len(pieces)/2, c.isHit("truncated_body", 0.5)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return s
}

// writePiece writes a piece and reports whether the stream continues.
func (s *stream) writePiece(i int) bool {
	if i == s.skip {
		return !s.endsEarly
	}
	id := s.id
	if s.otherID != "" && i == len(s.pieces)/2 {
		id = s.otherID
	}
	return s.write(target.Chunk{
		ID: id, Object: "text_completion", Model: s.model,
		Choices: []target.Choice{{Text: s.pieces[i]}},
	})
}

// writeEnd writes the last chunk and the end mark.
func (s *stream) writeEnd() {
	reason := target.FinishStop
	s.write(target.Chunk{
		ID: s.id, Object: "text_completion", Model: s.model,
		Choices: []target.Choice{{FinishReason: &reason}}, Usage: &s.usage,
	})
	_, _ = fmt.Fprintf(s.w, "data: %s\n\n", target.DoneMark)
}

func (s *stream) write(chunk target.Chunk) bool {
	data, err := json.Marshal(chunk)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return false
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return true
}
