package gateway

import (
	"math/rand/v2"
	"testing"
	"time"
)

const lease = 4 * second

func leased() Settings {
	s := testSettings()
	s.SubscribeToList, s.ListLease = true, lease
	return s
}

// sendTo asks until the module sends something, and gives the request and its backend; 0: it refused all of them.
func (r *testGateway) sendTo() (RequestID, BackendID) {
	id, as := r.submit("safe", "wide", CustomerID(r.lastRequestID%50))
	if s := sendActions(as); len(s) > 0 {
		return id, s[0].Backend
	}
	return id, 0
}

// Without a lease the list that was saved is gone by, however old.
func TestListsWithoutALease(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(3)...)
	r.now += time.Hour
	if _, b := r.sendTo(); b == 0 {
		t.Error("refused")
	}
}

// The list from before this process started has no age, so it vouches for nobody: what comes is refused at once, with
// a time to come again. The first word of discovery, also that nothing has changed, makes it good.
func TestASavedListVouchesForNobody(t *testing.T) {
	for _, kind := range []ListKind{ListFull, ListChanges} {
		r := newTestGateway(t, leased(), testBackends(3)...)
		_, as := r.submit("safe", "wide", 1)
		if n, _ := countFinalAnswers(as); n != 1 || len(sendActions(as)) != 0 {
			t.Fatalf("by a saved list: %v", as)
		}
		for _, a := range as {
			if refusal, ok := a.(Reject); ok && refusal.RetryAfter <= 0 {
				t.Errorf("refused with no time to come again: %+v", refusal)
			}
		}
		r.handle(BackendList{Kind: ListFailed})
		if _, b := r.sendTo(); b != 0 {
			t.Error("sent after a failed ask")
		}
		list := BackendList{Kind: kind}
		if kind == ListFull {
			list.Backends = testBackends(3)
		}
		r.handle(list)
		if _, b := r.sendTo(); b == 0 {
			t.Errorf("refused after a list of kind %d", kind)
		}
	}
}

// A confirmed list is good for its lease, and each confirmation starts that anew.
func TestTheLeaseOfAList(t *testing.T) {
	r := newTestGateway(t, leased(), testBackends(3)...)
	for range 5 {
		r.handle(BackendList{Kind: ListChanges})
		r.now += lease - ms
		if _, b := r.sendTo(); b == 0 {
			t.Fatal("refused within the lease")
		}
	}
	r.now += ms
	if _, b := r.sendTo(); b != 0 {
		t.Error("sent when the lease was over")
	}
}

// When the list's lease is over, an answer vouches for its backend alone, for a share of the lease from its send on.
func TestAnAnswerVouchesForItsBackend(t *testing.T) {
	r := newTestGateway(t, leased(), testBackends(5)...)
	r.handle(BackendList{Kind: ListChanges})
	r.now += lease - ms
	id, b := r.sendTo()
	sent := r.now
	r.now += 100 * ms
	r.endAttempt(id, b, 0, Answered)
	for r.now < sent+seconds(answerLeaseShare*lease.Seconds())-ms {
		id, other := r.sendTo()
		if other != b {
			t.Fatalf("sent to %d, only %d was vouched for", other, b)
		}
		r.endAttempt(id, other, 0, AnsweredError)
		r.now += 50 * ms
	}
	r.now = sent + seconds(answerLeaseShare*lease.Seconds())
	if _, other := r.sendTo(); other != 0 {
		t.Error("sent to a backend that nothing vouches for any more")
	}
}

// A backend that turns a request away may drain: without a list it is not sent to again.
func TestARefusalEndsWhatAnAnswerVouchedFor(t *testing.T) {
	r := newTestGateway(t, leased(), testBackends(5)...)
	r.handle(BackendList{Kind: ListChanges})
	r.now += lease - ms
	id, b := r.sendTo()
	r.now += 100 * ms
	r.endAttempt(id, b, 0, Answered)
	id, _ = r.sendTo()
	r.endAttempt(id, b, 0, Rejected)
	r.now += second
	if _, other := r.sendTo(); other != 0 {
		t.Errorf("sent to %d", other)
	}
	r.handle(BackendList{Kind: ListChanges})
	if _, other := r.sendTo(); other == 0 {
		t.Error("refused although the list is good again")
	}
}

// Whatever happens, nothing is sent to a backend that neither the list nor an answer vouches for. What vouches is
// reckoned here from the events alone.
func TestNothingIsSentByAStaleList(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		r := newTestGateway(t, leased(), testBackends(20)...)
		type out struct {
			id  RequestID
			b   BackendID
			try int
			at  time.Duration
		}
		var open []out
		tries := map[RequestID]int{}
		listed, good := time.Duration(0), map[BackendID]time.Duration{}
		sent, stale := 0, 0
		see := func(as []Action) {
			for _, s := range sendActions(as) {
				if r.now >= max(listed, good[s.Backend]) {
					t.Fatalf("seed %d: sent to %d at %v, the list was good until %v, its answers until %v", seed,
						s.Backend, r.now, listed, good[s.Backend])
				}
				open = append(open, out{s.Request, s.Backend, tries[s.Request], r.now})
				tries[s.Request]++
				sent++
				if r.now >= listed {
					stale++
				}
			}
		}
		for range 20000 {
			r.now += time.Duration(rng.ExpFloat64() * float64(10*ms))
			switch x := rng.Float64(); {
			case x < 0.001:
				listed = r.now + lease
				see(r.handle(BackendList{Kind: ListChanges}))
			case x < 0.003:
				see(r.handle(BackendList{Kind: ListFailed}))
			case x < 0.5:
				_, as := r.submit("safe", "wide", CustomerID(rng.IntN(50)))
				see(as)
			case x < 0.52:
				see(r.handle(Timer{}))
			case len(open) > 0:
				i := rng.IntN(len(open))
				o := open[i]
				open = append(open[:i], open[i+1:]...)
				result := []Result{Answered, Answered, Answered, Answered, AnsweredError, Rejected, NoConnection, ConnectionBroken}[rng.IntN(8)]
				switch result {
				case Answered:
					good[o.b] = max(good[o.b], o.at+seconds(answerLeaseShare*lease.Seconds()))
				case Rejected:
					good[o.b] = 0
				}
				see(r.endAttempt(o.id, o.b, o.try, result))
			}
		}
		if sent < 1000 || stale < 100 {
			t.Errorf("seed %d: %d sends, %d of them without a list: this shows little", seed, sent, stale)
		}
	}
}
