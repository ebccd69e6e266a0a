package frontdoor

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"herontiller/internal/memory"
)

// disconnectBufferSize is how many bytes awaitDisconnect reads at once.
const disconnectBufferSize = 512

// clientConn is a client's connection. While a request is in progress, the HTTP server detects a disconnection by a
// read of one byte, which ends with any byte that arrives: if the client has sent more data and then disconnects, the
// server doesn't notice. So clientConn buffers such data and continues to read.
//
// It reserves the memory that a head will take when the server parses it. For this the server must not get more than the
// head of a request, and then its body: what is behind would be parsed from the server's own buffer.
type clientConn struct {
	net.Conn
	rejectHead   func(net.Conn, error) // answers a request whose head can't be parsed; may be nil
	requestBegun atomic.Bool           // data has been read since the connection became new or idle

	readMu    sync.Mutex // held while a request is read from the socket
	dismissed bool       // nothing may be read any more, as the connection is about to be closed; guarded by readMu

	// Guarded by connTable.mu.
	acceptedAt time.Time // zero after the first response
	dataSeenAt time.Time // when the table first saw data of a request that has not begun to be served; zero: not yet

	// Used by the HTTP server, which reads in one goroutine at a time.
	requestInProgress bool
	concurrent        int   // requests that were in progress when this one began, itself included
	unreadBody        int64 // bytes of the body of the request in progress that have not been read; 0: none, or not known
	head              headMeter
	headCharge        memory.Charge // for head
	readAhead         readAhead
	raw               syscall.RawConn
}

// newClientConn returns a connection that has just been accepted. It reserves memory in account.
func newClientConn(conn net.Conn, account *memory.Account, rejectHead func(net.Conn, error)) *clientConn {
	return &clientConn{Conn: conn, rejectHead: rejectHead, acceptedAt: time.Now(),
		headCharge: account.NewCharge(memory.Requests),
		readAhead:  readAhead{charge: account.NewCharge(memory.Requests)}}
}

// beginRequest marks the begin of a request, whose head has been read. concurrent is how many are in progress now.
func (c *clientConn) beginRequest(concurrent int) {
	c.requestInProgress, c.concurrent = true, concurrent
}

// endRequest marks the end of a request, whose response has been written.
func (c *clientConn) endRequest() {
	c.requestInProgress, c.unreadBody = false, 0
	c.requestBegun.Store(c.readAhead.length() > 0) // the rest has been answered
	c.head = headMeter{}
	c.headCharge.Release()
}

// release gives back all memory that the connection has reserved. It is to be called when the connection has been closed.
func (c *clientConn) release() {
	c.headCharge.Release()
	c.readAhead.close()
}

func (c *clientConn) Read(p []byte) (int, error) {
	switch {
	case !c.requestInProgress:
		return c.readHead(p)
	case len(p) == 1:
		return 0, c.awaitDisconnect()
	}
	if c.unreadBody > 0 {
		p = p[:min(int64(len(p)), c.unreadBody)]
	}
	n, err := c.receive(p)
	c.unreadBody = max(0, c.unreadBody-int64(n))
	return n, err
}

// readHead reads a part of a head, but nothing behind it. If the head has too many fields, or there is no room for it, it
// rejects the request.
func (c *clientConn) readHead(p []byte) (int, error) {
	n, err := c.receive(p)
	headLength := c.head.add(p[:n])
	if headLength < n {
		c.readAhead.putBack(p[headLength:n])
	}
	if headErr := c.checkHead(); headErr != nil {
		if c.rejectHead != nil {
			c.rejectHead(c.Conn, headErr)
		}
		return 0, io.EOF // the HTTP server must not answer as well
	}
	return headLength, err
}

// checkHead checks the head so far, and reserves what it will take when it is parsed. Errors are errTooManyFields or of
// type *memory.NoRoomError.
func (c *clientConn) checkHead() error {
	if c.head.lines > maxHeadLines {
		return errTooManyFields
	}
	return c.headCharge.RaiseTo(c.head.memory())
}

// receive reads what has been received before, or else from the socket.
func (c *clientConn) receive(p []byte) (int, error) {
	if n := c.readAhead.take(p); n > 0 {
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
		if bufferErr := c.readAhead.append(buf[:n]); bufferErr != nil {
			err = bufferErr
		}
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			return err
		}
		if err != nil {
			c.readAhead.clear()
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
