package config

import (
	"maps"
	"slices"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Config is an accepted configuration. It is immutable and safe to share.
type Config struct {
	revision uint64
	digest   string
	classes  map[string]*Class
	pools    map[string]*Pool
	targets  map[string]*Pool
	shards   map[string]*organisationShard
	count    int
	keys     *keyIndex
	manifest *gladegaugev1.Manifest
}

// organisationShard holds the organisations of one shard.
type organisationShard struct {
	digest        string
	organisations map[string]*Organisation
}

// Revision returns the revision number.
func (c *Config) Revision() uint64 { return c.revision }

// Digest identifies the content; equal documents have equal digests.
func (c *Config) Digest() string { return c.digest }

// Manifest returns the manifest that names the configuration's shards.
func (c *Config) Manifest() *gladegaugev1.Manifest { return c.manifest }

// Class returns the class by name.
func (c *Config) Class(name string) (*Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Classes returns the classes, sorted by tier, then name.
func (c *Config) Classes() []*Class {
	return slices.SortedFunc(maps.Values(c.classes), compareClasses)
}

func compareClasses(a, b *Class) int {
	if a.Tier != b.Tier {
		return a.Tier - b.Tier
	}
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// Pool returns the pool by name.
func (c *Config) Pool(name string) (*Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the pools, sorted by name.
func (c *Config) Pools() []*Pool {
	names := slices.Sorted(maps.Keys(c.pools))
	pools := make([]*Pool, len(names))
	for i, name := range names {
		pools[i] = c.pools[name]
	}
	return pools
}

// PoolFor returns the pool of a target, which is a model or a plain service.
func (c *Config) PoolFor(target string) (*Pool, bool) {
	p, ok := c.targets[target]
	return p, ok
}

// Serves reports whether the pool serves the class.
func (c *Config) Serves(pool, class string) bool {
	p, ok := c.pools[pool]
	return ok && slices.Contains(p.Classes, class)
}

// Organisation returns the organisation by name.
func (c *Config) Organisation(name string) (*Organisation, bool) {
	shard, ok := c.shards[shardOf(name, len(c.shards))]
	if !ok {
		return nil, false
	}
	o, ok := shard.organisations[name]
	return o, ok
}

// OrganisationCount returns the number of organisations.
func (c *Config) OrganisationCount() int { return c.count }

// OrganisationByKey returns the organisation that holds the bearer key.
func (c *Config) OrganisationByKey(bearer string) (*Organisation, bool) {
	name, ok := c.keys.find(HashKey(bearer))
	if !ok {
		return nil, false
	}
	return c.Organisation(name)
}

// Organisations returns the organisations, sorted by name. It is meant for tools; the
// request path looks up a single one.
func (c *Config) Organisations() []*Organisation {
	all := c.organisations()
	names := slices.Sorted(maps.Keys(all))
	out := make([]*Organisation, len(names))
	for i, name := range names {
		out[i] = all[name]
	}
	return out
}
