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

// sourceStore names the store as the source of a state.
const sourceStore = "store"

// follower keeps the state of one gateway up to date, from its parent or from the store.
type follower struct {
	server *Server
	store  *platform.Store
	reader *reader.Reader
	// position is the position in the store up to which the state is complete.
	position feed.Position
	// consistency is that of the next listing. A stale listing is cheap, and the watch
	// that follows brings it up to date. After the store has compacted its history, a
	// listing older than that history cannot be continued by a watch.
	consistency platform.Consistency
	// staleSince is when the view became too old to wait for other gateways; zero while it
	// is not.
	staleSince time.Time
	// stalledProofAt is the time of the proof in force when another gateway answered at
	// once without anything that could be applied; zero otherwise.
	stalledProofAt time.Time
}

// follow learns the published state and then every change to it, from its parent or from
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

// step performs one query.
func (f *follower) step(ctx context.Context) {
	switch q := f.next(); q.Kind {
	case reader.Sleep:
		loop.Sleep(ctx, q.Wait)
	case reader.QueryPeer:
		f.queryPeer(ctx, q)
	case reader.List:
		f.list(ctx)
	case reader.Watch:
		f.watch(ctx, q.Wait)
	}
}

// next returns the next query.
func (f *follower) next() reader.Query {
	var q reader.Query
	f.server.control.DoWithoutCancel(func(now time.Time) {
		v, b := f.view(now), f.server.readerBounds()
		if f.staleSince.IsZero() && b.IsStale(v) {
			f.staleSince = now
			f.withStoreState(f.server.log.Info()).Msg("view: stale, no longer waiting for other gateways")
		}
		q = f.reader.Next(now, v, b, f.server.fleet, rand.Uint64()) //nolint:gosec // Jitter needs no secret randomness.
	})
	return q
}

// view describes the known state of the store. What was read counts as new even while the
// newest configuration cannot be decoded, so that nothing proves the one in force. It runs
// in the control loop.
func (f *follower) view(now time.Time) reader.View {
	v := f.server.view.Load()
	return reader.View{Known: f.position.Known(), InForce: v.Table != nil, Age: min(v.Age(now), now.Sub(f.server.storeReadAt))}
}

// readerBounds returns the maximum ages of the state that this gateway knows.
func (s *Server) readerBounds() reader.Bounds {
	b := s.bounds.Load()
	return reader.Bounds{MaxKeyAge: b.MaxKeyAge, MaxListAge: b.MaxListAge, MaxConfigDelay: b.MaxDenyAge}
}

// stale reports whether the view is too old to wait for other gateways.
func (f *follower) stale() bool {
	var stale bool
	f.server.control.DoWithoutCancel(func(now time.Time) { stale = f.server.readerBounds().IsStale(f.view(now)) })
	return stale
}

// logRenewed logs which source proved a stale view anew.
func (f *follower) logRenewed(now time.Time, from string) {
	if f.staleSince.IsZero() || f.stale() {
		return
	}
	f.withStoreState(f.server.log.Info()).Str("from", from).Dur("after", now.Sub(f.staleSince)).Msg("view: no longer stale")
	f.staleSince = time.Time{}
}

// recordRead records that the known state is complete as of the given time. It runs in the
// control loop.
func (s *Server) recordRead(at time.Time) {
	s.streams.ListedAt(at)
	if at.After(s.storeReadAt) {
		s.storeReadAt = at
	}
}

// list reads the full state.
func (f *follower) list(ctx context.Context) {
	asked := f.server.now()
	if f.consistency == platform.Stale {
		// A stale listing does not prove how old it is.
		asked = time.Time{}
	}
	all, err := f.store.List(ctx, f.consistency)
	if err == nil && all.Position.Epoch < f.position.Epoch {
		err = platform.ErrEarlierEpoch
	}
	if err != nil {
		f.handleFailure(ctx, err)
		return
	}
	f.handleSuccess()
	if f.consistency == platform.Stale && all.Position.Epoch > 0 {
		// The store was restored from a backup, possibly after the state that this listing
		// shows. What follows its revision may then belong to another history.
		f.consistency = platform.Newest
		return
	}
	f.withStoreState(f.server.log.Info()).Int64("new_epoch", all.Position.Epoch).Int64("new_revision", all.Position.Revision).
		Int("entries", len(all.Entries)).Msg("store: listed all entries")
	f.position = all.Position
	f.reader.Listed()
	f.server.logFaults(all.Faults)
	f.server.control.DoWithoutCancel(func(now time.Time) {
		f.server.applySnapshot(now, all.Position, all)
		f.server.recordListedConfig(all)
		f.server.applyTable(all.Table, !all.ConfigFaulty(), asked, sourceStore)
		f.server.recordRead(asked)
	})
	f.logRenewed(f.server.now(), sourceStore)
}

// watch waits for changes once.
func (f *follower) watch(ctx context.Context, wait time.Duration) {
	asked := f.server.now()
	c, err := f.store.Watch(ctx, f.position, wait)
	if needsRelist(err) {
		f.consistency = platform.Newest
		f.reader.HistoryCompacted()
		f.withStoreState(f.server.log.Info()).AnErr("cause", err).Msg("store: changes unavailable, relisting")
		return
	}
	if err != nil {
		f.handleFailure(ctx, err)
		return
	}
	f.handleSuccess()
	f.applyChanges(c, provedAt(asked, f.server.now(), wait, c))
	f.reader.Watched(f.server.now(), c.Any())
	f.logRenewed(f.server.now(), sourceStore)
}

// withStoreState adds to a log line the position up to which the store is known, and the
// age of the proof of the configuration in force.
func (f *follower) withStoreState(line *zerolog.Event) *zerolog.Event {
	return line.Int64("epoch", f.position.Epoch).Int64("revision", f.position.Revision).
		Uint64("view_age", viewAgeMs(f.server.view.Load(), f.server.now()))
}

// needsRelist reports whether a watch from the same position would fail again. If there
// are too many changes for one answer, every watch fails: another writer could otherwise
// hide the changes of all others.
func needsRelist(err error) bool {
	return errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrTooLarge) || errors.Is(err, platform.ErrRestored)
}

// applyChanges applies changes from the store. The state was the newest at the time of the
// proof.
func (f *follower) applyChanges(c platform.Changes, proof time.Time) {
	f.position = c.Position
	f.server.logFaults(c.Faults)
	f.server.control.DoWithoutCancel(func(now time.Time) {
		if len(c.Entries) > 0 {
			f.server.addToFeed(c.Position, c.Entries, false)
		}
		if c.AnyUpstreams() {
			f.server.changeRoster(now, c)
		}
		f.server.recordWatchedConfig(c)
		f.server.applyTable(c.Table, !c.ConfigFaulty(), proof, sourceStore)
		f.server.recordRead(proof)
	})
}

// handleFailure records a failed call.
func (f *follower) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var backoff time.Duration
	f.server.control.DoWithoutCancel(func(now time.Time) {
		f.server.storeFailed(now)
		backoff = f.server.fleet.Backoff(now)
	})
	f.logFailure(err, backoff)
	f.reader.StoreFailed(f.server.now(), rand.Uint64()) //nolint:gosec // Jitter needs no secret randomness.
}

// logFailure logs a failed call: the first one as a change of state, and each further one
// too, because in between the store is avoided for the given time.
func (f *follower) logFailure(err error, backoff time.Duration) {
	line, text := f.server.log.Info(), "store: still unreachable"
	if !f.reader.Lost() {
		line, text = f.server.log.Warn(), "store: unreachable"
	}
	f.withStoreState(line).Dur("leaves_to_others", backoff).Err(err).Msg(text)
}

// handleSuccess records an answer. After an outage upstreams need some time to renew their
// entries.
func (f *follower) handleSuccess() {
	f.server.control.DoWithoutCancel(f.server.storeAnswered)
	loss := f.reader.StoreAnswered(f.server.now())
	if loss.Lost {
		f.server.log.Info().Dur("after", loss.After).Msg("store: reachable again")
	}
	if loss.Outage {
		f.server.control.DoWithoutCancel(func(time.Time) { f.server.roster.Recovered(loss.FailedAt) })
	}
}
