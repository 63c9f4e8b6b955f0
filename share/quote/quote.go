// Package quote keeps the bytes of others out of error texts, which reach callers and logs.
package quote

import (
	"errors"
	"net/url"
	"strings"
)

// maxText is the longest text of an error in bytes.
const maxText = 256

// Strip returns err without what its text quotes. Parsers quote what they were given: it may be
// as long as all that is read, and be part of an answer to somebody else.
func Strip(err error) error {
	var request *url.Error
	if errors.As(err, &request) {
		err = request.Err // the URL is quoted, too
	}
	text, _, isQuoting := strings.Cut(err.Error(), `"`)
	if !isQuoting && len(text) <= maxText {
		return err
	}
	return errors.New(strings.TrimRight(text[:min(len(text), maxText)], " :"))
}
