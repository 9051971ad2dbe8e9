package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// CoreShard is the shard that holds the classes and pools.
const CoreShard = "core"

// organisationPrefix is the name prefix of the shards that hold organisations.
const organisationPrefix = "organisations-"

// MaxShardBytes is the largest value that the platform's store accepts.
const MaxShardBytes = 1 << 20

// Document is a configuration in its published form: a manifest and its shards by name,
// each a deterministic protobuf encoding.
type Document struct {
	Manifest *gladegaugev1.Manifest
	Shards   map[string][]byte
}

// Split divides the document into shards and builds their manifest. The number of shards
// grows with the square root of the number of organisations, which keeps the combined
// size of the manifest and one shard small.
func Split(doc *gladegaugev1.Configuration, parent uint64) Document {
	n := shardCount(len(doc.GetOrganisations()))
	parts := make(map[string]*gladegaugev1.Configuration, n+1)
	parts[CoreShard] = &gladegaugev1.Configuration{Classes: doc.GetClasses(), Pools: doc.GetPools()}
	for i := range n {
		parts[shardName(i)] = &gladegaugev1.Configuration{}
	}
	for _, o := range doc.GetOrganisations() {
		part := parts[shardOf(o.GetName(), n)]
		part.Organisations = append(part.Organisations, o)
	}
	out := Document{
		Manifest: &gladegaugev1.Manifest{Revision: doc.GetRevision(), Parent: parent},
		Shards:   make(map[string][]byte, len(parts)),
	}
	for name, part := range parts {
		slices.SortFunc(part.Organisations, func(a, b *gladegaugev1.Organisation) int {
			return strings.Compare(a.GetName(), b.GetName())
		})
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
		if err != nil {
			panic(fmt.Sprintf("config: marshal of a valid message: %v", err))
		}
		sum := sha256.Sum256(value)
		out.Shards[name] = value
		out.Manifest.Shards = append(out.Manifest.Shards, &gladegaugev1.ShardRef{Name: name, Digest: sum[:]})
	}
	slices.SortFunc(out.Manifest.GetShards(), func(a, b *gladegaugev1.ShardRef) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return out
}

// shardCount returns the smallest power of two that is at least twice the square root of
// n.
func shardCount(n int) int {
	count := 1
	for count*count < 4*n {
		count *= 2
	}
	return count
}

func shardName(i int) string {
	return fmt.Sprintf("%s%04d", organisationPrefix, i)
}

// shardOf returns the name of the shard, out of n, that holds the organisation.
func shardOf(organisation string, n int) string {
	if n == 0 {
		return ""
	}
	return shardName(int(xxhash.Sum64String(organisation) % uint64(n)))
}

// ManifestDigest identifies the content of a manifest. The revision is excluded, so that
// equal content has equal digests.
func ManifestDigest(m *gladegaugev1.Manifest) string {
	h := sha256.New()
	for _, ref := range m.GetShards() {
		_, _ = fmt.Fprintf(h, "%d:%s", len(ref.GetName()), ref.GetName())
		h.Write(ref.GetDigest())
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// digestBytes is long enough to avoid accidental collisions between documents; the shards
// themselves are verified against full digests.
const digestBytes = 8
