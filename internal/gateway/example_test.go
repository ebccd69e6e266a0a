package gateway_test

import (
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// The embedding program passes each event to Handle and carries out the actions that it returns.
func Example() {
	g, err := gateway.New(gateway.Settings{
		Gateways:    1,
		MaxAttempts: 3,
		MeterPeriod: time.Second,
		Classes:     []gateway.Class{{Name: "lookup", TargetLatency: time.Second, Deadline: 4 * time.Second, Value: 1}},
		Plans:       []gateway.Plan{{Name: "basic", Rate: 2, Burst: 6, ValueFactor: 1}},
	}, 1, 0)
	if err != nil {
		fmt.Println(err)
		return
	}
	g.Handle(0, gateway.BackendList{Kind: gateway.ListFull,
		Backends: []gateway.BackendInfo{{ID: 7}}}, nil)
	actions := g.Handle(time.Millisecond, gateway.Request{ID: 1, Customer: 42, Class: "lookup", Plan: "basic",
		Units: 1, Timeout: 3 * time.Second, GatewayCount: 1}, nil)
	for _, a := range actions {
		if s, ok := a.(gateway.Send); ok {
			fmt.Println("send request", s.Request, "to backend", s.Backend)
		}
	}
	// Output: send request 1 to backend 7
}
