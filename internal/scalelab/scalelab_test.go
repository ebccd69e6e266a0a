package scalelab

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"runtime"
	"strings"
	"testing"
	"time"
)

func TestNewFitFindsSlopeAndExponent(t *testing.T) {
	var linear, power []Point
	for _, size := range []float64{1, 10, 100, 1000, 10_000} {
		linear = append(linear, Point{size, 7 + 3*size})
		power = append(power, Point{size, 2 * math.Pow(size, 1.5)})
	}
	fit, err := NewFit(linear)
	if err != nil || math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.Intercept-7) > 1e-6 || fit.SlopeError > 1e-6 {
		t.Errorf("fit of a line: %+v, error %v", fit, err)
	}
	if fit, err = NewFit(power); err != nil || !fit.HasExponent || math.Abs(fit.Exponent-1.5) > 1e-9 {
		t.Errorf("fit of a power law: %+v, error %v", fit, err)
	}
	linear[4].Value += 3000
	if fit, err = NewFit(linear); err != nil || fit.SlopeError == 0 || fit.RSquared == 1 {
		t.Errorf("fit of a line with an outlier: %+v, error %v; want a slope error above 0 and R² below 1", fit, err)
	}
	if _, err = NewFit(append(linear[:4], linear[0])); err != errTooFewSizes {
		t.Errorf("fit of four sizes: error %v, want errTooFewSizes", err)
	}
}

// Invalid options are rejected before an experiment starts, and the error names the invalid value.
func TestInvalidOptionsAreRejected(t *testing.T) {
	for want, change := range map[string]func(*Options){
		`"warp"`:           func(o *Options) { o.Experiments = []string{"slopes", "warp"} },
		"no experiment":    func(o *Options) { o.Experiments = nil },
		"0 repeats":        func(o *Options) { o.Repeats = 0 },
		"5 gateways":       func(o *Options) { o.Gateways = 5 },
		"80000 backends":   func(o *Options) { o.SumsBackends = 80_000 },
		"2 gateways":       func(o *Options) { o.ChurnGateways = 2 },
		"9000 watches":     func(o *Options) { o.Watches = 9000 },
		"-1 listed":        func(o *Options) { o.Listed = []int{40, -1} },
		"measured for 1ms": func(o *Options) { o.SocketTime = time.Millisecond },
	} {
		options := DefaultOptions()
		change(&options)
		report, err := Run(t.Context(), options, Progress{})
		if report != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %s and no report: report %v, error %v", want, report, err)
		}
	}
	if _, err := RunQuota(t.Context(), 10, 11, 20, false, 1); err == nil || !strings.Contains(err.Error(), "11 of 10") {
		t.Errorf("customer that uses 11 of 10 gateways: error %v", err)
	}
	if _, err := RunQuota(t.Context(), 10, 2, math.NaN(), false, 1); err == nil {
		t.Error("a quota of NaN was accepted")
	}
}

// A run whose context ends returns the results so far, and marks them as cut short in the error, the report and the
// table.
func TestCanceledRunIsReportedAsCutShort(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	options := DefaultOptions()
	options.Experiments = []string{"slopes", "quota"}
	report, err := Run(ctx, options, Progress{})
	if err == nil || report == nil || report.CutShort == "" {
		t.Fatalf("report %+v, error %v; want both, and a cause in CutShort", report, err)
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.HasPrefix(table.String(), "CUT SHORT: slopes") {
		t.Errorf("table %.60q, error %v", table.String(), err)
	}
}

// Simulations with the same seed give the same results, whatever the load of the machine.
func TestSameSeedGivesSameResults(t *testing.T) {
	var results [2]QuotaResult
	for i := range results {
		result, err := RunQuota(t.Context(), 60, 30, 40, true, 5)
		if err != nil {
			t.Fatal(err)
		}
		result.ProcessorTime, result.MemoryMegabytes = "", 0
		results[i] = result
	}
	if results[0] != results[1] || results[0].HeavySentRatio == 0 {
		t.Errorf("results differ or are empty: %+v and %+v", results[0], results[1])
	}
}

// The allocations of a request and a list change must not grow with the number of backends, and the memory allocated
// for a list must not grow faster than its length. Allocations are counted, not timed, so that the result is the same
// on every machine.
func TestAllocationsDoNotGrowWithBackends(t *testing.T) {
	const fewBackends, manyBackends = 500, 5000
	type allocations struct{ listBytes, requestObjects float64 }
	measure := func(backends int) allocations {
		size := Size{Backends: backends, Customers: 100, Classes: 3, Gateways: 300}
		host := &singleHost{now: simulationStart, spread: 300, lastSentAt: make(map[BackendID]time.Duration, backends)}
		hollow, err := NewHollowGateway(0, newSettings(size), 1, simulationStart, host)
		if err != nil {
			t.Fatal(err)
		}
		host.gateway = hollow
		list := newBackends(backends)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		hollow.ApplyList(simulationStart, list)
		runtime.ReadMemStats(&after)
		requests := testing.AllocsPerRun(200, func() {
			host.advanceTo(host.now + requestInterval)
			host.submitRequest(1, 0)
			hollow.ApplyChanges(host.now, list[:1])
		})
		return allocations{float64(after.TotalAlloc - before.TotalAlloc), requests}
	}
	withFew, withMany := measure(fewBackends), measure(manyBackends)
	if ratio := withMany.listBytes / withFew.listBytes; ratio > 1.5*manyBackends/fewBackends {
		t.Errorf("a list of %d backends allocates %.1f times the bytes of one of %d", manyBackends, ratio, fewBackends)
	}
	if withMany.requestObjects > withFew.requestObjects+2 {
		t.Errorf("a request allocates %v objects with %d backends, %v with %d", withMany.requestObjects, manyBackends,
			withFew.requestObjects, fewBackends)
	}
}

// In a day with few backends, every published change reaches every gateway, also after the failure of a zone and while
// a region is cut off. Only changes of the cut-off region may be late.
func TestChurnReachesAllGateways(t *testing.T) {
	result, err := RunChurn(t.Context(), 6, 2*TargetZones, 1, Progress{})
	if err != nil {
		t.Fatal(err)
	}
	for _, phase := range result.Phases {
		if delivered := int(phase.delays.TotalCount()); delivered != 6*phase.PublishedEntries || delivered == 0 {
			t.Errorf("%s: %d entries published to 6 gateways, %d delivered", phase.Name,
				phase.PublishedEntries, delivered)
		}
		if cutOff := phase.Name == "changes while a region is cut off"; !cutOff &&
			phase.MedianDelayMillis > maxPropagationDelay.Seconds()*1000 {
			t.Errorf("%s: median delay %v ms", phase.Name, phase.MedianDelayMillis)
		}
	}
	if result.CutOffGateways != 2 {
		t.Errorf("%d gateways were cut off, want 2", result.CutOffGateways)
	}
}

// After backends are replaced and most gateways restart, a small fleet sends no cold backend more than its overload
// limit.
func TestFleetProtectsColdBackends(t *testing.T) {
	result, err := RunSums(t.Context(), 60, 40, 1, Progress{})
	if err != nil || result.MaxColdLoad > 1 || result.MaxColdLoad == 0 || result.RestartedGateways == 0 ||
		result.Requests < 5000 {
		t.Errorf("result %+v, error %v; want MaxColdLoad in (0, 1], restarts, and 5000 requests", result, err)
	}
}

// Real gateways on real sockets receive a change, also if all watches break at that moment. A real gateway applies a
// full list and serves requests with it.
func TestRealGatewayAppliesListAndChanges(t *testing.T) {
	results, err := RunWatches(t.Context(), 10, Progress{})
	if err != nil || len(results) != 2 {
		t.Fatal("want two results of watches: ", results, err)
	}
	for _, result := range results {
		if result.NotifiedGateways != 10 {
			t.Errorf("want 10 notified gateways: %+v", result)
		}
	}
	size := Size{Backends: 300, Customers: 10, Classes: 3, Gateways: 1}
	servers, err := StartServers(1)
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Stop()
	agent, _, err := startListingAgent(size.Backends, servers.Addresses)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	var result SocketResult
	gateway, err := result.measureListApply(size, agent)
	if err != nil || !result.ListApplied {
		t.Fatal("the list was not applied: ", result, err)
	}
	client := newLoadClient(gateway.address)
	client.sendSteadily(t.Context(), 50, 200*time.Millisecond)
	if latencies := client.takeResults(); latencies.Requests != 10 || latencies.Failed > 0 {
		t.Errorf("want 10 requests without a failure: %+v", latencies)
	}
	if err := gateway.shutDown(); err != nil {
		t.Error(err)
	}
}

// BenchmarkSlopes measures the points of all slopes. Use -bench 'Slopes/backends' for one dimension.
func BenchmarkSlopes(b *testing.B) {
	for _, dimension := range Dimensions() {
		for _, value := range dimension.Values {
			size, err := dimension.sizeAt(value)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/%d", dimension.Name, value), func(b *testing.B) { benchmarkSize(b, size) })
		}
	}
}

// benchmarkSize reports every figure of a size as a separate metric.
func benchmarkSize(b *testing.B, size Size) {
	sums := make([]float64, len(Figures))
	for b.Loop() {
		cost, err := MeasureGateway(size, 1)
		if err != nil {
			b.Fatal(err)
		}
		for i, figure := range Figures {
			sums[i] += figure.value(cost)
		}
	}
	for i, figure := range Figures {
		b.ReportMetric(sums[i]/float64(b.N), strings.ReplaceAll(figure.Name, " ", "-")+"-"+figure.Unit)
	}
}
