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

// stream assembles one streamed answer from its events.
type stream struct {
	id, expected string
	text         strings.Builder
	tokens       int
	firstToken   time.Time
	lastToken    time.Time
	tokenGaps    []time.Duration
}

var errNoEndEvent = errors.New("stream ended without an end event")

// readStream reads server-sent events up to the end event or an error event.
func readStream(r io.Reader, id, expected string) result {
	s := stream{id: id, expected: expected}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswerBytes)
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
		if res, done := s.handleEvent(name, data); done {
			return res
		}
		name, data = "", ""
	}
	err := scanner.Err()
	if err == nil {
		err = errNoEndEvent
	}
	return s.result(result{outcome: Broken, err: err})
}

// handleEvent processes one event. It reports true, with the result of the attempt, if the
// event ends the stream.
func (s *stream) handleEvent(name, data string) (result, bool) {
	switch name {
	case apiv1.EventToken:
		var t apiv1.Token
		if err := json.Unmarshal([]byte(data), &t); err != nil {
			return s.result(result{outcome: Broken, err: fmt.Errorf("decode token: %w", err)}), true
		}
		if t.Index != s.tokens {
			return s.result(result{
				outcome: apiv1.Answered, flaw: FlawIncomplete,
				err: fmt.Errorf("received token %d instead of %d", t.Index, s.tokens),
			}), true
		}
		s.addToken(t.Text)
		return result{}, false
	case apiv1.EventEnd:
		var e apiv1.End
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return s.result(result{outcome: Broken, err: fmt.Errorf("decode end: %w", err)}), true
		}
		output := s.text.String()
		complete := e.Count == s.tokens && e.Checksum == apiv1.Checksum(output)
		return s.result(result{outcome: apiv1.Answered, flaw: findFlaw(s.id, e.ID, s.expected, output, complete)}), true
	case apiv1.EventError:
		var p apiv1.Problem
		if err := json.Unmarshal([]byte(data), &p); err != nil {
			return s.result(result{outcome: Broken, err: fmt.Errorf("decode problem: %w", err)}), true
		}
		return s.result(problemResult(p)), true
	default:
		return result{}, false
	}
}

func (s *stream) addToken(text string) {
	now := time.Now()
	if s.tokens == 0 {
		s.firstToken = now
	} else {
		s.tokenGaps = append(s.tokenGaps, now.Sub(s.lastToken))
	}
	s.lastToken = now
	s.tokens++
	s.text.WriteString(text)
}

// result adds the output and the token times so far to res.
func (s *stream) result(res result) result {
	res.output, res.tokens, res.firstToken, res.tokenGaps = s.text.String(), s.tokens, s.firstToken, s.tokenGaps
	return res
}
