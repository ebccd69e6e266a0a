package frontdoor

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// If the list must be requested, a new process must not be ready, nor use the saved list of its configuration, until
// discovery has sent a list. After firstListTimeout it is ready even without one. If lists are pushed, a process is
// ready immediately.
func TestReadyAfterFirstList(t *testing.T) {
	config := newTestConfig(t)
	if !NewServer(config, newTestLoop(t, config)).ready() {
		t.Error("got a process that is not ready with pushed lists, want it ready immediately")
	}
	config.Settings.SubscribeToList = true
	config.SavedList = readyList("127.0.0.1:7")
	loop := newTestLoop(t, config)
	server := NewServer(config, loop)
	if server.ready() {
		t.Error("got a process that is ready without a list from discovery, want it not ready")
	}
	timeout := time.Second
	sendRequest := func(id gateway.RequestID) finalResponse {
		forwarded := &forwardedRequest{method: http.MethodGet, target: "/look", host: "origin.svc",
			header: http.Header{}}
		response, err := loop.Serve(t.Context(), gateway.Request{ID: id, Customer: 1, Class: "look", Plan: "basic",
			Units: 1, Timeout: timeout, GatewayCount: 2}, forwarded)
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	if response := sendRequest(1); response.kind != rejected || response.retryAfter <= 0 {
		t.Errorf("got response %+v with only the saved list, want a rejection with Retry-After", response)
	}
	server.started = server.started.Add(-firstListTimeout)
	if !server.ready() {
		t.Errorf("got a process that is not ready after %v, want it ready without a list", firstListTimeout)
	}
	server.started = time.Now()
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	loop.Update(readyList(addr))
	if !server.ready() {
		t.Error("got a process that is not ready with a list from discovery, want it ready")
	}
	if response := sendRequest(2); response.kind != served {
		t.Errorf("got response %+v with a list from discovery, want it served", response)
	}
}

// newTestLoop returns a Loop with a new gateway for a configuration.
func newTestLoop(t *testing.T, config Config) *Loop {
	t.Helper()
	loop, err := NewLoop(config, NewBackends(config))
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// The lease of a list plus the time for opening a connection must be shorter than stalenessBound: after that time the
// gateway is expected to know every change that discovery received after it had confirmed the list.
func TestListLeaseEndsWithinStalenessBound(t *testing.T) {
	config := newTestConfig(t)
	if lease := listLease(config); lease != 0 {
		t.Errorf("got a lease of %v for pushed lists, want 0", lease)
	}
	config.Settings.SubscribeToList = true
	for _, connectTimeout := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		config.Connections.ConnectTimeout = connectTimeout
		if lease := listLease(config); lease+connectTimeout >= stalenessBound || lease < stalenessBound/2 {
			t.Errorf("got lease %v for connect timeout %v, want at least half of stalenessBound, and a sum below it",
				lease, connectTimeout)
		}
	}
}
