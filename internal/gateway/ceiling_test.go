package gateway

import (
	"testing"
)

func TestCeilingIsSplitIntoShares(t *testing.T) {
	settings := testSettings()
	tg := newTestGateway(t, settings, testBackends(2)...)
	sent := func(requests int) (count int) {
		for range requests {
			_, actions := tg.submit("safe", "ceiling", 9)
			count += len(sendActions(actions))
		}
		return count
	}
	if got := sent(10); got != 0 {
		t.Errorf("got %d sends right after the start, want 0: before a restart the share may have been used up", got)
	}
	tg.now += 10 * second
	if got := sent(10); got != 4 {
		t.Errorf("got %d sends, want 4, half of the ceiling's burst of 8", got)
	}
	tg.now += second
	if got := sent(10); got != 2 {
		t.Errorf("got %d sends a second later, want 2, half of the ceiling's refill of 4", got)
	}
	settings.Index, settings.Gateways = 3, 4
	tg = newTestGateway(t, settings, testBackends(2)...)
	tg.now += 100 * second
	if got := sent(3); got != 0 {
		t.Errorf("got %d sends at a gateway that is not one of the customer's, want 0", got)
	}
}

func TestInFlightLimitIsSplitIntoShares(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	got := 0
	for range 5 {
		_, actions := tg.submit("safe", "in-flight", 3)
		got += len(sendActions(actions))
	}
	if got != 2 {
		t.Errorf("got %d attempts in flight, want 2, this gateway's half of 4", got)
	}
}

// A request of a customer that is at its limit of attempts in flight is queued until one of them ends, if that is soon
// by the mean latency. Only as many are queued as can still be answered in time, and a request that leaves the queue
// unsent is rejected long before its client times out.
func TestRequestsBeyondTheInFlightLimitAreQueued(t *testing.T) {
	settings := testSettings()
	settings.Plans[3].MaxInFlight = 2 // one at each gateway
	tg := newTestGateway(t, settings, testBackends(3)...)
	tg.gateway.meanLatency = 0.6 // seconds
	sentID, actions := tg.submit("safe", "in-flight", 3)
	if len(sendActions(actions)) != 1 {
		t.Fatalf("first request: got %+v, want one send", actions)
	}
	queuedID, queuedActions := tg.submit("safe", "in-flight", 3)
	_, thirdActions := tg.submit("safe", "in-flight", 3)
	if len(sendActions(queuedActions))+len(sendActions(thirdActions)) != 0 {
		t.Fatalf("got %+v and %+v at the limit of attempts in flight, want no sends", queuedActions, thirdActions)
	}
	if rejects, _ := countFinalAnswers(queuedActions); rejects != 0 {
		t.Errorf("second request: got a rejection, want it queued")
	}
	if rejects, _ := countFinalAnswers(thirdActions); rejects != 1 {
		t.Errorf("third request, 1.2 s to wait, target latency 2 s, timeout 6 s: got %+v, want a rejection",
			thirdActions)
	}
	tg.now += 300 * ms
	actions = tg.endAttempt(sentID, sendActions(actions)[0].Backend, 0, Answered)
	if got := sendActions(actions); len(got) != 1 || got[0].Request != queuedID {
		t.Fatalf("got %+v when the attempt ended, want a send of the queued request", actions)
	}
	tg.now += 300 * ms
	_, actions = tg.submit("safe", "in-flight", 3)
	var queueTimer SetTimer
	for _, action := range actions {
		if timer, ok := action.(SetTimer); ok {
			queueTimer = timer
		}
	}
	if queueTimer.After <= 0 || queueTimer.After > second {
		t.Fatalf("got %+v for a queued request, want a timer of up to a second", actions)
	}
	tg.now += queueTimer.After
	if rejects, _ := countFinalAnswers(tg.handle(Timer{Token: queueTimer.Token})); rejects != 1 {
		t.Error("got no rejection when the time in the queue was over, want one")
	}
}
