package frontdoor

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Graceful shutdown: after SIGTERM, new connections are accepted for at least drainMin, then until none has arrived for
// drainQuiet, and for at most drainMax. The platform kills the process at the earliest when drainMax plus the longest
// deadline of all classes, or drainMax plus killGrace if that is shorter, have passed.
const (
	drainMin   = 500 * time.Millisecond
	drainQuiet = 150 * time.Millisecond
	drainMax   = 700 * time.Millisecond
	killGrace  = 3 * time.Second
	drainPoll  = 10 * time.Millisecond // interval between checks for open connections
)

// drain is the graceful shutdown at the end of Run. http.Server.Shutdown is not used: it resets connections that are
// still in the listener's backlog, and closes idle connections even if a request has just arrived on them.
func (s *Server) drain(trackingListener *clientListener, serveEnded <-chan error) error {
	start := time.Now()
	killTime := start.Add(drainMax + min(s.maxDeadline, killGrace))
	s.killTime.Store(&killTime)
	for time.Since(start) < drainMin ||
		time.Since(start) < drainMax && time.Since(time.Unix(0, s.lastAccept.Load())) < drainQuiet {
		time.Sleep(drainPoll)
	}
	if err := trackingListener.stopAccepting(); err != nil {
		return fmt.Errorf("stop accepting connections: %w", err)
	}
	if err := <-serveEnded; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("accept the remaining connections before shutdown: %w", err)
	}
	for s.connections.closeIdle(drainQuiet) > 0 && time.Since(start) < drainMax+s.maxDeadline {
		time.Sleep(drainPoll)
	}
	return nil
}

// closeAfterResponse makes the HTTP server close the connection after this response if the process is shutting down, or
// if there are more connections than are kept.
func (s *Server) closeAfterResponse(w http.ResponseWriter) {
	if s.killTime.Load() != nil || s.connections.isCrowded() {
		w.Header().Set("Connection", "close")
	}
}
