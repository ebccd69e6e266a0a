package gateway

import (
	"math"
	"testing"
	"time"
)

// newQuotaGateway returns a gateway with one customer of the plan "small", and the customer. The plan has a rate of 2
// units per second and a burst of 4 units, which is 200 percent-seconds.
func newQuotaGateway(t *testing.T) (*testGateway, *customerState) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	tg.submit("safe", "small", 5)
	return tg, tg.gateway.customers[5]
}

// handleReading passes a reading of the meter, in percent of the rate, to the gateway.
func (tg *testGateway) handleReading(customer *customerState, usagePercent float64) {
	tg.gateway.now = tg.now
	tg.gateway.onReading(customer, usagePercent)
}

func TestOneReadingCountsPerPeriod(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	tg.now += 10 * second
	for range 5 {
		tg.handleReading(customer, 300)
		tg.now += 50 * ms
	}
	if customer.meteredLevel != 0 { // 200 + 100 - 300
		t.Errorf("got level %v after a reading of 300 that was repeated, want 0", customer.meteredLevel)
	}
	tg.now += second
	for range 3 {
		tg.handleReading(customer, 60)
	}
	if math.Abs(customer.meteredLevel-65) > 30 { // the 0.25 s between the periods also refill the bucket
		t.Errorf("got level %v after a reading of 60, want 35 to 95", customer.meteredLevel)
	}
}

func TestPassProbabilityFollowsTheReadings(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	for _, step := range []struct{ usagePercent, want float64 }{{500, 0.2}, {200, 0.1}, {0, 1}} {
		tg.now += second
		customer.meteredLevel, customer.meteredUntil = 0, tg.now-(1+readingDelay)*second // as if a period had passed
		tg.handleReading(customer, step.usagePercent)
		if math.Abs(customer.passProbability-step.want) > 0.01 {
			t.Errorf("after a reading of %v: got pass probability %v, want %v",
				step.usagePercent, customer.passProbability, step.want)
		}
	}
}

func TestMeteredLevelStaysBetweenZeroAndTheBurst(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	for _, usagePercent := range []float64{9000, 0, 0, 0, 700, 100, 0, 0, 0, 0, 0} {
		tg.now += second
		tg.handleReading(customer, usagePercent)
		if customer.meteredLevel < 0 || customer.meteredLevel > customer.capacity() {
			t.Errorf("got level %v after a reading of %v, want one from 0 to the burst",
				customer.meteredLevel, usagePercent)
		}
	}
	if customer.meteredLevel != customer.capacity() {
		t.Errorf("got level %v after five idle periods, want the burst", customer.meteredLevel)
	}
}

// Readings come seconds late. Before the level was projected, a whole burst passed at every gateway before a reading
// showed it.
func TestBurstIsLimitedBeforeAnyReading(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	sent := 0
	for range 20 {
		_, actions := tg.submit("safe", "small", 6)
		sent += len(sendActions(actions))
	}
	if sent < 1 || sent > 2 { // the burst of 4 over two gateways
		t.Errorf("got %d of 20 requests sent at once, want 1 or 2", sent)
	}
}

// The projected level also limits a customer whose bucket is empty. With the pass probability alone, the number of
// admitted requests swung between none and a flood.
func TestProjectedLevelAppliesToAnEmptyBucket(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	tg.now += second
	customer.meteredLevel, customer.meteredUntil, customer.passProbability, customer.recentSends = 0, tg.now, 1, nil
	_, actions := tg.submit("safe", "small", 5)
	if len(sendActions(actions)) != 0 {
		t.Error("got a send with an empty bucket and a pass probability of 1, want none")
	}
}

// Readings come with answers. A customer whose requests are rejected until no more readings come must regain its quota
// by time alone.
func TestBucketRefillsWithoutReadings(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	tg.now += second
	tg.handleReading(customer, 900)
	for range 200 {
		tg.submit("safe", "small", 5)
	}
	customer.passProbability = 0.001
	tg.now += 8 * second
	_, actions := tg.submit("safe", "small", 5)
	if len(sendActions(actions)) != 1 {
		t.Error("got no send eight seconds later, want one")
	}
	if got := len(customer.recentSends); got > 10 {
		t.Errorf("got %d recent sends kept, want at most 10", got)
	}
}

// The margin of the projected level is a share of the burst. When it was half a request, small plans rejected the
// largest requests even with a full bucket.
func TestLargestRequestsPassWithAFullBucket(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	actions := tg.handle(Request{ID: 900, Customer: 8, Class: "safe", Plan: "small", Units: 3.5, Timeout: second,
		GatewayCount: 2})
	if len(sendActions(actions)) != 1 {
		t.Error("got no send for a request of 3.5 units with a full bucket of 4, want one")
	}
}

func TestReadingsLimitAPlanWithoutARate(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	_, actions := tg.submit("safe", "in-flight", 4)
	customer := tg.gateway.customers[4]
	tg.now += second
	tg.handleReading(customer, 400)
	if len(sendActions(actions)) != 1 || customer.passProbability > 0.26 || time.Duration(customer.meteredLevel) != 0 {
		t.Errorf("got sends %v, pass probability %v and level %v, want one send, at most 0.26 and 0",
			sendActions(actions), customer.passProbability, customer.meteredLevel)
	}
}

// Answers repeat a reading for up to a period, and readings jitter. A repeat is recognised by its value, so that a new
// reading may come early. A rule by time alone lowered the score (from 0 to 1) of a simulated day with light load by
// 0.06, with a meter period of two seconds.
func TestRepeatedReadingsAreRecognisedByTheirValue(t *testing.T) {
	tg, customer := newQuotaGateway(t)
	tg.now += 10 * second
	tg.handleReading(customer, 40)
	countedAt := customer.lastReadingAt
	tg.now += 800 * ms
	if tg.handleReading(customer, 40); customer.lastReadingAt != countedAt {
		t.Error("the same value within a period was counted again, want it ignored")
	}
	if tg.handleReading(customer, 70); customer.lastReadingAt == countedAt {
		t.Error("a new value after most of a period was ignored, want it counted")
	}
}

// Answers report the meter's periods with jitter and out of order. However often the readings differ, one is counted
// per period, and the end of the last counted period is not in the future.
func TestReadingsOutOfOrderCountOncePerPeriod(t *testing.T) {
	tg := newTestGateway(t, testSettings(), testBackends(2)...)
	customer := tg.gateway.customerFor(Request{Customer: 1, Units: 1, GatewayCount: 1}, tg.gateway.plans["small"])
	start := tg.now
	counted := 0
	for i := range 400 {
		tg.now += 50 * ms
		tg.gateway.now = tg.now
		meteredTime := customer.meteredTime
		tg.gateway.onReading(customer, float64(40+i%2))
		if customer.meteredTime != meteredTime {
			counted++
		}
		// The first reading of a new customer covers its first period.
		if customer.meteredUntil > tg.now && tg.now-start > second {
			t.Fatalf("after %v: got meteredUntil %v ahead of the clock, want it not in the future",
				tg.now-start, customer.meteredUntil-tg.now)
		}
	}
	if minCounted, maxCounted := 16, 21; counted < minCounted || counted > maxCounted {
		t.Errorf("got %d readings counted in 20 periods, want 16 to 21", counted)
	}
}

// admittedShare returns the share of the requests of one customer of the plan "small" that is admitted from the fifth
// second on. Each of 40 gateways gets a request of one unit from the customer every 4 s, one gateway after another, so
// the customer requests 10 units per second, five times its rate. Answers report usagePercent as its use, or none if
// that is below 0.
func admittedShare(t *testing.T, usagePercent float64) float64 {
	const gateways = 40
	settings := testSettings()
	settings.Gateways = gateways
	testGateways := make([]*testGateway, gateways)
	for i := range testGateways {
		settings.Index = i
		testGateways[i] = newTestGateway(t, settings, testBackends(2)...)
	}
	requested, admitted := 0, 0
	for n := range 300 {
		tg := testGateways[n%gateways]
		tg.now = testStart + time.Duration(n)*100*ms
		tg.lastRequestID++
		actions := tg.handle(Request{ID: tg.lastRequestID, Customer: 5, Class: "safe", Plan: "small", Units: 1,
			Timeout: second, GatewayCount: gateways})
		if n >= 50 {
			requested, admitted = requested+1, admitted+len(sendActions(actions))
		}
		for _, send := range sendActions(actions) {
			tg.handle(Outcome{Request: send.Request, Backend: send.Backend, Duration: 50 * ms, Final: true,
				HasUsage: usagePercent >= 0, UsagePercent: usagePercent})
		}
	}
	return float64(admitted) / float64(requested)
}

// One of many gateways cannot see what a customer requests elsewhere, but a customer of low use would rarely come to it
// as often as this one does. So it assumes a high use, unless readings show that the use is low.
func TestOneOfManyGatewaysAssumesHighUse(t *testing.T) {
	for gateways, minUse := range map[int]float64{2: 0, 40: 150} {
		settings := testSettings()
		settings.Gateways = gateways
		tg := newTestGateway(t, settings, testBackends(2)...)
		tg.handle(Request{ID: 1, Customer: 5, Class: "safe", Plan: "small", Units: 1, Timeout: second,
			GatewayCount: gateways})
		customer := tg.gateway.customers[5]
		steady, perSend := customer.otherUse(tg.now)
		if use := steady + perSend*priorUsePercent; use < minUse || gateways == 2 && use > 60 {
			t.Errorf("%d gateways: got assumed use %.0f%% of the others, want at most 60%% for 2, 150%% or more for 40",
				gateways, use)
		}
	}
	if share := admittedShare(t, -1); share > 0.95 {
		t.Errorf("no readings: got %.2f of the requests at five times the rate admitted, want at most 0.95", share)
	}
	if share := admittedShare(t, 20); share < 0.85 {
		t.Errorf("readings of 20%%: got %.2f of the requests admitted, want at least 0.85", share)
	}
}
