package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"herontiller/internal/gateway"

	"golang.org/x/time/rate"
)

const (
	// A client's timeout runs from when it sent the request, before it is received here, and its response must arrive
	// before the end. So the gateway is given gatewayMargin less, and a request still open responseMargin before the
	// end is answered with 504 here. Of a short timeout both are a fraction only.
	gatewayMargin  = 40 * time.Millisecond
	responseMargin = 20 * time.Millisecond
	marginDivisor  = 8 // gatewayMargin is at most the timeout divided by this

	// Time-outs of a request's head and body. On a new connection, headTimeout counts from its accept.
	headTimeout = 1500 * time.Millisecond
	bodyTimeout = time.Second
	idleTimeout = 15 * time.Second // how long a client may keep a connection without a request

	// After SIGTERM new connections are accepted for at least drainMin, then until none has arrived for drainQuiet,
	// and for no longer than drainMax. The platform kills the process no sooner than drainMax and then the longest
	// deadline, or killGrace if that is shorter, have passed.
	drainMin   = 500 * time.Millisecond
	drainQuiet = 150 * time.Millisecond
	drainMax   = 700 * time.Millisecond
	killGrace  = 3 * time.Second
	drainPoll  = 10 * time.Millisecond // interval of the checks for open connections

	// Where the list must be requested, a new process may send to no backend before it has one, and is not ready for
	// clients. After this time it is nevertheless: a restarted one must be ready within 6 s.
	firstListTimeout = 5 * time.Second
)

// Clients serves the clients of an instance over HTTP.
type Clients struct {
	loop          *Loop
	settings      gateway.Settings
	classes       map[string]gateway.Class
	plans         map[string]bool
	started       time.Time
	maxDeadline   time.Duration // of all deadlines
	conns         *connTable
	killTime      atomic.Pointer[time.Time] // when the platform may kill this process; nil before SIGTERM
	lastConn      atomic.Int64              // when the last connection was accepted, Unix time in nanoseconds
	badRequestLog rate.Sometimes
	timeoutLog    rate.Sometimes
}

// NewClients returns the clients' side for a loop.
func NewClients(config Config, loop *Loop) *Clients {
	settings := config.Settings
	c := &Clients{loop: loop, settings: settings, started: time.Now(), conns: newConnTable(config.Limits.clientConns()),
		classes: map[string]gateway.Class{}, plans: map[string]bool{},
		badRequestLog: rate.Sometimes{First: 10, Interval: time.Second},
		timeoutLog:    rate.Sometimes{First: 10, Interval: time.Second}}
	for _, class := range settings.Classes {
		c.classes[class.Name] = class
		c.maxDeadline = max(c.maxDeadline, class.Deadline)
	}
	for _, plan := range settings.Plans {
		c.plans[plan.Name] = true
	}
	return c
}

// Run serves clients on a listener until ctx ends, and then until no request can be lost: it goes on accepting while
// connections still arrive, stops listening, and returns when no request is open. It returns an error when the listener
// fails.
func (c *Clients) Run(ctx context.Context, listener net.Listener) error {
	srv := &http.Server{
		Handler:           c,
		ReadHeaderTimeout: headTimeout,
		// There is no ReadTimeout: it would also run while a request waits for its response, and a read that times
		// out then would look as if the client had disconnected. Bodies have bodyTimeout.
		WriteTimeout:   c.maxDeadline + 10*time.Second,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: 16 << 10,
		ErrorLog:       slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn),
		ConnState: func(conn net.Conn, s http.ConnState) {
			if s == http.StateNew {
				c.lastConn.Store(time.Now().UnixNano())
			}
			c.conns.connStateChanged(conn, s)
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	defer srv.Close()
	accepts := &clientListener{Listener: listener}
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(accepts) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	return c.drain(accepts, ended)
}

// drain ends Run gracefully. The server's own Shutdown is not used: it resets connections that are still in the
// backlog, and closes idle ones even if a request has arrived on them.
func (c *Clients) drain(accepts *clientListener, ended <-chan error) error {
	start := time.Now()
	killed := start.Add(drainMax + min(c.maxDeadline, killGrace))
	c.killTime.Store(&killed)
	for time.Since(start) < drainMin ||
		time.Since(start) < drainMax && time.Since(time.Unix(0, c.lastConn.Load())) < drainQuiet {
		time.Sleep(drainPoll)
	}
	if err := accepts.stopAccepting(); err != nil {
		return fmt.Errorf("end of listening: %w", err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("end of listening: %w", err)
	}
	for c.conns.closeIdle(drainQuiet) > 0 && time.Since(start) < drainMax+c.maxDeadline {
		time.Sleep(drainPoll)
	}
	return nil
}

// closeAfterResponse makes a connection end with this response once the process drains.
func (c *Clients) closeAfterResponse(w http.ResponseWriter) {
	if c.killTime.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// ready reports whether the instance is ready for clients.
func (c *Clients) ready() bool {
	if c.killTime.Load() != nil {
		return false
	}
	return !c.settings.SubscribeToList || c.loop.hasList.Load() || time.Since(c.started) >= firstListTimeout
}

// ServeHTTP serves one request, with exactly one final response.
func (c *Clients) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	if r.URL.Path == "/ready" {
		c.closeAfterResponse(w)
		if !c.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	parsed, err := c.parse(r)
	if err == nil {
		parsed.msg.body, err = readBody(w, r, parsed.msg.method)
	}
	if killTime := c.killTime.Load(); killTime != nil {
		parsed.timeout = min(parsed.timeout, killTime.Sub(arrived)) // a late request must have its response by then as well
	}
	if err == nil {
		var final finalResponse
		if final, err = c.decide(r, parsed, arrived); err == nil {
			c.closeAfterResponse(w)
			c.writeResponse(w, final)
			return
		}
	}
	c.closeAfterResponse(w)
	c.writeError(w, r, parsed, err)
}

// decide passes a request that was read to the loop and waits for its final response. An error is one of the loop's, or
// the context's: context.Canceled after the client has disconnected, context.DeadlineExceeded at the end of its time.
func (c *Clients) decide(r *http.Request, parsed parsedRequest, arrived time.Time) (finalResponse, error) {
	forGateway, responseTime := margins(parsed.timeout)
	parsed.req.Timeout = parsed.timeout - forGateway - time.Since(arrived)
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(parsed.timeout-responseTime))
	defer cancel()
	parsed.msg.disconnected = disconnectCheck(r, cancel)
	return c.loop.Serve(ctx, parsed.req, parsed.msg)
}

// writeError answers a request that has no final response from the loop.
func (c *Clients) writeError(w http.ResponseWriter, r *http.Request, parsed parsedRequest, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		// Most likely the client is gone. But it may have closed only its sending side, and without a response
		// it would read an empty 200. Requests that it sent behind this one are not served.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
	case errors.Is(err, context.DeadlineExceeded):
		c.timeoutLog.Do(func() {
			slog.Warn("timed out: no final response in time", "class", parsed.req.Class, "timeout", parsed.timeout)
		})
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		c.badRequestLog.Do(func() { slog.Warn("bad request", "from", r.RemoteAddr, "err", err) })
		status := http.StatusBadRequest
		if errors.Is(err, errBodyTooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		w.Header().Set("Connection", "close") // the rest of its request is not read
		http.Error(w, err.Error(), status)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// disconnectCheck returns a check, independent of the server's own watch, whether the client of a request has
// disconnected; if so, it also ends the request by end. An instance short of CPU notices a disconnection late, and
// would meanwhile begin attempts whose responses nobody waits for. It returns nil where the connection is unknown.
func disconnectCheck(r *http.Request, end func()) func() bool {
	conn, ok := r.Context().Value(connKey{}).(net.Conn)
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

// writeResponse writes a final response.
func (c *Clients) writeResponse(w http.ResponseWriter, a finalResponse) {
	h := w.Header()
	switch a.kind {
	case served:
		h["Content-Type"] = a.reply.contentType // nil: none is sent
		h.Set("Content-Length", strconv.Itoa(len(a.reply.body)))
		_, _ = w.Write(a.reply.body) // on an error the connection is closed: the client sees a truncated response
	case rejected:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// margins are how long before the end of a client's timeout the gateway's time ends, and a request still open is
// answered with 504.
func margins(timeout time.Duration) (forGateway, responseTime time.Duration) {
	forGateway = min(gatewayMargin, timeout/marginDivisor)
	return forGateway, min(responseMargin, forGateway/2)
}
