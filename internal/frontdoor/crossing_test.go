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
func TestAClientThatDisconnectsBehindAPipelinedRequest(t *testing.T) {
	for how, leave := range leaving {
		for ahead, together := range map[string]bool{"in one piece": true, "behind": false} {
			t.Run(how+" "+ahead, func(t *testing.T) {
				g := script(nil)
				d := startInstance(t, g)
				conn := dialAll(t, d.addr, 1)[0]
				first, second := d.text(t, "look", "00000000000000a1"), d.text(t, "pay", "00000000000000a2")
				if together {
					first, second = first+second, ""
				}
				io.WriteString(conn, first)
				if id := next[gateway.Request](t, g).ID; id != 0xa1 {
					t.Fatalf("the gateway was notified of %x first", id)
				}
				io.WriteString(conn, second)
				leave(conn)
				if gone := next[gateway.ClientGone](t, g); gone.Request != 0xa1 {
					t.Errorf("%x is gone", gone.Request)
				}
				d.stop()
				if err := <-d.done; err != nil { // from here on nothing can come of the connection any more
					t.Error(err)
				}
				for len(g.received) > 0 {
					if r, ok := (<-g.received).(gateway.Request); ok {
						t.Errorf("request %x was begun after its client had disconnected", r.ID)
					}
				}
			})
		}
	}
}

// What is sent ahead of a response by a client that stays is served next, in its order.
func TestRequestsSentAheadAreServedInOrder(t *testing.T) {
	goOn := make(chan bool, 1)
	read := make(chan bool, 3)
	addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		read <- true
		<-goOn
		io.WriteString(w, r.Header.Get("Request-Id"))
	})
	d := startInstance(t, nil, addr)
	conn := dialAll(t, d.addr, 1)[0]
	io.WriteString(conn, d.text(t, "look", "00000000000000a1"))
	await(t, read, "the first attempt")
	io.WriteString(conn, d.text(t, "pay", "00000000000000a2")+d.text(t, "look", "00000000000000a3")[:60])
	io.WriteString(conn, d.text(t, "look", "00000000000000a3")[60:])
	close(goOn)
	answers := bufio.NewReader(conn)
	for _, want := range []string{"00000000000000a1", "00000000000000a2", "00000000000000a3"} {
		res, err := http.ReadResponse(answers, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(res.Body); err != nil || string(body) != want {
			t.Errorf("%s %q, %v; want %q", res.Status, body, err, want)
		}
	}
}

// What a client may send ahead is bounded: more ends its request and its connection.
func TestWhatIsSentAheadIsBounded(t *testing.T) {
	g := script(nil)
	d := startInstance(t, g)
	conn := dialAll(t, d.addr, 1)[0]
	io.WriteString(conn, d.text(t, "look", "00000000000000a1"))
	next[gateway.Request](t, g)
	go io.WriteString(conn, strings.Repeat("GET /look HTTP/1.1\r\n", 2*maxReadAhead/20))
	next[gateway.ClientGone](t, g)
	awaitEnd(t, conn)
}

// held is a listener that gives out connections only once somebody has ended it, be it by a deadline or a close.
type held struct {
	*net.TCPListener
	once sync.Once
	open chan bool
}

func (h *held) Accept() (net.Conn, error) {
	<-h.open
	return h.TCPListener.Accept()
}

func (h *held) SetDeadline(t time.Time) error {
	defer h.once.Do(func() { close(h.open) })
	return h.TCPListener.SetDeadline(t)
}

func (h *held) Close() error {
	defer h.once.Do(func() { close(h.open) })
	return h.TCPListener.Close()
}

// Connections that the system has accepted, and nobody has taken when the listening ends, are served.
func TestTheBacklogIsServedAtTheEnd(t *testing.T) {
	d := serveInstance(t, script(refuseAll), &held{TCPListener: listen(t), open: make(chan bool)})
	conns := dialAll(t, d.addr, 3)
	for i, c := range conns {
		io.WriteString(c, d.text(t, "look", fmt.Sprintf("00000000000000a%d", i)))
	}
	d.stop()
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(patient))
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 503 || !res.Close {
			t.Errorf("answered %v, %v", res, err)
		}
	}
	if err := <-d.done; err != nil {
		t.Error(err)
	}
}

// slowReads gives out connections whose reads of requests wait, once the test says so, until somebody looks at what has
// come on the connection, or closes it: whatever comes before is there and not read. Requests are read into a buffer of
// the server's; shorter reads are those that watch for the client's disconnecting.
type slowReads struct {
	*net.TCPListener
	wait   chan bool // closed: from now on
	looked chan bool
	once   sync.Once
}

type slowRead struct {
	net.Conn
	l *slowReads
}

func (l *slowReads) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	return &slowRead{c, l}, err
}

func (l *slowReads) look() { l.once.Do(func() { close(l.looked) }) }

func (c *slowRead) Read(p []byte) (int, error) {
	select {
	case <-c.l.wait:
		if len(p) > 1<<10 {
			<-c.l.looked
		}
	default:
	}
	return c.Conn.Read(p)
}

func (c *slowRead) Close() error {
	defer c.l.look()
	return c.Conn.Close()
}

func (c *slowRead) SyscallConn() (syscall.RawConn, error) {
	defer c.l.look()
	return c.Conn.(*net.TCPConn).SyscallConn()
}

// A request that has come on a pooled connection, and is not read yet, when the idle connections are closed at the end
// is served.
func TestARequestOnAnIdleConnectionIsServedAtTheEnd(t *testing.T) {
	ln := &slowReads{TCPListener: listen(t), wait: make(chan bool), looked: make(chan bool)}
	g := script(func(ev gateway.Event) []gateway.Action {
		if r, ok := ev.(gateway.Request); ok {
			if r.ID == 0xa1 {
				close(ln.wait) // all reads after this request's own
			}
			return []gateway.Action{gateway.Reject{Request: r.ID}}
		}
		return nil
	})
	d := serveInstance(t, g, ln)
	conn := dialAll(t, d.addr, 1)[0]
	conn.SetReadDeadline(time.Now().Add(patient))
	answers := bufio.NewReader(conn)
	for i, class := range []string{"look", "pay"} {
		io.WriteString(conn, d.text(t, class, fmt.Sprintf("00000000000000a%d", i+1)))
		if i == 1 {
			d.stop()
		}
		if res, err := http.ReadResponse(answers, nil); err != nil || res.StatusCode != 503 || res.Close != (i == 1) {
			t.Fatalf("answered %v, %v", res, err)
		}
	}
	if err := <-d.done; err != nil {
		t.Error(err)
	}
}

// What comes when the platform may kill the process at any moment is refused at once, on its connection's last answer.
func TestWhatComesTooLateIsRefusedAtOnce(t *testing.T) {
	c := config(t)
	loop, err := NewLoop(c, NewBackends(c))
	if err != nil {
		t.Fatal(err)
	}
	loop.Update(ready(raw(t, func(_ int, conn net.Conn) { io.WriteString(conn, okReply) })))
	clients := NewServer(c, loop)
	past := time.Now().Add(-time.Second)
	clients.killTime.Store(&past)
	server := httptest.NewServer(clients)
	defer server.Close()
	d := &testInstance{addr: strings.TrimPrefix(server.URL, "http://")}
	if res, _ := do(t, d.newRequest(t, "pay", nil)); res.StatusCode != http.StatusServiceUnavailable || !res.Close {
		t.Errorf("%s, close %v", res.Status, res.Close)
	}
}

// A request that has come in the same moment as the time for idling is over is read, not closed upon.
func TestARequestAtTheEndOfItsIdling(t *testing.T) {
	ln := listen(t)
	far := dialAll(t, ln.Addr().String(), 1)[0]
	inner, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	near := &clientConn{Conn: inner}
	near.SetReadDeadline(time.Unix(1, 0))
	var buf [16]byte
	if n, err := near.Read(buf[:]); err == nil {
		t.Errorf("with nothing there: %d bytes", n)
	}
	io.WriteString(far, "GET /look")
	for end := time.Now().Add(patient); peekSocket(inner) != dataAvailable; {
		if time.Now().After(end) {
			t.Fatal("nothing came")
		}
	}
	near.SetReadDeadline(time.Unix(1, 0))
	if n, err := near.Read(buf[:]); err != nil || string(buf[:n]) != "GET /look" {
		t.Errorf("%q, %v", buf[:n], err)
	}
	near.SetReadDeadline(time.Unix(1, 0))
	io.WriteString(far, "more of it")
	if n, err := near.Read(buf[:]); err == nil {
		t.Errorf("of a request that takes too long: %d bytes", n)
	}
}
