package gateway

import (
	"math"
	"testing"
	"time"
)

// quotaRig has one customer of the plan "rated": 2 units a second, a burst of 4 units or 200 percent-seconds.
func quotaRig(t *testing.T) (*testGateway, *customerState) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	r.submit("safe", "rated", 5)
	return r, r.gateway.customers[5]
}

func (r *testGateway) reading(c *customerState, use float64) {
	r.gateway.now = r.now
	r.gateway.onReading(c, use)
}

func TestOneReadingCountsOnceAPeriod(t *testing.T) {
	r, c := quotaRig(t)
	r.now += 10 * second
	for range 5 {
		r.reading(c, 300)
		r.now += 50 * ms
	}
	if c.meteredLevel != 0 { // 200 + 100 - 300
		t.Errorf("store %v after one reading of 300, repeated; want 0", c.meteredLevel)
	}
	r.now += second
	for range 3 {
		r.reading(c, 60)
	}
	if math.Abs(c.meteredLevel-65) > 30 { // the 0.25 s between the periods fill it too
		t.Errorf("store %v after one reading of 60, want about 65", c.meteredLevel)
	}
}

func TestPassShareFollowsTheReadings(t *testing.T) {
	r, c := quotaRig(t)
	for _, step := range []struct{ use, want float64 }{{500, 0.2}, {200, 0.1}, {0, 1}} {
		r.now += second
		c.meteredLevel, c.meteredUntil = 0, r.now-(1+readingDelay)*second // as a period ago
		r.reading(c, step.use)
		if math.Abs(c.passProbability-step.want) > 0.01 {
			t.Errorf("after a reading of %v the pass share is %v, want %v", step.use, c.passProbability, step.want)
		}
	}
}

func TestStoreStaysBetweenNothingAndTheBurst(t *testing.T) {
	r, c := quotaRig(t)
	for _, use := range []float64{9000, 0, 0, 0, 700, 100, 0, 0, 0, 0, 0} {
		r.now += second
		r.reading(c, use)
		if c.meteredLevel < 0 || c.meteredLevel > c.capacity() {
			t.Errorf("store %v after a reading of %v", c.meteredLevel, use)
		}
	}
	if c.meteredLevel != c.capacity() {
		t.Errorf("store %v after five idle periods, want the burst", c.meteredLevel)
	}
}

// Readings come seconds late: a burst used to pass whole, at every gateway, before one told of it.
func TestABurstIsHeldBeforeAnyReading(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	passed := 0
	for range 20 {
		_, as := r.submit("safe", "rated", 6)
		passed += len(sendActions(as))
	}
	if passed < 1 || passed > 2 { // the burst of 4 over two gateways
		t.Errorf("%d of 20 passed at once, want 1 or 2", passed)
	}
}

// With an empty store f alone once swung between nothing and a flood; the projection holds there too.
func TestProjectionBindsWhereTheStoreIsEmpty(t *testing.T) {
	r, c := quotaRig(t)
	r.now += second
	c.meteredLevel, c.meteredUntil, c.passProbability, c.recentSends = 0, r.now, 1, nil
	_, as := r.submit("safe", "rated", 5)
	if len(sendActions(as)) != 0 {
		t.Error("passed with nothing in the store because f stood at 1")
	}
}

// A customer refused so much that readings stop must get its quota back by time alone.
func TestWithoutReadingsTheStoreFills(t *testing.T) {
	r, c := quotaRig(t)
	r.now += second
	r.reading(c, 900)
	for range 200 {
		r.submit("safe", "rated", 5)
	}
	c.passProbability = 0.001
	r.now += 8 * second
	_, as := r.submit("safe", "rated", 5)
	if len(sendActions(as)) != 1 {
		t.Error("still refused eight seconds later")
	}
	if got := len(c.recentSends); got > 10 {
		t.Errorf("%d draws kept", got)
	}
}

// The margin is a part of the burst: half a request used to bar the largest requests of small plans.
func TestLargestRequestsPassAFullStore(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	as := r.handle(Request{ID: 900, Customer: 8, Class: "safe", Plan: "rated", Units: 3.5, Timeout: second, GatewayCount: 2})
	if len(sendActions(as)) != 1 {
		t.Error("a request of 3.5 units refused with a full store of 4")
	}
}

func TestCustomerOfAPlanWithoutRate(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	_, as := r.submit("safe", "open", 4)
	c := r.gateway.customers[4]
	r.now += second
	r.reading(c, 400)
	if len(sendActions(as)) != 1 || c.passProbability > 0.26 || time.Duration(c.meteredLevel) != 0 {
		t.Errorf("sends %v, pass share %v, store %v", sendActions(as), c.passProbability, c.meteredLevel)
	}
}

// Answers repeat a reading for up to a period, and readings jitter: a repeat is told by its value, so that a new one
// may come early. One rule by time alone lost 0.06 on a quiet day with a period of two seconds.
func TestARepeatIsToldByItsValue(t *testing.T) {
	r, c := quotaRig(t)
	r.now += 10 * second
	r.reading(c, 40)
	counted := c.lastReadingAt
	r.now += 800 * ms
	if r.reading(c, 40); c.lastReadingAt != counted {
		t.Error("the same value within a period was counted again")
	}
	if r.reading(c, 70); c.lastReadingAt == counted {
		t.Error("a new value after most of a period was not counted")
	}
}

// Answers tell the meter's periods with jitter and out of order. However often readings differ, one period counts
// once, and what was counted last ended before now.
func TestReadingsOutOfOrderCountOncePerPeriod(t *testing.T) {
	r := newTestGateway(t, testSettings(), testBackends(2)...)
	c := r.gateway.customerFor(Request{Customer: 1, Units: 1, GatewayCount: 1}, r.gateway.plans["rated"])
	start := r.now
	counted := 0
	for i := range 400 {
		r.now += 50 * ms
		r.gateway.now = r.now
		before := c.meteredTime
		r.gateway.onReading(c, float64(40+i%2))
		if c.meteredTime != before {
			counted++
		}
		if c.meteredUntil > r.now && r.now-start > second { // a new customer's first reading covers its first period
			t.Fatalf("after %v the store is that of %v ahead", r.now-start, c.meteredUntil-r.now)
		}
	}
	if least, most := 16, 21; counted < least || counted > most {
		t.Errorf("%d readings counted in 20 periods", counted)
	}
}

// manyDoorsLetIn plays one customer of the plan "rated" that comes to each of 40 gateways every 4 s, one gateway
// after another, so that it asks for 10 units a second. It tells the share let in from the fifth second on. Answers
// tell of its use where use is 0 or more.
func manyDoorsLetIn(t *testing.T, use float64) float64 {
	const doors = 40
	s := testSettings()
	s.Gateways = doors
	rigs := make([]*testGateway, doors)
	for i := range rigs {
		s.Index = i
		rigs[i] = newTestGateway(t, s, testBackends(2)...)
	}
	asked, let := 0, 0
	for n := range 300 {
		r := rigs[n%doors]
		r.now = 1000*second + time.Duration(n)*100*ms
		r.lastRequestID++
		as := r.handle(Request{ID: r.lastRequestID, Customer: 5, Class: "safe", Plan: "rated", Units: 1, Timeout: second, GatewayCount: doors})
		if n >= 50 {
			asked, let = asked+1, let+len(sendActions(as))
		}
		for _, a := range sendActions(as) {
			r.handle(Outcome{Request: a.Request, Backend: a.Backend, Duration: 50 * ms, Final: true, HasUsage: use >= 0, UsagePercent: use})
		}
	}
	return float64(let) / float64(asked)
}

// A gateway of many that meets a customer again and again can't see how much it asks elsewhere, but it would hardly
// meet one of small use so often. Where the readings tell that the use is small, they count.
func TestOneOfManyDoorsTakesACustomerToAskMuch(t *testing.T) {
	for doors, least := range map[int]float64{2: 0, 40: 150} {
		s := testSettings()
		s.Gateways = doors
		r := newTestGateway(t, s, testBackends(2)...)
		r.handle(Request{ID: 1, Customer: 5, Class: "safe", Plan: "rated", Units: 1, Timeout: second, GatewayCount: doors})
		c := r.gateway.customers[5]
		steady, each := c.otherUse(r.now)
		if use := steady + each*priorUsePercent; use < least || doors == 2 && use > 60 {
			t.Errorf("%d doors: the others are taken to use %.0f in 100 of the rate", doors, use)
		}
	}
	if let := manyDoorsLetIn(t, -1); let > 0.95 {
		t.Errorf("%.2f of what is asked at five times the rate was let in, though nothing tells that the use is small", let)
	}
	if let := manyDoorsLetIn(t, 20); let < 0.85 {
		t.Errorf("%.2f was let in of a customer that uses 20 in 100 by the readings", let)
	}
}
