package stats

import "math"

// GridSize is the number of rates that a Mixture is kept over.
const GridSize = 12

// Grid is a list of rates with their logarithms.
type Grid struct{ Rate, log Weights }

// NewGrid returns the grid of the given rates, all above 0.
func NewGrid(rates Weights) *Grid {
	g := &Grid{Rate: rates}
	for i, rate := range rates {
		g.log[i] = math.Log(rate)
	}
	return g
}

// Log returns the natural logarithm of the i-th rate.
func (g *Grid) Log(i int) float64 { return g.log[i] }

// Weights are the weights of the rates of a grid. As a distribution they add up to 1.
type Weights [GridSize]float64

// Mean returns the mean rate.
func (w *Weights) Mean(g *Grid) float64 {
	mean := 0.0
	for i, weight := range w {
		mean += weight * g.Rate[i]
	}
	return mean
}

// ShareWithin returns the mean share of a rate that a limit leaves of it.
func (w *Weights) ShareWithin(g *Grid, limit float64) float64 {
	mean := 0.0
	for i, weight := range w {
		mean += weight * min(1, limit/g.Rate[i])
	}
	return mean
}

// Sample is one observation of a population: how likely it is at each rate of the grid, what it counts for, and the
// group of the population that it was drawn from.
type Sample struct {
	Likelihood Weights
	Weight     float64
	Group      int
}

// AllGroups stands for the whole population.
const AllGroups = -1

// settled is the sum of the changes of the weights in a round of the EM algorithm below which it ends.
const settled = 0.01

// Refine returns the distribution of the rates in a group after at most so many rounds of the EM algorithm from w on,
// fewer where it has settled, with a Dirichlet prior that counts for so many observations of a known rate.
func (w Weights) Refine(samples []Sample, group int, prior *Weights, observations float64, rounds int) Weights {
	for range rounds {
		var next Weights
		total := observations
		for i := range next {
			next[i] = observations * prior[i]
		}
		for k := range samples {
			s := &samples[k]
			if group != AllGroups && s.Group != group {
				continue
			}
			sum := 0.0
			for i := range w {
				sum += w[i] * s.Likelihood[i]
			}
			if sum <= 0 {
				continue
			}
			total += s.Weight
			for i := range w {
				next[i] += s.Weight * w[i] * s.Likelihood[i] / sum
			}
		}
		change := 0.0
		for i := range next {
			next[i] /= total
			change += math.Abs(next[i] - w[i])
		}
		w = next
		if change < settled {
			break
		}
	}
	return w
}

// Likelihood returns how likely count events of a Poisson process over the exposure are at each rate, relative to the
// likeliest. The exposure is the number of events expected at a rate of 1.
func (g *Grid) Likelihood(count, exposure float64) Weights {
	var likelihood Weights
	most := math.Inf(-1)
	for i, rate := range g.Rate {
		likelihood[i] = count*g.log[i] - exposure*rate
		most = max(most, likelihood[i])
	}
	for i := range likelihood {
		likelihood[i] = math.Exp(likelihood[i] - most)
	}
	return likelihood
}

// Posterior returns the distribution after an observation of the given likelihood.
func (w Weights) Posterior(likelihood *Weights) Weights {
	sum := 0.0
	for i := range w {
		w[i] *= likelihood[i]
		sum += w[i]
	}
	for i := range w {
		w[i] /= sum
	}
	return w
}
