package gateway

import (
	"math"
	"slices"
	"testing"
)

func TestN(t *testing.T) {
	press := func(n, bad, ended float64, sick int, flow float64) float64 {
		r := newTestGateway(t, testSettings(), testBackends(3)...)
		g := r.gateway
		g.concurrencyLimit, g.partitionSize, g.outcomes, g.badOutcomes = n, [3]float64{0, 0, n}, ended, bad
		g.inUse[sharedPool], g.sendRate = 50, 50 // many sends: a second is weighed by a half
		g.sustainableLimit, g.lateAgeSum = flow, flow
		for _, b := range slices.Collect(g.ranking.All())[:sick] {
			b.lastBadAt = g.now
		}
		g.adjustLimit()
		return g.concurrencyLimit
	}
	inf := math.Inf(1)
	for _, c := range []struct {
		name          string
		n, bad, ended float64
		sick          int
		flow, want    float64
	}{
		{"over 5 in 100", inf, 12, 100, 3, 80, 45},
		{"just 5 in 100", 500, 5, 100, 3, 600, 550},
		{"over 5 in 100, but not more than by chance", 500, 11, 100, 3, 600, 550},
		{"more than by chance of many", 500, 73, 1000, 3, 600, 300},
		{"one sick backend of three", 500, 30, 100, 1, 600, 550},
		{"one bad one is too few to tell", 100, 1, 2, 3, 150, 110},
		{"good seconds grow it a tenth", 60, 0, 100, 0, 100, 66},
		{"a cut never raises it", 20, 50, 100, 3, 30, 18},
		{"never under one a backend from all doors", 0.5, 50, 100, 3, 0, 1.5},
		{"few bad outcomes, but none on the same backend", inf, 3, 4, 3, 80, 45},
		{"at once to what answers can carry in time", inf, 50, 100, 3, 40, 40},
		{"also while nothing presses", inf, 0, 100, 0, 40, 40},
		{"not under what they carry in half that", 4, 50, 100, 3, 40, 20},
		{"no answers yet: it stays unbounded", inf, 0, 0, 0, 0, inf},
	} {
		if got := press(c.n, c.bad, c.ended, c.sick, c.flow); math.Abs(got-c.want) > 1e-9 && got != c.want {
			t.Errorf("%s: N %v, want %v", c.name, got, c.want)
		}
	}
}

// One of many gateways hears a few answers a second. What they can carry in time is counted in full within the
// first seconds, not begun from nothing, which would refuse a tenth of the requests after each start.
func TestNFollowsTheFirstSecondsOfFewAnswers(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(30)...)
	g := r.gateway
	const aims = 3.0
	for second, least := range []float64{0.5, 0.75, 0.83, 0.87} {
		g.sends, g.lateAgeSum, g.outcomes = 5, aims, 5
		g.onTimer(0)
		if g.sustainableLimit < least*aims-0.01 || g.sustainableLimit > aims {
			t.Errorf("after %d s a flow of %v is taken to be %v, want %v of it at least", second+1, aims, g.sustainableLimit, least)
		}
	}
}

// Marked attempts count as the slots they were squeezed from: in a jam N used to grow by its own cuts.
func TestSubratedAttemptsDoNotLiftN(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(3)...)
	g := r.gateway
	g.concurrencyLimit, g.partitionSize, g.markedCount, g.outcomes, g.badOutcomes, g.sustainableLimit = 100, [3]float64{0, 0, 100}, 60, 100, 50, 180
	g.inUse[sharedPool] = 130
	for b := range g.ranking.All() {
		b.lastBadAt = g.now
	}
	if g.adjustLimit(); g.concurrencyLimit != 90 {
		t.Errorf("N %v, want 90", g.concurrencyLimit)
	}
}

// An attempt still out after half its aim presses N: the client's own time-out comes only in a standing jam.
func TestOverdueAttemptsPressN(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(3)...)
	for i := range 30 {
		r.submit("safe", "wide", CustomerID(i))
	}
	r.now += 1100 * ms
	r.handle(Timer{Token: 0})
	if math.IsInf(r.gateway.concurrencyLimit, 1) {
		t.Error("N stayed unbounded with 30 attempts past half their aim")
	}
}

// N does not wait for late answers: what a second's answers cannot carry in time is late already.
func TestNHoldsABurstBeforeItIsLate(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(3)...)
	for i := range 30 {
		id, as := r.submit("safe", "wide", CustomerID(i))
		r.endAttempt(id, sendActions(as)[0].Backend, 0, Answered)
	}
	for i := range 200 {
		r.submit("safe", "wide", CustomerID(i))
	}
	r.now += 300 * ms // nothing is late yet
	r.handle(Timer{Token: 0})
	if r.gateway.concurrencyLimit > 30 {
		t.Errorf("N %v after a second with 30 answers and 200 attempts out", r.gateway.concurrencyLimit)
	}
}

func TestLateIsMeasuredByTheBestLatencyToo(t *testing.T) {
	c := classState{Class: Class{TargetLatency: 4 * second}, minLatency: 0.1}
	if got := c.lateAge(); math.Abs(got-lateLatencyFactor*0.1) > 1e-9 {
		t.Errorf("late from %v s, want %v times the best latency", got, lateLatencyFactor)
	}
	if c.minLatency = 3; c.lateAge() != 2 {
		t.Errorf("late from %v s, want half the aim", c.lateAge())
	}
}

// With hundreds of gateways a least N of one attempt a gateway was a jam by itself, for good (ifd7116, i2d298a,
// ibf5006).
func TestNIsAFractionAtManyDoors(t *testing.T) {
	s := testSettings()
	s.Gateways = 600
	r := newTestGateway(t, s, testBackends(60)...)
	var out [][]Action
	for i := range 90 { // requests of which none is answered; their clients leave after six seconds
		for range 3 {
			_, as := r.submit("safe", "wide", CustomerID(i))
			out = append(out, as)
		}
		r.now += second
		for _, as := range out[max(0, len(out)-21):max(0, len(out)-18)] {
			for _, a := range sendActions(as) {
				r.handle(Outcome{Request: a.Request, Backend: a.Backend, Result: TimedOut, Duration: 6 * second, Final: true})
			}
		}
		r.handle(Timer{Token: 0})
	}
	if r.gateway.concurrencyLimit > 1.5 || r.gateway.concurrencyLimit < 60.0/600 {
		t.Errorf("N %v after 90 s without an answer, want about one", r.gateway.concurrencyLimit)
	}
}
