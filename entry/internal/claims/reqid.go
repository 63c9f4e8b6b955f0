package claims

import (
	"errors"
	"strconv"
	"strings"
)

// ErrInvalidID means that a request id has not the form "<position>-<random>".
var ErrInvalidID = errors.New("request id: want <position>-<random>, the position without sign or leading zeros, " +
	"the random part 8 to 64 letters and digits")

const (
	minRandom = 8
	maxRandom = 64
)

// ParseID returns the position that a request id carries. Only one spelling of a
// position is accepted, so that two ids never differ in form alone.
func ParseID(id string) (int64, error) {
	head, tail, ok := strings.Cut(id, "-")
	if !ok || len(tail) < minRandom || len(tail) > maxRandom || !isAlphanumeric(tail) {
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
