package frontdoor

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"herontiller/internal/gateway"
	"herontiller/internal/memory"
)

// newTestBackends returns Backends with one ready backend at addr, and the ID of this backend.
func newTestBackends(t *testing.T, addr string) (*Backends, gateway.BackendID) {
	t.Helper()
	backends := NewBackends(newTestConfig(t))
	return backends, backends.update(readyList(addr), clock{time.Now()})[0].ID
}

// lookRequest is a request of a safe class.
var lookRequest = &forwardedRequest{method: http.MethodGet, target: "/look", host: "origin.svc",
	header: http.Header{"Request-Id": {"9b1f03aa5c7e2d41"}}}

// payRequest is a request of a keyed class.
var payRequest = &forwardedRequest{method: http.MethodPost, target: "/pay", host: "origin.svc",
	header: http.Header{"Request-Id": {"9b1f03aa5c7e2d42"}, "Idempotency-Key": {"k"}}, body: &memory.Buffer{Bytes: []byte("amount=3")}}

// okResponse is a complete successful response whose body is "ok".
const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// An HTTP client library may resend a GET, or a POST with an Idempotency-Key, when a pooled connection turns out to be
// broken. Such a copy would be an attempt that the gateway doesn't count.
func TestBrokenConnectionCausesNoResend(t *testing.T) {
	for name, request := range map[string]*forwardedRequest{"GET": lookRequest, "keyed POST": payRequest} {
		var received atomic.Int64
		addr := startRawBackend(t, func(n int, conn net.Conn) {
			received.Add(1)
			if n == 1 {
				io.WriteString(conn, okResponse)
			} else {
				conn.Close() // after reading the complete request, without a response
			}
		})
		backends, id := newTestBackends(t, addr)
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		if outcome := backends.send(ctx, ctx, id, request); outcome.result != gateway.Answered {
			t.Fatalf("%s: first attempt: got result %v, want Answered", name, outcome.result)
		}
		time.Sleep(2 * reuseCooldown) // so that the second attempt uses the same connection
		if outcome := backends.send(ctx, ctx, id, request); outcome.result != gateway.ConnectionBroken {
			t.Errorf("%s: attempt on a broken connection: got result %v, want ConnectionBroken", name, outcome.result)
		}
		if n := received.Load(); n != 2 {
			t.Errorf("%s: the backend got %d requests, want 2", name, n)
		}
	}
}

// The result of an attempt tells whether the request may have run, and so whether it may be retried or rejected.
func TestAttemptResults(t *testing.T) {
	respondWith := func(status int, header ...string) func(int, net.Conn) {
		return func(_ int, conn net.Conn) {
			res := &http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{},
				ContentLength: 2, Body: io.NopCloser(strings.NewReader("ok"))}
			for i := 0; i+1 < len(header); i += 2 {
				res.Header.Set(header[i], header[i+1])
			}
			res.Write(conn)
		}
	}
	sendAndClose := func(s string) func(int, net.Conn) {
		return func(_ int, conn net.Conn) {
			io.WriteString(conn, s)
			conn.Close()
		}
	}
	keepOpen := func(s string) func(int, net.Conn) { // sends s and keeps the connection open
		return func(_ int, conn net.Conn) { io.WriteString(conn, s) }
	}
	for name, test := range map[string]struct {
		respond func(int, net.Conn)
		want    gateway.Result
	}{
		"served":             {respondWith(200), gateway.Answered},
		"error":              {respondWith(500), gateway.AnsweredError},
		"not found":          {respondWith(404), gateway.AnsweredError},
		"rejected with 503":  {respondWith(503, "Not-Started", "1"), gateway.Rejected},
		"rejected with 504":  {respondWith(504, "Not-Started", "1"), gateway.Rejected},
		"503, may have run":  {respondWith(503), gateway.AnsweredError},
		"504, Not-Started 0": {respondWith(504, "Not-Started", "0"), gateway.AnsweredError},
		"500, Not-Started 1": {respondWith(500, "Not-Started", "1"), gateway.AnsweredError},
		"connection ends":    {sendAndClose(""), gateway.ConnectionBroken},
		"connection reset": {func(_ int, conn net.Conn) {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}, gateway.ConnectionBroken},
		// A request with a malformed response may have run. Its result must not be ConnectionBroken, as the gateway
		// would then stop using the backend for a while and assume that it has restarted.
		"truncated body":  {sendAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), gateway.Unknown},
		"truncated head":  {sendAndClose("HTTP/1.1 20"), gateway.Unknown},
		"not HTTP":        {sendAndClose("\x00\x01garbage\r\n\r\n"), gateway.Unknown},
		"body never ends": {keepOpen("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), gateway.Unknown},
		"head never ends": {keepOpen("HTTP/1.1 200 OK\r\nA: b\r\n"), gateway.Unknown},
		"head over the limit": {keepOpen("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", maxResponseHead)),
			gateway.Unknown},
		"length of 3 GB": {keepOpen("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok"), gateway.Unknown},
		"two lengths": {keepOpen("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"),
			gateway.Unknown},
		"negative length": {keepOpen("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"), gateway.Unknown},
		"no length":       {sendAndClose("HTTP/1.1 200 OK\r\n\r\nok"), gateway.Unknown},
		"bad chunks": {keepOpen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok"),
			gateway.Unknown},
		"chunks over the limit": {keepOpen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3)), gateway.Unknown},
		"endless 1xx": {keepOpen(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxResponseHead/20)),
			gateway.Unknown},
		"1xx before response": {keepOpen("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" +
			okResponse), gateway.Answered},
		"protocol switch": {keepOpen("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"), gateway.Unknown},
		"chunks": {keepOpen("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
			gateway.Answered},
		"largest body": {keepOpen("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" +
			strings.Repeat("x", maxBody)), gateway.Answered},
		"usage too large": {respondWith(200, "X-RateLimit-Used", "1e300", "Server-Load", "queue=-5,qps=1"),
			gateway.Answered},
		"usage below 0": {respondWith(200, "X-RateLimit-Used", "-3", "Server-Load", "queue=NaN,qps=1"),
			gateway.Answered},
		"malformed usage and load": {respondWith(200, "X-RateLimit-Used", "lots", "Server-Load", "queue=x,qps="),
			gateway.Answered},
	} {
		backends, id := newTestBackends(t, startRawBackend(t, test.respond))
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		if outcome := backends.send(ctx, ctx, id, payRequest); outcome.result != test.want || outcome.hasUsage ||
			outcome.load != nil {
			t.Errorf("%s: got result %v, want %v; got usage %v, load %v, want none", name, outcome.result, test.want,
				outcome.hasUsage, outcome.load)
		}
		cancel()
	}
}

// Without a response, the result must tell a failed connection, which proves that the request has not run, from a
// timeout and from a cancellation.
func TestResultsWithoutResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close() // connections to its address are refused now
	backends, id := newTestBackends(t, listener.Addr().String())
	if outcome := backends.send(t.Context(), t.Context(), id, payRequest); outcome.result != gateway.NoConnection {
		t.Errorf("refused connection: got %v, want NoConnection", outcome.result)
	}
	hang := func(_ int, _ net.Conn) { <-t.Context().Done() }
	backends, id = newTestBackends(t, startRawBackend(t, hang))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if outcome := backends.send(ctx, ctx, id, payRequest); outcome.result != gateway.TimedOut {
		t.Errorf("no response within the timeout: got %v, want TimedOut", outcome.result)
	}
	read := make(chan bool, 1)
	backends, id = newTestBackends(t, startRawBackend(t, func(int, net.Conn) { read <- true; <-t.Context().Done() }))
	ctx, cancel = context.WithCancel(t.Context())
	go func() { <-read; cancel() }()
	if outcome := backends.send(ctx, ctx, id, payRequest); outcome.result != gateway.Cancelled {
		t.Errorf("cancelled attempt: got %v, want Cancelled", outcome.result)
	}
}

// The usage must be returned in percent as in the header, and the load figures in the order of the settings.
func TestUsageAndLoadHeaders(t *testing.T) {
	backends, id := newTestBackends(t, startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-RateLimit-Used", "85")
		w.Header().Set("Server-Load", "qps=31.5, queue=2,new=7")
	}))
	outcome := backends.send(t.Context(), t.Context(), id, lookRequest)
	if !outcome.hasUsage || outcome.usage != 85 || !slices.Equal(outcome.load, []float64{2, 31.5}) {
		t.Errorf("got usage %v %v, load %v; want true 85, [2 31.5]", outcome.hasUsage, outcome.usage, outcome.load)
	}
}

// Connecting may take a long time. If the backend starts draining meanwhile, or between two attempts, no request may be
// written to it, and the result must be NotSent, which proves that the request has not run.
func TestDrainingBackendReceivesNoAttempt(t *testing.T) {
	for name, afterFirst := range map[string]bool{"new connection": false, "second attempt": true} {
		received := make(chan int, 10)
		addr := startRawBackend(t, func(n int, conn net.Conn) {
			received <- n
			io.WriteString(conn, okResponse)
		})
		backends := NewBackends(newTestConfig(t))
		dialing, proceed := make(chan bool, 1), make(chan bool)
		dial := backends.pool.dial
		backends.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialing <- true
			<-proceed
			return dial(ctx, network, addr)
		}
		list := readyList(addr)
		id := backends.update(list, clock{time.Now()})[0].ID
		if afterFirst { // the drain arrives between two attempts
			go func() { <-dialing; proceed <- true }()
			backends.send(t.Context(), t.Context(), id, lookRequest)
			<-received
			list.Endpoints[0].State = "Terminating"
			backends.update(list, clock{time.Now()})
		} else {
			go func() {
				<-dialing
				list.Endpoints[0].State = "Terminating"
				backends.update(list, clock{time.Now()})
				proceed <- true
			}()
		}
		if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.NotSent {
			t.Errorf("%s: attempt at a draining backend: got %v, want NotSent", name, outcome.result)
		}
		select {
		case n := <-received:
			t.Errorf("%s: the backend got request %d, want none", name, n)
		default:
		}
	}
}

// A backend may close a connection that has been idle for the time in the settings, and a request that is sent at that
// moment is lost, so the pool must close the connection earlier. After a restart of the backend or a change of its
// address, the connections to the previous process must be closed.
func TestPooledConnectionReuse(t *testing.T) {
	opened, closed := make(chan bool, 10), make(chan bool, 10)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				opened <- true
			case http.StateClosed:
				closed <- true
			}
		}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	config := newTestConfig(t)
	backends := NewBackends(config)
	list := readyList(listener.Addr().String())
	id := backends.update(list, clock{time.Now()})[0].ID
	for range 5 {
		if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Answered {
			t.Fatal(outcome.result)
		}
		time.Sleep(2 * reuseCooldown)
	}
	if n := len(opened); n != 1 {
		t.Errorf("got %d connections for 5 consecutive attempts, want 1", n)
	}
	list.Endpoints[0].StartedMS = 1 // the backend has restarted
	if newID := backends.update(list, clock{time.Now()})[0].ID; newID != id {
		t.Errorf("ID after the restart: got %v, want %v as before", newID, id)
	}
	awaitSignal(t, closed, "the close of the connection to the previous process")

	config.Connections.IdleTimeout = 50 * time.Millisecond
	backends = NewBackends(config)
	id = backends.update(list, clock{time.Now()})[0].ID
	backends.send(t.Context(), t.Context(), id, lookRequest)
	awaitSignal(t, closed, "the close of the idle connection")
}

// Attempts in flight use sockets, whose number is limited. An attempt beyond the limit must not be sent.
func TestConnectionLimitBoundsAttempts(t *testing.T) {
	read := make(chan bool, 1)
	addr := startRawBackend(t, func(int, net.Conn) { read <- true; <-t.Context().Done() })
	config := newTestConfig(t)
	config.Limits.Sockets = 3
	backends := NewBackends(config)
	id := backends.update(readyList(addr), clock{time.Now()})[0].ID
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan gateway.Result)
	go func() { first <- backends.send(ctx, ctx, id, lookRequest).result }()
	awaitSignal(t, read, "the first attempt")
	if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.NotSent {
		t.Errorf("attempt beyond the limit: got %v, want NotSent", outcome.result)
	}
	cancel()
	if outcome := <-first; outcome != gateway.Cancelled {
		t.Errorf("first attempt: got %v, want Cancelled", outcome)
	}
	addr = startHTTPServer(t, func(http.ResponseWriter, *http.Request) {})
	id = backends.update(readyList(addr), clock{time.Now()})[0].ID
	if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Answered {
		t.Errorf("attempt with none in flight: got %v, want Answered", outcome.result)
	}
}

// A dial that fails because this process has no file descriptors left must not be blamed on the backend.
func TestDescriptorShortageCountsAsNotSent(t *testing.T) {
	backends := NewBackends(newTestConfig(t))
	backends.pool.dial = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}
	}
	id := backends.update(readyList("127.0.0.1:1"), clock{time.Now()})[0].ID
	if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.NotSent {
		t.Errorf("got %v, want NotSent", outcome.result)
	}
}

// awaitSignal waits for a value on signal. The test fails after testTimeout with a message that contains what, the
// description of the event.
func awaitSignal(t *testing.T, signal <-chan bool, what string) {
	t.Helper()
	select {
	case <-signal:
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// If the settings name load figures, a probe must request them from the backend's load endpoint.
func TestProbeReadsLoad(t *testing.T) {
	backends, id := newTestBackends(t, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/status/load" {
			w.WriteHeader(http.StatusNotFound)
		}
		io.WriteString(w, "queue=3,qps=9\n")
	}))
	if result := backends.probe(id); result.Result != gateway.Answered || !slices.Equal(result.Load, []float64{3, 9}) {
		t.Errorf("got %+v, want Answered with load [3 9]", result)
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}
