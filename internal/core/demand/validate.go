package demand

import "math"

// Bounds of what one gateway can report. A gateway has less than one core, which serves
// some 1,000 calls per second; each bound is several times what it can carry, so that it
// only limits the effect of a faulty one.
const (
	// MaxArrivals is the maximum number of calls per second.
	MaxArrivals = 5_000
	// MaxWaiting is the maximum number of calls that wait: those of several seconds.
	MaxWaiting = 20_000
	// MaxLoad is the maximum use by one organisation: 5,000 prompts per second of 10,000
	// tokens each, as a sum with a half-life of two seconds.
	MaxLoad = 150_000_000
	// MaxPools is the maximum number of pools in a summary.
	MaxPools = 64
)

// Fault is the reason for which a received summary is dropped as a whole; empty if there
// is none. It is the label of a metric.
type Fault string

// The faults of summaries.
const (
	NoFault               Fault = ""
	NotANumber            Fault = "not_a_number"
	Negative              Fault = "negative"
	OverBound             Fault = "over_bound"
	DuplicatePool         Fault = "duplicate_pool"
	DuplicateOrganisation Fault = "duplicate_organisation"
	TooManyPools          Fault = "too_many_pools"
	TooManyOrganisations  Fault = "too_many_organisations"
	// UnequalLists is the fault of a message whose lists of organisations and of their
	// loads differ in length.
	UnequalLists Fault = "unequal_lists"
	// UnknownGateway is the fault of a summary from a gateway that is not known in the
	// availability zone: it may be counted elsewhere.
	UnknownGateway Fault = "unknown_gateway"
	// UnknownZone is the fault of a summary of an availability zone without a known gateway.
	UnknownZone Fault = "unknown_zone"
)

// Validate returns the first fault of a summary of so many gateways.
func (s Summary) Validate(gateways int) Fault {
	if len(s) > MaxPools {
		return TooManyPools
	}
	for _, d := range s {
		if f := d.validate(float64(max(gateways, 1))); f != NoFault {
			return f
		}
	}
	return NoFault
}

func (p PoolDemand) validate(gateways float64) Fault {
	if f := checkNumber(p.Arrivals, MaxArrivals*gateways); f != NoFault {
		return f
	}
	if f := checkNumber(float64(p.Waiting), MaxWaiting*gateways); f != NoFault {
		return f
	}
	if len(p.Users) > MaxUsers {
		return TooManyOrganisations
	}
	seen := make(map[uint64]bool, len(p.Users))
	for _, u := range p.Users {
		if seen[u.Organisation] {
			return DuplicateOrganisation
		}
		seen[u.Organisation] = true
		if f := checkNumber(u.Requested, MaxLoad*gateways); f != NoFault {
			return f
		}
		if f := checkNumber(u.Admitted, MaxLoad*gateways); f != NoFault {
			return f
		}
	}
	return NoFault
}

// checkNumber returns the fault of a value that must be between 0 and the bound.
func checkNumber(value, bound float64) Fault {
	switch {
	case math.IsNaN(value):
		return NotANumber
	case value < 0:
		return Negative
	case value > bound:
		return OverBound
	default:
		return NoFault
	}
}
