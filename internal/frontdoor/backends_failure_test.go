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

// What comes behind an answer would be read as the answer to the next request on the connection, and a client would
// be served what was made for another.
func TestConnectionWithSurplusDataIsNotReused(t *testing.T) {
	for name, surplus := range map[string]string{"second copy": okResponse, "noise": "\xb1`bS]1"} {
		for _, delayed := range []bool{false, true} {
			conns := map[net.Conn]bool{}
			addr := startRawBackend(t, func(n int, conn net.Conn) {
				conns[conn] = true
				if delayed {
					io.WriteString(conn, okResponse)
					time.Sleep(reuseCooldown / 2)
					io.WriteString(conn, surplus)
				} else {
					io.WriteString(conn, okResponse+surplus)
				}
			})
			backends, id := newTestBackends(t, addr)
			for range 3 {
				if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Answered || string(outcome.body) != "ok" {
					t.Errorf("%s: %v %q", name, outcome.result, outcome.body)
				}
				time.Sleep(2 * reuseCooldown)
			}
			if len(conns) != 3 {
				t.Errorf("%s: 3 requests on %d connections", name, len(conns))
			}
		}
	}
}

// One malformed response closes its own connection only: the others are as good as before.
func TestMalformedResponseClosesOnlyItsConnection(t *testing.T) {
	respond, received := make(chan bool), make(chan bool, 2)
	addr := startRawBackend(t, func(n int, conn net.Conn) {
		if n <= 2 {
			received <- true
			<-respond
		}
		if n == 3 {
			io.WriteString(conn, "noise\r\n\r\n")
		} else {
			io.WriteString(conn, okResponse)
		}
	})
	backends, id := newTestBackends(t, addr)
	done := make(chan bool, 2)
	for range 2 {
		go func() { backends.send(t.Context(), t.Context(), id, lookRequest); done <- true }()
		awaitSignal(t, received, "two requests at once")
	}
	close(respond)
	awaitSignal(t, done, "the first answer")
	awaitSignal(t, done, "the second answer")
	time.Sleep(2 * reuseCooldown)
	if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Unknown {
		t.Errorf("a spoilt answer ended as %v", outcome.result)
	}
	backends.pool.mu.Lock()
	defer backends.pool.mu.Unlock()
	if backends.pool.openCount != 1 || backends.pool.idleConns.Len() != 1 {
		t.Errorf("%d connections, %d idle, want the one that was not spoilt", backends.pool.openCount, backends.pool.idleConns.Len())
	}
}

// Backends are replaced all day long: nothing may be kept of one that is gone, and none that comes at its address may
// be sent anything on its connections, nor bear its id.
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
		if i > 0 { // the next one is there before the last is gone
			list.Endpoints[0].Host, list.Endpoints[0].State = "s-"+string(rune('a'+i-1)), "Gone"
			backends.update(list, clock{time.Now()})
		}
	}
	if len(ids) != 20 || len(conns) != 20 {
		t.Errorf("20 backends had %d ids and %d connections", len(ids), len(conns))
	}
	if len(backends.byHost) != 1 || len(backends.byID) != 1 || backends.pool.openCount != 1 || backends.pool.idleConns.Len() != 1 {
		t.Errorf("held: %d hosts, %d ids, %d connections", len(backends.byHost), len(backends.byID), backends.pool.openCount)
	}
}

// A connection that has gone silent takes a request and never answers, while its backend serves all others at once.
// The request must be served by another backend long before its client gives up, the silent connection closed, and
// what is keyed must not leave the cell that drops its repeats.
func TestRequestOnHungConnectionIsRetriedElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		class  string
		cell   int // of the second backend; the first one's is 0
		served bool
	}{
		"safe":                  {"look", 1, true},
		"keyed, in the cell":    {"pay", 0, true},
		"keyed, no other there": {"pay", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hang atomic.Bool
			var attempts atomic.Int64 // attempts since then
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
			for id := range 200 { // so that the gateway knows how long an answer takes
				if res, _ := send(id, "20.5"); res.StatusCode != http.StatusOK {
					t.Fatalf("an ordinary request was answered %d", res.StatusCode)
				}
			}
			hang.Store(true)
			timeout := "3600" // cut to the class's deadline, which is longer than the test's patience
			if !test.served {
				timeout = "3"
			}
			res, body := send(1000, timeout)
			if got := res.StatusCode == http.StatusOK && body == "ok"; got != test.served {
				t.Errorf("answered %d %q, served: want %v", res.StatusCode, body, test.served)
			}
			if want := int64(1 + boolToInt(test.served)); attempts.Load() != want {
				t.Errorf("%d attempts were made, want %d", attempts.Load(), want)
			}
		})
	}
}

// A backend that left one attempt unanswered for long, and that may well be the connection's fault, must be tried again
// within seconds: it would else be shunned for as long as the silence was long against an ordinary answer.
func TestBackendIsUsedAgainAfterHungAttempt(t *testing.T) {
	t.Parallel()
	var hungBackend atomic.Int64 // which backend keeps silent, from 1
	var attemptsAfter atomic.Int64
	handler := func(number int64) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			if hungBackend.Load() == -1 {
				hungBackend.Store(number)
				<-r.Context().Done()
				return
			}
			if hungBackend.Load() == number {
				attemptsAfter.Add(1)
			}
			io.WriteString(w, "ok")
		}
	}
	list := readyList(startHTTPServer(t, handler(1)), startHTTPServer(t, handler(2)))
	list.Endpoints[1].Cell = 1 // so that a keyed attempt can't be made elsewhere
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
			t.Fatalf("an ordinary request was answered %d", status)
		}
	}
	hungBackend.Store(-1)
	if status := send(id, "1"); status == http.StatusOK {
		t.Fatal("a request that was not answered was served")
	}
	for deadline := time.Now().Add(testTimeout); attemptsAfter.Load() == 0; id++ {
		if time.Now().After(deadline) {
			t.Fatalf("backend %d, silent once, is not tried again in %v", hungBackend.Load(), testTimeout)
		}
		time.Sleep(5 * time.Millisecond) // so that the customer stays within its quota
		if status := send(id+1, "20.5"); status != http.StatusOK {
			t.Fatalf("an ordinary request was answered %d", status)
		}
	}
}

// Answers that report a customer's use out of order report one period more than once. A customer that stays within its
// quota, by its own count and by every reading, must not be refused for that.
func TestMeterReadingsOutOfOrderCauseNoRejection(t *testing.T) {
	t.Parallel()
	var responses atomic.Int64
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-RateLimit-Used", fmt.Sprint(40+responses.Add(1)%2))
		io.WriteString(w, "ok")
	}))
	ticker := time.NewTicker(260 * time.Millisecond) // a little over half the meter's period
	defer ticker.Stop()
	for id := range 34 {
		<-ticker.C
		res, _ := doRequest(t, instance.newRequest(t, "look", func(r *http.Request) {
			r.Header.Set("Request-Id", fmt.Sprintf("%016x", id))
			r.Header.Set("X-Tier", "tiny")
			r.Header.Set("X-Call-Terms", "units=0.05,spread=1,first=0") // 0.19 units a second of 0.5
		}))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d was answered %d", id, res.StatusCode)
		}
	}
}
