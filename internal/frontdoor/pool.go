package frontdoor

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"herontiller/internal/memory"
)

// reuseCooldown is how long a connection must not be reused after a response. A second, unexpected response may arrive
// some milliseconds after the first and would be read as the response to the next request; a connection on which data
// arrives during the cooldown is closed. The value is the tolerance that the protocol adds to each of its time limits.
// A gateway sends a backend only a few requests per second, so it rarely finds all connections in cooldown.
const reuseCooldown = 50 * time.Millisecond

// responseBufferSize is the size of the read buffer of each connection, in bytes.
const responseBufferSize = 2 << 10

var errPoolFull = errors.New("the limit of connections to backends is reached, and none is idle")

// pool limits the total number of connections to all backends and keeps idle ones for reuse. It never returns a
// connection on which data has arrived while it was idle, as this data would be read as the response to the next
// request.
type pool struct {
	account     *memory.Account // for responses
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	maxOpen     int           // connections
	maxIdleTime time.Duration // an idle connection is closed after this time

	mu        sync.Mutex
	openCount int        // idle, in use or being established
	idleConns *list.List // of *pooledConn, of all endpoints, the longest idle first
	sweeping  bool       // a call of sweep is scheduled
}

// endpointPool holds the idle connections to one process of a backend at one address. Each process and each backend has
// its own endpointPool, even if they use the same address one after another.
type endpointPool struct {
	addr      string
	idleConns []*pooledConn // the longest idle first; guarded by pool.mu
	closed    bool          // connections are closed instead of becoming idle; guarded by pool.mu
}

// pooledConn is a connection to a backend.
type pooledConn struct {
	net.Conn
	account     *memory.Account // for responses
	endpoint    *endpointPool
	limited     limitedReader
	reader      *bufio.Reader
	idleSince   time.Time     // when it became idle
	idleElement *list.Element // element in pool.idleConns
	hasServed   bool          // a response has been read from it
}

func newPool(account *memory.Account, dial func(ctx context.Context, network, addr string) (net.Conn, error),
	maxOpen int, maxIdleTime time.Duration) *pool {
	return &pool{account: account, dial: dial, maxOpen: maxOpen, maxIdleTime: maxIdleTime, idleConns: list.New()}
}

// get returns an idle connection to an endpoint. If there is none, or if fresh is set, it returns a new one.
func (p *pool) get(ctx context.Context, endpoint *endpointPool, fresh bool) (*pooledConn, error) {
	c, err := p.takeIdle(endpoint, fresh)
	if c != nil || err != nil {
		return c, err
	}
	conn, err := p.dial(ctx, "tcp", endpoint.addr)
	if err != nil {
		p.mu.Lock()
		p.openCount--
		p.mu.Unlock()
		return nil, err
	}
	c = &pooledConn{Conn: conn, account: p.account, endpoint: endpoint}
	c.limited.source, c.limited.headCharge = conn, p.account.NewCharge(memory.Responses)
	c.reader = bufio.NewReaderSize(&c.limited, responseBufferSize)
	return c, nil
}

// takeIdle returns an idle connection to an endpoint. If there is none, or if fresh is set, it returns nil and counts a
// new connection, which the caller must open. At the limit it first closes the connection that has been idle for
// longest, and fails with errPoolFull if none is idle.
func (p *pool) takeIdle(endpoint *endpointPool, fresh bool) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(endpoint.idleConns) - 1; i >= 0 && !fresh; i-- {
		c := endpoint.idleConns[i]
		if now.Sub(c.idleSince) < reuseCooldown {
			continue
		}
		p.removeIdle(c)
		if now.Sub(c.idleSince) < p.maxIdleTime && peekSocket(c.Conn) == noData {
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.openCount >= p.maxOpen {
		if p.idleConns.Len() == 0 {
			return nil, errPoolFull
		}
		c := p.idleConns.Front().Value.(*pooledConn)
		p.removeIdle(c)
		p.closeLocked(c)
	}
	p.openCount++
	return nil, nil
}

// put returns a connection to the pool after a complete response that is not followed by other data.
func (p *pool) put(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.closed {
		p.closeLocked(c)
		return
	}
	c.hasServed, c.idleSince = true, time.Now()
	c.endpoint.idleConns = append(c.endpoint.idleConns, c)
	c.idleElement = p.idleConns.PushBack(c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.maxIdleTime, p.sweep)
	}
}

// close closes a connection that was in use.
func (p *pool) close(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeEndpoint closes the idle connections of an endpoint. Those in use are closed when they are returned.
func (p *pool) closeEndpoint(endpoint *endpointPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint.closed = true
	for len(endpoint.idleConns) > 0 {
		c := endpoint.idleConns[len(endpoint.idleConns)-1]
		p.removeIdle(c)
		p.closeLocked(c)
	}
}

// sweep closes the connections that have been idle for maxIdleTime, and schedules itself again if others are idle.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.idleConns.Len() > 0 {
		c := p.idleConns.Front().Value.(*pooledConn)
		if remaining := p.maxIdleTime - time.Since(c.idleSince); remaining > 0 {
			time.AfterFunc(remaining, p.sweep)
			return
		}
		p.removeIdle(c)
		p.closeLocked(c)
	}
	p.sweeping = false
}

// removeIdle removes a connection from the lists of idle connections. The caller must hold the lock.
func (p *pool) removeIdle(c *pooledConn) {
	p.idleConns.Remove(c.idleElement)
	c.endpoint.idleConns = slices.DeleteFunc(c.endpoint.idleConns, func(other *pooledConn) bool { return other == c })
}

// closeLocked closes a connection that is not idle. The caller must hold the lock.
func (p *pool) closeLocked(c *pooledConn) {
	c.Close()
	p.openCount--
}

var errTooLarge = errors.New("the response is larger than allowed")

// limitedReader reads at most remaining bytes, and then fails with errTooLarge. It can record a head that it reads, for
// which it reserves memory.
type limitedReader struct {
	source     io.Reader
	remaining  int
	recording  bool
	recorded   []byte // since the start of the recording; its memory is reused
	head       headMeter
	headCharge memory.Charge // for head
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if l.recording {
		l.head.add(p[:n])
		if err := l.headCharge.RaiseTo(l.head.memory()); err != nil {
			return 0, err
		}
		l.recorded = append(l.recorded, p[:n]...)
	}
	return n, err
}

// releaseHead gives back the memory that is reserved for a head, of which nothing must be in use any more.
func (l *limitedReader) releaseHead() {
	l.head = headMeter{}
	l.headCharge.Release()
}

// stopRecording ends the recording and discards it if it is long.
func (l *limitedReader) stopRecording() {
	l.recording = false
	if cap(l.recorded) > responseBufferSize {
		l.recorded = nil // an unusually long head must not occupy memory while the connection is idle
	}
}
