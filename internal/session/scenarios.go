package session

import "slices"

// workload is the base load of a deployment, which uses 60 % of the capacity of each pool,
// and the classes and the organisation that exceed it in the scenarios.
type workload struct {
	load []Load
	// lowClass and protectedClass are the classes with a burst of their own.
	lowClass, protectedClass string
	greedy                   string
}

var workloads = map[string]workload{
	"tallowbark": {
		load: []Load{
			{Class: "counter", Share: 0.15},
			{Class: "kiosk", Share: 0.15},
			{Class: "installer", Share: 0.1},
			{Class: "notes", Share: 0.1},
			{Class: "overnight", Share: 0.1},
			{Class: "activation", Share: 0.6},
		},
		lowClass: "notes", protectedClass: "kiosk", greedy: "mackay-phones",
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
		lowClass: "player-question", protectedClass: "ruling", greedy: "hope-tables",
	},
}

// Duration of the scenarios and interval of their additional load, in seconds.
const (
	scenarioEnd = 180
	burstFrom   = 20
	burstTo     = 140
)

// Scenarios returns the scripts that are measured for a deployment.
func Scenarios(deployment string) []*Script {
	w := workloads[deployment]
	newScript := func(name string, load []Load, faults ...Fault) *Script {
		return &Script{Name: name, Deployment: deployment, Seconds: scenarioEnd, Seed: 42, Load: load, Faults: faults}
	}
	steady := w.steady()
	burst := w.withBurst(w.lowClass, 4)
	crash := Fault{Kind: Crash, At: 60, For: 20, Hosts: []string{"agent-2"}}
	return []*Script{
		newScript("steady", steady),
		newScript("burst-low", burst),
		newScript("burst-protected", w.withBurst(w.protectedClass, 4)),
		newScript("round-one", w.withAllScaled(4)),
		newScript("slow-engine", steady, Fault{Kind: Slow, At: 40, For: 60, Factor: 0.25, Hosts: []string{"agent-1"}}),
		newScript("engine-crash", steady, crash),
		newScript("agent-restart", steady, Fault{Kind: Restart, At: 50, For: 2, Hosts: []string{"agent-1"}}, Fault{Kind: Restart, At: 90, For: 2, Hosts: []string{"agent-3"}}),
		newScript("half-cut", steady, Fault{Kind: Cut, At: 50, For: 40, Hosts: append(evenHosts(deployment), "entry-1")}),
		newScript("greedy", w.withGreedy()),
		newScript("burst-crash", burst, crash),
	}
}

// evenHosts returns the IDs of the agents with even numbers, half of all agents.
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

func (w workload) steady() []Load {
	load := slices.Clone(w.load)
	for i := range load {
		load[i].To = scenarioEnd
	}
	return load
}

// withBurst adds a burst of one class, at a multiple of the pool's capacity.
func (w workload) withBurst(class string, factor float64) []Load {
	return append(w.steady(), Load{Class: class, From: burstFrom, To: burstTo, Share: factor})
}

// withAllScaled multiplies the load of every class by a factor during the burst interval.
func (w workload) withAllScaled(factor float64) []Load {
	load := w.steady()
	for _, l := range w.load {
		load = append(load, Load{Class: l.Class, From: burstFrom, To: burstTo, Share: l.Share * (factor - 1)})
	}
	return load
}

// withGreedy adds requests of one class that fill the capacity of its pool, of which one
// organisation sends ten times its share.
func (w workload) withGreedy() []Load {
	load := w.steady()
	return append(load, Load{Class: w.lowClass, From: burstFrom, To: burstTo, Share: 1, Greedy: w.greedy})
}
