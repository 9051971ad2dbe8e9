package soak

import (
	"strconv"
	"sync"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// Call is one request as its caller observed it.
type Call struct {
	ID   string
	Kind string
	Key  string
	// Resumes is the first attempt of the stream that the call resumes, and LastEvent the
	// last event that its caller has; both are empty for other calls.
	Resumes   string
	LastEvent string
	// LeaveAfter is the number of events after which the caller leaves; 0 means never.
	LeaveAfter int
	// Gateway and Incarnation identify the process that received the request. Incarnation
	// counts the starts of the gateway.
	Gateway     int
	Incarnation int
	Sent        time.Time
	Done        time.Time
	// Status is 0 if there was no response.
	Status int
	// Whole is true if the response is complete, Sealed if it has a replica's seal.
	Whole  bool
	Sealed bool
	Body   string
	// LeavingReplica is the replica that sent the response, if the response announces the
	// replica's shutdown.
	LeavingReplica string
	// LimitedReplica is the replica that sent the response, if the response announces a
	// rate limit.
	LimitedReplica string
}

// Left reports whether the caller left the stream before its end.
func (c Call) Left() bool {
	return c.LeaveAfter > 0 && lastEventOf(c.Body) == strconv.Itoa(c.LeaveAfter)
}

// Run is one request as a replica observed it.
type Run struct {
	ID      string
	Replica string
	At      time.Time
	// Organisation identifies the version of the configuration that was in effect.
	Organisation string
	// Continues is true if the replica continued an earlier run from a backup.
	Continues bool
}

// Event is a fault that the soak injected.
type Event struct {
	At   time.Time
	Name string
	// Gateway is the number of the affected gateway, everyGateway or noGateway.
	Gateway int
	// Replica is the affected replica, if only that one is.
	Replica string
	// Until is when the effect on that gateway or link ended.
	Until time.Time
}

// Values of Event.Gateway other than the number of a gateway.
const (
	// everyGateway means that all gateways are affected.
	everyGateway = -1
	// noGateway means that only the link to a replica is affected.
	noGateway = -2
)

// gracefulShutdown is the name of a graceful shutdown in events.
const gracefulShutdown = "graceful shutdown"

// Record holds everything that callers and replicas observed, and the injected faults.
type Record struct {
	mu     sync.Mutex
	Calls  []Call
	Runs   []Run
	Events []Event
	// Revoked maps a key to the time of its revocation, Versions a version of the
	// configuration to the time of its publication, and Draining a replica to the time
	// when it was listed as draining.
	Revoked  map[string]time.Time
	Versions map[int64]time.Time
	Draining map[string]time.Time
	// Zones maps a replica to its availability zone, and Software to the versions of its
	// starts.
	Zones    map[string]string
	Software map[string][]string
	// Starts maps a replica to the times of its starts.
	Starts        map[string][]time.Time
	Arrivals      []Arrival
	Evacuations   []Evacuation
	Limits        []Limit
	CrashingCalls []CrashingCall
	Stalls        []Stall
	// stallsCheckedAt is when the harness last checked for stalls.
	stallsCheckedAt time.Time
	// Uploads are the requests with long bodies, and Bodies those bodies as replicas received
	// them.
	Uploads []Upload
	Bodies  []standin.Received
	// Concentrations are the times at which most new connections went to one gateway.
	Concentrations []Concentration
	// Memory maps a gateway to the largest resident memory that it had, in bytes.
	Memory map[int]int
	// BadEntryRequests is the number of requests to the server whose address is in entries of
	// another writer.
	BadEntryRequests int
}

func newRecord() *Record {
	return &Record{
		Revoked:  make(map[string]time.Time),
		Versions: make(map[int64]time.Time),
		Draining: make(map[string]time.Time),
		Zones:    make(map[string]string),
		Software: make(map[string][]string),
		Starts:   make(map[string][]time.Time),
		Memory:   make(map[int]int),
	}
}

func (r *Record) addCall(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Calls = append(r.Calls, c)
}

func (r *Record) recordConcentration(c Concentration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Concentrations = append(r.Concentrations, c)
}

func (r *Record) addCrashingCall(k CrashingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.CrashingCalls = append(r.CrashingCalls, k)
}

func (r *Record) addRun(n Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs = append(r.Runs, n)
}

func (r *Record) addArrival(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Arrivals = append(r.Arrivals, a)
}

func (r *Record) addEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Events = append(r.Events, e)
}

// addVersion records the publication of a version of the configuration.
func (r *Record) addVersion(version int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Versions[version] = at
}

// addRevocation records the revocation of a key.
func (r *Record) addRevocation(key string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Revoked[key] = at
}

// addDraining records that a replica was listed as draining.
func (r *Record) addDraining(replica string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Draining[replica] = at
}

// addStart records a start of a replica, its availability zone and its software version.
func (r *Record) addStart(replica, zone, software string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Zones[replica] = zone
	r.Software[replica] = append(r.Software[replica], software)
	r.Starts[replica] = append(r.Starts[replica], at)
}

// addEvacuation records an evacuation that has ended.
func (r *Record) addEvacuation(e Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Evacuations = append(r.Evacuations, e)
}
