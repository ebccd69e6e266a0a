package frontdoor

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"

	"herontiller/internal/gateway"
)

// The fuzz targets pass arbitrary external input to the parsers. Every input must be rejected or parsed to values in
// range, without a panic.

// FuzzParseTerms parses the terms of requests, the value of X-Call-Terms.
func FuzzParseTerms(f *testing.F) {
	for _, s := range []string{"units=2,spread=2,first=1", "units=NaN,spread=1,first=0", "units=1e309,spread=1,first=0",
		"units=-1,spread=1,first=0", "units=1,spread=3,first=0", "units=1,units=1,spread=1,first=0", "", ",=,",
		"first=9223372036854775808,spread=1,units=1", "units=0x1p3, spread=2 ,first=0,new=1"} {
		f.Add(s)
	}
	config, err := parseConfig([]byte(testConfigJSON))
	if err != nil {
		f.Fatal(err)
	}
	server := NewServer(config, nil)
	f.Fuzz(func(t *testing.T, text string) {
		var req gateway.Request
		if server.parseTerms(text, &req) != nil {
			return
		}
		if s := config.Settings; !(req.Units > 0) || req.Units > s.MaxRequestUnits || math.IsInf(req.Units, 0) ||
			req.GatewayCount < 1 || req.GatewayCount > s.Gateways ||
			req.FirstGateway < 0 || req.FirstGateway >= s.Gateways {
			t.Errorf("%q: got %+v, want an error or values in range", text, req)
		}
	})
}

// FuzzParseRequest parses the requests of clients.
func FuzzParseRequest(f *testing.F) {
	f.Add("GET /look HTTP/1.1\r\nHost: a\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: look\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 0.480\r\nX-Call-Terms: units=2,spread=1,first=1\r\n\r\n")
	f.Add("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n")
	f.Add("GET /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	config, err := parseConfig([]byte(testConfigJSON))
	if err != nil {
		f.Fatal(err)
	}
	server := NewServer(config, nil)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil || checkFraming(r) != nil {
			return
		}
		if len(r.TransferEncoding) > 0 || r.ContentLength < 0 {
			t.Errorf("%q: checkFraming accepted a body without a stated length", text)
		}
		parsed, err := server.parse(r)
		req, forwarded, timeout := parsed.req, parsed.forwarded, parsed.timeout
		if err == nil && (timeout <= 0 || req.Customer >= customerLimit || forwarded.header.Get("Request-Id") == "") {
			t.Errorf("%q: got %+v, %+v and timeout %v, want an error or values in range", text, req, forwarded, timeout)
		}
	})
}

// FuzzReadResponse reads the responses of backends.
func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-RateLimit-Used: 86\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nno length"))
	f.Add([]byte("HTTP/1.1 103 Early\r\nContent-Length: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n" +
		"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("\x00\xff noise"))
	f.Fuzz(func(t *testing.T, text []byte) {
		backends := NewBackends(newTestConfig(t))
		gatewayEnd, backendEnd := net.Pipe()
		defer gatewayEnd.Close()
		go func() {
			backendEnd.Write(text) // returns when the pipe is closed
			backendEnd.Close()
		}()
		conn := &pooledConn{Conn: gatewayEnd, endpoint: &endpointPool{}}
		conn.limited.source = gatewayEnd
		conn.reader = bufio.NewReaderSize(&conn.limited, responseBufferSize)
		outcome := &attemptOutcome{result: gateway.NotSent}
		_, err := backends.readResponse(context.Background(), conn, &forwardedRequest{method: http.MethodGet}, outcome)
		if err != nil && outcome.result != gateway.NotSent || len(outcome.body) > maxBody ||
			outcome.hasUsage && !(outcome.usage >= 0 && outcome.usage <= maxUsagePercent) {
			t.Errorf("%q: got %+v and error %v, want an error or values in range", text, outcome, err)
		}
	})
}

// FuzzEndpointList updates a loop with a list from discovery. After an empty full list no backend may be left.
func FuzzEndpointList(f *testing.F) {
	f.Add([]byte(`{"seq":42,"whole":true,"hosts":[` + fmt.Sprintf(entryFormat, 7, "Ready") + `]}`))
	f.Add([]byte(`{"seq":-1,"hosts":[{},{"host":"s","health":"Ready","born_ms":-5},{"host":"s","health":"Gone"}]}`))
	f.Add([]byte(`{"hosts":[{"host":"s","dial":"x","health":"Ready","born_ms":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var list EndpointList
		if json.Unmarshal(text, &list) != nil {
			return
		}
		config := newTestConfig(t)
		loop, err := NewLoop(config, NewBackends(config))
		if err != nil {
			t.Fatal(err)
		}
		loop.Update(list)
		loop.Update(EndpointList{Full: true})
		if n := len(loop.backends.byHost); n != 0 {
			t.Errorf("got %d backends after an empty full list, want 0", n)
		}
	})
}

// FuzzParseConfig parses configurations. A gateway must be able to start with each valid one.
func FuzzParseConfig(f *testing.F) {
	f.Add([]byte(testConfigJSON))
	f.Add([]byte(strings.Replace(testConfigJSON, "20000000", "-1", 1)))
	f.Add([]byte(strings.Replace(testConfigJSON, `"burst":1000`, `"burst":1e400`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		config, err := parseConfig(text)
		if err != nil {
			return
		}
		if _, err := NewLoop(config, NewBackends(config)); err != nil {
			t.Errorf("%q: got no error from parseConfig, but error %v from NewLoop, want none", text, err)
		}
	})
}

// An endless list must not exhaust the memory of a gateway, whether it is requested or received in a watch.
func TestListSizeIsLimited(t *testing.T) {
	endlessList := roundTripFunc(func(*http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader(`{"seq":1,"whole":true,"hosts":["`), endlessReader("x"))
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
	})
	testWatcher := newWatcher(endlessList, agentPolicy, "agent", 1,
		func(EndpointList) { t.Error("got an update from an endless list, want none") })
	if err := testWatcher.fetch(t.Context()); !errors.Is(err, errTooLarge) {
		t.Errorf("fetch of an endless list: got error %v, want errTooLarge", err)
	}
	if err := testWatcher.watch(t.Context()); !errors.Is(err, errTooLarge) {
		t.Errorf("watch with an endless list: got error %v, want errTooLarge", err)
	}
}

// endlessReader returns a reader of the repeated text. It ends far beyond the size of any list, so that a test without
// the limit fails instead of running forever.
func endlessReader(text string) io.Reader {
	return io.LimitReader(readerFunc(func(p []byte) (int, error) {
		return copy(p, bytes.Repeat([]byte(text), len(p))), nil
	}), 64*maxListBytes)
}

// readerFunc is an io.Reader that calls a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
