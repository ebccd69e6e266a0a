package gateway

import (
	"slices"
	"testing"
)

// Connections break one by one on some days. A reset must not take a backend for one that has restarted, or all of
// them are soon cold together; only where no connection comes up any more is one down.
func TestOneBrokenConnectionIsNoRestart(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(1)...)
	id, _ := r.submit("safe", "wide", 1)
	r.endAttempt(id, 1, 0, ConnectionBroken)
	b := r.gateway.backends[1]
	if b.cold || b.backoffUntil > r.now {
		t.Errorf("after a reset: cold %v, held for %v", b.cold, b.backoffUntil-r.now)
	}
	for n := 1; n <= downAfterFailures; n++ {
		id, as := r.submit("safe", "wide", 1)
		if len(sendActions(as)) != 1 {
			t.Fatalf("after %d failed connections and a hold: %+v", n-1, as)
		}
		r.endAttempt(id, 1, 0, NoConnection)
		if b.backoffUntil <= r.now || b.cold != (n == downAfterFailures) {
			t.Errorf("after %d failed connections: cold %v, held for %v", n, b.cold, b.backoffUntil-r.now)
		}
		r.now = b.backoffUntil
	}
}

// quick is a gateway of n backends, in one cell, that has learnt that answers take 100 ms and may call all off that
// it likes, with one attempt of the class out.
func quick(t *testing.T, n int, class string) (r *testGateway, id RequestID, b BackendID) {
	t.Helper()
	backends := testBackends(n)
	for i := range backends {
		backends[i].Cell = 0
	}
	r = newTestGateway(t, testSettings(), backends...)
	for _, cl := range r.gateway.orderedClasses {
		cl.meanLatency, cl.minLatency = 0.1, 0.1
	}
	r.gateway.meanLatency, r.gateway.minLatency, r.gateway.cancelBudget = 0.1, 0.1, maxCancelBudget
	id, as := r.submit(class, "wide", 1)
	return r, id, sendActions(as)[0].Backend
}

// wait lets the time pass after which a first attempt may be cancelled, and gives what the next event leads to.
func (r *testGateway) wait() []Action {
	r.now += seconds(cancelAfterLatencies*0.1) + ms
	return r.handle(ProbeResult{})
}

func cancels(as []Action) (out []Cancel) {
	for _, a := range as {
		if c, ok := a.(Cancel); ok {
			out = append(out, c)
		}
	}
	return out
}

// An attempt that waits out of all proportion is made once more elsewhere, in the same slot, if that is allowed, and
// only once: what has waited for the second attempt as long may be slow by nature.
func TestAttemptsThatWaitTooLongAreMadeElsewhereOnce(t *testing.T) {
	for _, c := range []struct {
		name, class string
		change      func(*testGateway)
		want        int
	}{
		{"safe", "safe", func(*testGateway) {}, 1},
		{"keyed, in its cell", "celled", func(*testGateway) {}, 1},
		{"unsafe", "once", func(*testGateway) {}, 0},
		{"keyed, alone in its cell", "celled", func(r *testGateway) {
			for i, b := range slices.Collect(r.gateway.ranking.All()) {
				b.Cell = i
			}
		}, 0},
		{"no share left", "safe", func(r *testGateway) { r.gateway.cancelBudget = 0.9 }, 0},
		{"no cancels", "safe", func(r *testGateway) { r.gateway.settings.CanCancel = false }, 0},
		{"the client gives up soon", "safe", func(r *testGateway) {
			for _, q := range r.gateway.requests {
				q.deadline = r.now + seconds(cancelAfterLatencies*0.1) + 150*ms
			}
		}, 0},
	} {
		r, id, b := quick(t, 3, c.class)
		c.change(r)
		if as := r.handle(ProbeResult{}); len(as) != 0 {
			t.Errorf("%s: at once: %+v", c.name, as)
		}
		off := cancels(r.wait())
		if len(off) != c.want {
			t.Errorf("%s: %d attempts called off, want %d", c.name, len(off), c.want)
		}
		if n := len(r.gateway.classes[c.class].firstAttempts); n != 0 {
			t.Errorf("%s: %d attempts are still looked at", c.name, n)
		}
		if len(off) == 0 {
			continue
		}
		again := sendActions(r.handle(Outcome{Request: id, Backend: b, Result: Cancelled, Duration: second}))
		if len(again) != 1 || again[0].Backend == b || slotsInUse(r.gateway) != 1 {
			t.Fatalf("%s: then %+v with %d slots held, want one more attempt elsewhere, in one slot", c.name, again, slotsInUse(r.gateway))
		}
		if off := cancels(r.wait()); len(off) != 0 {
			t.Errorf("%s: called off again", c.name)
		}
		r.endAttempt(id, again[0].Backend, 1, Answered)
		if slotsInUse(r.gateway) != 0 || len(r.gateway.requests) != 0 {
			t.Errorf("%s: %d slots and %d requests are left", c.name, slotsInUse(r.gateway), len(r.gateway.requests))
		}
	}
}

// In a jam everything waits. What is cancelled then is work done twice, so it stays a small share of the sends.
func TestFewAttemptsAreCalledOffInAJam(t *testing.T) {
	r, _, _ := quick(t, 40, "safe")
	const more = 320
	for range more {
		r.submit("safe", "wide", 1)
	}
	if n, most := len(cancels(r.wait())), int(maxCancelBudget); n > most || n == 0 {
		t.Errorf("%d of %d attempts called off at once, want some, and %d at most", n, more, most)
	}
}

// One silent connection says little of its backend. A backend that leaves one attempt after another unanswered is
// left alone for longer each time, and an answer clears it.
func TestBackendsAreStruckHarderEachTime(t *testing.T) {
	r, id, at := quick(t, 2, "safe")
	b := r.gateway.backends[at]
	slow := b.slowness
	last := overdueThreshold
	for n := range 3 {
		r.wait()
		r.handle(Outcome{Request: id, Backend: at, Result: Cancelled, Duration: second})
		if b.overdue <= last || b.slowness != slow {
			t.Errorf("after %d strikes: owes %v, not over %v, or slowness %v is not %v", n+1, b.overdue, last, b.slowness, slow)
		}
		last = b.overdue
		for o := range r.gateway.ranking.All() { // the rest is shut, so that the next attempt goes there as well
			o.backoffUntil = r.now
			if o != b {
				o.backoffUntil = r.now + second
			}
		}
		next, as := r.submit("safe", "wide", 1)
		if len(sendActions(as)) != 1 || sendActions(as)[0].Backend != at {
			t.Fatalf("the next attempt: %+v, want it at backend %d", as, at)
		}
		id = next
	}
	r.endAttempt(id, at, 0, Answered)
	if b.outlierCount != 0 || b.overdue != 0 {
		t.Errorf("after an answer: %d strikes, owes %v", b.outlierCount, b.overdue)
	}
}
