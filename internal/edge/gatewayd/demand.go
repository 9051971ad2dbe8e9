package gatewayd

import (
	"slices"
	"time"

	"github.com/gladegauge/gladegauge/internal/core/demand"
	"github.com/gladegauge/gladegauge/internal/core/fleet"
	"github.com/gladegauge/gladegauge/internal/core/ingress"
	gladegaugev1 "github.com/gladegauge/gladegauge/internal/gen/gladegauge/v1"
)

// maxCellReport is the number of gateways that the relay of a cell may report for. Cells
// are drawn by a hash, so that some are larger than the mean.
const maxCellReport = 2 * fleet.MaxCellSize

// demandExchange is the state of the exchange of demand with other gateways. It is used
// only in the control loop.
type demandExchange struct {
	tracker   *demand.Tracker
	directory demand.Directory
	// exchanged is when summaries were last exchanged with each gateway.
	exchanged map[string]exchangeTimes
	levels    levelLog
	// place is the place of this gateway to which the received reports belong.
	place place
}

// place is the place of a gateway in the tree of relays.
type place int

// Places of a gateway.
const (
	placeMember place = iota
	placeCellRelay
	placeZoneRelay
)

// placeOf returns the place of a gateway with the role.
func placeOf(r fleet.AggregationRole) place {
	switch {
	case !r.Aggregates:
		return placeMember
	case r.ReportTo == "":
		return placeZoneRelay
	default:
		return placeCellRelay
	}
}

// exchangeTimes are the times of the latest summary, and of the latest one with heavy
// users.
type exchangeTimes struct{ summary, users time.Time }

func newDemandExchange() demandExchange {
	return demandExchange{tracker: demand.New(), exchanged: make(map[string]exchangeTimes), levels: make(levelLog)}
}

// setTable applies the pools and organisations of a configuration.
func (d *demandExchange) setTable(t *ingress.Table) {
	pools := t.PoolNames()
	clear(d.levels)
	d.directory = demand.NewDirectory(pools, t.OrganisationNames())
	d.tracker.SetPools(pools)
}

// due reports whether a summary may be sent to the gateway now, and whether it may contain
// heavy users.
func (d *demandExchange) due(now time.Time, address string) (summary, users bool) {
	last := d.exchanged[address]
	return now.Sub(last.summary) >= demand.Interval, now.Sub(last.users) >= demand.UsersInterval
}

// recordExchange records that summaries were exchanged with the gateway.
func (d *demandExchange) recordExchange(now time.Time, address string, users bool) {
	last := d.exchanged[address]
	last.summary = now
	if users {
		last.users = now
	}
	d.exchanged[address] = last
}

// sweep removes the times of gateways with which nothing was exchanged for a while.
func (d *demandExchange) sweep(now time.Time) {
	for address, last := range d.exchanged {
		if now.Sub(last.summary) > demand.UsersInterval {
			delete(d.exchanged, address)
		}
	}
}

// exchangesDemand reports whether demand is exchanged: only organisations can be treated
// differently, and a single gateway knows all demand.
func (s *Server) exchangesDemand(now time.Time) bool {
	return s.demand.directory.HasOrganisations() && s.fleet.Size(now) > 1
}

// updateDemand applies the role of this gateway and the latest reports. It runs in the
// control loop.
func (s *Server) updateDemand(now time.Time, role fleet.AggregationRole) {
	if place := placeOf(role); place != s.demand.place {
		s.demand.place = place
		s.demand.tracker.Forget()
	}
	s.demand.tracker.SetFleet(s.fleet.Size(now), role.Aggregates)
	s.table.UpdateDemand(now, s.demand.tracker)
	if s.exchangesDemand(now) {
		s.reportLevels(now)
	}
}

// demandFor returns the message of a summary to the gateway, or nil if none is due. One
// with heavy users counts as sent only once the call is answered (sendLoads), so that a
// lost one is followed by another in the next interval. It runs in the control loop.
func (s *Server) demandFor(now time.Time, address string, summary func(time.Time) demand.Report) *gladegaugev1.DemandSummary {
	due, users := s.demand.due(now, address)
	if !due || !s.exchangesDemand(now) {
		return nil
	}
	s.demand.recordExchange(now, address, false)
	r := summary(now)
	r.WithUsers = users
	return encodeDemand(r)
}

// answerDemand returns the answer to a summary, or nil if there was none. The answer
// contains heavy users if the summary does. It runs in the control loop.
func (s *Server) answerDemand(now time.Time, theirs *gladegaugev1.DemandSummary, summary func(time.Time) demand.Report) *gladegaugev1.DemandSummary {
	if theirs == nil || !s.exchangesDemand(now) {
		return nil
	}
	r := summary(now)
	r.WithUsers = theirs.GetWithUsers()
	return encodeDemand(r)
}

// takeDemand returns a received summary of at most so many gateways, or false if there is
// none or it is invalid. Invalid ones are counted. It runs in the control loop.
func (s *Server) takeDemand(now time.Time, m *gladegaugev1.DemandSummary, gateways int) (demand.Report, bool) {
	if m == nil || !s.exchangesDemand(now) {
		return demand.Report{}, false
	}
	r, unknown, fault := decodeDemand(m, s.demand.directory, gateways)
	if unknown.pools > 0 {
		s.metrics.demandDropped.WithLabelValues("unknown_pool").Add(float64(unknown.pools))
	}
	if unknown.organisations > 0 {
		s.metrics.demandDropped.WithLabelValues("unknown_organisation").Add(float64(unknown.organisations))
	}
	if fault != demand.NoFault {
		s.metrics.demandDropped.WithLabelValues(string(fault)).Inc()
		return demand.Report{}, false
	}
	return r, true
}

// recordMemberDemand records the summary of a gateway of this availability zone. It runs
// in the control loop.
func (s *Server) recordMemberDemand(now time.Time, from string, m *gladegaugev1.DemandSummary) {
	if m == nil || !s.exchangesDemand(now) {
		return
	}
	if !s.fleet.IsNeighbour(now, from) {
		s.metrics.demandDropped.WithLabelValues(string(demand.UnknownGateway)).Inc()
		return
	}
	if r, ok := s.takeDemand(now, m, s.maxReported(now, from)); ok {
		s.demand.tracker.RecordMember(now, from, r)
	}
}

// maxReported returns the number of gateways that one of this availability zone may report
// for: only the relays of cells report for several, and only large zones have cells.
func (s *Server) maxReported(now time.Time, from string) int {
	if s.fleet.CellSize(now) < s.fleet.ZoneSize(now) && s.fleet.IsCellRelay(now, from) {
		return maxCellReport
	}
	return 1
}

// recordZoneDemand records the summary of another availability zone, or of what is outside
// this cell. It runs in the control loop.
func (s *Server) recordZoneDemand(now time.Time, from, zone string, m *gladegaugev1.DemandSummary) {
	if m != nil && !s.knowsZone(now, zone) {
		s.metrics.demandDropped.WithLabelValues(string(demand.UnknownZone)).Inc()
		return
	}
	if m != nil && s.exchangesDemand(now) {
		// Both sides have just exchanged summaries, whoever called.
		s.demand.recordExchange(now, from, m.GetWithUsers())
	}
	if r, ok := s.takeDemand(now, m, s.fleet.Size(now)); ok {
		s.demand.tracker.RecordZone(now, zone, r)
	}
}

// knowsZone reports whether a gateway of the other availability zone is known. The relay of
// a cell also knows what is outside its cell.
func (s *Server) knowsZone(now time.Time, zone string) bool {
	return zone == outsideCell || slices.ContainsFunc(s.fleet.Relays(now), func(r fleet.ZoneRelay) bool { return r.Zone == zone })
}

// recordOtherDemand records the relay's sum over all other gateways. It runs in the
// control loop.
func (s *Server) recordOtherDemand(now time.Time, m *gladegaugev1.DemandSummary) {
	if r, ok := s.takeDemand(now, m, s.fleet.Size(now)); ok {
		s.demand.tracker.RecordOthers(now, r)
	}
}
