// Package stats holds formulas of queueing theory and statistics that the gateway's policy uses: loss and blocking
// probabilities, tails of distributions, a model of a token bucket, and the estimation of mixtures of Poisson rates. It
// holds no settings of the policy.
package stats

import "math"

// ErlangLoss returns Erlang's loss formula B(load, k) for k = 0..servers, by its recurrence over k: the probability
// that an arrival at an M/G/k/k system is lost. The load is the arrival rate times the mean service time, 0 or more.
// B(load, 0) is 1; at a load of 0, all others are 0.
func ErlangLoss(load float64, servers int) []float64 {
	loss := make([]float64, servers+1)
	loss[0] = 1
	for k := 1; k <= servers; k++ {
		loss[k] = load * loss[k-1] / (float64(k) + load*loss[k-1])
	}
	return loss
}

// MM1KBlocking returns the probability that an M/M/1/K queue is full, which is the probability that it rejects an
// arrival. The capacity K includes the request in service and need not be whole; at a capacity of 0 the probability is
// 1. The load is the arrival rate in multiples of the service rate, above 0, and logLoad is its natural logarithm. Near
// a load of 1, where the formula divides 0 by 0, the result is its limit 1/(K+1).
func MM1KBlocking(load, logLoad, capacity float64) float64 {
	if math.Abs(load-1) < 1e-3 {
		return 1 / (capacity + 1)
	}
	return (1 - load) / (math.Exp(-capacity*logLoad) - load)
}

// PoissonBelow returns the probability that a Poisson variable of the given mean is below n, for n above 0. It is also
// the probability that a gamma variable of shape n and scale 1 is above the mean, which defines it for n that are not
// whole. It is computed by the Wilson-Hilferty approximation; the tests hold its error to 0.02 for means from 0.2 to
// 15.
func PoissonBelow(n, mean float64) float64 {
	return math.Erfc((math.Cbrt(mean/n)-1+1/(9*n))*3*math.Sqrt(n/2)) / 2
}

// BinomialBelow returns the probability that fewer than k of n independent trials succeed, each with probability p. The
// number of trials need not be whole. The result is 0 if k <= 0, else 1 if p <= 0 or n < k, else 0 if p >= 1.
func BinomialBelow(k int, n, p float64) float64 {
	if k <= 0 {
		return 0
	}
	if p <= 0 || n < float64(k) {
		return 1
	}
	if p >= 1 {
		return 0
	}
	term := math.Exp(n * math.Log1p(-p))
	sum := 0.0
	for i := range k {
		sum += term
		term *= (n - float64(i)) / float64(i+1) * p / (1 - p)
	}
	return min(1, sum)
}

// PoissonCDF returns the probability that a Poisson variable of the given mean is at most k: 0 if k is negative, and 1
// at a mean of 0 otherwise. It sums the terms from exp(-mean) on, which underflows to 0 for means above 745.
func PoissonCDF(k int, mean float64) float64 {
	term := math.Exp(-mean)
	sum := 0.0
	for i := 0; i <= k; i++ {
		sum += term
		term *= mean / float64(i+1)
	}
	return min(1, sum)
}

// MaxOccupancyCDF returns the probability that the number of jobs in an M/G/infinity system in equilibrium never
// exceeds k during a period. The mean is the mean number of jobs present, and serviceTimes the length of the period in
// mean service times. The upcrossings of the level k are approximated as a Poisson process, independent of the number
// at the start. The result is 0 if k is negative.
func MaxOccupancyCDF(k int, mean, serviceTimes float64) float64 {
	if k < 0 {
		return 0
	}
	atLevel := PoissonCDF(k, mean) - PoissonCDF(k-1, mean)
	return PoissonCDF(k, mean) * math.Exp(-mean*serviceTimes*atLevel)
}
