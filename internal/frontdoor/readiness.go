package frontdoor

import (
	"net/http"
	"time"
)

// readinessPath is the path of readiness probes.
const readinessPath = "/ready"

// firstListTimeout is how long a new process is not ready without a list from discovery: it must not send to any
// backend before, apart from its first moments, and other gateways can serve its clients. Then it becomes ready all the
// same, as a restarted process must be ready within 6 s.
const firstListTimeout = 5 * time.Second

// isReadinessProbe reports whether a request asks if the gateway is ready for clients.
func isReadinessProbe(r *http.Request) bool {
	return r.URL.Path == readinessPath && (r.Method == http.MethodGet || r.Method == http.MethodHead)
}

// serveReadiness answers a readiness probe: with 200 if the gateway is ready for clients, otherwise with 503. A probe
// with a body is invalid.
func (s *Server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		s.writeInvalid(w, r, &badFieldError{"a readiness probe with a body", r.RequestURI})
		return
	}
	s.closeAfterResponse(w)
	closeAfterHTTP10Response(w, r)
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the gateway is ready for clients.
func (s *Server) ready() bool {
	if s.killTime.Load() != nil {
		return false
	}
	return s.loop.hasList.Load() || time.Since(s.started) >= firstListTimeout
}
