package frontdoor

import (
	"errors"
	"io"
	"net"
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

	readMu    sync.Mutex // held while a request is read from the socket
	dismissed bool       // nothing may be read any more, as the connection is about to be closed; guarded by readMu

	// Guarded by connTable.mu.
	acceptedAt time.Time // zero after the first response
	dataSeenAt time.Time // when the table first saw data of a request that has not begun to be served; zero: not yet

	// Used by the HTTP server, which reads in one goroutine at a time.
	requestInProgress bool
	beyondLimit       bool   // the request in progress is one too many, and must be rejected
	readAhead         []byte // received after the request in progress
	raw               syscall.RawConn
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
	n, err := c.readRequest(p)
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() && !c.requestBegun.Load() &&
		peekSocket(c.Conn) == dataAvailable {
		// A request has arrived at the moment of the idle timeout.
		if err := c.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return 0, err
		}
		return c.readRequest(p)
	}
	return n, err
}

// readRequest reads a part of a request like net.Conn's Read. It sets requestBegun together with taking the data from
// the socket, so that connTable doesn't take the connection for an idle one in between.
func (c *clientConn) readRequest(p []byte) (n int, err error) {
	if c.raw == nil {
		if c.raw, err = c.SyscallConn(); err != nil {
			return c.readUnwatched(p)
		}
	}
	if waitErr := c.raw.Read(func(fd uintptr) bool {
		n, err = c.readNow(int(fd), p)
		return err != syscall.EAGAIN
	}); waitErr != nil {
		err = waitErr
	}
	switch {
	case err != nil: // in the form in which the HTTP server knows it
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNow reads what has arrived, without blocking. If nothing has, it returns syscall.EAGAIN.
func (c *clientConn) readNow(fd int, p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if c.dismissed {
		return 0, net.ErrClosed
	}
	for {
		n, err := syscall.Read(fd, p)
		if err == syscall.EINTR {
			continue
		}
		if err != nil {
			return 0, err
		}
		if n > 0 {
			c.requestBegun.Store(true)
		}
		return n, nil
	}
}

// readUnwatched is readRequest for a connection that is no socket.
func (c *clientConn) readUnwatched(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.requestBegun.Store(true)
	}
	return n, err
}

// dismissIf ends the reading of a connection if a condition holds, and reports whether it did. While the condition is
// checked, no data is read.
func (c *clientConn) dismissIf(condition func() bool) bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	c.dismissed = condition()
	return c.dismissed
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
