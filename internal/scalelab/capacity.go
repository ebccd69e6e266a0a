package scalelab

import (
	"cmp"
	"fmt"
	"slices"
)

// CapacityRow compares one figure at the target size with its budget.
type CapacityRow struct {
	What   string  `json:"what"`
	Figure float64 `json:"figure"`
	Budget float64 `json:"budget"`
	Unit   string  `json:"unit"`
	Ratio  float64 `json:"ratio"` // Figure over Budget; above 1 the budget is exceeded
	Basis  string  `json:"basis"` // how the figure was obtained
}

// Limits set by the operators, and constants from which the rows are computed.
const (
	maxGrowth           = 1.5 // cost with the target's backends over the cost with growthBaseBackends
	growthBaseBackends  = 1000
	maxLoadRatio        = 1.1 // load of the busiest backend over the mean
	customerIdleSeconds = 60  // without requests, after which a gateway deletes the state of a customer

	// activeCustomers is the highest number of customers with state in a gateway: if each of the requests within
	// customerIdleSeconds is from a different customer.
	activeCustomers = TargetRequestRate * customerIdleSeconds

	secondsPerDay     = 24 * 60 * 60
	entriesPerRestart = 3 // list changes of one restart: draining, gone, ready; a failure has at most as many
)

// capacity computes the rows of all experiments that ran, highest ratio first.
func (r *Report) capacity() []CapacityRow {
	rows := slices.Concat(r.growthRows(), r.stateRows(), r.churnRows(), r.socketRows(), r.fleetRows())
	for i := range rows {
		rows[i].Ratio = rows[i].Figure / rows[i].Budget
	}
	slices.SortStableFunc(rows, func(a, b CapacityRow) int { return cmp.Compare(b.Ratio, a.Ratio) })
	return rows
}

// findSlope returns the slope of a figure along a dimension, or nil if it was not measured.
func (r *Report) findSlope(dimension, figure, unit string) *Slope {
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

// valueAt returns the measured value at a size, or 0 if the size was not measured.
func (s *Slope) valueAt(size float64) float64 {
	for _, point := range s.Points {
		if point.Size == size {
			return point.Value
		}
	}
	return 0
}

// growthRows compares the cost with the target's backends to the cost with growthBaseBackends.
func (r *Report) growthRows() (rows []CapacityRow) {
	for _, figure := range []string{"request and outcome", "request while 1 in 100 backends is cold", "list change",
		"program: list change"} {
		if slope := r.findSlope("backends", figure, "us"); slope != nil {
			rows = append(rows, CapacityRow{What: figure + ": cost at 51,000 backends over that at 1,000",
				Figure: slope.valueAt(TargetBackends) / slope.valueAt(growthBaseBackends), Budget: maxGrowth,
				Unit: "times", Basis: "measured"})
		}
	}
	return rows
}

// addedBy returns the growth of a figure along a dimension from base to size, by the fitted line.
func (r *Report) addedBy(dimension, figure, unit string, base, size int) float64 {
	return r.findSlope(dimension, figure, unit).Fit.Slope * float64(size-base)
}

// stateRows extrapolates the costs of one gateway to the target: the measured value with the target's backends plus
// the growth along the other dimensions. Only customers that were active within customerIdleSeconds have state in a
// gateway.
func (r *Report) stateRows() (rows []CapacityRow) {
	if r.findSlope("backends", "state", "bytes") == nil || r.findSlope("customers", "state", "bytes") == nil ||
		r.findSlope("classes", "state", "bytes") == nil || r.findSlope("gateways", "state", "bytes") == nil {
		return nil
	}
	extrapolate := func(figure, unit string) float64 {
		return r.findSlope("backends", figure, unit).valueAt(TargetBackends) +
			r.addedBy("customers", figure, unit, slopeBase.Customers, activeCustomers) +
			r.addedBy("classes", figure, unit, slopeBase.Classes, TargetRoutes) +
			r.addedBy("gateways", figure, unit, slopeBase.Gateways, TargetGateways)
	}
	// The gateway handles one tick per second. tickCPU and changeCPU are shares of a core.
	tickCPU, requestMicros := extrapolate("tick", "us")/1e6, extrapolate("request and outcome", "us")
	changeCPU := r.findSlope("backends", "program: list change", "us").valueAt(TargetBackends) / 1e6 *
		(TargetRestarts + TargetFailures) * entriesPerRestart / secondsPerDay
	const megabyte = 1 << 20
	settingsLength := r.findSlope("classes", "settings", "bytes").valueAt(TargetRoutes)
	listLength := r.findSlope("backends", "whole list", "bytes").valueAt(TargetBackends)
	return append(rows,
		CapacityRow{What: "gateway: state of the decision module", Figure: extrapolate("state", "bytes") / megabyte,
			Budget: BudgetControlMemory / megabyte, Unit: "MB", Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: processor time of tick and list changes", Figure: (tickCPU + changeCPU) * 100,
			Budget: BudgetControlCPU * 100, Unit: "% of a core", Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: live heap of the program with module, list and settings", Unit: "MB",
			// The program is measured without customers, so their state is added from the decision module.
			Figure: (extrapolate("program: state", "bytes") +
				r.addedBy("customers", "state", "bytes", 0, activeCustomers)) / megabyte,
			Budget: BudgetControlMemory / megabyte, Basis: "sum of measured slopes"},
		CapacityRow{What: "gateway: decision of one request while 1 in 100 backends is cold", Unit: "us",
			Figure: extrapolate("request while 1 in 100 backends is cold", "us"), Basis: "sum of measured slopes",
			Budget: float64(BudgetAddedLatency.Microseconds())},
		CapacityRow{What: "gateway: decision of one request", Figure: requestMicros, Unit: "us",
			Basis: "sum of measured slopes", Budget: float64(BudgetAddedLatency.Microseconds())},
		CapacityRow{What: "gateway: whole settings at each of 2,400 changes a day", Unit: "bytes/s",
			Figure: settingsLength * TargetConfigChanges / secondsPerDay, Budget: BudgetControlBytes,
			Basis: "measured size, worked out"},
		CapacityRow{What: "gateway: seconds that a whole list takes at 8 KB a second", Unit: "s",
			Figure: listLength / BudgetControlBytes, Budget: BudgetPropagation.Seconds(),
			Basis: "measured size, worked out"},
	)
}

// churnRows reports the cost of the run with all of the target's backends and the longest delays of the run with all
// gateways.
func (r *Report) churnRows() (rows []CapacityRow) {
	for _, churn := range r.Churn {
		if churn.Backends == TargetBackends {
			rows = append(rows, CapacityRow{What: "gateway: list changes of a day, mean",
				Figure: churn.BytesPerDay / secondsPerDay, Budget: BudgetControlBytes,
				Unit: "bytes/s", Basis: "measured"})
			rows = append(rows, churn.peakSecondRow())
		}
		for _, phase := range churn.Phases {
			if churn.Gateways == r.Options.Gateways {
				rows = append(rows, CapacityRow{What: fmt.Sprintf("%s: in force at the last of %d gateways", phase.Name,
					churn.Gateways), Figure: phase.MaxDelayMillis / 1000, Budget: BudgetPropagation.Seconds(),
					Unit: "s", Basis: "played; the stand-in's delays"})
			}
		}
	}
	return rows
}

// peakSecondRow reports the most bytes of list changes that a gateway received within a second, and the phase to which
// that second belongs.
func (c ChurnResult) peakSecondRow() CapacityRow {
	worst := slices.MaxFunc(c.Phases, func(a, b *Phase) int {
		return cmp.Compare(a.MaxBytesPerSecond, b.MaxBytesPerSecond)
	})
	return CapacityRow{What: "gateway: list changes, worst second (" + worst.Name + ")",
		Figure: float64(worst.MaxBytesPerSecond), Budget: BudgetControlBytes, Unit: "bytes/s", Basis: "measured"}
}

// socketRows reports the costs of a real gateway for each length of the list.
func (r *Report) socketRows() (rows []CapacityRow) {
	for _, socket := range r.Sockets {
		if !socket.ListApplied {
			rows = append(rows,
				CapacityRow{What: fmt.Sprintf("gateway: list of %d backends NOT TAKEN; bytes against its bound",
					socket.Listed), Figure: float64(socket.ListBytes), Budget: initialListLimit,
					Unit: "bytes", Basis: "measured"})
		} else {
			rows = append(rows,
				CapacityRow{What: fmt.Sprintf("gateway: heap while a list of %d backends is taken", socket.Listed),
					Figure: socket.ListPeakMegabytes, Budget: BudgetControlMemory >> 20,
					Unit: "MB", Basis: "measured, sampled"})
		}
		rows = append(rows,
			CapacityRow{What: fmt.Sprintf("gateway: 99th percentile added, %d backends listed", socket.Listed),
				Figure: socket.AddedP99Micros, Budget: float64(BudgetAddedLatency.Microseconds()),
				Unit: "us", Basis: "measured"},
			CapacityRow{What: fmt.Sprintf("gateway: processor time without requests, %d backends listed",
				socket.Listed),
				Figure: socket.IdleCPU * 100, Budget: BudgetControlCPU * 100,
				Unit: "% of a core", Basis: "measured, with stand-ins"})
	}
	return rows
}

// initialListLimit is the limit on a list's length in bytes that the first version of the gateway had. A list that was
// not applied is compared with it.
const initialListLimit = 4 << 20

// fleetRows reports the results of the sums experiment and of the quotas with the widest spread.
func (r *Report) fleetRows() (rows []CapacityRow) {
	if r.Sums != nil {
		rows = append(rows,
			CapacityRow{What: "fleet: load of the busiest backend over the mean",
				Figure: r.Sums.MaxLoad, Budget: maxLoadRatio, Unit: "times", Basis: "played"},
			CapacityRow{What: "fleet: sends to a cold backend over what makes it fall",
				Figure: r.Sums.MaxColdLoad, Budget: 1, Unit: "times", Basis: "played"})
	}
	for _, quota := range r.Quota {
		if quota.Spread == slices.Max(quotaSpreads) && !quota.HasCeiling {
			rows = append(rows,
				CapacityRow{What: fmt.Sprintf(
					"fleet: sent of a quota of %g units/s over %d gateways, 4 times asked for",
					quota.Rate, quota.Spread), Figure: quota.HeavySentRatio, Budget: 1, Unit: "times", Basis: "played"})
		}
	}
	return rows
}
