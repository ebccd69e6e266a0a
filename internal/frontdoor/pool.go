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

// reuseCooldown is how long a connection rests after an answer before the next request may use it: a second answer may come
// some milliseconds behind the first, and read as the next request's it would be served as such. Anything that has come
// by then marks the connection as unclean. It is the slack that the protocol adds to each of its time limits; a door
// sends a backend some requests a second, so few find all connections at rest.
const reuseCooldown = 50 * time.Millisecond

var errPoolFull = errors.New("as many connections as may be are in use")

// pool bounds the connections to all backends together and keeps idle ones for the next request. It never hands
// out one on which something has come, as that would be read as the next request's answer.
type pool struct {
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	maxOpen int
	maxIdle time.Duration

	mu       sync.Mutex
	open     int        // idle, in use or coming up
	idle     *list.List // of *kept, over all places, the longest idle first
	sweeping bool
}

// endpointPool is where connections of one backend's process at one address are kept. What belongs to another process
// or another backend, if only at the same address, has a place of its own.
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
	hasServed bool          // it has carried an answer
}

func newPool(dial func(ctx context.Context, network, addr string) (net.Conn, error), maxOpen int,
	maxIdle time.Duration) *pool {
	return &pool{dial: dial, maxOpen: maxOpen, maxIdle: maxIdle, idle: list.New()}
}

// get gives a clean connection, a kept one if there is one and fresh does not forbid it.
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

// reserve takes a kept connection, or else, with nil, counts one that is to be opened.
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

// put keeps a connection whose answer has been read whole, if it is clean.
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

// closeEndpoint ends a place: its idle connections now, those in use when they come back.
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

// sweep closes what has been idle for too long, and comes again while anything is idle.
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

func (p *pool) removeIdle(c *pooledConn) {
	p.idle.Remove(c.elem)
	c.endpoint.idle = slices.DeleteFunc(c.endpoint.idle, func(o *pooledConn) bool { return o == c })
}

func (p *pool) closeLocked(c *pooledConn) {
	c.Close()
	p.open--
}

var errTooLarge = errors.New("the answer is larger than answers may be")

// limitedReader is a reader that gives out only so much.
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
