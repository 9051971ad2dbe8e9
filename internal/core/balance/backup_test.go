package balance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/gladegauge/gladegauge/internal/core/ingress"
	"github.com/gladegauge/gladegauge/internal/core/occupancy"
)

// Backups are made for requests that may not be repeated, if their answers are long
// relative to their prompts and the engines support it.
func TestBackup(t *testing.T) {
	chat := Prompt{Model: 1, Tokens: 500, OutputHint: 400, Parts: []Part{{ID: 1, Tokens: 500}}}
	long := Prompt{Model: 1, Tokens: 9000, OutputHint: 40, Parts: []Part{{ID: 1, Tokens: 9000}}}
	tests := []struct {
		name    string
		backups bool
		r       Request
		n       int
		want    bool
	}{
		{"long answer", true, Request{Protect: true, Prompt: chat}, 4, true},
		{"may be repeated", true, Request{Prompt: chat}, 4, false},
		{"long prompt", true, Request{Protect: true, Prompt: long}, 4, false},
		{"engines without backups", false, Request{Protect: true, Prompt: chat}, 4, false},
		{"no other engine", true, Request{Protect: true, Prompt: chat}, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table := enginesWith(t, tt.n)
			table.pools["p"].engine = &ingress.Engine{Backups: tt.backups}
			tt.r.Pool = "p"
			tt.r.Route = "chat"
			c, ok := table.Pick(t0, tt.r)
			is.True(ok)
			is.Equal(c.Backup.Any(), tt.want)
			is.True(c.Backup.ID != c.ID)
			if !tt.want {
				return
			}
			table.Ended(at(10), c, Broken, Answer{})
			next, ok := table.Continue(at(10), tt.r, c.Backup)
			is.True(ok)
			is.Equal(next.ID, c.Backup.ID)
			is.Equal(next.Backup.Any(), false)
			table.Ended(at(20), next, Completed, Answer{Tokens: 100})
			table.SetInstances(t0, nil)
			_, ok = table.Continue(at(30), tt.r, c.Backup)
			is.True(!ok) // the engine is gone
		})
	}
}

// The backup is on the engine with the fewest requests over all gateways.
func TestBackupOnLeastLoadedEngine(t *testing.T) {
	is := is.New(t)
	table := enginesWith(t, 4)
	p := table.pools["p"]
	loads := make(occupancy.Loads)
	for i, u := range p.members {
		loads[u.hash] = occupancy.Load{Requests: 10 - i}
	}
	table.SetPeerLoads(t0, peerLoadsOf(loads))
	idlest := p.members[3]
	is.Equal(backupFor(at(1), p.members[0], p.members, Request{}).ID, idlest.ID)
	is.Equal(backupFor(at(1), idlest, p.members, Request{}).ID, p.members[2].ID) // never the chosen engine
}
