package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// replica is a test double of a replica behind a link.
type replica struct {
	*standin.Replica
	link *Proxy
}

// addReplica starts a replica and lists it. The caller holds the mutex, or nothing else
// runs yet.
func (h *Harness) addReplica() { h.replicas = append(h.replicas, h.newReplica(h.nextSoftware())) }

// newReplica starts and lists a replica of a software version under a new identity.
func (h *Harness) newReplica(software string) *replica {
	id := fmt.Sprintf("i-%d", h.nextReplica)
	h.nextReplica++
	return h.startReplica(id, zoneOf(h.nextReplica), software)
}

// startReplica starts a replica of a software version under the identity and lists it.
func (h *Harness) startReplica(id, zone, software string) *replica {
	delete(h.limits, id) // The new incarnation has not announced a limit.
	r := &replica{}
	r.Replica = standin.NewReplica(h.t, id, func(_ int, req standin.Request) standin.Reply { return h.reply(id, software, req) })
	r.SetEarly(func(head standin.Request) (standin.Early, bool) { return h.answerEarly(id, head) })
	r.Zone = zone
	r.Version = software
	r.Born = time.Now().UnixMilli()
	h.record.addStart(id, r.Zone, software, time.Now())
	r.link = h.link(r.Address())
	h.putEntry(r)
	return r
}

// putEntry writes the store entry of the replica.
func (h *Harness) putEntry(r *replica) {
	h.store.PutReplica(r.WithAddress(r.link.Address()), pool, false)
}

// streamPause is the pause of a replica after the first event of a stream.
const streamPause = 100 * time.Millisecond

// unframedOneIn is the number of requests of which one is answered without length and chunks.
const unframedOneIn = 6

// refusePercent is the percentage of requests that replicas refuse to run.
const refusePercent = 3

// replyFault is a fault in a replica's response.
type replyFault struct {
	// percent is the percentage of requests with this fault.
	percent int
	apply   func(r *standin.Reply)
}

// replyFaults are the faults in the responses to requests that run.
var replyFaults = []replyFault{
	{2, func(r *standin.Reply) { r.CutAfter = 2 }},
	{1, func(r *standin.Reply) { r.CutAfter = len(r.Events) }},
	{1, func(r *standin.Reply) { r.CutAfter, r.Stall = len(r.Events), true }},
	{1, func(r *standin.Reply) { r.Malformed = true }},
	{1, func(r *standin.Reply) { r.Status, r.Events, r.Body = http.StatusInternalServerError, nil, "no" }},
	{1, func(r *standin.Reply) { r.Silent = true }},
	{1, func(r *standin.Reply) { r.CutAfter, r.CutMidEvent, r.Stall = 2, true, true }},
}

// reply returns a replica's response to a request, with the rate limit that the replica
// announces and its load.
func (h *Harness) reply(id, software string, req standin.Request) standin.Reply {
	reply := h.handle(id, software, req)
	reply.RateLimit = h.currentLimit(id)
	reply.Load = reportedLoads[xxhash.Sum64String(req.ID)%uint64(len(reportedLoads))]
	return reply
}

// reportedLoads are the loads that replicas report with their responses, some with a pace.
// Those that are invalid must have no effect on requests.
var reportedLoads = []string{
	"1,0,6", "2,0,6,100", "5,1,6,250", "1,0,6,40",
	"1,0,6,0", "1,0,6,-5", "1,0,6,1000000", "1,0,1000000000", "-1,0,6", "1,0",
}

// handle returns a replica's response to a request. Some of them are faulty.
func (h *Harness) handle(id, software string, req standin.Request) standin.Reply {
	if s, ok := h.currentShedding(id); ok {
		h.record.addArrival(Arrival{ID: req.ID, Replica: id, At: time.Now(), RetryAfter: s.retryAfter})
		return s.reply()
	}
	h.record.addArrival(Arrival{ID: req.ID, Replica: id, At: time.Now()})
	roll := h.randomPercent()
	continues := req.ContinueFrom != ""
	if continues && req.LastEvent == "" {
		return standin.Reply{Refuse: true}
	}
	if roll < refusePercent {
		return refusal(req)
	}
	if crashesReplica(req) {
		h.record.addRun(Run{ID: req.ID, Replica: id, At: time.Now(), Organisation: req.Tenant})
		return h.crashReplica(id)
	}
	h.record.addRun(Run{ID: req.ID, Replica: id, At: time.Now(), Organisation: req.Tenant, Continues: continues})
	if isUpload(req.ID) {
		h.record.addBody(standin.Received{ID: req.ID, Body: req.Body, Whole: true})
		return uploadReply(req)
	}
	reply := successReply(req, software)
	reply.Unframed = xxhash.Sum64String(req.ID)%unframedOneIn == 0
	roll -= refusePercent
	for _, m := range replyFaults {
		if roll -= m.percent; roll < 0 {
			m.apply(&reply)
			break
		}
	}
	switch {
	case roll < 0:
	case roll < endlessPercent:
		reply.Endless = endlessAnswer(req, func(e standin.EndlessAnswer) bool { return !e.Refusal && (!e.Whole || reply.Events == nil) })
	case roll < endlessPercent+garbledPercent && reply.Events != nil:
		reply = garbledReply(req, software)
	}
	// Without chunks only an end inside an event shows that the stream broke off.
	reply.CutMidEvent = reply.CutMidEvent || reply.Unframed
	return reply
}

// randomPercent returns 0 to 99, or 100 once replicas must not fail by themselves.
func (h *Harness) randomPercent() int {
	h.mu.Lock()
	roll := h.rng.IntN(100)
	h.mu.Unlock()
	if h.faultsDisabled.Load() {
		return 100
	}
	return roll
}

// successReply returns the complete response to a request.
func successReply(req standin.Request, software string) standin.Reply {
	kind := kindOf(req.URI)
	reply := standin.Reply{Body: expectedBody(kind, req.ID, "")}
	if isStream(kind) {
		reply.Events = streamEvents(req.ID, software)
		reply.Pause = closedAfter(streamPause)
	}
	return reply
}

// zoneOf returns the availability zone of the n-th gateway or replica.
func zoneOf(n int) string { return fmt.Sprintf("z%d", n%zoneCount) }
