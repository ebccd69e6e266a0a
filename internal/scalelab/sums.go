package scalelab

import (
	"context"
	"fmt"
	"time"
)

// SumsResult holds the totals of a whole fleet in the sums experiment: in a steady phase, and after a share of the
// backends was replaced by new processes. MaxColdLoad must not exceed 1: above it, a cold backend was overloaded.
type SumsResult struct {
	Gateways           int     `json:"gateways"`
	Backends           int     `json:"backends"`
	RequestRate        float64 `json:"request_rate"` // of one gateway, per second
	Requests           int     `json:"requests"`
	Rejected           int     `json:"rejected"`
	AppliedLists       int     `json:"lists_taken"`         // full lists, over all gateways
	AppliedChanges     int     `json:"changes_taken"`       // changed entries, over all gateways
	MeanConnections    float64 `json:"connections_mean"`    // gateways that sent to a backend in the steady phase
	MaxConnections     int     `json:"connections_most"`    // of any backend
	BackendsPerGateway float64 `json:"backends_of_gateway"` // mean number that a gateway sent to in the steady phase
	MeanAttempts       float64 `json:"attempts_mean"`       // of a backend in the steady phase
	MaxLoad            float64 `json:"load_most"`           // attempts of the busiest backend over the mean
	MinLoad            float64 `json:"load_least"`          // attempts of the least busy backend over the mean
	ReplacedBackends   int     `json:"replaced"`
	RestartedGateways  int     `json:"restarted_gateways"`
	MaxColdLoad        float64 `json:"cold_worst"` // highest load of a cold backend over its overload limit
	MemoryMegabytes    float64 `json:"memory_mb"`  // live heap of all gateways at the start
	BytesPerGateway    float64 `json:"bytes_of_gateway"`
	ProcessorTime      string  `json:"processor_time"`
	BackendCapacity    float64 `json:"capacity_of_backend"` // attempts per second of a warm backend, assumed
	SimulatedTime      string  `json:"simulated_time"`
	SteadySeconds      float64 `json:"measured_even_seconds"` // length of the steady phase
}

const (
	sumsRequestRate    = 10.0            // per second and gateway; one machine cannot simulate the target's 282
	sumsSteadyTime     = 8 * time.Second // below idleConnectionTimeout, so that no connection of this phase has expired
	sumsColdTime       = 6 * time.Second // after the replacement of backends
	replacedShare      = 0.1             // of the backends
	restartedShare     = 0.7             // of the gateways, at the same time
	backendUtilization = 0.83            // mean load of a backend over its assumed capacity
)

// RunSums simulates a whole fleet: a steady phase of sumsSteadyTime, then the replacement of some backends and the
// restart of most gateways, followed by sumsColdTime.
func RunSums(ctx context.Context, gateways, backends int, seed uint64, progress Progress) (SumsResult, error) {
	result := SumsResult{Gateways: gateways, Backends: backends, RequestRate: sumsRequestRate, AppliedLists: gateways,
		SimulatedTime: (sumsSteadyTime + sumsColdTime).String(), SteadySeconds: sumsSteadyTime.Seconds()}
	size := Size{Backends: backends, Customers: slopeBase.Customers, Classes: 1, Gateways: gateways}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if gateways*backends > maxListEntries {
		return result, fmt.Errorf("%d gateways with %d backends each: the lists may hold %d entries in all",
			gateways, backends, maxListEntries)
	}
	heapBefore, processorBefore := liveHeapBytes(), processorTime()
	list := newBackends(backends)
	progress.Show("sums: starting %d gateways", gateways)
	fleet, err := NewFleet(newSettings(size), list, meterDelay, seed)
	if err != nil {
		return result, err
	}
	result.MemoryMegabytes = (float64(liveHeapBytes()) - float64(heapBefore)) / (1 << 20)
	result.BytesPerGateway = result.MemoryMegabytes * (1 << 20) / float64(gateways)
	simulation := newSumsSimulation(fleet, list)
	result.BackendCapacity = sumsRequestRate * float64(gateways) / float64(backends) / backendUtilization
	canceled := func() bool {
		progress.Show("sums: %.1f s simulated", (fleet.Clock.Now() - simulationStart).Seconds())
		return ctx.Err() != nil
	}
	end := simulationStart + sumsSteadyTime + sumsColdTime
	fleet.ScheduleArrivals(sumsRequestRate*float64(gateways), end, simulation.submitRequest)
	fleet.Clock.RunUntil(simulationStart+sumsSteadyTime, canceled)
	simulation.summarizeSteady(&result)
	if err := simulation.replaceBackends(&result); err != nil {
		return result, err
	}
	fleet.Clock.RunUntil(end, canceled)
	simulation.computeMaxColdLoad(&result)
	result.Requests, result.Rejected = simulation.requests, simulation.rejected
	result.ProcessorTime = (processorTime() - processorBefore).Round(time.Millisecond).String()
	return result, ctx.Err()
}

// maxListEntries is the highest number of list entries over all gateways of a run. An entry takes about 215 bytes
// of heap, so a run stays under 8 GB.
const maxListEntries = 20_000_000

// sumsSimulation generates the requests of the sums experiment and records what the gateways send.
type sumsSimulation struct {
	fleet              *Fleet
	list               []BackendInfo
	requests, rejected int
	sentPairs          map[[2]uint32]struct{} // gateway and backend, steady phase
	coldSendTimes      [][]time.Duration      // by backend ID; times of the attempts after the replacement
	replacedAt         time.Duration          // zero in the steady phase
}

// newSumsSimulation returns a simulation and registers its callbacks with the fleet.
func newSumsSimulation(fleet *Fleet, list []BackendInfo) *sumsSimulation {
	simulation := &sumsSimulation{fleet: fleet, list: list, sentPairs: map[[2]uint32]struct{}{},
		coldSendTimes: make([][]time.Duration, len(list)+1)}
	fleet.OnSend = func(hollow *HollowGateway, attempt Attempt) {
		if simulation.replacedAt == 0 {
			simulation.sentPairs[[2]uint32{uint32(hollow.Number), uint32(attempt.Backend)}] = struct{}{}
		} else {
			simulation.coldSendTimes[attempt.Backend] = append(
				simulation.coldSendTimes[attempt.Backend], fleet.Clock.Now())
		}
	}
	fleet.OnReject = func(*HollowGateway, Request) { simulation.rejected++ }
	return simulation
}

// submitRequest sends a request of a random customer to a random gateway.
func (s *sumsSimulation) submitRequest() {
	s.requests++
	random := s.fleet.Random
	s.fleet.SubmitRequest(random.IntN(len(s.fleet.Gateways)), Request{
		Customer: CustomerID(random.IntN(slopeBase.Customers)), Class: className(0),
		Plan: amplePlan, Units: 1, GatewayCount: len(s.fleet.Gateways)})
}

// summarizeSteady computes the load and the connections of the steady phase.
func (s *sumsSimulation) summarizeSteady(result *SumsResult) {
	result.MeanAttempts, result.MaxLoad, result.MinLoad = s.fleet.Backends.LoadSpread()
	connections := make([]int, len(s.list)+1)
	for pair := range s.sentPairs {
		connections[pair[1]]++
		result.MaxConnections = max(result.MaxConnections, connections[pair[1]])
	}
	result.MeanConnections = float64(len(s.sentPairs)) / float64(len(s.list))
	result.BackendsPerGateway = float64(len(s.sentPairs)) / float64(len(s.fleet.Gateways))
}

// replaceBackends replaces a share of the backends by new, cold processes. Most gateways restart at the same moment and
// lose all state; the others receive the changes.
func (s *sumsSimulation) replaceBackends(result *SumsResult) error {
	s.replacedAt = s.fleet.Clock.Now()
	result.ReplacedBackends = int(replacedShare * float64(len(s.list)))
	for i := range result.ReplacedBackends {
		s.list[i] = asReady(s.list[i], s.replacedAt)
	}
	for number, hollow := range s.fleet.Gateways {
		if s.fleet.Random.Float64() >= restartedShare {
			hollow.ApplyChanges(s.replacedAt, s.list[:result.ReplacedBackends])
			result.AppliedChanges += result.ReplacedBackends
			continue
		}
		if err := s.fleet.Restart(number, s.list); err != nil {
			return err
		}
		result.RestartedGateways++
		result.AppliedLists++
	}
	return nil
}

// computeMaxColdLoad finds the highest number of sends to a replaced backend within the settings' OverloadTime,
// relative to the number that overloads a backend of its age.
func (s *sumsSimulation) computeMaxColdLoad(result *SumsResult) {
	settings := s.fleet.settings
	for id := 1; id <= result.ReplacedBackends; id++ {
		sendTimes, windowStart := s.coldSendTimes[id], 0
		for i := range sendTimes {
			for sendTimes[i]-sendTimes[windowStart] > settings.OverloadTime {
				windowStart++
			}
			age := (sendTimes[windowStart] - s.replacedAt).Seconds()
			capacityShare := settings.ColdCapacity + (1-settings.ColdCapacity)*age/settings.WarmUpTime.Seconds()
			overloadLimit := settings.OverloadMultiple * capacityShare * result.BackendCapacity *
				settings.OverloadTime.Seconds()
			result.MaxColdLoad = max(result.MaxColdLoad, float64(i-windowStart+1)/overloadLimit)
		}
	}
}
