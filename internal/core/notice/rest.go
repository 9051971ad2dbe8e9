package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRest reads the time of a Retry-After: seconds, whole or in fractions; false if the
// text is none. What is longer than a Duration can hold is as long as it can. A date is
// not read: it would be by the clock of another host.
func ParseRest(text string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return 0, false
	}
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(s * float64(time.Second)), true
}
