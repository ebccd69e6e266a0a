package scalelab

import (
	"context"
	"fmt"
	"time"
)

// SumsResult is what all gateways of a fleet do together, before and after a part of the backends was replaced.
type SumsResult struct {
	Gateways            int     `json:"gateways"`
	Backends            int     `json:"backends"`
	RequestRate         float64 `json:"request_rate"` // of one gateway, a second
	Requests            int     `json:"requests"`
	Rejected            int     `json:"rejected"`
	ListsTaken          int     `json:"lists_taken"`
	ChangesTaken        int     `json:"changes_taken"`
	ConnectionsMean     float64 `json:"connections_mean"` // of a backend: gateways that sent to it within keepsConnection
	ConnectionsMost     int     `json:"connections_most"`
	BackendsOfGateway   float64 `json:"backends_of_gateway"` // mean of those that one gateway sent to
	AttemptsMean        float64 `json:"attempts_mean"`       // of a backend, in evenTime
	LoadMost            float64 `json:"load_most"`           // over the mean
	LoadLeast           float64 `json:"load_least"`
	Replaced            int     `json:"replaced"`
	RestartedGateways   int     `json:"restarted_gateways"`
	ColdWorst           float64 `json:"cold_worst"` // of what makes a cold backend fall over; 1 is the rule
	MemoryMegabytes     float64 `json:"memory_mb"`
	BytesOfGateway      float64 `json:"bytes_of_gateway"`
	ProcessorTime       string  `json:"processor_time"`
	CapacityOfBackend   float64 `json:"capacity_of_backend"` // attempts a second, as the rule on cold ones counts
	SimulatedTime       string  `json:"simulated_time"`
	MeasuredEvenSeconds float64 `json:"measured_even_seconds"`
}

const (
	sumsRate       = 10.0 // requests a second of each gateway, of the target's 282: what one machine can play
	sumsWarmUp     = 8 * time.Second
	sumsCold       = 6 * time.Second
	replacedShare  = 0.1
	restartedShare = 0.7
	backendsBusy   = 0.83
)

// PlaySums plays a whole fleet at once.
func PlaySums(ctx context.Context, gateways, backends int, seed uint64, progress Progress) (SumsResult, error) {
	result := SumsResult{Gateways: gateways, Backends: backends, RequestRate: sumsRate, ListsTaken: gateways,
		SimulatedTime: (sumsWarmUp + sumsCold).String(), MeasuredEvenSeconds: sumsWarmUp.Seconds()}
	size := Size{Backends: backends, Customers: slopeBase.Customers, Classes: 1, Gateways: gateways}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if gateways*backends > mostEntries {
		return result, fmt.Errorf("%d gateways with %d backends each can't be played: %d entries of lists at most",
			gateways, backends, mostEntries)
	}
	before, used := heapInUse(), processorTime()
	list := newBackends(backends)
	progress.Show("sums: starting %d gateways", gateways)
	fleet, err := NewFleet(newSettings(size), list, meterLate, seed)
	if err != nil {
		return result, err
	}
	result.MemoryMegabytes = (float64(heapInUse()) - float64(before)) / (1 << 20)
	result.BytesOfGateway = result.MemoryMegabytes * (1 << 20) / float64(gateways)
	play := newSumsPlay(fleet, list)
	result.CapacityOfBackend = sumsRate * float64(gateways) / float64(backends) / backendsBusy
	stop := func() bool {
		progress.Show("sums: %.1f s played", (fleet.Clock.Now() - start).Seconds())
		return ctx.Err() != nil
	}
	end := start + sumsWarmUp + sumsCold
	fleet.Arrivals(sumsRate*float64(gateways), end, play.ask)
	fleet.Clock.RunUntil(start+sumsWarmUp, stop)
	play.countEven(&result)
	if err := play.replace(&result); err != nil {
		return result, err
	}
	fleet.Clock.RunUntil(end, stop)
	play.countCold(&result)
	result.Requests, result.Rejected = play.requests, play.rejected
	result.ProcessorTime = (processorTime() - used).Round(time.Millisecond).String()
	return result, ctx.Err()
}

// mostEntries of lists, over all gateways, are what one run holds: about 215 bytes each, 8 GB in all.
const mostEntries = 20_000_000

type sumsPlay struct {
	fleet              *Fleet
	list               []BackendInfo
	requests, rejected int
	pairs              map[[2]uint32]struct{} // gateway and backend
	coldSends          [][]time.Duration      // of each replaced backend, by number
	replacedAt         time.Duration
}

func newSumsPlay(fleet *Fleet, list []BackendInfo) *sumsPlay {
	play := &sumsPlay{fleet: fleet, list: list, pairs: map[[2]uint32]struct{}{}, coldSends: make([][]time.Duration, len(list)+1)}
	fleet.OnSend = func(from *HollowGateway, attempt Attempt) {
		if play.replacedAt == 0 {
			play.pairs[[2]uint32{uint32(from.Number), uint32(attempt.Backend)}] = struct{}{}
		} else {
			play.coldSends[attempt.Backend] = append(play.coldSends[attempt.Backend], fleet.Clock.Now())
		}
	}
	fleet.OnReject = func(*HollowGateway, Request) { play.rejected++ }
	return play
}

func (p *sumsPlay) ask() {
	p.requests++
	random := p.fleet.Random
	p.fleet.Ask(random.IntN(len(p.fleet.Gateways)), Request{Customer: CustomerID(random.IntN(slopeBase.Customers)),
		Class: className(0), Plan: widePlan, Units: 1, GatewayCount: len(p.fleet.Gateways)})
}

// countEven sums up the load and the connections of the steady part.
func (p *sumsPlay) countEven(result *SumsResult) {
	result.AttemptsMean, result.LoadMost, result.LoadLeast = p.fleet.Backends.Spread()
	connections := make([]int, len(p.list)+1)
	for pair := range p.pairs {
		connections[pair[1]]++
		result.ConnectionsMost = max(result.ConnectionsMost, connections[pair[1]])
	}
	result.ConnectionsMean = float64(len(p.pairs)) / float64(len(p.list))
	result.BackendsOfGateway = float64(len(p.pairs)) / float64(len(p.fleet.Gateways))
}

// replace starts a part of the backends anew, and most gateways from nothing at the same moment.
func (p *sumsPlay) replace(result *SumsResult) error {
	p.replacedAt = p.fleet.Clock.Now()
	result.Replaced = int(replacedShare * float64(len(p.list)))
	for i := range result.Replaced {
		p.list[i] = ready(p.list[i], p.replacedAt)
	}
	for number, hollow := range p.fleet.Gateways {
		if p.fleet.Random.Float64() >= restartedShare {
			hollow.TakeChanges(p.replacedAt, p.list[:result.Replaced])
			result.ChangesTaken += result.Replaced
			continue
		}
		if err := p.fleet.Restart(number, p.list); err != nil {
			return err
		}
		result.RestartedGateways++
		result.ListsTaken++
	}
	return nil
}

// countCold finds the worst moment of any replaced backend, against the rule on cold ones.
func (p *sumsPlay) countCold(result *SumsResult) {
	settings := p.fleet.settings
	for id := 1; id <= result.Replaced; id++ {
		sends, from := p.coldSends[id], 0
		for i := range sends {
			for sends[i]-sends[from] > settings.OverloadTime {
				from++
			}
			age := (sends[from] - p.replacedAt).Seconds()
			warmth := settings.ColdCapacity + (1-settings.ColdCapacity)*age/settings.WarmUpTime.Seconds()
			bears := settings.OverloadMultiple * warmth * result.CapacityOfBackend * settings.OverloadTime.Seconds()
			result.ColdWorst = max(result.ColdWorst, float64(i-from+1)/bears)
		}
	}
}
