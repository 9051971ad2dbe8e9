package gatewayd

import (
	"time"

	"github.com/gladegauge/gladegauge/internal/core/admission"
)

// callLoad is the load of one call of a plain service in the use of its pool by
// organisations, which is measured in calls.
const callLoad = 1

// poolQueue is the queue of calls to one plain service, and the requests that wait in it. It
// is used only in the control loop.
type poolQueue struct {
	queue   admission.Queue
	waiting map[admission.Ticket]waiter
	// timer calls release at timerAt; nil if no request waits.
	timer   *time.Timer
	timerAt time.Time
}

// waiter is a queued request.
type waiter struct {
	// organisation is the hash of the name of the organisation that sent it.
	organisation uint64
	// result receives the result. It holds one.
	result chan<- admissionResult
}

// admissionResult tells a queued request that it may be sent, or is rejected with the time
// after which to retry.
type admissionResult struct {
	rejected   bool
	retryAfter time.Duration
}

// room returns the room of a pool; false if admission does not apply to it. It runs in the
// control loop.
func (s *Server) room(now time.Time, pool string) (admission.Room, bool) {
	room, ok := s.table.Room(now, pool)
	if !ok {
		return admission.Room{}, false
	}
	room.Share = s.demandShare(now, pool)
	shares := s.table.Shares(pool)
	room.AboveShare = func(organisation uint64) bool { return shares.AboveLevel(now, organisation) }
	return room, true
}

// minDemandShare is the least share of the fleet's demand that a gateway assumes for itself,
// as a multiple of an equal share: calls that arrive at a gateway without recent demand must
// not wait for more than a few calls of others.
const minDemandShare = 0.25

// demandShare is the share of the fleet's demand for the pool that arrives at this gateway.
// It runs in the control loop.
func (s *Server) demandShare(now time.Time, pool string) float64 {
	equal := 1 / float64(s.knownGateways())
	if !s.exchangesDemand(now) {
		return equal
	}
	return max(minDemandShare*equal, s.demand.tracker.Share(now, pool))
}

// knownGateways is the last known number of gateways, including this one.
func (s *Server) knownGateways() int {
	if s.o.Settings.Peers == "" {
		return 1
	}
	return max(1, s.gateways)
}

// poolQueue returns the queue of a pool, which it creates if necessary. It runs in the
// control loop.
func (s *Server) poolQueue(pool string) *poolQueue {
	p, ok := s.queues[pool]
	if !ok {
		p = &poolQueue{waiting: make(map[admission.Ticket]waiter)}
		s.queues[pool] = p
	}
	return p
}

// releaseAll releases the requests of all pools that may be sent now. It runs in the control
// loop.
func (s *Server) releaseAll(now time.Time) {
	for pool := range s.queues {
		s.release(now, pool)
	}
}

// release releases the requests of a pool that may be sent now, and rejects those that no
// longer fit. It runs in the control loop.
func (s *Server) release(now time.Time, pool string) {
	p, ok := s.queues[pool]
	if !ok {
		return
	}
	room, ok := s.room(now, pool)
	if !ok {
		room = admission.Room{} // Requests of a pool without room are released.
	}
	released := p.queue.Next(now, room)
	if s.rejectsNew(now) {
		released.Rejected = append(released.Rejected, p.queue.RejectAll(now, room).Rejected...)
	}
	s.deliver(now, pool, room, released)
}

// deliver passes on the results of released requests, and sets the timer of the pool. It
// runs in the control loop.
func (s *Server) deliver(now time.Time, pool string, room admission.Room, r admission.Released) {
	p := s.poolQueue(pool)
	shares := s.table.Shares(pool)
	for _, t := range r.Admitted {
		if shares != nil {
			shares.RecordAdmitted(now, p.waiting[t].organisation, callLoad)
		}
		p.send(t, admissionResult{})
	}
	for _, rejection := range r.Rejected {
		p.send(rejection.Ticket, admissionResult{rejected: true, retryAfter: rejection.RetryAfter})
	}
	if room.Slots > 0 {
		s.demand.tracker.SetWaiting(pool, p.queue.Len())
	}
	s.metrics.admissionWaiting.Set(float64(s.queuedRequests()))
	s.setQueueTimer(now, pool, room)
}

// send delivers the result of a request. The channel holds one result, so this never blocks.
func (p *poolQueue) send(t admission.Ticket, result admissionResult) {
	if w, ok := p.waiting[t]; ok {
		delete(p.waiting, t)
		w.result <- result
	}
}

// setQueueTimer sets the timer of the pool to when requests are to be released next. It runs
// in the control loop.
func (s *Server) setQueueTimer(now time.Time, pool string, room admission.Room) {
	p := s.poolQueue(pool)
	at, ok := p.queue.NextAt(now, room)
	if p.timer != nil && (!ok || at.Before(p.timerAt) || !p.timerAt.After(now)) {
		p.timer.Stop()
		p.timer = nil
	}
	if !ok || p.timer != nil {
		return
	}
	p.timerAt = at
	p.timer = time.AfterFunc(at.Sub(now), func() {
		s.control.DoWithoutCancel(func(now time.Time) { s.release(now, pool) })
	})
}

// queuedRequests is the number of requests that wait. It runs in the control loop.
func (s *Server) queuedRequests() int {
	n := 0
	for _, p := range s.queues {
		n += p.queue.Len()
	}
	return n
}

// rejectsNew reports whether a planned stop has reached the time from which requests are
// refused, so that those in progress finish in time.
func (s *Server) rejectsNew(now time.Time) bool {
	stopping := s.stoppingAt.Load()
	return stopping != nil && now.Sub(*stopping) > s.o.Stop.RejectAfter
}
