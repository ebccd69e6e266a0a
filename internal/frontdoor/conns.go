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

// clientListener accepts connections that record whether a request has begun on them. The HTTP server considers a
// connection idle until it has read a complete head, but a head may arrive in pieces.
type clientListener struct {
	net.Listener
	draining atomic.Bool // stopAccepting has been called
}

// backlogSettleTime is how long the backlog must remain empty during shutdown before the listener is closed.
const backlogSettleTime = time.Millisecond

// Accept returns the next connection. After stopAccepting it returns the connections in the kernel's backlog, as
// closing the listener would reset them and lose their requests, and then net.ErrClosed.
func (l *clientListener) Accept() (net.Conn, error) {
	for settling := false; ; {
		conn, err := l.Listener.Accept()
		switch netErr, ok := err.(net.Error); {
		case err == nil:
			return &clientConn{Conn: conn, acceptedAt: time.Now()}, nil
		case !ok || !netErr.Timeout() || !l.draining.Load():
			return nil, err
		case settling: // the backlog has been empty for backlogSettleTime
			return nil, errors.Join(net.ErrClosed, l.Close())
		}
		settling = true
		if err := l.setDeadline(time.Now().Add(backlogSettleTime)); err != nil {
			return nil, errors.Join(err, l.Close())
		}
	}
}

// stopAccepting makes Accept fail with net.ErrClosed as soon as the backlog is empty.
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

// maxReadAhead is how many bytes a client may send while its request is in progress. Clients don't pipeline requests;
// bytes after a request are buffered only to detect a disconnection that follows them.
const maxReadAhead = 16 << 10

// disconnectBufferSize is how many bytes awaitDisconnect reads at once.
const disconnectBufferSize = 512

var errReadAheadFull = errors.New("the client sent too much data before the response to its request")

// clientConn is a client's connection. While a request is in progress, the HTTP server detects a disconnection by a
// read of one byte, which ends with any byte that arrives: if the client has sent more data and then disconnects, the
// server doesn't notice. So clientConn buffers such data and continues to read.
type clientConn struct {
	net.Conn
	requestBegun atomic.Bool // data has been read since the connection became new or idle
	acceptedAt   time.Time   // zero after the first response; guarded by connTable.mu

	// Used by the HTTP server, which reads in one goroutine at a time.
	requestInProgress bool
	readAhead         []byte // received after the request in progress
}

func (c *clientConn) Read(p []byte) (int, error) {
	switch {
	case c.requestInProgress && len(p) == 1:
		return 0, c.awaitDisconnect()
	case len(c.readAhead) > 0:
		n := copy(p, c.readAhead)
		c.readAhead = c.readAhead[n:]
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() && !c.requestBegun.Load() &&
		peekSocket(c.Conn) == dataAvailable {
		// A request has arrived at the moment of the idle timeout.
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

// awaitDisconnect reads until the client disconnects, or until the HTTP server ends the read by a deadline.
func (c *clientConn) awaitDisconnect() error {
	for {
		var buf [disconnectBufferSize]byte
		n, err := c.Conn.Read(buf[:])
		c.readAhead = append(c.readAhead, buf[:n]...)
		if err == nil && len(c.readAhead) > maxReadAhead {
			err = errReadAheadFull
		}
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return err
		}
		if err != nil {
			c.readAhead = nil
			return err
		}
	}
}

// SyscallConn implements syscall.Conn, which peekSocket needs.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.ENOTSUP
	}
	return syscallConn.SyscallConn()
}

// connTable limits the number of clients' connections. Above the limit, the connection that has been idle for longest
// is closed, whether it is idle between requests or before its first. A connection with a request in progress is never
// closed.
type connTable struct {
	maxOpen int

	mu   sync.Mutex
	open map[net.Conn]*list.Element // element in idle; nil while a request is in progress
	idle *list.List                 // of net.Conn, the longest idle first
}

func newConnTable(maxOpen int) *connTable {
	return &connTable{maxOpen: maxOpen, open: map[net.Conn]*list.Element{}, idle: list.New()}
}

// connStateChanged is the HTTP server's ConnState hook, which is called for a new connection before that is served.
func (t *connTable) connStateChanged(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if element := t.open[conn]; element != nil {
		t.idle.Remove(element)
	}
	client, ok := conn.(*clientConn)
	switch state {
	case http.StateNew, http.StateIdle:
		if ok && state == http.StateIdle {
			client.requestInProgress, client.acceptedAt = false, time.Time{}
			client.requestBegun.Store(len(client.readAhead) > 0) // the rest has been answered
		}
		t.open[conn] = t.idle.PushBack(conn)
	case http.StateActive:
		if ok {
			client.requestInProgress = true
		}
		t.open[conn] = nil
	default:
		delete(t.open, conn)
	}
	if state == http.StateNew && len(t.open) > t.maxOpen {
		t.mu.Unlock()
		runtime.Gosched() // so that data on connections that have just been accepted is read first
		t.mu.Lock()
		t.closeExcess()
	}
}

// closeExcess closes the longest idle connections beyond the limit. If possible it doesn't choose connections on which
// data has arrived since the last response, read or not: closing these would lose the request that has begun.
func (t *connTable) closeExcess() {
	for excess := len(t.open) - t.maxOpen; excess > 0 && t.idle.Len() > 0; excess-- {
		element := t.idle.Front()
		for element.Next() != nil && hasRequestData(element.Value.(net.Conn)) {
			element = element.Next()
		}
		conn := t.idle.Remove(element).(net.Conn)
		delete(t.open, conn)
		conn.Close()
	}
}

// closeIdle closes the connections on which no data has arrived since their last response, and those that have received
// no data at all for at least minSilence since they were accepted. It returns the number of connections that remain.
func (t *connTable) closeIdle(minSilence time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var next *list.Element
	for element := t.idle.Front(); element != nil; element = next {
		next = element.Next()
		conn := element.Value.(net.Conn)
		if client, ok := conn.(*clientConn); hasRequestData(conn) ||
			ok && !client.acceptedAt.IsZero() && time.Since(client.acceptedAt) < minSilence {
			continue
		}
		t.idle.Remove(element)
		delete(t.open, conn)
		conn.Close()
	}
	return len(t.open)
}

// hasRequestData reports whether a part of a request has arrived on a connection that the HTTP server considers idle.
func hasRequestData(conn net.Conn) bool {
	state := peekSocket(conn) // before loading requestBegun, since the server may read the data in between
	client, ok := conn.(*clientConn)
	return state == dataAvailable || ok && client.requestBegun.Load()
}

// socketState is the state of a connection as determined without reading from it.
type socketState uint8

const (
	noData        socketState = iota // open, no data to read
	dataAvailable                    // data to read
	peerClosed                       // closed by the peer, or broken
)

// peekSocket returns the state of a connection, without blocking.
func peekSocket(conn net.Conn) socketState {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return peerClosed
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return peerClosed
	}
	state := peerClosed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case n > 0:
			state = dataAvailable
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = noData
		}
	})
	if err != nil {
		return peerClosed
	}
	return state
}
