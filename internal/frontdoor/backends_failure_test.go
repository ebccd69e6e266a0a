package frontdoor

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// Data after a response would be read as the response to the next request on the connection, and a client would receive
// the response to another request. So such a connection must not be reused. Data right behind a response that is not a
// copy of it may be the rest of its body, so the response is not used either.
func TestConnectionWithSurplusDataIsNotReused(t *testing.T) {
	for name, test := range map[string]struct {
		surplus       string
		wantImmediate gateway.Result // where the surplus comes in one write with the response
	}{
		"second response": {okResponse, gateway.Answered},
		"garbage":         {"\xb1`bS]1", gateway.Unknown},
	} {
		for _, delayed := range []bool{false, true} {
			conns := map[net.Conn]bool{}
			addr := startRawBackend(t, func(n int, conn net.Conn) {
				conns[conn] = true
				if delayed {
					io.WriteString(conn, okResponse)
					time.Sleep(reuseCooldown / 2)
					io.WriteString(conn, test.surplus)
				} else {
					io.WriteString(conn, okResponse+test.surplus)
				}
			})
			want, wantBody := test.wantImmediate, ""
			if delayed {
				want = gateway.Answered
			}
			if want == gateway.Answered {
				wantBody = "ok"
			}
			backends, id := newTestBackends(t, addr)
			for range 3 {
				if got := backends.send(t.Context(), t.Context(), id, lookRequest); got.result != want ||
					string(got.body) != wantBody {
					t.Errorf("%s, delayed %v: got %v with body %q, want %v with %q", name, delayed, got.result, got.body,
						want, wantBody)
				}
				time.Sleep(2 * reuseCooldown)
			}
			if len(conns) != 3 {
				t.Errorf("%s: got %d connections for 3 requests, want 3", name, len(conns))
			}
		}
	}
}

// A malformed response must close only its own connection; the other connections remain usable.
func TestMalformedResponseClosesOnlyItsConnection(t *testing.T) {
	respond, received := make(chan bool), make(chan bool, 2)
	addr := startRawBackend(t, func(number int, conn net.Conn) {
		if number <= 2 {
			received <- true
			<-respond
		}
		if number == 3 {
			io.WriteString(conn, "noise\r\n\r\n")
		} else {
			io.WriteString(conn, okResponse)
		}
	})
	backends, id := newTestBackends(t, addr)
	done := make(chan bool, 2)
	for range 2 {
		go func() { backends.send(t.Context(), t.Context(), id, lookRequest); done <- true }()
		awaitSignal(t, received, "two concurrent requests")
	}
	close(respond)
	awaitSignal(t, done, "the first response")
	awaitSignal(t, done, "the second response")
	time.Sleep(2 * reuseCooldown)
	if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Unknown {
		t.Errorf("attempt with a malformed response: got %v, want Unknown", outcome.result)
	}
	backends.pool.mu.Lock()
	defer backends.pool.mu.Unlock()
	if backends.pool.openCount != 1 || backends.pool.idleConns.Len() != 1 {
		t.Errorf("got %d connections, %d of them idle; want only the other one, idle", backends.pool.openCount,
			backends.pool.idleConns.Len())
	}
}

// Backends are replaced all the time. No state of a backend that is gone may be kept, and a new backend at its address
// must neither receive requests on its connections nor get its ID.
func TestGoneBackendsAreRemoved(t *testing.T) {
	conns := map[net.Conn]bool{}
	addr := startRawBackend(t, func(_ int, conn net.Conn) { conns[conn] = true; io.WriteString(conn, okResponse) })
	backends := NewBackends(newTestConfig(t))
	ids := map[gateway.BackendID]bool{}
	for i := range 20 {
		list := EndpointList{Endpoints: []Endpoint{{Host: "s-" + string(rune('a'+i)), Address: addr, State: "Ready"}}}
		id := backends.update(list, clock{time.Now()})[0].ID
		ids[id] = true
		if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Answered {
			t.Fatal(outcome.result)
		}
		if i > 0 { // a new backend is listed before the previous one is gone
			list.Endpoints[0].Host, list.Endpoints[0].State = "s-"+string(rune('a'+i-1)), "Gone"
			backends.update(list, clock{time.Now()})
		}
	}
	if len(ids) != 20 || len(conns) != 20 {
		t.Errorf("got %d IDs and %d connections for 20 backends, want 20 each", len(ids), len(conns))
	}
	if len(backends.byHost) != 1 || len(backends.byID) != 1 || backends.pool.openCount != 1 ||
		backends.pool.idleConns.Len() != 1 {
		t.Errorf("got %d hosts, %d IDs and %d connections at the end, want 1 each and the connection idle",
			len(backends.byHost), len(backends.byID), backends.pool.openCount)
	}
}

// A hung connection accepts a request and never delivers a response, while its backend responds immediately on all
// other connections. The request must be served by another backend long before the client's timeout, and the hung
// connection closed. A keyed request must not leave its cell, as only there are its duplicates detected.
func TestRequestOnHungConnectionIsRetriedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		class      string
		cell       int // of the second backend; the first one is in cell 0
		wantServed bool
	}{
		"safe":              {"look", 1, true},
		"keyed, same cell":  {"pay", 0, true},
		"keyed, other cell": {"pay", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hang atomic.Bool
			var attempts atomic.Int64 // since hang was set; only the first one hangs
			handler := func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				if hang.Load() && attempts.Add(1) == 1 {
					<-r.Context().Done()
					return
				}
				io.WriteString(w, "ok")
			}
			list := readyList(startHTTPServer(t, handler), startHTTPServer(t, handler))
			list.Endpoints[1].Cell = test.cell
			instance := startGateway(t, nil)
			instance.loop.Update(list)
			send := func(id int, timeout string) (*http.Response, string) {
				return doRequest(t, instance.newRequest(t, test.class, func(r *http.Request) {
					r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
					r.Header.Set("Request-Timeout", timeout)
				}))
			}
			for id := range 200 { // so that the gateway learns the usual latency
				if res, _ := send(id, "20.5"); res.StatusCode != http.StatusOK {
					t.Fatalf("request before the hang: got %d, want 200", res.StatusCode)
				}
			}
			hang.Store(true)
			timeout := "3600" // limited to the class's deadline, which is longer than testTimeout
			if !test.wantServed {
				timeout = "3"
			}
			res, body := send(1000, timeout)
			if got := res.StatusCode == http.StatusOK && body == "ok"; got != test.wantServed {
				t.Errorf("got %d %q, want served: %v", res.StatusCode, body, test.wantServed)
			}
			if want := int64(1 + boolToInt(test.wantServed)); attempts.Load() != want {
				t.Errorf("got %d attempts, want %d", attempts.Load(), want)
			}
		})
	}
}

// A backend with one attempt that had no response for a long time must be used again within seconds, as only the
// connection may have failed. Otherwise the ratio of the hang to the usual latency would determine for how long the
// backend isn't used.
func TestBackendIsUsedAgainAfterHungAttempt(t *testing.T) {
	t.Parallel()
	// The number of the backend that has hung once, from 1; 0: none so far; -1: the next attempt hangs.
	var hungBackend atomic.Int64
	var laterAttempts atomic.Int64 // at that backend
	handler := func(number int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if hungBackend.Load() == -1 {
				hungBackend.Store(number)
				<-r.Context().Done()
				return
			}
			if hungBackend.Load() == number {
				laterAttempts.Add(1)
			}
			io.WriteString(w, "ok")
		}
	}
	list := readyList(startHTTPServer(t, handler(1)), startHTTPServer(t, handler(2)))
	list.Endpoints[1].Cell = 1 // so that a keyed request can't be retried at the other backend
	instance := startGateway(t, nil)
	instance.loop.Update(list)
	send := func(id int, timeout string) int {
		res, _ := doRequest(t, instance.newRequest(t, "pay", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("Request-Timeout", timeout)
		}))
		return res.StatusCode
	}
	id := 0
	for ; id < 200; id++ {
		if status := send(id, "20.5"); status != http.StatusOK {
			t.Fatalf("request before the hang: got %d, want 200", status)
		}
	}
	hungBackend.Store(-1)
	if status := send(id, "1"); status == http.StatusOK {
		t.Fatal("request whose attempt hangs: got 200, want an error")
	}
	for deadline := time.Now().Add(testTimeout); laterAttempts.Load() == 0; id++ {
		if time.Now().After(deadline) {
			t.Fatalf("backend %d, which hung once, got no attempt within %v, want one", hungBackend.Load(), testTimeout)
		}
		time.Sleep(5 * time.Millisecond) // keeps the customer within its quota
		if status := send(id+1, "20.5"); status != http.StatusOK {
			t.Fatalf("request after the hang: got %d, want 200", status)
		}
	}
}

// Responses may report the meter readings of a customer out of order, so that one meter period appears more than once.
// A customer that stays within its quota, both by its own count and by every reading, must not be rejected for that.
func TestMeterReadingsOutOfOrderCauseNoRejection(t *testing.T) {
	t.Parallel()
	var responses atomic.Int64
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-RateLimit-Used", fmt.Sprint(40+responses.Add(1)%2))
		io.WriteString(w, "ok")
	}))
	ticker := time.NewTicker(260 * time.Millisecond) // slightly more than half a meter period
	defer ticker.Stop()
	for id := range 34 {
		<-ticker.C
		res, _ := doRequest(t, instance.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("X-Tier", "tiny")
			r.Header.Set("X-Call-Terms", "units=0.05,spread=1,first=0") // 0.19 units/s; the quota is 0.5 units/s
		}))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: got %d, want 200", id, res.StatusCode)
		}
	}
}
