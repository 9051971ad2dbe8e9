package spread

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gladegauge/gladegauge/internal/core/config"
	"github.com/gladegauge/gladegauge/internal/core/revision"
	"github.com/gladegauge/gladegauge/internal/edge/loop"
	"github.com/gladegauge/gladegauge/internal/edge/platform"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// bootstrapPeers is the maximum number of peers that a starting process tries.
const bootstrapPeers = 3

// bootstrap reads from the platform and from a peer once, so that the process starts with the
// newest state of both. It reads the host lists first, which name the peers, and the manifest
// last: only what is newer than the peer's configuration is then read from the platform, which
// matters when many processes start at once.
func (s *Sync) bootstrap(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.readHosts(callCtx, func(string) bool { return true })
	addresses := s.addresses(ctx)
	for _, address := range addresses[:min(bootstrapPeers, len(addresses))] {
		if s.exchange(ctx, address) {
			break
		}
	}
	s.readManifest(ctx)
}

func (s *Sync) readManifest(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if v, err := s.o.Platform.Read(ctx, platform.ManifestName); err == nil {
		s.learnManifest(ctx, v)
	}
}

// readAll reads the manifest and all host lists from the platform.
func (s *Sync) readAll(ctx context.Context) {
	s.readManifest(ctx)
	s.readHosts(ctx, func(string) bool { return true })
}

// readHosts reads the host lists of the wanted zones. It reports whether all of them could
// be read.
func (s *Sync) readHosts(ctx context.Context, wanted func(zone string) bool) bool {
	v, err := s.o.Platform.Read(ctx, platform.ZonesName)
	if err != nil {
		return false
	}
	complete := true
	for _, zone := range strings.Fields(string(v.Data)) {
		if !wanted(zone) {
			continue
		}
		list, err := s.o.Platform.Read(ctx, platform.HostsName(zone))
		if err != nil {
			complete = false
			continue
		}
		s.learnHosts(ctx, list)
	}
	return complete
}

// zonesLoop reads, while the process is a watcher, the lists of zones in which it knows no
// host yet. The lists of other zones come from peers there.
func (s *Sync) zonesLoop(ctx context.Context) error {
	wait := retryPause
	for loop.Sleep(ctx, wait/2+jitter(wait)) {
		if !s.isWatcher(ctx) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		complete := s.readHosts(callCtx, func(zone string) bool { return s.unknownZone(ctx, zone) })
		cancel()
		wait = retryPause
		if complete {
			wait = zonesInterval
		}
	}
	return nil
}

func (s *Sync) unknownZone(ctx context.Context, zone string) bool {
	unknown := false
	_ = s.o.Loop.Do(ctx, func(time.Time) { unknown = len(s.set.Zone(zone)) == 0 })
	return unknown
}

// neverDirect is the direct condition of a value that only watchers watch.
func neverDirect(context.Context) bool { return false }

// watchesDirectly reports whether the process watches the platform although it is no
// watcher.
func (s *Sync) watchesDirectly(ctx context.Context) bool {
	direct := false
	_ = s.o.Loop.Do(ctx, func(now time.Time) {
		age, _ := s.freshness.ProofAge(now)
		direct = s.freshness.WatchesDirectly(now)
		if direct != s.direct {
			s.direct = direct
			s.o.Log.Info().Bool("alone", direct).Dur("proof_age", age).Msg("direct watch of the platform by a non-watcher changed")
		}
	})
	return direct
}

// watchLoop watches a value while the process is a watcher, or while direct returns true.
func (s *Sync) watchLoop(ctx context.Context, direct func(ctx context.Context) bool, watch func(ctx context.Context, after uint64) (uint64, error)) error {
	var after uint64
	for ctx.Err() == nil {
		pause := retryPause
		if !s.isWatcher(ctx) {
			if !direct(ctx) {
				if !s.waitForWatchChange(ctx) {
					return nil
				}
				continue
			}
			pause = directWatchPause
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		next, err := watch(callCtx, after)
		cancel()
		switch {
		case err == nil:
			after = next
		case errors.Is(err, platform.ErrUnchanged):
		default:
			// A restarted platform may count its versions from the beginning again.
			after = 0
			loop.Sleep(ctx, pause/2+jitter(pause))
		}
	}
	return nil
}

func (s *Sync) isWatcher(ctx context.Context) bool {
	watches := false
	_ = s.o.Loop.Do(ctx, func(time.Time) {
		s.updateWatching()
		watches = s.watching
	})
	return watches
}

// waitForWatchChange waits until the process may have become a watcher. It returns false if
// the context has ended.
func (s *Sync) waitForWatchChange(ctx context.Context) bool {
	t := time.NewTimer(retryPause)
	defer t.Stop()
	select {
	case <-s.watchChanged:
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Sync) watchManifest(ctx context.Context, after uint64) (uint64, error) {
	v, err := s.o.Platform.Watch(ctx, platform.ManifestName, after, watchWait)
	if err != nil {
		s.confirmUnchanged(ctx, err)
		return after, err
	}
	if !s.learnManifest(ctx, v) {
		return after, errors.Newf("manifest version %d was not applied", v.Version)
	}
	return v.Version, nil
}

func (s *Sync) confirmUnchanged(ctx context.Context, err error) {
	if errors.Is(err, platform.ErrUnchanged) {
		_ = s.o.Loop.Do(ctx, s.confirmed)
	}
}

// confirmed records that the platform confirmed the version in force as the newest. It runs
// in the control loop.
func (s *Sync) confirmed(now time.Time) {
	s.freshness.Confirmed(now)
	s.freshness.Proved(now)
}

func (s *Sync) watchHosts(ctx context.Context, after uint64) (uint64, error) {
	v, err := s.o.Platform.Watch(ctx, platform.HostsName(s.o.Self.Zone), after, watchWait)
	if err != nil {
		return after, err
	}
	s.learnHosts(ctx, v)
	return v.Version, nil
}

func (s *Sync) learnHosts(ctx context.Context, v platform.Value) {
	list := &gladegaugev1.HostList{}
	if err := proto.Unmarshal(v.Data, list); err != nil {
		s.o.Log.Warn().Err(err).Msg("host list cannot be read")
		return
	}
	list.Version = v.Version
	_ = s.o.Loop.Do(ctx, func(now time.Time) { s.applyList(now, list) })
}

// learnManifest applies a published manifest, or the last valid one before it. It returns
// false if the manifest must be read again.
func (s *Sync) learnManifest(ctx context.Context, v platform.Value) bool {
	m := &gladegaugev1.Manifest{}
	if err := proto.Unmarshal(v.Data, m); err != nil {
		s.o.Metrics.Rejected.Inc()
		s.o.Log.Warn().Err(err).Msg("manifest cannot be read")
		return false
	}
	verdict, err := s.fetchPublished(ctx, m)
	if err != nil {
		s.o.Log.Warn().Err(err).Uint64("revision", m.GetRevision()).Msg("configuration cannot be fetched")
		return false
	}
	if verdict == revision.Rejected {
		s.fallBack(ctx, m)
	}
	_ = s.o.Loop.Do(ctx, s.confirmed)
	return true
}

// maxParents is the maximum number of invalid revisions that are skipped.
const maxParents = 8

// fallBack applies the last valid revision before an invalid one, if the process has no
// configuration in force.
func (s *Sync) fallBack(ctx context.Context, invalid *gladegaugev1.Manifest) {
	for range maxParents {
		inForce := false
		_ = s.o.Loop.Do(ctx, func(time.Time) { inForce = s.holder.Config() != nil })
		if inForce || invalid.GetParent() == 0 {
			return
		}
		v, err := s.o.Platform.Read(ctx, platform.ManifestAt(invalid.GetParent()))
		if err != nil {
			return
		}
		parent := &gladegaugev1.Manifest{}
		if proto.Unmarshal(v.Data, parent) != nil {
			return
		}
		if verdict, err := s.fetchPublished(ctx, parent); err != nil || verdict != revision.Rejected {
			return
		}
		invalid = parent
	}
}

// fetchPublished reads the shards of a manifest that the process lacks, and applies the
// document.
func (s *Sync) fetchPublished(ctx context.Context, m *gladegaugev1.Manifest) (revision.Verdict, error) {
	var verdict revision.Verdict
	var missing []string
	err := s.o.Loop.Do(ctx, func(time.Time) {
		verdict = s.checkManifest(m, platformName)
		missing = s.holder.Missing(m)
	})
	if err != nil || verdict != revision.Newer {
		return verdict, err
	}
	doc := config.Document{Manifest: m, Shards: make(map[string][]byte)}
	for _, ref := range m.GetShards() {
		if !slices.Contains(missing, ref.GetName()) {
			continue
		}
		v, err := s.o.Platform.Read(ctx, platform.ShardName(ref.GetDigest()))
		if err != nil {
			return 0, err
		}
		doc.Shards[ref.GetName()] = v.Data
	}
	err = s.o.Loop.Do(ctx, func(now time.Time) { verdict = s.apply(now, doc) })
	return verdict, err
}

// directLoop reads everything from the platform while the process has had no response from
// a peer or the platform for long, or has no configuration.
func (s *Sync) directLoop(ctx context.Context) error {
	for loop.Sleep(ctx, directInterval+jitter(directJitter)) {
		silent := false
		_ = s.o.Loop.Do(ctx, func(now time.Time) {
			silent = s.freshness.Silent(now) || s.holder.Config() == nil
		})
		if silent {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			s.readAll(callCtx)
			cancel()
		}
	}
	return nil
}
