package gatewayd

import "net/http"

// answerReady tells the platform whether to send callers here.
func (s *Server) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether the gateway takes new callers.
func (s *Server) ready() bool {
	view := s.view.Load()
	return s.stoppingAt.Load() == nil && view.Table != nil && !view.NewestAt.IsZero()
}
