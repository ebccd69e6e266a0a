package frontdoor

import "time"

// For how long a list of backends may be used. The rules that follow from it are in package gateway (staleness.go).

// leaseMargin is an upper limit for the time from when discovery writes a list until it has been handled here.
const leaseMargin = 250 * time.Millisecond

// listLease returns how long a list may be used after a service has confirmed it. An attempt that the gateway starts at
// the end of the lease, on a new connection, must begin before stalenessBound has passed since a change that the
// service may have received right after its confirmation. The result is 0, which means no limit, for pushed lists: the
// protocol expects a gateway to know immediately what its agent holds. The lease is never shorter than half of
// stalenessBound, so that heartbeats renew it in time even if connecting may take very long.
func listLease(config Config) time.Duration {
	if !config.Settings.SubscribeToList {
		return 0
	}
	return max(stalenessBound/2, stalenessBound-leaseMargin-config.Connections.ConnectTimeout)
}

// reloadBound is the protocol's limit on the use of a list after SIGHUP: from then on the gateway is expected to know
// what the discovery knows that the new configuration names. Attempts may go on for DrainGrace, which covers the time
// from the signal until it is handled, and that from the gateway's decision until an attempt begins.
const reloadBound = 4 * time.Second

// savedListFraction is the time for which a new process may use the saved list, as a fraction of DrainGrace: from its
// first moment it is expected to know what its agent knows. The rest of DrainGrace covers the start of the process, and
// a delay between the gateway's decision and the first byte of an attempt.
const savedListFraction = 1.0 / 2

// savedListTime returns how long the saved list may be used if discovery sends none. Where the list must be requested
// the lease of the list is stricter: the saved list is not used at all.
func savedListTime(config Config) time.Duration {
	return time.Duration(savedListFraction * float64(newRetryPolicy(config).drainGrace))
}
