package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"chivepost/share/quote"
)

// maxLineBytes limits a line of a stream, which holds one chunk.
const maxLineBytes = 1 << 20

// maxIdleBytes and maxIdleChunks limit what a stream may send between two tokens.
const (
	maxIdleBytes  = 1 << 20
	maxIdleChunks = 1 << 13
)

// readStream reads a streamed completion up to DoneMark. The stream is complete if a
// finish reason and the number of received tokens precede the mark.
func (c *Client) readStream(ctx context.Context, body io.Reader, onToken func(int, string), res *Result) *CallError {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	idleBytes, idleChunks, lastCount := 0, 0, 0
	scanner.Split(func(text []byte, atEOF bool) (int, []byte, error) {
		advance, data := nextData(text, atEOF)
		if idleBytes += advance; idleBytes > maxIdleBytes {
			return 0, nil, errIdle
		}
		return advance, data, nil
	})
	s := stream{maxOutput: c.opts.MaxOutput, onToken: onToken}
	for scanner.Scan() {
		data := string(bytes.TrimSpace(scanner.Bytes()))
		if data == DoneMark {
			return s.finish(res)
		}
		if err := s.addChunk(data); err != nil {
			return err
		}
		if idleChunks++; s.tokenCount > lastCount {
			idleBytes, idleChunks, lastCount = 0, 0, s.tokenCount
		}
		if idleChunks > maxIdleChunks {
			return &CallError{Reason: ReasonFormat, Detail: fmt.Sprintf("stream has no token in %d chunks", idleChunks)}
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, errIdle):
		return &CallError{Reason: ReasonFormat, Detail: fmt.Sprintf("stream has no token in %d bytes", idleBytes)}
	case err != nil:
		return readError(ctx, err)
	}
	return &CallError{Reason: ReasonIncomplete, Detail: "stream ended before [DONE]"}
}

var errIdle = errors.New("stream has no token for too long")

// nextData returns the value of the first data field in text, and the bytes to advance by.
// Lines before it are passed over at once: the protocol uses only data fields, and one at a
// time, blank lines without end would take most of the time of a call.
func nextData(text []byte, atEOF bool) (advance int, data []byte) {
	for {
		length := bytes.IndexByte(text[advance:], '\n')
		next := advance + length + 1
		if length < 0 {
			if !atEOF || advance == len(text) {
				return advance, nil
			}
			length, next = len(text)-advance, len(text)
		}
		line := text[advance : advance+length]
		advance = next
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			return advance, value
		}
	}
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
		return &CallError{Reason: ReasonFormat, Err: quote.Strip(err)}
	}
	if s.id == "" {
		s.id = chunk.ID
	}
	if chunk.ID != s.id {
		return &CallError{Reason: ReasonWrongID, Detail: "chunk of another stream"}
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
