package scalelab

import (
	"math/rand/v2"
	"time"
)

// Cost is what one gateway of a size spends.
type Cost struct {
	Size             Size    `json:"size"`
	Seed             uint64  `json:"seed"`
	StateBytes       float64 `json:"state_bytes"`       // live heap, with the list and all customers
	FullListMicros   float64 `json:"full_list_us"`      // processor time of the first whole list
	RequestMicros    float64 `json:"request_us"`        // ... of a request with its outcome
	RequestObjects   float64 `json:"request_objects"`   // heap objects allocated by it
	ChangeMicros     float64 `json:"change_us"`         // ... of a list change of one entry
	TickMicros       float64 `json:"tick_us"`           // ... of the second's tick
	FullListBytes    float64 `json:"full_list_bytes"`   // on the wire
	ChangeBytes      float64 `json:"change_bytes"`      // on the wire
	SettingsBytes    float64 `json:"settings_bytes"`    // of classes and plans in the configuration file
	BackendsInUse    float64 `json:"backends_in_use"`   // different ones sent to within keepsConnection
	RejectedRequests int     `json:"rejected_requests"` // of those measured
	MeasuredRequests int     `json:"measured_requests"` // with their outcomes
	MeasuredSeconds  int     `json:"measured_seconds"`  // ticks
	MeasuredChanges  int     `json:"measured_changes"`  // of the list, one entry each
	MeetCustomerUs   float64 `json:"meet_customer_us"`  // ... of a request of a customer not met before

	ColdRequestMicros   float64 `json:"cold_request_us"`   // ... of a request while coldShare of the backends are cold
	SettingsMicros      float64 `json:"settings_us"`       // ... of the program's read of its configuration file
	ProgramListMicros   float64 `json:"program_list_us"`   // ... of the whole list, in the whole program
	ProgramChangeMicros float64 `json:"program_change_us"` // ... of a list change, in the whole program
	ProgramStateBytes   float64 `json:"program_state"`     // live heap with the list, of the whole program
}

const (
	answerTime      = 90 * time.Millisecond // of every attempt here
	measuredSeconds = 10                    // of simulated time at the target's rate
	measuredChanges = 2000                  // of the list
	keepsConnection = 9 * time.Second       // how long the real gateway keeps an idle connection to a backend
	meetWithin      = 40 * time.Second      // all customers are met in, before the first is forgotten
	usualUse        = 10.0                  // percent of its rate that each customer uses
	coldShare       = 0.01                  // of the backends are cold at once, one at least
	coldSeconds     = 2                     // that requests are measured meanwhile
	start           = 1000 * time.Second    // of the simulated clock
	requestEvery    = time.Second / TargetRequestRate
)

// single hosts one hollow gateway whose attempts all end after answerTime.
type single struct {
	now      time.Duration
	gateway  *HollowGateway
	out      []Attempt
	outSince []time.Duration
	rejected int
	sent     int
	lastSent map[BackendID]time.Duration
	next     RequestID
	spread   int // gateways that each customer uses
}

func (s *single) Send(_ *HollowGateway, attempt Attempt) {
	s.out = append(s.out, attempt)
	s.outSince = append(s.outSince, s.now)
	s.sent++
	s.lastSent[attempt.Backend] = s.now
}

func (s *single) Reject(*HollowGateway, Request) { s.rejected++ }

// SetTimer does nothing: ticks come by hand, and no request here waits until its client leaves.
func (s *single) SetTimer(*HollowGateway, time.Duration, uint64) {}

func (s *single) request(customer, class int) {
	s.next++
	s.gateway.Ask(s.now, Request{ID: s.next, Customer: CustomerID(customer), Class: className(class), Plan: widePlan,
		Units: 1, Timeout: deadline, FirstGateway: 0, GatewayCount: s.spread})
}

// finish ends the attempts that are due.
func (s *single) finish(until time.Duration) {
	for len(s.out) > 0 && s.outSince[0]+answerTime <= until {
		s.now = max(s.now, s.outSince[0]+answerTime)
		attempt := s.out[0]
		s.out, s.outSince = s.out[1:], s.outSince[1:]
		s.gateway.Finish(s.now, attempt, answerTime, usualUse)
	}
	s.now = max(s.now, until)
}

// MeasureGateway measures one gateway of a size.
func MeasureGateway(size Size, seed uint64) (Cost, error) {
	if err := size.Validate(); err != nil {
		return Cost{}, err
	}
	random := rand.New(rand.NewPCG(seed, 1))
	backends, settings := newBackends(size.Backends), newSettings(size)
	host := &single{now: start, spread: size.Gateways, lastSent: make(map[BackendID]time.Duration, size.Backends)}
	before := heapInUse()
	hollow, err := NewHollowGateway(0, settings, seed, start, host)
	if err != nil {
		return Cost{}, err
	}
	host.gateway = hollow
	cost := Cost{Size: size, Seed: seed}
	cost.FullListMicros = micros(func() { hollow.TakeList(start, backends) }, 1)
	cost.MeetCustomerUs = host.meetCustomers(size, random)
	cost.StateBytes = float64(heapInUse()) - float64(before)
	host.measureTraffic(&cost, random)
	host.measureChanges(&cost, backends, random)
	host.measureCold(&cost, backends, random)
	cost.measureWire(backends, settings)
	return cost, cost.measureProgram(backends, settings, random)
}

// micros is the processor time of one of count alike pieces of work, in microseconds.
func micros(work func(), count int) float64 {
	from := processorTime()
	work()
	return float64(processorTime()-from) / float64(time.Microsecond) / float64(max(1, count))
}

// meetCustomers brings one request of each customer, with its outcome.
func (s *single) meetCustomers(size Size, random *rand.Rand) float64 {
	every := min(requestEvery, meetWithin/time.Duration(size.Customers))
	return micros(func() {
		for customer := range size.Customers {
			s.finish(s.now + every)
			s.request(customer, random.IntN(size.Classes))
		}
		s.finish(s.now + answerTime)
	}, size.Customers)
}

// measureTraffic plays seconds at the target's rate, and measures requests and ticks apart.
func (s *single) measureTraffic(cost *Cost, random *rand.Rand) {
	size := cost.Size
	requests, ticks, objects := 0.0, 0.0, uint64(0)
	s.rejected = 0
	for range measuredSeconds {
		allocated := allocations()
		requests += micros(func() {
			for range TargetRequestRate {
				s.finish(s.now + requestEvery)
				s.request(random.IntN(size.Customers), random.IntN(size.Classes))
			}
		}, TargetRequestRate)
		objects += allocations() - allocated
		ticks += micros(func() { s.gateway.Fire(s.now, 0) }, 1)
	}
	cost.RequestMicros, cost.TickMicros = requests/measuredSeconds, ticks/measuredSeconds
	cost.MeasuredRequests, cost.MeasuredSeconds = measuredSeconds*TargetRequestRate, measuredSeconds
	cost.RequestObjects = float64(objects) / float64(cost.MeasuredRequests)
	cost.RejectedRequests = s.rejected
	for _, at := range s.lastSent {
		if s.now-at <= keepsConnection {
			cost.BackendsInUse++
		}
	}
}

// measureChanges lets backends drain and come back, one entry a change.
func (s *single) measureChanges(cost *Cost, backends []BackendInfo, random *rand.Rand) {
	cost.MeasuredChanges = measuredChanges
	cost.ChangeMicros = micros(func() {
		for range measuredChanges / 2 {
			backend := backends[random.IntN(len(backends))]
			s.gateway.TakeChanges(s.now, []BackendInfo{draining(backend)})
			s.gateway.TakeChanges(s.now, []BackendInfo{ready(backend, 0)})
		}
	}, measuredChanges)
}

// measureCold plays requests while some of the backends have just started.
func (s *single) measureCold(cost *Cost, backends []BackendInfo, random *rand.Rand) {
	size := cost.Size
	cold := make([]BackendInfo, max(1, int(coldShare*float64(len(backends)))))
	for i := range cold {
		cold[i] = ready(backends[i*len(backends)/len(cold)], s.now)
	}
	s.gateway.TakeChanges(s.now, cold)
	cost.ColdRequestMicros = micros(func() {
		for range coldSeconds * TargetRequestRate {
			s.finish(s.now + requestEvery)
			s.request(random.IntN(size.Customers), random.IntN(size.Classes))
		}
	}, coldSeconds*TargetRequestRate)
}
