package gatewayd

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/gladegauge/gladegauge/internal/core/feed"
	"github.com/gladegauge/gladegauge/internal/core/reader"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/platform"
)

// fromStore names the store as the one that told something.
const fromStore = "store"

// follower reads the store for one gateway, from its parent or by itself.
type follower struct {
	server *Server
	store  *platform.Store
	reader *reader.Reader
	// position is the one in the store up to which everything is known.
	position feed.Position
	// consistency is of the next listing. A stale one is cheap and is brought up
	// to date by the watch that follows; but after the store has forgotten its
	// history, one that is older than that history would lead nowhere.
	consistency platform.Consistency
	// lateSince is when what is known became too old to wait for others; zero while it
	// is not.
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
		reader:      reader.New(s.now()),
		consistency: platform.Stale,
	}
	for ctx.Err() == nil {
		f.step(ctx)
	}
	return nil
}

// step asks once.
func (f *follower) step(ctx context.Context) {
	switch q := f.next(); q.Kind {
	case reader.Pause:
		loop.Pause(ctx, q.Wait)
	case reader.QueryPeer:
		f.askPeer(ctx, q)
	case reader.List:
		f.list(ctx)
	case reader.Watch:
		f.watch(ctx, q.Wait)
	}
}

// next returns what to ask next.
func (f *follower) next() reader.Query {
	var q reader.Query
	f.server.control.DoWithoutCancel(func(now time.Time) {
		v, b := f.view(now), f.server.readerBounds()
		if f.lateSince.IsZero() && b.IsStale(v) {
			f.lateSince = now
			f.logKnown(f.server.log.Info()).Msg("view: too old to wait for others")
		}
		q = f.reader.Next(now, v, b, f.server.fleet, rand.Uint64()) //nolint:gosec // Any one will do.
	})
	return q
}

// view is what is known of the store. What was read is new also while nothing proves the
// configuration in force, as the newest one cannot be read. It runs in the control goroutine.
func (f *follower) view(now time.Time) reader.View {
	v := f.server.view.Load()
	return reader.View{Known: f.position.Known(), InForce: v.Table != nil, Age: min(v.Age(now), now.Sub(f.server.readAt))}
}

// readerBounds returns the times in which this gateway has to know what the store holds.
func (s *Server) readerBounds() reader.Bounds {
	b := s.bounds.Load()
	return reader.Bounds{KeyAge: b.KeyAge, ListAge: b.ListAge, MaxConfigDelay: b.DenyAge}
}

// late reports whether what is known is too old to wait for others.
func (f *follower) late() bool {
	var late bool
	f.server.control.DoWithoutCancel(func(now time.Time) { late = f.server.readerBounds().IsStale(f.view(now)) })
	return late
}

// noteRenewed writes by whom a view that had been too old was proved anew.
func (f *follower) noteRenewed(now time.Time, from string) {
	if f.lateSince.IsZero() || f.late() {
		return
	}
	f.logKnown(f.server.log.Info()).Str("from", from).Dur("after", now.Sub(f.lateSince)).Msg("view: renewed")
	f.lateSince = time.Time{}
}

// wasRead notes that all that is known was read from the store then. It runs in the control
// goroutine.
func (s *Server) wasRead(at time.Time) {
	if at.After(s.readAt) {
		s.readAt = at
	}
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
	f.reader.Listed()
	f.server.report(all.Faults)
	f.server.control.DoWithoutCancel(func(now time.Time) {
		f.server.takeWhole(now, all.Position, all)
		f.server.settleByList(all)
		f.server.applyTable(all.Table, !all.ConfigFaulty(), asked, fromStore)
		f.server.wasRead(asked)
	})
	f.noteRenewed(f.server.now(), fromStore)
}

// watch waits for changes once.
func (f *follower) watch(ctx context.Context, wait time.Duration) {
	asked := f.server.now()
	c, err := f.store.Watch(ctx, f.position, wait)
	if changesGone(err) {
		f.consistency = platform.Newest
		f.reader.HistoryCompacted()
		f.logKnown(f.server.log.Info()).AnErr("cause", err).Msg("store: changes cannot be had, reading everything anew")
		return
	}
	if err != nil {
		f.failed(ctx, err)
		return
	}
	f.succeeded()
	f.take(c, provedAt(asked, f.server.now(), wait, c))
	f.reader.Watched(f.server.now(), c.Any())
	f.noteRenewed(f.server.now(), fromStore)
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
	f.position = c.Position
	f.server.report(c.Faults)
	f.server.control.DoWithoutCancel(func(now time.Time) {
		if len(c.Entries) > 0 {
			f.server.feedFrom(c.Position, c.Entries, false)
		}
		if c.AnyUpstreams() {
			f.server.changeRoster(now, c)
		}
		f.server.settleByWatch(c)
		f.server.applyTable(c.Table, !c.ConfigFaulty(), proof, fromStore)
		f.server.wasRead(proof)
	})
}

// failed notes a failure.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var leaves time.Duration
	f.server.control.DoWithoutCancel(func(now time.Time) {
		f.server.storeFailed(now)
		leaves = f.server.fleet.Backoff(now)
	})
	f.logFailure(err, leaves)
	f.reader.StoreFailed(f.server.now(), rand.Uint64()) //nolint:gosec // Jitter needs no secret randomness.
}

// logFailure writes that a call failed: the first one as a change of state, every further
// one as well, since between them the store is left to others for the time.
func (f *follower) logFailure(err error, leaves time.Duration) {
	line, text := f.server.log.Info(), "store: still lost"
	if !f.reader.Lost() {
		line, text = f.server.log.Warn(), "store: lost"
	}
	f.logKnown(line).Dur("leaves_to_others", leaves).Err(err).Msg(text)
}

// succeeded notes an answer. After an outage upstreams need a moment to renew
// their entries.
func (f *follower) succeeded() {
	f.server.control.DoWithoutCancel(f.server.storeAnswered)
	loss := f.reader.StoreAnswered(f.server.now())
	if loss.Lost {
		f.server.log.Info().Dur("after", loss.After).Msg("store: regained")
	}
	if loss.Outage {
		f.server.control.DoWithoutCancel(func(time.Time) { f.server.roster.Recovered(loss.FailedAt) })
	}
}
