package demand

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Directory maps the short hashes in messages to the pools and organisations of the
// configuration. The zero value knows none. It is immutable.
type Directory struct {
	pools         map[uint32]string
	organisations map[uint32]Organisation
	// configured is true if the configuration contains organisations.
	configured bool
}

// Organisation is an organisation of the configuration.
type Organisation struct {
	Hash uint64
	Name string
}

// publicRoutes is the name under which the callers of public routes are counted together.
const publicRoutes = ""

// ShortHash is the hash of a pool or organisation in messages. Half of the hash suffices:
// of 1,000 organisations, two share it with a probability of 1 in 8,000, and are then
// counted as one.
func ShortHash(hash uint64) uint32 { return uint32(hash) }

// NewDirectory returns the directory of a configuration.
func NewDirectory(pools, organisations []string) Directory {
	d := Directory{
		pools:         make(map[uint32]string, len(pools)),
		organisations: make(map[uint32]Organisation, len(organisations)),
		configured:    len(organisations) > 0,
	}
	for _, name := range pools {
		d.pools[ShortHash(xxhash.Sum64String(name))] = name
	}
	for _, name := range append([]string{publicRoutes}, organisations...) {
		hash := xxhash.Sum64String(name)
		d.organisations[ShortHash(hash)] = Organisation{Hash: hash, Name: name}
	}
	return d
}

// HasOrganisations reports whether the configuration contains organisations.
func (d Directory) HasOrganisations() bool { return d.configured }

// Pools returns the names of the pools, in no order.
func (d Directory) Pools() []string { return slices.Collect(maps.Values(d.pools)) }

// Pool returns the pool with the short hash.
func (d Directory) Pool(hash uint32) (string, bool) {
	name, ok := d.pools[hash]
	return name, ok
}

// Organisation returns the organisation with the short hash.
func (d Directory) Organisation(hash uint32) (Organisation, bool) {
	o, ok := d.organisations[hash]
	return o, ok
}

// Name returns the name of the organisation with the full hash; empty if it is unknown.
func (d Directory) Name(hash uint64) string {
	if o, ok := d.organisations[ShortHash(hash)]; ok && o.Hash == hash {
		return o.Name
	}
	return ""
}
