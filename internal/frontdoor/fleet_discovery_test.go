package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"herontiller/internal/gateway"
)

// busyDiscovery is a discovery service of fixed capacity: it serves one request after another, lets each wait in its
// queue for maxQueueWait at most, and refuses at once those that would have to wait for longer. That is how the
// bench's does it. While it is down it refuses connections, or, if holds, lets each request wait for maxQueueWait and
// refuses it then, as the bench's does.
type busyDiscovery struct {
	each  time.Duration // that a request takes it
	holds bool

	mu   sync.Mutex
	free time.Time // when it will have served all that wait
	up   context.Context
	cut  context.CancelFunc // ends all watches
	idle time.Duration      // time without a request although it was up
}

var errDown = errors.New("connection refused")

func newBusyDiscovery(each time.Duration) *busyDiscovery {
	d := &busyDiscovery{each: each}
	d.start()
	return d
}

func (d *busyDiscovery) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.free = time.Now()
	d.up, d.cut = context.WithCancel(context.Background())
}

// breakWatches ends all watches that are open; the service goes on.
func (d *busyDiscovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut()
	d.up, d.cut = context.WithCancel(context.Background())
}

// stop takes the service down until it is started again.
func (d *busyDiscovery) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut()
}

// enqueue takes a position in the queue, if there is one.
func (d *busyDiscovery) enqueue() (wait time.Duration, up context.Context, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.up.Err() != nil {
		return 0, nil, errDown
	}
	if now.After(d.free) {
		d.idle += now.Sub(d.free)
		d.free = now
	}
	wait = d.free.Sub(now) + d.each
	if wait > maxQueueWait {
		return 0, nil, nil
	}
	d.free = d.free.Add(d.each)
	return wait, d.up, nil
}

func (d *busyDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	refusal := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
	wait, up, err := d.enqueue()
	switch {
	case err != nil && d.holds && sleep(r.Context(), maxQueueWait):
		return refusal, nil
	case err != nil:
		return nil, err
	case up == nil:
		return refusal, nil
	case !sleep(r.Context(), wait):
		return nil, context.Cause(r.Context())
	case up.Err() != nil:
		return nil, errDown
	}
	ctx, end := context.WithCancel(r.Context())
	context.AfterFunc(up, end)
	whole := r.URL.RawQuery == ""
	list := fmt.Sprintf(`{"seq":1,"whole":%v,"hosts":[]}`+"\n", whole)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&lines{ctx, list, !whole, whole})}, nil
}

// followed is a follower that runs, and when its list was last confirmed.
type followed struct {
	started time.Time
	moves   chan string
	end     func()

	mu    sync.Mutex
	first time.Time // when it received the first list
	last  time.Time
}

// follow starts a follower of a fleet of 300.
func follow(d http.RoundTripper) *followed {
	config := Config{Discovery: "discovery", Settings: gateway.Settings{Gateways: 300, DrainGrace: 400 * time.Millisecond,
		SubscribeToList: true}}
	config.Connections.StalenessBound = 10 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	f := &followed{started: time.Now(), moves: make(chan string)}
	f.end = func() {
		stop()
		<-ended
	}
	go func() {
		defer close(ended)
		watchDiscoveryOver(ctx, d, config, f.moves, func(EndpointList) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.last = time.Now()
			if f.first.IsZero() {
				f.first = f.last
			}
		})
	}()
	return f
}

// listTimes gives the times of the first and the last list; zero: there was none.
func (f *followed) listTimes() (first, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.first, f.last
}

// late counts the followers that have received nothing since a moment, and fails where there are any.
func late(t *testing.T, fleet []*followed, after time.Time, what string) {
	t.Helper()
	count := 0
	for _, f := range fleet {
		if _, last := f.listTimes(); last.Before(after) {
			count++
		}
	}
	if count > 0 {
		t.Errorf("%s: %d of %d have received nothing in the %v since", what, count, len(fleet), time.Since(after))
	}
}

func followAll(d http.RoundTripper, count int) (fleet []*followed) {
	for range count {
		fleet = append(fleet, follow(d))
	}
	return fleet
}

func endAll(fleet []*followed) {
	for _, f := range fleet {
		f.end()
	}
}

// A tenth of a fleet is restarted every 1.5 s. The service can answer each tenth in 1.2 s, so each new process has its
// list soon, and nobody else is kept from anything.
func TestRestartedProcessesHaveTheirListSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newBusyDiscovery(40 * time.Millisecond)
		fleet := followAll(d, 300)
		time.Sleep(30 * time.Second)
		late(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the start")
		for tenth := range 10 {
			part := fleet[30*tenth : 30*tenth+30]
			endAll(part)
			copy(part, followAll(d, 30))
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(stalenessBound)
		slow := 0
		for _, f := range fleet {
			if first, _ := f.listTimes(); first.IsZero() || first.Sub(f.started) > stalenessBound/2 {
				slow++
			}
		}
		if slow > 0 {
			t.Errorf("%d of %d new processes had no list within %v", slow, len(fleet), stalenessBound/2)
		}
		late(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the end")
		endAll(fleet)
	})
}

// All of a fleet are moved to another discovery at once, which takes the service 42 s: two requests each. It is kept
// busy until all are done, and nine in ten of the processes that start meanwhile have a list within the time in which
// the pages want them to be ready, though most of the fleet has to wait for longer.
func TestAMoveOfAFleetLeavesRoomForNewProcesses(t *testing.T) {
	const each, readyWithin = 70 * time.Millisecond, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		second := newBusyDiscovery(each)
		fleet := followAll(&moved{newBusyDiscovery(time.Millisecond), second}, 300)
		time.Sleep(5 * time.Second)
		start := time.Now()
		for _, f := range fleet {
			f.moves <- "elsewhere"
		}
		time.Sleep(3 * time.Second)
		started := followAll(second, 30)
		time.Sleep(2 * stalenessBound)
		count := 0
		for _, f := range started {
			if first, _ := f.listTimes(); !first.IsZero() && first.Sub(f.started) <= readyWithin {
				count++
			}
		}
		if count < 27 {
			t.Errorf("%d of 30 new processes had a list within %v", count, readyWithin)
		}
		work := 630 * each
		time.Sleep(time.Until(start.Add(work + stalenessBound)))
		late(t, append(started, fleet...), time.Now().Add(-serviceIdleTimeout), "after a move")
		if second.idle > 3*time.Second+stalenessBound+work/20 { // before the first request, and after the last one
			t.Errorf("the service was idle for %v", second.idle)
		}
		endAll(append(started, fleet...))
	})
}

// moved is two discoveries: that of the address "discovery" and that of any other.
type moved struct{ first, second http.RoundTripper }

func (m *moved) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "discovery" {
		return m.first.RoundTrip(r)
	}
	return m.second.RoundTrip(r)
}

// What the service can answer within stalenessBound, it is asked in time: after it has been down for long, after all
// watches broke at once, and after all of a fleet were moved.
func TestNobodyIsLateWhereTheServiceCanAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		each time.Duration
		do   func(d *busyDiscovery, fleet []*followed)
	}{
		{"down for 8 s", 16 * time.Millisecond, func(d *busyDiscovery, _ []*followed) {
			d.stop()
			time.Sleep(8 * time.Second)
			d.start()
		}},
		{"all watches broke", 16 * time.Millisecond, func(d *busyDiscovery, _ []*followed) { d.breakWatches() }},
		{"all were moved", 8 * time.Millisecond, func(_ *busyDiscovery, fleet []*followed) {
			for _, f := range fleet {
				f.moves <- "elsewhere"
			}
		}},
		{"down for 8 s, and holds asks", 16 * time.Millisecond, func(d *busyDiscovery, _ []*followed) {
			d.holds = true
			d.stop()
			time.Sleep(8 * time.Second)
			d.start()
		}},
		{"down for 8 s, with seven in ten killed", 16 * time.Millisecond, func(d *busyDiscovery, fleet []*followed) {
			d.stop()
			time.Sleep(4 * time.Second)
			endAll(fleet[:210])
			copy(fleet, followAll(d, 210))
			time.Sleep(4 * time.Second)
			d.start()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newBusyDiscovery(c.each)
				fleet := followAll(d, 300)
				time.Sleep(30 * time.Second)
				late(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the start")
				c.do(d, fleet)
				start := time.Now()
				time.Sleep(stalenessBound)
				late(t, fleet, start, c.name)
				endAll(fleet)
			})
		})
	}
}

// Where it can't answer all of a fleet in that time, it is kept busy until it has.
func TestAServiceIsKeptBusyUntilAllAreAnswered(t *testing.T) {
	const each = 70 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newBusyDiscovery(each)
		d.holds = true
		fleet := followAll(d, 300)
		time.Sleep(60 * time.Second)
		d.stop()
		time.Sleep(8 * time.Second)
		d.start()
		start := time.Now()
		time.Sleep(300*each + maxBackoff + maxQueueWait)
		late(t, fleet, start, "down for 8 s")
		endAll(fleet)
	})
}

// An empty line confirms the list, but only after the watch has said what had changed before it.
func TestEmptyLinesConfirmTheList(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, line := range []string{"", `{"seq":7,"whole":false,"hosts":[]}`, "", ""} {
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
			time.Sleep(agentIdleTimeout / 10)
		}
	})
	var received []EndpointList
	f := newWatcher(&http.Transport{}, prompt, addr, 5, func(l EndpointList) { received = append(received, l) })
	err := f.watch(t.Context())
	if len(received) != 3 {
		t.Fatalf("received %+v, ended with %v", received, err)
	}
	for _, l := range received {
		if l.Version != 7 || l.Full || len(l.Endpoints) != 0 {
			t.Errorf("received %+v", l)
		}
	}
}
