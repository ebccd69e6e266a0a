package frontdoor

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// A new process must not be ready until discovery has sent a list: it would have to reject what other gateways can
// serve. After firstListTimeout it is ready even without one. Until it has a list it must use the saved list of its
// configuration for the first moments only, and not at all if lists must be requested.
func TestReadyAfterFirstList(t *testing.T) {
	for name, subscribe := range map[string]bool{"pushed lists": false, "requested lists": true} {
		t.Run(name, func(t *testing.T) {
			config := newTestConfig(t)
			config.Settings.SubscribeToList = subscribe
			testReadyAfterFirstList(t, config)
		})
	}
}

func testReadyAfterFirstList(t *testing.T, config Config) {
	config.SavedList = readyList("127.0.0.1:7")
	loop := newTestLoop(t, config)
	server := NewServer(config, loop)
	if !config.Settings.SubscribeToList {
		time.Sleep(savedListTime(config))
	}
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

// After a change of discovery's address, no list of the previous discovery may be taken for one of the new one: the
// change must be reported after the last update from the previous address.
func TestAddressChangeIsReportedAfterLastUpdate(t *testing.T) {
	agent := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"seq":7,"whole":true,"hosts":[]}`)
		for r.Context().Err() == nil { // heartbeats without a pause
			w.(http.Flusher).Flush()
			fmt.Fprintln(w)
		}
	})
	silentAgent := startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	ctx, cancel := context.WithCancel(t.Context())
	addresses, ended := make(chan string), make(chan bool)
	var updates, updatesAtChange atomic.Int64
	changed := make(chan bool, 1)
	go func() {
		WatchDiscovery(ctx, Config{Discovery: agent}, addresses, func(EndpointList) { updates.Add(1) }, func() {
			updatesAtChange.Store(updates.Load())
			changed <- true
		})
		close(ended)
	}()
	for updates.Load() < 10 {
		time.Sleep(time.Millisecond)
	}
	addresses <- silentAgent
	awaitSignal(t, changed, "the change of the address")
	time.Sleep(100 * time.Millisecond)
	cancel()
	<-ended
	if got, want := updates.Load(), updatesAtChange.Load(); got != want {
		t.Errorf("got %d updates after the change of the address, want none", got-want)
	}
}

// DiscoveryChanged must limit the use of the present list, and a new process that of the saved list.
func TestLoopLimitsTheUseOfUnconfirmedLists(t *testing.T) {
	config := newTestConfig(t)
	handler := newScriptedHandler(nil)
	loop := newLoop(clock{time.Now()}, handler, NewBackends(config))
	loop.DiscoveryChanged()
	if got := nextEvent[gateway.ListExpiry](t, handler).After; got != reloadBound {
		t.Errorf("got an expiry of the list after %v, want it after %v", got, reloadBound)
	}
	for _, drainGrace := range []time.Duration{0, 300 * time.Millisecond, 2 * time.Second} {
		config.Settings.DrainGrace = drainGrace
		limit := drainGrace
		if limit == 0 {
			limit = defaultDrainGrace
		}
		if got := savedListTime(config); got <= 0 || got >= limit {
			t.Errorf("got %v for the saved list, want a time below DrainGrace, %v", got, limit)
		}
	}
}
