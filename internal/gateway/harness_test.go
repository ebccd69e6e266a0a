package gateway

import (
	"testing"
	"time"
)

// The test harness: a single gateway, and the helpers that most tests use.

// testSettings returns settings with a class for each effect and deduplication scope and a plan for each kind of limit.
func testSettings() Settings {
	return Settings{Gateways: 2, Zone: "z1", MeterPeriod: second, MaxRequestUnits: 2, MaxAttempts: 3,
		ParallelAttempts: true, CanCancel: true, AnswerGrace: 16 * ms, DrainGrace: second, ColdCapacity: 0.2,
		WarmUpTime: 10 * second, OverloadMultiple: 2.5, OverloadTime: second, MaxRetryAfter: second,
		Classes: []Class{
			{Name: "safe", Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 1},
			{Name: "valuable", Effect: Safe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 5},
			{Name: "unsafe", Effect: Unsafe, TargetLatency: 2 * second, Deadline: 6 * second, Value: 3},
			{Name: "dedup", Effect: Deduplicated, Scope: ScopeAll, DedupWindow: 3 * second,
				TargetLatency: 2 * second, Deadline: 6 * second, Value: 3},
			{Name: "dedup-cell", Effect: Deduplicated, Scope: ScopeCell, DedupWindow: 3 * second,
				TargetLatency: 2 * second, Deadline: 6 * second, Value: 3},
			{Name: "dedup-zone", Effect: Deduplicated, Scope: ScopeZone, DedupWindow: 3 * second,
				TargetLatency: 2 * second, Deadline: 6 * second, Value: 3},
		},
		Plans: []Plan{
			{Name: "large", Rate: 1000, Burst: 1000, ValueFactor: 1},
			{Name: "small", Rate: 2, Burst: 4, ValueFactor: 1},
			{Name: "ceiling", Rate: 100, Burst: 100, ValueFactor: 1, CeilingRate: 4, CeilingBurst: 8, CeilingSlack: 1},
			{Name: "in-flight", MaxInFlight: 4, ValueFactor: 1},
		}}
}

// slotsInUse returns the number of slots that are in use in all partitions.
func slotsInUse(gateway *Gateway) int {
	return gateway.inUse[highReserve] + gateway.inUse[lowReserve] + gateway.inUse[sharedPool]
}

const testStart = 1000 * second // time at which the clock of a testGateway starts

// testGateway is a gateway that a test drives event by event, with the clock that the test advances.
type testGateway struct {
	t             *testing.T
	gateway       *Gateway
	now           time.Duration
	lastRequestID RequestID
}

// newTestGateway returns a gateway that has received a saved list of the backends.
func newTestGateway(t *testing.T, settings Settings, backends ...BackendInfo) *testGateway {
	t.Helper()
	tg := &testGateway{t: t, now: testStart}
	gateway, err := New(settings, 7, tg.now)
	if err != nil {
		t.Fatal(err)
	}
	tg.gateway = gateway
	tg.handle(BackendList{Kind: ListSaved, Backends: backends})
	return tg
}

// testBackends returns n ready backends with the ids from 1, alternating between two zones and two cells.
func testBackends(n int) (backends []BackendInfo) {
	for i := 1; i <= n; i++ {
		backends = append(backends, BackendInfo{ID: BackendID(i), Zone: "z" + string(rune('0'+i%2)), Cell: i % 2})
	}
	return backends
}

// handle passes an event to the gateway at the test's present time.
func (tg *testGateway) handle(event Event) []Action { return tg.gateway.Handle(tg.now, event, nil) }

// submit passes a new request of one unit to the gateway and returns its id and the resulting actions.
func (tg *testGateway) submit(class, plan string, customer CustomerID) (RequestID, []Action) {
	tg.lastRequestID++
	return tg.lastRequestID, tg.handle(Request{ID: tg.lastRequestID, Customer: customer, Class: class, Plan: plan,
		Units: 1, Timeout: 6 * second, GatewayCount: 2})
}

// sendActions returns the Send actions among the actions.
func sendActions(actions []Action) (sends []Send) {
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			sends = append(sends, send)
		}
	}
	return sends
}

// countFinalAnswers returns the number of Reject and of Fail actions among the actions.
func countFinalAnswers(actions []Action) (rejected, failed int) {
	for _, action := range actions {
		switch action.(type) {
		case Reject:
			rejected++
		case Fail:
			failed++
		}
	}
	return
}

// endAttempt ends an attempt with the result, 100 ms after it was sent. Only an answer ends the request as well.
func (tg *testGateway) endAttempt(request RequestID, backend BackendID, attempt int, result Result) []Action {
	return tg.handle(Outcome{Request: request, Backend: backend, Attempt: attempt, Result: result,
		Duration: 100 * ms, Final: result == Answered})
}
