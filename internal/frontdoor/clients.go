package frontdoor

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"herontiller/internal/gateway"
	"herontiller/internal/memory"

	"golang.org/x/time/rate"
)

const (
	// A client measures its timeout from when it sends the request, which is before the request is received here, and
	// the response must reach it before the end. So the gateway is given a timeout that is gatewayMargin shorter, and a
	// request without a response is answered with 504 responseMargin before the end. The margins of short timeouts are
	// smaller.
	gatewayMargin  = 40 * time.Millisecond
	responseMargin = 20 * time.Millisecond
	marginDivisor  = 8 // the gateway's margin is at most the timeout divided by this

	// Timeouts of a request's head and body. On a new connection, headTimeout starts when it is accepted.
	headTimeout       = 1500 * time.Millisecond
	bodyTimeout       = time.Second
	discardTimeout    = 100 * time.Millisecond // of the rest of a body that is not used
	clientIdleTimeout = 15 * time.Second       // how long a client's connection may be idle
	maxRequestHead    = 16 << 10               // bytes
	maxDiscarded      = 256 << 10              // bytes of a request that is not read to its end

	// The HTTP server's write timeout starts when it has read a request's head, so it includes the time until there is
	// a response. It is the longest deadline of all classes plus writeMargin, which is the time for writing the
	// response to a slow client.
	writeMargin = 10 * time.Second

	// Of each kind of warning about a request or an attempt, the first logBurst are logged, and then at most one in
	// each logInterval.
	logBurst    = 10
	logInterval = time.Second
)

// Server serves the clients of a gateway over HTTP.
type Server struct {
	loop        *Loop
	settings    gateway.Settings
	classes     map[string]gateway.Class // by name
	plans       map[string]bool          // the names of the plans
	started     time.Time
	maxDeadline time.Duration // longest deadline of all classes
	connections *connTable
	// Requests that are not small are rejected if more than this many are in progress, small ones included.
	maxLongRequests int
	killTime        atomic.Pointer[time.Time] // when the platform may kill this process; nil before SIGTERM
	lastAccept      atomic.Int64              // when the last connection was accepted, Unix time in nanoseconds
	badRequestLog   rate.Sometimes
	memoryLog       rate.Sometimes
	timeoutLog      rate.Sometimes
}

// NewServer returns a Server that passes requests to loop.
func NewServer(config Config, loop *Loop) *Server {
	settings := config.Settings
	s := &Server{loop: loop, settings: settings, started: time.Now(),
		connections:     newConnTable(config.Limits.maxClientConns(), config.Limits.maxOpenClientConns()),
		maxLongRequests: config.Limits.maxLongRequests(),
		classes:         map[string]gateway.Class{}, plans: map[string]bool{},
		badRequestLog: rate.Sometimes{First: logBurst, Interval: logInterval},
		memoryLog:     rate.Sometimes{First: logBurst, Interval: logInterval},
		timeoutLog:    rate.Sometimes{First: logBurst, Interval: logInterval}}
	for _, class := range settings.Classes {
		s.classes[class.Name] = class
		s.maxDeadline = max(s.maxDeadline, class.Deadline)
	}
	for _, plan := range settings.Plans {
		s.plans[plan.Name] = true
	}
	return s
}

// Run serves clients on a listener until ctx ends, and then shuts down gracefully: it accepts connections while they
// still arrive, closes the listener, and returns when no request is in progress, or at the latest after drainMax and
// the longest deadline of all classes. It returns an error if the listener fails.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	httpServer := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headTimeout,
		// Without this setting the HTTP server answers OPTIONS * itself, whatever its framing and headers.
		DisableGeneralOptionsHandler: true,
		// ReadTimeout is not set: it would also apply while a request waits for its response, and a read that times
		// out then would look as if the client had disconnected. bodyTimeout applies to bodies.
		WriteTimeout:   s.maxDeadline + writeMargin,
		IdleTimeout:    clientIdleTimeout,
		MaxHeaderBytes: maxRequestHead,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.lastAccept.Store(time.Now().UnixNano())
			}
			s.connections.connStateChanged(conn, state)
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
	}
	defer httpServer.Close()
	trackingListener := &clientListener{Listener: listener, account: s.loop.backends.account, rejectHead: s.rejectHead}
	serveEnded := make(chan error, 1)
	go func() { serveEnded <- httpServer.Serve(trackingListener) }()
	select {
	case err := <-serveEnded:
		return err
	case <-ctx.Done():
	}
	return s.drain(trackingListener, serveEnded)
}

// ServeHTTP serves one request, which receives exactly one final response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if conn, ok := r.Context().Value(connContextKey{}).(*clientConn); ok {
		conn.unreadBody = max(0, r.ContentLength)
	}
	if err := checkFraming(r); err != nil {
		s.writeInvalid(w, r, err)
		return
	}
	if isReadinessProbe(r) {
		s.serveReadiness(w, r)
		return
	}
	parsed, err := s.readRequest(w, r)
	if killTime := s.killTime.Load(); killTime != nil {
		parsed.timeout = min(parsed.timeout, killTime.Sub(arrived)) // a response after that would be lost
	}
	if err == nil {
		var response finalResponse
		if response, err = s.serve(r, parsed, arrived); err == nil {
			s.closeAfterResponse(w)
			s.writeResponse(w, response)
			response.release()
			return
		}
	}
	s.closeAfterResponse(w)
	s.writeError(w, r, parsed, err)
}

// readRequest parses a request and reads its body, unless the request has to be rejected unread: as one too many, or for
// lack of memory.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request) (parsedRequest, error) {
	parsed, err := s.parse(r)
	if err != nil {
		return parsed, err
	}
	if s.isBeyondLimit(r) {
		return parsed, s.rejectUnread(w, &parsed)
	}
	parsed.forwarded.body, err = s.readBody(w, r)
	if noRoom := (*memory.NoRoomError)(nil); errors.As(err, &noRoom) {
		s.memoryLog.Do(func() { slog.Warn("rejected a request for lack of memory", "err", noRoom) })
		err = s.rejectUnread(w, &parsed)
	}
	return parsed, err
}

// serve passes a complete request to the loop and returns its final response. Errors are those of Loop.Serve:
// context.Canceled if the client has disconnected, context.DeadlineExceeded at the end of the client's timeout.
func (s *Server) serve(r *http.Request, parsed parsedRequest, arrived time.Time) (finalResponse, error) {
	forGateway, forResponse := margins(parsed.timeout)
	parsed.req.Timeout = parsed.timeout - forGateway - time.Since(arrived)
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(parsed.timeout-forResponse))
	defer cancel()
	parsed.forwarded.disconnected = disconnectCheck(r, cancel)
	return s.loop.Serve(ctx, parsed.req, parsed.forwarded)
}

// connContextKey is the key of the client's connection in a request's context.
type connContextKey struct{}

// disconnectCheck returns a function that reports whether the client of a request has disconnected, and calls end if it
// has. It doesn't rely on the HTTP server's detection: a gateway short of CPU detects disconnections late, and would
// meanwhile start attempts whose responses nobody waits for. If the connection is unknown, disconnectCheck returns nil.
func disconnectCheck(r *http.Request, end func()) func() bool {
	conn, ok := r.Context().Value(connContextKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool {
		disconnected := peekSocket(conn) == peerClosed
		if disconnected {
			end()
		}
		return disconnected
	}
}

// writeResponse writes the final response to a client.
func (s *Server) writeResponse(w http.ResponseWriter, response finalResponse) {
	header := w.Header()
	switch response.kind {
	case served:
		header["Content-Type"] = response.outcome.contentType // nil: no header
		header.Set("Content-Length", strconv.Itoa(len(response.outcome.body)))
		_, _ = w.Write(response.outcome.body) // after an error the connection is closed, which shows the truncation
	case rejected:
		if response.retryAfter > 0 {
			header.Set("Retry-After", formatRetryAfter(response.retryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// formatRetryAfter returns the value of a Retry-After header.
func formatRetryAfter(wait time.Duration) string {
	return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
}

// margins returns how long before the end of a client's timeout the gateway's timeout ends, and a request without a
// response is answered with 504.
func margins(timeout time.Duration) (forGateway, forResponse time.Duration) {
	forGateway = min(gatewayMargin, timeout/marginDivisor)
	return forGateway, min(responseMargin, forGateway/2)
}
