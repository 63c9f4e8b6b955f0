package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// maxLine bounds one line of a stream, which holds one chunk.
const maxLine = 1 << 20

// readStream reads a streamed completion up to its end mark. The stream is whole
// if a finish reason and a token count came before the mark and the count matches.
func (c *Client) readStream(ctx context.Context, body io.Reader, token func(int, string), res *Result) *CallError {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	s := stream{max: c.opts.MaxOutput, token: token}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue // Blank lines, comments and other fields carry no data here.
		}
		data = strings.TrimSpace(data)
		if data == DoneMark {
			return s.finish(res)
		}
		if err := s.add(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return readError(ctx, err)
	}
	return &CallError{Reason: ReasonIncomplete, Detail: "stream ended without its end mark"}
}

// stream collects the chunks of one completion.
type stream struct {
	id       string
	text     strings.Builder
	count    int
	finished bool
	usage    *Usage
	max      int
	token    func(int, string)
}

func (s *stream) add(data string) *CallError {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return &CallError{Reason: ReasonFormat, Err: err}
	}
	if s.id == "" {
		s.id = chunk.ID
	}
	if chunk.ID != s.id {
		return &CallError{Reason: ReasonWrongID, Detail: fmt.Sprintf("chunk of %q in stream %q", chunk.ID, s.id)}
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if choice.Text != "" {
		if s.text.Len()+len(choice.Text) > s.max {
			return &CallError{Reason: ReasonTooLarge}
		}
		if s.token != nil {
			s.token(s.count, choice.Text)
		}
		s.text.WriteString(choice.Text)
		s.count++
	}
	if choice.FinishReason != nil {
		// Engines give other reasons, such as "abort", for streams cut short.
		s.finished = *choice.FinishReason == FinishStop || *choice.FinishReason == FinishLength
	}
	return nil
}

func (s *stream) finish(res *Result) *CallError {
	switch {
	case !s.finished:
		return &CallError{Reason: ReasonIncomplete, Detail: "no finish reason"}
	case s.usage == nil:
		return &CallError{Reason: ReasonIncomplete, Detail: "no token count"}
	case s.usage.CompletionTokens != s.count:
		return &CallError{Reason: ReasonIncomplete, Detail: fmt.Sprintf("%d tokens, want %d", s.count, s.usage.CompletionTokens)}
	}
	res.Output, res.Tokens = s.text.String(), s.count
	if s.usage.PromptDetails != nil {
		res.CachedTokens = s.usage.PromptDetails.CachedTokens
	}
	return nil
}
