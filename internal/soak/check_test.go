package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var t0 = time.Unix(1000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// sound is a record in which every promise was kept.
func sound() *Record {
	r := newRecord()
	r.Versions[1] = at(0)
	r.Revoked["old"] = at(1)
	r.Left["i-9"] = at(1)
	r.Zones["i-1"] = "z0"
	r.Evacuations = []Evacuation{{Zone: "z1", At: at(1), Until: at(50)}, {Zone: "z0", At: at(8), Until: at(11)}, {Zone: "z0", At: at(35), Until: at(39)}}
	add := func(id, kind string, sent float64) {
		r.Calls = append(r.Calls, Call{
			ID: id, Kind: kind, Key: lastingKey, Life: 1, Sent: at(sent), Done: at(sent + 0.1),
			Status: http.StatusOK, Whole: true, Sealed: true, Body: body(kind, id),
		})
		r.Runs = append(r.Runs, Run{ID: id, Replica: "i-1", At: at(sent + 0.05), Organisation: organisationPrefix + "1"})
	}
	add("w", kindWrite, 10)
	add("c", kindChat, 11)
	add("r", kindRead, 40)
	r.Events = []Event{{At: at(20), What: whatStop, Gateway: 0, Until: at(28)}}
	return r
}

// killed notes calls of a request that ended a replica each.
func (r *Record) killed(seconds ...float64) {
	for i, s := range seconds {
		id := fmt.Sprint("kill-", i)
		r.Kills = append(r.Kills, Kill{ID: id, Sent: at(s), Done: at(s + 0.1)})
		r.Runs = append(r.Runs, Run{ID: id, Replica: "i-1", At: at(s)})
	}
}

// limited lets the replica of the first call name a limit with it, and so many requests
// come there in a second.
func (r *Record) limited(perSecond float64, n int) {
	r.Calls[0].LimitedReplica = "i-1"
	r.Limits = []Limit{{Replica: "i-1", At: at(9.9), Until: at(30), PerSecond: perSecond, Text: "x"}}
	for i := range n {
		r.Arrivals = append(r.Arrivals, Arrival{ID: "c", Replica: "i-1", At: at(14 + float64(i)/20)})
	}
}

// reassigned lets some of these calls come after the key was given to another organisation.
func (r *Record) reassigned(from, to int) {
	for i := from; i < to; i++ {
		for j := range r.Runs {
			if r.Runs[j].ID == r.Kills[i].ID {
				r.Runs[j].Organisation = organisationPrefix + "2"
			}
		}
	}
}

// Each check finds what it is there to find, and nothing in a sound record.
func TestChecksCanFail(t *testing.T) {
	tests := []struct {
		name  string
		spoil func(r *Record)
	}{
		{"", func(*Record) {}},
		{"at most once", func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }},
		{"at most once", func(r *Record) { r.Runs = append(r.Runs, r.Runs[1]) }},
		{"replicas that say that they leave get nothing new", func(r *Record) {
			r.Events = nil
			r.Calls[0].LeavingReplica = "i-1"
			r.Arrivals = []Arrival{{ID: "r", Replica: "i-1", At: at(40)}}
		}},
		{"", func(r *Record) {
			r.Events = nil
			r.Calls[0].LeavingReplica = "i-1"
			r.Starts["i-1"] = []time.Time{at(30)}
			r.Arrivals = []Arrival{{ID: "c", Replica: "i-1", At: at(11)}, {ID: "r", Replica: "i-1", At: at(40)}}
		}},
		{"", func(r *Record) {
			r.Starts["i-1"] = []time.Time{at(10.9)}
			r.Arrivals = []Arrival{{ID: "w", Replica: "i-1", At: at(10), Rest: 3 * time.Second}}
			for i := range 3 {
				r.Arrivals = append(r.Arrivals, Arrival{ID: "c", Replica: "i-1", At: at(11 + float64(i)/10)})
			}
		}},
		{"replicas that ask for rest get it", func(r *Record) {
			r.Arrivals = []Arrival{{ID: "w", Replica: "i-1", At: at(10), Rest: 3 * time.Second}}
			for i := range 3 {
				r.Arrivals = append(r.Arrivals, Arrival{ID: "c", Replica: "i-1", At: at(11 + float64(i)/10)})
			}
		}},
		{"", func(r *Record) {
			r.Arrivals = []Arrival{{ID: "w", Replica: "i-1", At: at(10), Rest: 3 * time.Second}}
			for i := range 5 {
				r.Arrivals = append(r.Arrivals, Arrival{ID: "c", Replica: "i-1", At: at(10.1 + float64(i)/10)})
			}
			r.Arrivals = append(r.Arrivals, Arrival{ID: "c", Replica: "i-1", At: at(12.9)})
		}},
		{"replicas that name a limit get no more", func(r *Record) { r.limited(1, 12) }},
		{"", func(r *Record) { r.limited(1, 11) }},
		{"", func(r *Record) { r.limited(2, 12) }},
		{"", func(r *Record) {
			r.limited(1, 12)
			r.Limits[0].Nonsense = true
		}},
		{"", func(r *Record) {
			r.limited(1, 12)
			r.Calls[0].LimitedReplica = "" // nobody was told
		}},
		{"", func(r *Record) {
			r.limited(1, 12)
			r.Events = append(r.Events, Event{At: at(13), What: "freeze", Gateway: 0, Until: at(14)})
		}},
		{"", func(r *Record) {
			r.limited(1, 12)
			r.Starts["i-1"] = []time.Time{at(13.5)}
		}},
		{"", func(r *Record) {
			again := r.Runs[1]
			again.Continues = true
			r.Runs = append(r.Runs, again)
		}},
		{"refusals are true", func(r *Record) { r.Calls[0].Status = http.StatusServiceUnavailable }},
		{"refusals are true", func(r *Record) { r.Calls[0].Status = http.StatusTooManyRequests }},
		{"answers are whole and the caller's own", func(r *Record) { r.Calls[0].Body = body(kindWrite, "x") }},
		{"answers are whole and the caller's own", func(r *Record) { r.Calls[1].Body = r.Calls[1].Body[:30] }},
		{"answers are whole and the caller's own", func(r *Record) { r.Calls[1].Body, r.Calls[1].Whole = "id: 2", false }},
		{"answers are whole and the caller's own", func(r *Record) { r.Calls[0].Sealed = false }},
		{"", func(r *Record) { r.Calls[1].Body, r.Calls[1].Whole = r.Calls[1].Body[:30], false }},
		{"nothing allowed is denied", func(r *Record) { r.Calls[0].Status, r.Runs = http.StatusUnauthorized, r.Runs[1:] }},
		{"revoked keys are refused", func(r *Record) { r.Calls[0].Key = "old" }},
		{"requests that end replicas are stopped", func(r *Record) { r.killed(3, 4, 5, 10, 11, 12, 13) }},
		{"", func(r *Record) { r.killed(3, 4, 5, 10, 11, 12) }},
		{"", func(r *Record) { r.killed(3, 4, 5, 6, 7, 8) }},
		{"", func(r *Record) { r.killed(3, 4, 5, 26, 27, 28, 29) }},
		{"", func(r *Record) {
			r.killed(3, 4, 5, 10, 11, 12, 13)
			r.reassigned(3, 7)
		}},
		{"requests that end replicas are stopped", func(r *Record) {
			r.killed(3, 4, 5, 6, 11, 12, 13, 14)
			r.reassigned(0, 1)
		}},
		{"", func(r *Record) { r.Calls[0].Key, r.Calls[0].Sent = "old", at(3) }},
		{"configuration never goes back", func(r *Record) { r.Runs[0].Organisation = organisationPrefix + "2" }},
		{"configuration never goes back", func(r *Record) { r.Versions[2] = at(1) }},
		{"", func(r *Record) { r.Runs[0].Organisation, r.Calls[0].Life = organisationPrefix+"2", 0 }},
		{"leaving replicas get nothing new", func(r *Record) { r.Runs[0].Replica = "i-9" }},
		{"evacuated zones get nothing new", func(r *Record) { r.Evacuations[1].At = at(5) }},
		{"", func(r *Record) {
			r.Evacuations[1].At = at(5)
			r.Events = append(r.Events, Event{At: at(9), What: "store", Gateway: everyGateway, Until: at(12)})
		}},
		{"planned stops cut nothing", func(r *Record) {
			r.Calls = append(r.Calls, Call{ID: "x", Kind: kindWrite, Sent: at(19.9), Done: at(20.5)})
		}},
		{"", func(r *Record) {
			r.Calls = append(r.Calls, Call{ID: "x", Kind: kindWrite, Sent: at(19.9), Done: at(20.5)})
			r.Events = append(r.Events, Event{At: at(19), What: "freeze", Gateway: 0, Until: at(21)})
		}},
		{"full service is back", func(r *Record) { r.Calls[2].Status = http.StatusBadGateway }},
		{"full service is back", func(r *Record) { r.Calls = r.Calls[:2] }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := sound()
			tt.spoil(r)
			broken := Check(r)
			if tt.name == "" {
				is.Equal(len(broken), 0)
				return
			}
			is.True(len(broken) > 0)
			for _, text := range broken {
				is.True(strings.HasPrefix(text, tt.name))
			}
		})
	}
}
