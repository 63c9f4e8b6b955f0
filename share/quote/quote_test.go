package quote_test

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"testing"

	"chivepost/share/quote"
)

// Guards against error texts that quote what others have sent, and against errors that lose
// their cause though they quote nothing.
func TestStrip(t *testing.T) {
	short := fmt.Errorf("read: %w", io.ErrUnexpectedEOF)
	for _, test := range []struct {
		name string
		err  error
		want string
	}{
		{"without a quote", short, "read: unexpected EOF"},
		{"quote", fmt.Errorf("malformed MIME header: missing colon: %q", "secret"), "malformed MIME header: missing colon"},
		{"quote of a URL", &url.Error{Op: "Post", URL: "http://a", Err: short}, "read: unexpected EOF"},
		{"quotes of a URL and an answer", &url.Error{Op: "Post", URL: "http://a", Err: fmt.Errorf("malformed HTTP response %q", "secret")}, "malformed HTTP response"},
		{"long", errors.New(strings.Repeat("x", 1000)), strings.Repeat("x", 256)},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := quote.Strip(test.err)
			if got.Error() != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
			if errors.Is(test.err, short) && !errors.Is(got, io.ErrUnexpectedEOF) {
				t.Errorf("%v doesn't wrap its cause", got)
			}
		})
	}
}
