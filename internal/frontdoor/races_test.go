package frontdoor

import (
	"bufio"
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

// The tests of this file make two events cross in the order that does harm, every time.

// A client that sends a second request behind the first and then disconnects has given up both: the first ends, the
// second is not begun. The server's own watch for its disconnecting ends with the first byte of the second request.
func TestDisconnectionAfterPipelinedRequest(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		for timing, together := range map[string]bool{"in one piece": true, "behind": false} {
			t.Run(method+" "+timing, func(t *testing.T) {
				handler := newScriptedHandler(nil)
				instance := startGateway(t, handler)
				conn := dialConns(t, instance.addr, 1)[0]
				first, second := instance.requestText(t, "look", "00000000000000a1"), instance.requestText(t, "pay", "00000000000000a2")
				if together {
					first, second = first+second, ""
				}
				io.WriteString(conn, first)
				if id := nextEvent[gateway.Request](t, handler).ID; id != 0xa1 {
					t.Fatalf("the gateway was notified of %x first", id)
				}
				io.WriteString(conn, second)
				disconnect(conn)
				if gone := nextEvent[gateway.ClientGone](t, handler); gone.Request != 0xa1 {
					t.Errorf("%x is gone", gone.Request)
				}
				instance.stop()
				if err := <-instance.done; err != nil { // from here on nothing can come of the connection any more
					t.Error(err)
				}
				for len(handler.received) > 0 {
					if request, ok := (<-handler.received).(gateway.Request); ok {
						t.Errorf("request %x was begun after its client had disconnected", request.ID)
					}
				}
			})
		}
	}
}

// What is sent ahead of a response by a client that stays is served next, in its order.
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
	io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a2")+instance.requestText(t, "look", "00000000000000a3")[:60])
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a3")[60:])
	close(respond)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != want {
			t.Errorf("%s %q, %v; want %q", res.Status, body, err, want)
		}
	}
}

// What a client may send ahead is bounded: more ends its request and its connection.
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

// held is a listener that gives out connections only once somebody has ended it, be it by a deadline or a close.
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

// Connections that the system has accepted, and nobody has taken when the listening ends, are served.
func TestShutdownServesBacklog(t *testing.T) {
	instance := startGatewayOn(t, newScriptedHandler(rejectAll), &delayedAcceptListener{TCPListener: listenTCP(t), unblock: make(chan bool)})
	conns := dialConns(t, instance.addr, 3)
	for i, conn := range conns {
		io.WriteString(conn, instance.requestText(t, "look", fmt.Sprintf("00000000000000a%d", i)))
	}
	instance.stop()
	for _, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != 503 || !res.Close {
			t.Errorf("answered %v, %v", res, err)
		}
	}
	if err := <-instance.done; err != nil {
		t.Error(err)
	}
}

// slowReads gives out connections whose reads of requests wait, once the test says so, until somebody looks at what has
// come on the connection, or closes it: whatever comes before is there and not read. Requests are read into a buffer of
// the server's; shorter reads are those that watch for the client's disconnecting.
type delayedReadListener struct {
	*net.TCPListener
	delaying      chan bool // closed: from now on
	inspected     chan bool
	inspectedOnce sync.Once
}

type delayedReadConn struct {
	net.Conn
	listener *delayedReadListener
}

func (l *delayedReadListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	return &delayedReadConn{conn, l}, err
}

func (l *delayedReadListener) markInspected() { l.inspectedOnce.Do(func() { close(l.inspected) }) }

func (c *delayedReadConn) Read(p []byte) (int, error) {
	select {
	case <-c.listener.delaying:
		if len(p) > 1<<10 {
			<-c.listener.inspected
		}
	default:
	}
	return c.Conn.Read(p)
}

func (c *delayedReadConn) Close() error {
	defer c.listener.markInspected()
	return c.Conn.Close()
}

func (c *delayedReadConn) SyscallConn() (syscall.RawConn, error) {
	defer c.listener.markInspected()
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// A request that has come on a pooled connection, and is not read yet, when the idle connections are closed at the end
// is served.
func TestShutdownServesRequestOnIdleConnection(t *testing.T) {
	listener := &delayedReadListener{TCPListener: listenTCP(t), delaying: make(chan bool), inspected: make(chan bool)}
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			if request.ID == 0xa1 {
				close(listener.delaying) // all reads after this request's own
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
			t.Fatalf("answered %v, %v", res, err)
		}
	}
	if err := <-instance.done; err != nil {
		t.Error(err)
	}
}

// What comes when the platform may kill the process at any moment is refused at once, on its connection's last answer.
func TestRequestAfterKillTimeIsRejected(t *testing.T) {
	config := newTestConfig(t)
	loop, err := NewLoop(config, NewBackends(config))
	if err != nil {
		t.Fatal(err)
	}
	loop.Update(readyList(startRawBackend(t, func(_ int, conn net.Conn) { io.WriteString(conn, okResponse) })))
	frontServer := NewServer(config, loop)
	killTime := time.Now().Add(-time.Second)
	frontServer.killTime.Store(&killTime)
	httpServer := httptest.NewServer(frontServer)
	defer httpServer.Close()
	instance := &testGateway{addr: strings.TrimPrefix(httpServer.URL, "http://")}
	if res, _ := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("%s, close %v", res.Status, res.Close)
	}
}

// A request that has come in the same moment as the time for idling is over is read, not closed upon.
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
		t.Errorf("with nothing there: %d bytes", n)
	}
	io.WriteString(clientSide, "GET /look")
	for deadline := time.Now().Add(testTimeout); peekSocket(accepted) != dataAvailable; {
		if time.Now().After(deadline) {
			t.Fatal("nothing came")
		}
	}
	serverSide.SetReadDeadline(time.Unix(1, 0))
	if n, err := serverSide.Read(buf[:]); err != nil || string(buf[:n]) != "GET /look" {
		t.Errorf("%q, %v", buf[:n], err)
	}
	serverSide.SetReadDeadline(time.Unix(1, 0))
	io.WriteString(clientSide, "more of it")
	if n, err := serverSide.Read(buf[:]); err == nil {
		t.Errorf("of a request that takes too long: %d bytes", n)
	}
}
