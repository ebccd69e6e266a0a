package frontdoor

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// Where the list must be requested, a new process is not ready, and sends nothing by the list of its configuration,
// until discovery has sent one; after firstListTimeout it is ready all the same. Where lists are pushed, it is ready
// at once.
func TestReadyWithTheFirstList(t *testing.T) {
	c := newTestConfig(t)
	if !NewServer(c, mustLoop(t, c)).ready() {
		t.Error("not ready where lists are pushed")
	}
	c.Settings.SubscribeToList = true
	c.SavedList = readyList("127.0.0.1:7")
	loop := mustLoop(t, c)
	clients := NewServer(c, loop)
	if clients.ready() {
		t.Error("ready without a list")
	}
	patience := time.Second
	ask := func(id gateway.RequestID) finalResponse {
		msg := &forwardedRequest{method: http.MethodGet, target: "/look", host: "origin.svc", header: http.Header{}}
		a, err := loop.Serve(t.Context(), gateway.Request{ID: id, Customer: 1, Class: "look", Plan: "basic", Units: 1,
			Timeout: patience, GatewayCount: 2}, msg)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	if a := ask(1); a.kind != rejected || a.retryAfter <= 0 {
		t.Errorf("by the list of its configuration: %+v", a)
	}
	clients.started = clients.started.Add(-firstListTimeout)
	if !clients.ready() {
		t.Errorf("not ready after %v", firstListTimeout)
	}
	clients.started = time.Now()
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	loop.Update(readyList(addr))
	if !clients.ready() {
		t.Error("not ready with a list")
	}
	if a := ask(2); a.kind != served {
		t.Errorf("by a list that discovery sent: %+v", a)
	}
}

func mustLoop(t *testing.T, c Config) *Loop {
	t.Helper()
	loop, err := NewLoop(c, NewBackends(c))
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// The lease of a list ends, with the time that a connection may take to come up, before what discovery may have had
// since counts as known.
func TestListLeaseEndsInTime(t *testing.T) {
	c := newTestConfig(t)
	if lease := listLease(c); lease != 0 {
		t.Errorf("a lease of %v where lists are pushed", lease)
	}
	c.Settings.SubscribeToList = true
	for _, connect := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second} {
		c.Connections.ConnectTimeout = connect
		if lease := listLease(c); lease+connect >= stalenessBound || lease < stalenessBound/2 {
			t.Errorf("a lease of %v with connections that take up to %v", lease, connect)
		}
	}
}
