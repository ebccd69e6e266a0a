package frontdoor

import (
	"container/list"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"
)

const (
	// firstRequestGrace is how long a new connection may be silent before it is closed to make room: a client writes
	// its request right after it has connected.
	firstRequestGrace = 50 * time.Millisecond
	// stalledRequestTime is how long a client may stop in the middle of a request's head before its connection is
	// closed to make room at the limit of open connections.
	stalledRequestTime = 500 * time.Millisecond
	// roomCheckInterval is the interval of checks for connections to close while there is no room for a new one.
	roomCheckInterval = 20 * time.Millisecond
)

// connTable limits the number of clients' connections, and of their requests in progress.
//
// Beyond maxServed connections, the one that has been idle for longest is closed, whether it is idle between requests
// or before its first. A connection with a request is never closed, whether the request is in progress or has only
// arrived. So if most connections have requests, there may be up to maxOpen: of these, the requests beyond maxServed
// are rejected, and each connection is closed after its response, so that clients which wait to be accepted have their
// turn.
//
// At maxOpen connections, accepting waits until one of them is closed. This takes as long as rejecting a request.
type connTable struct {
	maxServed int // connections, and requests in progress
	maxOpen   int // connections, at least maxServed

	changed chan struct{} // receives a value if a connection was closed or has become idle; capacity 1

	mu   sync.Mutex
	open map[net.Conn]*list.Element // element in idle; nil while a request is in progress
	idle *list.List                 // of net.Conn, the longest idle first
}

func newConnTable(maxServed, maxOpen int) *connTable {
	return &connTable{maxServed: maxServed, maxOpen: maxOpen, changed: make(chan struct{}, 1),
		open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// connStateChanged is the HTTP server's ConnState hook. It is called for a new connection before that is served and
// before the next one is accepted, and returns when there is room for the connection.
func (t *connTable) connStateChanged(conn net.Conn, state http.ConnState) {
	t.setState(conn, state)
	if state == http.StateNew {
		t.makeRoom(conn)
		return
	}
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *connTable) setState(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if element := t.open[conn]; element != nil {
		t.idle.Remove(element)
	}
	client, ok := conn.(*clientConn)
	switch state {
	case http.StateNew, http.StateIdle:
		if ok && state == http.StateIdle {
			client.acceptedAt, client.dataSeenAt = time.Time{}, time.Time{}
			client.endRequest()
		}
		t.open[conn] = t.idle.PushBack(conn)
	case http.StateActive:
		t.open[conn] = nil
		if ok {
			client.beginRequest(len(t.open) - t.idle.Len())
		}
	default:
		delete(t.open, conn)
		if ok {
			client.release()
		}
	}
}

// isCrowded reports whether there are more connections than are kept.
func (t *connTable) isCrowded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.open) > t.maxServed
}

// makeRoom waits until there is room for a connection that has just been accepted.
func (t *connTable) makeRoom(accepted net.Conn) {
	if t.closeExcess(accepted) {
		return
	}
	for !t.closeExcess(accepted) {
		select {
		case <-t.changed:
		case <-time.After(roomCheckInterval):
		}
	}
	// The connections accepted next may be closed soon and wake up this goroutine again, which the scheduler prefers to
	// goroutines that wait for data. Without a pause, a flood of connections would keep these from running.
	runtime.Gosched()
}

// closeExcess closes dispensable connections beyond maxServed, the longest idle first. It reports whether at most
// maxOpen connections remain.
func (t *connTable) closeExcess(accepted net.Conn) bool {
	dismissed, remaining := t.dismissIdle(t.maxServed, func(conn net.Conn) bool {
		return conn != accepted && t.isDispensable(conn)
	})
	closeAll(dismissed)
	return remaining <= t.maxOpen
}

// isDispensable reports whether an idle connection may be closed to make room: one without a request, or, beyond
// maxOpen connections, one whose client has stopped in the middle of a request. The caller must hold the lock.
func (t *connTable) isDispensable(conn net.Conn) bool {
	client, ok := conn.(*clientConn)
	if !ok {
		return !hasRequestData(conn)
	}
	if client.dataSeenAt.IsZero() && hasRequestData(conn) {
		client.dataSeenAt = time.Now()
	}
	if client.dataSeenAt.IsZero() {
		return client.acceptedAt.IsZero() || time.Since(client.acceptedAt) >= firstRequestGrace
	}
	return len(t.open) > t.maxOpen && time.Since(client.dataSeenAt) >= stalledRequestTime && peekSocket(conn) == noData
}

// closeIdle closes the connections on which no data has arrived since their last response, and those that have received
// no data at all for at least minSilence since they were accepted. It returns the number of connections that remain.
func (t *connTable) closeIdle(minSilence time.Duration) int {
	dismissed, remaining := t.dismissIdle(0, func(conn net.Conn) bool {
		client, ok := conn.(*clientConn)
		isNew := ok && !client.acceptedAt.IsZero() && time.Since(client.acceptedAt) < minSilence
		return !isNew && !hasRequestData(conn)
	})
	closeAll(dismissed)
	return remaining
}

// dismissIdle removes the idle connections for which a condition holds from the table, the longest idle first, until
// there are at most enough. It returns them, to be closed, and how many connections remain. The condition is called
// while the lock is held.
func (t *connTable) dismissIdle(enough int, condition func(net.Conn) bool) (dismissed []net.Conn, remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next *list.Element
	for element := t.idle.Front(); element != nil && len(t.open) > enough; element = next {
		next = element.Next()
		conn := element.Value.(net.Conn)
		if dismiss(conn, condition) {
			t.idle.Remove(element)
			delete(t.open, conn)
			dismissed = append(dismissed, conn)
		}
	}
	return dismissed, len(t.open)
}

// dismiss reports whether a condition holds for a connection. If so, nothing is read from it any more.
func dismiss(conn net.Conn, condition func(net.Conn) bool) bool {
	if client, ok := conn.(*clientConn); ok {
		return client.dismissIf(func() bool { return condition(conn) })
	}
	return condition(conn)
}

func closeAll(conns []net.Conn) {
	for _, conn := range conns {
		conn.Close()
	}
}
