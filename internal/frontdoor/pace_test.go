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

// After a failure that ends the watches of all gateways at once, discovery must be able to answer all of them soon. It
// needs 70 ms for each request and immediately rejects requests that would have to wait longer than 2 s.
func TestWatchesReconnectAfterSimultaneousFailure(t *testing.T) {
	const gateways, serviceTime, queueTimeout, duration = 80, 70 * time.Millisecond, 2 * time.Second, 15 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), duration)
		defer stop()
		start := time.Now()
		var mu sync.Mutex
		freeAt := start.Add(queueTimeout) // the first requests, all at once, have filled the queue
		reconnected, lastReconnect, requests := 0, time.Duration(0), 0
		newDiscovery := func(rejectFirst bool) roundTripFunc {
			return func(r *http.Request) (*http.Response, error) {
				rejection := &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}
				if rejectFirst {
					rejectFirst = false
					return rejection, nil
				}
				mu.Lock()
				requests++
				servedAt := time.Unix(0, max(freeAt.UnixNano(), time.Now().UnixNano())).Add(serviceTime)
				wait := time.Until(servedAt)
				if wait > queueTimeout {
					mu.Unlock()
					return rejection, nil
				}
				freeAt = servedAt
				mu.Unlock()
				sleep(r.Context(), wait)
				mu.Lock()
				reconnected, lastReconnect = reconnected+1, time.Since(start)
				mu.Unlock()
				<-ctx.Done() // the watch stays open
				return nil, ctx.Err()
			}
		}
		var watchers sync.WaitGroup
		for range gateways {
			watchers.Go(func() {
				newWatcher(newDiscovery(true), retryPolicy{sharedService: true}, "discovery", 1,
					func(EndpointList) {}).keepWatching(ctx)
			})
		}
		watchers.Wait()
		t.Logf("%d gateways reconnected after %v and %d requests", reconnected, lastReconnect, requests)
		if reconnected < gateways {
			t.Errorf("got %d of %d gateways reconnected after %v and %d requests, want all", reconnected, gateways,
				duration, requests)
		}
	})
}

// The backoff after a failure must be random over the full range up to its limit, and never reach the limit.
func TestBackoffUsesItsFullRange(t *testing.T) {
	const grace, staleAfterFailure = time.Second, 800 * time.Millisecond
	service := retryPolicy{sharedService: true, drainGrace: grace}
	staleSoon := retryPolicy{sharedService: true, drainGrace: grace, staleAfterFailure: staleAfterFailure}
	reset, fastRejection := io.ErrUnexpectedEOF, &statusError{elapsed: 4 * time.Millisecond}
	slowRejection := &statusError{elapsed: maxQueueWait}
	for _, test := range []struct {
		name    string
		policy  retryPolicy
		failure failure
		limit   time.Duration
	}{
		{"one reset", service, failure{err: reset, consecutive: 1, hasList: true, slack: 4 * time.Second}, baseBackoff},
		{"four resets", service, failure{err: reset, consecutive: 4, hasList: true}, 8 * baseBackoff},
		{"many resets", service, failure{err: reset, consecutive: 1 << 40, hasList: true}, maxBackoff},
		{"many resets, no list", service, failure{err: reset, consecutive: 1 << 40}, maxBackoffWithoutList},
		{"overloaded, much slack", service, failure{err: fastRejection, consecutive: 2, hasList: true,
			slack: 2 * time.Second}, 2 * time.Second},
		{"overloaded, little slack", service, failure{err: fastRejection, consecutive: 2, hasList: true, slack: 1},
			baseBackoff},
		{"overloaded, no slack", service, failure{err: fastRejection, consecutive: 2, hasList: true, slack: -time.Hour},
			maxBackoffOverloaded},
		{"overloaded many times, no list", service, failure{err: fastRejection, consecutive: 1 << 40}, baseBackoff},
		{"one slow rejection", service, failure{err: slowRejection, consecutive: 1, hasList: true,
			slack: 4 * time.Second}, baseBackoff},
		{"many slow rejections", service, failure{err: slowRejection, consecutive: 1 << 40, hasList: true}, maxBackoff},
		{"many slow rejections, no list", service, failure{err: slowRejection, consecutive: 1 << 40},
			maxBackoffWithoutList},
		{"overloaded, list stale soon", staleSoon, failure{err: fastRejection, consecutive: 1, hasList: true},
			staleAfterFailure},
		{"agent", retryPolicy{drainGrace: grace}, failure{err: reset, consecutive: 1}, grace / 4},
		{"agent, many failures", retryPolicy{drainGrace: grace}, failure{err: fastRejection, consecutive: 1 << 40},
			grace / 4},
	} {
		longest := time.Duration(0)
		for range 1000 {
			longest = max(longest, test.policy.backoff(test.failure))
		}
		if longest >= test.limit || longest < test.limit*3/4 {
			t.Errorf("%s: got backoffs up to %v, want them up to nearly %v", test.name, longest, test.limit)
		}
	}
}

// A gateway that starts with an old list has DrainGrace to learn from the agent on its own machine which backends are
// draining. Even in a large fleet it must send a request before anything else and, if that fails, retry within
// DrainGrace, since the same time limit applies from the moment when an unresponsive agent responds again.
func TestAgentIsRequestedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		start := time.Now()
		var requestTimes []time.Duration
		silentAgent := roundTripFunc(func(r *http.Request) (*http.Response, error) {
			requestTimes = append(requestTimes, time.Since(start))
			<-r.Context().Done()
			return nil, r.Context().Err()
		})
		const grace = 400 * time.Millisecond
		policy := newRetryPolicy(Config{Settings: gateway.Settings{Gateways: 300, DrainGrace: grace}})
		newWatcher(silentAgent, policy, "agent", 1, func(EndpointList) {}).keepWatching(ctx)
		if len(requestTimes) == 0 || requestTimes[0] > 0 {
			t.Fatalf("got requests at %v, want the first at 0s", requestTimes)
		}
		for i, requestTime := range requestTimes[1:] {
			if gap := requestTime - requestTimes[i]; gap >= grace {
				t.Errorf("got %v between two requests to an unresponsive agent, want less than DrainGrace", gap)
			}
		}
	})
}
