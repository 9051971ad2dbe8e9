package session

import "slices"

// mix is a deployment's load at 60 % of its capacity, and who takes part in
// its scenarios.
type mix struct {
	load []Load
	// low and protected are the classes that burst alone.
	low, protected string
	greedy         string
}

var mixes = map[string]mix{
	"tallowbark": {
		load: []Load{
			{Class: "counter", Share: 0.15},
			{Class: "kiosk", Share: 0.15},
			{Class: "installer", Share: 0.1},
			{Class: "notes", Share: 0.1},
			{Class: "overnight", Share: 0.1},
			{Class: "activation", Share: 0.6},
		},
		low: "notes", protected: "kiosk", greedy: "mackay-phones",
	},
	"salish": {
		load: []Load{
			{Class: "ruling", Share: 0.2},
			{Class: "decklist", Share: 0.15},
			{Class: "player-question", Share: 0.1},
			{Class: "event-report", Share: 0.15},
			{Class: "registration", Share: 0.4},
			{Class: "standings", Share: 0.2},
		},
		low: "player-question", protected: "ruling", greedy: "hope-tables",
	},
}

// Times of the scenarios, in seconds.
const (
	scenarioEnd = 180
	eventFrom   = 20
	eventTo     = 140
)

// Scenarios returns the measured sessions of a deployment.
func Scenarios(deployment string) []*Script {
	m := mixes[deployment]
	make1 := func(name string, load []Load, faults ...Fault) *Script {
		return &Script{Name: name, Deployment: deployment, Seconds: scenarioEnd, Seed: 42, Load: load, Faults: faults}
	}
	steady := m.steady()
	burst := m.burstOf(m.low, 4)
	crash := Fault{Kind: Crash, At: 60, For: 20, Hosts: []string{"agent-2"}}
	return []*Script{
		make1("steady", steady),
		make1("burst-low", burst),
		make1("burst-protected", m.burstOf(m.protected, 4)),
		make1("round-one", m.roundOne(4)),
		make1("slow-engine", steady, Fault{Kind: Slow, At: 40, For: 60, Factor: 0.25, Hosts: []string{"agent-1"}}),
		make1("engine-crash", steady, crash),
		make1("agent-restart", steady, Fault{Kind: Restart, At: 50, For: 2, Hosts: []string{"agent-1"}}, Fault{Kind: Restart, At: 90, For: 2, Hosts: []string{"agent-3"}}),
		make1("half-cut", steady, Fault{Kind: Cut, At: 50, For: 40, Hosts: append(evenHosts(deployment), "entry-1")}),
		make1("greedy", m.greedyLoad()),
		make1("burst-crash", burst, crash),
	}
}

// evenHosts are half of the agents.
func evenHosts(deployment string) []string {
	n := 0
	for _, replicas := range sites[deployment].Replicas {
		n += replicas
	}
	var hosts []string
	for i := 2; i <= n; i += 2 {
		hosts = append(hosts, agentName(i))
	}
	return hosts
}

func (m mix) steady() []Load {
	load := slices.Clone(m.load)
	for i := range load {
		load[i].To = scenarioEnd
	}
	return load
}

// burstOf adds requests of one class at a multiple of the pool's capacity.
func (m mix) burstOf(class string, times float64) []Load {
	return append(m.steady(), Load{Class: class, From: eventFrom, To: eventTo, Share: times})
}

// roundOne adds a multiple of every class's own load.
func (m mix) roundOne(times float64) []Load {
	load := m.steady()
	for _, l := range m.load {
		load = append(load, Load{Class: l.Class, From: eventFrom, To: eventTo, Share: l.Share * (times - 1)})
	}
	return load
}

// greedyLoad lets one organisation send ten times its share of a class at the
// edge of the capacity.
func (m mix) greedyLoad() []Load {
	load := m.steady()
	return append(load, Load{Class: m.low, From: eventFrom, To: eventTo, Share: 1, Greedy: m.greedy})
}
