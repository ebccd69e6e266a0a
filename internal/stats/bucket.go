package stats

// minMean replaces a mean of 0 where a formula divides by the mean.
const minMean = 1e-3

// TokenBucket models a token bucket on which several senders draw, one of them the observer. The model estimates how
// often a request of the observer finds too few tokens. Amounts of tokens are in requests of the mean size. Both
// headrooms exclude the tokens that the request itself needs, and may be negative.
type TokenBucket struct {
	// QueueSize is the K of the M/M/1/K queue that is full as often as the bucket is short in the long run.
	QueueSize float64

	// WasFull says that the bucket is known to have been full some time ago; only then are the next two fields used.
	WasFull         bool
	FullHeadroom    float64 // tokens beyond the request's own when the bucket was full; if negative, 0 is used
	RefillSinceFull float64 // tokens refilled since the bucket was full

	ReadingWeight      float64 // confidence in the last reading of the level, from 0 (none) to 1 (exact)
	Headroom           float64 // tokens beyond the request's own at that reading, less the observer's use since
	RefillSinceReading float64 // tokens refilled since that reading
	OthersShare        float64 // share of all requests that other senders send, from 0 to 1
}

// ShortageProbability returns the probability that the bucket holds too few tokens for the request. All senders
// together send at the given rate, which is in multiples of the refill rate and above 0; logRate is its natural
// logarithm.
//
// Without a reading, it is the blocking probability of the M/M/1/K queue. If the bucket was full recently, it is at
// most the probability that Poisson arrivals since then exceed the headroom and the refill. With a reading, it is the
// probability that the Poisson arrivals of the other senders since the reading exceed the headroom and the refill, and
// 1 if these are negative. ReadingWeight interpolates between the two estimates.
func (b *TokenBucket) ShortageProbability(rate, logRate float64) float64 {
	withoutReading := MM1KBlocking(rate, logRate, b.QueueSize)
	if b.WasFull {
		withoutReading = min(withoutReading,
			poissonAbove(max(0, b.FullHeadroom)+b.RefillSinceFull, rate*b.RefillSinceFull))
	}
	if b.ReadingWeight <= 0 {
		return withoutReading
	}
	fromReading := 1.0
	if remaining := b.Headroom + b.RefillSinceReading; remaining >= 0 {
		fromReading = poissonAbove(remaining, rate*b.RefillSinceReading*b.OthersShare)
	}
	return (1-b.ReadingWeight)*withoutReading + b.ReadingWeight*fromReading
}

// poissonAbove returns the probability that a Poisson variable of the given mean is above n >= 0, by the approximation
// of PoissonBelow, which interpolates between whole numbers.
func poissonAbove(n, mean float64) float64 { return 1 - PoissonBelow(n+1, max(minMean, mean)) }
