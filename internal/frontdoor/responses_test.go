package frontdoor

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a 200 with a body that the backend did not mean: one of two contradicting lengths was dropped unseen.
func TestResponseWithContradictingLengthsIsNotServed(t *testing.T) {
	for name, text := range map[string]string{
		"shorter than the Content-Length": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"5\r\nhello\r\n0\r\n\r\n",
		"longer than the Content-Length": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\ncontent-length:4\r\n\r\n" +
			"5\r\nhello\r\n0\r\n\r\n",
		"empty, with more data behind it": "HTTP/1.1 200 OK\r\nContent-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\nhello hello hell",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.0, which has no chunks": "HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"5\r\nhello\r\n0\r\n\r\n",
	} {
		instance := startGateway(t, nil, startRawBackend(t, func(_ int, conn net.Conn) { io.WriteString(conn, text) }))
		if res, body := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusBadGateway ||
			body != "" {
			t.Errorf("%s: got %s with body %q, want 502 without a body", name, res.Status, body)
		}
	}
}

// A response with one length, or with two that agree, must be served, however its head arrives.
func TestResponseWithConsistentLengthIsServed(t *testing.T) {
	for name, parts := range map[string][]string{
		"Content-Length": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
		"HTTP/1.0":       {"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello"},
		"chunked":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
		"both, which agree": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
			"5\r\nhello\r\n0\r\n\r\n"},
		"both in pieces": {"HTTP/1.1 200 OK\r\nContent-", "Length: 5\r\nTransfer-Encoding: chun", "ked\r", "\n\r\n5\r\nhel",
			"lo\r\n0\r\n\r\n"},
		"chunked after an interim response that states a length": {"HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\n\r\nHT",
			"TP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"},
	} {
		instance := startGateway(t, nil, startRawBackend(t, func(_ int, conn net.Conn) {
			for _, part := range parts {
				io.WriteString(conn, part)
				time.Sleep(10 * time.Millisecond) // so that each part is read by itself
			}
		}))
		if res, body := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusOK ||
			body != "hello" {
			t.Errorf("%s: got %s with body %q, want 200 with hello", name, res.Status, body)
		}
	}
}

// After a response with two lengths the connection must not be reused, as its next response may begin at another place.
func TestConnectionWithTwoLengthsIsNotReused(t *testing.T) {
	conns := make(chan string, 2)
	instance := startGateway(t, nil, startRawBackend(t, func(_ int, conn net.Conn) {
		conns <- conn.RemoteAddr().String()
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"+
			"5\r\nhello\r\n0\r\n\r\n")
	}))
	for _, id := range []string{"00000000000000a1", "00000000000000a2"} {
		doRequest(t, instance.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Id", id) }))
		time.Sleep(2 * reuseCooldown)
	}
	if first, second := <-conns, <-conns; first == second {
		t.Errorf("both requests were sent on the connection of %s, want two connections", first)
	}
}
