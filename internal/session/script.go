package session

import (
	"fmt"
	"slices"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Script describes a session: its deployment, load and faults. Times are in seconds.
type Script struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Seconds    float64 `json:"seconds"`
	Seed       uint64  `json:"seed"`
	Load       []Load  `json:"load"`
	Faults     []Fault `json:"faults"`
}

// Load describes the requests of one class during an interval.
type Load struct {
	Class string  `json:"class"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	// Share is the offered load as a fraction of the pool's capacity.
	Share float64 `json:"share"`
	// Greedy is an organisation that sends ten times its share of the requests.
	Greedy string `json:"greedy"`
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	// Slow multiplies the speed of the agents' engines by Factor.
	Slow FaultKind = "slow"
	// Crash takes the engines of agents down for the time For.
	Crash FaultKind = "crash"
	// Restart terminates agents and starts new incarnations after For.
	Restart FaultKind = "restart"
	// Pause suspends agents or entries and resumes them after For.
	Pause FaultKind = "pause"
	// Cut drops all messages between the named entries and agents.
	Cut FaultKind = "cut"
	// Leave begins a planned stop of agents. It does not end.
	Leave FaultKind = "leave"
	// RestartEntry terminates entries and restarts them after For. Their callers lose
	// their connections.
	RestartEntry FaultKind = "restart-entry"
	// Repeat duplicates all messages. The copy is delivered Factor seconds after the
	// message was sent.
	Repeat FaultKind = "repeat"
)

var faultKinds = []FaultKind{Slow, Crash, Restart, Pause, Cut, Leave, RestartEntry, Repeat}

// Fault is a fault that begins at the time At and lasts for the time For.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	At     float64   `json:"at"`
	For    float64   `json:"for"`
	Factor float64   `json:"factor"`
	Hosts  []string  `json:"hosts"`
}

// ParseScript decodes and validates a script.
func ParseScript(text []byte) (*Script, error) {
	s := &Script{}
	if err := yaml.UnmarshalStrict(text, s); err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	for i, f := range s.Faults {
		if !slices.Contains(faultKinds, f.Kind) {
			return nil, fmt.Errorf("faults[%d].kind: %q is unknown", i, f.Kind)
		}
	}
	if s.Seconds <= 0 {
		return nil, fmt.Errorf("seconds: must be above 0")
	}
	return s, nil
}

// Site is the environment of a deployment: its configuration, size and network delays.
type Site struct {
	Config *config.Config
	// Replicas is the number of upstreams of each pool.
	Replicas map[string]int
	Zones    []string
	Entries  int
	// IntraZoneDelay and InterZoneDelay are the one-way network delays within and between
	// availability zones.
	IntraZoneDelay time.Duration
	InterZoneDelay time.Duration
}

// sites holds the two example deployments by name. Their configuration is passed to Run.
var sites = map[string]Site{
	"tallowbark": {
		Replicas:       map[string]int{"activation-model": 9, "activation-service": 3},
		Zones:          []string{"north", "south", "west"},
		Entries:        3,
		IntraZoneDelay: 250 * time.Microsecond,
		InterZoneDelay: time.Millisecond,
	},
	"salish": {
		Replicas:       map[string]int{"judge-model": 12, "player-app": 3},
		Zones:          []string{"hall-1", "hall-2", "hall-3"},
		Entries:        3,
		IntraZoneDelay: 150 * time.Microsecond,
		InterZoneDelay: 500 * time.Microsecond,
	},
}
