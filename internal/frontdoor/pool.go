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
)

// reuseCooldown is the quarantine of a connection after a response, before the next request may use it. A stray
// second response may arrive some milliseconds behind the first and would be served as the next request's; any byte
// that arrives within the cooldown marks the connection as unclean. The value is the tolerance that the protocol
// adds to each of its time limits. An instance sends a backend a few requests a second, so it rarely finds all
// connections in cooldown.
const reuseCooldown = 50 * time.Millisecond

var errPoolFull = errors.New("the limit of connections to backends is reached")

// pool bounds the connections to all backends together and keeps idle ones for reuse. It never hands out a
// connection on which data has arrived while it was idle, as that would be read as the next request's response.
type pool struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	maxOpen int
	maxIdle time.Duration

	mu       sync.Mutex
	open     int        // idle, in use or being established
	idle     *list.List // of *pooledConn, over all endpoints, the longest idle first
	sweeping bool
}

// endpointPool holds the idle connections to one process of a backend at one address. Another process or another
// backend, even at the same address, has an endpointPool of its own.
type endpointPool struct {
	addr   string
	idle   []*pooledConn // guarded by pool.mu, as closed is; the longest idle first
	closed bool
}

// pooledConn is a connection to a backend.
type pooledConn struct {
	net.Conn
	endpoint  *endpointPool
	limit     limitedReader
	r         *bufio.Reader
	idleSince time.Time     // when it became idle
	elem      *list.Element // in pool.idle
	hasServed bool          // a response has been read on it
}

func newPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), maxOpen int,
	maxIdle time.Duration) *pool {
	return &pool{dial: dial, maxOpen: maxOpen, maxIdle: maxIdle, idle: list.New()}
}

// get returns a clean connection to an endpoint: an idle one if there is one and fresh is not set, else a new one.
func (p *pool) get(ctx context.Context, endpoint *endpointPool, fresh bool) (*pooledConn, error) {
	c, err := p.reserve(endpoint, fresh)
	if c != nil || err != nil {
		return c, err
	}
	conn, err := p.dial(ctx, "tcp", endpoint.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c = &pooledConn{Conn: conn, endpoint: endpoint}
	c.limit.r = conn
	c.r = bufio.NewReaderSize(&c.limit, 2<<10)
	return c, nil
}

// reserve takes an idle connection. Where there is none it returns nil and counts a new one, which the caller must
// open; at the limit it closes the longest idle connection for it, and fails with errPoolFull if none is idle.
func (p *pool) reserve(endpoint *endpointPool, fresh bool) (*pooledConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(endpoint.idle) - 1; i >= 0 && !fresh; i-- {
		c := endpoint.idle[i]
		if now.Sub(c.idleSince) < reuseCooldown {
			continue
		}
		p.removeIdle(c)
		if now.Sub(c.idleSince) < p.maxIdle && peekSocket(c.Conn) == noData {
			return c, nil
		}
		p.closeLocked(c)
	}
	if p.open >= p.maxOpen {
		if p.idle.Len() == 0 {
			return nil, errPoolFull
		}
		c := p.idle.Front().Value.(*pooledConn)
		p.removeIdle(c)
		p.closeLocked(c)
	}
	p.open++
	return nil, nil
}

// put returns a connection whose response has been read whole. One that is not clean is closed.
func (p *pool) put(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.closed || c.r.Buffered() > 0 || peekSocket(c.Conn) != noData {
		p.closeLocked(c)
		return
	}
	c.hasServed, c.idleSince = true, time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
	c.elem = p.idle.PushBack(c)
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.maxIdle, p.sweep)
	}
}

// close closes a connection that was in use.
func (p *pool) close(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

// closeEndpoint closes the idle connections of an endpoint now, and those in use when they are returned.
func (p *pool) closeEndpoint(endpoint *endpointPool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint.closed = true
	for len(endpoint.idle) > 0 {
		c := endpoint.idle[len(endpoint.idle)-1]
		p.removeIdle(c)
		p.closeLocked(c)
	}
}

// sweep closes the connections that have been idle for maxIdle, and schedules itself again while any is idle.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.idle.Len() > 0 {
		c := p.idle.Front().Value.(*pooledConn)
		if remaining := p.maxIdle - time.Since(c.idleSince); remaining > 0 {
			time.AfterFunc(remaining, p.sweep)
			return
		}
		p.removeIdle(c)
		p.closeLocked(c)
	}
	p.sweeping = false
}

// removeIdle takes a connection off the idle lists. The caller holds the lock.
func (p *pool) removeIdle(c *pooledConn) {
	p.idle.Remove(c.elem)
	c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(o *pooledConn) bool { return o == c })
}

// closeLocked closes a connection that is on no idle list. The caller holds the lock.
func (p *pool) closeLocked(c *pooledConn) {
	c.Close()
	p.open--
}

var errTooLarge = errors.New("the response is larger than allowed")

// limitedReader reads at most remaining bytes, and fails with errTooLarge beyond.
type limitedReader struct {
	r         io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
