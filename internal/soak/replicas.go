package soak

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gladegauge/gladegauge/platform/standin"
)

// replica is a stand-in behind a link.
type replica struct {
	*standin.Replica
	link *Proxy
}

// addReplica starts a replica and lists it. The caller holds the mutex, or is the
// only one yet.
func (w *World) addReplica() {
	id := fmt.Sprintf("i-%d", w.nextN)
	w.nextN++
	w.replicas = append(w.replicas, w.startReplica(id, zoneOf(w.nextN)))
}

// startReplica starts a replica under the identity and lists it.
func (w *World) startReplica(id, zone string) *replica {
	delete(w.limits, id) // It has named nothing.
	r := &replica{}
	r.Replica = standin.NewReplica(w.t, id, func(_ int, req standin.Request) standin.Reply { return w.reply(id, req) })
	r.Zone = zone
	r.Born = time.Now().UnixMilli()
	w.record.listed(id, r.Zone, time.Now())
	r.link = w.link(r.Address())
	w.list(r)
	return r
}

// list lets the replica write its entry.
func (w *World) list(r *replica) { w.store.PutReplica(r.WithAddress(r.link.Address()), pool, false) }

// streamPause is the pause of a replica after its first event.
const streamPause = 100 * time.Millisecond

// refusePercent is the part of requests that replicas refuse to run.
const refusePercent = 3

// misbehaviour is a way in which a replica fails by itself.
type misbehaviour struct {
	// percent is the part of requests that it befalls.
	percent int
	spoil   func(r *standin.Reply)
}

// misbehaviours are what befalls requests that run.
var misbehaviours = []misbehaviour{
	{2, func(r *standin.Reply) { r.CutAfter = 2 }},
	{1, func(r *standin.Reply) { r.CutAfter = len(r.Events) }},
	{1, func(r *standin.Reply) { r.CutAfter, r.Stall = len(r.Events), true }},
	{1, func(r *standin.Reply) { r.Malformed = true }},
	{1, func(r *standin.Reply) { r.Status, r.Events, r.Body = http.StatusInternalServerError, nil, "no" }},
	{1, func(r *standin.Reply) { r.Silent = true }},
	{1, func(r *standin.Reply) { r.CutAfter, r.CutMidEvent, r.Stall = 2, true, true }},
}

// reply is what a replica does with a request, and the limit that it names.
func (w *World) reply(id string, req standin.Request) standin.Reply {
	reply := w.act(id, req)
	reply.RateLimit = w.limitOf(id)
	return reply
}

// act is what a replica does with a request; some fail by themselves.
func (w *World) act(id string, req standin.Request) standin.Reply {
	if s, ok := w.sheds(id); ok {
		w.record.arrived(Arrival{ID: req.ID, Replica: id, At: time.Now(), Rest: s.rest})
		return s.reply()
	}
	w.record.arrived(Arrival{ID: req.ID, Replica: id, At: time.Now()})
	dice := w.rollPercent()
	continues := req.ContinueFrom != ""
	if dice < refusePercent || (continues && req.LastEvent == "") {
		return standin.Reply{Refuse: true}
	}
	if req.Body == killerBody {
		w.record.run(Run{ID: req.ID, Replica: id, At: time.Now(), Organisation: req.Tenant})
		return w.end(id)
	}
	w.record.run(Run{ID: req.ID, Replica: id, At: time.Now(), Organisation: req.Tenant, Continues: continues})
	reply := soundReply(req)
	dice -= refusePercent
	for _, m := range misbehaviours {
		if dice -= m.percent; dice < 0 {
			m.spoil(&reply)
			break
		}
	}
	return reply
}

// rollPercent returns 0 to 99, or 100 once no replica is to fail by itself.
func (w *World) rollPercent() int {
	w.mu.Lock()
	dice := w.rng.IntN(100)
	w.mu.Unlock()
	if w.calm.Load() {
		return 100
	}
	return dice
}

// soundReply is the whole answer to a request.
func soundReply(req standin.Request) standin.Reply {
	kind := kindOf(req.URI)
	reply := standin.Reply{Body: body(kind, req.ID)}
	if streams(kind) {
		reply.Events = eventsOf(req.ID)
		pause := make(chan struct{})
		time.AfterFunc(streamPause, func() { close(pause) })
		reply.Pause = pause
	}
	return reply
}

// zoneOf is the availability zone of the nth gateway or replica.
func zoneOf(n int) string { return fmt.Sprintf("z%d", n%zones) }
