package gateway

import (
	"testing"
	"time"
)

// A gateway by itself, with the helpers that most tests use.

func testSettings() Settings {
	return Settings{Gateways: 2, Zone: "z1", MeterPeriod: second, MaxRequestUnits: 2, MaxAttempts: 3,
		ParallelAttempts: true, CanCancel: true, AnswerGrace: 16 * ms, DrainGrace: second, ColdCapacity: 0.2,
		WarmUpTime: 10 * second, OverloadMultiple: 2.5, OverloadTime: second, MaxRetryAfter: second,
		Classes: []Class{
			{Name: "safe", Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 1},
			{Name: "dear", Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 5},
			{Name: "once", Effect: Unsafe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 3},
			{Name: "keyed", Effect: Deduplicated, Scope: ScopeAll, DedupWindow: 3 * second, TargetLatency: 2 * second,
				Deadline: 6 * second, Value: 3},
			{Name: "celled", Effect: Deduplicated, Scope: ScopeCell, DedupWindow: 3 * second, TargetLatency: 2 * second,
				Deadline: 6 * second, Value: 3},
			{Name: "zoned", Effect: Deduplicated, Scope: ScopeZone, DedupWindow: 3 * second, TargetLatency: 2 * second,
				Deadline: 6 * second, Value: 3},
		},
		Plans: []Plan{
			{Name: "wide", Rate: 1000, Burst: 1000, ValueFactor: 1},
			{Name: "rated", Rate: 2, Burst: 4, ValueFactor: 1},
			{Name: "capped", Rate: 100, Burst: 100, ValueFactor: 1, CeilingRate: 4, CeilingBurst: 8, CeilingSlack: 1},
			{Name: "open", MaxInFlight: 4, ValueFactor: 1},
		}}
}

// held is how many slots are taken.
func held(g *Gateway) int { return g.inUse[highReserve] + g.inUse[lowReserve] + g.inUse[sharedPool] }

// rig drives one gateway by hand-made events.
type rig struct {
	t    *testing.T
	g    *Gateway
	now  time.Duration
	next RequestID
}

func newRig(t *testing.T, s Settings, backends ...BackendInfo) *rig {
	t.Helper()
	r := &rig{t: t, now: 1000 * second}
	g, err := New(s, 7, r.now)
	if err != nil {
		t.Fatal(err)
	}
	r.g = g
	r.do(BackendList{Kind: ListSaved, Backends: backends})
	return r
}

func fleet(n int) (out []BackendInfo) {
	for i := 1; i <= n; i++ {
		out = append(out, BackendInfo{ID: BackendID(i), Zone: "z" + string(rune('0'+i%2)), Cell: i % 2})
	}
	return out
}

func (r *rig) do(ev Event) []Action { return r.g.Handle(r.now, ev, nil) }

func (r *rig) ask(class, plan string, customer CustomerID) (RequestID, []Action) {
	r.next++
	return r.next, r.do(Request{ID: r.next, Customer: customer, Class: class, Plan: plan, Units: 1,
		Timeout: 6 * second, GatewayCount: 2})
}

func sends(as []Action) (out []Send) {
	for _, a := range as {
		if s, ok := a.(Send); ok {
			out = append(out, s)
		}
	}
	return out
}

func finals(as []Action) (refused, failed int) {
	for _, a := range as {
		switch a.(type) {
		case Reject:
			refused++
		case Fail:
			failed++
		}
	}
	return
}

func (r *rig) outcome(id RequestID, b BackendID, try int, res Result) []Action {
	return r.do(Outcome{Request: id, Backend: b, Attempt: try, Result: res, Duration: 100 * ms, Final: res == Answered})
}
