package config

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

func valid() *gladegaugev1.Configuration {
	return &gladegaugev1.Configuration{
		Revision: 1,
		Classes: []*gladegaugev1.Class{
			{Name: "ruling", Tier: 1, Protected: true, Repeatable: true, FirstTokenMs: 1500},
			{Name: "report", Tier: 5, Repeatable: true, CompletionMs: 60000, Organisations: []string{"hall"}},
		},
		Pools: []*gladegaugev1.Pool{
			{Name: "judge", Kind: gladegaugev1.PoolKind_POOL_KIND_MODEL, Model: "judge", Classes: []string{"ruling", "report"}, Slots: 8},
		},
		Organisations: []*gladegaugev1.Organisation{
			{Name: "hall", KeySha256: []string{hexKey("k1")}, Defaults: []*gladegaugev1.DefaultClass{{Model: "judge", Class: "ruling"}}},
			{Name: "club", KeySha256: []string{hexKey("k2")}},
		},
	}
}

func hexKey(bearer string) string {
	k := HashKey(bearer)
	return fmt.Sprintf("%x", k[:])
}

func TestNewNamesEveryFault(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *gladegaugev1.Configuration)
		field  string
	}{
		{"revision", func(c *gladegaugev1.Configuration) { c.Revision = 0 }, "revision"},
		{"class name", func(c *gladegaugev1.Configuration) { c.Classes[0].Name = "a b" }, "classes[0].name"},
		{"duplicate class", func(c *gladegaugev1.Configuration) { c.Classes[1].Name = "ruling" }, "classes[1].name"},
		{"tier", func(c *gladegaugev1.Configuration) { c.Classes[0].Tier = 6 }, "classes[0].tier"},
		{"no target", func(c *gladegaugev1.Configuration) { c.Classes[0].FirstTokenMs = 0 }, "classes[0].first_token_ms"},
		{"useful below target", func(c *gladegaugev1.Configuration) { c.Classes[0].UsefulMs = 3 }, "classes[0].useful_ms"},
		{"floor share", func(c *gladegaugev1.Configuration) { c.Classes[0].FloorShare = 0.3 }, "classes[0].floor_share"},
		{"floor share not a number", func(c *gladegaugev1.Configuration) { c.Classes[0].FloorShare = math.NaN() }, "classes[0].floor_share"},
		{"objective", func(c *gladegaugev1.Configuration) { c.Classes[0].Objective = 1 }, "classes[0].objective"},
		{"pool kind", func(c *gladegaugev1.Configuration) { c.Pools[0].Kind = 0 }, "pools[0].kind"},
		{"adapter", func(c *gladegaugev1.Configuration) { c.Pools[0].Adapters = []string{""} }, "pools[0].adapters[0]"},
		{"plain service with a version", func(c *gladegaugev1.Configuration) {
			c.Pools[0].Kind, c.Pools[0].Model, c.Pools[0].Version = gladegaugev1.PoolKind_POOL_KIND_SERVICE, "", "2"
		}, "pools[0].version"},
		{"pool slots", func(c *gladegaugev1.Configuration) { c.Pools[0].Slots = 0 }, "pools[0].slots"},
		{"pool class", func(c *gladegaugev1.Configuration) { c.Pools[0].Classes[1] = "vip" }, "pools[0].classes[1]"},
		{"class without pool", func(c *gladegaugev1.Configuration) { c.Pools[0].Classes = c.Pools[0].Classes[:1] }, "classes[1]"},
		{"class without pool, not sorted by tier", func(c *gladegaugev1.Configuration) {
			c.Classes = append([]*gladegaugev1.Class{{Name: "idle", Tier: 4, FirstTokenMs: 9}}, c.Classes...)
		}, "classes[0]"},
		{"duplicate model", func(c *gladegaugev1.Configuration) {
			c.Pools = append(c.Pools, proto.Clone(c.Pools[0]).(*gladegaugev1.Pool))
			c.Pools[1].Name = "other"
		}, "pools[1].model"},
		{"duplicate organisation", func(c *gladegaugev1.Configuration) { c.Organisations[1].Name = "hall" }, "organisations[1].name"},
		{"key", func(c *gladegaugev1.Configuration) { c.Organisations[0].KeySha256[0] = "abc" }, `organisations["hall"].key_sha256[0]`},
		{"duplicate key", func(c *gladegaugev1.Configuration) { c.Organisations[1].KeySha256[0] = hexKey("k1") }, "key_sha256[0]"},
		{"weight", func(c *gladegaugev1.Configuration) { c.Organisations[0].Weight = -1 }, `organisations["hall"].weight`},
		{"rate", func(c *gladegaugev1.Configuration) { c.Organisations[0].RatePerSecond = math.Inf(1) }, `organisations["hall"].rate_per_second`},
		{"default class", func(c *gladegaugev1.Configuration) { c.Organisations[0].Defaults[0].Class = "vip" }, `organisations["hall"].defaults["judge"].class`},
		{"default class of another organisation", func(c *gladegaugev1.Configuration) {
			c.Organisations[1].Defaults = []*gladegaugev1.DefaultClass{{Model: "judge", Class: "report"}}
		}, `organisations["club"].defaults["judge"].class`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			doc := valid()
			tt.change(doc)
			cfg, faults := New(doc)
			is.True(cfg == nil)
			is.True(strings.Contains(faults.String(), tt.field+":"))
		})
	}
}

func TestLookups(t *testing.T) {
	is := is.New(t)
	cfg, faults := New(valid())
	is.Equal(faults, nil)
	o, ok := cfg.OrganisationByKey("k1")
	is.True(ok)
	is.Equal(o.Name, "hall")
	_, ok = cfg.OrganisationByKey("k3")
	is.True(!ok)
	report, _ := cfg.Class("report")
	is.True(report.Allows("hall"))
	is.True(!report.Allows("club"))
	is.Equal(report.FloorShare, defaultFloorShare)
	is.Equal(cfg.OrganisationCount(), 2)
}

// many returns a document with n organisations.
func many(n int) *gladegaugev1.Configuration {
	doc := valid()
	doc.Organisations = nil
	for i := range n {
		doc.Organisations = append(doc.Organisations, &gladegaugev1.Organisation{
			Name: fmt.Sprintf("organisation-%d", i), KeySha256: []string{hexKey(fmt.Sprint(i))},
			RatePerSecond: 5, Defaults: []*gladegaugev1.DefaultClass{{Model: "judge", Class: "ruling"}},
		})
	}
	return doc
}

// TestBuildOnBase applies a change to a base and expects the same result as a build
// without a base.
func TestBuildOnBase(t *testing.T) {
	is := is.New(t)
	doc := many(1000)
	base, faults := New(doc)
	is.Equal(faults, nil)
	doc.Revision = 2
	doc.Organisations[500].KeySha256 = []string{hexKey("replaced")}
	doc.Organisations[500].RatePerSecond = 9
	split := Split(doc, 1)
	missing := Missing(base, split.Manifest)
	is.Equal(len(missing), 1)
	partial := Document{Manifest: split.Manifest, Shards: map[string][]byte{missing[0]: split.Shards[missing[0]]}}
	next, faults := Build(base, partial)
	is.Equal(faults, nil)
	whole, _ := New(doc)
	is.Equal(next.Digest(), whole.Digest())
	is.Equal(next.OrganisationCount(), 1000)
	_, ok := next.OrganisationByKey("500")
	is.True(!ok)
	o, ok := next.OrganisationByKey("replaced")
	is.True(ok)
	is.Equal(o.Rate, 9.0)
	_, ok = base.OrganisationByKey("500")
	is.True(ok)
	is.Equal(Changes(base, next), []string{"organisation organisation-500: changed"})
}

// TestBuildRefusesBrokenShards covers shards that are missing or truncated.
func TestBuildRefusesBrokenShards(t *testing.T) {
	tests := []struct {
		name   string
		change func(d Document)
		want   string
	}{
		{"missing", func(d Document) { delete(d.Shards, CoreShard) }, "is missing"},
		{"truncated", func(d Document) { d.Shards[CoreShard] = d.Shards[CoreShard][:10] }, "does not match its digest"},
		{"no core", func(d Document) { d.Manifest.Shards = d.Manifest.Shards[1:] }, "missing from the manifest"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := Split(valid(), 0)
			tt.change(d)
			cfg, faults := Build(nil, d)
			is.True(cfg == nil)
			is.True(strings.Contains(faults.String(), tt.want))
		})
	}
}

func FuzzBuild(f *testing.F) {
	d := Split(valid(), 0)
	f.Add(d.Shards[CoreShard], d.Shards[shardName(0)])
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(_ *testing.T, core, organisations []byte) {
		doc := Document{Manifest: d.Manifest, Shards: map[string][]byte{CoreShard: core, shardName(0): organisations}}
		_, _ = Build(nil, doc)
		part := &gladegaugev1.Configuration{}
		if proto.Unmarshal(core, part) == nil {
			_, _ = New(part)
		}
	})
}
