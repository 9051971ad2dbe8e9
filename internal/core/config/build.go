package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// New accepts or rejects the whole document. On rejection the Config is nil and all
// faults are returned.
func New(doc *gladegaugev1.Configuration) (*Config, Faults) {
	var f Faults
	names := make(map[string]bool, len(doc.GetOrganisations()))
	for i, o := range doc.GetOrganisations() {
		if names[o.GetName()] {
			f.Add(fmt.Sprintf("organisations[%d].name", i), "%q appears twice", o.GetName())
		}
		names[o.GetName()] = true
	}
	if len(f) > 0 {
		return nil, f
	}
	return Build(nil, Split(doc, 0))
}

// Build accepts or rejects a published document. What did not change since base, which
// may be nil, is shared with it and not validated again.
func Build(base *Config, doc Document) (*Config, Faults) {
	b := builder{base: base, doc: doc}
	b.next = &Config{
		revision: doc.Manifest.GetRevision(),
		digest:   ManifestDigest(doc.Manifest),
		shards:   make(map[string]*organisationShard, len(doc.Manifest.GetShards())),
		keys:     &keyIndex{},
		manifest: doc.Manifest,
	}
	if b.next.revision == 0 {
		b.faults.Add("revision", "must be above 0")
	}
	b.core()
	b.organisations()
	if len(b.faults) > 0 {
		return nil, b.faults
	}
	return b.next, nil
}

// builder holds the state of one Build.
type builder struct {
	base        *Config
	doc         Document
	next        *Config
	faults      Faults
	coreChanged bool
}

// Missing returns the shards of a manifest that base does not hold.
func Missing(base *Config, m *gladegaugev1.Manifest) []string {
	held := make(map[string][]byte)
	if base != nil {
		for _, ref := range base.manifest.GetShards() {
			held[ref.GetName()] = ref.GetDigest()
		}
	}
	var names []string
	for _, ref := range m.GetShards() {
		if !bytes.Equal(held[ref.GetName()], ref.GetDigest()) {
			names = append(names, ref.GetName())
		}
	}
	return names
}

// decode checks a shard against the manifest and decodes it.
func (b *builder) decode(ref *gladegaugev1.ShardRef) (*gladegaugev1.Configuration, bool) {
	field := "shards." + ref.GetName()
	value, ok := b.doc.Shards[ref.GetName()]
	if !ok {
		b.faults.addTransient(field, "is missing")
		return nil, false
	}
	if len(value) > MaxShardBytes {
		b.faults.Add(field, "is larger than %d bytes", MaxShardBytes)
		return nil, false
	}
	sum := sha256.Sum256(value)
	if !bytes.Equal(sum[:], ref.GetDigest()) {
		b.faults.addTransient(field, "does not match its digest")
		return nil, false
	}
	part := &gladegaugev1.Configuration{}
	if err := proto.Unmarshal(value, part); err != nil {
		b.faults.Add(field, "cannot be read: %v", err)
		return nil, false
	}
	return part, true
}

// core decodes the classes and pools, or shares those of base.
func (b *builder) core() {
	for _, ref := range b.doc.Manifest.GetShards() {
		if ref.GetName() != CoreShard {
			continue
		}
		if b.base != nil && b.base.hasShard(ref) {
			b.next.classes = b.base.classes
			b.next.pools = b.base.pools
			b.next.targets = b.base.targets
			return
		}
		b.coreChanged = true
		if part, ok := b.decode(ref); ok {
			b.classes(part.GetClasses())
			b.pools(part.GetPools())
			b.checkServed(part.GetClasses(), part.GetPools())
		}
		return
	}
	b.faults.Add("shards."+CoreShard, "is missing from the manifest")
}

func (c *Config) hasShard(ref *gladegaugev1.ShardRef) bool {
	for _, held := range c.manifest.GetShards() {
		if held.GetName() == ref.GetName() {
			return bytes.Equal(held.GetDigest(), ref.GetDigest())
		}
	}
	return false
}

func (b *builder) classes(in []*gladegaugev1.Class) {
	b.next.classes = make(map[string]*Class, len(in))
	for i, class := range in {
		field := fmt.Sprintf("classes[%d]", i)
		c := newClass(&b.faults, field, class)
		if _, duplicate := b.next.classes[c.Name]; duplicate {
			b.faults.Add(field+".name", "%q appears twice", c.Name)
		}
		b.next.classes[c.Name] = c
	}
	if len(in) == 0 {
		b.faults.Add("classes", "must hold at least one class")
	}
}

func (b *builder) pools(in []*gladegaugev1.Pool) {
	b.next.pools = make(map[string]*Pool, len(in))
	b.next.targets = make(map[string]*Pool, len(in))
	for i, pool := range in {
		field := fmt.Sprintf("pools[%d]", i)
		p := newPool(&b.faults, field, pool)
		if _, duplicate := b.next.pools[p.Name]; duplicate {
			b.faults.Add(field+".name", "%q appears twice", p.Name)
		}
		if other, duplicate := b.next.targets[p.Target()]; duplicate {
			b.faults.Add(field+".model", "%q is served by pool %q already", p.Target(), other.Name)
		}
		b.next.pools[p.Name] = p
		b.next.targets[p.Target()] = p
		b.poolClasses(field, p)
	}
}

// checkServed adds a fault for each class that no pool serves.
func (b *builder) checkServed(classes []*gladegaugev1.Class, pools []*gladegaugev1.Pool) {
	served := make(map[string]bool)
	for _, p := range pools {
		for _, name := range p.GetClasses() {
			served[name] = true
		}
	}
	for i, c := range classes {
		if !served[c.GetName()] {
			b.faults.Add(fmt.Sprintf("classes[%d]", i), "%q is served by no pool", c.GetName())
		}
	}
}

func (b *builder) poolClasses(field string, p *Pool) {
	var floors float64
	for i, name := range p.Classes {
		c, ok := b.next.classes[name]
		if !ok {
			b.faults.Add(fmt.Sprintf("%s.classes[%d]", field, i), "no class %q", name)
			continue
		}
		floors += c.FloorShare
	}
	if floors > MaxFloorSum {
		b.faults.Add(field+".classes", "floor shares add up to %v, above %v", floors, MaxFloorSum)
	}
}

// organisations decodes the shards that changed and shares the others.
func (b *builder) organisations() {
	n := len(b.doc.Manifest.GetShards()) - 1
	reuse := b.base != nil && len(b.base.shards) == n
	if reuse {
		b.next.keys = b.base.keys
		b.next.count = b.base.count
	}
	for _, ref := range b.doc.Manifest.GetShards() {
		if !strings.HasPrefix(ref.GetName(), organisationPrefix) {
			continue
		}
		var old *organisationShard
		if reuse {
			old = b.base.shards[ref.GetName()]
		}
		if old != nil && old.digest == string(ref.GetDigest()) {
			b.next.shards[ref.GetName()] = old
			continue
		}
		b.organisationShard(ref, old, n)
	}
	if b.coreChanged {
		b.checkAllReferences()
	}
	if len(b.next.shards) != n && len(b.faults) == 0 {
		b.faults.Add("shards", "the manifest names shards of an unknown kind or twice")
	}
}

func (b *builder) organisationShard(ref *gladegaugev1.ShardRef, old *organisationShard, n int) {
	part, ok := b.decode(ref)
	if !ok {
		return
	}
	shard := &organisationShard{
		digest:        string(ref.GetDigest()),
		organisations: make(map[string]*Organisation, len(part.GetOrganisations())),
	}
	b.next.shards[ref.GetName()] = shard
	if old != nil {
		for _, o := range old.organisations {
			b.next.keys = b.next.keys.with(o, nil)
		}
		b.next.count -= len(old.organisations)
	}
	for _, in := range part.GetOrganisations() {
		b.organisation(shard, ref, in, n)
	}
	b.next.count += len(shard.organisations)
}

func (b *builder) organisation(shard *organisationShard, ref *gladegaugev1.ShardRef, in *gladegaugev1.Organisation, n int) {
	field := fmt.Sprintf("organisations[%q]", in.GetName())
	o := newOrganisation(&b.faults, field, in)
	if shardOf(o.Name, n) != ref.GetName() {
		b.faults.Add(field, "does not belong to shard %q", ref.GetName())
	}
	if _, duplicate := shard.organisations[o.Name]; duplicate {
		b.faults.Add(field+".name", "appears twice")
	}
	for i, k := range o.keys {
		if other, held := b.next.keys.find(k); held {
			b.faults.Add(fmt.Sprintf("%s.key_sha256[%d]", field, i), "belongs to %q already", other)
		}
	}
	shard.organisations[o.Name] = o
	b.next.keys = b.next.keys.with(nil, o)
	if !b.coreChanged {
		b.checkReferences(o)
	}
}

func (b *builder) checkAllReferences() {
	for _, shard := range b.next.shards {
		for _, o := range shard.organisations {
			b.checkReferences(o)
		}
	}
}

// checkReferences checks that the organisation's default classes exist, that the
// organisation may use them, and that they are served by the pool of their target.
func (b *builder) checkReferences(o *Organisation) {
	for target, name := range o.defaults {
		field := fmt.Sprintf("organisations[%q].defaults[%q]", o.Name, target)
		class, ok := b.next.classes[name]
		if !ok {
			b.faults.Add(field+".class", "no class %q", name)
			continue
		}
		pool, ok := b.next.targets[target]
		if !ok {
			b.faults.Add(field+".model", "no model or plain service %q", target)
			continue
		}
		if !class.Allows(o.Name) {
			b.faults.Add(field+".class", "%q is not open to the organisation", name)
		}
		if !b.next.Serves(pool.Name, name) {
			b.faults.Add(field+".class", "%q is not served by pool %q", name, pool.Name)
		}
	}
}
