package scalelab

import (
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// Size is the size of the system around a gateway.
type Size struct {
	Backends  int `json:"backends"`
	Customers int `json:"customers"`
	Classes   int `json:"classes"`
	Gateways  int `json:"gateways"`
}

// Validate returns an error that names the first dimension that is out of range.
func (s Size) Validate() error {
	for _, dimension := range []struct {
		name           string
		value, maximum int
	}{{"backends", s.Backends, maxBackends}, {"customers", s.Customers, maxCustomers},
		{"classes", s.Classes, maxClasses}, {"gateways", s.Gateways, maxGateways}} {
		if dimension.value < 1 || dimension.value > dimension.maximum {
			return fmt.Errorf("%d %s: must be between 1 and %d", dimension.value, dimension.name, dimension.maximum)
		}
	}
	return nil
}

// Upper bounds of a size. They keep the memory of one run under 8 GB.
const (
	maxBackends  = 200_000
	maxCustomers = 1_000_000
	maxClasses   = 100_000
	maxGateways  = 10_000
)

const (
	meterPeriod        = 500 * time.Millisecond
	classTargetLatency = 600 * time.Millisecond
	requestDeadline    = 2500 * time.Millisecond // deadline of every class and client timeout of every request
	maxRequestUnits    = 8                       // units of the largest request
)

// newSettings returns the settings of a fleet of the size, with a plan whose quota the generated traffic never
// exhausts.
func newSettings(size Size) Settings {
	settings := Settings{Gateways: size.Gateways, Zone: zoneName(0), MeterPeriod: meterPeriod,
		MaxRequestUnits: maxRequestUnits, MaxAttempts: 3, CanCancel: true,
		AnswerGrace: 50 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		ColdCapacity: 0.19, WarmUpTime: 15 * time.Second, OverloadMultiple: 3, OverloadTime: 1500 * time.Millisecond,
		MaxRetryAfter: time.Second}
	for number := range size.Classes {
		settings.Classes = append(settings.Classes, gateway.Class{Name: className(number), Effect: gateway.Safe,
			TargetLatency: classTargetLatency, Deadline: requestDeadline, Value: 3})
	}
	settings.Plans = []Plan{{Name: amplePlan, Rate: 1e6, Burst: 1e6, ValueFactor: 1}}
	return settings
}

// amplePlan is the name of the plan whose quota the generated traffic never exhausts.
const amplePlan = "wide"

func className(number int) string { return fmt.Sprintf("class-%d", number) }
func zoneName(number int) string  { return fmt.Sprintf("zone-%d", number) }

// newBackends returns a list of ready backends, numbered from 1 and spread evenly over the zones.
func newBackends(count int) []BackendInfo {
	backends := make([]BackendInfo, count)
	for i := range backends {
		backends[i] = BackendInfo{ID: BackendID(i + 1), State: gateway.Ready, Zone: zoneName(i % TargetZones),
			MachineType: "std-2core", Cell: i, Weight: 1}
	}
	return backends
}

// asReady returns the entry of a backend whose process started at the given time and is ready.
func asReady(backend BackendInfo, started time.Duration) BackendInfo {
	backend.State, backend.Started = gateway.Ready, started
	return backend
}

// asDraining returns the entry of a backend that drains.
func asDraining(backend BackendInfo) BackendInfo {
	backend.State = gateway.Draining
	return backend
}

// asGone returns the entry of a backend that was removed.
func asGone(backend BackendInfo) BackendInfo {
	backend.State = gateway.Gone
	return backend
}
