package gateway

import (
	"testing"
	"time"
)

func TestRetriesByEffect(t *testing.T) {
	for _, c := range []struct {
		class           string
		first           Result
		wait            time.Duration
		resend          bool
		refused, failed int
	}{
		{"safe", TimedOut, 0, true, 0, 0},
		{"once", Rejected, 0, true, 0, 0},
		{"once", NoConnection, 0, true, 0, 0},
		{"once", TimedOut, 0, false, 0, 1},
		{"once", AnsweredError, 0, false, 0, 1},
		{"once", Unknown, 0, false, 0, 1},
		{"keyed", ConnectionBroken, 0, true, 0, 0},
		{"keyed", ConnectionBroken, 4 * second, false, 0, 1},
		{"celled", ConnectionBroken, 0, false, 0, 1}, // the other backend is in another cell
		{"zoned", ConnectionBroken, 0, false, 0, 1},
		{"celled", Rejected, 0, true, 0, 0},
	} {
		r := newTestGateway(t, testSettings(), testBackends(2)...)
		id, as := r.submit(c.class, "wide", 1)
		first := sendActions(as)[0]
		r.now += c.wait
		as = r.endAttempt(id, first.Backend, 0, c.first)
		refused, failed := countFinalAnswers(as)
		if got := sendActions(as); (len(got) == 1) != c.resend || refused != c.refused || failed != c.failed {
			t.Errorf("%s after %d: sends %v, refused %d, failed %d", c.class, c.first, got, refused, failed)
		}
		if slotsInUse(r.gateway) != boolToInt(c.resend) {
			t.Errorf("%s: %d slots held", c.class, slotsInUse(r.gateway))
		}
	}
}

// A keyed request's repeat must begin while the backends remember its key, also if its connection takes long to
// come up. What never ran left no key behind.
func TestKeyedRepeatsSayByWhenTheyMustBegin(t *testing.T) {
	for _, c := range []struct {
		class  string
		first  Result
		within bool
	}{{"keyed", ConnectionBroken, true}, {"keyed", NoConnection, false}, {"safe", ConnectionBroken, false}} {
		s := testSettings()
		s.AnswerGrace = 8 * ms
		r := newTestGateway(t, s, testBackends(2)...)
		id, as := r.submit(c.class, "wide", 1)
		if first := sendActions(as)[0]; first.StartWithin != 0 {
			t.Errorf("%s: a first attempt within %v", c.class, first.StartWithin)
		}
		r.now += second
		as = r.endAttempt(id, sendActions(as)[0].Backend, 0, c.first)
		want := time.Duration(boolToInt(c.within)) * (r.gateway.classes[c.class].DedupWindow - second - 8*ms)
		if got := sendActions(as); len(got) != 1 || got[0].StartWithin != want {
			t.Errorf("%s after %d: %+v, want it within %v", c.class, c.first, got, want)
		}
	}
}

// However many attempts the settings allow, three are made at most.
func TestThreeAttemptsAtMost(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 5
	r := newTestGateway(t, s, testBackends(9)...)
	id, as := r.submit("safe", "wide", 1)
	for n := range 3 {
		if len(sendActions(as)) != 1 {
			t.Fatalf("attempt %d: %v", n, as)
		}
		as = r.endAttempt(id, sendActions(as)[0].Backend, n, AnsweredError)
	}
	if n, _ := countFinalAnswers(as); n != 1 || len(sendActions(as)) != 0 {
		t.Errorf("after the third: %v", as)
	}
}

func TestAttemptLimitAndTooLate(t *testing.T) {
	s := testSettings()
	s.MaxAttempts = 2
	r := newTestGateway(t, s, testBackends(3)...)
	id, as := r.submit("safe", "wide", 1)
	as = r.endAttempt(id, sendActions(as)[0].Backend, 0, AnsweredError)
	as = r.endAttempt(id, sendActions(as)[0].Backend, 1, AnsweredError)
	if n, _ := countFinalAnswers(as); n != 1 || len(sendActions(as)) != 0 {
		t.Errorf("after the last attempt: %v", as)
	}
	id, as = r.submit("safe", "wide", 1)
	r.now += 6*second - 10*ms
	as = r.endAttempt(id, sendActions(as)[0].Backend, 0, AnsweredError)
	if n, _ := countFinalAnswers(as); n != 1 || len(sendActions(as)) != 0 {
		t.Errorf("a retry that cannot be answered in time: %v", as)
	}
}

func TestDeadlineGivesOneFinalAnswer(t *testing.T) {
	for class, wantFail := range map[string]bool{"safe": false, "once": true, "celled": true} {
		r := newTestGateway(t, testSettings(), testBackends(1)...)
		id, as := r.submit(class, "wide", 1)
		b := sendActions(as)[0].Backend
		r.now += 6 * second
		as = r.handle(Timer{Token: r.gateway.lastSeq})
		refused, failed := countFinalAnswers(as)
		if refused+failed != 1 || (failed == 1) != wantFail {
			t.Errorf("%s: refused %d failed %d", class, refused, failed)
		}
		if as = r.endAttempt(id, b, 0, Cancelled); len(as) != 0 || slotsInUse(r.gateway) != 0 || len(r.gateway.requests) != 0 {
			t.Errorf("%s: a late outcome led to %v, %d slots, %d requests", class, as, slotsInUse(r.gateway), len(r.gateway.requests))
		}
	}
}

// Never two attempts out: a deadline calls the last one off, an outcome alone leads to the next.
func TestOneAttemptOutAtATime(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(3)...)
	id, as := r.submit("safe", "wide", 1)
	first := sendActions(as)[0]
	r.now += 5 * second // silent for long
	if as = r.handle(Timer{Token: 0}); len(sendActions(as)) != 0 {
		t.Fatalf("a second attempt beside the first: %v", as)
	}
	as = r.endAttempt(id, first.Backend, 0, ConnectionBroken)
	if got := sendActions(as); len(got) != 1 || got[0].Backend == first.Backend {
		t.Errorf("no second try elsewhere: %v", as)
	}
}
