package gateway

import (
	"testing"
)

func TestCeilingIsSplitIntoShares(t *testing.T) {
	settings := testSettings()
	tg := newRig(t, settings, fleet(2)...)
	sent := func(requests int) (count int) {
		for range requests {
			_, actions := tg.ask("safe", "capped", 9)
			count += len(sends(actions))
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
	tg = newRig(t, settings, fleet(2)...)
	tg.now += 100 * second
	if got := sent(3); got != 0 {
		t.Errorf("got %d sends at a gateway that is not one of the customer's, want 0", got)
	}
}

func TestInFlightLimitIsSplitIntoShares(t *testing.T) {
	tg := newRig(t, testSettings(), fleet(2)...)
	got := 0
	for range 5 {
		_, actions := tg.ask("safe", "open", 3)
		got += len(sends(actions))
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
	tg := newRig(t, settings, fleet(3)...)
	tg.g.meanLatency = 0.6 // seconds
	sentID, actions := tg.ask("safe", "open", 3)
	if len(sends(actions)) != 1 {
		t.Fatalf("first request: got %+v, want one send", actions)
	}
	queuedID, queuedActions := tg.ask("safe", "open", 3)
	_, thirdActions := tg.ask("safe", "open", 3)
	if len(sends(queuedActions))+len(sends(thirdActions)) != 0 {
		t.Fatalf("got %+v and %+v at the limit of attempts in flight, want no sends", queuedActions, thirdActions)
	}
	if rejects, _ := finals(queuedActions); rejects != 0 {
		t.Errorf("second request: got a rejection, want it queued")
	}
	if rejects, _ := finals(thirdActions); rejects != 1 {
		t.Errorf("third request, 1.2 s to wait, target latency 2 s, timeout 6 s: got %+v, want a rejection",
			thirdActions)
	}
	tg.now += 300 * ms
	actions = tg.outcome(sentID, sends(actions)[0].Backend, 0, Answered)
	if got := sends(actions); len(got) != 1 || got[0].Request != queuedID {
		t.Fatalf("got %+v when the attempt ended, want a send of the queued request", actions)
	}
	tg.now += 300 * ms
	_, actions = tg.ask("safe", "open", 3)
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
	if rejects, _ := finals(tg.do(Timer{Token: queueTimer.Token})); rejects != 1 {
		t.Error("got no rejection when the time in the queue was over, want one")
	}
}
