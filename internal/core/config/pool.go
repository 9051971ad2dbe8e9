package config

// Kind tells model engines from plain services.
type Kind int

// Kinds of pool.
const (
	KindModel Kind = iota + 1
	KindService
)

// Pool is a set of upstreams that serve the same classes.
type Pool struct {
	Name string
	Kind Kind
	// Model is the name callers use; empty for plain services.
	Model    string
	Classes  []string
	Slots    int
	Version  string
	Adapters []string
	// Role is in the engines' own words; empty leaves it as it is.
	Role string
}

// Target is the name that callers address: the model, or the pool itself.
func (p *Pool) Target() string {
	if p.Kind == KindModel {
		return p.Model
	}
	return p.Name
}
