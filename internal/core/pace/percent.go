package pace

const (
	// minPercent and maxPercent bound the pace that an upstream reports: the duration of
	// its work in percent of the usual one. A value beyond a hundredth or a hundred times
	// the usual duration is a fault of the upstream.
	minPercent = 1
	maxPercent = 10_000
)

// ValidPercent reports whether an upstream may report this pace.
func ValidPercent(percent int) bool { return minPercent <= percent && percent <= maxPercent }
