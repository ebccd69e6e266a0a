package scalelab

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"herontiller/internal/frontdoor"
)

// WatchResult is how long it takes until a change is known at all of many gateways that run the real discovery code.
type WatchResult struct {
	Gateways int     `json:"gateways"`
	Case     string  `json:"case"`
	Known    int     `json:"known"` // gateways that knew it in time
	Median   float64 `json:"median_ms"`
	P99      float64 `json:"p99_ms"`
	Last     float64 `json:"last_ms"`
	CPU      float64 `json:"cpu_ms_per_gateway"` // with the stand-in agent's part
}

const (
	watchHosts    = 40
	watchPatience = 20 * time.Second
	mostWatches   = 8000 // each takes two descriptors
)

// PlayWatches follows one stand-in agent by many gateways' real discovery code, on real sockets and in real time.
func PlayWatches(ctx context.Context, gateways int, progress Progress) ([]WatchResult, error) {
	if gateways < 1 || gateways > mostWatches {
		return nil, fmt.Errorf("%d watches can't be played: from 1 to %d", gateways, mostWatches)
	}
	backends := newBackends(watchHosts)
	hosts := make([]frontdoor.Endpoint, len(backends))
	for i, backend := range backends {
		hosts[i] = endpoint(backend, backendAddress(backend.ID))
	}
	agent, err := StartAgent(hosts)
	if err != nil {
		return nil, err
	}
	defer agent.Stop()
	config, err := realConfig(newSettings(Size{Backends: watchHosts, Customers: 1, Classes: 1, Gateways: gateways}), agent.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	told := make(chan time.Time, 4*gateways)
	var started atomic.Int64
	for range gateways {
		go frontdoor.WatchDiscovery(ctx, config, nil, func(list frontdoor.EndpointList) {
			if list.Full {
				started.Add(1)
			} else {
				told <- time.Now()
			}
		})
	}
	progress.Show("watches: %d gateways start", gateways)
	if !waitFor(ctx, func() bool { return int(started.Load()) >= gateways && agent.Watches() >= gateways }) {
		return nil, errors.New("not all gateways had a list in time")
	}
	var results []WatchResult
	for _, play := range []struct {
		name string
		cut  bool
	}{{"all watches open", false}, {"all watches cut at the moment of the change", true}} {
		progress.Show("watches: %s", play.name)
		used, begin := processorTime(), time.Now()
		if play.cut {
			agent.CutWatches()
		}
		if err := agent.Change(hosts[0]); err != nil {
			return results, err
		}
		result := collect(ctx, told, gateways, begin)
		result.Case = play.name
		result.CPU = (processorTime() - used).Seconds() * 1000 / float64(gateways)
		results = append(results, result)
		waitFor(ctx, func() bool { return agent.Watches() >= gateways })
	}
	return results, ctx.Err()
}

// collect waits until all gateways know a change, or for watchPatience.
func collect(ctx context.Context, told <-chan time.Time, gateways int, begin time.Time) WatchResult {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	result := WatchResult{Gateways: gateways}
	patience := time.After(watchPatience)
	for result.Known < gateways {
		select {
		case at := <-told:
			result.Known++
			_ = histogram.RecordValue(max(1, at.Sub(begin).Microseconds()))
			continue
		case <-patience:
		case <-ctx.Done():
		}
		break
	}
	result.Median = float64(histogram.ValueAtQuantile(50)) / 1000
	result.P99 = float64(histogram.ValueAtQuantile(99)) / 1000
	result.Last = float64(histogram.Max()) / 1000
	return result
}

// waitFor waits for a condition, for watchPatience at most.
func waitFor(ctx context.Context, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < watchPatience && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
