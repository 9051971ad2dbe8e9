package retry

import "time"

// windowBuckets is the number of buckets that a window is counted in. More buckets waste
// less of the budget at the edges of the window.
const windowBuckets = 20

// Window bounds retries by the requests of a sliding window: in no window are there more
// retries than a fraction of its requests plus a reserve. A Budget accumulates at most its
// reserve; a Window allows many retries after a crash that breaks many requests at once. It
// is not safe for concurrent use.
//
// The reserve may be divided among several processes: as the ratio applies to each one's
// own requests, their sum keeps the total bound.
type Window struct {
	ratio   float64
	reserve float64
	span    time.Duration
	// buckets are indexed by their number since the Unix epoch.
	buckets map[int64]*windowBucket
}

// windowBucket counts the requests and retries of one part of a window.
type windowBucket struct {
	requests int
	retries  int
}

// NewWindow returns an empty window of the given span.
func NewWindow(ratio, reserve float64, span time.Duration) *Window {
	return &Window{ratio: ratio, reserve: reserve, span: span, buckets: make(map[int64]*windowBucket)}
}

// With returns a window with other bounds. The counts are kept if the span is the same.
func (w *Window) With(ratio, reserve float64, span time.Duration) *Window {
	next := NewWindow(ratio, reserve, span)
	if span == w.span {
		next.buckets = w.buckets
	}
	return next
}

// Request counts the first attempt of a request.
func (w *Window) Request(now time.Time) { w.bucket(now).requests++ }

// Spend takes one retry, or returns false if none is allowed now.
func (w *Window) Spend(now time.Time) bool {
	requests, retries := w.count(now)
	if float64(retries+1) > w.ratio*float64(requests)+w.reserve {
		return false
	}
	w.bucket(now).retries++
	return true
}

// count returns the requests and retries of the window that ends now. The oldest bucket
// lies only partly in the window: its retries count, its requests do not.
func (w *Window) count(now time.Time) (requests, retries int) {
	last := w.index(now)
	for n, p := range w.buckets {
		switch {
		case n < last-windowBuckets:
			delete(w.buckets, n)
		case n == last-windowBuckets:
			retries += p.retries
		default:
			requests += p.requests
			retries += p.retries
		}
	}
	return requests, retries
}

func (w *Window) index(now time.Time) int64 {
	return now.UnixNano() / max(1, int64(w.span/windowBuckets))
}

func (w *Window) bucket(now time.Time) *windowBucket {
	n := w.index(now)
	p, ok := w.buckets[n]
	if !ok {
		p = &windowBucket{}
		w.buckets[n] = p
	}
	return p
}
