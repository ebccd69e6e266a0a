package scalelab

import (
	"math/rand/v2"
	"time"
)

// Cost holds the measured costs of one gateway at a size. Times are processor time in microseconds.
type Cost struct {
	Size               Size    `json:"size"`
	Seed               uint64  `json:"seed"`
	StateBytes         float64 `json:"state_bytes"`       // live heap of the module with list and customers
	FullListMicros     float64 `json:"full_list_us"`      // applying the first full list
	RequestMicros      float64 `json:"request_us"`        // one request and its outcome
	RequestObjects     float64 `json:"request_objects"`   // heap objects allocated per request and outcome
	ChangeMicros       float64 `json:"change_us"`         // applying a list change of one entry
	TickMicros         float64 `json:"tick_us"`           // the tick once per second
	FullListBytes      float64 `json:"full_list_bytes"`   // length of the full list on the wire
	ChangeBytes        float64 `json:"change_bytes"`      // length of a change of one entry on the wire
	SettingsBytes      float64 `json:"settings_bytes"`    // length of the classes and plans in the configuration file
	BackendsInUse      float64 `json:"backends_in_use"`   // distinct backends sent to within idleConnectionTimeout
	RejectedRequests   int     `json:"rejected_requests"` // of MeasuredRequests
	MeasuredRequests   int     `json:"measured_requests"` // behind RequestMicros and RequestObjects
	MeasuredSeconds    int     `json:"measured_seconds"`  // simulated; one tick each
	MeasuredChanges    int     `json:"measured_changes"`  // list changes of one entry
	FirstRequestMicros float64 `json:"meet_customer_us"`  // the first request of a customer, with its outcome

	ColdRequestMicros   float64 `json:"cold_request_us"`   // one request while coldShare of the backends are cold
	SettingsMicros      float64 `json:"settings_us"`       // loading the configuration file
	ProgramListMicros   float64 `json:"program_list_us"`   // applying the full list in the whole program
	ProgramChangeMicros float64 `json:"program_change_us"` // applying a list change of one entry in the whole program
	ProgramStateBytes   float64 `json:"program_state"`     // live heap of the whole program with the list
}

const (
	attemptTime           = 90 * time.Millisecond // duration of every attempt
	measuredSeconds       = 10                    // simulated seconds of requests at the target's rate
	measuredChanges       = 2000                  // list changes of one entry
	idleConnectionTimeout = 9 * time.Second       // of the real gateway: 0.6 of conn_idle_us, 15 s, in encodeSettings
	firstRequestsWithin   = 40 * time.Second      // for all first requests; a gateway drops idle customers only later
	reportedUse           = 10.0                  // meter reading of each customer, percent of its rate
	coldShare             = 0.01                  // share of the backends that are cold at once; at least one is
	coldSeconds           = 2                     // simulated seconds of requests while backends are cold
	simulationStart       = 1000 * time.Second    // initial time of the simulated clock
	requestInterval       = time.Second / TargetRequestRate
)

// singleHost hosts one hollow gateway. Every attempt is answered after attemptTime.
type singleHost struct {
	now        time.Duration
	gateway    *HollowGateway
	inFlight   []Attempt                   // oldest first
	sentAt     []time.Duration             // of the attempts in flight
	rejected   int                         // rejected or failed requests
	lastSentAt map[BackendID]time.Duration // time of the last attempt at a backend
	lastID     RequestID
	spread     int // number of gateways that each customer uses
}

// Send implements Host. It records an attempt, which advanceTo answers when it is due.
func (s *singleHost) Send(_ *HollowGateway, attempt Attempt) {
	s.inFlight = append(s.inFlight, attempt)
	s.sentAt = append(s.sentAt, s.now)
	s.lastSentAt[attempt.Backend] = s.now
}

// Reject implements Host. It counts a rejected or failed request.
func (s *singleHost) Reject(*HollowGateway, Request) { s.rejected++ }

// SetTimer implements Host. It does nothing: the measurements trigger the ticks themselves, and no request waits
// until its client times out.
func (s *singleHost) SetTimer(*HollowGateway, time.Duration, uint64) {}

// submitRequest sends a request of the customer and class to the gateway.
func (s *singleHost) submitRequest(customer, class int) {
	s.lastID++
	s.gateway.HandleRequest(s.now, Request{ID: s.lastID, Customer: CustomerID(customer), Class: className(class),
		Plan: amplePlan, Units: 1, Timeout: requestDeadline, FirstGateway: 0, GatewayCount: s.spread})
}

// advanceTo answers the attempts that are due until end and sets the clock to end.
func (s *singleHost) advanceTo(end time.Duration) {
	for len(s.inFlight) > 0 && s.sentAt[0]+attemptTime <= end {
		s.now = max(s.now, s.sentAt[0]+attemptTime)
		attempt := s.inFlight[0]
		s.inFlight, s.sentAt = s.inFlight[1:], s.sentAt[1:]
		s.gateway.HandleAnswer(s.now, attempt, attemptTime, reportedUse)
	}
	s.now = max(s.now, end)
}

// MeasureGateway measures the costs of one gateway at a size.
func MeasureGateway(size Size, seed uint64) (Cost, error) {
	if err := size.Validate(); err != nil {
		return Cost{}, err
	}
	random := rand.New(rand.NewPCG(seed, singleStream))
	backends, settings := newBackends(size.Backends), newSettings(size)
	host := &singleHost{now: simulationStart, spread: size.Gateways,
		lastSentAt: make(map[BackendID]time.Duration, size.Backends)}
	heapBefore := liveHeapBytes()
	hollow, err := NewHollowGateway(0, settings, seed, simulationStart, host)
	if err != nil {
		return Cost{}, err
	}
	host.gateway = hollow
	cost := Cost{Size: size, Seed: seed}
	cost.FullListMicros = processorMicros(func() { hollow.ApplyList(simulationStart, backends) }, 1)
	cost.FirstRequestMicros = host.sendFirstRequests(size, random)
	cost.StateBytes = float64(liveHeapBytes()) - float64(heapBefore)
	host.measureTraffic(&cost, random)
	host.measureChanges(&cost, backends, random)
	host.measureColdBackends(&cost, backends, random)
	cost.measureEncodedSizes(backends, settings)
	return cost, cost.measureProgram(backends, settings, random)
}

// processorMicros runs work and returns its processor time in microseconds, divided by the number of equal operations
// that it consists of.
func processorMicros(work func(), count int) float64 {
	before := processorTime()
	work()
	return float64(processorTime()-before) / float64(time.Microsecond) / float64(max(1, count))
}

// sendFirstRequests sends one request of each customer, with its outcome, and returns the processor time of one in
// microseconds.
func (s *singleHost) sendFirstRequests(size Size, random *rand.Rand) float64 {
	interval := min(requestInterval, firstRequestsWithin/time.Duration(size.Customers))
	return processorMicros(func() {
		for customer := range size.Customers {
			s.advanceTo(s.now + interval)
			s.submitRequest(customer, random.IntN(size.Classes))
		}
		s.advanceTo(s.now + attemptTime)
	}, size.Customers)
}

// measureTraffic simulates measuredSeconds of requests at the target's rate and measures requests and ticks separately.
func (s *singleHost) measureTraffic(cost *Cost, random *rand.Rand) {
	size := cost.Size
	requestMicros, tickMicros, objects := 0.0, 0.0, uint64(0)
	s.rejected = 0
	for range measuredSeconds {
		objectsBefore := allocatedObjects()
		requestMicros += processorMicros(func() {
			for range TargetRequestRate {
				s.advanceTo(s.now + requestInterval)
				s.submitRequest(random.IntN(size.Customers), random.IntN(size.Classes))
			}
		}, TargetRequestRate)
		objects += allocatedObjects() - objectsBefore
		tickMicros += processorMicros(func() { s.gateway.HandleTimer(s.now, 0) }, 1)
	}
	cost.RequestMicros, cost.TickMicros = requestMicros/measuredSeconds, tickMicros/measuredSeconds
	cost.MeasuredRequests, cost.MeasuredSeconds = measuredSeconds*TargetRequestRate, measuredSeconds
	cost.RequestObjects = float64(objects) / float64(cost.MeasuredRequests)
	cost.RejectedRequests = s.rejected
	for _, sentAt := range s.lastSentAt {
		if s.now-sentAt <= idleConnectionTimeout {
			cost.BackendsInUse++
		}
	}
}

// measureChanges measures list changes of one entry: backends that start to drain and become ready again.
func (s *singleHost) measureChanges(cost *Cost, backends []BackendInfo, random *rand.Rand) {
	cost.MeasuredChanges = measuredChanges
	cost.ChangeMicros = processorMicros(func() {
		for range measuredChanges / 2 {
			backend := backends[random.IntN(len(backends))]
			s.gateway.ApplyChanges(s.now, []BackendInfo{asDraining(backend)})
			s.gateway.ApplyChanges(s.now, []BackendInfo{asReady(backend, 0)})
		}
	}, measuredChanges)
}

// measureColdBackends measures requests while coldShare of the backends have just started.
func (s *singleHost) measureColdBackends(cost *Cost, backends []BackendInfo, random *rand.Rand) {
	size := cost.Size
	cold := make([]BackendInfo, max(1, int(coldShare*float64(len(backends)))))
	for i := range cold {
		cold[i] = asReady(backends[i*len(backends)/len(cold)], s.now)
	}
	s.gateway.ApplyChanges(s.now, cold)
	cost.ColdRequestMicros = processorMicros(func() {
		for range coldSeconds * TargetRequestRate {
			s.advanceTo(s.now + requestInterval)
			s.submitRequest(random.IntN(size.Customers), random.IntN(size.Classes))
		}
	}, coldSeconds*TargetRequestRate)
}
