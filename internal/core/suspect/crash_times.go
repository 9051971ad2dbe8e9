package suspect

import "time"

// Time and size limits of the crashes that are counted.
const (
	// crashWindow is the time in which the crashes of all causes are counted.
	crashWindow = time.Minute
	// maxCrashTimes bounds the crashes that are kept, at about 50 bytes each.
	maxCrashTimes = 1024
)

// crashTimes holds when upstream incarnations crashed, whatever the cause.
type crashTimes map[uint64]time.Time

// add records a crash. The first report of an incarnation gives its time.
func (c crashTimes) add(incarnation uint64, at time.Time) {
	if _, ok := c[incarnation]; ok {
		return
	}
	if len(c) >= maxCrashTimes {
		c.dropBefore(at.Add(-crashWindow))
	}
	if len(c) < maxCrashTimes {
		c[incarnation] = at
	}
}

func (c crashTimes) dropBefore(oldest time.Time) {
	for incarnation, at := range c {
		if at.Before(oldest) {
			delete(c, incarnation)
		}
	}
}

// until returns the number of crashes in the window that ends at the time.
func (c crashTimes) until(end time.Time) int {
	n := 0
	for _, at := range c {
		if !at.After(end) && end.Sub(at) < crashWindow {
			n++
		}
	}
	return n
}
