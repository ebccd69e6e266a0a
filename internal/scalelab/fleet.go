package scalelab

import (
	"math/rand/v2"
	"time"
)

// Fleet hosts hollow gateways beside each other on one simulated clock, before stand-ins of backends and meter.
// Nothing but events reaches a gateway.
type Fleet struct {
	Clock    *Clock
	Gateways []*HollowGateway
	Backends *Backends
	Meter    *Meter
	Random   *rand.Rand

	settings Settings
	plans    map[string]Plan
	lives    []int // of each gateway: what belongs to an earlier life of it is dropped
	nextID   RequestID

	// What an experiment wants to see.
	OnSend   func(from *HollowGateway, attempt Attempt)
	OnAnswer func(request Request)
	OnReject func(from *HollowGateway, request Request)
}

const meanWork = 100 * time.Millisecond // of an attempt

// NewFleet starts all gateways of the settings, each with the list.
func NewFleet(settings Settings, list []BackendInfo, meterLate time.Duration, seed uint64) (*Fleet, error) {
	random := rand.New(rand.NewPCG(seed, 2))
	fleet := &Fleet{Clock: &Clock{now: start}, Random: random, settings: settings, plans: map[string]Plan{},
		Backends: NewBackends(len(list), meanWork, random), Meter: NewMeter(settings.MeterPeriod, meterLate),
		Gateways: make([]*HollowGateway, settings.Gateways), lives: make([]int, settings.Gateways),
		OnSend: func(*HollowGateway, Attempt) {}, OnAnswer: func(Request) {}, OnReject: func(*HollowGateway, Request) {}}
	for _, plan := range settings.Plans {
		fleet.plans[plan.Name] = plan
	}
	for number := range fleet.Gateways {
		if err := fleet.Restart(number, list); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// Restart begins a gateway's process from nothing but the list.
func (f *Fleet) Restart(number int, list []BackendInfo) error {
	hollow, err := NewHollowGateway(number, f.settings, f.Random.Uint64(), f.Clock.Now(), f)
	if err != nil {
		return err
	}
	f.lives[number]++
	f.Gateways[number] = hollow
	hollow.TakeList(f.Clock.Now(), list)
	return nil
}

// alive wraps an event of a gateway that ends with its process.
func (f *Fleet) alive(hollow *HollowGateway, run func()) func() {
	life := f.lives[hollow.Number]
	return func() {
		if f.lives[hollow.Number] == life {
			run()
		}
	}
}

// Send brings an attempt to its backend.
func (f *Fleet) Send(from *HollowGateway, attempt Attempt) {
	request := attempt.Request
	if attempt.Number == 0 {
		f.Meter.Record(f.Clock.Now(), request.Customer, request.Units)
	}
	f.OnSend(from, attempt)
	took, answered := f.Backends.Begin(attempt.Backend)
	f.Clock.After(took, f.alive(from, func() {
		now := f.Clock.Now()
		if !answered {
			from.Unreachable(now, attempt)
			return
		}
		f.OnAnswer(request)
		from.Finish(now, attempt, took, f.Meter.Reading(now, request.Customer, f.plans[request.Plan].Rate))
	}))
}

// Reject counts a request that was refused or failed.
func (f *Fleet) Reject(from *HollowGateway, request Request) { f.OnReject(from, request) }

// SetTimer brings the timer back when it is due.
func (f *Fleet) SetTimer(from *HollowGateway, after time.Duration, token uint64) {
	f.Clock.After(after, f.alive(from, func() { from.Fire(f.Clock.Now(), token) }))
}

// Ask brings a request to a gateway.
func (f *Fleet) Ask(number int, request Request) {
	f.nextID++
	request.ID = f.nextID
	request.Timeout = deadline
	f.Gateways[number].Ask(f.Clock.Now(), request)
}

// Arrivals lets requests come at random, so many a second, until the clock reaches end.
func (f *Fleet) Arrivals(rate float64, end time.Duration, ask func()) {
	wait := time.Duration(f.Random.ExpFloat64() / rate * float64(time.Second))
	if f.Clock.Now()+wait > end {
		return
	}
	f.Clock.After(wait, func() {
		ask()
		f.Arrivals(rate, end, ask)
	})
}
