package scalelab

import (
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// Size is what one gateway is measured against.
type Size struct {
	Backends  int `json:"backends"`
	Customers int `json:"customers"`
	Classes   int `json:"classes"`
	Gateways  int `json:"gateways"`
}

// Validate names a size that can't be played.
func (s Size) Validate() error {
	for _, part := range []struct {
		name        string
		value, most int
	}{{"backends", s.Backends, mostBackends}, {"customers", s.Customers, mostCustomers},
		{"classes", s.Classes, mostClasses}, {"gateways", s.Gateways, mostGateways}} {
		if part.value < 1 || part.value > part.most {
			return fmt.Errorf("%d %s can't be played: from 1 to %d", part.value, part.name, part.most)
		}
	}
	return nil
}

// What a run may ask for at most: the memory of one run stays under 8 GB.
const (
	mostBackends  = 200_000
	mostCustomers = 1_000_000
	mostClasses   = 100_000
	mostGateways  = 10_000
)

const (
	meterPeriod = 500 * time.Millisecond
	classAim    = 600 * time.Millisecond
	deadline    = 2500 * time.Millisecond
	largestUnit = 8
)

// newSettings are the settings of a fleet of the size, with plans that no test traffic uses up.
func newSettings(size Size) Settings {
	settings := Settings{Gateways: size.Gateways, Zone: zoneName(0), MeterPeriod: meterPeriod, MaxRequestUnits: largestUnit,
		MaxAttempts: 3, CanCancel: true, AnswerGrace: 50 * time.Millisecond, DrainGrace: 500 * time.Millisecond,
		ColdCapacity: 0.19, WarmUpTime: 15 * time.Second, OverloadMultiple: 3, OverloadTime: 1500 * time.Millisecond,
		MaxRetryAfter: time.Second}
	for number := range size.Classes {
		settings.Classes = append(settings.Classes, gateway.Class{Name: className(number), Effect: gateway.Safe,
			TargetLatency: classAim, Deadline: deadline, Value: 3})
	}
	settings.Plans = []Plan{{Name: widePlan, Rate: 1e6, Burst: 1e6, ValueFactor: 1}}
	return settings
}

const widePlan = "wide"

func className(number int) string { return fmt.Sprintf("class-%d", number) }
func zoneName(number int) string  { return fmt.Sprintf("zone-%d", number) }

// newBackends lists ready backends, numbered from 1, in all zones alike.
func newBackends(count int) []BackendInfo {
	backends := make([]BackendInfo, count)
	for i := range backends {
		backends[i] = BackendInfo{ID: BackendID(i + 1), State: gateway.Ready, Zone: zoneName(i % TargetZones),
			MachineType: "std-2core", Cell: i, Weight: 1}
	}
	return backends
}

// The states of a backend's process as the list tells them.
func ready(backend BackendInfo, started time.Duration) BackendInfo {
	backend.State, backend.Started = gateway.Ready, started
	return backend
}

func draining(backend BackendInfo) BackendInfo {
	backend.State = gateway.Draining
	return backend
}

func gone(backend BackendInfo) BackendInfo {
	backend.State = gateway.Gone
	return backend
}
