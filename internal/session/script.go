package session

import (
	"fmt"
	"slices"
	"time"

	"sigs.k8s.io/yaml"

	"github.com/gladegauge/gladegauge/internal/core/config"
)

// Script is one session: who asks for what, and what fails.
type Script struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Seconds    float64 `json:"seconds"`
	Seed       uint64  `json:"seed"`
	Load       []Load  `json:"load"`
	Faults     []Fault `json:"faults"`
}

// Load is requests of one class over a time.
type Load struct {
	Class string  `json:"class"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
	// Share is the part of the pool's capacity that the load needs.
	Share float64 `json:"share"`
	// Greedy is an organisation that sends ten times its share.
	Greedy string `json:"greedy"`
}

// FaultKind names what fails.
type FaultKind string

// Kinds of fault.
const (
	// Slow makes the engines of agents run at Factor of their speed.
	Slow FaultKind = "slow"
	// Crash ends the engines of agents; they come back after For.
	Crash FaultKind = "crash"
	// Restart ends agents; new incarnations come back after For.
	Restart FaultKind = "restart"
	// Pause stops agents or entries; they wake after For and go on.
	Pause FaultKind = "pause"
	// Cut drops all messages between the named entries and agents.
	Cut FaultKind = "cut"
	// Leave begins a planned stop of agents.
	Leave FaultKind = "leave"
	// RestartEntry ends entries; their callers lose their connections.
	RestartEntry FaultKind = "restart-entry"
	// Repeat delivers messages twice, the copy late by Factor seconds.
	Repeat FaultKind = "repeat"
)

var faultKinds = []FaultKind{Slow, Crash, Restart, Pause, Cut, Leave, RestartEntry, Repeat}

// Fault is something that fails for a time.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	At     float64   `json:"at"`
	For    float64   `json:"for"`
	Factor float64   `json:"factor"`
	Hosts  []string  `json:"hosts"`
}

// ParseScript reads and checks a script.
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

// Site is where a deployment runs: its configuration and sizes.
type Site struct {
	Config *config.Config
	// Replicas is the number of upstreams by pool.
	Replicas map[string]int
	Zones    []string
	Entries  int
	// Near and Far are one-way delays inside and between availability zones.
	Near time.Duration
	Far  time.Duration
}

// Sizes of the two deployments, from the brief.
var sites = map[string]Site{
	"tallowbark": {
		Replicas: map[string]int{"activation-model": 9, "activation-service": 3},
		Zones:    []string{"north", "south", "west"},
		Entries:  3,
		Near:     250 * time.Microsecond,
		Far:      time.Millisecond,
	},
	"salish": {
		Replicas: map[string]int{"judge-model": 12, "player-app": 3},
		Zones:    []string{"hall-1", "hall-2", "hall-3"},
		Entries:  3,
		Near:     150 * time.Microsecond,
		Far:      500 * time.Microsecond,
	},
}
