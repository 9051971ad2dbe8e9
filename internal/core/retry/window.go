package retry

import "time"

// windowParts is the number of parts that a window is counted in. The more, the less
// of it is given away at its ends.
const windowParts = 20

// Window bounds retries by the requests of the same span of time: in no span are there
// more than a share of its requests and a reserve. Unlike a Budget, which saves up a
// reserve at most, it lets many retries follow a crash that breaks many requests at
// once. It is not safe for concurrent use.
//
// Several processes may each keep to a part of the reserve: as the share is of each
// one's own requests, the sum of all keeps to the whole.
type Window struct {
	share   float64
	reserve float64
	span    time.Duration
	// parts are counted by the number of their time since the beginning of time.
	parts map[int64]*windowPart
}

// windowPart is what happened in a part of a span.
type windowPart struct {
	requests int
	retries  int
}

// NewWindow returns a window of the span, in which nothing has happened.
func NewWindow(share, reserve float64, span time.Duration) *Window {
	return &Window{share: share, reserve: reserve, span: span, parts: make(map[int64]*windowPart)}
}

// With returns a window with other bounds in which the same has happened.
func (w *Window) With(share, reserve float64, span time.Duration) *Window {
	next := NewWindow(share, reserve, span)
	if span == w.span {
		next.parts = w.parts
	}
	return next
}

// Request counts a request that is sent for the first time.
func (w *Window) Request(now time.Time) { w.part(now).requests++ }

// Spend takes one retry, or reports that there may be none now.
func (w *Window) Spend(now time.Time) bool {
	requests, retries := w.count(now)
	if float64(retries+1) > w.share*float64(requests)+w.reserve {
		return false
	}
	w.part(now).retries++
	return true
}

// count returns the requests and retries of the span that ends now. The part at its
// beginning, which lies in it partly, counts for retries only.
func (w *Window) count(now time.Time) (requests, retries int) {
	last := w.number(now)
	for n, p := range w.parts {
		switch {
		case n < last-windowParts:
			delete(w.parts, n)
		case n == last-windowParts:
			retries += p.retries
		default:
			requests += p.requests
			retries += p.retries
		}
	}
	return requests, retries
}

func (w *Window) number(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(w.span/windowParts))
}

func (w *Window) part(now time.Time) *windowPart {
	n := w.number(now)
	p, ok := w.parts[n]
	if !ok {
		p = &windowPart{}
		w.parts[n] = p
	}
	return p
}
