package gatewayd

import "net/http"

// serveReadiness tells the platform whether to route callers here.
func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the gateway accepts new callers.
func (s *Server) ready() bool {
	view := s.view.Load()
	return s.stoppingAt.Load() == nil && view.Table != nil && !view.NewestAt.IsZero()
}
