package target

import (
	"context"
	"strings"
	"testing"
)

// FuzzStream guards against streams that make the reader panic, return more output than
// MaxOutput, or accept a stream without its end mark as complete.
func FuzzStream(f *testing.F) {
	const complete = `data: {"id":"a","choices":[{"text":"x"}]}` + "\n\n" +
		`data: {"id":"a","choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n" + "data: [DONE]\n\n"
	f.Add(complete)
	f.Add(strings.Replace(complete, "[DONE]", "", 1))
	f.Add(strings.Replace(complete, `"a","choices":[{"f`, `"b","choices":[{"f`, 1))
	f.Add("data: {\n\n")
	f.Add(": comment\nevent: x\n\n" + complete)
	c := New(Options{MaxOutput: 64})
	f.Fuzz(func(t *testing.T, text string) {
		var got strings.Builder
		var res Result
		err := c.readStream(context.Background(), strings.NewReader(text), func(_ int, token string) { got.WriteString(token) }, &res)
		if got.Len() > 64 {
			t.Fatalf("output of %d bytes, want at most 64", got.Len())
		}
		if err != nil {
			return
		}
		if !strings.Contains(text, DoneMark) || res.Output != got.String() {
			t.Fatalf("complete output %q from tokens %q of %q", res.Output, got.String(), text)
		}
	})
}
