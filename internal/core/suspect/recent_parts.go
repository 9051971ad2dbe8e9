package suspect

import "time"

const (
	// recentPeriod is how long a part counts as answered recently.
	recentPeriod = 10 * time.Second
	// maxRecentParts bounds the parts that are kept, at about 150 bytes each.
	maxRecentParts = 4096
)

// recentPart is a part that was answered recently.
type recentPart struct {
	// answeredAt is when a request with the part was last answered.
	answeredAt time.Time
	// sentAt is when the latest run that was answered had been sent to its upstream.
	sentAt time.Time
	// crashedAt is when the part was last present at a crash that was ignored.
	crashedAt time.Time
}

// recentParts holds the parts that were answered recently. Popular parts are present at most
// crashes; they are answered again before the next one. A part that begins to crash upstreams
// is not, so that only its first crash is ignored.
type recentParts map[uint64]recentPart

// answered records that a request with the part was answered, which had been sent to its
// upstream at sentAt.
func (r recentParts) answered(now, sentAt time.Time, p Print) {
	if len(r) >= maxRecentParts {
		r.dropBefore(now.Add(-recentPeriod))
	}
	part, ok := r[shortHash(p)]
	if !ok && len(r) >= maxRecentParts {
		return
	}
	part.answeredAt = now
	part.sentAt = later(part.sentAt, sentAt)
	r[shortHash(p)] = part
}

func (r recentParts) dropBefore(oldest time.Time) {
	for key, part := range r {
		if part.answeredAt.Before(oldest) {
			delete(r, key)
		}
	}
}

// ignoreCrash reports whether a crash of an upstream that ran a request with the part here is
// to be ignored: the first one since the latest of the answered requests was sent. Runs that
// were sent before a crash and are answered after it do not prove that a part is still sound.
func (r recentParts) ignoreCrash(now time.Time, p Print) bool {
	part, ok := r[shortHash(p)]
	if !ok || now.Sub(part.answeredAt) > recentPeriod || part.crashedAt.After(part.sentAt) {
		return false
	}
	part.crashedAt = now
	r[shortHash(p)] = part
	return true
}

// answeredSince reports whether a request with the part was answered after the time.
func (r recentParts) answeredSince(at time.Time, p Print) bool {
	return r[shortHash(p)].answeredAt.After(at)
}
