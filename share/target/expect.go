package target

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"chivepost/share/apiv1"
	"chivepost/share/bundle"
)

// Separator divides the parts of an input. Stand-ins repeat everything up to the
// last separator in their output, so that prompt prefixes and work ids reach every
// stage of a pipeline.
const Separator = "|"

// workPrefix starts the part of an input that names the work.
const workPrefix = "id="

// WorkID returns the id that the input carries in an "id=" part, or "".
func WorkID(input string) string {
	for part := range strings.SplitSeq(input, Separator) {
		if id, ok := strings.CutPrefix(part, workPrefix); ok {
			return id
		}
	}
	return ""
}

// NewInput joins a shared prompt prefix, the id of the work and a question.
func NewInput(prefix, id, question string) string {
	return prefix + Separator + workPrefix + id + Separator + question
}

// ExpectedOutput returns the output that the stand-ins of a pool give for input. It
// depends on nothing else, so that a checker can compute a pipeline's answer.
func ExpectedOutput(kind bundle.Kind, pool, input string) string {
	return strings.Join(OutputTokens(kind, pool, input), "")
}

// OutputTokens returns the output of Expected in the pieces in which an engine streams
// them: 8 to 39 for engines, one for other kinds.
func OutputTokens(kind bundle.Kind, pool, input string) []string {
	kept := input[:strings.LastIndex(input, Separator)+1]
	head := kept + pool + "(" + apiv1.Checksum(input) + ")"
	if kind != bundle.KindEngine {
		return []string{head}
	}
	sum := sha256.Sum256([]byte(pool + Separator + input))
	pieces := []string{head}
	for i := range 7 + int(sum[0])%32 {
		pieces = append(pieces, " "+hex.EncodeToString([]byte{sum[i%31], sum[i%31+1] ^ byte(i)}))
	}
	return pieces
}
