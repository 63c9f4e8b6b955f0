package target

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// maxLineBytes limits a line of a stream, which holds one chunk.
const maxLineBytes = 1 << 20

// maxIdleBytes limits what a stream may send between two tokens.
const maxIdleBytes = 1 << 20

// readStream reads a streamed completion up to DoneMark. The stream is complete if a
// finish reason and the number of received tokens precede the mark.
func (c *Client) readStream(ctx context.Context, body io.Reader, onToken func(int, string), res *Result) *CallError {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	s := stream{maxOutput: c.opts.MaxOutput, onToken: onToken}
	idleBytes, lastCount := 0, 0
	for scanner.Scan() {
		idleBytes += len(scanner.Bytes()) + 1
		if s.tokenCount > lastCount {
			idleBytes, lastCount = 0, s.tokenCount
		}
		if idleBytes > maxIdleBytes {
			return &CallError{Reason: ReasonFormat, Detail: fmt.Sprintf("stream has no token in %d bytes", idleBytes)}
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data:")
		if !ok {
			continue // The protocol uses only data fields.
		}
		data = strings.TrimSpace(data)
		if data == DoneMark {
			return s.finish(res)
		}
		if err := s.addChunk(data); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return readError(ctx, err)
	}
	return &CallError{Reason: ReasonIncomplete, Detail: "stream ended before [DONE]"}
}

// stream assembles a completion from its chunks.
type stream struct {
	id         string
	text       strings.Builder
	tokenCount int
	finished   bool
	usage      *Usage
	maxOutput  int
	onToken    func(int, string)
}

func (s *stream) addChunk(data string) *CallError {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return &CallError{Reason: ReasonFormat, Err: err}
	}
	if s.id == "" {
		s.id = chunk.ID
	}
	if chunk.ID != s.id {
		return &CallError{Reason: ReasonWrongID, Detail: fmt.Sprintf("chunk with id %q in stream %q", chunk.ID, s.id)}
	}
	if chunk.Usage != nil {
		s.usage = chunk.Usage
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if choice.Text != "" {
		if s.text.Len()+len(choice.Text) > s.maxOutput {
			return &CallError{Reason: ReasonTooLarge}
		}
		if s.onToken != nil {
			s.onToken(s.tokenCount, choice.Text)
		}
		s.text.WriteString(choice.Text)
		s.tokenCount++
	}
	if choice.FinishReason != nil {
		// Other reasons, such as "abort", mean that the engine ended the stream early.
		s.finished = *choice.FinishReason == FinishStop || *choice.FinishReason == FinishLength
	}
	return nil
}

func (s *stream) finish(res *Result) *CallError {
	switch {
	case !s.finished:
		return &CallError{Reason: ReasonIncomplete, Detail: "stream has no finish reason"}
	case s.usage == nil:
		return &CallError{Reason: ReasonIncomplete, Detail: "stream has no token count"}
	case s.usage.CompletionTokens != s.tokenCount:
		return &CallError{Reason: ReasonIncomplete, Detail: fmt.Sprintf("received %d tokens, want %d", s.tokenCount, s.usage.CompletionTokens)}
	}
	res.Output, res.Tokens = s.text.String(), s.tokenCount
	if s.usage.PromptDetails != nil {
		res.CachedTokens = s.usage.PromptDetails.CachedTokens
	}
	return nil
}
