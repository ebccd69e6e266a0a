package gateway

// Staleness of the list of backends, where it has to be asked for.
//
// Discovery may be down, or have too much to do, for longer than a change may go unnoticed. A list that is older
// than its lease can't tell which backends drain by now, and neither can one from before this process started: its
// age is not known. Then only a backend that serves an attempt proves by it that it was not draining when that was
// sent, or had begun to a short while before. One without proof is sent nothing, and a request for which there is no
// other is rejected at once.

// answerLease is the share of ListLease for which an answer proves that, from when its attempt was sent: backends
// that drain were seen to serve new requests for up to 2.1 s after discovery had listed them.
const answerLease = 1.0 / 2

// confirm starts the list's lease anew: discovery has told all that it has.
func (g *Gateway) confirm(kind ListKind) {
	if kind == ListChanges || kind == ListFull {
		g.listUntil = g.now + g.settings.ListLease
	}
}

// proveFresh takes what the end of an attempt tells of whether its backend drains.
func (g *Gateway) proveFresh(t *attempt) {
	switch t.result {
	case Answered:
		t.b.provenUntil = max(t.b.provenUntil, t.sent+seconds(answerLease*g.settings.ListLease.Seconds()))
	case Rejected: // it may drain
		t.b.provenUntil = 0
	}
}

// fresh tells whether the list or an answer vouches for the backend.
func (g *Gateway) fresh(b *backend) bool {
	return g.settings.ListLease <= 0 || g.now < max(g.listUntil, b.provenUntil)
}
