package frontdoor

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// writeParts returns a backend's response that is written in parts, with a pause between them that is long enough for
// each part to be read by itself.
func writeParts(parts ...string) func(int, net.Conn) {
	return func(_ int, conn net.Conn) {
		for i, part := range parts {
			if i > 0 {
				time.Sleep(10 * time.Millisecond)
			}
			io.WriteString(conn, part)
		}
	}
}

// Guards against a 200 with a cut body: a response whose Content-Length was too small was served without its end.
func TestResponseWithTooSmallLengthIsNotServed(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
	long := strings.Repeat("x", 3*responseBufferSize)
	for name, respond := range map[string]func(int, net.Conn){
		"in one write":              writeParts(head + "hello, world"),
		"body in a second write":    writeParts(head, "hello, world"),
		"one byte":                  writeParts(head + "hello!"),
		"a line end":                writeParts(head + "hello\r\n"),
		"no body stated":            writeParts("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nhello"),
		"HTTP/1.0":                  writeParts("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello, world"),
		"after an interim response": writeParts("HTTP/1.1 103 Early Hints\r\n\r\n" + head + "hello, world"),
		"chunks end in the body":    writeParts("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nhello\r\n0\r\n\r\n"),
		"the rest begins like a response": writeParts(head + "hello" +
			"HTTP/1.1 is a protocol.\r\nIt has a Content-Length.\r\n\r\n"),
		"the rest begins with a response":  writeParts(head + "hello" + okResponse),
		"the rest ends with a response":    writeParts(head + "hello, world" + head + "hello"),
		"of a response and of its copy":    writeParts(head + "hello, world" + head + "hello, world"),
		"of the copy only":                 writeParts(head + "hello" + head + "hello, world"),
		"body longer than the read buffer": writeParts("HTTP/1.1 200 OK\r\nContent-Length: 6143\r\n\r\n" + long),
	} {
		t.Run(name, func(t *testing.T) {
			instance := startGateway(t, nil, startRawBackend(t, respond))
			res, body := doRequest(t, instance.newRequest(t, "pay", nil))
			if res.StatusCode != http.StatusBadGateway || body != "" {
				t.Errorf("got %s with a body of %d bytes, %.20q, want 502 without a body", res.Status, len(body), body)
			}
		})
	}
}

// Guards against a second run of a request that has run: a response whose length is wrong proves nothing by its head.
func TestRejectionWithTooSmallLengthMayHaveRun(t *testing.T) {
	backends, id := newTestBackends(t, startRawBackend(t, writeParts(
		"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 2\r\n\r\nfull, come again")))
	if outcome := backends.send(t.Context(), t.Context(), id, payRequest); outcome.result != gateway.Unknown {
		t.Errorf("got result %v, want Unknown", outcome.result)
	}
}

// A response that is followed by a copy of itself must be served, and its connection must not be reused.
func TestResponseWithCopyIsServed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	const interim = "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
	long := "HTTP/1.1 200 OK\r\nContent-Length: 6144\r\n\r\n" + strings.Repeat("x", 3*responseBufferSize)
	for name, test := range map[string]struct {
		parts      []string
		wantLength int // of the body
	}{
		"in one write":          {[]string{okResponse + okResponse}, 2},
		"chunked":               {[]string{chunked + chunked}, 5},
		"behind interim":        {[]string{interim + chunked + interim + chunked}, 5},
		"copy in pieces":        {[]string{okResponse + okResponse[:3], okResponse[3:20], okResponse[20:]}, 2},
		"longer than a buffer":  {[]string{long + long}, 6144},
		"long copy, in pieces":  {[]string{long + long[:100], long[100:3000], long[3000:]}, 6144},
		"another Date":          {[]string{okResponse + "HTTP/1.1 200 OK\r\nDate: later\r\n" + okResponse[17:]}, 2},
		"copy in a later write": {[]string{okResponse, okResponse}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan string, 2)
			addr := startRawBackend(t, func(n int, conn net.Conn) {
				conns <- conn.RemoteAddr().String()
				writeParts(test.parts...)(n, conn)
			})
			backends, id := newTestBackends(t, addr)
			for range 2 {
				outcome := backends.send(t.Context(), t.Context(), id, lookRequest)
				if outcome.result != gateway.Answered || len(outcome.body) != test.wantLength {
					t.Errorf("got %v with a body of %d bytes, want Answered with %d bytes", outcome.result,
						len(outcome.body), test.wantLength)
				}
				time.Sleep(2 * reuseCooldown)
			}
			if first, second := <-conns, <-conns; first == second {
				t.Errorf("both requests were sent on the connection of %s, want two connections", first)
			}
		})
	}
}
