package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testLease = 4 * second

// leaseSettings returns settings with a subscription to the list of backends and a lease on it.
func leaseSettings() Settings {
	settings := testSettings()
	settings.SubscribeToList, settings.ListLease = true, testLease
	return settings
}

// requestOne makes one request and returns it and the backend that it was sent to, or 0 if it was rejected.
func (tg *testGateway) requestOne() (RequestID, BackendID) {
	id, actions := tg.submit("safe", "large", CustomerID(tg.lastRequestID%50))
	if got := sendActions(actions); len(got) > 0 {
		return id, got[0].Backend
	}
	return id, 0
}

// Without a lease, the saved list is used however old it is.
func TestSavedListIsUsedWithoutALease(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	tg.now += time.Hour
	if _, backend := tg.requestOne(); backend == 0 {
		t.Error("got a rejection with a saved list and no lease, want a send")
	}
}

// The age of a list that was saved before this process started is not known, so it confirms no backend: requests are
// rejected at once, with a Retry-After. The first update from discovery, even one without changes, makes the list
// valid.
func TestSavedListConfirmsNoBackend(t *testing.T) {
	for _, kind := range []ListKind{ListFull, ListChanges} {
		tg := newTestGateway(t, leaseSettings(), testBackends(3)...)
		_, actions := tg.submit("safe", "large", 1)
		if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
			t.Fatalf("saved list: got %v, want a rejection and no send", actions)
		}
		for _, action := range actions {
			if reject, ok := action.(Reject); ok && reject.RetryAfter <= 0 {
				t.Errorf("saved list: got %+v, want a RetryAfter above 0", reject)
			}
		}
		tg.handle(BackendList{Kind: ListFailed})
		if _, backend := tg.requestOne(); backend != 0 {
			t.Error("got a send after a failed subscription, want a rejection")
		}
		list := BackendList{Kind: kind}
		if kind == ListFull {
			list.Backends = testBackends(3)
		}
		tg.handle(list)
		if _, backend := tg.requestOne(); backend == 0 {
			t.Errorf("got a rejection after an update of kind %d, want a send", kind)
		}
	}
}

// After a ListExpiry nothing may be sent, with or without a lease, until discovery sends a list: neither the list nor
// an answer confirms a backend. Attempts that begin before must not be delayed beyond it. The earliest of several
// counts.
func TestExpiredListConfirmsNoBackend(t *testing.T) {
	for name, settings := range map[string]Settings{"without a lease": testSettings(), "with a lease": leaseSettings()} {
		tg := newTestGateway(t, settings, testBackends(3)...)
		tg.handle(BackendList{Kind: ListChanges})
		tg.handle(ListExpiry{After: 300 * ms})
		tg.now += 100 * ms
		tg.handle(ListExpiry{After: second})
		tg.handle(BackendList{Kind: ListFailed})
		tg.now += 150 * ms
		id, actions := tg.submit("safe", "large", 1)
		sends := sendActions(actions)
		if len(sends) != 1 || sends[0].StartWithin != 50*ms {
			t.Fatalf("%s: got %v 50ms before the expiry, want a send that starts within 50ms", name, sends)
		}
		tg.now += 49 * ms
		tg.endAttempt(id, sends[0].Backend, 0, Answered)
		if _, backend := tg.requestOne(); backend == 0 {
			t.Errorf("%s: got a rejection 1ms before the expiry, want a send", name)
		}
		tg.now += ms
		_, actions = tg.submit("safe", "large", 1)
		if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
			t.Errorf("%s: got %v after the expiry, want a rejection and no send", name, actions)
		}
		tg.handle(BackendList{Kind: ListChanges})
		_, actions = tg.submit("safe", "large", 1)
		if sends := sendActions(actions); len(sends) != 1 || sends[0].StartWithin != 0 {
			t.Errorf("%s: got %v after an update, want a send without a limit on its start", name, sends)
		}
		tg.now += 2 * second
		if _, backend := tg.requestOne(); backend == 0 {
			t.Errorf("%s: got a rejection 2s after an update, want a send", name)
		}
	}
}

// A retry that comes after the expiry of the list must not be sent.
func TestExpiredListEndsRetries(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	tg.handle(ListExpiry{After: 300 * ms})
	id, backend := tg.requestOne()
	tg.now += 300 * ms
	actions := tg.endAttempt(id, backend, 0, NoConnection)
	if rejects, _ := countFinalAnswers(actions); rejects != 1 || len(sendActions(actions)) != 0 {
		t.Errorf("got %v, want a rejection and no send", actions)
	}
}

// A confirmed list is valid for its lease, and each confirmation renews the lease.
func TestUpdatesRenewTheListLease(t *testing.T) {
	tg := newTestGateway(t, leaseSettings(), testBackends(3)...)
	for range 5 {
		tg.handle(BackendList{Kind: ListChanges})
		tg.now += testLease - ms
		if _, backend := tg.requestOne(); backend == 0 {
			t.Fatal("got a rejection within the lease, want a send")
		}
	}
	tg.now += ms
	if _, backend := tg.requestOne(); backend != 0 {
		t.Error("got a send after the end of the lease, want a rejection")
	}
}

// After the end of the list's lease, an answer confirms its own backend only, for a share of the lease from the send of
// the attempt on.
func TestAnswerConfirmsItsBackendOnly(t *testing.T) {
	tg := newTestGateway(t, leaseSettings(), testBackends(5)...)
	tg.handle(BackendList{Kind: ListChanges})
	tg.now += testLease - ms
	id, confirmed := tg.requestOne()
	sentAt := tg.now
	tg.now += 100 * ms
	tg.endAttempt(id, confirmed, 0, Answered)
	for tg.now < sentAt+seconds(answerLeaseShare*testLease.Seconds())-ms {
		id, backend := tg.requestOne()
		if backend != confirmed {
			t.Fatalf("got a send to backend %d, want one to %d, the only one confirmed", backend, confirmed)
		}
		tg.endAttempt(id, backend, 0, AnsweredError)
		tg.now += 50 * ms
	}
	tg.now = sentAt + seconds(answerLeaseShare*testLease.Seconds())
	if _, backend := tg.requestOne(); backend != 0 {
		t.Error("got a send to a backend that is no longer confirmed, want a rejection")
	}
}

// A backend that rejects a request may be draining: without a valid list it is sent nothing more.
func TestRejectedAttemptEndsTheConfirmation(t *testing.T) {
	tg := newTestGateway(t, leaseSettings(), testBackends(5)...)
	tg.handle(BackendList{Kind: ListChanges})
	tg.now += testLease - ms
	id, confirmed := tg.requestOne()
	tg.now += 100 * ms
	tg.endAttempt(id, confirmed, 0, Answered)
	id, _ = tg.requestOne()
	tg.endAttempt(id, confirmed, 0, Rejected)
	tg.now += second
	if _, backend := tg.requestOne(); backend != 0 {
		t.Errorf("got a send to backend %d, want a rejection", backend)
	}
	tg.handle(BackendList{Kind: ListChanges})
	if _, backend := tg.requestOne(); backend == 0 {
		t.Error("got a rejection after the list was confirmed again, want a send")
	}
}

// Whatever the events are, nothing is sent to a backend that neither the list nor an answer confirms. The test computes
// from the events alone until when each backend is confirmed.
func TestNothingIsSentToUnconfirmedBackends(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tg := newTestGateway(t, leaseSettings(), testBackends(20)...)
		type sentAttempt struct {
			id      RequestID
			backend BackendID
			attempt int
			sentAt  time.Duration
		}
		var inFlight []sentAttempt
		attempts := map[RequestID]int{}
		listValidUntil, confirmedUntil := time.Duration(0), map[BackendID]time.Duration{}
		expiresAt := forever
		sent, sentWithoutList := 0, 0
		record := func(actions []Action) {
			for _, send := range sendActions(actions) {
				if tg.now >= max(listValidUntil, confirmedUntil[send.Backend]) || tg.now >= expiresAt {
					t.Fatalf("seed %d: got a send to backend %d at %v, want none; list valid to %v, confirmed to %v, "+
						"expiry at %v", seed, send.Backend, tg.now, listValidUntil, confirmedUntil[send.Backend], expiresAt)
				}
				if expiresAt < forever && (send.StartWithin <= 0 || tg.now+send.StartWithin > expiresAt) {
					t.Fatalf("seed %d: got a send at %v that starts within %v, want it to start before the expiry at %v",
						seed, tg.now, send.StartWithin, expiresAt)
				}
				inFlight = append(inFlight, sentAttempt{send.Request, send.Backend, attempts[send.Request], tg.now})
				attempts[send.Request]++
				sent++
				if tg.now >= listValidUntil {
					sentWithoutList++
				}
			}
		}
		for range 20000 {
			tg.now += time.Duration(rng.ExpFloat64() * float64(10*ms))
			switch x := rng.Float64(); {
			case x < 0.001:
				listValidUntil, expiresAt = tg.now+testLease, forever
				record(tg.handle(BackendList{Kind: ListChanges}))
			case x < 0.003:
				record(tg.handle(BackendList{Kind: ListFailed}))
			case x < 0.0032:
				after := time.Duration(rng.Int64N(int64(2 * testLease)))
				expiresAt = min(expiresAt, tg.now+after)
				record(tg.handle(ListExpiry{After: after}))
			case x < 0.5:
				_, actions := tg.submit("safe", "large", CustomerID(rng.IntN(50)))
				record(actions)
			case x < 0.52:
				record(tg.handle(Timer{}))
			case len(inFlight) > 0:
				i := rng.IntN(len(inFlight))
				ended := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				result := []Result{Answered, Answered, Answered, Answered, AnsweredError, Rejected, NoConnection,
					ConnectionBroken}[rng.IntN(8)]
				switch result {
				case Answered:
					confirmedUntil[ended.backend] = max(confirmedUntil[ended.backend],
						ended.sentAt+seconds(answerLeaseShare*testLease.Seconds()))
				case Rejected:
					confirmedUntil[ended.backend] = 0
				}
				record(tg.endAttempt(ended.id, ended.backend, ended.attempt, result))
			}
		}
		if sent < 1000 || sentWithoutList < 100 {
			t.Errorf("seed %d: got %d sends, %d of them without a valid list, want at least 1000 and 100", seed, sent,
				sentWithoutList)
		}
	}
}
