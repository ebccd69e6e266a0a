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

// queueingDiscovery is a discovery service of fixed capacity. It serves one request at a time, queues each for up to
// maxQueueWait, and immediately rejects requests that would have to wait longer. While it is down it refuses
// connections or, if holdsWhenDown is set, rejects each request after maxQueueWait. The discovery service of the
// operators' test bench does the same, with holdsWhenDown.
type queueingDiscovery struct {
	serviceTime   time.Duration // per request
	holdsWhenDown bool

	mu         sync.Mutex
	freeAt     time.Time          // when all queued requests will have been served
	running    context.Context    // ends when the service stops or its watches are ended
	endWatches context.CancelFunc // ends running, and with it all watches
	idleTime   time.Duration      // time while up without a request
}

var errConnectionRefused = errors.New("connection refused")

// newQueueingDiscovery returns a discovery service that is up.
func newQueueingDiscovery(serviceTime time.Duration) *queueingDiscovery {
	d := &queueingDiscovery{serviceTime: serviceTime}
	d.start()
	return d
}

func (d *queueingDiscovery) start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeAt = time.Now()
	d.running, d.endWatches = context.WithCancel(context.Background())
}

// breakWatches ends all open watches, but the service keeps running.
func (d *queueingDiscovery) breakWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endWatches()
	d.running, d.endWatches = context.WithCancel(context.Background())
}

// stop takes the service down until it is started again.
func (d *queueingDiscovery) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endWatches()
}

// enqueue adds a request to the queue. It returns the time until it has been served and a context that ends with the
// service, errConnectionRefused if the service is down, or a nil context if the queue is full.
func (d *queueingDiscovery) enqueue() (wait time.Duration, running context.Context, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.running.Err() != nil {
		return 0, nil, errConnectionRefused
	}
	if now.After(d.freeAt) {
		d.idleTime += now.Sub(d.freeAt)
		d.freeAt = now
	}
	wait = d.freeAt.Sub(now) + d.serviceTime
	if wait > maxQueueWait {
		return 0, nil, nil
	}
	d.freeAt = d.freeAt.Add(d.serviceTime)
	return wait, d.running, nil
}

func (d *queueingDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	rejection := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
	wait, running, err := d.enqueue()
	switch {
	case err != nil && d.holdsWhenDown && sleep(r.Context(), maxQueueWait):
		return rejection, nil
	case err != nil:
		return nil, err
	case running == nil:
		return rejection, nil
	case !sleep(r.Context(), wait):
		return nil, context.Cause(r.Context())
	case running.Err() != nil:
		return nil, errConnectionRefused
	}
	ctx, end := context.WithCancel(r.Context())
	context.AfterFunc(running, end)
	full := r.URL.RawQuery == ""
	list := fmt.Sprintf(`{"seq":1,"whole":%v,"hosts":[]}`+"\n", full)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&listBody{ctx, list, !full, full})}, nil
}

// runningWatcher is a watcher in a goroutine of its own. It records when it received lists.
type runningWatcher struct {
	started   time.Time
	addresses chan string
	stop      func()

	mu            sync.Mutex
	firstList     time.Time // when it received the first list; zero: not yet
	lastConfirmed time.Time // when it last received a list or a heartbeat; zero: not yet
}

// startWatcher starts the watcher of one gateway in a fleet of 300, in which lists must be requested.
func startWatcher(transport http.RoundTripper) *runningWatcher {
	config := Config{Discovery: "discovery", Settings: gateway.Settings{Gateways: 300,
		DrainGrace: 400 * time.Millisecond, SubscribeToList: true}}
	config.Connections.ListRequestInterval = 10 * time.Second
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w := &runningWatcher{started: time.Now(), addresses: make(chan string)}
	w.stop = func() {
		stop()
		<-ended
	}
	go func() {
		defer close(ended)
		watchDiscoveryOver(ctx, transport, config, w.addresses, func(EndpointList) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.lastConfirmed = time.Now()
			if w.firstList.IsZero() {
				w.firstList = w.lastConfirmed
			}
		}, nil)
	}()
	return w
}

// listTimes returns when the first list was received and when a list was last received or confirmed; zero: not yet.
func (w *runningWatcher) listTimes() (firstList, lastConfirmed time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstList, w.lastConfirmed
}

// checkAllConfirmed fails the test if any watcher of a fleet has received neither a list nor a heartbeat since a time.
func checkAllConfirmed(t *testing.T, fleet []*runningWatcher, since time.Time, when string) {
	t.Helper()
	count := 0
	for _, w := range fleet {
		if _, lastConfirmed := w.listTimes(); lastConfirmed.Before(since) {
			count++
		}
	}
	if count > 0 {
		t.Errorf("%s: got %d of %d watchers without a list or heartbeat for %v, want 0", when, count, len(fleet),
			time.Since(since))
	}
}

// startWatchers starts count watchers that share a transport.
func startWatchers(transport http.RoundTripper, count int) (fleet []*runningWatcher) {
	for range count {
		fleet = append(fleet, startWatcher(transport))
	}
	return fleet
}

// stopWatchers stops watchers and waits until they have ended.
func stopWatchers(fleet []*runningWatcher) {
	for _, w := range fleet {
		w.stop()
	}
}

// Every 1.5 s a tenth of the fleet is restarted. The service can answer the requests of a tenth in 1.2 s, so each new
// process must receive its list soon, and the requests must not delay the other gateways.
func TestRestartedGatewaysReceiveListSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		discovery := newQueueingDiscovery(40 * time.Millisecond)
		fleet := startWatchers(discovery, 300)
		time.Sleep(30 * time.Second)
		checkAllConfirmed(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the start")
		for tenth := range 10 {
			restarted := fleet[30*tenth : 30*tenth+30]
			stopWatchers(restarted)
			copy(restarted, startWatchers(discovery, 30))
			time.Sleep(1500 * time.Millisecond)
		}
		time.Sleep(stalenessBound)
		slow := 0
		for _, w := range fleet {
			if firstList, _ := w.listTimes(); firstList.IsZero() || firstList.Sub(w.started) > stalenessBound/2 {
				slow++
			}
		}
		if slow > 0 {
			t.Errorf("got %d of %d new processes without a list within %v, want 0", slow, len(fleet), stalenessBound/2)
		}
		checkAllConfirmed(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the end")
		stopWatchers(fleet)
	})
}

// When the address of discovery changes for the whole fleet at once, the new service needs 42 s to answer: each of the
// 300 gateways sends two requests of 70 ms. The service must be busy until all have their lists. Most of the fleet has
// to wait longer than readyWithin, the time within which the protocol requires a new process to be ready, but nine in
// ten of the processes that start meanwhile must have a list in that time.
func TestFleetAddressChangeLeavesCapacityForNewProcesses(t *testing.T) {
	const serviceTime, readyWithin = 70 * time.Millisecond, 10 * time.Second
	synctest.Test(t, func(t *testing.T) {
		newDiscovery := newQueueingDiscovery(serviceTime)
		fleet := startWatchers(&addressedDiscovery{newQueueingDiscovery(time.Millisecond), newDiscovery}, 300)
		time.Sleep(5 * time.Second)
		start := time.Now()
		for _, w := range fleet {
			w.addresses <- "elsewhere"
		}
		time.Sleep(3 * time.Second)
		newWatchers := startWatchers(newDiscovery, 30)
		time.Sleep(2 * stalenessBound)
		inTime := 0
		for _, w := range newWatchers {
			if firstList, _ := w.listTimes(); !firstList.IsZero() && firstList.Sub(w.started) <= readyWithin {
				inTime++
			}
		}
		if inTime < 27 {
			t.Errorf("got %d of 30 new processes with a list within %v, want at least 27", inTime, readyWithin)
		}
		totalServiceTime := 630 * serviceTime
		time.Sleep(time.Until(start.Add(totalServiceTime + stalenessBound)))
		checkAllConfirmed(t, append(newWatchers, fleet...), time.Now().Add(-serviceIdleTimeout), "after the change")
		// The service is idle before the first and after the last request.
		if newDiscovery.idleTime > 3*time.Second+stalenessBound+totalServiceTime/20 {
			t.Errorf("got idle time %v, want at most 3 s, stalenessBound and a twentieth of the total service time",
				newDiscovery.idleTime)
		}
		stopWatchers(append(newWatchers, fleet...))
	})
}

// addressedDiscovery routes requests for the address "discovery" to the original service, all others to the other one.
type addressedDiscovery struct{ original, other http.RoundTripper }

func (d *addressedDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == "discovery" {
		return d.original.RoundTrip(r)
	}
	return d.other.RoundTrip(r)
}

// If the service can answer the whole fleet within stalenessBound, every gateway must receive a list within that time
// after the service was down for long, all watches broke at once or the address changed for the whole fleet. Gateways
// that back off for too long would leave the service idle and receive their lists late.
func TestFleetReceivesListsWithinStalenessBound(t *testing.T) {
	for _, test := range []struct {
		name        string
		serviceTime time.Duration
		disrupt     func(d *queueingDiscovery, fleet []*runningWatcher)
	}{
		{"down for 8 s", 16 * time.Millisecond, func(d *queueingDiscovery, _ []*runningWatcher) {
			d.stop()
			time.Sleep(8 * time.Second)
			d.start()
		}},
		{"all watches broke", 16 * time.Millisecond, func(d *queueingDiscovery, _ []*runningWatcher) {
			d.breakWatches()
		}},
		{"address changed for all", 8 * time.Millisecond, func(_ *queueingDiscovery, fleet []*runningWatcher) {
			for _, w := range fleet {
				w.addresses <- "elsewhere"
			}
		}},
		{"down for 8 s, holding requests", 16 * time.Millisecond, func(d *queueingDiscovery, _ []*runningWatcher) {
			d.holdsWhenDown = true
			d.stop()
			time.Sleep(8 * time.Second)
			d.start()
		}},
		{"down for 8 s, 70% restarted", 16 * time.Millisecond, func(d *queueingDiscovery, fleet []*runningWatcher) {
			d.stop()
			time.Sleep(4 * time.Second)
			stopWatchers(fleet[:210])
			copy(fleet, startWatchers(d, 210))
			time.Sleep(4 * time.Second)
			d.start()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				discovery := newQueueingDiscovery(test.serviceTime)
				fleet := startWatchers(discovery, 300)
				time.Sleep(30 * time.Second)
				checkAllConfirmed(t, fleet, time.Now().Add(-serviceIdleTimeout), "at the start")
				test.disrupt(discovery, fleet)
				start := time.Now()
				time.Sleep(stalenessBound)
				checkAllConfirmed(t, fleet, start, test.name)
				stopWatchers(fleet)
			})
		})
	}
}

// If the service can't answer the whole fleet within stalenessBound, it must be busy until it has answered all of it.
func TestServiceIsBusyUntilFleetHasLists(t *testing.T) {
	const serviceTime = 70 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		discovery := newQueueingDiscovery(serviceTime)
		discovery.holdsWhenDown = true
		fleet := startWatchers(discovery, 300)
		time.Sleep(60 * time.Second)
		discovery.stop()
		time.Sleep(8 * time.Second)
		discovery.start()
		start := time.Now()
		time.Sleep(300*serviceTime + maxBackoff + maxQueueWait)
		checkAllConfirmed(t, fleet, start, "down for 8 s")
		stopWatchers(fleet)
	})
}

// A heartbeat confirms the list, but only after the watch has sent its first list, which has what changed before the
// watch began.
func TestHeartbeatsConfirmList(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for _, line := range []string{"", `{"seq":7,"whole":false,"hosts":[]}`, "", ""} {
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
			time.Sleep(agentIdleTimeout / 10)
		}
	})
	var received []EndpointList
	testWatcher := newWatcher(&http.Transport{}, agentPolicy, addr, 5,
		func(list EndpointList) { received = append(received, list) })
	err := testWatcher.watch(t.Context())
	if len(received) != 3 {
		t.Fatalf("got lists %+v and error %v, want 3 lists", received, err)
	}
	for _, list := range received {
		if list.Version != 7 || list.Full || len(list.Endpoints) != 0 {
			t.Errorf("got list %+v, want an empty list of changes of version 7", list)
		}
	}
}
