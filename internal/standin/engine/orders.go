package engine

import (
	"encoding/json"
	"net/http"
	"slices"
)

// Order is a control command with a fencing token that the engine accepted.
type Order struct {
	Fence string `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

// State is the model version, the adapters and the role that the engine runs with.
type State struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o.Fence = r.Header.Get("X-Fence")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.CheckFences && o.Fence < e.fence {
		http.Error(w, "fence "+e.fence+" was seen", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, o)
	switch o.Kind {
	case "version":
		e.state.Version = o.Name
	case "role":
		e.state.Role = o.Name
	case "load-adapter":
		e.state.Adapters = append(e.state.Adapters, o.Name)
	case "unload-adapter":
		e.state.Adapters = slices.DeleteFunc(e.state.Adapters, func(a string) bool { return a == o.Name })
	}
}

// State returns a copy of the current state.
func (e *Engine) State() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	state.Adapters = slices.Clone(state.Adapters)
	return state
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.State())
}

// Orders returns the accepted orders.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

func (e *Engine) listOrders(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Orders())
}
