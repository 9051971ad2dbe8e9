package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform/standin"
)

const (
	// maxRolloutPause is the maximum pause between two steps of a rollout.
	maxRolloutPause = 900 * time.Millisecond
	// maxDrain is the maximum time from listing a replica as draining to its removal.
	maxDrain = 1500 * time.Millisecond
	// maxResumes is the number of times that a caller resumes the same stream.
	maxResumes = 3
	// minReturnShare is the minimum share of the streams resumed that go on, relative to the
	// share of new streams that begin.
	minReturnShare = 0.9
)

// softwareName returns the name of a software version.
func softwareName(n int) string { return "s" + strconv.Itoa(n) }

// nextSoftware returns the version of a replica that starts: of the two that serve the one
// with fewer replicas. The caller holds the mutex, or nothing else runs yet.
func (h *Harness) nextSoftware() string {
	count := make(map[string]int)
	for _, r := range h.replicas {
		count[r.Version]++
	}
	older, newer := softwareName(h.software), softwareName(h.software+1)
	if count[older] < count[newer] {
		return older
	}
	return newer
}

// InjectRollouts replaces replicas by ones of another software version, one after the other,
// until the context ends. A rollout goes forward until no replica of the older version is
// left, and then the next one begins; at any step it may go back. It has its own random number
// generator, so that the other faults of a seed stay the same.
func (h *Harness) InjectRollouts(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 91)) //nolint:gosec // Seeded on purpose.
	for loop.Sleep(ctx, randomBelow(rng, maxRolloutPause)) {
		from, to := softwareName(h.software), softwareName(h.software+1)
		if rng.IntN(3) == 0 {
			from, to = to, from
		}
		h.mu.Lock()
		old, ok := h.rollOut(from, to)
		if !ok && from == softwareName(h.software) {
			h.software++
		}
		h.mu.Unlock()
		if ok {
			h.recordDuring("rollout", noGateway, func() { h.drain(old, randomBelow(rng, maxDrain)) })
		}
	}
}

// rollOut starts a replica of the version to in place of one of the version from, which it
// returns; false if there is none. The caller holds the mutex.
func (h *Harness) rollOut(from, to string) (*replica, bool) {
	i := slices.IndexFunc(h.replicas, func(r *replica) bool { return r.Version == from })
	if i < 0 {
		return nil, false
	}
	old := h.replicas[i]
	h.replicas[i] = h.newReplica(to)
	return old, true
}

// resume resumes a stream that broke off, at random gateways, until it is whole or the caller
// gives up. After a refusal it waits as told.
func (h *Harness) resume(ctx context.Context, clients []*standin.Caller, rng *rand.Rand, c Call) {
	first, last := c.ID, lastEventOf(c.Body)
	for n := range maxResumes {
		if !isResumable(c.Kind) || c.Whole || last == "" || last == strconv.Itoa(eventsPerStream) {
			return
		}
		next := Call{ID: fmt.Sprintf("%s-again-%d", first, n), Kind: c.Kind, Key: c.Key, Resumes: first, LastEvent: last}
		var a standin.Answer
		if c, a = h.call(ctx, clients, rng, next); lastEventOf(c.Body) != "" {
			last = lastEventOf(c.Body)
		}
		time.Sleep(a.RetryAfter())
	}
}
