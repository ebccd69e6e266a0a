package gateway

import (
	"math"
	"time"
)

// Staleness of the list of backends.
//
// With a ListLease, discovery may be down or overloaded for longer than a change of the list may go unnoticed. A list
// that is older than its lease does not show which backends are draining by now, and neither does one that was saved
// before this process started, as its age is not known. Then only an answer of a backend proves that it was not
// draining when the attempt was sent, or had begun to only shortly before. A backend without such proof is sent
// nothing, and a request for which there is no other backend is rejected at once.
//
// Without a ListLease, an agent of this gateway's own machine pushes the list, and what the agent knows counts as known
// here. While the agent is silent it learns nothing, so a list that it has sent stays valid. But a new process has only
// the saved list, and after a change of discovery's address the list is another discovery's. Both expire unless
// discovery sends a list in time (ListExpiry), with or without a ListLease. After that nothing proves that a backend is
// not draining, not even an answer: it may have begun to drain long before the expiry, and draining backends go on
// serving for a while.

// forever is the end of a validity without an end.
const forever = time.Duration(math.MaxInt64)

// answerLeaseShare is the share of ListLease for which an answer proves that its backend is not draining, from when
// the attempt was sent. It is less than 1 because draining backends were seen to serve new requests for up to 2.1 s
// after discovery had listed them as draining.
const answerLeaseShare = 1.0 / 2

// renewListLease renews the lease of the list if the update comes from discovery, which brings the list up to date.
func (g *Gateway) renewListLease(kind ListKind) {
	if kind == ListChanges || kind == ListFull {
		g.listValidUntil, g.listExpiresAt = g.now+g.settings.ListLease, forever
	}
}

// onListExpiry limits the use of the present list. Of several limits the earliest counts.
func (g *Gateway) onListExpiry(ev ListExpiry) {
	g.listExpiresAt = min(g.listExpiresAt, g.now+max(0, ev.After))
}

// updateConfirmation updates confirmedUntil of the attempt's backend after the attempt has ended.
func (g *Gateway) updateConfirmation(attempt *attemptState) {
	switch attempt.result {
	case Answered:
		attempt.backend.confirmedUntil = max(attempt.backend.confirmedUntil,
			attempt.sentAt+seconds(answerLeaseShare*g.settings.ListLease.Seconds()))
	case Rejected: // it may be draining
		attempt.backend.confirmedUntil = 0
	}
}

// isConfirmed reports whether a valid list or a recent answer shows that the backend is not draining.
func (g *Gateway) isConfirmed(backend *trackedBackend) bool {
	if g.now >= g.listExpiresAt {
		return false
	}
	return g.settings.ListLease <= 0 || g.now < max(g.listValidUntil, backend.confirmedUntil)
}
