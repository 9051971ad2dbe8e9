package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform"
)

// Times of following the store.
const (
	// defaultWatch is the longest wait of a watch, where nothing asks for less.
	defaultWatch = 10 * time.Second
	// returnWatch is the wait of the first watch after an outage, the shortest
	// that the store takes.
	returnWatch = time.Millisecond
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
	// gatherFor is the pause after a watch that brought changes. Changes come
	// in groups, and every call is paid for.
	gatherFor = 150 * time.Millisecond
	// startPause is the least pause between two questions of a gateway that starts to
	// others, and half of the longest. A hundred gateways ask three.
	startPause = 100 * time.Millisecond
	// unansweredMost is the number of gateways that do not answer, one after the other,
	// after which the store is asked instead.
	unansweredMost = 2
	// leastWatchShare is the part of the usual time that a watch waits at least when
	// the view has become old meanwhile.
	leastWatchShare = 0.25
)

// fromStore names the store as the one that told something.
const fromStore = "store"

// follower keeps the state of one gateway's reading of the store.
type follower struct {
	server *Server
	store  *platform.Store
	// position is the one in the store up to which everything is known.
	position feed.Position
	contact  contact
	// consistency is of the next listing. A stale one is cheap and is brought up
	// to date by the watch that follows; but after the store has forgotten its
	// history, one that is older than that history would lead nowhere.
	consistency platform.Consistency
	// listed is true until the first watch after a listing.
	listed bool
	// unfollowed is true once the store cannot tell what followed the position.
	unfollowed bool
	// tryPeer is true after a call to the store failed: another gateway may still
	// reach it.
	tryPeer bool
	// unanswered is the number of questions to other gateways in a row that had no answer.
	unanswered int
	// lateSince is when what is known became too old to wait for others; zero while it is
	// not.
	lateSince time.Time
	// stuckAt is the proof that was in force when another gateway answered at once and
	// brought nothing that could be taken; zero otherwise.
	stuckAt time.Time
}

// follow learns what is published and then every change, from its parent or from
// the store, until the context ends.
func (s *Server) follow(ctx context.Context) error {
	f := &follower{
		server:      s,
		store:       platform.NewStore(s.o.Settings.Store, s.now, s.metrics.storeCall),
		contact:     contact{goodAt: s.now()},
		consistency: platform.Stale,
	}
	for ctx.Err() == nil {
		f.step(ctx)
	}
	return nil
}

// step asks once.
func (f *follower) step(ctx context.Context) {
	f.noteLate(f.server.now())
	wait, timeout := f.poll(f.server.now())
	if address, ok := f.source(); ok && f.answered(ctx, address, wait, timeout) {
		f.noteRenewed(f.server.now(), address)
		return
	}
	if f.waitsForOthers(f.server.now()) {
		loop.Pause(ctx, startPause+rand.N(startPause)) //nolint:gosec // Jitter needs no secret randomness.
		return
	}
	if !f.position.Known() || f.unfollowed {
		f.list(ctx)
		return
	}
	f.watch(ctx)
}

// noteLate writes when what is known becomes too old to wait for others.
func (f *follower) noteLate(now time.Time) {
	if !f.lateSince.IsZero() || !f.late(now) {
		return
	}
	f.lateSince = now
	f.logKnown(f.server.log.Info()).Msg("view: too old to wait for others")
}

// noteRenewed writes by whom a view that had been too old was proved anew.
func (f *follower) noteRenewed(now time.Time, from string) {
	if f.lateSince.IsZero() || f.late(now) {
		return
	}
	f.logKnown(f.server.log.Info()).Str("from", from).Dur("after", now.Sub(f.lateSince)).Msg("view: renewed")
	f.lateSince = time.Time{}
}

// answered asks the gateway at the address. It reports false if the store is to be asked
// instead: one gateway that does not answer is left for the next one, but a gateway that
// reaches no other reads the store itself.
func (f *follower) answered(ctx context.Context, address string, wait, timeout time.Duration) bool {
	if f.askPeer(ctx, address, wait, timeout) {
		f.unanswered = 0
		return true
	}
	f.unanswered++
	if !f.position.Known() || f.unanswered >= unansweredMost {
		f.unanswered = 0
		return false
	}
	return true
}

// waitsForOthers reports whether a gateway that starts lets others read the store
// first.
func (f *follower) waitsForOthers(now time.Time) bool {
	if f.position.Known() {
		return false
	}
	waits := false
	f.server.control.Must(func(time.Time) { waits = f.server.fleet.WaitsForOthers(now) })
	return waits
}

// list reads everything.
func (f *follower) list(ctx context.Context) {
	asked := f.server.now()
	if f.consistency == platform.Stale {
		// A stale listing proves nothing about its age.
		asked = time.Time{}
	}
	all, err := f.store.List(ctx, f.consistency)
	if err == nil && all.Position.Epoch < f.position.Epoch {
		err = platform.ErrEarlierEpoch
	}
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	if f.consistency == platform.Stale && all.Position.Epoch > 0 {
		// The store came back from a copy before, perhaps since the moment that the listing
		// shows: what follows its revision may be of another history.
		f.consistency = platform.Newest
		return
	}
	f.logKnown(f.server.log.Info()).Int64("new_epoch", all.Position.Epoch).Int64("new_revision", all.Position.Revision).
		Int("entries", len(all.Entries)).Msg("store: everything read")
	f.position = all.Position
	f.unfollowed = false
	f.listed = true
	f.server.report(all.Faults)
	f.server.control.Must(func(now time.Time) {
		f.server.takeWhole(now, all.Position, all)
		f.server.settleByList(all)
		f.server.applyTable(all.Table, !all.ConfigFaulty(), asked, fromStore)
	})
	f.noteRenewed(f.server.now(), fromStore)
}

// watch waits for changes once.
func (f *follower) watch(ctx context.Context) {
	wait := f.wait()
	asked := f.server.now()
	c, err := f.store.Watch(ctx, f.position, wait)
	if changesGone(err) {
		f.consistency = platform.Newest
		f.unfollowed = true
		f.logKnown(f.server.log.Info()).AnErr("cause", err).Msg("store: changes cannot be had, reading everything anew")
		return
	}
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	f.take(c, provedAt(asked, f.server.now(), wait, c))
	f.noteRenewed(f.server.now(), fromStore)
	if c.Any() {
		loop.Pause(ctx, gatherFor)
	}
}

// logKnown adds to a line how far the store is known, and how old the proof of the
// configuration in force is.
func (f *follower) logKnown(line *zerolog.Event) *zerolog.Event {
	return line.Int64("epoch", f.position.Epoch).Int64("revision", f.position.Revision).
		Uint64("view_age", ageOf(f.server.view.Load(), f.server.now()))
}

// changesGone reports whether a watch from the same position would fail again. Too many
// changes for one answer come again with every watch: another writer would keep all others
// from being heard of.
func changesGone(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge) || errors.Is(err, platform.ErrRestored)
}

// take brings changes into force. What is known was the newest at the proof.
func (f *follower) take(c platform.Changes, proof time.Time) {
	f.listed = false
	f.position = c.Position
	f.server.report(c.Faults)
	f.server.control.Must(func(now time.Time) {
		if len(c.Entries) > 0 {
			f.server.feedFrom(c.Position, c.Entries, false)
		}
		if c.AnyUpstreams() {
			f.server.changeRoster(now, c)
		}
		f.server.settleByWatch(c)
		f.server.applyTable(c.Table, !c.ConfigFaulty(), proof, fromStore)
	})
}

// wait is how long the next watch waits. The first one after a listing or an
// outage is answered at once: until it is, keys may be refused for the age of
// the view.
func (f *follower) wait() time.Duration {
	if f.listed || f.contact.lost() || f.late(f.server.now()) {
		return returnWatch
	}
	return f.untilOld(f.server.now())
}

// untilOld is the usual time less the age of the view. A watch that brought changes
// proves no more than when it was asked; if the next one took its usual time, the
// followers would find the view too old and all ask the store.
func (f *follower) untilOld(now time.Time) time.Duration {
	usual := f.usualWait()
	view := f.server.view.Load()
	if view.Table == nil {
		return usual
	}
	least := time.Duration(leastWatchShare * float64(usual))
	return min(usual, max(least, usual-view.Age(now)))
}

// usualWait is how long a watch waits when all is well. Each answer proves the
// age of the view anew: of the keys, where revocation is strict, and of the
// configuration in any case.
func (f *follower) usualWait() time.Duration {
	wait := defaultWatch
	bounds := f.server.bounds.Load()
	if bounds.KeyAge > 0 {
		wait = min(wait, time.Duration(watchShare*float64(bounds.KeyAge)))
	}
	if bounds.ListAge > 0 {
		wait = min(wait, time.Duration(listShare*float64(bounds.ListAge)))
	}
	if bounds.DenyAge > 0 {
		wait = min(wait, time.Duration(configShare*float64(bounds.DenyAge)))
	}
	return wait
}

// failed notes a failure and pauses.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.tryPeer = true
	f.server.control.Must(f.server.storeFailed)
	f.logFailure(err)
	backoff := f.contact.failed(f.server.now())
	//nolint:gosec // Jitter needs no secret randomness.
	loop.Pause(ctx, backoff/2+rand.N(backoff/2))
}

// logFailure writes that a call failed: the first one as a change of state, every further
// one as well, since between them the store is left to others.
func (f *follower) logFailure(err error) {
	line, text := f.server.log.Info(), "store: still lost"
	if !f.contact.lost() {
		line, text = f.server.log.Warn(), "store: lost"
	}
	var leaves time.Duration
	f.server.control.Must(func(now time.Time) { leaves = f.server.fleet.Backoff(now) })
	f.logKnown(line).Dur("leaves_to_others", leaves).Err(err).Msg(text)
}

// succeeded notes an answer. After an outage upstreams need a moment to renew
// their entries.
func (f *follower) succeeded() {
	now := f.server.now()
	f.server.control.Must(f.server.storeAnswered)
	if f.contact.lost() {
		f.server.log.Info().Dur("after", now.Sub(f.contact.lostAt)).Msg("store: regained")
		if f.contact.outage(now) {
			f.server.control.Must(func(time.Time) { f.server.roster.Recovered(f.contact.failedAt) })
		}
	}
	f.contact.succeeded(now)
}
