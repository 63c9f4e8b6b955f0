package target

import (
	"context"
	"strings"
	"testing"
)

// FuzzStream guards against streams from engines that make the reader panic, exceed
// its bound on the output, or pass as whole without their end.
func FuzzStream(f *testing.F) {
	const whole = `data: {"id":"a","choices":[{"text":"x"}]}` + "\n\n" +
		`data: {"id":"a","choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n" + "data: [DONE]\n\n"
	f.Add(whole)
	f.Add(strings.Replace(whole, "[DONE]", "", 1))
	f.Add(strings.Replace(whole, `"a","choices":[{"f`, `"b","choices":[{"f`, 1))
	f.Add("data: {\n\n")
	f.Add(": comment\nevent: x\n\n" + whole)
	c := New(Options{MaxOutput: 64})
	f.Fuzz(func(t *testing.T, text string) {
		var got strings.Builder
		var res Result
		err := c.readStream(context.Background(), strings.NewReader(text), func(_ int, piece string) { got.WriteString(piece) }, &res)
		if got.Len() > 64 {
			t.Fatalf("output of %d bytes, want at most 64", got.Len())
		}
		if err != nil {
			return
		}
		if !strings.Contains(text, DoneMark) || res.Output != got.String() {
			t.Fatalf("whole answer %q from pieces %q of %q", res.Output, got.String(), text)
		}
	})
}
