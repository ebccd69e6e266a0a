package gateway

import (
	"testing"
	"time"
)

// Guards against a gateway that runs out of memory: clients that name a new customer in each request, and are rejected,
// made it remember 300 bytes of each for a minute. Customers that were sent something must still be remembered for that
// long.
func TestFloodOfNewCustomersIsForgotten(t *testing.T) {
	const (
		sentCustomers    = 100
		requestsPerTick  = 10_000
		firstNewCustomer = 1000
	)
	tg := newTestGateway(t, testSettings(), testBackends(3)...)
	for customer := range CustomerID(sentCustomers) {
		id, actions := tg.submit("safe", "large", customer)
		for _, send := range sendActions(actions) {
			tg.endAttempt(id, send.Backend, 0, Answered)
		}
		if !tg.gateway.customers[customer].sent {
			t.Fatalf("customer %d was sent nothing, want an attempt", customer)
		}
	}
	tg.handle(BackendList{Kind: ListFull}) // without backends, so all further requests are rejected
	customer := CustomerID(firstNewCustomer)
	for elapsed := time.Duration(0); elapsed < 50*second; elapsed += second {
		for range requestsPerTick {
			tg.now += second / requestsPerTick
			tg.submit("safe", "large", customer)
			customer++
		}
		tg.handle(Timer{})
		if got, limit := len(tg.gateway.customers), sentCustomers+maxUnsentCustomers; got > limit {
			t.Fatalf("after %v: got %d customers, want at most %d", elapsed+second, got, limit)
		}
	}
	for customer := range CustomerID(sentCustomers) {
		if tg.gateway.customers[customer] == nil {
			t.Errorf("customer %d, which was sent something, is forgotten after 50s, want it remembered", customer)
		}
	}
	if tg.gateway.customers[customer-1] == nil {
		t.Error("the customer of the latest request is forgotten, want the longest idle forgotten first")
	}
	tg.now += customerIdleTime + ms
	tg.handle(Timer{})
	if got := len(tg.gateway.customers); got != 0 {
		t.Errorf("got %d customers a minute after the last request, want none", got)
	}
}
