// Package spread keeps a process's configuration and host lists up to date.
//
// It carries out what the core package of the same name decides: it watches
// the platform when the process is one of its zone's watchers, exchanges
// versions with its peers, and fetches what is newer. State lives in the
// process's control loop.
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

// Times of the exchange.
const (
	callTimeout  = 2 * time.Second
	watchWait    = 20 * time.Second
	retryPause   = time.Second
	pullBacklog  = 16
	directBase   = 20 * time.Second
	directJitter = 20 * time.Second
	// alonePause is the pause after a watch that failed of a process that is no watcher.
	alonePause = 10 * time.Second
	zonesEvery = 30 * time.Second
)

// Options are what a Sync needs.
type Options struct {
	Self     member.Host
	Loop     *loop.Loop
	Platform *platform.Client
	// HTTP and URL reach other processes.
	HTTP *http.Client
	URL  func(address string) string
	// Seeds are addresses to ask while no host list is known.
	Seeds   []string
	Metrics *metrics.Metrics
	Log     zerolog.Logger
	// OnConfig and OnMembers run in the control loop.
	OnConfig  func(now time.Time, cfg *config.Config)
	OnMembers func(now time.Time, set *member.Set)
}

// Sync spreads configuration and host lists.
type Sync struct {
	o        Options
	holder   *revision.Holder
	set      *member.Set
	fresh    core.Freshness
	suspects *suspects.Book
	pulls    chan string
	notices  chan struct{}
	rewatch  chan struct{}
	turn     int
	watching bool
	// alone is true while it watches the platform though it is no watcher.
	alone bool
	// conflicting is the revision whose conflict was logged last.
	conflicting uint64
}

// New returns a Sync that knows nothing yet.
func New(o Options) *Sync {
	return &Sync{
		o:      o,
		holder: revision.NewHolder(),
		set:    member.NewSet(),
		//nolint:gosec // The number only tells starts apart.
		suspects: suspects.New(suspect.NewRegistry(xxhash.Sum64String(o.Self.ID), rand.Uint64()), o.Log),
		pulls:    make(chan string, pullBacklog),
		notices:  make(chan struct{}, 1),
		rewatch:  make(chan struct{}, 1),
	}
}

// Run works until the context ends.
func (s *Sync) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.watchLoop(ctx, s.isAlone, s.watchManifest) })
	group.Go(func() error { return s.watchLoop(ctx, never, s.watchHosts) })
	group.Go(func() error { return s.exchangeLoop(ctx) })
	group.Go(func() error { return s.pullLoop(ctx) })
	group.Go(func() error { return s.noticeLoop(ctx) })
	group.Go(func() error { return s.directLoop(ctx) })
	group.Go(func() error { return s.zonesLoop(ctx) })
	return group.Wait()
}

// Ready reports whether the process has a configuration and has asked about it
// since it started or woke. It runs in the control loop.
func (s *Sync) Ready() bool {
	return s.holder.Config() != nil && s.fresh.Ready()
}

// Tick lets time pass. It runs in the control loop.
func (s *Sync) Tick(now time.Time) {
	s.fresh.Tick(now)
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

// Heard compares a version that rode on another process's message, and fetches
// from it if it is newer. It runs in the control loop.
func (s *Sync) Heard(v *gladegaugev1.Version, address string) {
	if s.newer(v, address) {
		s.pull(address)
	}
}

// newer reports whether another process's version is above the one in force,
// and notes a conflict. It runs in the control loop.
func (s *Sync) newer(v *gladegaugev1.Version, address string) bool {
	if v.GetRevision() == 0 {
		return false
	}
	switch s.holder.Compare(v.GetRevision(), string(v.GetDigest())) {
	case revision.Newer:
		return true
	case revision.Conflict:
		s.conflict(v.GetRevision(), address)
	case revision.Older, revision.Same, revision.Accepted, revision.Rejected:
	}
	return false
}

// platformName stands for the platform where a peer's address would.
const platformName = "platform"

func (s *Sync) conflict(rev uint64, address string) {
	s.o.Metrics.Conflicts.Inc()
	if s.conflicting != rev {
		s.conflicting = rev
		s.o.Log.Error().Uint64("revision", rev).Str("peer", address).
			Msg("another document has the revision in force; the first one stays")
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

// state returns what the process has in force. It runs in the control loop.
func (s *Sync) state(now time.Time) *gladegaugev1.PeerState {
	st := &gladegaugev1.PeerState{Version: s.Version()}
	if age, ok := s.fresh.ProofAge(now); ok {
		ms := uint32(min(age.Milliseconds(), math.MaxInt32))
		st.ProofAgeMs = &ms
	}
	for _, zone := range s.set.Zones() {
		st.Lists = append(st.Lists, &gladegaugev1.ListVersion{Zone: zone, Version: s.set.Version(zone)})
	}
	return st
}

// takeProof takes what a peer tells of the platform's word on the version in force, which
// it told no earlier than it was asked. It runs in the control loop.
func (s *Sync) takeProof(asked time.Time, st *gladegaugev1.PeerState) {
	v := st.GetVersion()
	if st.ProofAgeMs == nil || s.holder.Compare(v.GetRevision(), string(v.GetDigest())) != revision.Same {
		return
	}
	s.fresh.Proved(asked.Add(-time.Duration(st.GetProofAgeMs()) * time.Millisecond))
}

// newerZones returns the zones of which the other state has a newer list. It
// runs in the control loop.
func (s *Sync) newerZones(st *gladegaugev1.PeerState) []string {
	var zones []string
	for _, l := range st.GetLists() {
		if l.GetVersion() > s.set.Version(l.GetZone()) {
			zones = append(zones, l.GetZone())
		}
	}
	return zones
}

// takeList takes a host list into force. It runs in the control loop.
func (s *Sync) takeList(now time.Time, list *gladegaugev1.HostList) {
	list.Hosts = slices.DeleteFunc(list.GetHosts(), s.faulty)
	next, changed := s.set.With(list)
	if !changed {
		return
	}
	s.set = next
	s.o.OnMembers(now, next)
	entries := next.Entries()
	s.o.Metrics.Hosts.WithLabelValues("entry").Set(float64(entries))
	s.o.Metrics.Hosts.WithLabelValues("agent").Set(float64(len(next.All()) - entries))
	s.notice()
	s.recheckWatch()
}

// faulty reports, and logs, a host that cannot be used.
func (s *Sync) faulty(h *gladegaugev1.Host) bool {
	faults := config.CheckHost(h)
	if len(faults) > 0 {
		s.o.Log.Warn().Str("host", h.GetId()).Str("faults", faults.String()).Msg("host on the list is left out")
	}
	return len(faults) > 0
}

func (s *Sync) recheckWatch() {
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
	case s.rewatch <- struct{}{}:
	default:
	}
}

// notice makes the peers be told at once.
func (s *Sync) notice() {
	select {
	case s.notices <- struct{}{}:
	default:
	}
}

// consider judges a manifest before its shards are fetched, and notes a
// conflict. It runs in the control loop.
func (s *Sync) consider(m *gladegaugev1.Manifest, from string) revision.Verdict {
	verdict := s.holder.CheckManifest(m)
	if verdict == revision.Conflict {
		s.conflict(m.GetRevision(), from)
	}
	return verdict
}

// apply takes a document into force. It runs in the control loop.
func (s *Sync) apply(now time.Time, doc config.Document) revision.Verdict {
	verdict, faults := s.holder.Apply(doc)
	switch verdict {
	case revision.Accepted:
		cfg := s.holder.Config()
		s.o.Metrics.Revision.Set(float64(cfg.Revision()))
		s.o.Log.Info().Uint64("revision", cfg.Revision()).Msg("configuration in force")
		s.o.OnConfig(now, cfg)
		s.notice()
	case revision.Rejected:
		if len(faults) > 0 {
			s.o.Metrics.Rejected.Inc()
			s.o.Log.Error().Uint64("revision", doc.Manifest.GetRevision()).Str("faults", faults.String()).
				Msg("published configuration is rejected")
		}
	case revision.Conflict:
		s.conflict(doc.Manifest.GetRevision(), platformName)
	case revision.Older, revision.Same, revision.Newer:
	}
	return verdict
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(d))) //nolint:gosec // A spread in time needs no secrecy.
}

// Exchange answers a peer with the versions in force, and fetches from it if
// it has newer ones.
func (s *Sync) Exchange(ctx context.Context, req *connect.Request[gladegaugev1.ExchangeRequest]) (*connect.Response[gladegaugev1.ExchangeResponse], error) {
	resp := &gladegaugev1.ExchangeResponse{}
	err := s.o.Loop.Do(ctx, func(now time.Time) {
		resp.State = s.state(now)
		from, known := s.set.Host(req.Msg.GetFrom())
		s.hearSuspects(now, req.Msg.GetFrom(), req.Msg.GetSuspects())
		resp.Suspects = s.suspects.Tell(now, req.Msg.GetFrom(), false)
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

// Fetch answers a peer with documents in force.
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
