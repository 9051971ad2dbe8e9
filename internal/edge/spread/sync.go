// Package spread keeps a process's configuration and host lists up to date.
//
// It performs the I/O for the core package of the same name: it watches the platform if
// the process is one of its zone's watchers, exchanges versions with its peers, and
// fetches what is newer. Its state belongs to the process's control loop.
//
// # Usage
//
//	s := spread.New(options)
//	group.Go(func() error { return s.Run(ctx) })
package spread

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/member"
	"github.com/gladegauge/gladegauge/internal/core/revision"
	core "github.com/gladegauge/gladegauge/internal/core/spread"
	"github.com/gladegauge/gladegauge/internal/core/suspect"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/metrics"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	"github.com/gladegauge/gladegauge/internal/edge/suspects"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
	"github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1/gladegaugev1connect"
)

// Timeouts, intervals and limits of synchronization.
const (
	callTimeout    = 2 * time.Second
	watchWait      = 20 * time.Second
	retryPause     = time.Second
	pullBacklog    = 16
	directInterval = 20 * time.Second
	directJitter   = 20 * time.Second
	// directWatchPause is the pause after a failed watch of a process that is no watcher.
	directWatchPause = 10 * time.Second
	zonesInterval    = 30 * time.Second
)

// Options are the settings and dependencies of a Sync.
type Options struct {
	Self     member.Host
	Loop     *loop.Loop
	Platform *platform.Client
	// HTTP and URL are used to call other processes.
	HTTP *http.Client
	URL  func(address string) string
	// Seeds are the addresses to call while no host list is known.
	Seeds   []string
	Metrics *metrics.Metrics
	Log     zerolog.Logger
	// OnConfig and OnMembers run in the control loop.
	OnConfig  func(now time.Time, cfg *config.Config)
	OnMembers func(now time.Time, set *member.Set)
}

// Sync synchronizes the configuration and the host lists with the platform and the peers.
type Sync struct {
	o             Options
	holder        *revision.Holder
	set           *member.Set
	freshness     core.Freshness
	suspects      *suspects.Tracker
	pulls         chan string
	notifications chan struct{}
	watchChanged  chan struct{}
	peerIndex     int
	watching      bool
	// direct is true while the process watches the platform although it is no watcher.
	direct bool
	// loggedConflict is the revision whose conflict was logged last.
	loggedConflict uint64
}

// New returns a Sync without a configuration and host lists.
func New(o Options) *Sync {
	return &Sync{
		o:      o,
		holder: revision.NewHolder(),
		set:    member.NewSet(),
		//nolint:gosec // The number only distinguishes restarts.
		suspects:      suspects.New(suspect.NewRegistry(xxhash.Sum64String(o.Self.ID), rand.Uint64()), o.Log),
		pulls:         make(chan string, pullBacklog),
		notifications: make(chan struct{}, 1),
		watchChanged:  make(chan struct{}, 1),
	}
}

// Run synchronizes until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watchLoop(ctx, s.watchesDirectly, s.watchManifest) })
	group.Go(func() error { return s.watchLoop(ctx, neverDirect, s.watchHosts) })
	group.Go(func() error { return s.exchangeLoop(ctx) })
	group.Go(func() error { return s.pullLoop(ctx) })
	group.Go(func() error { return s.notifyLoop(ctx) })
	group.Go(func() error { return s.directLoop(ctx) })
	group.Go(func() error { return s.zonesLoop(ctx) })
	return group.Wait()
}

// Ready reports whether the process has a configuration that was confirmed since it started
// or resumed. It runs in the control loop.
func (s *Sync) Ready() bool {
	return s.holder.Config() != nil && s.freshness.Ready()
}

// Tick records that the process is running, and drops expired suspects. It runs in the
// control loop.
func (s *Sync) Tick(now time.Time) {
	s.freshness.Tick(now)
	s.suspects.Sweep(now, s.o.Metrics.Suspects)
}

// Config returns the configuration in force, or nil. It runs in the control
// loop.
func (s *Sync) Config() *config.Config { return s.holder.Config() }

// Members returns the host list in force. It runs in the control loop.
func (s *Sync) Members() *member.Set { return s.set }

// Version returns the version in force. It runs in the control loop.
func (s *Sync) Version() *gladegaugev1.Version {
	cfg := s.holder.Config()
	if cfg == nil {
		return &gladegaugev1.Version{}
	}
	return &gladegaugev1.Version{Revision: cfg.Revision(), Digest: []byte(cfg.Digest())}
}

// RecordReport compares a version piggybacked on another process's message with the one
// in force, and schedules a fetch from that process if it is newer. It runs in the
// control loop.
func (s *Sync) RecordReport(v *gladegaugev1.Version, address string) {
	if s.newer(v, address) {
		s.pull(address)
	}
}

// newer reports whether another process's version is newer than the one in force, and
// records a conflict. It runs in the control loop.
func (s *Sync) newer(v *gladegaugev1.Version, address string) bool {
	if v.GetRevision() == 0 {
		return false
	}
	switch s.holder.Compare(v.GetRevision(), string(v.GetDigest())) {
	case revision.Newer:
		return true
	case revision.Conflict:
		s.recordConflict(v.GetRevision(), address)
	case revision.Older, revision.Same, revision.Accepted, revision.Rejected:
	}
	return false
}

// platformName names the platform in place of a peer's address.
const platformName = "platform"

func (s *Sync) recordConflict(rev uint64, address string) {
	s.o.Metrics.Conflicts.Inc()
	if s.loggedConflict != rev {
		s.loggedConflict = rev
		s.o.Log.Error().Uint64("revision", rev).Str("peer", address).
			Msg("another document has the revision in force; the first one stays in force")
	}
}

func (s *Sync) pull(address string) {
	select {
	case s.pulls <- address:
	default:
	}
}

func (s *Sync) peer(address string) gladegaugev1connect.PeerServiceClient {
	return gladegaugev1connect.NewPeerServiceClient(s.o.HTTP, s.o.URL(address))
}

// state returns the versions that the process has in force. It runs in the control loop.
func (s *Sync) state(now time.Time) *gladegaugev1.PeerState {
	st := &gladegaugev1.PeerState{Version: s.Version()}
	if age, ok := s.freshness.ProofAge(now); ok {
		ms := uint32(min(age.Milliseconds(), math.MaxInt32))
		st.ProofAgeMs = &ms
	}
	for _, zone := range s.set.Zones() {
		st.Lists = append(st.Lists, &gladegaugev1.ListVersion{Zone: zone, Version: s.set.Version(zone)})
	}
	return st
}

// recordProof records the platform's confirmation of the version in force that a peer
// relays. The age in the response counts from the time of the request, the earliest time at
// which the peer can have stated it. It runs in the control loop.
func (s *Sync) recordProof(sentAt time.Time, st *gladegaugev1.PeerState) {
	v := st.GetVersion()
	if st.ProofAgeMs == nil || s.holder.Compare(v.GetRevision(), string(v.GetDigest())) != revision.Same {
		return
	}
	s.freshness.Proved(sentAt.Add(-time.Duration(st.GetProofAgeMs()) * time.Millisecond))
}

// newerZones returns the zones whose host lists are newer in the other state. It runs in
// the control loop.
func (s *Sync) newerZones(st *gladegaugev1.PeerState) []string {
	var zones []string
	for _, l := range st.GetLists() {
		if l.GetVersion() > s.set.Version(l.GetZone()) {
			zones = append(zones, l.GetZone())
		}
	}
	return zones
}

// applyList applies a host list if it is newer, without its invalid hosts. It runs in the
// control loop.
func (s *Sync) applyList(now time.Time, list *gladegaugev1.HostList) {
	list.Hosts = slices.DeleteFunc(list.GetHosts(), s.invalidHost)
	next, changed := s.set.With(list)
	if !changed {
		return
	}
	s.set = next
	s.o.OnMembers(now, next)
	entries := next.Entries()
	s.o.Metrics.Hosts.WithLabelValues("entry").Set(float64(entries))
	s.o.Metrics.Hosts.WithLabelValues("agent").Set(float64(len(next.All()) - entries))
	s.notifyPeers()
	s.updateWatching()
}

// invalidHost reports whether a host cannot be used, and logs its faults.
func (s *Sync) invalidHost(h *gladegaugev1.Host) bool {
	faults := config.CheckHost(h)
	if len(faults) > 0 {
		s.o.Log.Warn().Str("host", h.GetId()).Str("faults", faults.String()).Msg("invalid host in the host list is ignored")
	}
	return len(faults) > 0
}

func (s *Sync) updateWatching() {
	watching := core.Watches(s.set, s.o.Self)
	if watching == s.watching {
		return
	}
	s.watching = watching
	value := 0.0
	if watching {
		value = 1
	}
	s.o.Metrics.Watching.Set(value)
	s.o.Log.Info().Bool("watching", watching).Msg("watch of the platform changed")
	select {
	case s.watchChanged <- struct{}{}:
	default:
	}
}

// notifyPeers triggers an exchange with all peers.
func (s *Sync) notifyPeers() {
	select {
	case s.notifications <- struct{}{}:
	default:
	}
}

// checkManifest checks a manifest before its shards are fetched, and records a conflict. It
// runs in the control loop.
func (s *Sync) checkManifest(m *gladegaugev1.Manifest, from string) revision.Verdict {
	verdict := s.holder.CheckManifest(m)
	if verdict == revision.Conflict {
		s.recordConflict(m.GetRevision(), from)
	}
	return verdict
}

// apply applies a document. It runs in the control loop.
func (s *Sync) apply(now time.Time, doc config.Document) revision.Verdict {
	verdict, faults := s.holder.Apply(doc)
	switch verdict {
	case revision.Accepted:
		cfg := s.holder.Config()
		s.o.Metrics.Revision.Set(float64(cfg.Revision()))
		s.o.Log.Info().Uint64("revision", cfg.Revision()).Msg("configuration in force")
		s.o.OnConfig(now, cfg)
		s.notifyPeers()
	case revision.Rejected:
		if len(faults) > 0 {
			s.o.Metrics.Rejected.Inc()
			s.o.Log.Error().Uint64("revision", doc.Manifest.GetRevision()).Str("faults", faults.String()).
				Msg("published configuration is rejected")
		}
	case revision.Conflict:
		s.recordConflict(doc.Manifest.GetRevision(), platformName)
	case revision.Older, revision.Same, revision.Newer:
	}
	return verdict
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d))) //nolint:gosec // Jitter needs no secure randomness.
}

// Exchange implements the RPC: it returns the versions in force, and schedules a fetch from
// the caller if it has newer ones.
func (s *Sync) Exchange(ctx context.Context, req *connect.Request[gladegaugev1.ExchangeRequest]) (*connect.Response[gladegaugev1.ExchangeResponse], error) {
	resp := &gladegaugev1.ExchangeResponse{}
	err := s.o.Loop.Do(ctx, func(now time.Time) {
		resp.State = s.state(now)
		from, known := s.set.Host(req.Msg.GetFrom())
		s.receiveSuspects(now, req.Msg.GetFrom(), req.Msg.GetSuspects())
		resp.Suspects = s.suspects.NextMessage(now, req.Msg.GetFrom(), false)
		state := req.Msg.GetState()
		behind := s.newer(state.GetVersion(), from.Address) || len(s.newerZones(state)) > 0
		if behind && known {
			s.pull(from.Address)
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}

// Fetch implements the RPC: it returns the requested documents in force.
func (s *Sync) Fetch(ctx context.Context, req *connect.Request[gladegaugev1.FetchRequest]) (*connect.Response[gladegaugev1.FetchResponse], error) {
	resp := &gladegaugev1.FetchResponse{}
	err := s.o.Loop.Do(ctx, func(time.Time) {
		if cfg := s.holder.Config(); cfg != nil && req.Msg.GetManifest() {
			resp.Manifest = cfg.Manifest()
		}
		for _, name := range req.Msg.GetShards() {
			if value, ok := s.holder.Shard(name); ok {
				resp.Shards = append(resp.Shards, &gladegaugev1.Shard{Name: name, Value: value})
			}
		}
		for _, zone := range req.Msg.GetZones() {
			if list, ok := s.set.List(zone); ok {
				resp.Lists = append(resp.Lists, list)
			}
		}
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(resp), nil
}
