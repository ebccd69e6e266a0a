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

// clientListener accepts connections that track whether a request has begun on them. The server regards a connection as
// idle until it has read a whole head, and a head may arrive in pieces.
type clientListener struct {
	net.Listener
	draining atomic.Bool // finish has been called
}

// settleTime is how long the backlog must stay empty at the end before the listener is closed.
const settleTime = time.Millisecond

// Accept returns the next connection. After stopAccepting it first returns those in the kernel's backlog, as closing
// the listener would reset them and lose their requests, and then net.ErrClosed.
func (l *clientListener) Accept() (net.Conn, error) {
	for settling := false; ; {
		c, err := l.Listener.Accept()
		switch ne, ok := err.(net.Error); {
		case err == nil:
			return &clientConn{Conn: c, acceptedAt: time.Now()}, nil
		case !ok || !ne.Timeout() || !l.draining.Load():
			return nil, err
		case settling: // the backlog has stayed empty since the last look
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		settling = true
		if err := l.setDeadline(time.Now().Add(settleTime)); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
}

// stopAccepting makes Accept end as soon as the backlog is empty.
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

// maxReadAhead is how many bytes a client may send while its request is open. Clients send one request at a time; bytes
// ahead are buffered only so that a disconnection behind them is noticed.
const maxReadAhead = 16 << 10

// watchBufferSize is how many bytes awaitDisconnect reads at once.
const watchBufferSize = 512

var errReadAheadFull = errors.New("too much was sent ahead of a response")

// clientConn is a client's connection. While a request is open on it, the server detects a disconnection by a read of
// one byte, and any byte that arrives ends that read: it would never notice that a client that has sent more
// disconnects. So such bytes are buffered here, and the read goes on.
type clientConn struct {
	net.Conn
	requestBegun atomic.Bool // something has been read since the connection was new or idle
	acceptedAt   time.Time   // zero once a request has been answered; guarded by connTable.mu

	// Used by the server, which reads in one goroutine at a time.
	requestOpen bool   // a request is open
	readAhead   []byte // bytes received behind that request
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
		// A request has arrived at the same moment as the idle time-out.
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

// awaitDisconnect reads until the client disconnects, or until the server ends the wait by a deadline.
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

// SyscallConn gives peekSocket the connection below.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return sc.SyscallConn()
}

// connTable bounds the number of clients' connections. Above the limit the one that has been idle longest is closed,
// whether between requests or before its first. A connection with an open request is never closed.
type connTable struct {
	maxOpen int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // nil while a request is open
	idle *list.List                 // of net.Conn, the longest idle first
}

func newConnTable(maxOpen int) *connTable {
	return &connTable{maxOpen: maxOpen, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// connStateChanged is the server's ConnState hook. It is called for a new connection before that is served.
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
			cc.requestBegun.Store(len(cc.readAhead) > 0) // all else that was read is answered
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
		runtime.Gosched() // lets the data on connections accepted just now be read first
		t.mu.Lock()
		t.closeExcess()
	}
}

// closeExcess closes the longest idle connections down to the limit. One on which data has arrived since its last
// response, read or not, is spared if there is another: closing it would lose the request that has begun.
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

// closeIdle closes the connections on which nothing has arrived since their last response, and new ones that have been
// silent for the given time. It returns how many remain.
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

// hasPendingRequest reports whether a part of a request has arrived on a connection that counts as idle.
func hasPendingRequest(c net.Conn) bool {
	seen := peekSocket(c) // before requestBegun, as the data it sees may be read right after
	cc, ok := c.(*clientConn)
	return seen == dataAvailable || ok && cc.requestBegun.Load()
}

// socketState is the state of a connection as seen without reading from it.
type socketState uint8

const (
	noData        socketState = iota // open, no data to read
	dataAvailable                    // data to read
	peerClosed                       // closed by the peer, or broken
)

// peekSocket returns the state of a connection, without blocking.
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
