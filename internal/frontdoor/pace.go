package frontdoor

import (
	"errors"
	"math/rand/v2"
	"time"
)

// How calls to discovery are paced, and how long one may take.

// pace is how asks are spread.
type pace struct {
	shared  bool          // all front doors ask one service
	mustAsk time.Duration // this long after a failed ask, what is listed counts as told if nobody asked; 0: not so
	grace   time.Duration // how long sends to a backend that drains may go on
}

// paceOf is the pace that the settings call for.
func paceOf(c Config) pace {
	p := pace{shared: c.Settings.AskForList, mustAsk: failedFactor * c.Conns.MustAsk, grace: c.Settings.DrainGrace}
	if p.grace <= 0 { // not told
		p.grace = 500 * time.Millisecond
	}
	return p
}

// failure is an ask that failed or a watch that ended.
type failure struct {
	err    error
	inRow  int           // failures in a row, this one among them
	listed bool          // a list has been heard before, by this process
	slack  time.Duration // for how long an ask may yet be put off so that its answer comes within toldAfter of the last word
}

// retry is the pause after a failure, with full jitter.
func (p pace) retry(f failure) time.Duration {
	return rand.N(max(1, p.longest(f)))
}

// longest is the longest pause after a failure.
func (p pace) longest(f failure) time.Duration {
	if !p.shared {
		return time.Duration(agentPause * float64(p.grace))
	}
	pause := backOff(f)
	if p.mustAsk > 0 {
		pause = min(pause, p.mustAsk)
	}
	return pause
}

// backOff is the longest pause after a failure at a service.
func backOff(f failure) time.Duration {
	var refusal *refusedError
	busy := errors.As(f.err, &refusal) && refusal.after < lateRefusal
	switch {
	case busy && f.listed && f.slack <= 0:
		return retryBusy
	case busy:
		return max(retryLeast, f.slack)
	}
	most := retryNew
	if f.listed {
		most = retryMost
	}
	return min(retryLeast<<min(f.inRow-1, 10), most)
}

// silence is how long a watch may say nothing.
func (p pace) silence() time.Duration {
	if p.shared {
		return sharedSilence
	}
	return agentSilence
}

// firstWord is how long an ask may take until something is heard: an agent is quick, a service answers in turn.
func (p pace) firstWord() time.Duration {
	if p.shared {
		return sharedSilence
	}
	return time.Duration(agentAsk * float64(p.grace))
}
