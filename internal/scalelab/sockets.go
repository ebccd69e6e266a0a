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

// SocketResult holds the measurements of a real gateway on real sockets with a list of Listed backends.
type SocketResult struct {
	Listed              int       `json:"listed"`
	ListBytes           int       `json:"list_bytes"`
	ListApplied         bool      `json:"list_taken"`   // by the real discovery code, within listTimeout
	ListApplyMillis     float64   `json:"list_ms"`      // time until the list was applied
	ListPeakMegabytes   float64   `json:"list_peak_mb"` // highest sampled growth of the heap meanwhile
	ListLiveMegabytes   float64   `json:"list_kept_mb"` // growth of the live heap by gateway and list
	Direct              Latencies `json:"direct"`       // straight to a stand-in server
	Steady              Latencies `json:"steady"`       // through the gateway
	DirectBurst         Latencies `json:"direct_burst"`
	Burst               Latencies `json:"burst"`
	AddedP99Micros      float64   `json:"added_p99_us"` // over the direct requests
	AddedMedianMicros   float64   `json:"added_median_us"`
	AddedBurstP99Micros float64   `json:"added_burst_p99_us"`
	IdleCPU             float64   `json:"idle_cpu"`     // share of a core that the process uses without requests
	AddedCPUMicros      float64   `json:"added_cpu_us"` // processor time that the gateway adds to a steady request
}

const (
	standInServers     = 8                // that serve all listed backends
	listTimeout        = 10 * time.Second // for a new gateway to apply the list
	loadRounds         = 5                // of steady requests
	burstCount         = 5
	burstPause         = time.Second          // between bursts
	loadWarmUpTime     = time.Second          // of requests that are not measured
	idleTime           = 3 * time.Second      // for the measurement without requests
	heapSampleInterval = 2 * time.Millisecond // while a list is applied
)

// realGateway runs the components of the real program in this process.
type realGateway struct {
	address      string
	loop         *frontdoor.Loop
	appliedLists chan int // lengths of the full lists that were applied
	stop         context.CancelFunc
	runResult    chan error
}

// startGateway starts a real gateway whose discovery client follows the agent at discoveryAddress.
func startGateway(settings Settings, discoveryAddress string) (*realGateway, error) {
	config, err := loadRealConfig(settings, discoveryAddress)
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
	gateway := &realGateway{address: listener.Addr().String(), loop: loop, appliedLists: make(chan int, 16), stop: stop,
		runResult: make(chan error, 1)}
	go frontdoor.WatchDiscovery(ctx, config, nil, func(list frontdoor.EndpointList) {
		count := len(list.Endpoints)
		loop.Update(list)
		if list.Full {
			gateway.appliedLists <- count
		}
	}, loop.DiscoveryChanged)
	go func() { gateway.runResult <- frontdoor.NewServer(config, loop).Run(ctx, listener) }()
	return gateway, nil
}

// shutDown stops the gateway and returns the error of its server.
func (g *realGateway) shutDown() error {
	g.stop()
	defer g.loop.Close()
	return <-g.runResult
}

// RunSockets measures a real gateway with a list of the given length. A few stand-in servers serve all listed backends.
// Requests are measured for the duration, straight to a server and through the gateway.
func RunSockets(ctx context.Context, listed int, duration time.Duration, progress Progress) (SocketResult, error) {
	result := SocketResult{Listed: listed}
	size := Size{Backends: listed, Customers: slopeBase.Customers, Classes: slopeBase.Classes,
		Gateways: max(1, listed*TargetGateways/TargetBackends)} // as many per backend as at the target
	if err := size.Validate(); err != nil {
		return result, err
	}
	if duration < time.Second || duration > time.Hour {
		return result, errors.New("the duration of the requests must be between a second and an hour")
	}
	servers, err := StartServers(standInServers)
	if err != nil {
		return result, err
	}
	defer servers.Stop()
	agent, endpoints, err := startListingAgent(listed, servers.Addresses)
	if err != nil {
		return result, err
	}
	defer agent.Stop()
	result.ListBytes = len(agent.fullList)
	progress.Show("sockets: %d listed, direct requests", listed)
	var directCPU, steadyCPU float64
	result.Direct, result.DirectBurst, directCPU = measureLoad(ctx, newLoadClient(servers.Addresses[0]), duration)
	progress.Show("sockets: %d listed, applying the list", listed)
	gateway, err := result.measureListApply(size, agent)
	if err != nil {
		return result, err
	}
	if !result.ListApplied { // apply it directly, so that the latency can still be measured
		gateway.loop.Update(frontdoor.EndpointList{Version: 1, Full: true, Endpoints: endpoints})
	}
	runtime.KeepAlive(endpoints)
	result.IdleCPU = measureIdleShare(ctx)
	progress.Show("sockets: %d listed, requests through the gateway", listed)
	result.Steady, result.Burst, steadyCPU = measureLoad(ctx, newLoadClient(gateway.address), duration)
	result.AddedCPUMicros = steadyCPU - directCPU
	result.AddedMedianMicros = result.Steady.MedianMicros - result.Direct.MedianMicros
	result.AddedP99Micros = result.Steady.P99Micros - result.Direct.P99Micros
	result.AddedBurstP99Micros = result.Burst.P99Micros - result.DirectBurst.P99Micros
	return result, errors.Join(ctx.Err(), gateway.shutDown())
}

// startListingAgent starts an agent that lists backends at the addresses in turn.
func startListingAgent(listed int, addresses []string) (*Agent, []frontdoor.Endpoint, error) {
	endpoints := make([]frontdoor.Endpoint, 0, listed)
	for i, backend := range newBackends(listed) {
		endpoints = append(endpoints, toEndpoint(backend, addresses[i%len(addresses)]))
	}
	agent, err := StartAgent(endpoints)
	return agent, endpoints, err
}

// measureListApply starts a gateway and waits until it has applied the list, for listTimeout at most. Meanwhile it
// samples the heap, so that the recorded peak is a lower bound.
func (r *SocketResult) measureListApply(size Size, agent *Agent) (*realGateway, error) {
	heapBefore := liveHeapBytes()
	var peak atomic.Uint64
	sampling, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for sampling.Err() == nil {
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			peak.Store(max(peak.Load(), stats.HeapAlloc))
			time.Sleep(heapSampleInterval)
		}
	}()
	begin := time.Now()
	gateway, err := startGateway(newSettings(size), agent.Address)
	if err != nil {
		return nil, err
	}
	select {
	case <-gateway.appliedLists:
		r.ListApplied, r.ListApplyMillis = true, time.Since(begin).Seconds()*1000
	case <-time.After(listTimeout):
	}
	stop()
	r.ListPeakMegabytes = max(0, float64(peak.Load())-float64(heapBefore)) / (1 << 20)
	r.ListLiveMegabytes = (float64(liveHeapBytes()) - float64(heapBefore)) / (1 << 20)
	return gateway, nil
}

// measureLoad sends requests at the target's rate for the duration, after a short warm-up, and then bursts of one
// second's requests. The steady requests are split into rounds and the result is the median over the rounds, so that a
// short disturbance by other processes affects one round only. cpu is the process's processor time per steady request,
// in microseconds.
func measureLoad(ctx context.Context, client *loadClient, duration time.Duration) (
	steady, burst Latencies, cpu float64) {
	defer client.transport.CloseIdleConnections()
	client.sendSteadily(ctx, TargetRequestRate, loadWarmUpTime)
	client.takeResults()
	processorBefore := processorTime()
	rounds := make([]Latencies, loadRounds)
	for i := range rounds {
		client.sendSteadily(ctx, TargetRequestRate, duration/loadRounds)
		rounds[i] = client.takeResults()
	}
	steady = summarizeRounds(rounds)
	cpu = float64((processorTime() - processorBefore).Microseconds()) / float64(max(1, steady.Requests))
	client.sendBursts(ctx, TargetRequestRate, burstCount, burstPause)
	return steady, client.takeResults(), cpu
}

// summarizeRounds adds up the counts of rounds and takes the medians of their quantiles and the highest of their
// maxima.
func summarizeRounds(rounds []Latencies) Latencies {
	var summary Latencies
	median := func(value func(Latencies) float64) float64 {
		values := make([]float64, len(rounds))
		for i, round := range rounds {
			values[i] = value(round)
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	for _, round := range rounds {
		summary.Requests += round.Requests
		summary.Failed += round.Failed
		summary.MaxMicros = max(summary.MaxMicros, round.MaxMicros)
	}
	summary.MedianMicros = median(func(latencies Latencies) float64 { return latencies.MedianMicros })
	summary.P99Micros = median(func(latencies Latencies) float64 { return latencies.P99Micros })
	return summary
}

// measureIdleShare returns the share of a core that the process uses while it receives no requests.
func measureIdleShare(ctx context.Context) float64 {
	processorBefore, begin := processorTime(), time.Now()
	select {
	case <-time.After(idleTime):
	case <-ctx.Done():
	}
	return (processorTime() - processorBefore).Seconds() / time.Since(begin).Seconds()
}
