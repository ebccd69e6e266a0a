package stats

import "math"

// GridSize is the number of rates in a Grid.
const GridSize = 12

// Grid holds the rates over which discrete distributions of a rate are kept.
type Grid struct {
	Rates Weights
	logs  Weights // natural logarithms of Rates
}

// NewGrid returns the grid of the given rates, all of which must be above 0.
func NewGrid(rates Weights) *Grid {
	g := &Grid{Rates: rates}
	for i, rate := range rates {
		g.logs[i] = math.Log(rate)
	}
	return g
}

// LogRate returns the natural logarithm of the i-th rate.
func (g *Grid) LogRate(i int) float64 { return g.logs[i] }

// Weights holds one number for each rate of a Grid. As a distribution, the numbers are probabilities that add up to 1;
// as likelihoods they are relative to each other only.
type Weights [GridSize]float64

// Mean returns the mean rate of the distribution.
func (w *Weights) Mean(g *Grid) float64 {
	mean := 0.0
	for i, weight := range w {
		mean += weight * g.Rates[i]
	}
	return mean
}

// MeanShareWithin returns the expected value of min(1, limit/rate) over the distribution: the mean share of a rate that
// a limit, which must be 0 or more, admits. It is 1 if the limit is at least the largest rate.
func (w *Weights) MeanShareWithin(g *Grid, limit float64) float64 {
	mean := 0.0
	for i, weight := range w {
		mean += weight * min(1, limit/g.Rates[i])
	}
	return mean
}

// Sample is one observation of a population.
type Sample struct {
	Likelihood Weights // likelihood of the observation at each rate of the grid, up to a common factor
	Weight     float64 // number of observations that it counts for, above 0
	Group      int     // group of the population that it was drawn from
}

// AllGroups, in place of the number of a group, selects the samples of the whole population.
const AllGroups = -1

// emTolerance ends the EM algorithm: it has converged once an iteration changes the weights by less than this in total,
// as the sum of the absolute changes.
const emTolerance = 0.01

// FitEM estimates the distribution of the rates in a group, or in all groups for AllGroups, by the EM algorithm for the
// weights of a mixture with fixed components. It starts from w and ends after maxIterations or on convergence. The
// distribution prior is the mean of a Dirichlet prior that counts for priorWeight observations of a known rate;
// priorWeight must be above 0. Without samples the result is the prior. Samples whose likelihood is 0 at every rate of
// positive weight are skipped.
func (w Weights) FitEM(samples []Sample, group int, prior *Weights, priorWeight float64, maxIterations int) Weights {
	for range maxIterations {
		var next Weights
		totalWeight := priorWeight
		for i := range next {
			next[i] = priorWeight * prior[i]
		}
		for sampleIndex := range samples {
			sample := &samples[sampleIndex]
			if group != AllGroups && sample.Group != group {
				continue
			}
			evidence := 0.0
			for i := range w {
				evidence += w[i] * sample.Likelihood[i]
			}
			if evidence <= 0 {
				continue
			}
			totalWeight += sample.Weight
			for i := range w {
				next[i] += sample.Weight * w[i] * sample.Likelihood[i] / evidence
			}
		}
		change := 0.0
		for i := range next {
			next[i] /= totalWeight
			change += math.Abs(next[i] - w[i])
		}
		w = next
		if change < emTolerance {
			break
		}
	}
	return w
}

// Likelihood returns the likelihood of count events of a Poisson process at each rate, relative to that of the
// likeliest rate, which is 1. The exposure is the number of events expected at a rate of 1. If count and exposure are
// both 0, it is 1 at every rate.
func (g *Grid) Likelihood(count, exposure float64) Weights {
	var likelihood Weights
	maxLog := math.Inf(-1)
	for i, rate := range g.Rates {
		likelihood[i] = count*g.logs[i] - exposure*rate
		maxLog = max(maxLog, likelihood[i])
	}
	for i := range likelihood {
		likelihood[i] = math.Exp(likelihood[i] - maxLog)
	}
	return likelihood
}

// Posterior returns the distribution w updated by Bayes' theorem for an observation of the given likelihood. If the
// likelihood is 0 wherever w is above 0, the result is NaN.
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
