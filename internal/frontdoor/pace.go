package frontdoor

import (
	"errors"
	"math/rand/v2"
	"time"
)

// Back-off and time-outs of requests to discovery.

// retryPolicy determines the pauses between requests to discovery and their time-outs.
type retryPolicy struct {
	sharedService     bool          // all instances request one service; else each has an agent of its own
	staleAfterFailure time.Duration // after a failed request, how long until the list counts as stale; 0: never
	grace             time.Duration // how long attempts at a draining backend are still allowed
}

// newRetryPolicy is the policy for a configuration.
func newRetryPolicy(c Config) retryPolicy {
	p := retryPolicy{sharedService: c.Settings.SubscribeToList, staleAfterFailure: failedFactor * c.Conns.StaleAfter,
		grace: c.Settings.DrainGrace}
	if p.grace <= 0 { // not in the settings
		p.grace = 500 * time.Millisecond
	}
	return p
}

// failure is a failed request to discovery or a watch that ended.
type failure struct {
	err         error
	consecutive int           // failures in a row, this one included
	hasList     bool          // this process has received a list
	slack       time.Duration // how long a request can be put off and still be answered within stalenessBound
}

// pause is the pause after a failure, with full jitter.
func (p retryPolicy) pause(f failure) time.Duration {
	return rand.N(max(1, p.maxPause(f)))
}

// maxPause is the longest pause after a failure.
func (p retryPolicy) maxPause(f failure) time.Duration {
	if !p.sharedService {
		return time.Duration(agentPauseFraction * float64(p.grace))
	}
	pause := backOff(f)
	if p.staleAfterFailure > 0 {
		pause = min(pause, p.staleAfterFailure)
	}
	return pause
}

// backOff is the longest pause after a failure at a service: exponential, unless the service is overloaded.
func backOff(f failure) time.Duration {
	var refusal *statusError
	busy := errors.As(f.err, &refusal) && refusal.took < fastRefusal
	switch {
	case busy && f.hasList && f.slack <= 0:
		return retryMaxBusy
	case busy:
		return max(retryBase, f.slack)
	}
	longest := retryMaxNew
	if f.hasList {
		longest = retryMax
	}
	return min(retryBase<<min(f.consecutive-1, 10), longest)
}

// idleTimeout is how long a watch may stay silent.
func (p retryPolicy) idleTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return agentIdleTimeout
}

// responseTimeout is how long a request may take until the first byte of its response: an agent responds at once, a
// service from a queue.
func (p retryPolicy) responseTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return time.Duration(agentTimeoutFraction * float64(p.grace))
}
