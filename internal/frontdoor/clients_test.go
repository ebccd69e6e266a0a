package frontdoor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// sendTo sends every request to a backend and does nothing else.
func sendAllTo(id gateway.BackendID) func(gateway.Event) []gateway.Action {
	return func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Send{Request: request.ID, Backend: id}}
		}
		return nil
	}
}

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("b", 10000)
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		timeout, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
		if r.RequestURI != "/pay/a%2Fb//c;d?x=1&y=%20&&" || r.Method != http.MethodPost || string(sent) != "amount=3" ||
			r.Header.Get("Request-Id") != "9b1f03aa5c7e2d41" || r.Host != "origin.svc" ||
			r.Header.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" ||
			err != nil || timeout <= 0 || timeout > 20.5 {
			t.Errorf("the backend was sent %s %s %v %q", r.Method, r.RequestURI, r.Header, sent)
		}
		io.WriteString(w, body)
	}))
	req := instance.newRequest(t, "pay", func(r *http.Request) {
		r.URL.Opaque = "/pay/a%2Fb//c;d?x=1&y=%20&&"
		r.Host = "origin.svc"
	})
	if res, got := doRequest(t, req); res.StatusCode != 200 || got != body {
		t.Errorf("%s, %d bytes", res.Status, len(got))
	}
}

// What cannot be read is a failure at once: the gateway and the backends are not notified.
func TestInvalidRequestsAreRejected(t *testing.T) {
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for name, test := range map[string]struct {
		class  string
		change func(*http.Request)
		status int
	}{
		"no id":             {"look", func(r *http.Request) { r.Header.Del("Request-Id") }, 400},
		"short id":          {"look", set("Request-Id", "9b1f"), 400},
		"id not hex":        {"look", set("Request-Id", "9b1f03aa5c7e2dzz"), 400},
		"two ids":           {"look", func(r *http.Request) { r.Header.Add("Request-Id", "9b1f03aa5c7e2d42") }, 400},
		"unknown class":     {"look", set("Request-Class", "dream"), 400},
		"class of no path":  {"look", set("Request-Class", "pay"), 400},
		"wrong method":      {"look", func(r *http.Request) { r.Method = http.MethodPost }, 400},
		"GET with a body":   {"look", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1 }, 400},
		"no key":            {"pay", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unknown plan":      {"look", set("X-Tier", "gold"), 400},
		"customer too high": {"look", set("X-Api-Key", "0000000200000000"), 400},
		"customer not hex":  {"look", set("X-Api-Key", "-000000000000001"), 400},
		"no timeout":        {"look", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400},
		"timeout NaN":       {"look", set("Request-Timeout", "NaN"), 400},
		"timeout infinite":  {"look", set("Request-Timeout", "Inf"), 400},
		"timeout below 0":   {"look", set("Request-Timeout", "-1"), 400},
		"no terms":          {"look", set("X-Call-Terms", ""), 400},
		"units NaN":         {"look", set("X-Call-Terms", "units=NaN,spread=2,first=1"), 400},
		"units of none":     {"look", set("X-Call-Terms", "units=0,spread=2,first=1"), 400},
		"too many units":    {"look", set("X-Call-Terms", "units=4,spread=2,first=1"), 400},
		"units twice":       {"look", set("X-Call-Terms", "units=1,units=2,spread=2,first=1"), 400},
		"spread too wide":   {"look", set("X-Call-Terms", "units=1,spread=3,first=1"), 400},
		"first of none":     {"look", set("X-Call-Terms", "units=1,spread=2,first=2"), 400},
		"half the terms":    {"look", set("X-Call-Terms", "units=1"), 400},
		"body over 64 KiB": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), maxBody+1
		}, 413},
		"chunked": {"pay", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBody+1))), -1
		}, 400},
	} {
		handler := newScriptedHandler(sendAllTo(1))
		instance := startGateway(t, handler, "127.0.0.1:1")
		nextEvent[gateway.BackendList](t, handler)
		if res, _ := doRequest(t, instance.newRequest(t, test.class, test.change)); res.StatusCode != test.status {
			t.Errorf("%s: %s, want %d", name, res.Status, test.status)
		}
		if len(handler.received) > 0 {
			t.Errorf("%s: the gateway received %+v", name, <-handler.received)
		}
		instance.stop()
	}
}

func TestRejectionHasRetryAfter(t *testing.T) {
	instance := startGateway(t, newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Reject{Request: request.ID, RetryAfter: 250 * time.Millisecond}, gateway.Fail{Request: request.ID}}
		}
		return nil
	}))
	res, _ := doRequest(t, instance.newRequest(t, "look", nil))
	if res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("%s, Retry-After %q", res.Status, res.Header.Get("Retry-After"))
	}
}

// Whatever the gateway does or does not do, a request has an answer before its client's time is up.
func TestRequestWithoutResponseGets504BeforeTimeout(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	res, _ := doRequest(t, instance.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "0.5") }))
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%s, want the last moment's answer", res.Status)
	}
	if req := nextEvent[gateway.Request](t, handler); req.Patience <= 0 || req.Patience > 500*time.Millisecond-gatewayMargin {
		t.Errorf("the gateway was given %v", req.Patience)
	}
	nextEvent[gateway.ClientGone](t, handler)
}

// A client that waits for a short time only is not left without any of it, and is still answered before its end.
func TestMarginsOfShortTimeouts(t *testing.T) {
	for _, test := range []struct{ timeout, forGateway, forResponse time.Duration }{
		{2 * time.Second, gatewayMargin, responseMargin},
		{80 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond},
		{16 * time.Millisecond, 2 * time.Millisecond, time.Millisecond},
	} {
		if forGateway, forResponse := margins(test.timeout); forGateway != test.forGateway || forResponse != test.forResponse {
			t.Errorf("of %v the margins are %v and %v, want %v and %v", test.timeout, forGateway, forResponse, test.forGateway, test.forResponse)
		}
	}
}

// A client that closes its connection is gone: the gateway is notified, and the attempt it calls off is closed.
func TestDisconnectionCancelsAttempt(t *testing.T) {
	read, closed := make(chan bool, 1), make(chan bool, 1)
	addr := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
		read <- true
		<-r.Context().Done()
		closed <- true
	})
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		switch event := event.(type) {
		case gateway.Request:
			return []gateway.Action{gateway.Send{Request: event.ID, Backend: 1}}
		case gateway.ClientGone:
			return []gateway.Action{gateway.Cancel{Request: event.Request, Attempt: 0}, gateway.Send{Request: event.Request, Backend: 1}}
		}
		return nil
	})
	instance := startGateway(t, handler, addr)
	conn, err := net.Dial("tcp", instance.addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := instance.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	awaitSignal(t, read, "the attempt")
	conn.Close()
	nextEvent[gateway.ClientGone](t, handler)
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Attempt != 1 || outcome.Result != gateway.NotSent || !outcome.Final {
		t.Errorf("a send after the end: %+v", outcome)
	}
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Attempt != 0 || outcome.Result != gateway.Cancelled || !outcome.Final {
		t.Errorf("the attempt ended as %+v", outcome)
	}
	awaitSignal(t, closed, "the backend's connection to be closed")
}

// A client that ends only its sending counts as gone too, but it may still read: what it reads must not look
// like a served answer.
func TestHalfClosedClientGetsNoSuccessResponse(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	conn, err := net.Dial("tcp", instance.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := instance.newRequest(t, "look", nil).Write(conn); err != nil {
		t.Fatal(err)
	}
	nextEvent[gateway.Request](t, handler)
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	nextEvent[gateway.ClientGone](t, handler)
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil && res.StatusCode < 500 {
		t.Errorf("it read %s", res.Status)
	}
}

// An id that is open already would leave the second request without an answer: the gateway passes over it.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(instance.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Timeout", "1.5") }))
		if err != nil {
			t.Error(err)
			first <- 0
			return
		}
		res.Body.Close()
		first <- res.StatusCode
	}()
	nextEvent[gateway.Request](t, handler)
	if res, _ := doRequest(t, instance.newRequest(t, "look", nil)); res.StatusCode != 400 {
		t.Errorf("the second of one id: %s", res.Status)
	}
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("the first: %d", got)
	}
}

// A body that is cut midway is no answer: the attempt has failed, and the client is notified.
func TestTruncatedResponseIsNotServed(t *testing.T) {
	instance := startGateway(t, nil, startRawBackend(t, func(_ int, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		conn.Close()
	}))
	if res, body := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusBadGateway || body != "" {
		t.Errorf("%s %q", res.Status, body)
	}
}

// After SIGTERM clients still come for a while, and what was taken must be answered before the end.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
	respond, read := make(chan bool), make(chan bool, 2)
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		read <- true
		<-respond
		io.WriteString(w, "done")
	}))
	startRequest := func(id string) chan *http.Response {
		response := make(chan *http.Response, 1)
		go func() {
			res, err := (&http.Transport{}).RoundTrip(instance.newRequest(t, "look", func(r *http.Request) { r.Header.Set("Request-Id", id) }))
			if err != nil {
				t.Error(err)
			} else {
				res.Body.Close()
			}
			response <- res
		}()
		return response
	}
	early := startRequest("00000000000000a1")
	awaitSignal(t, read, "the first request")
	instance.stop()
	late := startRequest("00000000000000a2") // on a new connection
	awaitSignal(t, read, "the request that came after SIGTERM")
	select {
	case err := <-instance.done:
		t.Fatalf("ended with two requests open: %v", err)
	case <-time.After(drainMax + 100*time.Millisecond):
	}
	close(respond)
	for name, response := range map[string]chan *http.Response{"held": early, "late": late} {
		if res := <-response; res == nil || res.StatusCode != 200 || name == "late" && !res.Close {
			t.Errorf("%s: %+v", name, res)
		}
	}
	select {
	case err := <-instance.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("it never ended")
	}
}
