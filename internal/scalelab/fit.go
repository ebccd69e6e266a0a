package scalelab

import (
	"errors"
	"math"
)

// leastPoints is the number of different sizes that a slope needs at least.
const leastPoints = 5

var errFewPoints = errors.New("a slope needs five different sizes or more")

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a least-squares line through points, and the exponent of a power law through the same points.
type Fit struct {
	Intercept     float64 `json:"intercept"`
	Slope         float64 `json:"slope"`
	SlopeError    float64 `json:"slope_error"` // standard error
	RSquared      float64 `json:"r_squared"`
	Exponent      float64 `json:"exponent"` // of the power law
	ExponentError float64 `json:"exponent_error"`
	HasExponent   bool    `json:"has_exponent"` // all values were above 0
}

// NewFit fits points of at least five different sizes.
func NewFit(points []Point) (Fit, error) {
	sizes := map[float64]bool{}
	positive := true
	for _, point := range points {
		sizes[point.Size] = true
		positive = positive && point.Size > 0 && point.Value > 0
	}
	if len(sizes) < leastPoints {
		return Fit{}, errFewPoints
	}
	line := leastSquares(points)
	fit := Fit{Intercept: line.intercept, Slope: line.slope, SlopeError: line.slopeError, RSquared: line.rSquared}
	if !positive {
		return fit, nil
	}
	logs := make([]Point, len(points))
	for i, point := range points {
		logs[i] = Point{Size: math.Log(point.Size), Value: math.Log(point.Value)}
	}
	power := leastSquares(logs)
	fit.Exponent, fit.ExponentError, fit.HasExponent = power.slope, power.slopeError, true
	return fit, nil
}

// line is a fitted line.
type line struct{ intercept, slope, slopeError, rSquared float64 }

// leastSquares fits a line. The points must be of two different sizes or more.
func leastSquares(points []Point) line {
	count := float64(len(points))
	meanSize, meanValue := 0.0, 0.0
	for _, point := range points {
		meanSize += point.Size / count
		meanValue += point.Value / count
	}
	sizeSquares, products, valueSquares := 0.0, 0.0, 0.0
	for _, point := range points {
		sizeSquares += (point.Size - meanSize) * (point.Size - meanSize)
		products += (point.Size - meanSize) * (point.Value - meanValue)
		valueSquares += (point.Value - meanValue) * (point.Value - meanValue)
	}
	slope := products / sizeSquares
	residual := max(0, valueSquares-slope*products)
	fitted := line{intercept: meanValue - slope*meanSize, slope: slope, rSquared: 1}
	if len(points) > 2 {
		fitted.slopeError = math.Sqrt(residual / (count - 2) / sizeSquares)
	}
	if valueSquares > 0 {
		fitted.rSquared = 1 - residual/valueSquares
	}
	return fitted
}
