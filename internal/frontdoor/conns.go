package frontdoor

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"herontiller/internal/memory"
)

// clientListener accepts connections that record whether a request has begun on them. The HTTP server considers a
// connection idle until it has read a complete head, but a head may arrive in pieces.
type clientListener struct {
	net.Listener
	account    *memory.Account // for what clients send
	rejectHead func(net.Conn, error)
	draining   atomic.Bool // stopAccepting has been called
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
			return newClientConn(conn, l.account, l.rejectHead), nil
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
