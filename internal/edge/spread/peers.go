package spread

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/revision"
	core "github.com/gladegauge/gladegauge/internal/core/spread"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// addresses returns the addresses of the process's peers, or the seeds if no peer is known.
func (s *Sync) addresses(ctx context.Context) []string {
	var addresses []string
	_ = s.o.Loop.Do(ctx, func(time.Time) {
		for _, h := range core.Peers(s.set, s.o.Self) {
			addresses = append(addresses, h.Address)
		}
	})
	if len(addresses) == 0 {
		return s.o.Seeds
	}
	return addresses
}

// exchangeLoop polls the peers in turn.
func (s *Sync) exchangeLoop(ctx context.Context) error {
	for loop.Sleep(ctx, core.ExchangeInterval/2+jitter(core.ExchangeInterval)) {
		addresses := s.addresses(ctx)
		if len(addresses) == 0 {
			continue
		}
		s.peerIndex++
		s.exchange(ctx, addresses[s.peerIndex%len(addresses)])
	}
	return nil
}

// notifyLoop exchanges with all peers at once when something changed.
func (s *Sync) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-s.notifications:
		case <-ctx.Done():
			return nil
		}
		group, gctx := errgroup.WithContext(ctx)
		for _, address := range s.addresses(ctx) {
			group.Go(func() error {
				s.exchange(gctx, address)
				return nil
			})
		}
		_ = group.Wait()
	}
}

// exchange sends a peer the versions in force and fetches whatever is newer there. It
// reports whether the peer responded.
func (s *Sync) exchange(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req := &gladegaugev1.ExchangeRequest{From: s.o.Self.ID}
	var sentAt time.Time
	prepare := func(now time.Time) {
		sentAt = now
		req.State = s.state(now)
		req.Suspects = s.suspects.NextMessage(now, address, false)
	}
	if s.o.Loop.Do(ctx, prepare) != nil {
		return false
	}
	resp, err := s.peer(address).Exchange(ctx, connect.NewRequest(req))
	s.countPeer("exchange", err)
	if err != nil {
		return false
	}
	want := &gladegaugev1.FetchRequest{}
	err = s.o.Loop.Do(ctx, func(now time.Time) {
		s.receiveSuspects(now, address, resp.Msg.GetSuspects())
		want.Manifest = s.newer(resp.Msg.GetState().GetVersion(), address)
		want.Zones = s.newerZones(resp.Msg.GetState())
		if !want.GetManifest() && len(want.GetZones()) == 0 {
			s.freshness.Confirmed(now)
			s.recordProof(sentAt, resp.Msg.GetState())
			want = nil
		}
	})
	if err == nil && want != nil {
		return s.fetchFrom(ctx, address, want)
	}
	return err == nil
}

func (s *Sync) countPeer(kind string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	s.o.Metrics.PeerCalls.WithLabelValues(kind, result).Inc()
}

// pullLoop exchanges with processes that reported a newer version.
func (s *Sync) pullLoop(ctx context.Context) error {
	for {
		select {
		case address := <-s.pulls:
			s.exchange(ctx, address)
		case <-ctx.Done():
			return nil
		}
	}
}

// fetchFrom fetches the wanted documents from a peer and applies them.
func (s *Sync) fetchFrom(ctx context.Context, address string, want *gladegaugev1.FetchRequest) bool {
	resp, err := s.peer(address).Fetch(ctx, connect.NewRequest(want))
	s.countPeer("fetch", err)
	if err != nil {
		return false
	}
	manifest := resp.Msg.GetManifest()
	var missing []string
	wanted := false
	err = s.o.Loop.Do(ctx, func(now time.Time) {
		for _, list := range resp.Msg.GetLists() {
			s.applyList(now, list)
		}
		if manifest != nil && s.checkManifest(manifest, address) == revision.Newer {
			wanted = true
			missing = s.holder.Missing(manifest)
		}
	})
	if err != nil {
		return false
	}
	if wanted && !s.fetchShards(ctx, address, manifest, missing) {
		return false
	}
	return s.o.Loop.Do(ctx, func(now time.Time) { s.freshness.Confirmed(now) }) == nil
}

func (s *Sync) fetchShards(ctx context.Context, address string, m *gladegaugev1.Manifest, names []string) bool {
	resp, err := s.peer(address).Fetch(ctx, connect.NewRequest(&gladegaugev1.FetchRequest{Shards: names}))
	s.countPeer("fetch", err)
	if err != nil {
		return false
	}
	doc := config.Document{Manifest: m, Shards: make(map[string][]byte)}
	for _, shard := range resp.Msg.GetShards() {
		doc.Shards[shard.GetName()] = shard.GetValue()
	}
	verdict := revision.Rejected
	_ = s.o.Loop.Do(ctx, func(now time.Time) { verdict = s.apply(now, doc) })
	return verdict != revision.Rejected
}
