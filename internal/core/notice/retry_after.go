package notice

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// ParseRetryAfter parses the value of a Retry-After header in whole or fractional
// seconds; it reports false if the text is not such a number. Values that exceed a
// Duration are clamped to its maximum. Dates are not accepted, as they would refer to the
// clock of another host.
func ParseRetryAfter(text string) (time.Duration, bool) {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return 0, false
	}
	if s >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, true
	}
	return time.Duration(s * float64(time.Second)), true
}
