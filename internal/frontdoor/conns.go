package frontdoor

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clientListener accepts connections that know whether a request has begun on them. The server takes a connection for
// idle until it has read a whole head, and a head may come in pieces.
type clientListener struct {
	net.Listener
	draining atomic.Bool // finish has been called
}

// settleTime is how long nothing must have come at the end before the listener is closed.
const settleTime = time.Millisecond

// Accept gives the next connection. At the end it first gives those that the system has accepted and nobody has taken
// yet: closing the listener would reset them, with the requests that have come on them.
func (l *clientListener) Accept() (net.Conn, error) {
	for settling := false; ; {
		c, err := l.Listener.Accept()
		switch ne, ok := err.(net.Error); {
		case err == nil:
			return &clientConn{Conn: c, acceptedAt: time.Now()}, nil
		case !ok || !ne.Timeout() || !l.draining.Load():
			return nil, err
		case settling: // nothing has waited since the last look
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		settling = true
		if err := l.setDeadline(time.Now().Add(settleTime)); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
}

// stopAccepting stops accepting as soon as nobody waits to be accepted.
func (l *clientListener) stopAccepting() error {
	l.draining.Store(true)
	return l.setDeadline(time.Now())
}

func (l *clientListener) setDeadline(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return l.Close()
}

// maxReadAhead is how much a client may send while its request is open. Ours send one request at a time; what one sends
// ahead is kept only so that its leaving is seen behind it.
const maxReadAhead = 16 << 10

// watchBufferSize is read at a time meanwhile.
const watchBufferSize = 512

var errReadAheadFull = errors.New("too much was sent ahead of an answer")

// clientConn is a client's connection. While a request is open on it, the server waits for the client's leaving in a
// read of one byte, and the first byte that comes ends that wait: of whoever sends more it would never see the leaving.
// So what comes then is kept here, and the wait goes on.
type clientConn struct {
	net.Conn
	requestBegun atomic.Bool // something has been read since it was new or idle
	acceptedAt   time.Time   // its accept; zero once a request has been answered on it. The table's.

	// Of the server, which reads in one goroutine at a time.
	requestOpen bool   // a request is open
	readAhead   []byte // read behind that request
}

func (c *clientConn) Read(p []byte) (int, error) {
	switch {
	case c.requestOpen && len(p) == 1:
		return 0, c.awaitDisconnect()
	case len(c.readAhead) > 0:
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if ne, ok := err.(net.Error); ok && ne.Timeout() && !c.requestBegun.Load() && peekSocket(c.Conn) == dataAvailable {
		// A request has come in the same moment as the end of the time that the client may be silent.
		if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.requestBegun.Store(true)
	}
	return n, err
}

// awaitDisconnect reads until the client leaves, or until the server ends the wait by a deadline.
func (c *clientConn) awaitDisconnect() error {
	for {
		var buf [watchBufferSize]byte
		n, err := c.Conn.Read(buf[:])
		c.readAhead = append(c.readAhead, buf[:n]...)
		if err == nil && len(c.readAhead) > maxReadAhead {
			err = errReadAheadFull
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return err
		}
		if err != nil {
			c.readAhead = nil
			return err
		}
	}
}

// SyscallConn lets pending look at the connection below.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// connTable bounds the connections that clients hold. Where one comes too many, the one that has been silent for
// longest is closed, be it between requests or without a first one. One with a request open is never closed.
type connTable struct {
	maxOpen int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // nil while a request is open
	idle *list.List                 // of net.Conn, the longest silent first
}

func newConnTable(maxOpen int) *connTable {
	return &connTable{maxOpen: maxOpen, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// connStateChanged is the server's hook: it hears of every change of a connection's state, of a new one before it is served.
func (t *connTable) connStateChanged(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.open[c]; e != nil {
		t.idle.Remove(e)
	}
	cc, ok := c.(*clientConn)
	switch state {
	case http.StateNew, http.StateIdle:
		if ok && state == http.StateIdle {
			cc.requestOpen, cc.acceptedAt = false, time.Time{}
			cc.requestBegun.Store(len(cc.readAhead) > 0) // what else was read until here is answered
		}
		t.open[c] = t.idle.PushBack(c)
	case http.StateActive:
		if ok {
			cc.requestOpen = true
		}
		t.open[c] = nil
	default:
		delete(t.open, c)
	}
	if state == http.StateNew && len(t.open) > t.maxOpen {
		t.mu.Unlock()
		runtime.Gosched() // what has come on the connections taken just now is read first
		t.mu.Lock()
		t.closeExcess()
	}
}

// closeExcess closes the longest silent until the rest are few enough. One on which something has come since its last
// answer, be it read or not, is spared, if there is another: closing it would lose the request that has begun there.
func (t *connTable) closeExcess() {
	for over := len(t.open) - t.maxOpen; over > 0 && t.idle.Len() > 0; over-- {
		e := t.idle.Front()
		for e.Next() != nil && hasPendingRequest(e.Value.(net.Conn)) {
			e = e.Next()
		}
		c := t.idle.Remove(e).(net.Conn)
		delete(t.open, c)
		c.Close()
	}
}

// closeIdle closes the connections on which nothing has come since their last answer, and those that are new and have
// been silent for some time. It tells how many are left.
func (t *connTable) closeIdle(silent time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var after *list.Element
	for e := t.idle.Front(); e != nil; e = after {
		after = e.Next()
		c := e.Value.(net.Conn)
		if cc, ok := c.(*clientConn); hasPendingRequest(c) || ok && !cc.acceptedAt.IsZero() && time.Since(cc.acceptedAt) < silent {
			continue
		}
		t.idle.Remove(e)
		delete(t.open, c)
		c.Close()
	}
	return len(t.open)
}

// hasPendingRequest tells whether some of a request has come on a connection that counts as silent.
func hasPendingRequest(c net.Conn) bool {
	seen := peekSocket(c) // first, as what it sees may be read right behind
	cc, ok := c.(*clientConn)
	return seen == dataAvailable || ok && cc.requestBegun.Load()
}

// socketState is what can be seen on a connection without taking anything from it.
type socketState uint8

const (
	noData        socketState = iota // nothing has come
	dataAvailable                    // something has come
	peerClosed                       // the other side has closed it, or it is broken
)

// peekSocket looks whether something has come on a connection that nobody has read yet.
func peekSocket(c net.Conn) socketState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return peerClosed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return peerClosed
	}
	seen := peerClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case n > 0:
			seen = dataAvailable
		case err == syscall.EAGAIN || err == syscall.EINTR:
			seen = noData
		}
	})
	if err != nil {
		return peerClosed
	}
	return seen
}
