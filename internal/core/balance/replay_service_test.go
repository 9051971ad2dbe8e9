package balance

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Parameters of the simulated replicas of a plain service.
const (
	serviceSlots  = 6
	serviceWorkMs = 30.0
	serviceSpread = 0.5
	serviceTarget = 150 * time.Millisecond
)

// replayReplica simulates a replica of a plain service with a number of slots and a
// queue.
type replayReplica struct {
	running int
	queue   []func()
}

// lateService simulates requests to a plain service at so many gateways, with reports
// sent at the interval and received after the delay, and returns the share that is
// answered late.
func lateService(gateways, replicas int, perSecond float64, reportInterval, reportDelay time.Duration) float64 {
	r := newReplay(gateways, replicas, reportInterval, reportDelay, nil)
	nodes := make(map[string]*replayReplica)
	for _, in := range r.listed {
		nodes[in.ID] = &replayReplica{}
	}
	list := r.listed
	for i := range list {
		list[i].Slots = serviceSlots
	}
	for _, g := range r.gateways {
		g.table = New(g.table.zone)
		g.table.SetInstances(r.now, list)
	}
	r.end = t0.Add(6 * time.Second)
	n, late := 0, 0
	var arrive func()
	arrive = func() {
		g := r.gateways[r.rng.IntN(gateways)]
		arrivedAt := r.now
		c, _ := g.table.Pick(r.now, Request{Pool: "p", Route: "read", Hash: r.rng.Uint64(), Target: serviceTarget})
		node := nodes[c.ID]
		work := serviceWorkMs * math.Exp(serviceSpread*r.rng.NormFloat64()-serviceSpread*serviceSpread/2)
		run := func() {
			node.running++
			r.after(work, func() {
				node.running--
				g.table.Ended(r.now, c, Completed, Answer{})
				n++
				if r.now.Sub(arrivedAt) > serviceTarget {
					late++
				}
				if len(node.queue) > 0 {
					next := node.queue[0]
					node.queue = node.queue[1:]
					next()
				}
			})
		}
		if node.running < serviceSlots {
			run()
		} else {
			node.queue = append(node.queue, run)
		}
		if r.now.Before(r.end) {
			r.after(r.rng.ExpFloat64()/perSecond*1000, arrive)
		}
	}
	arrive()
	r.play()
	return float64(late) / float64(n)
}

// Many gateways that choose among few replicas by stale load reports do not all choose
// the same one.
func TestReplaysOfServices(t *testing.T) {
	tests := []struct {
		name                        string
		gateways, replicas          int
		perSecond                   float64
		reportInterval, reportDelay time.Duration
		late                        float64
	}{
		// 0.099 if all replicas are compared.
		{"a burst at many gateways", 103, 6, 735, 200 * time.Millisecond, 100 * time.Millisecond, 0.01},
		// 0.143 if all replicas are compared.
		{"a staler load report", 103, 6, 735, 600 * time.Millisecond, 300 * time.Millisecond, 0.01},
		{"a usual load at many gateways", 103, 6, 410, 200 * time.Millisecond, 100 * time.Millisecond, 0.01},
		{"a burst at few gateways", 3, 3, 360, 100 * time.Millisecond, 2 * time.Millisecond, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			late := lateService(tt.gateways, tt.replicas, tt.perSecond, tt.reportInterval, tt.reportDelay)
			t.Logf("late %.3f", late)
			is.New(t).True(late <= tt.late)
		})
	}
}
