package frontdoor

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"herontiller/internal/gateway"
)

// One hiccup ends the watches of all instances at once. Discovery must be able to answer them all soon, though it takes
// 70 ms over each request and refuses those at once that would have to wait for longer than 2 s.
func TestInstancesReturnToDiscoveryOneByOne(t *testing.T) {
	const doors, each, patience, length = 80, 70 * time.Millisecond, 2 * time.Second, 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), length)
		defer stop()
		start := time.Now()
		var mu sync.Mutex
		free := start.Add(patience) // the first requests have just come, all together, and failed
		back, last, asks := 0, time.Duration(0), 0
		busy := func(first bool) roundTrip {
			return func(r *http.Request) (*http.Response, error) {
				answer := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
				if first {
					first = false
					return answer, nil
				}
				mu.Lock()
				asks++
				turn := time.Unix(0, max(free.UnixNano(), time.Now().UnixNano())).Add(each)
				wait := time.Until(turn)
				if wait > patience {
					mu.Unlock()
					return answer, nil
				}
				free = turn
				mu.Unlock()
				sleep(r.Context(), wait)
				mu.Lock()
				back, last = back+1, time.Since(start)
				mu.Unlock()
				<-ctx.Done() // the watch lasts
				return nil, ctx.Err()
			}
		}
		var all sync.WaitGroup
		for range doors {
			all.Go(func() {
				newWatcher(busy(true), retryPolicy{sharedService: true}, "discovery", 1, func(EndpointList) {}).keepWatching(ctx)
			})
		}
		all.Wait()
		t.Logf("%d doors back after %v and %d asks", back, last, asks)
		if back < doors {
			t.Errorf("%d of %d doors were back after %v and %d asks", back, doors, length, asks)
		}
	})
}

// Pauses are drawn from all of what a failure calls for, and never from more.
func TestPausesStayInBounds(t *testing.T) {
	const grace, mustAsk = time.Second, 800 * time.Millisecond
	service := retryPolicy{sharedService: true, drainGrace: grace}
	strict := retryPolicy{sharedService: true, drainGrace: grace, staleAfterFailure: mustAsk}
	broken, full := io.ErrUnexpectedEOF, &statusError{elapsed: 4 * time.Millisecond}
	late := &statusError{elapsed: maxQueueWait}
	for _, c := range []struct {
		name    string
		pace    retryPolicy
		failure failure
		most    time.Duration
	}{
		{"a broken watch", service, failure{err: broken, consecutive: 1, hasList: true, slack: 4 * time.Second}, baseBackoff},
		{"four breaks", service, failure{err: broken, consecutive: 4, hasList: true}, 8 * baseBackoff},
		{"many breaks", service, failure{err: broken, consecutive: 1 << 40, hasList: true}, maxBackoff},
		{"many breaks, and no list", service, failure{err: broken, consecutive: 1 << 40}, maxBackoffWithoutList},
		{"refused with time left", service, failure{err: full, consecutive: 2, hasList: true, slack: 2 * time.Second}, 2 * time.Second},
		{"refused with little time left", service, failure{err: full, consecutive: 2, hasList: true, slack: 1}, baseBackoff},
		{"refused with no time left", service, failure{err: full, consecutive: 2, hasList: true, slack: -time.Hour}, maxBackoffOverloaded},
		{"refused often, and no list", service, failure{err: full, consecutive: 1 << 40}, baseBackoff},
		{"refused late", service, failure{err: late, consecutive: 1, hasList: true, slack: 4 * time.Second}, baseBackoff},
		{"refused late many times", service, failure{err: late, consecutive: 1 << 40, hasList: true}, maxBackoff},
		{"refused late many times, and no list", service, failure{err: late, consecutive: 1 << 40}, maxBackoffWithoutList},
		{"refused where one must ask soon", strict, failure{err: full, consecutive: 1, hasList: true}, mustAsk},
		{"an agent", retryPolicy{drainGrace: grace}, failure{err: broken, consecutive: 1}, grace / 4},
		{"an agent, many times", retryPolicy{drainGrace: grace}, failure{err: full, consecutive: 1 << 40}, grace / 4},
	} {
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, c.pace.backoff(c.failure))
		}
		if longest >= c.most || longest < c.most*3/4 {
			t.Errorf("%s: pauses up to %v, %v wanted", c.name, longest, c.most)
		}
	}
}

// An instance that starts with an old list of a large fleet has DrainGrace to learn which of its backends drain, where
// an agent of its own machine knows it: it sends a request before anything else can happen, and again soon if that
// failed. The same holds from the moment on in which an agent that was silent answers again.
func TestAnAgentIsRequestedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		start := time.Now()
		var requested []time.Duration
		silent := roundTrip(func(r *http.Request) (*http.Response, error) {
			requested = append(requested, time.Since(start))
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		const grace = 400 * time.Millisecond
		p := newRetryPolicy(Config{Settings: gateway.Settings{Gateways: 300, DrainGrace: grace}})
		newWatcher(silent, p, "agent", 1, func(EndpointList) {}).keepWatching(ctx)
		if len(requested) == 0 || requested[0] > 0 {
			t.Fatalf("asked first at %v", requested)
		}
		for i, at := range requested[1:] {
			if gap := at - requested[i]; gap >= grace {
				t.Errorf("a silent agent was asked again after %v", gap)
			}
		}
	})
}
