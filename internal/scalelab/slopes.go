package scalelab

import (
	"context"
	"fmt"
	"math"
)

// slopeBase is the base size. A slope is measured along one dimension while the others stay at the base.
var slopeBase = Size{Backends: 1000, Customers: 1000, Classes: 3, Gateways: 300}

// Dimension is one of the four dimensions of a size, with the values at which it is measured.
type Dimension struct {
	Name   string `json:"name"`
	Values []int  `json:"values"`
}

// Dimensions returns the dimensions of a full run. The values of each reach the target.
func Dimensions() []Dimension {
	return []Dimension{
		{Name: "backends", Values: []int{40, 200, 1000, 5000, 20_000, TargetBackends}},
		{Name: "customers", Values: []int{100, 1000, 10_000, 40_000, TargetCustomers}},
		{Name: "classes", Values: []int{3, 30, 300, 3000, 10_000, TargetRoutes}},
		{Name: "gateways", Values: []int{3, 30, 300, 1000, TargetGateways}},
	}
}

// sizeAt returns the base size with the given value of the dimension.
func (d Dimension) sizeAt(value int) (Size, error) {
	size := slopeBase
	switch d.Name {
	case "backends":
		size.Backends = value
	case "customers":
		size.Customers = value
	case "classes":
		size.Classes = value
	case "gateways":
		size.Gateways = value
	default:
		return size, fmt.Errorf("unknown dimension %q: must be backends, customers, classes or gateways", d.Name)
	}
	return size, size.Validate()
}

// Figure is one measured quantity of a Cost.
type Figure struct {
	Name  string
	Unit  string
	value func(Cost) float64
}

// Figures are the quantities to which slopes are fitted.
var Figures = []Figure{
	{"state", "bytes", func(c Cost) float64 { return c.StateBytes }},
	{"whole list", "us", func(c Cost) float64 { return c.FullListMicros }},
	{"request and outcome", "us", func(c Cost) float64 { return c.RequestMicros }},
	{"request and outcome", "objects", func(c Cost) float64 { return c.RequestObjects }},
	{"request while 1 in 100 backends is cold", "us", func(c Cost) float64 { return c.ColdRequestMicros }},
	{"first request of a customer", "us", func(c Cost) float64 { return c.FirstRequestMicros }},
	{"list change", "us", func(c Cost) float64 { return c.ChangeMicros }},
	{"tick", "us", func(c Cost) float64 { return c.TickMicros }},
	{"whole list", "bytes", func(c Cost) float64 { return c.FullListBytes }},
	{"list change", "bytes", func(c Cost) float64 { return c.ChangeBytes }},
	{"program: whole list", "us", func(c Cost) float64 { return c.ProgramListMicros }},
	{"program: list change", "us", func(c Cost) float64 { return c.ProgramChangeMicros }},
	{"program: state", "bytes", func(c Cost) float64 { return c.ProgramStateBytes }},
	{"program: settings read", "us", func(c Cost) float64 { return c.SettingsMicros }},
	{"settings", "bytes", func(c Cost) float64 { return c.SettingsBytes }},
	{"backends in use", "connections", func(c Cost) float64 { return c.BackendsInUse }},
}

// Slope is the growth of one figure along one dimension.
type Slope struct {
	Dimension string  `json:"dimension"`
	Figure    string  `json:"figure"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"` // means over the repeats
	Fit       Fit     `json:"fit"`    // through all repeats
}

// varies reports whether the figure changes by more than 1 percent over the measured sizes.
func (s Slope) varies() bool {
	lowest, highest := math.Inf(1), math.Inf(-1)
	for _, point := range s.Points {
		lowest, highest = min(lowest, point.Value), max(highest, point.Value)
	}
	return highest-lowest > 0.01*math.Abs(highest)
}

// SlopeReport holds the results of the slopes experiment.
type SlopeReport struct {
	Base    Size    `json:"base"`
	Repeats int     `json:"repeats"`
	Costs   []Cost  `json:"costs"`
	Slopes  []Slope `json:"slopes"`
}

// MeasureSlopes measures a gateway at each value of each dimension. Each of the repeats uses a different seed, derived
// from the given one. If ctx ends, it returns the dimensions finished so far and the error of ctx.
func MeasureSlopes(ctx context.Context, dimensions []Dimension, repeats int, seed uint64,
	progress Progress) (*SlopeReport, error) {
	report := &SlopeReport{Base: slopeBase, Repeats: repeats}
	for _, dimension := range dimensions {
		var costs []Cost
		for _, value := range dimension.Values {
			size, err := dimension.sizeAt(value)
			if err != nil {
				return report, err
			}
			for repeat := range repeats {
				if ctx.Err() != nil {
					return report, ctx.Err()
				}
				progress.Show("slopes: %s %d, repeat %d of %d", dimension.Name, value, repeat+1, repeats)
				cost, err := MeasureGateway(size, seed+uint64(repeat))
				if err != nil {
					return report, err
				}
				costs = append(costs, cost)
			}
		}
		report.Costs = append(report.Costs, costs...)
		slopes, err := fitSlopes(dimension, costs, repeats)
		if err != nil {
			return report, fmt.Errorf("%s: %w", dimension.Name, err)
		}
		report.Slopes = append(report.Slopes, slopes...)
	}
	return report, nil
}

// fitSlopes fits a slope to each figure. The costs are ordered by the dimension's values, with all repeats of a value
// next to each other.
func fitSlopes(dimension Dimension, costs []Cost, repeats int) ([]Slope, error) {
	var slopes []Slope
	for _, figure := range Figures {
		slope := Slope{Dimension: dimension.Name, Figure: figure.Name, Unit: figure.Unit}
		var all []Point
		for i, cost := range costs {
			point := Point{Size: float64(dimension.Values[i/repeats]), Value: figure.value(cost)}
			all = append(all, point)
			if i%repeats == 0 {
				slope.Points = append(slope.Points, Point{Size: point.Size})
			}
			slope.Points[i/repeats].Value += point.Value / float64(repeats)
		}
		fit, err := NewFit(all)
		if err != nil {
			return nil, err
		}
		slope.Fit = fit
		slopes = append(slopes, slope)
	}
	return slopes, nil
}
