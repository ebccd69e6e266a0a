package gateway

import (
	"math"
	"reflect"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestNewRejectsInvalidSettings(t *testing.T) {
	cases := map[string]func(*Settings){
		"no classes":                  func(s *Settings) { s.Classes = nil },
		"no plans":                    func(s *Settings) { s.Plans = nil },
		"no gateways":                 func(s *Settings) { s.Gateways = 0 },
		"no attempts":                 func(s *Settings) { s.MaxAttempts = 0 },
		"NaN value":                   func(s *Settings) { s.Classes[0].Value = math.NaN() },
		"no target latency":           func(s *Settings) { s.Classes[0].TargetLatency = 0 },
		"NaN rate":                    func(s *Settings) { s.Plans[0].Rate = math.NaN() },
		"infinite rate":               func(s *Settings) { s.Plans[0].Rate = math.Inf(1) },
		"no burst":                    func(s *Settings) { s.Plans[0].Burst = 0 },
		"negative ceiling rate":       func(s *Settings) { s.Plans[2].CeilingRate = -1 },
		"NaN excess cost share":       func(s *Settings) { s.Plans[0].ExcessCostShare = math.NaN() },
		"negative excess value share": func(s *Settings) { s.Plans[0].ExcessValueShare = -1 },
	}
	for name, invalidate := range cases {
		settings := testSettings()
		invalidate(&settings)
		if _, err := New(settings, 1, 0); err == nil {
			t.Errorf("%s: New returned no error, want one", name)
		}
	}
	if _, err := New(testSettings(), 1, 0); err != nil {
		t.Error(err)
	}
}

func TestStaleAndUnknownEventsHaveNoEffect(t *testing.T) {
	tg := newRig(t, testSettings(), fleet(2)...)
	id, actions := tg.ask("safe", "wide", 1)
	backend := sends(actions)[0].Backend
	tg.outcome(id, backend, 0, Answered)
	for _, ev := range []Event{
		Outcome{Request: id, Backend: backend, Result: TimedOut}, Outcome{Request: 999, Backend: 77},
		Outcome{Request: id, Attempt: -4}, ClientGone{Request: id}, ClientGone{Request: 12345},
		Timer{Token: 1 << 40}, Timer{Token: 2}, Timer{Token: 3}, AnswerStarted{Request: 5},
		ProbeResult{Backend: 99}, BackendList{Kind: ListFailed},
		BackendList{Kind: ListChanges, Backends: []BackendInfo{{ID: 50, State: Gone}}},
	} {
		if actions := tg.do(ev); len(actions) != 0 {
			t.Errorf("%#v: got actions %v, want none", ev, actions)
		}
	}
	if tg.g.inUse != [3]int{} {
		t.Errorf("got slots in use %v after all requests have ended, want none", tg.g.inUse)
	}
}

func TestInvalidRequestsAndThoseWithoutABackendAreRejected(t *testing.T) {
	valid := Request{ID: 1, Class: "safe", Plan: "wide", Units: 1, Timeout: second, GatewayCount: 1}
	cases := map[string]func(*Request){
		"unknown class":  func(request *Request) { request.Class = "?" },
		"unknown plan":   func(request *Request) { request.Plan = "?" },
		"NaN units":      func(request *Request) { request.Units = math.NaN() },
		"negative units": func(request *Request) { request.Units = -1 },
		"no timeout":     func(request *Request) { request.Timeout = 0 },
	}
	for name, invalidate := range cases {
		tg, request := newRig(t, testSettings(), fleet(1)...), valid
		invalidate(&request)
		if rejects, _ := finals(tg.do(request)); rejects != 1 {
			t.Errorf("%s: got %d rejections, want 1", name, rejects)
		}
	}
	tg := newRig(t, testSettings())
	if rejects, _ := finals(tg.do(valid)); rejects != 1 || held(tg.g) != 0 {
		t.Errorf("no backend: got %d rejections and %d slots in use, want 1 and 0", rejects, held(tg.g))
	}
}

func TestEqualGatewaysReturnEqualActions(t *testing.T) {
	left, right := newRig(t, testSettings(), fleet(7)...),
		newRig(t, testSettings(), fleet(7)...)
	for i := range 500 {
		left.now += 3 * ms
		right.now = left.now
		_, leftActions := left.ask("safe", "rated", CustomerID(i%9))
		_, rightActions := right.ask("safe", "rated", CustomerID(i%9))
		if i%50 == 0 {
			leftActions, rightActions =
				append(leftActions, left.do(Timer{})...), append(rightActions, right.do(Timer{})...)
		}
		if !reflect.DeepEqual(leftActions, rightActions) {
			t.Fatalf("step %d: got actions %v and %v, want them equal", i, leftActions, rightActions)
		}
	}
}

func TestIdleCustomersAreDeleted(t *testing.T) {
	tg := newRig(t, testSettings(), fleet(1)...)
	for i := range 1000 {
		id, actions := tg.ask("safe", "rated", CustomerID(i))
		tg.outcome(id, sends(actions)[0].Backend, 0, Answered)
	}
	tg.now += customerIdleTime + second
	tg.do(Timer{})
	if n := len(tg.g.customers); n != 0 {
		t.Errorf("got %d customers after all have been idle for more than customerIdleTime, want 0", n)
	}
}
