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

// sendAllTo returns a function for scriptedHandler that sends every request to a backend and takes no other action.
func sendAllTo(id gateway.BackendID) func(gateway.Event) []gateway.Action {
	return func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Send{Request: request.ID, Backend: id}}
		}
		return nil
	}
}

// The path, query and headers of a request must reach the backend unchanged, and the body must come back unchanged.
func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	body := strings.Repeat("b", 10000)
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		sent, _ := io.ReadAll(r.Body)
		timeout, err := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
		if r.RequestURI != "/pay/a%2Fb//c;d?x=1&y=%20&&" || r.Method != http.MethodPost || string(sent) != "amount=3" ||
			r.Header.Get("Request-Id") != "9b1f03aa5c7e2d41" || r.Host != "origin.svc" ||
			r.Header.Get("Idempotency-Key") != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" ||
			err != nil || timeout <= 0 || timeout > 20.5 {
			t.Errorf("the backend got %s %s, header %v, body %q; want the request as sent", r.Method, r.RequestURI,
				r.Header, sent)
		}
		io.WriteString(w, body)
	}))
	req := instance.newRequest(t, "pay", func(r *http.Request) {
		r.URL.Opaque = "/pay/a%2Fb//c;d?x=1&y=%20&&"
		r.Host = "origin.svc"
	})
	if res, got := doRequest(t, req); res.StatusCode != 200 || got != body {
		t.Errorf("got %s with %d bytes, want 200 with the 10000 bytes of the backend", res.Status, len(got))
	}
}

// An invalid request must be rejected before any event reaches the event handler.
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
		"class not in path": {"look", set("Request-Class", "pay"), 400},
		"wrong method":      {"look", func(r *http.Request) { r.Method = http.MethodPost }, 400},
		"GET with a body": {"look", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader("x")), 1
		}, 400},
		"no idempotency key": {"pay", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, 400},
		"unknown plan":       {"look", set("X-Tier", "gold"), 400},
		"customer too high":  {"look", set("X-Api-Key", "0000000200000000"), 400},
		"customer not hex":   {"look", set("X-Api-Key", "-000000000000001"), 400},
		"no timeout":         {"look", func(r *http.Request) { r.Header.Del("Request-Timeout") }, 400},
		"timeout NaN":        {"look", set("Request-Timeout", "NaN"), 400},
		"timeout infinite":   {"look", set("Request-Timeout", "Inf"), 400},
		"timeout below 0":    {"look", set("Request-Timeout", "-1"), 400},
		"no terms":           {"look", set("X-Call-Terms", ""), 400},
		"units NaN":          {"look", set("X-Call-Terms", "units=NaN,spread=2,first=1"), 400},
		"units 0":            {"look", set("X-Call-Terms", "units=0,spread=2,first=1"), 400},
		"too many units":     {"look", set("X-Call-Terms", "units=4,spread=2,first=1"), 400},
		"units twice":        {"look", set("X-Call-Terms", "units=1,units=2,spread=2,first=1"), 400},
		"spread too large":   {"look", set("X-Call-Terms", "units=1,spread=3,first=1"), 400},
		"first out of range": {"look", set("X-Call-Terms", "units=1,spread=2,first=2"), 400},
		"missing terms":      {"look", set("X-Call-Terms", "units=1"), 400},
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
			t.Errorf("%s: got %s, want %d", name, res.Status, test.status)
		}
		if len(handler.received) > 0 {
			t.Errorf("%s: the handler got %+v, want no event", name, <-handler.received)
		}
		instance.stop()
	}
}

// A rejection must state its Retry-After in seconds. The Fail action that follows it must have no effect, as a request
// has only one final response.
func TestRejectionHasRetryAfter(t *testing.T) {
	instance := startGateway(t, newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Reject{Request: request.ID, RetryAfter: 250 * time.Millisecond},
				gateway.Fail{Request: request.ID}}
		}
		return nil
	}))
	res, _ := doRequest(t, instance.newRequest(t, "look", nil))
	if res.StatusCode != 503 || res.Header.Get("Retry-After") != "0.250" {
		t.Errorf("got %s with Retry-After %q, want 503 with 0.250", res.Status, res.Header.Get("Retry-After"))
	}
}

// A request must be answered before its client's timeout even if the event handler takes no action on it.
func TestRequestWithoutResponseGets504BeforeTimeout(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	res, _ := doRequest(t, instance.newRequest(t, "look", func(r *http.Request) {
		r.Header.Set("Request-Timeout", "0.5")
	}))
	if res.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %s, want 504", res.Status)
	}
	if req := nextEvent[gateway.Request](t, handler); req.Timeout <= 0 ||
		req.Timeout > 500*time.Millisecond-gatewayMargin {
		t.Errorf("the handler got a timeout of %v, want one above 0 and at least gatewayMargin below 500ms",
			req.Timeout)
	}
	nextEvent[gateway.ClientGone](t, handler)
}

// The margins must leave most of a short timeout to the request, and still allow a response before its end.
func TestMarginsOfShortTimeouts(t *testing.T) {
	for _, test := range []struct{ timeout, forGateway, forResponse time.Duration }{
		{2 * time.Second, gatewayMargin, responseMargin},
		{80 * time.Millisecond, 10 * time.Millisecond, 5 * time.Millisecond},
		{16 * time.Millisecond, 2 * time.Millisecond, time.Millisecond},
	} {
		if forGateway, forResponse := margins(test.timeout); forGateway != test.forGateway ||
			forResponse != test.forResponse {
			t.Errorf("margins of a timeout of %v: got %v and %v, want %v and %v", test.timeout, forGateway, forResponse,
				test.forGateway, test.forResponse)
		}
	}
}

// When a client disconnects, the event handler must be notified, and the attempt that it then cancels must be closed.
// An attempt that is started afterwards must not be sent.
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
			return []gateway.Action{gateway.Cancel{Request: event.Request, Attempt: 0},
				gateway.Send{Request: event.Request, Backend: 1}}
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
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Attempt != 1 || outcome.Result != gateway.NotSent ||
		!outcome.Final {
		t.Errorf("attempt after the disconnection: got %+v, want attempt 1, NotSent, final", outcome)
	}
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Attempt != 0 || outcome.Result != gateway.Cancelled ||
		!outcome.Final {
		t.Errorf("cancelled attempt: got %+v, want attempt 0, Cancelled, final", outcome)
	}
	awaitSignal(t, closed, "the backend's connection to be closed")
}

// A client that closes only its sending side is considered disconnected, but it may still read. It must not read a
// successful response.
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
		t.Errorf("the client got %s, want a status of at least 500, or none", res.Status)
	}
}

// A request with the ID of another one in progress must be rejected before it reaches the gateway, which ignores a
// duplicate ID: the second request would get no response.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	first := make(chan int, 1)
	go func() {
		res, err := http.DefaultTransport.RoundTrip(instance.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Timeout", "1.5")
		}))
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
		t.Errorf("second request with the ID: got %s, want 400", res.Status)
	}
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("first request with the ID: got %d, want 504", got)
	}
}

// A truncated response must count as a failed attempt, and the client must get an error without a part of the body.
func TestTruncatedResponseIsNotServed(t *testing.T) {
	instance := startGateway(t, nil, startRawBackend(t, func(_ int, conn net.Conn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		conn.Close()
	}))
	if res, body := doRequest(t, instance.newRequest(t, "pay", nil)); res.StatusCode != http.StatusBadGateway ||
		body != "" {
		t.Errorf("got %s with body %q, want 502 without a body", res.Status, body)
	}
}

// After SIGTERM new connections still arrive for a while. Requests that were accepted before or after it must be
// answered before Server.Run returns.
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
			res, err := (&http.Transport{}).RoundTrip(instance.newRequest(t, "look", func(r *http.Request) {
				r.Header.Set("Request-Id", id)
			}))
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
	awaitSignal(t, read, "the request after SIGTERM")
	select {
	case err := <-instance.done:
		t.Fatalf("Run returned %v with two requests in progress, want it to wait for them", err)
	case <-time.After(drainMax + 100*time.Millisecond):
	}
	close(respond)
	for name, response := range map[string]chan *http.Response{"early": early, "late": late} {
		if res := <-response; res == nil || res.StatusCode != 200 || name == "late" && !res.Close {
			t.Errorf("%s request: got %+v, want 200, and for the late request Connection: close", name, res)
		}
	}
	select {
	case err := <-instance.done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Error("Run did not return after both responses")
	}
}
