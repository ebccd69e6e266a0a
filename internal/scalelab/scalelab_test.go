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

func TestFit(t *testing.T) {
	var line, power []Point
	for _, size := range []float64{1, 10, 100, 1000, 10_000} {
		line = append(line, Point{size, 7 + 3*size})
		power = append(power, Point{size, 2 * math.Pow(size, 1.5)})
	}
	fit, err := NewFit(line)
	if err != nil || math.Abs(fit.Slope-3) > 1e-9 || math.Abs(fit.Intercept-7) > 1e-6 || fit.SlopeError > 1e-6 {
		t.Errorf("a line is fitted by %+v, %v", fit, err)
	}
	if fit, err = NewFit(power); err != nil || !fit.HasExponent || math.Abs(fit.Exponent-1.5) > 1e-9 {
		t.Errorf("a power law is fitted by %+v, %v", fit, err)
	}
	line[4].Value += 3000
	if fit, err = NewFit(line); err != nil || fit.SlopeError == 0 || fit.RSquared == 1 {
		t.Errorf("a line with an outlier is fitted without an error: %+v, %v", fit, err)
	}
	if _, err = NewFit(append(line[:4], line[0])); err != errFewPoints {
		t.Errorf("four sizes are fitted: %v", err)
	}
}

// What can't be played is refused before anything is, and the error names it.
func TestOptionsThatCannotBePlayed(t *testing.T) {
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
			t.Errorf("%s: report %v, error %v", want, report, err)
		}
	}
	if _, err := PlayQuota(t.Context(), 10, 11, 20, false, 1); err == nil || !strings.Contains(err.Error(), "11 of 10") {
		t.Errorf("a customer of 11 of 10 gateways: %v", err)
	}
	if _, err := PlayQuota(t.Context(), 10, 2, math.NaN(), false, 1); err == nil {
		t.Error("a quota that is no number is played")
	}
}

// A run that is cut short gives what it has, and says so in the error, the report and the table.
func TestRunCutShort(t *testing.T) {
	ctx, cut := context.WithCancel(t.Context())
	cut()
	options := DefaultOptions()
	options.Experiments = []string{"slopes", "quota"}
	report, err := Run(ctx, options, Progress{})
	if err == nil || report == nil || report.CutShort == "" {
		t.Fatalf("report %+v, error %v", report, err)
	}
	var table bytes.Buffer
	if err := report.WriteTable(&table); err != nil || !strings.HasPrefix(table.String(), "CUT SHORT: slopes") {
		t.Errorf("the table says %.60q, %v", table.String(), err)
	}
}

// The same seed plays the same, whatever the machine does meanwhile.
func TestSameSeedPlaysTheSame(t *testing.T) {
	var results [2]QuotaResult
	for i := range results {
		result, err := PlayQuota(t.Context(), 60, 30, 40, true, 5)
		if err != nil {
			t.Fatal(err)
		}
		result.ProcessorTime, result.MemoryMegabytes = "", 0
		results[i] = result
	}
	if results[0] != results[1] || results[0].Sent == 0 {
		t.Errorf("%+v and %+v", results[0], results[1])
	}
}

// The allocations of requests, ticks and list changes do not grow with the number of backends, and the memory that a
// list takes grows no faster than it. They are counted, so that the verdict is the same on every machine.
func TestGrowthWithBackends(t *testing.T) {
	const small, large = 500, 5000
	type counted struct{ listBytes, requestObjects float64 }
	count := func(backends int) counted {
		size := Size{Backends: backends, Customers: 100, Classes: 3, Gateways: 300}
		host := &single{now: start, spread: 300, lastSent: make(map[BackendID]time.Duration, backends)}
		hollow, err := NewHollowGateway(0, newSettings(size), 1, start, host)
		if err != nil {
			t.Fatal(err)
		}
		host.gateway = hollow
		list := newBackends(backends)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		hollow.TakeList(start, list)
		runtime.ReadMemStats(&after)
		requests := testing.AllocsPerRun(200, func() {
			host.finish(host.now + requestEvery)
			host.request(1, 0)
			hollow.TakeChanges(host.now, list[:1])
		})
		return counted{float64(after.TotalAlloc - before.TotalAlloc), requests}
	}
	few, many := count(small), count(large)
	if ratio := many.listBytes / few.listBytes; ratio > 1.5*large/small {
		t.Errorf("a list of %d backends allocates %.1f times the bytes of one of %d", large, ratio, small)
	}
	if many.requestObjects > few.requestObjects+2 {
		t.Errorf("a request allocates %v objects at %d backends, %v at %d", many.requestObjects, large, few.requestObjects, small)
	}
}

// A short day: every change reaches every gateway, and the lost zone and the cut-off region come back.
func TestChurnReachesAllGateways(t *testing.T) {
	result, err := PlayChurn(t.Context(), 6, 2*TargetZones, 1, Progress{})
	if err != nil {
		t.Fatal(err)
	}
	for _, phase := range result.Phases {
		if told := int(phase.inForce.TotalCount()); told != 6*phase.Published || told == 0 {
			t.Errorf("%s: %d entries published to 6 gateways, %d told", phase.Name, phase.Published, told)
		}
		if cut := phase.Name == "changes while a region is cut off"; !cut && phase.MedianMillis > mostDelay.Seconds()*1000 {
			t.Errorf("%s: median %v ms", phase.Name, phase.MedianMillis)
		}
	}
	if result.RegionGateways != 2 {
		t.Errorf("%d gateways were cut off", result.RegionGateways)
	}
}

// A small fleet spares cold backends by the rule that the real days judge.
func TestSumsOfASmallFleet(t *testing.T) {
	result, err := PlaySums(t.Context(), 60, 40, 1, Progress{})
	if err != nil || result.ColdWorst > 1 || result.ColdWorst == 0 || result.RestartedGateways == 0 || result.Requests < 5000 {
		t.Errorf("%+v, %v", result, err)
	}
}

// Real gateways on real sockets take a list and a change, also where all watches break at that moment.
func TestRealSockets(t *testing.T) {
	results, err := PlayWatches(t.Context(), 10, Progress{})
	if err != nil || len(results) != 2 {
		t.Fatal(results, err)
	}
	for _, result := range results {
		if result.Known != 10 {
			t.Errorf("%+v", result)
		}
	}
	size := Size{Backends: 300, Customers: 10, Classes: 3, Gateways: 1}
	servers, err := StartServers(1)
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Stop()
	agent, _, err := startListing(size.Backends, servers.Addresses)
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Stop()
	var result SocketResult
	gateway, err := result.takeList(size, agent)
	if err != nil || !result.ListTaken {
		t.Fatal(result, err)
	}
	client := newLoadClient(gateway.address)
	client.steady(t.Context(), 50, 200*time.Millisecond)
	if taken := client.take(); taken.Requests != 10 || taken.Failed > 0 {
		t.Errorf("%+v", taken)
	}
	if err := gateway.end(); err != nil {
		t.Error(err)
	}
}

// BenchmarkSlopes measures the points of the slopes; -bench 'Slopes/backends' those of one dimension.
func BenchmarkSlopes(b *testing.B) {
	for _, dimension := range Dimensions() {
		for _, value := range dimension.Values {
			size, err := dimension.at(value)
			if err != nil {
				b.Fatal(err)
			}
			b.Run(fmt.Sprintf("%s/%d", dimension.Name, value), func(b *testing.B) { benchmarkSize(b, size) })
		}
	}
}

// benchmarkSize reports every figure of a size as a metric of its own.
func benchmarkSize(b *testing.B, size Size) {
	sums := make([]float64, len(Figures))
	for b.Loop() {
		cost, err := MeasureGateway(size, 1)
		if err != nil {
			b.Fatal(err)
		}
		for i, figure := range Figures {
			sums[i] += figure.of(cost)
		}
	}
	for i, figure := range Figures {
		b.ReportMetric(sums[i]/float64(b.N), strings.ReplaceAll(figure.Name, " ", "-")+"-"+figure.Unit)
	}
}
