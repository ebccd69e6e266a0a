package gateway

import (
	"testing"
	"time"
)

func TestRetriesDependOnTheEffect(t *testing.T) {
	for _, test := range []struct {
		class                  string
		result                 Result // of the first attempt
		delay                  time.Duration
		wantRetry              bool
		wantRejects, wantFails int
	}{
		{"safe", TimedOut, 0, true, 0, 0},
		{"unsafe", Rejected, 0, true, 0, 0},
		{"unsafe", NoConnection, 0, true, 0, 0},
		{"unsafe", TimedOut, 0, false, 0, 1},
		{"unsafe", AnsweredError, 0, false, 0, 1},
		{"unsafe", Unknown, 0, false, 0, 1},
		{"dedup", ConnectionBroken, 0, true, 0, 0},
		{"dedup", ConnectionBroken, 4 * second, false, 0, 1}, // after the class's DedupWindow
		{"dedup-cell", ConnectionBroken, 0, false, 0, 1},     // the other backend is in another cell
		{"dedup-zone", ConnectionBroken, 0, false, 0, 1},     // and in another zone
		{"dedup-cell", Rejected, 0, true, 0, 0},
	} {
		tg := newTestGateway(t, testSettings(), testBackends(2)...)
		id, actions := tg.submit(test.class, "large", 1)
		first := sendActions(actions)[0]
		tg.now += test.delay
		actions = tg.endAttempt(id, first.Backend, 0, test.result)
		rejects, fails := countFinalAnswers(actions)
		if got := sendActions(actions); (len(got) == 1) != test.wantRetry || rejects != test.wantRejects ||
			fails != test.wantFails {
			t.Errorf("%s after result %d: got sends %v, %d rejections and %d failures, want those of the test case",
				test.class, test.result, got, rejects, fails)
		}
		if slotsInUse(tg.gateway) != boolToInt(test.wantRetry) {
			t.Errorf("%s: got %d slots in use, want one only if there is a retry", test.class, slotsInUse(tg.gateway))
		}
	}
}

// A retry of a Deduplicated request must start while the backends remember its key, even if its connection takes long
// to establish. An attempt that never ran left no key behind, so there is no limit on its retry.
func TestRetriesOfDeduplicatedRequestsMustStartInTime(t *testing.T) {
	for _, test := range []struct {
		class       string
		result      Result // of the first attempt
		wantLimited bool
	}{{"dedup", ConnectionBroken, true}, {"dedup", NoConnection, false}, {"safe", ConnectionBroken, false}} {
		settings := testSettings()
		settings.AnswerGrace = 8 * ms
		tg := newTestGateway(t, settings, testBackends(2)...)
		id, actions := tg.submit(test.class, "large", 1)
		if first := sendActions(actions)[0]; first.StartWithin != 0 {
			t.Errorf("%s: got StartWithin %v for the first attempt, want 0", test.class, first.StartWithin)
		}
		tg.now += second
		actions = tg.endAttempt(id, sendActions(actions)[0].Backend, 0, test.result)
		want := time.Duration(boolToInt(test.wantLimited)) *
			(tg.gateway.classes[test.class].DedupWindow - second - 8*ms)
		if got := sendActions(actions); len(got) != 1 || got[0].StartWithin != want {
			t.Errorf("%s, first attempt ended with result %d: got sends %+v, want one with StartWithin %v",
				test.class, test.result, got, want)
		}
	}
}

// At most three attempts are made, even if the settings allow more.
func TestAtMostThreeAttemptsAreMade(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 5
	tg := newTestGateway(t, settings, testBackends(9)...)
	id, actions := tg.submit("safe", "large", 1)
	for attempt := range 3 {
		if len(sendActions(actions)) != 1 {
			t.Fatalf("attempt %d: got %v, want one send", attempt, actions)
		}
		actions = tg.endAttempt(id, sendActions(actions)[0].Backend, attempt, AnsweredError)
	}
	if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
		t.Errorf("after the third attempt: got %v, want a rejection and no send", actions)
	}
}

func TestNoRetryBeyondMaxAttemptsOrTooLate(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 2
	tg := newTestGateway(t, settings, testBackends(3)...)
	id, actions := tg.submit("safe", "large", 1)
	actions = tg.endAttempt(id, sendActions(actions)[0].Backend, 0, AnsweredError)
	actions = tg.endAttempt(id, sendActions(actions)[0].Backend, 1, AnsweredError)
	if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
		t.Errorf("after the last attempt: got %v, want a rejection and no send", actions)
	}
	id, actions = tg.submit("safe", "large", 1)
	tg.now += 6*second - 10*ms
	actions = tg.endAttempt(id, sendActions(actions)[0].Backend, 0, AnsweredError)
	if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
		t.Errorf("10 ms before the client's timeout: got %v, want a rejection and no send", actions)
	}
}

func TestClientTimeoutGivesOneFinalAnswer(t *testing.T) {
	for class, wantFail := range map[string]bool{"safe": false, "unsafe": true, "dedup-cell": true} {
		tg := newTestGateway(t, testSettings(), testBackends(1)...)
		id, actions := tg.submit(class, "large", 1)
		backend := sendActions(actions)[0].Backend
		tg.now += 6 * second
		actions = tg.handle(Timer{Token: tg.gateway.lastSeq})
		rejects, fails := countFinalAnswers(actions)
		if rejects+fails != 1 || (fails == 1) != wantFail {
			t.Errorf("%s: got %d rejections and %d failures, want one: a failure unless every repeat is harmless",
				class, rejects, fails)
		}
		if actions = tg.endAttempt(id, backend, 0, Cancelled); len(actions) != 0 || slotsInUse(tg.gateway) != 0 ||
			len(tg.gateway.requests) != 0 {
			t.Errorf("%s: got actions %v, %d slots in use and %d requests after the late outcome, want none",
				class, actions, slotsInUse(tg.gateway), len(tg.gateway.requests))
		}
	}
}

// At most one attempt of a request is in flight: only the outcome of one leads to the next, and the deadline cancels
// the last.
func TestAttemptsOfARequestDoNotOverlap(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	id, actions := tg.submit("safe", "large", 1)
	first := sendActions(actions)[0]
	tg.now += 5 * second // without an answer
	if actions = tg.handle(Timer{Token: 0}); len(sendActions(actions)) != 0 {
		t.Fatalf("got %v with the first attempt in flight, want no send", actions)
	}
	actions = tg.endAttempt(id, first.Backend, 0, ConnectionBroken)
	if got := sendActions(actions); len(got) != 1 || got[0].Backend == first.Backend {
		t.Errorf("got %v after the first attempt failed, want one send to another backend", actions)
	}
}
