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

// WatchResult holds the time from the publication of a change until many gateways, which run the real discovery code,
// have received it.
type WatchResult struct {
	Gateways            int     `json:"gateways"`
	Case                string  `json:"case"`
	NotifiedGateways    int     `json:"known"` // gateways that received the change within watchTimeout
	MedianMillis        float64 `json:"median_ms"`
	P99Millis           float64 `json:"p99_ms"`
	MaxMillis           float64 `json:"last_ms"`
	CPUMillisPerGateway float64 `json:"cpu_ms_per_gateway"` // including the stand-in agent's work
}

const (
	watchedBackends = 40
	watchTimeout    = 20 * time.Second // for all gateways to receive a list or a change
	maxWatches      = 8000             // each watch uses two file descriptors
)

// RunWatches runs the real discovery code of many gateways against one stand-in agent, on real sockets and in real
// time. It measures a change while all watches are open, and one at the moment when all watches break.
func RunWatches(ctx context.Context, gateways int, progress Progress) ([]WatchResult, error) {
	if gateways < 1 || gateways > maxWatches {
		return nil, fmt.Errorf("%d watches: must be between 1 and %d", gateways, maxWatches)
	}
	backends := newBackends(watchedBackends)
	endpoints := make([]frontdoor.Endpoint, len(backends))
	for i, backend := range backends {
		endpoints[i] = toEndpoint(backend, backendAddress(backend.ID))
	}
	agent, err := StartAgent(endpoints)
	if err != nil {
		return nil, err
	}
	defer agent.Stop()
	config, err := loadRealConfig(
		newSettings(Size{Backends: watchedBackends, Customers: 1, Classes: 1, Gateways: gateways}), agent.Address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	notified := make(chan time.Time, 4*gateways)
	var started atomic.Int64
	for range gateways {
		go frontdoor.WatchDiscovery(ctx, config, nil, func(list frontdoor.EndpointList) {
			if list.Full {
				started.Add(1)
			} else {
				notified <- time.Now()
			}
		}, nil)
	}
	progress.Show("watches: starting %d gateways", gateways)
	if !waitFor(ctx, func() bool { return int(started.Load()) >= gateways && agent.WatchCount() >= gateways }) {
		return nil, errors.New("not all gateways received the full list and opened a watch in time")
	}
	var results []WatchResult
	for _, scenario := range []struct {
		name         string
		closeWatches bool
	}{{"all watches open", false}, {"all watches cut at the moment of the change", true}} {
		progress.Show("watches: %s", scenario.name)
		processorBefore, begin := processorTime(), time.Now()
		if scenario.closeWatches {
			agent.CloseWatches()
		}
		if err := agent.PublishChange(endpoints[0]); err != nil {
			return results, err
		}
		result := collectNotifications(ctx, notified, gateways, begin)
		result.Case = scenario.name
		result.CPUMillisPerGateway = (processorTime() - processorBefore).Seconds() * 1000 / float64(gateways)
		results = append(results, result)
		waitFor(ctx, func() bool { return agent.WatchCount() >= gateways })
	}
	return results, ctx.Err()
}

// collectNotifications waits until all gateways have received a change, for watchTimeout at most.
func collectNotifications(ctx context.Context, notified <-chan time.Time, gateways int, begin time.Time) WatchResult {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	result := WatchResult{Gateways: gateways}
	timeout := time.After(watchTimeout)
	for result.NotifiedGateways < gateways {
		select {
		case notifiedAt := <-notified:
			result.NotifiedGateways++
			_ = histogram.RecordValue(max(1, notifiedAt.Sub(begin).Microseconds()))
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		break
	}
	result.MedianMillis = float64(histogram.ValueAtQuantile(50)) / 1000
	result.P99Millis = float64(histogram.ValueAtQuantile(99)) / 1000
	result.MaxMillis = float64(histogram.Max()) / 1000
	return result
}

// waitFor polls a condition until it holds, for watchTimeout at most. It reports whether the condition held.
func waitFor(ctx context.Context, condition func() bool) bool {
	for begin := time.Now(); time.Since(begin) < watchTimeout && ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
