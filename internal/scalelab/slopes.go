package scalelab

import (
	"context"
	"fmt"
	"math"
)

// A slope is measured along one dimension of the size while the others stay at the base.
var slopeBase = Size{Backends: 1000, Customers: 1000, Classes: 3, Gateways: 300}

// Dimension is one of the four dimensions of a size and the values that it is measured at.
type Dimension struct {
	Name   string `json:"name"`
	Values []int  `json:"values"`
}

// Dimensions are those of a full run: each reaches the target.
func Dimensions() []Dimension {
	return []Dimension{
		{Name: "backends", Values: []int{40, 200, 1000, 5000, 20_000, TargetBackends}},
		{Name: "customers", Values: []int{100, 1000, 10_000, 40_000, TargetCustomers}},
		{Name: "classes", Values: []int{3, 30, 300, 3000, 10_000, TargetRoutes}},
		{Name: "gateways", Values: []int{3, 30, 300, 1000, TargetGateways}},
	}
}

// at is the base with the dimension's value.
func (d Dimension) at(value int) (Size, error) {
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
		return size, fmt.Errorf("no dimension %q: it is backends, customers, classes or gateways", d.Name)
	}
	return size, size.Validate()
}

// Figure is one figure of a Cost.
type Figure struct {
	Name string
	Unit string
	of   func(Cost) float64
}

// Figures are those that slopes are fitted to.
var Figures = []Figure{
	{"state", "bytes", func(c Cost) float64 { return c.StateBytes }},
	{"whole list", "us", func(c Cost) float64 { return c.FullListMicros }},
	{"request and outcome", "us", func(c Cost) float64 { return c.RequestMicros }},
	{"request and outcome", "objects", func(c Cost) float64 { return c.RequestObjects }},
	{"request while 1 in 100 backends is cold", "us", func(c Cost) float64 { return c.ColdRequestMicros }},
	{"first request of a customer", "us", func(c Cost) float64 { return c.MeetCustomerUs }},
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

// Slope is one figure against one dimension.
type Slope struct {
	Dimension string  `json:"dimension"`
	Figure    string  `json:"figure"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"` // means over the repeats
	Fit       Fit     `json:"fit"`    // through all repeats
}

// varies tells whether the size changes the figure at all.
func (s Slope) varies() bool {
	least, most := math.Inf(1), math.Inf(-1)
	for _, point := range s.Points {
		least, most = min(least, point.Value), max(most, point.Value)
	}
	return most-least > 0.01*math.Abs(most)
}

// SlopeReport holds what one run of slopes measured.
type SlopeReport struct {
	Base    Size    `json:"base"`
	Repeats int     `json:"repeats"`
	Costs   []Cost  `json:"costs"`
	Slopes  []Slope `json:"slopes"`
}

// MeasureSlopes measures each dimension's values as often as repeats says, each time with a seed of its own.
func MeasureSlopes(ctx context.Context, dimensions []Dimension, repeats int, seed uint64, progress Progress) (*SlopeReport, error) {
	report := &SlopeReport{Base: slopeBase, Repeats: repeats}
	for _, dimension := range dimensions {
		var costs []Cost
		for _, value := range dimension.Values {
			size, err := dimension.at(value)
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

// fitSlopes fits each figure of a dimension's costs, which are in the order of its values.
func fitSlopes(dimension Dimension, costs []Cost, repeats int) ([]Slope, error) {
	var slopes []Slope
	for _, figure := range Figures {
		slope := Slope{Dimension: dimension.Name, Figure: figure.Name, Unit: figure.Unit}
		var all []Point
		for i, cost := range costs {
			point := Point{Size: float64(dimension.Values[i/repeats]), Value: figure.of(cost)}
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
