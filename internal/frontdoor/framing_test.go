package frontdoor

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"herontiller/internal/gateway"
)

// A request with both a Content-Length and a Transfer-Encoding may hide another request in its body. The HTTP server
// drops one of the two headers before its handler is called, so the remaining one must be sufficient to reject it.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	nextEvent[gateway.BackendList](t, handler)
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		conn := dialConns(t, instance.addr, 1)[0]
		io.WriteString(conn, "POST /pay "+proto+
			"\r\nHost: h\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: pay\r\nX-Tier: basic\r\n"+
			"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 20\r\nIdempotency-Key: k\r\nX-Call-Terms: "+
			"units=1,spread=2,first=1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		if received := readUntilClosed(t, conn); !strings.Contains(received, " 400 ") {
			t.Errorf("%s: got %q, want status 400", proto, received)
		}
	}
	if len(handler.received) > 0 {
		t.Errorf("the handler got %+v, want no event", <-handler.received)
	}
}

// hidingBody is the framing of a request and its body, in which a second request is hidden.
type hidingBody struct {
	name    string
	framing func(hidden string) (headers, body string)
}

// hidingBodies are the ways to hide a request. In each of them a recipient that uses only one of the framing headers, or
// none, finds the hidden request behind the end of the first one.
var hidingBodies = []hidingBody{
	{"the chunked body ends before the hidden request, the Content-Length after it", func(hidden string) (string, string) {
		body := "0\r\n\r\n" + hidden
		return fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)), body
	}},
	{"the Content-Length ends before the hidden request, the chunked body after it", func(hidden string) (string, string) {
		size := fmt.Sprintf("%x\r\n", len(hidden))
		return fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n", len(size)),
			size + hidden + "\r\n0\r\n\r\n"
	}},
	{"the Content-Length is 0, and the body is said to be chunked", func(hidden string) (string, string) {
		return "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n", hidden
	}},
	{"as the first, with an expectation that the HTTP library rejects", func(hidden string) (string, string) {
		body := "0\r\n\r\n" + hidden
		return fmt.Sprintf("Expect: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body)), body
	}},
	{"as the first, with an encoding that the HTTP library rejects", func(hidden string) (string, string) {
		body := "0\r\n\r\n" + hidden
		return fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: gzip, chunked\r\n", len(body)), body
	}},
	{"the hidden request follows a chunked body", func(hidden string) (string, string) {
		return "Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden
	}},
	{"the hidden request is the body that the Content-Length states", func(hidden string) (string, string) {
		return fmt.Sprintf("Content-Length: %d\r\n", len(hidden)), hidden
	}},
}

// hidingTest sends requests that hide another one in their body to a gateway.
type hidingTest struct {
	instance *testGateway
	handler  *scriptedHandler
}

func newHidingTest(t *testing.T) hidingTest {
	t.Helper()
	handler := newScriptedHandler(rejectAll)
	instance := startGateway(t, handler)
	nextEvent[gateway.BackendList](t, handler)
	return hidingTest{instance, handler}
}

// send sends a request with the given request line, which hides another one, and returns what is received before the
// connection ends. The hidden request must not reach the event handler.
func (h hidingTest) send(t *testing.T, requestLine string, way hidingBody) string {
	t.Helper()
	// If the hidden request is served, its Connection header ends the connection, so that the test fails at once.
	hidden := strings.Replace(h.instance.requestText(t, "pay", "00000000000000a2"), "\r\n",
		"\r\nConnection: close\r\n", 1)
	headers, body := way.framing(hidden)
	conn := dialConns(t, h.instance.addr, 1)[0]
	io.WriteString(conn, requestLine+"\r\nHost: h\r\nConnection: keep-alive\r\n"+headers+"\r\n"+body)
	received := readUntilClosed(t, conn)
	for len(h.handler.received) > 0 {
		if request, ok := (<-h.handler.received).(gateway.Request); ok {
			t.Errorf("%s, %s: the handler got the hidden request %x, want none", requestLine, way.name, request.ID)
		}
	}
	return received
}

// expectHiddenRequestsRejected sends requests that hide another one, with each of the given request lines. Each must get
// an error and the end of its connection, and no hidden request may be served.
func expectHiddenRequestsRejected(t *testing.T, requestLines ...string) {
	t.Helper()
	test := newHidingTest(t)
	for _, requestLine := range requestLines {
		for _, way := range hidingBodies {
			if received := test.send(t, requestLine, way); !strings.HasPrefix(received, "HTTP/1.1 4") &&
				!strings.HasPrefix(received, "HTTP/1.1 501 ") {
				t.Errorf("%s, %s: got %q, want a 4xx status or 501", requestLine, way.name, received)
			}
		}
	}
}

// Guards against request smuggling: a command in the body of a readiness probe was read as the next request and ran.
func TestRequestHiddenInReadinessProbeIsNotServed(t *testing.T) {
	expectHiddenRequestsRejected(t, "GET /ready HTTP/1.1", "HEAD /ready HTTP/1.1", "POST /ready HTTP/1.1",
		"OPTIONS /ready HTTP/1.1", "GET /ready?x=1 HTTP/1.1", "GET http://h/ready HTTP/1.1")
}

// Guards against request smuggling: the connection of an HTTP/1.0 probe, whose Transfer-Encoding is dropped, was kept.
func TestRequestHiddenInHTTP10ReadinessProbeIsNotServed(t *testing.T) {
	test := newHidingTest(t)
	for _, way := range hidingBodies {
		headers, _ := way.framing("")
		want := "HTTP/1.0 200 " // and the end of the connection
		if strings.Contains(headers, "Content-Length") {
			want = "HTTP/1.0 4"
		}
		if received := test.send(t, "GET /ready HTTP/1.0", way); !strings.HasPrefix(received, want) ||
			strings.Contains(received, "\r\n\r\nHTTP/") {
			t.Errorf("%s: got %q, want %q and no second response", way.name, received, want)
		}
	}
}

// Guards against request smuggling: the HTTP library answered OPTIONS * itself, and a command in its body ran.
func TestRequestHiddenInServerWideOptionsIsNotServed(t *testing.T) {
	expectHiddenRequestsRejected(t, "OPTIONS * HTTP/1.1")
}

// Guards against a 200 for a request that no backend has served: the HTTP library answered OPTIONS * itself.
func TestServerWideOptionsIsRejected(t *testing.T) {
	instance := startGateway(t, newScriptedHandler(rejectAll))
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	if received := readUntilClosed(t, conn); !strings.HasPrefix(received, "HTTP/1.1 4") {
		t.Errorf("got %q, want a 4xx status", received)
	}
}

// transferEncodings are headers that some recipients take for a chunked Transfer-Encoding, and others don't.
var transferEncodings = []string{
	"Transfer-Encoding: chunked\r\n",
	"transfer-encoding: CHUNKED\r\n",
	"Transfer-Encoding:chunked\r\n",
	"Transfer-Encoding: \tchunked \t\r\n",
	"Transfer-Encoding: chunked\n",
	"Transfer-Encoding:\r\n chunked\r\n",
	"Transfer-Encoding : chunked\r\n",
	"X-Folded: x\r\n Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	"Transfer-Encoding: chunked, chunked\r\n",
	"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
	"Transfer-Encoding: xchunked\r\n",
	"Transfer-Encoding: \"chunked\"\r\n",
	"Transfer-Encoding: \vchunked\r\n",
	"Transfer-Encoding:\r\n",
}

// contentLengths are headers by which the body of a request, of the given length, ends behind the hidden request, before
// it, or at an unclear place.
var contentLengths = []func(length int) string{
	func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) },
	func(int) string { return "Content-Length: 0\r\n" },
	func(int) string { return "Content-Length: 5\r\n" },
	func(int) string { return "Content-Length: 5\r\nContent-Length: 5\r\n" },
	func(length int) string { return fmt.Sprintf("Content-Length: 5\r\nContent-Length: %d\r\n", length) },
	func(int) string { return "Content-Length: +5\r\n" },
	func(int) string { return "" },
}

// Guards against request smuggling by spellings of the framing headers that the HTTP library may read in its own way.
func TestRequestHiddenByUnusualFramingIsNotServed(t *testing.T) {
	test := newHidingTest(t)
	for _, requestLine := range []string{"GET /ready HTTP/1.1", "GET /ready HTTP/1.0", "OPTIONS * HTTP/1.1",
		"POST /pay HTTP/1.1"} {
		for _, encoding := range transferEncodings {
			for _, length := range contentLengths {
				way := hidingBody{fmt.Sprintf("%q", encoding), func(hidden string) (string, string) {
					body := "0\r\n\r\n" + hidden
					return length(len(body)) + encoding, body
				}}
				received := test.send(t, requestLine, way)
				_, rest, _ := strings.Cut(received, "\r\n\r\n")
				if received == "" || strings.HasPrefix(rest, "HTTP/") {
					t.Errorf("%s, %q, %q: got %q, want exactly one response", requestLine, length(0), encoding, received)
				}
			}
		}
	}
}

// A valid readiness probe must be answered and its connection kept open, and a request after it must be served.
func TestRequestAfterReadinessProbeIsServed(t *testing.T) {
	instance := startGateway(t, newScriptedHandler(rejectAll))
	conn := dialConns(t, instance.addr, 1)[0]
	reader := bufio.NewReader(conn)
	for _, probe := range []string{"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n", "HEAD /ready HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"} {
		io.WriteString(conn, probe)
		if res, err := http.ReadResponse(reader, &http.Request{Method: probe[:strings.Index(probe, " ")]}); err != nil ||
			res.StatusCode != http.StatusOK || res.Close {
			t.Fatalf("probe %q: got %v, error %v; want 200 and an open connection", probe, res, err)
		}
	}
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
	if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("request after the probes: got %v, error %v; want 503", res, err)
	}
}
