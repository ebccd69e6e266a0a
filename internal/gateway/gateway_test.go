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
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	id, actions := tg.submit("safe", "large", 1)
	backend := sendActions(actions)[0].Backend
	tg.endAttempt(id, backend, 0, Answered)
	for _, ev := range []Event{
		Outcome{Request: id, Backend: backend, Result: TimedOut}, Outcome{Request: 999, Backend: 77},
		Outcome{Request: id, Attempt: -4}, ClientGone{Request: id}, ClientGone{Request: 12345},
		Timer{Token: 1 << 40}, Timer{Token: 2}, Timer{Token: 3}, AnswerStarted{Request: 5},
		ProbeResult{Backend: 99}, BackendList{Kind: ListFailed},
		BackendList{Kind: ListChanges, Backends: []BackendInfo{{ID: 50, State: Gone}}},
	} {
		if actions := tg.handle(ev); len(actions) != 0 {
			t.Errorf("%#v: got actions %v, want none", ev, actions)
		}
	}
	if tg.gateway.inUse != [3]int{} {
		t.Errorf("got slots in use %v after all requests have ended, want none", tg.gateway.inUse)
	}
}

func TestInvalidRequestsAndThoseWithoutABackendAreRejected(t *testing.T) {
	valid := Request{ID: 1, Class: "safe", Plan: "large", Units: 1, Timeout: second, GatewayCount: 1}
	cases := map[string]func(*Request){
		"unknown class":  func(request *Request) { request.Class = "?" },
		"unknown plan":   func(request *Request) { request.Plan = "?" },
		"NaN units":      func(request *Request) { request.Units = math.NaN() },
		"negative units": func(request *Request) { request.Units = -1 },
		"no timeout":     func(request *Request) { request.Timeout = 0 },
	}
	for name, invalidate := range cases {
		tg, request := newTestGateway(t, testSettings(), testBackends(1)...), valid
		invalidate(&request)
		if rejects, _ := countFinalAnswers(tg.handle(request)); rejects != 1 {
			t.Errorf("%s: got %d rejections, want 1", name, rejects)
		}
	}
	tg := newTestGateway(t, testSettings())
	if rejects, _ := countFinalAnswers(tg.handle(valid)); rejects != 1 || slotsInUse(tg.gateway) != 0 {
		t.Errorf("no backend: got %d rejections and %d slots in use, want 1 and 0", rejects, slotsInUse(tg.gateway))
	}
}

func TestEqualGatewaysReturnEqualActions(t *testing.T) {
	left, right := newTestGateway(t, testSettings(), testBackends(7)...),
		newTestGateway(t, testSettings(), testBackends(7)...)
	for i := range 500 {
		left.now += 3 * ms
		right.now = left.now
		_, leftActions := left.submit("safe", "small", CustomerID(i%9))
		_, rightActions := right.submit("safe", "small", CustomerID(i%9))
		if i%50 == 0 {
			leftActions, rightActions =
				append(leftActions, left.handle(Timer{})...), append(rightActions, right.handle(Timer{})...)
		}
		if !reflect.DeepEqual(leftActions, rightActions) {
			t.Fatalf("step %d: got actions %v and %v, want them equal", i, leftActions, rightActions)
		}
	}
}

func TestIdleCustomersAreDeleted(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(1)...)
	for i := range 1000 {
		id, actions := tg.submit("safe", "small", CustomerID(i))
		tg.endAttempt(id, sendActions(actions)[0].Backend, 0, Answered)
	}
	tg.now += customerIdleTime + second
	tg.handle(Timer{})
	if n := len(tg.gateway.customers); n != 0 {
		t.Errorf("got %d customers after all have been idle for more than customerIdleTime, want 0", n)
	}
}
