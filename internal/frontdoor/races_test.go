package frontdoor

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// The tests in this file force races: two events on one connection happen in the order that causes a failure.

// If a client pipelines a second request and then disconnects, the first request must end and the second must not be
// started. The HTTP server's own detection of disconnections stops at the first byte of the second request.
func TestDisconnectionAfterPipelinedRequest(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		for timing, together := range map[string]bool{"in one write": true, "in two writes": false} {
			t.Run(method+" "+timing, func(t *testing.T) {
				handler := newScriptedHandler(nil)
				instance := startGateway(t, handler)
				conn := dialConns(t, instance.addr, 1)[0]
				first, second := instance.requestText(t, "look", "00000000000000a1"),
					instance.requestText(t, "pay", "00000000000000a2")
				if together {
					first, second = first+second, ""
				}
				io.WriteString(conn, first)
				if id := nextEvent[gateway.Request](t, handler).ID; id != 0xa1 {
					t.Fatalf("first request of the handler: got ID %x, want a1", id)
				}
				io.WriteString(conn, second)
				disconnect(conn)
				if gone := nextEvent[gateway.ClientGone](t, handler); gone.Request != 0xa1 {
					t.Errorf("disconnection: got request %x, want a1", gone.Request)
				}
				instance.stop()
				if err := <-instance.done; err != nil { // from now on no event can result from the connection
					t.Error(err)
				}
				for len(handler.received) > 0 {
					if request, ok := (<-handler.received).(gateway.Request); ok {
						t.Errorf("the handler got request %x after its client had disconnected, want none", request.ID)
					}
				}
			})
		}
	}
}

// Pipelined requests of a client that stays connected must be served one after another, in their order.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	respond := make(chan bool, 1)
	read := make(chan bool, 3)
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		read <- true
		<-respond
		io.WriteString(w, r.Header.Get("Request-Id"))
	})
	instance := startGateway(t, nil, addr)
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
	awaitSignal(t, read, "the first attempt")
	io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a2")+
		instance.requestText(t, "look", "00000000000000a3")[:60])
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a3")[60:])
	close(respond)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != want {
			t.Errorf("got %s with body %q, error %v; want body %q", res.Status, body, err, want)
		}
	}
}

// If a client sends more than maxReadAhead before the response, its request must end and its connection be closed.
func TestReadAheadIsLimited(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
	nextEvent[gateway.Request](t, handler)
	go io.WriteString(conn, strings.Repeat("GET /look HTTP/1.1\r\n", 2*maxReadAhead/20))
	nextEvent[gateway.ClientGone](t, handler)
	readUntilClosed(t, conn)
}

// delayedAcceptListener returns no connections until its deadline is set or it is closed, so that they stay in the
// backlog.
type delayedAcceptListener struct {
	*net.TCPListener
	unblockOnce sync.Once
	unblock     chan bool
}

func (l *delayedAcceptListener) Accept() (net.Conn, error) {
	<-l.unblock
	return l.TCPListener.Accept()
}

func (l *delayedAcceptListener) SetDeadline(t time.Time) error {
	defer l.unblockOnce.Do(func() { close(l.unblock) })
	return l.TCPListener.SetDeadline(t)
}

func (l *delayedAcceptListener) Close() error {
	defer l.unblockOnce.Do(func() { close(l.unblock) })
	return l.TCPListener.Close()
}

// Connections that are in the kernel's backlog when the gateway stops listening must be served.
func TestShutdownServesBacklog(t *testing.T) {
	instance := startGatewayOn(t, newScriptedHandler(rejectAll),
		&delayedAcceptListener{TCPListener: listenTCP(t), unblock: make(chan bool)})
	conns := dialConns(t, instance.addr, 3)
	for i, conn := range conns {
		io.WriteString(conn, instance.requestText(t, "look", fmt.Sprintf("00000000000000a%d", i)))
	}
	instance.stop()
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != 503 ||
			!res.Close {
			t.Errorf("got %v, error %v; want 503 with Connection: close", res, err)
		}
	}
	if err := <-instance.done; err != nil {
		t.Error(err)
	}
}

// delayedReadListener accepts connections whose reads of requests can be delayed: once delaying is closed, they block
// until a connection is peeked at or closed. Data that arrives before that stays unread in the socket.
type delayedReadListener struct {
	*net.TCPListener
	delaying      chan bool // closed by the test to delay all later reads
	inspected     chan bool // closed when a connection is peeked at or closed
	inspectedOnce sync.Once
}

// delayedReadConn is a connection of a delayedReadListener. It delays the reads of requests, which go through its
// SyscallConn, but not those that detect a disconnection.
type delayedReadConn struct {
	net.Conn
	listener *delayedReadListener
}

// delayedRawConn is what a delayedReadConn is read and peeked at through.
type delayedRawConn struct {
	syscall.RawConn
	listener *delayedReadListener
}

func (l *delayedReadListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	return &delayedReadConn{conn, l}, err
}

func (l *delayedReadListener) markInspected() { l.inspectedOnce.Do(func() { close(l.inspected) }) }

func (c *delayedRawConn) Read(f func(fd uintptr) bool) error {
	select {
	case <-c.listener.delaying:
		<-c.listener.inspected
	default:
	}
	return c.RawConn.Read(f)
}

func (c *delayedRawConn) Control(f func(fd uintptr)) error {
	defer c.listener.markInspected()
	return c.RawConn.Control(f)
}

func (c *delayedReadConn) Close() error {
	defer c.listener.markInspected()
	return c.Conn.Close()
}

func (c *delayedReadConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	return &delayedRawConn{raw, c.listener}, err
}

// A request that has arrived on an idle connection, but has not been read when the graceful shutdown closes the idle
// connections, must be served.
func TestShutdownServesRequestOnIdleConnection(t *testing.T) {
	listener := &delayedReadListener{TCPListener: listenTCP(t), delaying: make(chan bool), inspected: make(chan bool)}
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			if request.ID == 0xa1 {
				close(listener.delaying) // delays all reads after this request
			}
			return []gateway.Action{gateway.Reject{Request: request.ID}}
		}
		return nil
	})
	instance := startGatewayOn(t, handler, listener)
	conn := dialConns(t, instance.addr, 1)[0]
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	for i, class := range []string{"look", "pay"} {
		io.WriteString(conn, instance.requestText(t, class, fmt.Sprintf("00000000000000a%d", i+1)))
		if i == 1 {
			instance.stop()
		}
		if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != 503 || res.Close != (i == 1) {
			t.Fatalf("got %v, error %v; want 503, with Connection: close only for the second request", res, err)
		}
	}
	if err := <-instance.done; err != nil {
		t.Error(err)
	}
}

// A request that arrives after the time at which the platform may kill the process must be rejected immediately, and
// its connection closed.
func TestRequestAfterKillTimeIsRejected(t *testing.T) {
	config := newTestConfig(t)
	loop, err := NewLoop(config, NewBackends(config))
	if err != nil {
		t.Fatal(err)
	}
	loop.Update(readyList(startRawBackend(t, func(_ int, conn net.Conn) { io.WriteString(conn, okResponse) })))
	server := NewServer(config, loop)
	killTime := time.Now().Add(-time.Second)
	server.killTime.Store(&killTime)
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	instance := &testGateway{addr: strings.TrimPrefix(httpServer.URL, "http://")}
	if res, _ := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusServiceUnavailable ||
		!res.Close {
		t.Errorf("got %s, close %v; want 503, close true", res.Status, res.Close)
	}
}

// A request that arrives at the moment of the idle timeout must be read instead of closing the connection. The idle
// timeout must still apply without data, and the read timeout to a request that takes too long.
func TestRequestAtIdleTimeoutIsRead(t *testing.T) {
	listener := listenTCP(t)
	clientSide := dialConns(t, listener.Addr().String(), 1)[0]
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	serverSide := &clientConn{Conn: accepted}
	serverSide.SetReadDeadline(time.Unix(1, 0))
	var buf [16]byte
	if n, err := serverSide.Read(buf[:]); err == nil {
		t.Errorf("without data: got %d bytes, want a timeout", n)
	}
	io.WriteString(clientSide, "GET /look")
	for deadline := time.Now().Add(testTimeout); peekSocket(accepted) != dataAvailable; {
		if time.Now().After(deadline) {
			t.Fatal("the data has not arrived at the gateway's socket")
		}
	}
	serverSide.SetReadDeadline(time.Unix(1, 0))
	if n, err := serverSide.Read(buf[:]); err != nil || string(buf[:n]) != "GET /look" {
		t.Errorf("got %q, error %v; want \"GET /look\"", buf[:n], err)
	}
	serverSide.SetReadDeadline(time.Unix(1, 0))
	io.WriteString(clientSide, "more of it")
	if n, err := serverSide.Read(buf[:]); err == nil {
		t.Errorf("request that takes too long: got %d bytes, want a timeout", n)
	}
}

// suspendedConn returns from a read of data only after release has been closed, as if the goroutine were suspended
// right after the system call.
type suspendedConn struct {
	*net.TCPConn
	hasRead chan bool // receives a value after each read
	release chan bool
}

func (c *suspendedConn) suspend() {
	c.hasRead <- true
	<-c.release
}

func (c *suspendedConn) Read(p []byte) (int, error) {
	defer c.suspend()
	return c.TCPConn.Read(p)
}

func (c *suspendedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &suspendedRawConn{raw, c}, err
}

type suspendedRawConn struct {
	syscall.RawConn
	conn *suspendedConn
}

func (r *suspendedRawConn) Read(f func(fd uintptr) bool) error {
	defer r.conn.suspend()
	return r.RawConn.Read(f)
}

// Guards against a request that was read and got no answer: its connection was closed to make room, or at the shutdown,
// as the data was no longer in the socket and not yet recorded as read.
func TestConnectionIsNotClosedBetweenReadAndRecord(t *testing.T) {
	listener := listenTCP(t)
	clientSide := dialConns(t, listener.Addr().String(), 1)[0]
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	suspended := &suspendedConn{accepted.(*net.TCPConn), make(chan bool, 1), make(chan bool)}
	conn := &clientConn{Conn: suspended} // has been idle since an earlier response
	table := newConnTable(1, 1)
	table.connStateChanged(conn, http.StateNew)
	io.WriteString(clientSide, "GET")
	read := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 10))
		read <- err
	}()
	awaitSignal(t, suspended.hasRead, "the read of the request")
	if remaining := table.closeIdle(0); remaining != 1 {
		t.Errorf("%d connections remain, want the one with a request", remaining)
	}
	close(suspended.release)
	if err := <-read; err != nil {
		t.Errorf("the request was not read: %v", err)
	}
}

// A connection that the table has begun to close must not read a request any more, as nobody would answer it.
func TestDismissedConnectionReadsNothing(t *testing.T) {
	listener := listenTCP(t)
	clientSide := dialConns(t, listener.Addr().String(), 1)[0]
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := &clientConn{Conn: accepted}
	conn.dismissIf(func() bool {
		io.WriteString(clientSide, "GET") // arrives after the table has found no data
		return true
	})
	if n, err := conn.Read(make([]byte, 10)); n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %d bytes, error %v; want none and net.ErrClosed", n, err)
	}
	if state := peekSocket(accepted); state != dataAvailable {
		t.Errorf("got socket state %v, want the data unread", state)
	}
}
