package scalelab

import (
	"math/rand/v2"
	"time"
)

// Fleet hosts hollow gateways on one simulated clock, with simulated backends and meter. The gateways share no state;
// they receive events only.
type Fleet struct {
	Clock    *Clock
	Gateways []*HollowGateway
	Backends *Backends
	Meter    *Meter
	Random   *rand.Rand

	settings    Settings
	plans       map[string]Plan
	processRuns []int // by gateway; events of an earlier run of its process are dropped
	lastID      RequestID

	// Callbacks of the experiment.
	OnSend   func(hollow *HollowGateway, attempt Attempt) // before the attempt starts
	OnReject func(hollow *HollowGateway, request Request) // rejected or failed requests
}

const meanAttemptTime = 100 * time.Millisecond // of an attempt at a simulated backend

// NewFleet starts all gateways of the settings with the list of backends. Meter readings arrive after readingDelay.
func NewFleet(settings Settings, list []BackendInfo, readingDelay time.Duration, seed uint64) (*Fleet, error) {
	random := rand.New(rand.NewPCG(seed, fleetStream))
	fleet := &Fleet{Clock: &Clock{now: simulationStart}, Random: random, settings: settings, plans: map[string]Plan{},
		Backends: NewBackends(len(list), meanAttemptTime, random), Meter: NewMeter(settings.MeterPeriod, readingDelay),
		Gateways: make([]*HollowGateway, settings.Gateways), processRuns: make([]int, settings.Gateways),
		OnSend: func(*HollowGateway, Attempt) {}, OnReject: func(*HollowGateway, Request) {}}
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

// Restart replaces a gateway by a new process that has received the list and has no other state.
func (f *Fleet) Restart(number int, list []BackendInfo) error {
	hollow, err := NewHollowGateway(number, f.settings, f.Random.Uint64(), f.Clock.Now(), f)
	if err != nil {
		return err
	}
	f.processRuns[number]++
	f.Gateways[number] = hollow
	hollow.ApplyList(f.Clock.Now(), list)
	return nil
}

// ifStillRunning returns a function that calls run unless the gateway was restarted in the meantime.
func (f *Fleet) ifStillRunning(hollow *HollowGateway, run func()) func() {
	processRun := f.processRuns[hollow.Number]
	return func() {
		if f.processRuns[hollow.Number] == processRun {
			run()
		}
	}
}

// Send implements Host. It sends an attempt to its simulated backend, records the first attempt of a request at the
// meter and schedules the outcome.
func (f *Fleet) Send(hollow *HollowGateway, attempt Attempt) {
	request := attempt.Request
	if attempt.Number == 0 {
		f.Meter.Record(f.Clock.Now(), request.Customer, request.Units)
	}
	f.OnSend(hollow, attempt)
	duration, answered := f.Backends.StartAttempt(attempt.Backend)
	f.Clock.AfterFunc(duration, f.ifStillRunning(hollow, func() {
		now := f.Clock.Now()
		if !answered {
			hollow.HandleConnectFailure(now, attempt)
			return
		}
		hollow.HandleAnswer(now, attempt, duration, f.Meter.Reading(now, request.Customer, f.plans[request.Plan].Rate))
	}))
}

// Reject implements Host. It reports a rejected or failed request to the experiment.
func (f *Fleet) Reject(hollow *HollowGateway, request Request) { f.OnReject(hollow, request) }

// SetTimer implements Host. It delivers the timer to the gateway after the delay.
func (f *Fleet) SetTimer(hollow *HollowGateway, delay time.Duration, token uint64) {
	f.Clock.AfterFunc(delay, f.ifStillRunning(hollow, func() { hollow.HandleTimer(f.Clock.Now(), token) }))
}

// SubmitRequest sends a request to a gateway. It assigns the ID and the client timeout.
func (f *Fleet) SubmitRequest(number int, request Request) {
	f.lastID++
	request.ID = f.lastID
	request.Timeout = requestDeadline
	f.Gateways[number].HandleRequest(f.Clock.Now(), request)
}

// ScheduleArrivals calls submit at the times of a Poisson process of the given rate per second, until the clock reaches
// end.
func (f *Fleet) ScheduleArrivals(rate float64, end time.Duration, submit func()) {
	delay := time.Duration(f.Random.ExpFloat64() / rate * float64(time.Second))
	if f.Clock.Now()+delay > end {
		return
	}
	f.Clock.AfterFunc(delay, func() {
		submit()
		f.ScheduleArrivals(rate, end, submit)
	})
}
