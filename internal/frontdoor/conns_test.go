package frontdoor

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// dialAll opens connections to an instance.
func dialConns(t *testing.T, addr string, count int) []net.Conn {
	t.Helper()
	conns := make([]net.Conn, count)
	for i := range conns {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns[i] = conn
	}
	return conns
}

// awaitEnd waits until the other side has closed a connection and gives what it said before.
func readUntilClosed(t *testing.T, conn net.Conn) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	received, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Errorf("the connection was never closed; it said %q", received)
	}
	return string(received)
}

// startSmall starts an instance that lets clients have five connections.
func startLimitedGateway(t *testing.T, handler eventHandler) (*testGateway, *Server) {
	t.Helper()
	config := newTestConfig(t)
	config.Limits.Sockets = 12
	loop := newLoop(clock{time.Now()}, handler, NewBackends(config))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	server := NewServer(config, loop)
	go server.Run(ctx, listener)
	return &testGateway{addr: listener.Addr().String(), loop: loop}, server
}

// Clients that connect and say nothing use up the descriptors, and then nobody is served. Past the bound the longest
// silent is closed, and never one with a request open.
func TestIdleConnectionsAreClosedAtLimit(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance, server := startLimitedGateway(t, handler)

	busy := dialConns(t, instance.addr, 1)[0]
	if err := instance.newRequest(t, "look", nil).Write(busy); err != nil {
		t.Fatal(err)
	}
	id := nextEvent[gateway.Request](t, handler).ID
	dialConns(t, instance.addr, 20)
	server.connections.mu.Lock()
	if n := len(server.connections.open); n > 6 { // one may just have come
		t.Errorf("%d connections are open, 5 may be", n)
	}
	server.connections.mu.Unlock()
	instance.loop.mu.Lock()
	instance.loop.execute(gateway.Fail{Request: id})
	instance.loop.mu.Unlock()
	if res, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil || res.StatusCode != http.StatusBadGateway {
		t.Errorf("the connection with a request open: %v, %v", res, err)
	}
}

// A request that comes in pieces has begun when its first piece has been read, though the server still takes its
// connection for a silent one. Closing that to make room would lose the request, be it the connection's first or not.
func TestConnectionWithPartialRequestIsNotClosed(t *testing.T) {
	for name, earlierRequests := range map[string]int{"on a new connection": 0, "on an idle connection": 1} {
		t.Run(name, func(t *testing.T) {
			handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
				if request, ok := event.(gateway.Request); ok {
					return []gateway.Action{gateway.Reject{Request: request.ID}}
				}
				return nil
			})
			instance, server := startLimitedGateway(t, handler)
			var text strings.Builder
			if err := instance.newRequest(t, "look", nil).Write(&text); err != nil {
				t.Fatal(err)
			}
			conn := dialConns(t, instance.addr, 1)[0]
			reader := bufio.NewReader(conn)
			expectResponse := func() {
				t.Helper()
				if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("answered %v, %v", res, err)
				}
			}
			for range earlierRequests {
				io.WriteString(conn, text.String())
				expectResponse()
			}
			idle := func(begun bool) bool { // the connection counts as silent, with or without something read
				server.connections.mu.Lock()
				defer server.connections.mu.Unlock()
				element := server.connections.idle.Front()
				return element != nil && element.Value.(*clientConn).requestBegun.Load() == begun
			}
			for _, sendPiece := range []bool{false, true} {
				if sendPiece {
					io.WriteString(conn, text.String()[:40])
				}
				for deadline := time.Now().Add(testTimeout); !idle(sendPiece); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("the piece was never read")
					}
				}
			}
			for _, other := range dialConns(t, instance.addr, 6)[:2] {
				readUntilClosed(t, other) // others make room
			}
			io.WriteString(conn, text.String()[40:])
			expectResponse()
		})
	}
}

// The longest silent goes first, unless something has come on it that only is not read yet.
func TestConnTableClosesLongestIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	table := newConnTable(3)
	var clientConns, serverConns []net.Conn
	for range 5 {
		clientConns = append(clientConns, dialConns(t, listener.Addr().String(), 1)[0])
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		serverConns = append(serverConns, conn)
	}
	table.connStateChanged(serverConns[0], http.StateNew)
	table.connStateChanged(serverConns[0], http.StateActive) // a request is open
	table.connStateChanged(serverConns[1], http.StateNew)
	table.connStateChanged(serverConns[2], http.StateNew)
	io.WriteString(clientConns[1], "G")
	for deadline := time.Now().Add(testTimeout); peekSocket(serverConns[1]) != dataAvailable && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	table.connStateChanged(serverConns[3], http.StateNew)
	readUntilClosed(t, clientConns[2])
	table.connStateChanged(serverConns[0], http.StateIdle) // the shortest silent now
	table.connStateChanged(serverConns[4], http.StateNew)
	readUntilClosed(t, clientConns[3])
}

// Whoever sends no whole request must not hold a connection for long: it is owed an end within 3 s.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	nextEvent[gateway.BackendList](t, handler)
	ended := make(chan string)
	for name, text := range map[string]string{
		"silent":       "",
		"half a head":  head,
		"half a body":  head + "Content-Length: 9\r\n\r\nhalf",
		"a large body": head + "Content-Length: 60000000\r\n\r\nhalf",
	} {
		conn := dialConns(t, instance.addr, 1)[0]
		io.WriteString(conn, text)
		go func() {
			start := time.Now()
			received := readUntilClosed(t, conn)
			if took := time.Since(start); took > 2900*time.Millisecond || received != "" && !strings.HasPrefix(received, "HTTP/1.1 4") {
				t.Errorf("%s: after %v %q", name, took, received)
			}
			ended <- name
		}()
	}
	for range 4 {
		<-ended
	}
	if len(handler.received) > 0 {
		t.Errorf("the gateway received %+v", <-handler.received)
	}
}

// A request that can be framed in two ways may hide another in its body. The server drops one of the two headers
// before a handler sees them, so the one left must be enough to turn it away.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	nextEvent[gateway.BackendList](t, handler)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		conn := dialConns(t, instance.addr, 1)[0]
		io.WriteString(conn, "POST /pay "+proto+"\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: units=1,spread=2,first=1\r\n"+
			"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		if received := readUntilClosed(t, conn); !strings.Contains(received, " 400 ") {
			t.Errorf("%s: %q", proto, received)
		}
	}
	if len(handler.received) > 0 {
		t.Errorf("the gateway received %+v", <-handler.received)
	}
}

// What is on a connection shows without being taken from it.
func TestPeekSocket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	clientSide := dialConns(t, listener.Addr().String(), 1)[0]
	serverSide, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer serverSide.Close()
	got := []socketState{peekSocket(serverSide)}
	io.WriteString(clientSide, "x")
	serverSide.Read(nil)
	for deadline := time.Now().Add(testTimeout); peekSocket(serverSide) == noData && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	got = append(got, peekSocket(serverSide), peekSocket(serverSide))
	serverSide.Read(make([]byte, 1))
	clientSide.Close()
	for deadline := time.Now().Add(testTimeout); peekSocket(serverSide) == noData && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	got = append(got, peekSocket(serverSide))
	if want := []socketState{noData, dataAvailable, dataAvailable, peerClosed}; !slices.Equal(got, want) {
		t.Errorf("seen %v, want %v", got, want)
	}
}
