package gateway

import (
	"testing"
	"time"
)

// firstReject returns the first Reject among the actions and whether there is one.
func firstReject(actions []Action) (reject Reject, ok bool) {
	for _, action := range actions {
		if reject, ok = action.(Reject); ok {
			return reject, true
		}
	}
	return reject, false
}

// A client that gets a rejection without Retry-After retries at once, and that retry is rejected as well.
func TestEveryRejectionHasARetryAfter(t *testing.T) {
	for plan, reason := range map[string]string{
		"small": "quota", "ceiling": "ceiling", "in-flight": "limit on attempts in flight",
	} {
		tg := newTestGateway(t, testSettings(), testBackends(2)...)
		tg.now += second // partly fills this gateway's share of the ceiling's token bucket
		rejected := 0
		for range 50 {
			_, actions := tg.submit("safe", plan, 5)
			if reject, ok := firstReject(actions); ok {
				rejected++
				if reject.RetryAfter <= 0 || reject.RetryAfter > tg.gateway.settings.MaxRetryAfter {
					t.Fatalf("%s: got RetryAfter %v, want more than 0 and at most MaxRetryAfter",
						reason, reject.RetryAfter)
				}
			}
		}
		if rejected == 0 {
			t.Errorf("%s: got no rejections of 50 requests, want some", reason)
		}
	}
	tg := newTestGateway(t, testSettings())
	if reject, ok := firstReject(actionsOf(tg.submit("safe", "large", 5))); !ok || reject.RetryAfter <= 0 {
		t.Errorf("no backends: got rejected %v, RetryAfter %v, want true and more than 0", ok, reject.RetryAfter)
	}
}

// actionsOf returns the second of its arguments, the actions that follow a request.
func actionsOf(_ RequestID, actions []Action) []Action { return actions }

// RetryAfter is the time in which the customer's token bucket refills to the units of the request: a client that waits
// for it is admitted then, and would not have been much earlier.
func TestRetryAfterIsTheRefillTimeOfTheTokenBucket(t *testing.T) {
	for _, plan := range []string{"small", "ceiling"} {
		settings := testSettings()
		settings.MaxRetryAfter = time.Minute
		tg := newTestGateway(t, settings, testBackends(2)...)
		tg.now += second
		var retryAfter time.Duration
		for range 100 {
			id, actions := tg.submit("safe", plan, 5)
			if reject, ok := firstReject(actions); ok {
				retryAfter = reject.RetryAfter
				break
			} else {
				tg.endAttempt(id, sendActions(actions)[0].Backend, 0, Answered)
			}
		}
		if retryAfter <= 0 {
			t.Fatalf("%s: got no rejection with a RetryAfter among 100 requests, want one", plan)
		}
		rejectedAt := tg.now
		tg.now = rejectedAt + retryAfter/2
		if _, rejected := firstReject(actionsOf(tg.submit("safe", plan, 5))); !rejected {
			t.Errorf("%s: request admitted after half of the RetryAfter of %v, want it rejected", plan, retryAfter)
		}
		tg.now = rejectedAt + retryAfter + ms
		if reject, rejected := firstReject(actionsOf(tg.submit("safe", plan, 5))); rejected {
			t.Errorf("%s: request rejected after the RetryAfter of %v, with a further one of %v; want it admitted",
				plan, retryAfter, reject.RetryAfter)
		}
	}
}
