package frontdoor

import (
	"errors"
	"math/rand/v2"
	"time"
)

// How calls to discovery are paced, and how long one may take.

// retryPolicy is how asks are spread.
type retryPolicy struct {
	sharedService     bool          // all front doors ask one service
	staleAfterFailure time.Duration // this long after a failed ask, what is listed counts as told if nobody asked; 0: not so
	grace             time.Duration // how long sends to a backend that drains may go on
}

// newRetryPolicy is the pace that the settings call for.
func newRetryPolicy(c Config) retryPolicy {
	p := retryPolicy{sharedService: c.Settings.AskForList, staleAfterFailure: failedFactor * c.Conns.StaleAfter,
		grace: c.Settings.DrainGrace}
	if p.grace <= 0 { // not told
		p.grace = 500 * time.Millisecond
	}
	return p
}

// failure is an ask that failed or a watch that ended.
type failure struct {
	err         error
	consecutive int           // failures in a row, this one among them
	hasList     bool          // a list has been heard before, by this process
	slack       time.Duration // for how long an ask may yet be put off so that its answer comes within toldAfter of the last word
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

// backOff is the longest pause after a failure at a service.
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

// idleTimeout is how long a watch may say nothing.
func (p retryPolicy) idleTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return agentIdleTimeout
}

// responseTimeout is how long an ask may take until something is heard: an agent is quick, a service answers in turn.
func (p retryPolicy) responseTimeout() time.Duration {
	if p.sharedService {
		return serviceIdleTimeout
	}
	return time.Duration(agentTimeoutFraction * float64(p.grace))
}
