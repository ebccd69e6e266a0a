package scalelab

import (
	"cmp"
	"fmt"
	"slices"
)

// CapacityRow compares one figure at the target with its budget.
type CapacityRow struct {
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
	Budget float64 `json:"budget"`
	Unit   string  `json:"unit"`
	Ratio  float64 `json:"ratio"` // of the figure to the budget: over 1 it does not hold
	Basis  string  `json:"basis"` // how the figure came about
}

// Bars that the operators set on growth, and figures that the rows are worked out from.
const (
	growthBar       = 1.5 // cost at the target's backends over that at 1,000
	evenBar         = 1.1 // load of the busiest backend over the mean
	idleForget      = 60  // seconds after which a gateway forgets a customer
	customersAtOnce = TargetRequestRate * idleForget
	secondsInDay    = 24 * 60 * 60
	entriesARestart = 3 // list changes
)

// capacity works out the rows of what was played, the worst first.
func (r *Report) capacity() []CapacityRow {
	rows := slices.Concat(r.growthRows(), r.stateRows(), r.churnRows(), r.socketRows(), r.fleetRows())
	for i := range rows {
		rows[i].Ratio = rows[i].Figure / rows[i].Budget
	}
	slices.SortStableFunc(rows, func(a, b CapacityRow) int { return cmp.Compare(b.Ratio, a.Ratio) })
	return rows
}

// slope finds a slope by its names; nil where it was not measured.
func (r *Report) slope(dimension, figure, unit string) *Slope {
	if r.Slopes == nil {
		return nil
	}
	for i, slope := range r.Slopes.Slopes {
		if slope.Dimension == dimension && slope.Figure == figure && slope.Unit == unit {
			return &r.Slopes.Slopes[i]
		}
	}
	return nil
}

// at is the measured value at a size, 0 where there is no such point.
func (s *Slope) at(size float64) float64 {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Value
		}
	}
	return 0
}

// growthRows compare the cost at the target's backends with that at 1,000.
func (r *Report) growthRows() (rows []CapacityRow) {
	for _, figure := range []string{"request and outcome", "request while 1 in 100 backends is cold", "list change",
		"program: list change"} {
		if slope := r.slope("backends", figure, "us"); slope != nil {
			rows = append(rows, CapacityRow{What: figure + ": cost at 51,000 backends over that at 1,000",
				Figure: slope.at(TargetBackends) / slope.at(1000), Budget: growthBar, Unit: "times", Basis: "measured"})
		}
	}
	return rows
}

// added is what a dimension adds to a figure between the base of the slopes and a size, by the fitted line.
func (r *Report) added(dimension, figure, unit string, base, size int) float64 {
	return r.slope(dimension, figure, unit).Fit.Slope * float64(size-base)
}

// stateRows add up the slopes of one gateway.
func (r *Report) stateRows() (rows []CapacityRow) {
	if r.slope("backends", "state", "bytes") == nil || r.slope("customers", "state", "bytes") == nil ||
		r.slope("classes", "state", "bytes") == nil || r.slope("gateways", "state", "bytes") == nil {
		return nil
	}
	sum := func(figure, unit string) float64 {
		return r.slope("backends", figure, unit).at(TargetBackends) +
			r.added("customers", figure, unit, slopeBase.Customers, customersAtOnce) +
			r.added("classes", figure, unit, slopeBase.Classes, TargetRoutes) +
			r.added("gateways", figure, unit, slopeBase.Gateways, TargetGateways)
	}
	tick, request := sum("tick", "us")/1e6, sum("request and outcome", "us")
	changes := r.slope("backends", "program: list change", "us").at(TargetBackends) / 1e6 *
		(TargetRestarts + TargetFailures) * entriesARestart / secondsInDay
	const megabyte = 1 << 20
	settings := r.slope("classes", "settings", "bytes").at(TargetRoutes)
	list := r.slope("backends", "whole list", "bytes").at(TargetBackends)
	return append(rows,
		CapacityRow{What: "gateway: state of the decision module", Figure: sum("state", "bytes") / megabyte,
			Budget: BudgetControlMemory / megabyte, Unit: "MB", Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: processor time of tick and list changes", Figure: (tick + changes) * 100,
			Budget: BudgetControlCPU * 100, Unit: "% of a core", Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: live heap of the program with module, list and settings", Unit: "MB",
			Figure: (sum("program: state", "bytes") + r.added("customers", "state", "bytes", 0, customersAtOnce)) / megabyte,
			Budget: BudgetControlMemory / megabyte, Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: decision of one request while 1 in 100 backends is cold", Unit: "us",
			Figure: sum("request while 1 in 100 backends is cold", "us"), Basis: "sum of measured slopes",
			Budget: float64(BudgetAddedLatency.Microseconds())},
		CapacityRow{What: "gateway: decision of one request", Figure: request, Unit: "us", Basis: "sum of measured slopes",
			Budget: float64(BudgetAddedLatency.Microseconds())},
		CapacityRow{What: "gateway: whole settings at each of 2,400 changes a day", Unit: "bytes/s",
			Figure: settings * TargetConfigChanges / secondsInDay, Budget: BudgetControlBytes, Basis: "measured size, worked out"},
		CapacityRow{What: "gateway: seconds that a whole list takes at 8 KB a second", Unit: "s",
			Figure: list / BudgetControlBytes, Budget: BudgetInForce.Seconds(), Basis: "measured size, worked out"},
	)
}

// churnRows take the run with all of the target's backends, and the last gateway of the run with all gateways.
func (r *Report) churnRows() (rows []CapacityRow) {
	for _, churn := range r.Churn {
		if churn.Backends == TargetBackends {
			rows = append(rows, CapacityRow{What: "gateway: list changes of a day, mean", Figure: churn.DayBytes / secondsInDay,
				Budget: BudgetControlBytes, Unit: "bytes/s", Basis: "measured"})
			rows = append(rows, churn.worstSecond())
		}
		for _, phase := range churn.Phases {
			if churn.Gateways == r.Options.Gateways {
				rows = append(rows, CapacityRow{What: fmt.Sprintf("%s: in force at the last of %d gateways", phase.Name,
					churn.Gateways), Figure: phase.LastMillis / 1000, Budget: BudgetInForce.Seconds(), Unit: "s",
					Basis: "played; the stand-in's delays"})
			}
		}
	}
	return rows
}

func (c ChurnResult) worstSecond() CapacityRow {
	worst := slices.MaxFunc(c.Phases, func(a, b *Phase) int { return cmp.Compare(a.MostBytes, b.MostBytes) })
	return CapacityRow{What: "gateway: list changes, worst second (" + worst.Name + ")", Figure: float64(worst.MostBytes),
		Budget: BudgetControlBytes, Unit: "bytes/s", Basis: "measured"}
}

func (r *Report) socketRows() (rows []CapacityRow) {
	for _, socket := range r.Sockets {
		if !socket.ListTaken {
			rows = append(rows, CapacityRow{What: fmt.Sprintf("gateway: list of %d backends NOT TAKEN; bytes against its bound",
				socket.Listed), Figure: float64(socket.ListBytes), Budget: listBound, Unit: "bytes", Basis: "measured"})
		} else {
			rows = append(rows, CapacityRow{What: fmt.Sprintf("gateway: heap while a list of %d backends is taken", socket.Listed),
				Figure: socket.ListMegabytes, Budget: BudgetControlMemory >> 20, Unit: "MB", Basis: "measured, sampled"})
		}
		rows = append(rows,
			CapacityRow{What: fmt.Sprintf("gateway: 99th percentile added, %d backends listed", socket.Listed),
				Figure: socket.AddedP99, Budget: float64(BudgetAddedLatency.Microseconds()), Unit: "us", Basis: "measured"},
			CapacityRow{What: fmt.Sprintf("gateway: processor time without requests, %d backends listed", socket.Listed),
				Figure: socket.IdleCPU * 100, Budget: BudgetControlCPU * 100, Unit: "% of a core", Basis: "measured, with stand-ins"})
	}
	return rows
}

// listBound is the bound on a list's bytes that the gateway had at first: what a list that is not taken is compared with.
const listBound = 4 << 20

func (r *Report) fleetRows() (rows []CapacityRow) {
	if r.Sums != nil {
		rows = append(rows,
			CapacityRow{What: "fleet: load of the busiest backend over the mean", Figure: r.Sums.LoadMost, Budget: evenBar,
				Unit: "times", Basis: "played"},
			CapacityRow{What: "fleet: sends to a cold backend over what makes it fall", Figure: r.Sums.ColdWorst, Budget: 1,
				Unit: "times", Basis: "played"})
	}
	for _, quota := range r.Quota {
		if quota.Spread == slices.Max(quotaSpreads) && !quota.HasCeiling {
			rows = append(rows, CapacityRow{What: fmt.Sprintf("fleet: sent of a quota of %g units/s over %d gateways, 4 times asked for",
				quota.Rate, quota.Spread), Figure: quota.Sent, Budget: 1, Unit: "times", Basis: "played"})
		}
	}
	return rows
}
