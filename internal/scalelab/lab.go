// Package scalelab measures how the cost of a gateway grows with the size of the system around it. It hosts hollow
// gateways (real decision modules without sockets) before stand-ins on a simulated clock, and the real gateway's code
// on loopback sockets. Every run is seeded; what is played on the simulated clock decides alike in each run of a seed,
// and only the measured processor time and memory differ.
//
// Reading order: target.go (the size to carry and the budgets), lab.go (what a run plays), single.go and slopes.go (one
// gateway against sizes), fleet.go with sums.go and quota.go (many at once), discovery.go and churn.go (a day's
// changes), sockets.go and watches.go (real sockets), capacity.go and report.go (what a run tells).
package scalelab

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"
)

// Experiments are the names of all that a run can play.
var Experiments = []string{"slopes", "quota", "sums", "churn", "watches", "sockets"}

// Options say what a run plays.
type Options struct {
	Experiments   []string      `json:"experiments"`
	Seed          uint64        `json:"seed"`
	Repeats       int           `json:"repeats"` // of each size of a slope
	Gateways      int           `json:"gateways"`
	SumsBackends  int           `json:"sums_backends"`
	ChurnGateways int           `json:"churn_gateways"` // with all of the target's backends
	Watches       int           `json:"watches"`
	Listed        []int         `json:"listed"` // backends listed on real sockets
	SocketTime    time.Duration `json:"socket_time"`
}

// DefaultOptions play everything at the target's size.
func DefaultOptions() Options {
	return Options{Experiments: Experiments, Seed: 1, Repeats: 3, Gateways: TargetGateways, SumsBackends: 1000,
		ChurnGateways: 6, Watches: 1000, Listed: []int{40, 1000, TargetBackends}, SocketTime: 10 * time.Second}
}

const mostRepeats = 100

// Validate names what can't be played.
func (o Options) Validate() error {
	if len(o.Experiments) == 0 {
		return errors.New("no experiment is named")
	}
	for _, name := range o.Experiments {
		if !slices.Contains(Experiments, name) {
			return fmt.Errorf("no experiment %q: there are %v", name, Experiments)
		}
	}
	if o.Repeats < 1 || o.Repeats > mostRepeats {
		return fmt.Errorf("%d repeats can't be played: from 1 to %d", o.Repeats, mostRepeats)
	}
	if largest := slices.Max(quotaSpreads); o.Gateways < largest || o.Gateways > mostGateways {
		return fmt.Errorf("%d gateways can't be played: from %d to %d", o.Gateways, largest, mostGateways)
	}
	if o.SumsBackends < 1 || o.Gateways*o.SumsBackends > mostEntries {
		return fmt.Errorf("%d gateways with %d backends each can't be played: %d entries of lists at most", o.Gateways,
			o.SumsBackends, mostEntries)
	}
	if o.ChurnGateways < TargetRegions || o.ChurnGateways > mostEntries/TargetBackends {
		return fmt.Errorf("%d gateways with %d backends each can't be played: from %d to %d", o.ChurnGateways,
			TargetBackends, TargetRegions, mostEntries/TargetBackends)
	}
	if o.Watches < 1 || o.Watches > mostWatches {
		return fmt.Errorf("%d watches can't be played: from 1 to %d", o.Watches, mostWatches)
	}
	for _, listed := range o.Listed {
		if listed < 1 || listed > mostBackends {
			return fmt.Errorf("%d listed backends can't be played: from 1 to %d", listed, mostBackends)
		}
	}
	if o.SocketTime < time.Second || o.SocketTime > time.Hour {
		return fmt.Errorf("requests can't be measured for %v: from a second to an hour", o.SocketTime)
	}
	return nil
}

// Report is all that one run told.
type Report struct {
	Options  Options        `json:"options"`
	CutShort string         `json:"cut_short,omitempty"` // why what follows is not all; empty: it is
	Slopes   *SlopeReport   `json:"slopes,omitempty"`
	Quota    []QuotaResult  `json:"quota,omitempty"`
	Sums     *SumsResult    `json:"sums,omitempty"`
	Churn    []ChurnResult  `json:"churn,omitempty"`
	Watches  []WatchResult  `json:"watches,omitempty"`
	Sockets  []SocketResult `json:"sockets,omitempty"`
	Capacity []CapacityRow  `json:"capacity"`
}

// Run plays the experiments in their order. Where it is cut short or fails it gives what it has, and says so in the
// report and by the error.
func Run(ctx context.Context, options Options, progress Progress) (*Report, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	report := &Report{Options: options}
	plays := map[string]func(context.Context, Progress) error{"slopes": report.playSlopes, "quota": report.playQuota,
		"sums": report.playSums, "churn": report.playChurn, "watches": report.playWatches, "sockets": report.playSockets}
	for _, name := range Experiments {
		if !slices.Contains(options.Experiments, name) {
			continue
		}
		debug.FreeOSMemory() // what one experiment leaves behind must not cost the next one
		if err := plays[name](ctx, progress); err != nil {
			report.CutShort = fmt.Sprintf("%s: %v", name, err)
			report.Capacity = report.capacity()
			return report, fmt.Errorf("the run was cut short: %s", report.CutShort)
		}
	}
	report.Capacity = report.capacity()
	return report, nil
}

func (r *Report) playSlopes(ctx context.Context, progress Progress) (err error) {
	r.Slopes, err = MeasureSlopes(ctx, Dimensions(), r.Options.Repeats, r.Options.Seed, progress)
	return err
}

// quotaSpreads and quotaRates are how many gateways a customer uses, and its quota in units a second.
var (
	quotaSpreads = []int{2, 10, 100, 300, 1000}
	quotaRates   = []float64{20, 1000}
)

func (r *Report) playQuota(ctx context.Context, progress Progress) error {
	for _, hasCeiling := range []bool{false, true} {
		for _, rate := range quotaRates {
			for _, spread := range quotaSpreads {
				progress.Show("quota: %g units a second over %d gateways", rate, spread)
				result, err := PlayQuota(ctx, r.Options.Gateways, spread, rate, hasCeiling, r.Options.Seed)
				if err != nil {
					return err
				}
				r.Quota = append(r.Quota, result)
			}
		}
	}
	return nil
}

func (r *Report) playSums(ctx context.Context, progress Progress) error {
	result, err := PlaySums(ctx, r.Options.Gateways, r.Options.SumsBackends, r.Options.Seed, progress)
	if err == nil {
		r.Sums = &result
	}
	return err
}

// playChurn plays a few gateways with all backends, for the cost, and all gateways with few, for the last one.
func (r *Report) playChurn(ctx context.Context, progress Progress) error {
	for _, size := range []Size{{Gateways: r.Options.ChurnGateways, Backends: TargetBackends},
		{Gateways: r.Options.Gateways, Backends: churnFewBackends}} {
		result, err := PlayChurn(ctx, size.Gateways, size.Backends, r.Options.Seed, progress)
		if err != nil {
			return err
		}
		r.Churn = append(r.Churn, result)
	}
	return nil
}

const churnFewBackends = 100

func (r *Report) playWatches(ctx context.Context, progress Progress) (err error) {
	r.Watches, err = PlayWatches(ctx, r.Options.Watches, progress)
	return err
}

func (r *Report) playSockets(ctx context.Context, progress Progress) error {
	for _, listed := range r.Options.Listed {
		result, err := PlaySockets(ctx, listed, r.Options.SocketTime, progress)
		if err != nil {
			return err
		}
		r.Sockets = append(r.Sockets, result)
	}
	return nil
}
