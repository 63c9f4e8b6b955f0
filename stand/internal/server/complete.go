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

// complete answers POST /v1/completions of engines.
func (t *Target) complete(w http.ResponseWriter, r *http.Request) {
	var body target.CompletionBody
	if !serve.ReadJSON(w, r, &body) {
		return
	}
	if !body.Stream {
		serve.WriteError(w, http.StatusBadRequest, "only streamed completions are offered")
		return
	}
	c := t.begin(w, r, body.Prompt)
	if c == nil {
		return
	}
	outcome := outcomeFailed
	defer func() { c.finish(outcome) }()
	cached := t.cache.Use(target.PrefixBlocks(body.Prompt)) * target.PrefixBlock / target.TokenBytes
	tokens := (len(body.Prompt) + target.TokenBytes - 1) / target.TokenBytes
	p := t.opts.Spec.Pace
	// The tokens that a resumed stream leaves out are computed like those of the prompt.
	compute := tokens - cached + max(body.ResumeFrom, 0)
	prefill := p.FirstToken.Std() + time.Duration(compute)*p.PromptToken.Std()
	if sleep(c.ctx, c.pace(prefill)) != nil {
		outcome = c.ended(r)
		serve.Drop()
	}
	if c.hit("fail", c.faults.Fail) {
		c.fail(w)
		return
	}
	if sleep(c.ctx, c.faults.Late.Std()+c.delay) != nil {
		outcome = c.ended(r)
		serve.Drop()
	}
	c.stamp(w)
	pieces := target.Pieces(t.opts.Spec.Kind, t.opts.Spec.Pool, body.Prompt)
	pieces = pieces[min(max(body.ResumeFrom, 0), len(pieces)):]
	s := newStream(w, c, body, pieces)
	s.usage = target.Usage{
		PromptTokens: tokens, CompletionTokens: len(pieces), TotalTokens: tokens + len(pieces),
		PromptDetails: &target.PromptDetail{CachedTokens: cached},
	}
	for i := range s.pieces {
		if i > 0 && sleep(c.ctx, c.pace(p.PerToken.Std())) != nil {
			outcome = c.ended(r)
			serve.Drop()
		}
		if !s.piece(i) {
			return
		}
	}
	s.end()
	outcome = outcomeAnswered
}

// stream writes the chunks of one completion, damaged if a fault says so.
type stream struct {
	w       http.ResponseWriter
	flusher http.Flusher
	id      string
	model   string
	pieces  []string
	usage   target.Usage
	cut     int    // Index of the piece to leave out, -1 for none.
	short   bool   // The stream ends at the piece that is cut.
	other   string // Id of another stream for one of the pieces.
}

func newStream(w http.ResponseWriter, c *call, body target.CompletionBody, pieces []string) *stream {
	s := &stream{w: w, id: "cmpl-" + c.id, model: body.Model, pieces: pieces, cut: -1}
	s.flusher, _ = w.(http.Flusher)
	old := c.t.swap(answer{id: c.id, input: c.input, output: strings.Join(pieces, "")})
	switch {
	case c.hit("crossed", c.faults.Crossed):
		if c.hit("crossed_header", 0.5) {
			w.Header().Set(target.HeaderRequestID, old.id)
			s.pieces = []string{old.output}
		} else {
			s.other = "cmpl-" + old.id
		}
	case c.hit("truncated", c.faults.Truncated):
		s.cut, s.short = len(pieces)/2, c.hit("truncated_body", 0.5)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	return s
}

// piece writes one piece and reports whether the stream goes on.
func (s *stream) piece(i int) bool {
	if i == s.cut {
		return !s.short
	}
	id := s.id
	if s.other != "" && i == len(s.pieces)/2 {
		id = s.other
	}
	return s.write(target.Chunk{
		ID: id, Object: "text_completion", Model: s.model,
		Choices: []target.Choice{{Text: s.pieces[i]}},
	})
}

// end writes the last chunk and the end mark.
func (s *stream) end() {
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
