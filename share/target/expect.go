package target

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

// Separator separates the parts of an input. Stand-in targets copy the input up to the
// last separator to the start of their output, so that the prompt prefix and the work ID
// reach every stage of a pipeline.
const Separator = "|"

// workIDPrefix precedes the work ID in an input.
const workIDPrefix = "id="

// WorkID returns the work ID from the "id=" part of input, or "" if there is none.
func WorkID(input string) string {
	for part := range strings.SplitSeq(input, Separator) {
		if id, ok := strings.CutPrefix(part, workIDPrefix); ok {
			return id
		}
	}
	return ""
}

// NewInput joins a shared prompt prefix, a work ID and a question.
func NewInput(prefix, id, question string) string {
	return prefix + Separator + workIDPrefix + id + Separator + question
}

// ExpectedOutput returns the output of the stand-in targets of a pool for input. It
// depends only on the arguments, so that a checker can compute the output of a pipeline.
func ExpectedOutput(kind bundle.Kind, pool, input string) string {
	return strings.Join(OutputTokens(kind, pool, input), "")
}

// OutputTokens returns the output of ExpectedOutput as the tokens that a target streams:
// 8 to 39 for engines, one for other kinds.
func OutputTokens(kind bundle.Kind, pool, input string) []string {
	copied := input[:strings.LastIndex(input, Separator)+1]
	first := copied + pool + "(" + apiv1.Checksum(input) + ")"
	if kind != bundle.KindEngine {
		return []string{first}
	}
	sum := sha256.Sum256([]byte(pool + Separator + input))
	tokens := []string{first}
	for i := range 7 + int(sum[0])%32 {
		tokens = append(tokens, " "+hex.EncodeToString([]byte{sum[i%31], sum[i%31+1] ^ byte(i)}))
	}
	return tokens
}
