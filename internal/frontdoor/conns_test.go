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

// dialConns opens count connections to addr. They are closed at the end of the test.
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

// readUntilClosed waits until the peer has closed a connection and returns the data received before that.
func readUntilClosed(t *testing.T, conn net.Conn) string {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(testTimeout))
	received, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		t.Errorf("the connection is still open after receiving %q, want it closed", received)
	}
	return string(received)
}

// startLimitedGateway starts a gateway that allows clients five connections.
func startLimitedGateway(t *testing.T, handler eventHandler) (*testGateway, *Server) {
	t.Helper()
	return startGatewayWithSockets(t, handler, 12)
}

// startGatewayWithSockets starts a gateway with a limit on its file descriptors.
func startGatewayWithSockets(t *testing.T, handler eventHandler, sockets int) (*testGateway, *Server) {
	t.Helper()
	config := newTestConfig(t)
	config.Limits.Sockets = sockets
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

// Clients that connect and send nothing could use up all file descriptors, and no client would be served. Beyond the
// limit the longest idle connection must be closed, but never one with a request in progress.
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
	if n := len(server.connections.open); n > 6 { // one may have just been accepted
		t.Errorf("got %d open connections, want at most 5, or 6 during an accept", n)
	}
	server.connections.mu.Unlock()
	instance.loop.mu.Lock()
	instance.loop.execute(gateway.Fail{Request: id})
	instance.loop.mu.Unlock()
	if res, err := http.ReadResponse(bufio.NewReader(busy), nil); err != nil ||
		res.StatusCode != http.StatusBadGateway {
		t.Errorf("connection with a request in progress: got %v, error %v; want 502", res, err)
	}
}

// A request may arrive in parts, and the HTTP server considers its connection idle until the head is complete. Closing
// this connection at the limit would lose the request, whether it is the first of the connection or a later one.
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
			var requestText strings.Builder
			if err := instance.newRequest(t, "look", nil).Write(&requestText); err != nil {
				t.Fatal(err)
			}
			conn := dialConns(t, instance.addr, 1)[0]
			reader := bufio.NewReader(conn)
			expectResponse := func() {
				t.Helper()
				if res, err := http.ReadResponse(reader, nil); err != nil ||
					res.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("got %v, error %v; want 503", res, err)
				}
			}
			for range earlierRequests {
				io.WriteString(conn, requestText.String())
				expectResponse()
			}
			// isIdle reports whether the connection is listed as idle and requestBegun is as given.
			isIdle := func(begun bool) bool {
				server.connections.mu.Lock()
				defer server.connections.mu.Unlock()
				element := server.connections.idle.Front()
				return element != nil && element.Value.(*clientConn).requestBegun.Load() == begun
			}
			for _, sendFirstPart := range []bool{false, true} {
				if sendFirstPart {
					io.WriteString(conn, requestText.String()[:40])
				}
				for deadline := time.Now().Add(testTimeout); !isIdle(sendFirstPart); time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("the connection is not idle, or requestBegun doesn't show whether data was read")
					}
				}
			}
			for _, other := range dialConns(t, instance.addr, 6)[:2] {
				readUntilClosed(t, other) // idle connections without data are closed instead
			}
			io.WriteString(conn, requestText.String()[40:])
			expectResponse()
		})
	}
}

// At the limit the longest idle connection must be closed, unless data has arrived on it that has not been read yet.
func TestConnTableClosesLongestIdle(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	table := newConnTable(3, 3)
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
	table.connStateChanged(serverConns[0], http.StateActive) // a request is in progress
	table.connStateChanged(serverConns[1], http.StateNew)
	table.connStateChanged(serverConns[2], http.StateNew)
	io.WriteString(clientConns[1], "G")
	for deadline := time.Now().Add(testTimeout); peekSocket(serverConns[1]) != dataAvailable &&
		time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	table.connStateChanged(serverConns[3], http.StateNew)
	readUntilClosed(t, clientConns[2])
	table.connStateChanged(serverConns[0], http.StateIdle) // now the shortest idle
	table.connStateChanged(serverConns[4], http.StateNew)
	readUntilClosed(t, clientConns[3])
}

// A client that doesn't send a complete request must not occupy a connection for long: the protocol requires that it is
// answered or closed within 3 s.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	head := "POST /pay HTTP/1.1\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\n" +
		"X-Call-Terms: units=1,spread=2,first=1\r\n"
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	nextEvent[gateway.BackendList](t, handler)
	ended := make(chan string)
	for name, text := range map[string]string{
		"no data":      "",
		"partial head": head,
		"partial body": head + "Content-Length: 9\r\n\r\nhalf",
		"large body":   head + "Content-Length: 60000000\r\n\r\nhalf",
	} {
		conn := dialConns(t, instance.addr, 1)[0]
		io.WriteString(conn, text)
		go func() {
			start := time.Now()
			received := readUntilClosed(t, conn)
			if took := time.Since(start); took > 2900*time.Millisecond ||
				received != "" && !strings.HasPrefix(received, "HTTP/1.1 4") {
				t.Errorf("%s: got %q and the end after %v, want no data or a 4xx status within 2.9s", name, received,
					took)
			}
			ended <- name
		}()
	}
	for range 4 {
		<-ended
	}
	if len(handler.received) > 0 {
		t.Errorf("the handler got %+v, want no event", <-handler.received)
	}
}

// peekSocket must report available data and a close by the peer without consuming the data.
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
		t.Errorf("got states %v, want %v", got, want)
	}
}
