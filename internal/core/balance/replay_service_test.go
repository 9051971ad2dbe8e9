package balance

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Figures of the replicas of a plain service in a replay.
const (
	serviceSlots  = 6
	serviceWorkMs = 30.0
	serviceSpread = 0.5
	serviceTarget = 150 * time.Millisecond
)

// replayReplica plays a replica of a plain service: so many slots, and a queue.
type replayReplica struct {
	running int
	queue   []func()
}

// lateService plays requests of a plain service at so many gateways, whose words are
// so old, and returns the share that is answered late.
func lateService(gateways, replicas int, perS float64, every, lag time.Duration) float64 {
	r := newReplay(gateways, replicas, every, lag, nil)
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
		came := r.now
		c, _ := g.table.Pick(r.now, Request{Pool: "p", Route: "read", Hash: r.rng.Uint64(), Target: serviceTarget})
		node := nodes[c.ID]
		work := serviceWorkMs * math.Exp(serviceSpread*r.rng.NormFloat64()-serviceSpread*serviceSpread/2)
		run := func() {
			node.running++
			r.after(work, func() {
				node.running--
				g.table.Ended(r.now, c, Completed, Answer{})
				n++
				if r.now.Sub(came) > serviceTarget {
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
			r.after(r.rng.ExpFloat64()/perS*1000, arrive)
		}
	}
	arrive()
	r.play()
	return float64(late) / float64(n)
}

// Many gateways that choose among few replicas by an old picture do not all choose the
// same one.
func TestReplaysOfServices(t *testing.T) {
	tests := []struct {
		name               string
		gateways, replicas int
		perS               float64
		every, lag         time.Duration
		late               float64
	}{
		// All compared: 0.099.
		{"a burst at many gateways", 103, 6, 735, 200 * time.Millisecond, 100 * time.Millisecond, 0.01},
		// The same: 0.143.
		{"an older picture", 103, 6, 735, 600 * time.Millisecond, 300 * time.Millisecond, 0.01},
		{"a usual load at many gateways", 103, 6, 410, 200 * time.Millisecond, 100 * time.Millisecond, 0.01},
		{"a burst at few gateways", 3, 3, 360, 100 * time.Millisecond, 2 * time.Millisecond, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			late := lateService(tt.gateways, tt.replicas, tt.perS, tt.every, tt.lag)
			t.Logf("late %.3f", late)
			is.New(t).True(late <= tt.late)
		})
	}
}
