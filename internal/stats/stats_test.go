package stats

import (
	"math"
	"math/rand/v2"
	"testing"
)

// expectNear reports an error unless got is within the tolerance of want. A NaN is an error too.
func expectNear(t *testing.T, name string, got, want, tolerance float64) {
	t.Helper()
	if !(math.Abs(got-want) <= tolerance) {
		t.Errorf("%s: %v, want %v within %v", name, got, want, tolerance)
	}
}

func TestErlangLossMatchesDefinition(t *testing.T) {
	for _, load := range []float64{0.1, 1, 7, 40} {
		loss := ErlangLoss(load, 20)
		for k := range loss {
			sum, term := 0.0, 1.0
			for i := 0; i <= k; i++ {
				if i > 0 {
					term *= load / float64(i)
				}
				sum += term
			}
			expectNear(t, "ErlangLoss", loss[k], term/sum, 1e-9)
		}
	}
}

func TestPoissonAndBinomialMatchSums(t *testing.T) {
	for _, mean := range []float64{0.2, 1, 4, 15} {
		term, sum := math.Exp(-mean), 0.0
		for k := range 30 {
			expectNear(t, "PoissonBelow", PoissonBelow(float64(k+1), mean), sum+term, 0.02)
			sum += term
			expectNear(t, "PoissonCDF", PoissonCDF(k, mean), sum, 1e-9)
			term *= mean / float64(k+1)
		}
	}
	for _, p := range []float64{0, 0.01, 0.3, 0.9, 1} {
		for k := range 12 {
			want := 0.0
			for i := range min(k, 11) {
				want += math.Exp(logBinomial(10, i)) * math.Pow(p, float64(i)) * math.Pow(1-p, float64(10-i))
			}
			expectNear(t, "BinomialBelow", BinomialBelow(k, 10, p), want, 1e-9)
		}
	}
}

// logBinomial returns the natural logarithm of the binomial coefficient n over k.
func logBinomial(n, k int) float64 {
	logN, _ := math.Lgamma(float64(n + 1))
	logK, _ := math.Lgamma(float64(k + 1))
	logRest, _ := math.Lgamma(float64(n - k + 1))
	return logN - logK - logRest
}

// An M/M/1/K queue with K = 1.5*burst-0.5 is full about as often as a token bucket of burst requests is short.
func TestMM1KBlockingApproximatesTokenBucket(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, burst := range []float64{2, 4, 8} {
		for _, load := range []float64{0.3, 0.6, 0.9, 1.3, 2.5} {
			used, shortages := 0.0, 0
			const trials = 60000
			for range trials {
				used = max(0, used-rng.ExpFloat64()/load)
				if used+1 > burst {
					shortages++
				} else {
					used++
				}
			}
			got := MM1KBlocking(load, math.Log(load), 1.5*burst-0.5)
			expectNear(t, "MM1KBlocking", got, float64(shortages)/trials, 0.04)
		}
	}
}

func TestShortageProbabilityUsesLastReading(t *testing.T) {
	bucket := TokenBucket{QueueSize: 5.5, ReadingWeight: 1, Headroom: 4, RefillSinceReading: 6, OthersShare: 0.8}
	if p := bucket.ShortageProbability(0.3, math.Log(0.3)); p > 0.01 {
		t.Errorf("shortage probability %v of a bucket with headroom and little use, want 0.01 at most", p)
	}
	if p := bucket.ShortageProbability(5, math.Log(5)); p < 0.95 {
		t.Errorf("shortage probability %v of a bucket used at five times its refill rate, want 0.95 at least", p)
	}
	bucket.Headroom = -7
	if p := bucket.ShortageProbability(0.3, math.Log(0.3)); p != 1 {
		t.Errorf("shortage probability %v of a bucket emptied by its own sender, want 1", p)
	}
	fresh := TokenBucket{QueueSize: 5.5, WasFull: true, FullHeadroom: 3, RefillSinceFull: 0.5}
	if p := fresh.ShortageProbability(3, math.Log(3)); p > 0.2 {
		t.Errorf("shortage probability %v of a bucket that was full a moment ago, want 0.2 at most", p)
	}
}

// The estimate recovers a mixture of a few heavy users and many light ones from samples of a few events each. A group
// without samples gets the overall distribution.
func TestPopulationEstimatesMixture(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	grid := NewGrid(Weights{0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1, 1.25, 1.7, 2.4, 3.5, 5})
	prior := Weights{}
	for i := range prior {
		prior[i] = 1.0 / GridSize
	}
	population := NewPopulation(prior, 400)
	sampled, idle := population.AddGroup(), population.AddGroup()
	for range 1000 {
		rate := 0.35
		if rng.Float64() < 0.2 {
			rate = 3.5
		}
		const exposure = 4.0
		count, limit := 0.0, math.Exp(-rate*exposure)
		for product := rng.Float64(); product > limit; product *= rng.Float64() {
			count++
		}
		population.Add(Sample{Likelihood: grid.Likelihood(count, exposure), Weight: 1, Group: sampled})
	}
	for range 20 {
		population.Estimate(4, 10)
	}
	expectNear(t, "mean rate", population.Group(sampled).Mean(grid), 0.98, 0.15)
	heavy := 0.0
	for i, rate := range grid.Rates {
		if rate > 1.5 {
			heavy += population.Group(sampled)[i]
		}
	}
	expectNear(t, "share of heavy users", heavy, 0.2, 0.06)
	expectNear(t, "mean of a group without samples",
		population.Group(idle).Mean(grid), population.Overall.Mean(grid), 1e-9)
	expectNear(t, "MeanShareWithin", population.Group(sampled).MeanShareWithin(grid, 1), 0.8+0.2/3.5, 0.06)
}

func TestMaxOccupancyCDFMatchesSimulation(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	const mean, serviceTimes, trials = 0.6, 10.0, 4000
	var maxCounts [20]int // trials by the highest occupancy plus 1; element 0 holds that of the current trial
	for range trials {
		var ends []float64
		// Arrivals begin 10 mean service times before the period, so that it starts in equilibrium.
		for now, first := -10.0, true; now < serviceTimes; first = false {
			if !first {
				ends = append(ends, now+rng.ExpFloat64())
			}
			present := 0
			for _, end := range ends {
				present += map[bool]int{true: 1}[end > now]
			}
			if now >= 0 && !first {
				maxCounts[0] = max(maxCounts[0], present)
			}
			now += rng.ExpFloat64() / mean
		}
		maxCounts[min(19, maxCounts[0]+1)]++
		maxCounts[0] = 0
	}
	sum := 0
	for k := range 4 {
		sum += maxCounts[k+1]
		expectNear(t, "MaxOccupancyCDF", MaxOccupancyCDF(k, mean, serviceTimes), float64(sum)/trials, 0.1)
	}
}
