// Package pause reads for how long a server wants no requests.
package pause

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Max replaces longer times, of which a sum with a point in time might overflow.
const Max = 24 * time.Hour

// Parse returns the time that the value of a Retry-After header gives: seconds, which may
// have a fraction, or a date, which counts from the Date header of the same answer because
// clocks differ. It returns 0 for anything else and for times that have passed.
func Parse(value, date string) time.Duration {
	value = strings.TrimSpace(value)
	if at, err := http.ParseTime(value); err == nil {
		if from, err := http.ParseTime(date); err == nil {
			return min(max(at.Sub(from), 0), Max)
		}
		return 0
	}
	if strings.Trim(value, "0123456789.eE+-") != "" {
		return 0 // ParseFloat would also take words such as "inf"
	}
	s, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), !(s > 0):
		return 0
	case s >= Max.Seconds():
		return Max
	}
	return time.Duration(s * float64(time.Second))
}
