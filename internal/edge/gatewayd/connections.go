package gatewayd

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/internal/core/balance"
)

// noShare is the bound of connections of a gateway that keeps no idle ones. A bound of 0
// would mean none.
const noShare = -1

// holderDivisor divides an upstream's limit of connections to get the number of gateways that
// keep an idle one, if there are more gateways than connections. The rest is for connections
// that the other gateways open for a single request.
const holderDivisor = 2

// maxOpenFor is the number of connections, of the limit that the upstream accepts from all
// gateways together, up to which this gateway keeps idle ones; 0 without a limit. With more
// gateways than connections, some of the gateways keep one each; holds reports whether this
// gateway is among the first n.
func maxOpenFor(limit, gateways int, holds func(n int) bool) int {
	if limit <= 0 {
		return 0
	}
	if share := limit / max(gateways, 1); share > 0 {
		return share
	}
	if holds(limit / holderDivisor) {
		return 1
	}
	return noShare
}

// setPoolOf records the pools of the listed upstreams by address. It runs in the control loop.
func (s *Server) setPoolOf(now time.Time, list []balance.Instance) {
	s.poolOf = make(map[string]string, len(list))
	for _, in := range list {
		s.poolOf[in.Address] = in.Pool
	}
	s.updateMaxOpen(now)
}

// updateMaxOpen computes the bounds of the connections to upstreams, which change with the
// configuration, the list and the number of gateways. It runs in the control loop.
func (s *Server) updateMaxOpen(now time.Time) {
	v := s.view.Load()
	if v.Table == nil {
		return
	}
	bounds := make(map[string]int, len(s.poolOf))
	for address, pool := range s.poolOf {
		if p, ok := v.Table.Pool(pool); ok && p.MaxConnections > 0 {
			bounds[address] = maxOpenFor(p.MaxConnections, s.gateways, func(n int) bool {
				return s.holds(now, xxhash.Sum64String(address), n)
			})
		}
	}
	s.maxOpen.Store(&bounds)
}
