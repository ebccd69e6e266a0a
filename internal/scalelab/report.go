package scalelab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if r.CutShort != "" {
		fmt.Fprintf(table, "CUT SHORT: %s\nWhat follows is not all of the run.\n\n", r.CutShort)
	}
	fmt.Fprintf(table, "seed %d, experiments %v\n", r.Options.Seed, r.Options.Experiments)
	r.writeSlopes(table)
	r.writeQuota(table)
	r.writeSums(table)
	r.writeChurn(table)
	r.writeSockets(table)
	r.writeCapacity(table)
	return table.Flush()
}

func (r *Report) writeSlopes(out io.Writer) {
	if r.Slopes == nil {
		return
	}
	fmt.Fprintf(out, "\nOne gateway; base %+v, %d repeats of each size\n", r.Slopes.Base, r.Slopes.Repeats)
	fmt.Fprintln(out, "(figures that the size does not change by 1 in 100 are in the JSON only)\nagainst\tfigure\tunit\tmeans by size\tslope\terror\tR2\texponent\terror")
	for _, slope := range r.Slopes.Slopes {
		if !slope.varies() {
			continue
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t", slope.Dimension, slope.Figure, slope.Unit)
		for i, point := range slope.Points {
			if i > 0 {
				fmt.Fprint(out, ", ")
			}
			fmt.Fprintf(out, "%g: %.4g", point.Size, point.Value)
		}
		fmt.Fprintf(out, "\t%.4g\t%.2g\t%.3f", slope.Fit.Slope, slope.Fit.SlopeError, slope.Fit.RSquared)
		if slope.Fit.HasExponent {
			fmt.Fprintf(out, "\t%.2f\t%.2f\n", slope.Fit.Exponent, slope.Fit.ExponentError)
		} else {
			fmt.Fprintln(out, "\t-\t-")
		}
	}
}

func (r *Report) writeQuota(out io.Writer) {
	if len(r.Quota) == 0 {
		return
	}
	fmt.Fprintf(out, "\nQuotas over many of %d gateways, %s played; heavy customers ask for %g times the quota, calm ones for %g\n",
		r.Options.Gateways, quotaTime, overAsk, calmAsk)
	fmt.Fprintln(out, "gateways of a customer\tunits/s\tceiling\theavy: sent over quota\tbeyond\tcalm: served\tceiling overrun")
	for _, quota := range r.Quota {
		fmt.Fprintf(out, "%d\t%g\t%t\t%.3f\t%.4f\t%.3f\t%.2f\n", quota.Spread, quota.Rate, quota.HasCeiling, quota.Sent,
			quota.Beyond, quota.CalmServed, quota.CeilingOverrun)
	}
}

func (r *Report) writeSums(out io.Writer) {
	if r.Sums == nil {
		return
	}
	sums := r.Sums
	fmt.Fprintf(out, "\n%d gateways at once, %d backends, %g requests a second each\n", sums.Gateways, sums.Backends, sums.RequestRate)
	for _, row := range []struct {
		name  string
		value any
	}{{"requests", sums.Requests}, {"rejected", sums.Rejected}, {"whole lists taken", sums.ListsTaken},
		{"changed entries taken", sums.ChangesTaken}, {"heap of a gateway, bytes", sums.BytesOfGateway},
		{"backends in use of a gateway", sums.BackendsOfGateway}, {"gateways in use of a backend, mean", sums.ConnectionsMean},
		{"gateways in use of a backend, most", sums.ConnectionsMost}, {"attempts of a backend, mean", sums.AttemptsMean},
		{"... busiest over the mean", sums.LoadMost}, {"... idlest over the mean", sums.LoadLeast},
		{"backends replaced", sums.Replaced}, {"gateways restarted at that moment", sums.RestartedGateways},
		{"sends to a cold backend over what makes it fall", sums.ColdWorst}, {"processor time", sums.ProcessorTime}} {
		if value, ok := row.value.(float64); ok {
			row.value = fmt.Sprintf("%.4g", value)
		}
		fmt.Fprintf(out, "%s\t%v\n", row.name, row.value)
	}
}

func (r *Report) writeChurn(out io.Writer) {
	for _, churn := range r.Churn {
		fmt.Fprintf(out, "\nA day's changes before %d gateways with %d backends; each gateway: %.0f bytes, %.0f ms of processor time\n",
			churn.Gateways, churn.Backends, churn.DayBytes, churn.DayCPUMillis)
		fmt.Fprintln(out, "what\tentries\tmessages\twhole lists\tbytes/gateway\tCPU ms/gateway\tmost bytes/s\tmost CPU ms/s\t"+
			"in force: median ms\t99th\tlast")
		for _, phase := range churn.Phases {
			fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%.0f\t%.1f\t%d\t%.1f\t%.0f\t%.0f\t%.0f\n", phase.Name, phase.Published, phase.Messages,
				phase.WholeLists, phase.Bytes, phase.CPUMillis, phase.MostBytes, phase.MostCPUMillis, phase.MedianMillis,
				phase.P99Millis, phase.LastMillis)
		}
	}
}

func (r *Report) writeSockets(out io.Writer) {
	if len(r.Watches) > 0 {
		fmt.Fprintln(out, "\nA change until it is known, real discovery code on real sockets")
		fmt.Fprintln(out, "gateways\tcase\tknown\tmedian ms\t99th\tlast\tCPU ms/gateway")
	}
	for _, watch := range r.Watches {
		fmt.Fprintf(out, "%d\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.3f\n", watch.Gateways, watch.Case, watch.Known, watch.Median, watch.P99,
			watch.Last, watch.CPU)
	}
	if len(r.Sockets) == 0 {
		return
	}
	fmt.Fprintf(out, "\nA real gateway at %d requests a second, and in bursts of as many at once; us unless said\n", TargetRequestRate)
	fmt.Fprintln(out, "listed\tlist bytes\ttaken\tin ms\tpeak MB\tadded median\tadded 99th\tadded CPU\tidle CPU %\t"+
		"failed\tburst: added 99th\tfailed\tdirect 99th")
	for _, socket := range r.Sockets {
		fmt.Fprintf(out, "%d\t%d\t%t\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%d of %d\t%.0f\t%d of %d\t%.0f\n", socket.Listed,
			socket.ListBytes, socket.ListTaken, socket.ListMillis, socket.ListMegabytes, socket.AddedMedian, socket.AddedP99,
			socket.AddedCPU, socket.IdleCPU*100, socket.Steady.Failed, socket.Steady.Requests, socket.AddedBurstP99,
			socket.Burst.Failed, socket.Burst.Requests, socket.Direct.P99)
	}
}

func (r *Report) writeCapacity(out io.Writer) {
	if len(r.Capacity) == 0 {
		return
	}
	fmt.Fprintln(out, "\nAt the target, the worst first")
	fmt.Fprintln(out, "ratio\twhat\tfigure\tbudget\tunit\tbasis")
	for _, row := range r.Capacity {
		fmt.Fprintf(out, "%.3g\t%s\t%.4g\t%.4g\t%s\t%s\n", row.Ratio, row.What, row.Figure, row.Budget, row.Unit, row.Basis)
	}
}
