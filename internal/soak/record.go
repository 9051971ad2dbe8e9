package soak

import (
	"sync"
	"time"
)

// Call is one request as its caller saw it.
type Call struct {
	ID   string
	Kind string
	Key  string
	// Gateway and Life say which process took it; Life counts its starts.
	Gateway int
	Life    int
	Sent    time.Time
	Done    time.Time
	// Status is 0 if there was no answer.
	Status int
	// Whole is true if the answer came to its end, Sealed if it bears a replica's
	// signature.
	Whole  bool
	Sealed bool
	Body   string
	// LeavingReplica is the replica whose answer it is, if that says that it leaves.
	LeavingReplica string
	// LimitedReplica is the replica whose answer it is, if that names a limit.
	LimitedReplica string
}

// Run is one request as a replica saw it.
type Run struct {
	ID      string
	Replica string
	At      time.Time
	// Organisation tells the version of the configuration that was in force.
	Organisation string
	// Continues is true if the replica went on from the copy of a run.
	Continues bool
}

// Event is something that the soak did.
type Event struct {
	At   time.Time
	What string
	// Gateway is the number of the gateway that it disturbs, everyGateway or
	// noGateway.
	Gateway int
	// Until is when its effect on that gateway or link ended.
	Until time.Time
}

// Gateways of an event beside those with a number.
const (
	// everyGateway stands for all gateways.
	everyGateway = -1
	// noGateway stands in the event of a replica's link.
	noGateway = -2
)

// whatStop names a planned stop in an event.
const whatStop = "planned stop"

// Record is everything that was seen.
type Record struct {
	mu     sync.Mutex
	Calls  []Call
	Runs   []Run
	Events []Event
	// Revoked maps a key to when it was taken away; Versions a version to when
	// it was published; Left a replica to when it was listed as leaving.
	Revoked  map[string]time.Time
	Versions map[int64]time.Time
	Left     map[string]time.Time
	// Zones maps a replica to its zone.
	Zones map[string]string
	// Starts maps a replica to when it started.
	Starts      map[string][]time.Time
	Arrivals    []Arrival
	Evacuations []Evacuation
	Limits      []Limit
	Kills       []Kill
}

func newRecord() *Record {
	return &Record{
		Revoked:  make(map[string]time.Time),
		Versions: make(map[int64]time.Time),
		Left:     make(map[string]time.Time),
		Zones:    make(map[string]string),
		Starts:   make(map[string][]time.Time),
	}
}

func (r *Record) call(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, c)
}

func (r *Record) kill(k Kill) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Kills = append(r.Kills, k)
}

func (r *Record) run(n Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs = append(r.Runs, n)
}

func (r *Record) arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

func (r *Record) event(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Events = append(r.Events, e)
}

// published notes when a version was published.
func (r *Record) published(version int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Versions[version] = at
}

// revoked notes when a key was taken away.
func (r *Record) revoked(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Revoked[key] = at
}

// left notes when a replica was listed as leaving.
func (r *Record) left(replica string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Left[replica] = at
}

// listed notes a start of a replica, and its zone.
func (r *Record) listed(replica, zone string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Zones[replica] = zone
	r.Starts[replica] = append(r.Starts[replica], at)
}

// evacuated notes an evacuation that has ended.
func (r *Record) evacuated(e Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Evacuations = append(r.Evacuations, e)
}
