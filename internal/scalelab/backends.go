package scalelab

import (
	"math/rand/v2"
	"time"
)

// connectFailureTime is the duration of an attempt at a backend that is down.
const connectFailureTime = time.Millisecond

// Backends simulates the backends: each attempt is answered after an exponentially distributed time, unless its
// backend is down.
type Backends struct {
	random          *rand.Rand
	meanAttemptTime time.Duration
	down            map[BackendID]bool
	attempts        []int // by backend ID
}

// NewBackends returns count running backends, numbered from 1.
func NewBackends(count int, meanTime time.Duration, random *rand.Rand) *Backends {
	return &Backends{random: random, meanAttemptTime: meanTime, down: map[BackendID]bool{},
		attempts: make([]int, count+1)}
}

// StartAttempt counts an attempt and returns its duration and whether it ends with an answer. An attempt without an
// answer has failed to connect.
func (b *Backends) StartAttempt(id BackendID) (duration time.Duration, answered bool) {
	b.attempts[id]++
	if b.down[id] {
		return connectFailureTime, false
	}
	return time.Duration(b.random.ExpFloat64() * float64(b.meanAttemptTime)), true
}

// LoadSpread returns the mean number of attempts per backend, and the highest and lowest number of any backend as
// ratios to the mean.
func (b *Backends) LoadSpread() (mean, maxRatio, minRatio float64) {
	total, highest, lowest := 0, 0, b.attempts[1]
	for _, count := range b.attempts[1:] {
		total += count
		highest, lowest = max(highest, count), min(lowest, count)
	}
	mean = float64(total) / float64(len(b.attempts)-1)
	if mean == 0 {
		return 0, 0, 0
	}
	return mean, float64(highest) / mean, float64(lowest) / mean
}
