// Package scalelab measures how the cost of a gateway grows with the size of the system around it. It runs hollow
// gateways (real decision modules without sockets) against simulated backends, meter and discovery on a simulated
// clock, and the real gateway's code on loopback sockets. Every run is seeded: the experiments on the simulated clock
// make the same decisions in each run with the same seed, and only the measured processor time and memory differ.
//
// Reading order: target.go (target size and budgets), lab.go (the experiments of a run), single.go and slopes.go (cost
// of one gateway by size), fleet.go with sums.go and quota.go (a whole fleet), discovery.go and churn.go (one day of
// list changes), sockets.go and watches.go (real sockets), capacity.go and report.go (the output).
package scalelab

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"
)

// Experiments are the names of all experiments, in the order in which they run.
var Experiments = []string{"slopes", "quota", "sums", "churn", "watches", "sockets"}

// Options select the experiments of a run and their sizes.
type Options struct {
	Experiments   []string      `json:"experiments"`
	Seed          uint64        `json:"seed"`
	Repeats       int           `json:"repeats"`        // measurements of each size of a slope
	Gateways      int           `json:"gateways"`       // hollow gateways of the quota, sums and churn experiments
	SumsBackends  int           `json:"sums_backends"`  // backends of the sums experiment
	ChurnGateways int           `json:"churn_gateways"` // gateways of the churn run with all of the target's backends
	Watches       int           `json:"watches"`        // gateways that watch discovery on real sockets
	Listed        []int         `json:"listed"`         // lengths of the backend lists on real sockets
	SocketTime    time.Duration `json:"socket_time"`    // how long requests are measured on real sockets
}

// DefaultOptions returns the options that run all experiments at the target's size.
func DefaultOptions() Options {
	return Options{Experiments: Experiments, Seed: 1, Repeats: 3, Gateways: TargetGateways, SumsBackends: 1000,
		ChurnGateways: 6, Watches: 1000, Listed: []int{40, 1000, TargetBackends}, SocketTime: 10 * time.Second}
}

const maxRepeats = 100

// Streams of random numbers. Each kind of simulation draws from a separate one, so that equal seeds do not correlate
// them.
const (
	singleStream = 1 // one gateway
	fleetStream  = 2 // quota and sums experiments
	churnStream  = 3
)

// Validate returns an error that names the first option that is unknown or out of range.
func (o Options) Validate() error {
	if len(o.Experiments) == 0 {
		return errors.New("no experiment is selected")
	}
	for _, name := range o.Experiments {
		if !slices.Contains(Experiments, name) {
			return fmt.Errorf("unknown experiment %q: must be one of %v", name, Experiments)
		}
	}
	if o.Repeats < 1 || o.Repeats > maxRepeats {
		return fmt.Errorf("%d repeats: must be between 1 and %d", o.Repeats, maxRepeats)
	}
	if largest := slices.Max(quotaSpreads); o.Gateways < largest || o.Gateways > maxGateways {
		return fmt.Errorf("%d gateways: must be between %d and %d", o.Gateways, largest, maxGateways)
	}
	if o.SumsBackends < 1 || o.Gateways*o.SumsBackends > maxListEntries {
		return fmt.Errorf("%d gateways with %d backends each: the lists may hold %d entries in all", o.Gateways,
			o.SumsBackends, maxListEntries)
	}
	if o.ChurnGateways < TargetRegions || o.ChurnGateways > maxListEntries/TargetBackends {
		return fmt.Errorf("%d gateways with %d backends each: must be between %d and %d gateways", o.ChurnGateways,
			TargetBackends, TargetRegions, maxListEntries/TargetBackends)
	}
	if o.Watches < 1 || o.Watches > maxWatches {
		return fmt.Errorf("%d watches: must be between 1 and %d", o.Watches, maxWatches)
	}
	for _, listed := range o.Listed {
		if listed < 1 || listed > maxBackends {
			return fmt.Errorf("%d listed backends: must be between 1 and %d", listed, maxBackends)
		}
	}
	if o.SocketTime < time.Second || o.SocketTime > time.Hour {
		return fmt.Errorf("requests cannot be measured for %v: must be between a second and an hour", o.SocketTime)
	}
	return nil
}

// Report holds the results of a run. The results of experiments that did not run are empty.
type Report struct {
	Options  Options        `json:"options"`
	CutShort string         `json:"cut_short,omitempty"` // why the run ended early; empty if it is complete
	Slopes   *SlopeReport   `json:"slopes,omitempty"`
	Quota    []QuotaResult  `json:"quota,omitempty"`
	Sums     *SumsResult    `json:"sums,omitempty"`
	Churn    []ChurnResult  `json:"churn,omitempty"`
	Watches  []WatchResult  `json:"watches,omitempty"`
	Sockets  []SocketResult `json:"sockets,omitempty"`
	Capacity []CapacityRow  `json:"capacity"`
}

// Run runs the selected experiments in the order of Experiments. If an experiment fails or ctx ends, Run returns an
// error and a report that holds the results so far and the cause in CutShort.
func Run(ctx context.Context, options Options, progress Progress) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	report := &Report{Options: options}
	runExperiment := map[string]func(context.Context, Progress) error{
		"slopes": report.runSlopes, "quota": report.runQuota, "sums": report.runSums,
		"churn": report.runChurn, "watches": report.runWatches, "sockets": report.runSockets}
	for _, name := range Experiments {
		if !slices.Contains(options.Experiments, name) {
			continue
		}
		debug.FreeOSMemory() // garbage of one experiment must not add to the cost of the next
		if err := runExperiment[name](ctx, progress); err != nil {
			report.CutShort = fmt.Sprintf("%s: %v", name, err)
			report.Capacity = report.capacity()
			return report, fmt.Errorf("the run was cut short: %s", report.CutShort)
		}
	}
	report.Capacity = report.capacity()
	return report, nil
}

func (r *Report) runSlopes(ctx context.Context, progress Progress) (err error) {
	r.Slopes, err = MeasureSlopes(ctx, Dimensions(), r.Options.Repeats, r.Options.Seed, progress)
	return err
}

// Variants of the quota experiment: the number of gateways that a customer uses, and its quota in units per second.
var (
	quotaSpreads = []int{2, 10, 100, 300, 1000}
	quotaRates   = []float64{20, 1000}
)

func (r *Report) runQuota(ctx context.Context, progress Progress) error {
	for _, hasCeiling := range []bool{false, true} {
		for _, rate := range quotaRates {
			for _, spread := range quotaSpreads {
				progress.Show("quota: %g units per second over %d gateways", rate, spread)
				result, err := RunQuota(ctx, r.Options.Gateways, spread, rate, hasCeiling, r.Options.Seed)
				if err != nil {
					return err
				}
				r.Quota = append(r.Quota, result)
			}
		}
	}
	return nil
}

func (r *Report) runSums(ctx context.Context, progress Progress) error {
	result, err := RunSums(ctx, r.Options.Gateways, r.Options.SumsBackends, r.Options.Seed, progress)
	if err == nil {
		r.Sums = &result
	}
	return err
}

// runChurn runs the churn scenario twice: with a few gateways and all backends to measure the cost, and with all
// gateways and a few backends to measure the delay until the last gateway has applied a change.
func (r *Report) runChurn(ctx context.Context, progress Progress) error {
	for _, size := range []Size{{Gateways: r.Options.ChurnGateways, Backends: TargetBackends},
		{Gateways: r.Options.Gateways, Backends: churnFleetBackends}} {
		result, err := RunChurn(ctx, size.Gateways, size.Backends, r.Options.Seed, progress)
		if err != nil {
			return err
		}
		r.Churn = append(r.Churn, result)
	}
	return nil
}

// churnFleetBackends is the number of backends of the churn run with all gateways.
const churnFleetBackends = 100

func (r *Report) runWatches(ctx context.Context, progress Progress) (err error) {
	r.Watches, err = RunWatches(ctx, r.Options.Watches, progress)
	return err
}

func (r *Report) runSockets(ctx context.Context, progress Progress) error {
	for _, listed := range r.Options.Listed {
		result, err := RunSockets(ctx, listed, r.Options.SocketTime, progress)
		if err != nil {
			return err
		}
		r.Sockets = append(r.Sockets, result)
	}
	return nil
}
