package frontdoor

import (
	"errors"
	"math/rand/v2"
	"time"
)

// retryPolicy determines the timeouts of requests to discovery and the backoff between them.
type retryPolicy struct {
	sharedService     bool          // all gateways request the list from one service; else each has its own agent
	staleAfterFailure time.Duration // time from a failed request until the list counts as stale; 0: it never does
	drainGrace        time.Duration // how long after a backend starts draining attempts at it are still allowed
}

const (
	defaultDrainGrace = 500 * time.Millisecond // used if the settings don't state DrainGrace

	// maxBackoffDoublings keeps the backoff from overflowing after many failures: baseBackoff doubled this many times
	// is above all limits of the backoff.
	maxBackoffDoublings = 10
)

// newRetryPolicy returns the policy for a configuration.
func newRetryPolicy(config Config) retryPolicy {
	policy := retryPolicy{sharedService: config.Settings.SubscribeToList,
		staleAfterFailure: failedRequestFactor * config.Connections.ListRequestInterval,
		drainGrace:        config.Settings.DrainGrace}
	if policy.drainGrace <= 0 {
		policy.drainGrace = defaultDrainGrace
	}
	return policy
}

// failure describes a failed request to discovery or a watch that ended.
type failure struct {
	err         error
	consecutive int           // number of failures in a row, including this one
	hasList     bool          // this process has received a list
	slack       time.Duration // how long a request can be delayed and still be answered within stalenessBound
}

// backoff returns the time to wait after a failure, with full jitter.
func (p retryPolicy) backoff(f failure) time.Duration {
	return rand.N(max(1, p.backoffLimit(f)))
}

// backoffLimit returns the upper limit of the backoff after a failure.
func (p retryPolicy) backoffLimit(f failure) time.Duration {
	if !p.sharedService {
		return time.Duration(agentBackoffFraction * float64(p.drainGrace))
	}
	limit := serviceBackoffLimit(f)
	if p.staleAfterFailure > 0 {
		limit = min(limit, p.staleAfterFailure)
	}
	return limit
}

// serviceBackoffLimit returns the upper limit of the backoff after a failure at a shared service. It grows
// exponentially, unless the service is overloaded.
func serviceBackoffLimit(f failure) time.Duration {
	var rejection *statusError
	overloaded := errors.As(f.err, &rejection) && rejection.elapsed < fastRejectionTime
	switch {
	case overloaded && f.hasList && f.slack <= 0:
		return maxBackoffOverloaded
	case overloaded:
		return max(baseBackoff, f.slack)
	}
	limit := maxBackoffWithoutList
	if f.hasList {
		limit = maxBackoff
	}
	return min(baseBackoff<<min(f.consecutive-1, maxBackoffDoublings), limit)
}

// idleTimeout returns how long a watch may send nothing before it is considered dead.
func (p retryPolicy) idleTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return agentIdleTimeout
}

// responseTimeout returns how long a request may take until the first byte of its response. An agent responds
// immediately, while a service may queue the request.
func (p retryPolicy) responseTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return time.Duration(agentTimeoutFraction * float64(p.drainGrace))
}
