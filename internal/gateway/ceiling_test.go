package gateway

import (
	"testing"
)

func TestCeilingParts(t *testing.T) {
	s := testSettings()
	r := newTestGateway(t, s, testBackends(2)...)
	passed := func(n int) (k int) {
		for range n {
			_, as := r.submit("safe", "capped", 9)
			k += len(sendActions(as))
		}
		return k
	}
	if k := passed(10); k != 0 {
		t.Errorf("%d passed right after a start, which may be a restart with the part used up", k)
	}
	r.now += 10 * second
	if k := passed(10); k != 4 {
		t.Errorf("%d passed, want half of the ceiling's store of 8", k)
	}
	r.now += second
	if k := passed(10); k != 2 {
		t.Errorf("%d passed a second later, want half of 4", k)
	}
	s.Index, s.Gateways = 3, 4
	r = newTestGateway(t, s, testBackends(2)...)
	r.now += 100 * second
	if k := passed(3); k != 0 {
		t.Errorf("%d passed at a door outside the customer's set", k)
	}
}

func TestOpenCapPart(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	got := 0
	for range 5 {
		_, as := r.submit("safe", "open", 3)
		got += len(sendActions(as))
	}
	if got != 2 {
		t.Errorf("%d out, want this door's half of 4", got)
	}
}

// A customer with as many attempts out as its part allows waits for one of them to end, if that will be soon: of
// those that come meanwhile, no more than can still be answered in time are held, and one that waited in vain is
// refused long before its client gives up.
func TestRequestsWaitForAnAttemptToEnd(t *testing.T) {
	s := testSettings()
	s.Plans[3].MaxInFlight = 2 // one at each gateway
	r := newTestGateway(t, s, testBackends(3)...)
	r.gateway.meanLatency = 0.6 // seconds
	one, as := r.submit("safe", "open", 3)
	if len(sendActions(as)) != 1 {
		t.Fatalf("the first led to %+v", as)
	}
	two, as2 := r.submit("safe", "open", 3)
	_, as3 := r.submit("safe", "open", 3)
	if len(sendActions(as2))+len(sendActions(as3)) != 0 {
		t.Fatalf("sent over the limit: %+v %+v", as2, as3)
	}
	if refused, _ := countFinalAnswers(as2); refused != 0 {
		t.Errorf("one that could wait was refused")
	}
	if refused, _ := countFinalAnswers(as3); refused != 1 {
		t.Errorf("one that would wait for 1.2 s, of a 2 s aim and a patience of 6 s, led to %+v, want a refusal", as3)
	}
	r.now += 300 * ms
	as = r.endAttempt(one, sendActions(as)[0].Backend, 0, Answered)
	if got := sendActions(as); len(got) != 1 || got[0].Request != two {
		t.Fatalf("an attempt ended, which led to %+v", as)
	}
	r.now += 300 * ms
	_, as = r.submit("safe", "open", 3)
	var hold SetTimer
	for _, a := range as {
		if timer, ok := a.(SetTimer); ok {
			hold = timer
		}
	}
	if hold.After <= 0 || hold.After > second {
		t.Fatalf("a held request led to %+v", as)
	}
	r.now += hold.After
	if refused, _ := countFinalAnswers(r.handle(Timer{Token: hold.Token})); refused != 1 {
		t.Error("one that waited in vain got no refusal")
	}
}
