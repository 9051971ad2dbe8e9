package config

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"time"

	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// Limits and defaults of a configuration.
const (
	MaxFloorShare      = 0.2
	MaxFloorSum        = 0.5
	MaxSlots           = 4096
	MaxNameLength      = 64
	MaxTarget          = 24 * time.Hour
	maxWeight          = 1000
	maxRate            = 1e6
	defaultUsefulScale = 10
	defaultTokens      = 200
	defaultObjective   = 0.99
	defaultFloorShare  = 0.02
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]*$`)

func checkName(f *Faults, field, name string) {
	switch {
	case name == "":
		f.Add(field, "must be set")
	case len(name) > MaxNameLength:
		f.Add(field, "is longer than %d bytes", MaxNameLength)
	case !namePattern.MatchString(name):
		f.Add(field, "%q must be letters, digits, '.', '_', '/' or '-'", name)
	}
}

func newClass(f *Faults, field string, in *gladegaugev1.Class) *Class {
	checkName(f, field+".name", in.GetName())
	if in.GetTier() < 1 || in.GetTier() > Tiers {
		f.Add(field+".tier", "%d is not from 1 to %d", in.GetTier(), Tiers)
	}
	c := &Class{
		Name:           in.GetName(),
		Tier:           int(in.GetTier()),
		Protected:      in.GetProtected(),
		Repeatable:     in.GetRepeatable(),
		FirstToken:     milliseconds(in.GetFirstTokenMs()),
		Completion:     milliseconds(in.GetCompletionMs()),
		Useful:         milliseconds(in.GetUsefulMs()),
		FloorShare:     in.GetFloorShare(),
		ExpectedTokens: int(in.GetExpectedTokens()),
		Objective:      in.GetObjective(),
		organisations:  make(map[string]bool, len(in.GetOrganisations())),
	}
	checkTargets(f, field, c)
	checkShares(f, field, c)
	for i, name := range in.GetOrganisations() {
		checkName(f, fmt.Sprintf("%s.organisations[%d]", field, i), name)
		c.organisations[name] = true
	}
	return c.withDefaults()
}

func (c *Class) withDefaults() *Class {
	if c.Useful == 0 {
		c.Useful = defaultUsefulScale * c.StartTarget()
	}
	if c.ExpectedTokens == 0 {
		c.ExpectedTokens = defaultTokens
	}
	if c.FloorShare == 0 {
		c.FloorShare = defaultFloorShare
	}
	if c.Objective == 0 {
		c.Objective = defaultObjective
	}
	return c
}

func checkTargets(f *Faults, field string, c *Class) {
	if c.FirstToken == 0 && c.Completion == 0 {
		f.Add(field+".first_token_ms", "first_token_ms or completion_ms must be set")
	}
	if c.FirstToken > MaxTarget {
		f.Add(field+".first_token_ms", "is more than %s", MaxTarget)
	}
	if c.Completion > MaxTarget {
		f.Add(field+".completion_ms", "is more than %s", MaxTarget)
	}
	if c.Useful != 0 && c.Useful < max(c.FirstToken, c.Completion) {
		f.Add(field+".useful_ms", "is less than the latency target")
	}
}

func checkShares(f *Faults, field string, c *Class) {
	if !inRange(c.FloorShare, MaxFloorShare) {
		f.Add(field+".floor_share", "%v is not from 0 to %v", c.FloorShare, MaxFloorShare)
	}
	if !inRange(c.Objective, 1) || c.Objective == 1 {
		f.Add(field+".objective", "%v is not from 0 to below 1", c.Objective)
	}
}

// inRange reports whether v is from 0 to high; it is false for NaN.
func inRange(v, high float64) bool {
	return v >= 0 && v <= high
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func newPool(f *Faults, field string, in *gladegaugev1.Pool) *Pool {
	checkName(f, field+".name", in.GetName())
	p := &Pool{
		Name:     in.GetName(),
		Kind:     Kind(in.GetKind()),
		Model:    in.GetModel(),
		Classes:  in.GetClasses(),
		Slots:    int(in.GetSlots()),
		Version:  in.GetVersion(),
		Adapters: in.GetAdapters(),
		Role:     in.GetRole(),
	}
	switch p.Kind {
	case KindModel:
		checkName(f, field+".model", p.Model)
		for i, name := range p.Adapters {
			checkName(f, fmt.Sprintf("%s.adapters[%d]", field, i), name)
		}
	case KindService:
		if p.Model != "" {
			f.Add(field+".model", "must be empty for a plain service")
		}
		if p.Version != "" || p.Role != "" || len(p.Adapters) > 0 {
			f.Add(field+".version", "version, adapters and role must be empty for a plain service")
		}
	default:
		f.Add(field+".kind", "must be POOL_KIND_MODEL or POOL_KIND_SERVICE")
	}
	if p.Slots < 1 || p.Slots > MaxSlots {
		f.Add(field+".slots", "%d is not from 1 to %d", p.Slots, MaxSlots)
	}
	if len(p.Classes) == 0 {
		f.Add(field+".classes", "must name at least one class")
	}
	return p
}

func newOrganisation(f *Faults, field string, in *gladegaugev1.Organisation) *Organisation {
	checkName(f, field+".name", in.GetName())
	o := &Organisation{
		Name:     in.GetName(),
		Weight:   in.GetWeight(),
		Rate:     in.GetRatePerSecond(),
		Burst:    int(in.GetBurst()),
		defaults: make(map[string]string, len(in.GetDefaults())),
	}
	if !inRange(o.Weight, maxWeight) {
		f.Add(field+".weight", "%v is not from 0 to %d", o.Weight, maxWeight)
	}
	if !inRange(o.Rate, maxRate) {
		f.Add(field+".rate_per_second", "%v is not from 0 to %.0f", o.Rate, maxRate)
	}
	if o.Weight == 0 {
		o.Weight = 1
	}
	if o.Burst == 0 {
		o.Burst = max(1, int(math.Ceil(o.Rate)))
	}
	for i, text := range in.GetKeySha256() {
		k, ok := parseKey(text)
		if !ok {
			f.Add(fmt.Sprintf("%s.key_sha256[%d]", field, i), "must be 64 hexadecimal digits")
			continue
		}
		o.keys = append(o.keys, k)
	}
	for _, d := range in.GetDefaults() {
		o.defaults[d.GetModel()] = d.GetClass()
	}
	return o
}

// CheckHost returns the faults of a host in the platform's list.
func CheckHost(h *gladegaugev1.Host) Faults {
	var f Faults
	checkName(&f, "id", h.GetId())
	if _, err := netip.ParseAddrPort(h.GetAddress()); err != nil {
		f.Add("address", "%q is not an IP number and port", h.GetAddress())
	}
	if h.GetRole() == gladegaugev1.Role_ROLE_AGENT && h.GetPool() == "" {
		f.Add("pool", "must be set for an agent")
	}
	return f
}
