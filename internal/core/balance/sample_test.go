package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// The older the picture and the more gateways choose by it, the fewer engines are
// compared; a small fleet compares all.
func TestDrawn(t *testing.T) {
	tests := []struct {
		name     string
		engines  int
		gateways int
		age      time.Duration
		// perS is the rate of this gateway.
		perS int
		// unread is what each engine has to read, in tokens.
		unread int
		want   int
	}{
		{"alone", 60, 1, 200 * time.Millisecond, 20, 0, 60},
		{"few gateways", 9, 3, 100 * time.Millisecond, 20, 0, 9},
		{"many gateways", 180, 100, 200 * time.Millisecond, 10, 0, 12},
		{"an older picture", 180, 100, 600 * time.Millisecond, 10, 0, 4},
		{"nothing heard for long", 180, 100, time.Minute, 10, 0, minSampled},
		{"hardly a request", 180, 100, 100 * time.Millisecond, 1, 0, 180},
		{"much to read", 180, 100, 200 * time.Millisecond, 10, 8000, 4},
		{"something to read", 180, 100, 200 * time.Millisecond, 10, 4000, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, tt.engines)
			picture := pictureOf(nil)
			picture.Age, picture.Gateways = tt.age, tt.gateways
			now := t0
			for range 5 * tt.perS {
				now = now.Add(time.Second / time.Duration(tt.perS))
				table.OthersHave(now, picture)
				c, ok := table.Pick(now, long(int(now.UnixNano())))
				is.True(ok)
				table.Ended(now, c, Completed, Answer{})
			}
			p := table.pools["p"]
			loads := make(occupancy.Loads)
			for _, u := range p.members {
				loads[u.hash] = occupancy.Load{Unread: tt.unread}
			}
			picture.Loads, picture.Age = loads, 0
			now = now.Add(reservationTTL + time.Millisecond)
			table.OthersHave(now, picture)
			table.peersAge = tt.age
			got := table.sampleSize(now, p, tt.engines, false)
			is.True(float64(got) >= 0.8*float64(tt.want) && float64(got) <= 1.2*float64(tt.want))
			is.True(table.sampleSize(now, p, tt.engines, true) >= got) // streams compare no fewer
		})
	}
}

// The home of a prompt is among the engines that are compared.
func TestHomeIsCompared(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 100)
	picture := pictureOf(nil)
	picture.Age, picture.Gateways = time.Second, 1000
	table.OthersHave(t0, picture)
	p := table.pools["p"]
	p.sent.others = arrivals{count: 100, at: t0}
	for i := range 50 {
		r := long(i)
		home := homeOf(p.members, r.Prompt, r.Prompt.chain())
		list := table.sampled(t0, p, p.members, home, r)
		is.True(len(list) < 20)
		is.Equal(list[0], home)
	}
}

// What others told to be unread is taken to be read on since.
func TestToldPromptsAreReadOn(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 1)
	u := table.pools["p"].members[0]
	picture := pictureOf(occupancy.Loads{u.hash: {Unread: 10_000}})
	picture.Age = 50 * time.Millisecond
	table.OthersHave(t0, picture)
	is.Equal(u.unread(t0, 40), 8000)
	is.Equal(u.unread(at(100), 40), 4000)
	is.Equal(u.unread(at(600), 40), 0)
}
