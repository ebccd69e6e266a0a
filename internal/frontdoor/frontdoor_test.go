package frontdoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// testTimeout is how long a test waits for an event that must happen before it fails.
const testTimeout = 20 * time.Second

// testConfigJSON is the configuration of the tests: two classes, one safe and one keyed, and two plans.
const testConfigJSON = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"seq":41,"whole":true,"hosts":[]},
 "settings":{"balancers":2,"me":0,
  "lanes":[{"name":"look","effect":"retryable","goal_time_us":20000000,"deadline_us":60000000,"gain":1},
   {"name":"pay","effect":"dedup","group":"cell","key_ttl_us":5000000,
    "goal_time_us":20000000,"deadline_us":60000000,"gain":5}],
  "tariffs":[{"name":"basic","units_per_s":1000,"burst":1000,"value_factor":1},
   {"name":"tiny","units_per_s":0.5,"burst":1,"value_factor":1}],
  "family_info":{"meter_period_us":500000,"largest":3},
  "policy_limits":{"cancel":true,"max_attempts":3,"max_retry_after_us":500000,"retry_after":true,
   "conn_idle_us":15000000,"connect_timeout_us":250000},
  "stats":{"columns":["depth","tps"],"how":"answers"},
  "obligations":{"cold_from":0.2,"warm_within_us":1000000,"fall_multiple":4,"fall_us":1000000}}}`

// newTestConfig returns the parsed testConfigJSON.
func newTestConfig(t testing.TB) Config {
	t.Helper()
	config, err := parseConfig([]byte(testConfigJSON))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// readyList returns a full list with one ready backend for each address.
func readyList(addrs ...string) EndpointList {
	list := EndpointList{Version: 42, Full: true}
	for i, addr := range addrs {
		list.Endpoints = append(list.Endpoints,
			Endpoint{Host: fmt.Sprintf("s-%d", i), Address: addr, State: "Ready", Weight: 1})
	}
	return list
}

// testGateway is a gateway started by a test. It receives requests at addr.
type testGateway struct {
	addr string
	loop *Loop
	stop context.CancelFunc
	done chan error // receives the result of Server.Run
}

// startGateway starts a gateway on a free port, with a full list of ready backends at addrs. If handler is not nil, it
// replaces the gateway's event handler.
func startGateway(t testing.TB, handler eventHandler, addrs ...string) *testGateway {
	t.Helper()
	config := newTestConfig(t)
	backends := NewBackends(config)
	loop, err := NewLoop(config, backends)
	if err != nil {
		t.Fatal(err)
	}
	if handler != nil {
		loop = newLoop(loop.clock, handler, backends)
	}
	loop.Update(readyList(addrs...))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	instance := &testGateway{addr: listener.Addr().String(), loop: loop, stop: stop, done: make(chan error, 1)}
	go func() { instance.done <- NewServer(config, loop).Run(ctx, listener) }()
	t.Cleanup(stop)
	return instance
}

// newRequest returns a valid request of a class, which change may modify.
func (g *testGateway) newRequest(t testing.TB, class string, change func(*http.Request)) *http.Request {
	t.Helper()
	method, body := http.MethodGet, io.Reader(nil)
	if class == "pay" {
		method, body = http.MethodPost, strings.NewReader("amount=3")
	}
	req, err := http.NewRequest(method, "http://"+g.addr+"/"+class, body)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"Request-Id": "9b1f03aa5c7e2d41", "Request-Class": class,
		"X-Tier": "basic", "X-Api-Key": "00000000b4d65521", "Request-Timeout": "20.5",
		"X-Call-Terms": "units=2,spread=2,first=1"} {
		req.Header.Set(name, value)
	}
	if class == "pay" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
	}
	if change != nil {
		change(req)
	}
	return req
}

// doRequest sends a request on a new connection and returns the response and its body.
func doRequest(t *testing.T, req *http.Request) (*http.Response, string) {
	t.Helper()
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	res, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(body)
}

// startHTTPServer starts an HTTP server, such as a backend, and returns its address.
func startHTTPServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startRawBackend starts a backend that reads complete requests and calls respond for each of them, with the number of
// the request, from 1, and its connection. It returns the backend's address.
func startRawBackend(t *testing.T, respond func(n int, conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	numbers := make(chan int)
	go func() {
		for n := 1; ; n++ {
			select {
			case numbers <- n:
			case <-t.Context().Done():
				return
			}
		}
	}()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					respond(<-numbers, conn)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// scriptedHandler is an event handler that records the events it receives and returns the actions of actionsFor.
type scriptedHandler struct {
	received   chan gateway.Event
	actionsFor func(gateway.Event) []gateway.Action // may be nil
}

func (s *scriptedHandler) Handle(_ time.Duration, event gateway.Event, actions []gateway.Action) []gateway.Action {
	s.received <- event
	if s.actionsFor != nil {
		actions = append(actions, s.actionsFor(event)...)
	}
	return actions
}

// newScriptedHandler returns a handler whose actions are those of actionsFor. If it is nil, there are none.
func newScriptedHandler(actionsFor func(gateway.Event) []gateway.Action) *scriptedHandler {
	return &scriptedHandler{received: make(chan gateway.Event, 100), actionsFor: actionsFor}
}

// nextEvent waits for the next event of type E and returns it. It discards events of other types.
func nextEvent[E gateway.Event](t testing.TB, handler *scriptedHandler) E {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case event := <-handler.received:
			if typed, ok := event.(E); ok {
				return typed
			}
		case <-timeout:
			t.Fatalf("received no %T, want one", *new(E))
		}
	}
}

// startGatewayOn starts a gateway with the given event handler on a listener that the test provides.
func startGatewayOn(t *testing.T, handler eventHandler, listener net.Listener, addrs ...string) *testGateway {
	t.Helper()
	config := newTestConfig(t)
	backends := NewBackends(config)
	loop := newLoop(clock{time.Now()}, handler, backends)
	loop.Update(readyList(addrs...))
	ctx, stop := context.WithCancel(context.Background())
	instance := &testGateway{addr: listener.Addr().String(), loop: loop, stop: stop, done: make(chan error, 1)}
	go func() { instance.done <- NewServer(config, loop).Run(ctx, listener) }()
	t.Cleanup(stop)
	return instance
}

// listenTCP returns a listener on a free port.
func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.(*net.TCPListener)
}

// requestText returns a valid request with the given ID in HTTP/1.1 format.
func (g *testGateway) requestText(t *testing.T, class, id string) string {
	t.Helper()
	var text strings.Builder
	if err := g.newRequest(t, class, func(r *http.Request) {
		r.Header.Set("Request-Id", id)
	}).Write(&text); err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// rejectAll rejects every request immediately.
func rejectAll(event gateway.Event) []gateway.Action {
	if request, ok := event.(gateway.Request); ok {
		return []gateway.Action{gateway.Reject{Request: request.ID}}
	}
	return nil
}

// disconnectMethods are the ways in which a client may disconnect. A close with unread data arrives at the gateway as a
// reset.
var disconnectMethods = map[string]func(net.Conn){
	"closes": func(c net.Conn) { c.Close() },
	"resets": func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
}
