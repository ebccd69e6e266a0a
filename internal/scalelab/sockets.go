package scalelab

import (
	"context"
	"errors"
	"net"
	"runtime"
	"slices"
	"sync/atomic"
	"time"

	"herontiller/internal/frontdoor"
)

// SocketResult is what a real gateway on real sockets does with a list of some length.
type SocketResult struct {
	Listed        int       `json:"listed"`
	ListBytes     int       `json:"list_bytes"`
	ListTaken     bool      `json:"list_taken"` // by the real discovery code, within listPatience
	ListMillis    float64   `json:"list_ms"`    // until then
	ListMegabytes float64   `json:"list_peak_mb"`
	KeptMegabytes float64   `json:"list_kept_mb"` // live heap that the list adds
	Direct        Latencies `json:"direct"`       // without the gateway
	Steady        Latencies `json:"steady"`
	DirectBurst   Latencies `json:"direct_burst"`
	Burst         Latencies `json:"burst"`
	AddedP99      float64   `json:"added_p99_us"` // of the steady requests
	AddedMedian   float64   `json:"added_median_us"`
	AddedBurstP99 float64   `json:"added_burst_p99_us"`
	IdleCPU       float64   `json:"idle_cpu"`     // share of a core that the gateway uses without requests
	AddedCPU      float64   `json:"added_cpu_us"` // processor time that it adds to a steady request
}

const (
	standInServers = 8
	listPatience   = 10 * time.Second
	loadRounds     = 5
	burstTimes     = 5
	burstPause     = time.Second
	warmUp         = time.Second
	idleTime       = 3 * time.Second
	sampleEvery    = 2 * time.Millisecond // of the heap, while a list is taken
)

// realGateway is the real program's parts in this process.
type realGateway struct {
	address string
	loop    *frontdoor.Loop
	taken   chan int // lengths of the whole lists that discovery brought
	stop    context.CancelFunc
	ended   chan error
}

// startGateway serves with a list that the real discovery code takes from an agent.
func startGateway(settings Settings, agent string) (*realGateway, error) {
	config, err := realConfig(settings, agent)
	if err != nil {
		return nil, err
	}
	loop, err := frontdoor.NewLoop(config, frontdoor.NewBackends(config))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	real := &realGateway{address: listener.Addr().String(), loop: loop, taken: make(chan int, 16), stop: stop,
		ended: make(chan error, 1)}
	go frontdoor.WatchDiscovery(ctx, config, nil, func(list frontdoor.EndpointList) {
		count := len(list.Endpoints)
		loop.Update(list)
		if list.Full {
			real.taken <- count
		}
	})
	go func() { real.ended <- frontdoor.NewServer(config, loop).Run(ctx, listener) }()
	return real, nil
}

func (g *realGateway) end() error {
	g.stop()
	defer g.loop.Close()
	return <-g.ended
}

// PlaySockets measures a real gateway with so many listed backends, of which a few stand-ins serve all.
func PlaySockets(ctx context.Context, listed int, length time.Duration, progress Progress) (SocketResult, error) {
	result := SocketResult{Listed: listed}
	size := Size{Backends: listed, Customers: slopeBase.Customers, Classes: slopeBase.Classes,
		Gateways: max(1, listed*TargetGateways/TargetBackends)} // as many for a backend as at the target
	if err := size.Validate(); err != nil {
		return result, err
	}
	if length < time.Second || length > time.Hour {
		return result, errors.New("requests are measured for a second to an hour")
	}
	servers, err := StartServers(standInServers)
	if err != nil {
		return result, err
	}
	defer servers.Stop()
	agent, hosts, err := startListing(listed, servers.Addresses)
	if err != nil {
		return result, err
	}
	defer agent.Stop()
	result.ListBytes = len(agent.whole)
	progress.Show("sockets: %d listed, requests without the gateway", listed)
	var directCPU, steadyCPU float64
	result.Direct, result.DirectBurst, directCPU = measureLoad(ctx, newLoadClient(servers.Addresses[0]), length)
	progress.Show("sockets: %d listed, taking the list", listed)
	gateway, err := result.takeList(size, agent)
	if err != nil {
		return result, err
	}
	if !result.ListTaken { // to measure the latency all the same
		gateway.loop.Update(frontdoor.EndpointList{Version: 1, Full: true, Endpoints: hosts})
	}
	runtime.KeepAlive(hosts)
	result.IdleCPU = idle(ctx)
	progress.Show("sockets: %d listed, requests through the gateway", listed)
	result.Steady, result.Burst, steadyCPU = measureLoad(ctx, newLoadClient(gateway.address), length)
	result.AddedCPU = steadyCPU - directCPU
	result.AddedMedian = result.Steady.Median - result.Direct.Median
	result.AddedP99 = result.Steady.P99 - result.Direct.P99
	result.AddedBurstP99 = result.Burst.P99 - result.DirectBurst.P99
	return result, errors.Join(ctx.Err(), gateway.end())
}

func startListing(listed int, addresses []string) (*Agent, []frontdoor.Endpoint, error) {
	hosts := make([]frontdoor.Endpoint, 0, listed)
	for i, backend := range newBackends(listed) {
		hosts = append(hosts, endpoint(backend, addresses[i%len(addresses)]))
	}
	agent, err := StartAgent(hosts)
	return agent, hosts, err
}

// takeList starts a gateway, and waits until it has the list. The heap is sampled meanwhile: its peak is a lower bound.
func (r *SocketResult) takeList(size Size, agent *Agent) (*realGateway, error) {
	before := heapInUse()
	var peak atomic.Uint64
	sampling, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for sampling.Err() == nil {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak.Store(max(peak.Load(), stats.HeapAlloc))
			time.Sleep(sampleEvery)
		}
	}()
	begin := time.Now()
	gateway, err := startGateway(newSettings(size), agent.Address)
	if err != nil {
		return nil, err
	}
	select {
	case <-gateway.taken:
		r.ListTaken, r.ListMillis = true, time.Since(begin).Seconds()*1000
	case <-time.After(listPatience):
	}
	stop()
	r.ListMegabytes = max(0, float64(peak.Load())-float64(before)) / (1 << 20)
	r.KeptMegabytes = (float64(heapInUse()) - float64(before)) / (1 << 20)
	return gateway, nil
}

// measureLoad plays the target's rate for a time and then bursts of a second's requests, after a short warm-up.
// The steady requests come in rounds, of which the latencies are medians: what else the machine does for a moment spoils a
// round and not the measurement. cpu is the process's processor time for one steady request, in microseconds.
func measureLoad(ctx context.Context, client *loadClient, length time.Duration) (steady, burst Latencies, cpu float64) {
	defer client.transport.CloseIdleConnections()
	client.steady(ctx, TargetRequestRate, warmUp)
	client.take()
	used := processorTime()
	rounds := make([]Latencies, loadRounds)
	for i := range rounds {
		client.steady(ctx, TargetRequestRate, length/loadRounds)
		rounds[i] = client.take()
	}
	steady = medians(rounds)
	cpu = float64((processorTime() - used).Microseconds()) / float64(max(1, steady.Requests))
	client.bursts(ctx, TargetRequestRate, burstTimes, burstPause)
	return steady, client.take(), cpu
}

// medians sums up the counts of rounds and takes the medians of their latencies.
func medians(rounds []Latencies) Latencies {
	var all Latencies
	median := func(of func(Latencies) float64) float64 {
		values := make([]float64, len(rounds))
		for i, round := range rounds {
			values[i] = of(round)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	for _, round := range rounds {
		all.Requests += round.Requests
		all.Failed += round.Failed
		all.Most = max(all.Most, round.Most)
	}
	all.Median = median(func(l Latencies) float64 { return l.Median })
	all.P99 = median(func(l Latencies) float64 { return l.P99 })
	return all
}

// idle is the share of a core that the process uses while nothing is asked of it.
func idle(ctx context.Context) float64 {
	used, begin := processorTime(), time.Now()
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
	}
	return (processorTime() - used).Seconds() / time.Since(begin).Seconds()
}
