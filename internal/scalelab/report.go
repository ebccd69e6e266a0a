package scalelab

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(r)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if r.CutShort != "" {
		fmt.Fprintf(table, "CUT SHORT: %s\nThe results below are incomplete.\n\n", r.CutShort)
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
	fmt.Fprintln(out,
		"(figures that vary by at most 1 percent are in the JSON only)\ndimension\tfigure\tunit\tmeans by size\tslope\terror\tR2\texponent\terror")
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
	fmt.Fprintf(out, "\nQuotas over many of %d gateways, %s simulated; demand over quota: heavy %g, light %g\n",
		r.Options.Gateways, quotaDuration, heavyDemand, lightDemand)
	fmt.Fprintln(out, "gateways/customer\tunits/s\tceiling\theavy: sent over quota\texcess\tlight: served\toverrun")
	for _, quota := range r.Quota {
		fmt.Fprintf(out, "%d\t%g\t%t\t%.3f\t%.4f\t%.3f\t%.2f\n", quota.Spread, quota.Rate, quota.HasCeiling,
			quota.HeavySentRatio, quota.ExcessShare, quota.LightServedShare, quota.CeilingOverrun)
	}
}

func (r *Report) writeSums(out io.Writer) {
	if r.Sums == nil {
		return
	}
	sums := r.Sums
	fmt.Fprintf(out, "\n%d gateways at once, %d backends, %g requests per second each\n",
		sums.Gateways, sums.Backends, sums.RequestRate)
	for _, row := range []struct {
		name  string
		value any
	}{{"requests", sums.Requests}, {"rejected", sums.Rejected}, {"whole lists applied", sums.AppliedLists},
		{"changed entries applied", sums.AppliedChanges}, {"heap per gateway, bytes", sums.BytesPerGateway},
		{"backends in use per gateway", sums.BackendsPerGateway}, {"gateways per backend, mean", sums.MeanConnections},
		{"gateways per backend, maximum", sums.MaxConnections}, {"attempts per backend, mean", sums.MeanAttempts},
		{"attempts of the busiest backend over the mean", sums.MaxLoad},
		{"attempts of the least busy backend over the mean", sums.MinLoad},
		{"backends replaced", sums.ReplacedBackends}, {"gateways restarted at the same time", sums.RestartedGateways},
		{"sends to a cold backend over its overload limit", sums.MaxColdLoad}, {"processor time", sums.ProcessorTime}} {
		if value, ok := row.value.(float64); ok {
			row.value = fmt.Sprintf("%.4g", value)
		}
		fmt.Fprintf(out, "%s\t%v\n", row.name, row.value)
	}
}

func (r *Report) writeChurn(out io.Writer) {
	for _, churn := range r.Churn {
		fmt.Fprintf(out, "\nList changes of a day, %d gateways, %d backends; per gateway: %.0f bytes, %.0f ms CPU\n",
			churn.Gateways, churn.Backends, churn.BytesPerDay, churn.CPUMillisPerDay)
		fmt.Fprintln(out,
			"change\tentries\tmessages\twhole lists\tbytes/gateway\tCPU ms/gateway\tmax bytes/s\tmax CPU ms/s\t"+
				"until applied: median ms\t99th\tmax")
		for _, phase := range churn.Phases {
			fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%.0f\t%.1f\t%d\t%.1f\t%.0f\t%.0f\t%.0f\n", phase.Name,
				phase.PublishedEntries, phase.Messages, phase.FullLists, phase.BytesPerGateway,
				phase.CPUMillisPerGateway, phase.MaxBytesPerSecond, phase.MaxCPUMillisPerSecond,
				phase.MedianDelayMillis, phase.P99DelayMillis, phase.MaxDelayMillis)
		}
	}
}

func (r *Report) writeSockets(out io.Writer) {
	if len(r.Watches) > 0 {
		fmt.Fprintln(out, "\nTime until a change is received; real discovery code on real sockets")
		fmt.Fprintln(out, "gateways\tcase\treceived by\tmedian ms\t99th\tmax\tCPU ms/gateway")
	}
	for _, watch := range r.Watches {
		fmt.Fprintf(out, "%d\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.3f\n",
			watch.Gateways, watch.Case, watch.NotifiedGateways, watch.MedianMillis, watch.P99Millis,
			watch.MaxMillis, watch.CPUMillisPerGateway)
	}
	if len(r.Sockets) == 0 {
		return
	}
	fmt.Fprintf(out, "\nA real gateway at %d requests per second, and with bursts of as many; us unless noted\n",
		TargetRequestRate)
	fmt.Fprintln(out, "listed\tlist bytes\tapplied\tin ms\tpeak MB\tadded median\tadded 99th\tadded CPU\tidle CPU %\t"+
		"failed\tburst: added 99th\tfailed\tdirect 99th")
	for _, socket := range r.Sockets {
		fmt.Fprintf(out, "%d\t%d\t%t\t%.1f\t%.1f\t%.0f\t%.0f\t%.0f\t%.2f\t%d of %d\t%.0f\t%d of %d\t%.0f\n",
			socket.Listed, socket.ListBytes, socket.ListApplied, socket.ListApplyMillis, socket.ListPeakMegabytes,
			socket.AddedMedianMicros, socket.AddedP99Micros, socket.AddedCPUMicros, socket.IdleCPU*100,
			socket.Steady.Failed, socket.Steady.Requests, socket.AddedBurstP99Micros,
			socket.Burst.Failed, socket.Burst.Requests, socket.Direct.P99Micros)
	}
}

func (r *Report) writeCapacity(out io.Writer) {
	if len(r.Capacity) == 0 {
		return
	}
	fmt.Fprintln(out, "\nAt the target, highest ratio first")
	fmt.Fprintln(out, "ratio\twhat\tfigure\tbudget\tunit\tbasis")
	for _, row := range r.Capacity {
		fmt.Fprintf(out, "%.3g\t%s\t%.4g\t%.4g\t%s\t%s\n", row.Ratio, row.What,
			row.Figure, row.Budget, row.Unit, row.Basis)
	}
}
