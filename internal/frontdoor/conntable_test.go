package frontdoor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

const (
	limitedSockets    = 32 // descriptors of a gateway with the two limits that follow
	limitedServed     = 13 // connections that are kept, and requests in progress
	limitedOpen       = 15 // connections, including those on which requests are only rejected
	answerGrace       = 500 * time.Millisecond
	socketGrace       = 50 * time.Millisecond // by which the protocol's time limits are longer on sockets
	overloadRetryTime = 250 * time.Millisecond
)

// rejectOverload rejects the requests that are one too many, and leaves all others in progress.
func rejectOverload(event gateway.Event) []gateway.Action {
	if request, ok := event.(gateway.Request); ok && request.Overload {
		return []gateway.Action{gateway.Reject{Request: request.ID, RetryAfter: overloadRetryTime}}
	}
	return nil
}

// sendRequests opens connections and sends a request on each. It returns the connections.
func (g *testGateway) sendRequests(t *testing.T, class string, firstID, count int) []net.Conn {
	t.Helper()
	conns := dialConns(t, g.addr, count)
	for i, conn := range conns {
		io.WriteString(conn, g.requestText(t, class, fmt.Sprintf("%016x", firstID+i)))
	}
	return conns
}

// expectRejection fails the test unless the response on a connection is 503 with Retry-After, and the connection ends.
func expectRejection(t *testing.T, conn net.Conn, within time.Duration) {
	t.Helper()
	conn.SetReadDeadline(time.Now().Add(within))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close ||
		res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("got %v, error %v; want 503 with Retry-After and Connection: close", res, err)
	}
}

// Guards against requests that get no answer while others occupy all connections: each must be rejected at once, also
// one whose body is still to come, and the requests in progress must not suffer.
func TestRequestsBeyondTheConnectionLimitAreRejected(t *testing.T) {
	handler := newScriptedHandler(rejectOverload)
	instance, _ := startGatewayWithSockets(t, handler, limitedSockets)
	inProgress := instance.sendRequests(t, "look", 0xa00, limitedServed)
	for range inProgress {
		if request := nextEvent[gateway.Request](t, handler); request.Overload {
			t.Fatalf("request %x is one too many, want it in progress", request.ID)
		}
	}
	excess := instance.sendRequests(t, "look", 0xb00, 2*limitedOpen)
	excess = append(excess, instance.sendRequests(t, "pay", 0xc00, 2*limitedOpen)...)
	for _, conn := range dialConns(t, instance.addr, 2*limitedOpen) {
		text := instance.requestText(t, "pay", fmt.Sprintf("%016x", 0xd00+len(excess)))
		io.WriteString(conn, text[:len(text)-1]) // without the end of the body
		excess = append(excess, conn)
	}
	for _, conn := range excess {
		expectRejection(t, conn, testTimeout)
	}
	instance.loop.mu.Lock()
	for i := range inProgress {
		instance.loop.execute(gateway.Fail{Request: gateway.RequestID(0xa00 + i)})
	}
	instance.loop.mu.Unlock()
	for _, conn := range inProgress {
		if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil ||
			res.StatusCode != http.StatusBadGateway {
			t.Errorf("request in progress: got %v, error %v; want 502", res, err)
		}
	}
}

// Guards against requests that wait in the backlog for clients that have stopped in the middle of a head: the
// connections of these must be closed in time for an answer.
func TestStalledHeadsMakeRoomForRequests(t *testing.T) {
	const timeout = 800 * time.Millisecond
	instance, _ := startGatewayWithSockets(t, newScriptedHandler(rejectAll), limitedSockets)
	for _, conn := range dialConns(t, instance.addr, 2*limitedOpen) {
		io.WriteString(conn, "GET /look HTTP/1.1\r\n")
	}
	time.Sleep(10 * time.Millisecond) // so that the stalled clients are accepted first
	conn := dialConns(t, instance.addr, 1)[0]
	text := instance.requestText(t, "look", "00000000000000a1")
	io.WriteString(conn, strings.Replace(text, "Request-Timeout: 20.5", "Request-Timeout: 0.8", 1))
	conn.SetReadDeadline(time.Now().Add(timeout + answerGrace + socketGrace))
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != 503 {
		t.Errorf("got %v, error %v; want 503 in time", res, err)
	}
}

// While there are more connections than are kept, each must be closed after its response, as other clients wait for
// their turn. Otherwise it must be kept.
func TestConnectionsTakeTurnsIfThereAreTooMany(t *testing.T) {
	for name, test := range map[string]struct {
		stalled   int // other connections, on which a request has begun
		wantClose bool
	}{
		"as many as are kept": {limitedServed - 1, false},
		"one too many":        {limitedServed, true},
	} {
		t.Run(name, func(t *testing.T) {
			instance, server := startGatewayWithSockets(t, newScriptedHandler(rejectAll), limitedSockets)
			for _, conn := range dialConns(t, instance.addr, test.stalled) {
				io.WriteString(conn, "GET /look HTTP/1.1\r\n")
			}
			awaitOpenConns(t, server, test.stalled)
			conn := instance.sendRequests(t, "look", 0xa1, 1)[0]
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != 503 ||
				res.Close != test.wantClose {
				t.Errorf("got %v, error %v; want 503 with Connection: close %v", res, err, test.wantClose)
			}
		})
	}
}

// awaitOpenConns waits until a number of connections are open on which data has arrived.
func awaitOpenConns(t *testing.T, server *Server, count int) {
	t.Helper()
	table := server.connections
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		begun := 0
		table.mu.Lock()
		for conn := range table.open {
			if hasRequestData(conn) {
				begun++
			}
		}
		table.mu.Unlock()
		if begun == count {
			return
		}
	}
	t.Fatalf("there are not %d connections with a request", count)
}
