package config

// Kind distinguishes model engines from plain services.
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
	// Model is the model name in requests; empty for plain services.
	Model    string
	Classes  []string
	Slots    int
	Version  string
	Adapters []string
	// Role is the role as the engines name it; empty leaves the engine's role unchanged.
	Role string
}

// Target returns the name that requests address: the model, or the pool itself.
func (p *Pool) Target() string {
	if p.Kind == KindModel {
		return p.Model
	}
	return p.Name
}
