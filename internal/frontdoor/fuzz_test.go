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

// The fuzz targets take what comes from outside: whatever it is, it is refused or lies in range, and nothing breaks.

func FuzzTerms(f *testing.F) {
	for _, s := range []string{"units=2,spread=2,first=1", "units=NaN,spread=1,first=0", "units=1e309,spread=1,first=0",
		"units=-1,spread=1,first=0", "units=1,spread=3,first=0", "units=1,units=1,spread=1,first=0", "", ",=,",
		"first=9223372036854775808,spread=1,units=1", "units=0x1p3, spread=2 ,first=0,new=1"} {
		f.Add(s)
	}
	c, err := parseConfig([]byte(testConfigJSON))
	if err != nil {
		f.Fatal(err)
	}
	clients := NewServer(c, nil)
	f.Fuzz(func(t *testing.T, text string) {
		var r gateway.Request
		if clients.parseTerms(text, &r) != nil {
			return
		}
		if s := c.Settings; !(r.Units > 0) || r.Units > s.MaxRequestUnits || math.IsInf(r.Units, 0) || r.GatewayCount < 1 ||
			r.GatewayCount > s.Gateways || r.FirstGateway < 0 || r.FirstGateway >= s.Gateways {
			t.Errorf("%q was taken as %+v", text, r)
		}
	})
}

func FuzzRequestHead(f *testing.F) {
	f.Add("GET /look HTTP/1.1\r\nHost: a\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Class: look\r\nX-Tier: basic\r\n" +
		"X-Api-Key: 00000000b4d65521\r\nRequest-Timeout: 0.480\r\nX-Call-Terms: units=2,spread=1,first=1\r\n\r\n")
	f.Add("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n")
	c, err := parseConfig([]byte(testConfigJSON))
	if err != nil {
		f.Fatal(err)
	}
	clients := NewServer(c, nil)
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		parsed, err := clients.parse(r)
		req, msg, timeout := parsed.req, parsed.forwarded, parsed.timeout
		if err == nil && (timeout <= 0 || req.Customer >= customerLimit || msg.header.Get("Request-Id") == "") {
			t.Errorf("%q was taken as %+v %+v, timeout %v", text, req, msg, timeout)
		}
	})
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-RateLimit-Used: 86\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nno length"))
	f.Add([]byte("\x00\xff noise"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b := NewBackends(newTestConfig(t))
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			far.Write(text) // ends with the pipe
			far.Close()
		}()
		c := &pooledConn{Conn: near, endpoint: &endpointPool{}}
		c.limited.source = near
		c.reader = bufio.NewReaderSize(&c.limited, 2<<10)
		r := &attemptOutcome{result: gateway.NotSent}
		_, err := b.readResponse(context.Background(), c, &forwardedRequest{method: http.MethodGet}, r)
		if err != nil && r.result != gateway.NotSent || len(r.body) > maxBody || r.hasUsage && !(r.usage >= 0 && r.usage <= maxUsagePercent) {
			t.Errorf("%q was read as %+v, %v", text, r, err)
		}
	})
}

func FuzzDiscoveryLine(f *testing.F) {
	f.Add([]byte(`{"seq":42,"whole":true,"hosts":[` + fmt.Sprintf(entry, 7, "Ready") + `]}`))
	f.Add([]byte(`{"seq":-1,"hosts":[{},{"host":"s","health":"Ready","born_ms":-5},{"host":"s","health":"Gone"}]}`))
	f.Add([]byte(`{"hosts":[{"host":"s","dial":"x","health":"Ready","born_ms":9223372036854775807}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var list EndpointList
		if json.Unmarshal(text, &list) != nil {
			return
		}
		c := newTestConfig(t)
		l, err := NewLoop(c, NewBackends(c))
		if err != nil {
			t.Fatal(err)
		}
		l.Update(list)
		l.Update(EndpointList{Full: true})
		if n := len(l.backends.byHost); n != 0 {
			t.Errorf("%d backends are left after an empty list", n)
		}
	})
}

func FuzzConfig(f *testing.F) {
	f.Add([]byte(testConfigJSON))
	f.Add([]byte(strings.Replace(testConfigJSON, "20000000", "-1", 1)))
	f.Add([]byte(strings.Replace(testConfigJSON, `"burst":1000`, `"burst":1e400`, 1)))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parseConfig(text)
		if err != nil {
			return
		}
		if _, err := NewLoop(c, NewBackends(c)); err != nil {
			t.Errorf("%q was taken, but no gateway starts with it: %v", text, err)
		}
	})
}

// A list without an end must not fill the memory of an instance, requested or pushed.
func TestListsAreBounded(t *testing.T) {
	endless := roundTrip(func(*http.Request) (*http.Response, error) {
		body := io.MultiReader(strings.NewReader(`{"seq":1,"whole":true,"hosts":["`), repeat("x"))
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
	})
	f := newWatcher(endless, prompt, "agent", 1, func(EndpointList) { t.Error("an endless list was taken") })
	if err := f.fetch(t.Context()); !errors.Is(err, errTooLarge) {
		t.Errorf("the endless list ended with %v", err)
	}
	if err := f.watch(t.Context()); !errors.Is(err, errTooLarge) {
		t.Errorf("the endless line ended with %v", err)
	}
}

// repeat is a reader without an end. Should nothing else stop its reader, it gives up after far more than any list.
func repeat(text string) io.Reader {
	return io.LimitReader(readerFunc(func(p []byte) (int, error) {
		return copy(p, bytes.Repeat([]byte(text), len(p))), nil
	}), 64*maxListBytes)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
