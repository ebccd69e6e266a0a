package gateway

// Staleness of the list of backends, where it has to be asked for.
//
// Discovery may be down, or have too much to do, for longer than a change may go unnoticed. A list that is older
// than its lease can't tell which backends drain by now, and neither can one from before this process started: its
// age is not known. Then only what a backend does itself vouches for it: one that serves an attempt was not
// draining when that was sent, or had begun to a short while before. A backend that nothing vouches for is sent
// nothing, and a request for which there is no other is refused at once. Where a gateway has little to send, it may
// lose all of its backends in this way until discovery answers.

// answerLease is the share of ListLease for which an answer vouches for its backend, from when its attempt was
// sent. It is less than that of a list, as backends that drain were seen to serve new requests for up to 2.1 s
// after discovery had listed them, and to turn them away from then on.
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
	case Refused: // it may drain
		t.b.provenUntil = 0
	}
}

// fresh tells whether the list or an answer vouches for the backend.
func (g *Gateway) fresh(b *backend) bool {
	return g.settings.ListLease <= 0 || g.now < max(g.listUntil, b.provenUntil)
}
