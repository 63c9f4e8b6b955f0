package agent

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"chivepost/share/apiv1"
)

// stream collects the events of one streamed answer.
type stream struct {
	id, want string
	text     strings.Builder
	count    int
	first    time.Time
	last     time.Time
	gaps     []time.Duration
}

var errStreamEnd = errors.New("stream ended without an end event")

// readStream reads server-sent events up to the end or error event.
func readStream(r io.Reader, id, want string) attempt {
	s := stream{id: id, want: want}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswer)
	var name, data string
	for scanner.Scan() {
		line := scanner.Text()
		if v, ok := strings.CutPrefix(line, "event:"); ok {
			name = strings.TrimSpace(v)
		}
		if v, ok := strings.CutPrefix(line, "data:"); ok {
			data += strings.TrimPrefix(v, " ")
		}
		if line != "" || data == "" {
			continue
		}
		if at, done := s.add(name, data); done {
			return at
		}
		name, data = "", ""
	}
	err := scanner.Err()
	if err == nil {
		err = errStreamEnd
	}
	return s.attempt(attempt{outcome: Broken, err: err})
}

// add takes one event and reports whether it is the last.
func (s *stream) add(name, data string) (attempt, bool) {
	switch name {
	case apiv1.EventToken:
		var t apiv1.Token
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			return s.attempt(attempt{outcome: Broken, err: fmt.Errorf("decode token: %w", err)}), true
		}
		if t.Index != s.count {
			return s.attempt(attempt{
				outcome: apiv1.Answered, flaw: FlawIncomplete,
				err: fmt.Errorf("token %d came in place of %d", t.Index, s.count),
			}), true
		}
		s.token(t.Text)
		return attempt{}, false
	case apiv1.EventEnd:
		var e apiv1.End
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return s.attempt(attempt{outcome: Broken, err: fmt.Errorf("decode end: %w", err)}), true
		}
		output := s.text.String()
		whole := e.Count == s.count && e.Checksum == apiv1.Checksum(output)
		return s.attempt(attempt{outcome: apiv1.Answered, flaw: flaw(s.id, e.ID, s.want, output, whole)}), true
	case apiv1.EventError:
		var p apiv1.Problem
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			return s.attempt(attempt{outcome: Broken, err: fmt.Errorf("decode problem: %w", err)}), true
		}
		return s.attempt(problemAttempt(p)), true
	default:
		return attempt{}, false
	}
}

func (s *stream) token(text string) {
	now := time.Now()
	if s.count == 0 {
		s.first = now
	} else {
		s.gaps = append(s.gaps, now.Sub(s.last))
	}
	s.last = now
	s.count++
	s.text.WriteString(text)
}

// attempt completes at with what has been read so far.
func (s *stream) attempt(at attempt) attempt {
	at.output, at.tokens, at.first, at.gaps = s.text.String(), s.count, s.first, s.gaps
	return at
}
