package claims

import (
	"errors"
	"strconv"
	"strings"
)

// ErrInvalidID means that a request ID does not have the form "<position>-<random>".
var ErrInvalidID = errors.New("request id: want <position>-<random>, the position without sign or leading zeros, " +
	"the random part 8 to 64 letters and digits")

const (
	minRandomLen = 8
	maxRandomLen = 64
)

// ParseID returns the position in a request ID. It accepts only the canonical
// spelling of a position, so that equal positions always have equal text.
func ParseID(id string) (int64, error) {
	head, tail, ok := strings.Cut(id, "-")
	if !ok || len(tail) < minRandomLen || len(tail) > maxRandomLen || !isAlphanumeric(tail) {
		return 0, ErrInvalidID
	}
	position, err := strconv.ParseInt(head, 10, 64)
	if err != nil || position < 1 || strconv.FormatInt(position, 10) != head {
		return 0, ErrInvalidID
	}
	return position, nil
}

func isAlphanumeric(s string) bool {
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return false
		}
	}
	return true
}
