package gatewayd

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/demand"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// loadSteps is the number of steps per doubling in which a load is encoded: two bytes hold
// all valid loads, with an error of at most 0.14 %.
const loadSteps = 256

// encodeLoad converts a load to its message, a logarithm.
func encodeLoad(load float64) uint32 {
	return uint32(math.Round(loadSteps * math.Log2(1+max(0, load))))
}

// decodeLoad returns the load in a message.
func decodeLoad(v uint32) float64 { return math.Exp2(float64(v)/loadSteps) - 1 }

// encodeDemand converts a summary to its message.
func encodeDemand(r demand.Report) *gladegaugev1.DemandSummary {
	m := &gladegaugev1.DemandSummary{WithUsers: r.WithUsers, Gateways: clampUint32(r.Gateways)}
	for _, name := range busiestPools(r.Pools) {
		d := r.Pools[name]
		p := &gladegaugev1.PoolDemand{
			Pool:      demand.ShortHash(xxhash.Sum64String(name)),
			Arrivals:  float32(d.Arrivals),
			Waiting:   clampUint32(d.Waiting),
			Contended: d.Contended,
		}
		if r.WithUsers {
			for _, u := range d.Users {
				p.Organisations = append(p.Organisations, demand.ShortHash(u.Organisation))
				p.Requested = append(p.Requested, encodeLoad(u.Requested))
				p.Admitted = append(p.Admitted, encodeLoad(u.Admitted))
			}
		}
		m.Pools = append(m.Pools, p)
	}
	return m
}

// busiestPools returns the names of the pools with the most arrivals, as many as a summary may
// contain.
func busiestPools(pools demand.Summary) []string {
	names := slices.SortedFunc(maps.Keys(pools), func(a, b string) int {
		return cmp.Or(cmp.Compare(pools[b].Arrivals, pools[a].Arrivals), cmp.Compare(a, b))
	})
	return names[:min(len(names), demand.MaxPools)]
}

// unknownParts is the number of parts of a summary that were dropped because they are not
// in the configuration, which may be older or newer than that of the sender.
type unknownParts struct{ pools, organisations int }

// decodeDemand returns the summary in a message, of at most so many gateways, and why it
// is invalid.
func decodeDemand(m *gladegaugev1.DemandSummary, d demand.Directory, gateways int) (demand.Report, unknownParts, demand.Fault) {
	var unknown unknownParts
	r := demand.Report{
		Pools:     make(demand.Summary, len(m.GetPools())),
		WithUsers: m.GetWithUsers(),
		Gateways:  int(min(max(m.GetGateways(), 1), clampUint32(gateways))),
	}
	if len(m.GetPools()) > demand.MaxPools {
		return r, unknown, demand.TooManyPools
	}
	for _, p := range m.GetPools() {
		name, ok := d.Pool(p.GetPool())
		if !ok {
			unknown.pools++
			continue
		}
		if _, ok := r.Pools[name]; ok {
			return r, unknown, demand.DuplicatePool
		}
		users, n, fault := decodeUsers(p, d)
		unknown.organisations += n
		if fault != demand.NoFault {
			return r, unknown, fault
		}
		r.Pools[name] = demand.PoolDemand{
			Arrivals: float64(p.GetArrivals()), Waiting: int(p.GetWaiting()), Contended: p.GetContended(), Users: users,
		}
	}
	return r, unknown, r.Pools.Validate(r.Gateways)
}

// decodeUsers returns the heavy users of a pool, and the number of unknown ones that were
// left out.
func decodeUsers(p *gladegaugev1.PoolDemand, d demand.Directory) ([]demand.User, int, demand.Fault) {
	n := len(p.GetOrganisations())
	switch {
	case n != len(p.GetRequested()) || n != len(p.GetAdmitted()):
		return nil, 0, demand.UnequalLists
	case n > demand.MaxUsers:
		return nil, 0, demand.TooManyOrganisations
	}
	var users []demand.User
	unknown := 0
	for i, hash := range p.GetOrganisations() {
		o, ok := d.Organisation(hash)
		if !ok {
			unknown++
			continue
		}
		users = append(users, demand.User{
			Organisation: o.Hash, Requested: decodeLoad(p.GetRequested()[i]), Admitted: decodeLoad(p.GetAdmitted()[i]),
		})
	}
	return users, unknown, demand.NoFault
}
