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
	ending atomic.Bool // finish has been called
}

// settle is how long nothing must have come at the end before the listener is closed.
const settle = time.Millisecond

// Accept gives the next connection. At the end it first gives those that the system has accepted and nobody has taken
// yet: closing the listener would reset them, with the requests that have come on them.
func (l *clientListener) Accept() (net.Conn, error) {
	for settling := false; ; {
		c, err := l.Listener.Accept()
		switch ne, ok := err.(net.Error); {
		case err == nil:
			return &clientConn{Conn: c, since: time.Now()}, nil
		case !ok || !ne.Timeout() || !l.ending.Load():
			return nil, err
		case settling: // nothing has waited since the last look
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		settling = true
		if err := l.until(time.Now().Add(settle)); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
}

// finish stops accepting as soon as nobody waits to be accepted.
func (l *clientListener) finish() error {
	l.ending.Store(true)
	return l.until(time.Now())
}

func (l *clientListener) until(t time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return l.Close()
}

// maxAhead is how much a client may send while its request is open. Ours send one request at a time; what one sends
// ahead is kept only so that its leaving is seen behind it.
const maxAhead = 16 << 10

// watchBuffer is read at a time meanwhile.
const watchBuffer = 512

var errFlood = errors.New("too much was sent ahead of an answer")

// clientConn is a client's connection. While a request is open on it, the server waits for the client's leaving in a
// read of one byte, and the first byte that comes ends that wait: of whoever sends more it would never see the leaving.
// So what comes then is kept here, and the wait goes on.
type clientConn struct {
	net.Conn
	begun atomic.Bool // something has been read since it was new or idle
	since time.Time   // its accept; zero once a request has been answered on it. The table's.

	// Of the server, which reads in one goroutine at a time.
	active bool   // a request is open
	ahead  []byte // read behind that request
}

func (c *clientConn) Read(p []byte) (int, error) {
	switch {
	case c.active && len(p) == 1:
		return 0, c.watch()
	case len(c.ahead) > 0:
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if ne, ok := err.(net.Error); ok && ne.Timeout() && !c.begun.Load() && pending(c.Conn) == waiting {
		// A request has come in the same moment as the end of the time that the client may be silent.
		if err := c.SetReadDeadline(time.Now().Add(headTime)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.begun.Store(true)
	}
	return n, err
}

// watch reads until the client leaves, or until the server ends the wait by a deadline.
func (c *clientConn) watch() error {
	for {
		var buf [watchBuffer]byte
		n, err := c.Conn.Read(buf[:])
		c.ahead = append(c.ahead, buf[:n]...)
		if err == nil && len(c.ahead) > maxAhead {
			err = errFlood
		}
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return err
		}
		if err != nil {
			c.ahead = nil
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
	most int

	mu    sync.Mutex
	open  map[net.Conn]*list.Element // nil while a request is open
	quiet *list.List                 // of net.Conn, the longest silent first
}

func newConnTable(most int) *connTable {
	return &connTable{most: most, open: map[net.Conn]*list.Element{}, quiet: list.New()}
}

// note is the server's hook: it hears of every change of a connection's state, of a new one before it is served.
func (t *connTable) note(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.open[c]; e != nil {
		t.quiet.Remove(e)
	}
	cc, ok := c.(*clientConn)
	switch state {
	case http.StateNew, http.StateIdle:
		if ok && state == http.StateIdle {
			cc.active, cc.since = false, time.Time{}
			cc.begun.Store(len(cc.ahead) > 0) // what else was read until here is answered
		}
		t.open[c] = t.quiet.PushBack(c)
	case http.StateActive:
		if ok {
			cc.active = true
		}
		t.open[c] = nil
	default:
		delete(t.open, c)
	}
	if state == http.StateNew && len(t.open) > t.most {
		t.mu.Unlock()
		runtime.Gosched() // what has come on the connections taken just now is read first
		t.mu.Lock()
		t.shrink()
	}
}

// shrink closes the longest silent until the rest are few enough. One on which something has come since its last
// answer, be it read or not, is spared, if there is another: closing it would lose the request that has begun there.
func (t *connTable) shrink() {
	for over := len(t.open) - t.most; over > 0 && t.quiet.Len() > 0; over-- {
		e := t.quiet.Front()
		for e.Next() != nil && asking(e.Value.(net.Conn)) {
			e = e.Next()
		}
		c := t.quiet.Remove(e).(net.Conn)
		delete(t.open, c)
		c.Close()
	}
}

// closeQuiet closes the connections on which nothing has come since their last answer, and those that are new and have
// been silent for some time. It tells how many are left.
func (t *connTable) closeQuiet(silent time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var after *list.Element
	for e := t.quiet.Front(); e != nil; e = after {
		after = e.Next()
		c := e.Value.(net.Conn)
		if cc, ok := c.(*clientConn); asking(c) || ok && !cc.since.IsZero() && time.Since(cc.since) < silent {
			continue
		}
		t.quiet.Remove(e)
		delete(t.open, c)
		c.Close()
	}
	return len(t.open)
}

// asking tells whether some of a request has come on a connection that counts as silent.
func asking(c net.Conn) bool {
	seen := pending(c) // first, as what it sees may be read right behind
	cc, ok := c.(*clientConn)
	return seen == waiting || ok && cc.begun.Load()
}

// sight is what can be seen on a connection without taking anything from it.
type sight uint8

const (
	clean   sight = iota // nothing has come
	waiting              // something has come
	ended                // the other side has closed it, or it is broken
)

// pending looks whether something has come on a connection that nobody has read yet.
func pending(c net.Conn) sight {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return ended
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return ended
	}
	seen := ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case n > 0:
			seen = waiting
		case err == syscall.EAGAIN || err == syscall.EINTR:
			seen = clean
		}
	})
	if err != nil {
		return ended
	}
	return seen
}
