package scalelab

import (
	"math/rand/v2"
	"time"
)

// Backends is a stand-in for the backends: each attempt is answered after a random time, unless its backend is down.
type Backends struct {
	random   *rand.Rand
	meanWork time.Duration
	down     map[BackendID]bool
	attempts []int // of each backend, counted since the last reset
}

// NewBackends starts count backends.
func NewBackends(count int, meanWork time.Duration, random *rand.Rand) *Backends {
	return &Backends{random: random, meanWork: meanWork, down: map[BackendID]bool{}, attempts: make([]int, count+1)}
}

// Begin takes an attempt and tells after what time it ends, and whether with an answer.
func (b *Backends) Begin(id BackendID) (took time.Duration, answered bool) {
	b.attempts[id]++
	if b.down[id] {
		return time.Millisecond, false
	}
	return time.Duration(b.random.ExpFloat64() * float64(b.meanWork)), true
}

// Reset sets all counts to nothing.
func (b *Backends) Reset() { clear(b.attempts) }

// Spread tells how even the load was: the mean of the attempts, and the most and the least of any backend over it.
func (b *Backends) Spread() (mean, most, least float64) {
	total, high, low := 0, 0, b.attempts[1]
	for _, count := range b.attempts[1:] {
		total += count
		high, low = max(high, count), min(low, count)
	}
	mean = float64(total) / float64(len(b.attempts)-1)
	if mean == 0 {
		return 0, 0, 0
	}
	return mean, float64(high) / mean, float64(low) / mean
}
