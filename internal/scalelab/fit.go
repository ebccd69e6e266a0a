package scalelab

import (
	"errors"
	"math"
)

// minSizes is the lowest number of different sizes to which a slope is fitted.
const minSizes = 5

var errTooFewSizes = errors.New("a slope needs at least five different sizes")

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a least-squares line through points, with the exponent of a power law fitted to the same points.
type Fit struct {
	Intercept     float64 `json:"intercept"`
	Slope         float64 `json:"slope"`
	SlopeError    float64 `json:"slope_error"` // standard error
	RSquared      float64 `json:"r_squared"`
	Exponent      float64 `json:"exponent"` // of the power law
	ExponentError float64 `json:"exponent_error"`
	HasExponent   bool    `json:"has_exponent"` // all sizes and values were above 0
}

// NewFit fits a line and, if all sizes and values are positive, a power law. It needs at least minSizes different
// sizes.
func NewFit(points []Point) (Fit, error) {
	sizes := map[float64]bool{}
	positive := true
	for _, point := range points {
		sizes[point.Size] = true
		positive = positive && point.Size > 0 && point.Value > 0
	}
	if len(sizes) < minSizes {
		return Fit{}, errTooFewSizes
	}
	linear := leastSquares(points)
	fit := Fit{Intercept: linear.intercept, Slope: linear.slope,
		SlopeError: linear.slopeError, RSquared: linear.rSquared}
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

// fittedLine is a least-squares line with its standard error and coefficient of determination.
type fittedLine struct{ intercept, slope, slopeError, rSquared float64 }

// leastSquares fits a line. The points must have at least two different sizes.
func leastSquares(points []Point) fittedLine {
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
	fitted := fittedLine{intercept: meanValue - slope*meanSize, slope: slope, rSquared: 1}
	if len(points) > 2 {
		fitted.slopeError = math.Sqrt(residual / (count - 2) / sizeSquares)
	}
	if valueSquares > 0 {
		fitted.rSquared = 1 - residual/valueSquares
	}
	return fitted
}
