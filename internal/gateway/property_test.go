package gateway

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The property tests give several gateways random but valid events and check that the actions keep five rules: one
// final answer in time for each request, no send that the settings or the list of backends forbid, no request that may
// run twice against its class, the ceilings, and the protection of cold backends. The events do not depend on load or
// queues, so this is not a model of a back end.

// recordedAttempt is an attempt that a gateway sent.
type recordedAttempt struct {
	gateway, index int // indices of the gateway and of the attempt among its request's
	backend        BackendID
	sentAt         time.Duration
	inFlight       bool
	result         Result
}

// recordedRequest is a request that a gateway was given.
type recordedRequest struct {
	gateway  int // index of the gateway
	request  Request
	deadline time.Duration // when its client times out
	class    Class
	attempts []*recordedAttempt
	ended    bool
	endedAt  time.Duration
}

// pendingTimer is a timer that a gateway set. It expires only if the gateway has not restarted since.
type pendingTimer struct {
	at         time.Duration
	token      uint64
	generation int // generation of the gateway when it set the timer
}

// ruleChecker gives events to gateways and checks their actions against the rules.
type ruleChecker struct {
	t                *testing.T
	settings         Settings
	rng              *rand.Rand
	now              time.Duration
	gateways         []*Gateway
	generations      []int // number of starts of each gateway
	timers           [][]pendingTimer
	receivedBackends []map[BackendID]BackendInfo // the list that each gateway has received
	requests         map[RequestID]*recordedRequest
	activeRequests   []RequestID // not ended or with an attempt in flight, oldest first
	lastRequestID    RequestID
	ceilingLevels    map[CustomerID]float64 // levels of the ceilings' token buckets, as of ceilingLevelAt
	ceilingLevelAt   map[CustomerID]time.Duration
	coldSendTimes    map[BackendID][]time.Duration // of the sends to backends that have just started
	actionLog        []string                      // the actions of all gateways, each after its gateway's index
}

// fail ends the test with a message.
func (c *ruleChecker) fail(format string, args ...any) {
	c.t.Helper()
	c.t.Fatalf("at %v: %s", c.now, fmt.Sprintf(format, args...))
}

// class returns the class with the name.
func (c *ruleChecker) class(name string) Class {
	for _, class := range c.settings.Classes {
		if class.Name == name {
			return class
		}
	}
	c.fail("no class %q", name)
	return Class{}
}

// handle gives an event to a gateway and checks the resulting actions.
func (c *ruleChecker) handle(index int, event Event) {
	for _, action := range c.gateways[index].Handle(c.now, event, nil) {
		c.actionLog = append(c.actionLog, fmt.Sprintf("%d %#v", index, action))
		c.checkAction(index, action)
	}
}

// checkAction checks an action against the rules and records it.
func (c *ruleChecker) checkAction(index int, action Action) {
	recordFinalAnswer := func(id RequestID, rejected bool) {
		request := c.requests[id]
		if request == nil || request.gateway != index || request.ended {
			c.fail("got a final answer for request %d, which is unknown or has ended", id)
		}
		if c.now > request.deadline+c.settings.AnswerGrace {
			c.fail("request %d: got a final answer %v after its deadline, want at most %v", id,
				c.now-request.deadline, c.settings.AnswerGrace)
		}
		for _, attempt := range request.attempts {
			if rejected && request.class.Effect != Safe && (attempt.inFlight || !neverRan(attempt.result)) &&
				(request.class.Effect == Unsafe || request.class.Scope != ScopeAll) {
				c.fail("got a Reject of %s request %d, which may have run, want Fail", request.class.Name, id)
			}
		}
		request.ended, request.endedAt = true, c.now
	}
	switch action := action.(type) {
	case Send:
		c.checkSend(index, action)
	case Reject:
		recordFinalAnswer(action.Request, true)
	case Fail:
		recordFinalAnswer(action.Request, false)
	case Cancel:
		if request := c.requests[action.Request]; request == nil || action.Attempt < 0 ||
			action.Attempt >= len(request.attempts) {
			c.fail("got a cancellation of an attempt that was not sent: %+v", action)
		}
	case SetTimer:
		c.timers[index] = append(c.timers[index],
			pendingTimer{c.now + action.After, action.Token, c.generations[index]})
	}
}

// checkSend checks a send against the rules and records it.
func (c *ruleChecker) checkSend(index int, send Send) {
	request := c.requests[send.Request]
	if request == nil || request.gateway != index || request.ended {
		c.fail("got a send for request %d, which is unknown or has ended", send.Request)
	}
	backend, known := c.receivedBackends[index][send.Backend]
	if !known || backend.State != Ready {
		c.fail("got a send to backend %d, which is unknown, draining or gone", send.Backend)
	}
	if len(request.attempts) >= c.settings.MaxAttempts {
		c.fail("got more than %d attempts for request %d", c.settings.MaxAttempts, send.Request)
	}
	for _, attempt := range request.attempts {
		if attempt.inFlight && !c.settings.ParallelAttempts {
			c.fail("got two attempts of request %d in flight at once, want one", send.Request)
		}
		if !attempt.inFlight && neverRan(attempt.result) || request.class.Effect == Safe {
			continue
		}
		earlierBackend := c.receivedBackends[index][attempt.backend]
		if request.class.Effect == Unsafe || c.now-attempt.sentAt > request.class.DedupWindow ||
			request.class.Scope == ScopeZone && earlierBackend.Zone != backend.Zone ||
			request.class.Scope == ScopeCell && earlierBackend.Cell != backend.Cell {
			c.fail("got a repeat of %s request %d where it may run twice", request.class.Name, send.Request)
		}
	}
	if plan := c.plan(request.request.Plan); len(request.attempts) == 0 && plan.CeilingRate > 0 {
		customer := request.request.Customer
		level, ok := c.ceilingLevels[customer]
		if !ok {
			level = plan.CeilingBurst
		}
		level = min(plan.CeilingBurst, level+plan.CeilingRate*(c.now-c.ceilingLevelAt[customer]).Seconds()) -
			request.request.Units
		if c.ceilingLevels[customer], c.ceilingLevelAt[customer] = level, c.now; level < -plan.CeilingSlack {
			c.fail("customer %d: got level %v of the ceiling's bucket, want at least %v", customer, level,
				-plan.CeilingSlack)
		}
	}
	request.attempts = append(request.attempts, &recordedAttempt{gateway: index, index: len(request.attempts),
		backend: send.Backend, sentAt: c.now, inFlight: true})
	if backend.Started > 0 && c.now-backend.Started < c.settings.WarmUpTime/2 {
		c.coldSendTimes[send.Backend] = append(c.coldSendTimes[send.Backend], c.now)
		count := 0
		for _, at := range c.coldSendTimes[send.Backend] {
			count += boolToInt(c.now-at <= c.settings.OverloadTime)
		}
		// All gateways together may send as much as to a warm backend, and one attempt each.
		if limit := len(c.gateways) + int(1.5*minStepsPerSecond/3); count > limit {
			c.fail("got %d sends in %v to backend %d, which has just started, want at most %d", count,
				c.settings.OverloadTime, backend.ID, limit)
		}
	}
}

const minStepsPerSecond = 60 // least number of steps per second, most of which are requests

// neverRan reports whether a result proves that the attempt did not run.
func neverRan(result Result) bool {
	return result == Rejected || result == NoConnection || result == NotSent
}

// plan returns the plan with the name, or an empty one.
func (c *ruleChecker) plan(name string) Plan {
	for _, plan := range c.settings.Plans {
		if plan.Name == name {
			return plan
		}
	}
	return Plan{}
}

// start starts or restarts a gateway with no state but a saved list.
func (c *ruleChecker) start(index int) {
	c.settings.Index = index
	gateway, err := New(c.settings, c.rng.Uint64(), c.now)
	if err != nil {
		c.t.Fatal(err)
	}
	c.gateways[index] = gateway
	c.generations[index]++
	list := BackendList{Kind: ListSaved}
	for id := BackendID(1); id < 100; id++ {
		if backend, ok := c.receivedBackends[index][id]; ok && backend.State != Gone {
			list.Backends = append(list.Backends, backend)
		}
	}
	c.handle(index, list)
}

// step advances the clock, gives the gateways their timers and random outcomes, and then one random event.
func (c *ruleChecker) step() {
	c.now += time.Duration(c.rng.IntN(int(2*second/minStepsPerSecond/2))) + 1
	for index := range c.gateways {
		kept := c.timers[index][:0:0]
		due := []pendingTimer{}
		for _, timer := range c.timers[index] {
			if timer.generation != c.generations[index] {
				continue
			} else if timer.at <= c.now {
				due = append(due, timer)
			} else {
				kept = append(kept, timer)
			}
		}
		c.timers[index] = kept
		for _, timer := range due {
			c.handle(index, Timer{Token: timer.token})
		}
	}
	kept := c.activeRequests[:0]
	for _, id := range c.activeRequests { // ends attempts at random, and those of clients that have timed out
		request := c.requests[id]
		for _, attempt := range request.attempts {
			if !attempt.inFlight || c.rng.IntN(25) != 0 && c.now < request.deadline+200*ms && !request.ended {
				continue
			}
			result := Result(c.rng.IntN(int(Unknown) + 1))
			if c.rng.IntN(20) != 0 {
				result = Answered
			}
			if c.now >= request.deadline {
				result = TimedOut
			}
			if result == Answered && !request.ended {
				request.ended, request.endedAt = true, c.now
			}
			attempt.inFlight, attempt.result = false, result
			c.handle(request.gateway, Outcome{Request: id, Backend: attempt.backend, Attempt: attempt.index,
				Result: result, Duration: c.now - attempt.sentAt, Final: request.ended,
				HasUsage: c.rng.IntN(2) == 0, UsagePercent: float64(c.rng.IntN(300))})
		}
		if !request.ended && c.now > request.deadline+c.settings.AnswerGrace {
			c.fail("request %d of class %s: got no final answer %v after its deadline, want one within %v", id,
				request.class.Name, c.now-request.deadline, c.settings.AnswerGrace)
		}
		inFlight := false
		for _, attempt := range request.attempts {
			inFlight = inFlight || attempt.inFlight
		}
		if inFlight || !request.ended {
			kept = append(kept, id)
		}
	}
	c.activeRequests = kept
	switch index := c.rng.IntN(len(c.gateways)); c.rng.IntN(60) {
	case 0: // the gateway restarts and loses its requests
		for _, id := range c.activeRequests {
			if request := c.requests[id]; request.gateway == index {
				request.ended = true
				request.attempts = nil
			}
		}
		c.start(index)
	case 1, 2: // a backend starts to drain, is removed, or starts
		backend := BackendInfo{ID: BackendID(1 + c.rng.IntN(8)), State: BackendState(c.rng.IntN(3)), Zone: "z"}
		backend.Cell = int(backend.ID) % 2
		backend.Zone = fmt.Sprint("z", backend.Cell)
		if backend.State == Ready {
			backend.Started = c.now
		}
		for i := range c.gateways {
			c.receivedBackends[i][backend.ID] = backend
			c.handle(i, BackendList{Kind: ListChanges, Backends: []BackendInfo{backend}})
		}
	case 3: // a client leaves
		if len(c.activeRequests) > 0 {
			id := c.activeRequests[c.rng.IntN(len(c.activeRequests))]
			c.requests[id].ended = true
			c.handle(c.requests[id].gateway, ClientGone{Request: id})
		}
	default: // a request arrives
		c.lastRequestID++
		newRequest := Request{ID: c.lastRequestID, Customer: CustomerID(c.rng.IntN(6)), Units: 1,
			Class:        c.settings.Classes[c.rng.IntN(len(c.settings.Classes))].Name,
			GatewayCount: min(len(c.gateways), 4), FirstGateway: len(c.gateways) - 2}
		newRequest.Plan = c.settings.Plans[int(newRequest.Customer)%len(c.settings.Plans)].Name
		newRequest.Timeout = second + time.Duration(c.rng.IntN(int(5*second)))
		c.requests[newRequest.ID] = &recordedRequest{gateway: index, request: newRequest,
			class: c.class(newRequest.Class), deadline: c.now + newRequest.Timeout}
		c.activeRequests = append(c.activeRequests, newRequest.ID)
		c.handle(index, newRequest)
	}
}

// runRuleChecker checks a fleet of gateways over a number of steps and returns the log of the actions. Attempts of a
// request may be in flight in parallel if parallel is set.
func runRuleChecker(t *testing.T, seed uint64, gateways int, parallel bool, steps int) []string {
	settings := testSettings()
	settings.Gateways, settings.ParallelAttempts, settings.AnswerGrace = gateways, parallel, 80*ms
	checker := &ruleChecker{t: t, settings: settings, rng: rand.New(rand.NewPCG(seed, 1)), now: 500 * second,
		gateways: make([]*Gateway, gateways), generations: make([]int, gateways),
		timers: make([][]pendingTimer, gateways), requests: map[RequestID]*recordedRequest{},
		ceilingLevels: map[CustomerID]float64{}, ceilingLevelAt: map[CustomerID]time.Duration{},
		coldSendTimes: map[BackendID][]time.Duration{}}
	for index := range checker.gateways {
		checker.receivedBackends = append(checker.receivedBackends, map[BackendID]BackendInfo{})
		for _, backend := range testBackends(6) {
			checker.receivedBackends[index][backend.ID] = backend
		}
	}
	for index := range checker.gateways {
		checker.start(index)
	}
	for range steps {
		checker.step()
	}
	return checker.actionLog
}

// The rules hold under random events in fleets of 3 and of 40 gateways.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		sent, gateways, minSent := 0, 3, 120
		if seed > 8 { // many gateways with few requests each; the last two rules are over all of them
			gateways, minSent = 40, 60
		}
		// Counts the sends of the gateways with an index of one digit.
		for _, line := range runRuleChecker(t, seed, gateways, seed%2 == 0, 15000) {
			if strings.HasPrefix(line[min(2, len(line)):], "gateway.Send") {
				sent++
			}
		}
		if sent < minSent {
			t.Errorf("seed %d: got %d sends, want at least %d", seed, sent, minSent)
		}
	}
}

// Gateways with equal seeds and events return equal actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	if a, b := runRuleChecker(t, 5, 3, true, 2000), runRuleChecker(t, 5, 3, true, 2000); !reflect.DeepEqual(a, b) {
		t.Error("got different actions from two runs with the same seed, want the same actions")
	}
}
