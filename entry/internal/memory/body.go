package memory

import (
	"errors"
	"io"
)

// firstBodyBytes is the first reservation for a body of unknown length. Announced bodies begin
// with up to SmallBytes. Later steps double it.
const firstBodyBytes = 4 << 10

// ErrTooLarge is the error of a body above its limit.
var ErrTooLarge = errors.New("the body is too large")

// ReadBody reads a body of the announced length, which is negative if it is not known, and of
// at most limit bytes. Its reservation grows in steps as bytes arrive, so that an announced
// length alone takes no memory. After each step it calls grown, unless that is nil, with the bytes
// that are still to come within the reservation.
func (r *Reservation) ReadBody(body io.Reader, length, limit int64, grown func(left int64)) ([]byte, error) {
	size, most := int64(firstBodyBytes), limit+1
	if length > 0 {
		size, most = min(length, SmallBytes), length
	}
	var out []byte
	for ; ; size = min(2*size, most) {
		if err := r.Grow(size); err != nil {
			return nil, err
		}
		if grown != nil {
			grown(size - int64(len(out)))
		}
		out = append(make([]byte, 0, size), out...)
		for len(out) < cap(out) {
			n, err := body.Read(out[len(out):cap(out)])
			out = out[:len(out)+n]
			r.Moved(n)
			if errors.Is(err, io.EOF) {
				return out, nil
			}
			if err != nil {
				return nil, err
			}
		}
		switch {
		case int64(len(out)) > limit:
			return nil, ErrTooLarge
		case int64(len(out)) == length:
			// Reads io.EOF, after which the server detects that the caller disconnects.
			var one [1]byte
			_, _ = body.Read(one[:])
			return out, nil
		}
	}
}
