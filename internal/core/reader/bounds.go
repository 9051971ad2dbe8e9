package reader

import "time"

const (
	// defaultWatch is the longest wait of a watch, where nothing asks for less.
	defaultWatch = 10 * time.Second
	// watchShare is the part of the age up to which keys are honoured that one
	// watch may take; each answer proves the age anew, and one may be lost.
	watchShare = 0.5
	// configShare is the part of the time in which a configuration must be in
	// force that one watch may take. A store that forgets its history may say
	// nothing to a watch that waits, so that only the next one tells; the rest of
	// the time is for that one, a listing, and the way to followers.
	configShare = 0.75
	// listShare is the part of the age up to which the list of upstreams is relied on
	// that one watch may take; the rest is for the way to followers, which ask every
	// half second.
	listShare = 0.65
	// leastWatchShare is the part of the usual time that a watch waits at least when
	// the view has become old meanwhile.
	leastWatchShare = 0.25
	// lateFactor is the number of watches within which a parent must prove the age of
	// the view; after that a gateway asks the store. With two watches in the time for
	// which keys are honoured, a quarter of that time is left for it.
	lateFactor = 1.5
	// turnShare is the part of the time in which a configuration must be in force after
	// which a gateway asks the store again; the rest is for a call that is on its way, and
	// for the answer.
	turnShare = 0.75
	// defaultTurn is that time where no such bound is set.
	defaultTurn = 1500 * time.Millisecond
	// turnSpread is the part of that time by which it is shortened at most: gateways that
	// asked at the same moment do not ask at the same moment again.
	turnSpread = 0.35
	// answerMargin is left for the answer where a gateway asks for the first time.
	answerMargin = 100 * time.Millisecond
)

// Bounds are the times in which a gateway has to know what the store holds; 0 for none.
type Bounds struct {
	// KeyAge is the age of the view up to which keys are honoured.
	KeyAge time.Duration
	// ListAge is the age of the view up to which it is relied on without asking the
	// store.
	ListAge time.Duration
	// ConfigWithin is the time within which a configuration must be in force.
	ConfigWithin time.Duration
}

// UsualWait is how long a watch waits when all is well. Each answer proves the
// age of the view anew: of the keys, where revocation is strict, and of the
// configuration in any case.
func (b Bounds) UsualWait() time.Duration {
	wait := defaultWatch
	if b.KeyAge > 0 {
		wait = min(wait, time.Duration(watchShare*float64(b.KeyAge)))
	}
	if b.ListAge > 0 {
		wait = min(wait, time.Duration(listShare*float64(b.ListAge)))
	}
	if b.ConfigWithin > 0 {
		wait = min(wait, time.Duration(configShare*float64(b.ConfigWithin)))
	}
	return wait
}

// Late reports whether the view is too old to wait for a parent. A parent that has
// lost the store goes on answering until its own watch has timed out.
func (b Bounds) Late(v View) bool { return v.InForce && b.untilLate(v) < 0 }

// untilLate is the time until the view is too old to wait for a parent.
func (b Bounds) untilLate(v View) time.Duration {
	limit := time.Duration(lateFactor * float64(b.UsualWait()))
	if b.ListAge > 0 {
		limit = min(limit, b.ListAge)
	}
	return limit - v.Age
}

// untilOld is the usual time less the age of the view. A watch that brought changes
// proves no more than when it was asked; if the next one took its usual time, the
// followers would find the view too old and all ask the store.
func (b Bounds) untilOld(v View) time.Duration {
	usual := b.UsualWait()
	if !v.InForce {
		return usual
	}
	least := time.Duration(leastWatchShare * float64(usual))
	return min(usual, max(least, usual-v.Age))
}

// AskWithin is the longest time between two questions to the store of a gateway whose view
// is too old, from the beginning of one to that of the next.
func (b Bounds) AskWithin() time.Duration {
	if b.ConfigWithin <= 0 {
		return defaultTurn
	}
	return time.Duration(turnShare * float64(b.ConfigWithin))
}

// nextTurn is the time, drawn by the roll of a dice, after which a gateway asks the store
// again.
func (b Bounds) nextTurn(roll uint64) time.Duration {
	d := b.AskWithin()
	return d - part(time.Duration(turnSpread*float64(d)), roll)
}

// part returns a part of the time, drawn by the roll of a dice; 0 if there is none.
func part(d time.Duration, roll uint64) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(roll % uint64(d))
}

// firstTurn is the time, drawn by the roll of a dice, after which a gateway whose view has
// just become too old asks the store at the latest: before a configuration that it has not
// heard of must be in force.
func (b Bounds) firstTurn(v View, roll uint64) time.Duration {
	if !v.Known {
		return b.AskWithin()
	}
	left := b.AskWithin()
	if b.ConfigWithin > 0 {
		left = min(left, b.ConfigWithin-answerMargin-v.Age)
	}
	return part(left, roll)
}
