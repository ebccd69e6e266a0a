package frontdoor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"herontiller/internal/gateway"

	"golang.org/x/time/rate"
)

const (
	maxBody      = 64 << 10 // bytes, the protocol's limit
	probeTimeout = time.Second
	// A pooled connection is closed after this fraction of the idle time at which the backend may close it: a request
	// that crosses the backend's close may have run.
	idleFraction = 0.6
	// A response that has begun and is not complete within responseTimeout is malformed: backends write theirs at once.
	responseTimeout = 500 * time.Millisecond
	maxResponseHead = 16 << 10 // bytes of a response, preceding 1xx responses included
	maxUsagePercent = 10_000   // percent of the quota; a higher figure is invalid
)

// message is a client's request as each attempt sends it to a backend.
type message struct {
	method       string
	target       string // path and query as received
	host         string
	header       http.Header
	body         []byte
	disconnected func() bool // reports whether the client has disconnected, and then ends the request; nil: no client
}

// cancelled reports whether an attempt must not be sent any more.
func (m *message) cancelled(unsent context.Context) bool {
	return unsent.Err() != nil || m.disconnected != nil && m.disconnected()
}

// reply is how an attempt ended and, if there was a response, what it held.
type reply struct {
	result      gateway.Result
	contentType []string
	body        []byte
	hasUsage    bool
	usage       float64
	load        []float64
}

// backend is one entry of the list of backends. Its fields other than id are guarded by Backends.mu.
type backend struct {
	id        gateway.BackendID
	startedMS int64
	state     gateway.BackendState
	endpoint  *endpointPool
}

// Backends sends attempts to the backends that discovery has listed, over pooled connections.
type Backends struct {
	pool        *pool
	loadColumns []string // names of load figures as in the header, in the order of the settings
	loadReports bool     // the settings name load figures, so probes request them
	failureLog  rate.Sometimes

	mu     sync.Mutex
	lastID gateway.BackendID
	byHost map[string]*backend // without those that are gone
	byID   map[gateway.BackendID]*backend
}

// columnNames maps the settings' names of load figures to the header's.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// NewBackends returns one that knows no backends yet.
func NewBackends(c Config) *Backends {
	dialer := &net.Dialer{Timeout: c.Conns.Connect, KeepAlive: -1}
	b := &Backends{loadReports: len(c.Settings.LoadColumns) > 0,
		failureLog: rate.Sometimes{First: 10, Interval: time.Second},
		pool:       newPool(dialer.DialContext, c.Limits.backendConns(), time.Duration(idleFraction*float64(c.Conns.Idle))),
		byHost:     map[string]*backend{}, byID: map[gateway.BackendID]*backend{}}
	for _, name := range c.Settings.LoadColumns {
		if short, ok := columnNames[name]; ok {
			name = short
		}
		b.loadColumns = append(b.loadColumns, name)
	}
	return b
}

// update applies a list, or changes to it, and returns it in the gateway's form.
func (b *Backends) update(list EndpointList, c clock) []gateway.BackendInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	infos := make([]gateway.BackendInfo, 0, len(list.Hosts))
	if list.Whole {
		for _, be := range b.byHost {
			be.state = gateway.Gone // unless listed
		}
	}
	for _, e := range list.Hosts {
		be := b.byHost[e.Host]
		if be == nil {
			if states[e.Health] == gateway.Gone {
				continue // never listed, or removed
			}
			b.lastID++
			be = &backend{id: b.lastID}
			b.byHost[e.Host], b.byID[be.id] = be, be
		}
		if be.endpoint == nil || be.endpoint.addr != e.Dial && e.Dial != "" || be.startedMS != e.BornMS {
			if be.endpoint != nil {
				b.pool.closeEndpoint(be.endpoint) // its connections lead to the former process
			}
			be.endpoint = &endpointPool{addr: e.Dial}
		}
		be.startedMS, be.state = e.BornMS, states[e.Health]
		infos = append(infos, gateway.BackendInfo{ID: be.id, State: be.state, Zone: e.Site, MachineType: e.Class, Cell: e.Block,
			Started: c.unixMilli(e.BornMS), Weight: e.Share})
	}
	if list.Whole {
		for host, be := range b.byHost {
			b.forgetGone(host, be)
		}
		return infos
	}
	for _, e := range list.Hosts { // a change must not cost time for all backends
		b.forgetGone(e.Host, b.byHost[e.Host])
	}
	return infos
}

// forgetGone removes a backend that is gone. If it is listed again, it is a new one, for the gateway as well.
func (b *Backends) forgetGone(host string, be *backend) {
	if be != nil && be.state == gateway.Gone {
		b.pool.closeEndpoint(be.endpoint)
		delete(b.byHost, host)
		delete(b.byID, be.id)
	}
}

// readyEndpoint returns the endpoint pool of a backend that may be sent attempts now, else nil.
func (b *Backends) readyEndpoint(id gateway.BackendID) *endpointPool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if be := b.byID[id]; be != nil && be.state == gateway.Ready {
		return be.endpoint
	}
	return nil
}

// errAttemptObsolete ends an attempt whose client has disconnected or whose backend must be sent nothing new.
var errAttemptObsolete = errors.New("the backend may be sent nothing new")

// send makes one attempt and returns how it ended. It never sends a request twice. unsent is a child of ctx and may end
// first: a request that is not written whole by then is not sent.
func (b *Backends) send(ctx, unsent context.Context, id gateway.BackendID, m *message) *reply {
	r := &reply{result: gateway.NotSent}
	endpoint := b.readyEndpoint(id)
	if endpoint == nil || unsent.Err() != nil {
		return r
	}
	c, err := b.write(ctx, unsent, id, endpoint, m)
	if err != nil {
		r.result = unsentResult(ctx, unsent, err)
		b.logFailure(endpoint, err)
		return r
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	keep, err := b.read(ctx, c, m, r)
	if stop() && err == nil && keep {
		b.pool.put(c)
	} else {
		b.pool.close(c)
	}
	if err == nil {
		return r
	}
	r.result = failedResult(ctx, err)
	if r.result == gateway.ConnectionBroken || r.result == gateway.Unknown {
		b.logFailure(endpoint, err)
	}
	return r
}

// unsentResult is the result of an attempt whose request could not be written whole. Only a failure of the backend's
// counts as one: not the end of the attempt, nor a shortage of connections or descriptors here.
func unsentResult(ctx, unsent context.Context, err error) gateway.Result {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return gateway.Cancelled
	case unsent.Err() != nil || errors.Is(err, errAttemptObsolete) || errors.Is(err, errPoolFull) ||
		errors.Is(err, syscall.EMFILE):
		return gateway.NotSent
	}
	return gateway.NoConnection
}

// failedResult is the result of an attempt that was sent and has no usable response.
func failedResult(ctx context.Context, err error) gateway.Result {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return gateway.Cancelled
	case ctx.Err() != nil:
		return gateway.TimedOut
	case errors.Is(err, errConnClosed):
		return gateway.ConnectionBroken
	}
	return gateway.Unknown // a malformed response: the backend is as well as before, and the request may have run
}

func (b *Backends) logFailure(endpoint *endpointPool, err error) {
	b.failureLog.Do(func() { slog.Warn("an attempt failed", "backend", endpoint.addr, "err", err) })
}

// write sends a whole request, unless unsent ends first. An error means that its last byte was not written, so that it
// has not run. A pooled connection that proves dead before then is replaced by a new one.
func (b *Backends) write(ctx, unsent context.Context, id gateway.BackendID, endpoint *endpointPool,
	m *message) (*pooledConn, error) {
	for fresh := false; ; fresh = true {
		c, err := b.pool.get(unsent, endpoint, fresh)
		if err != nil {
			return nil, err
		}
		// Connecting may have taken long, and the notification that the client has disconnected may be late.
		if b.readyEndpoint(id) != endpoint || m.cancelled(unsent) {
			b.pool.close(c)
			return nil, errAttemptObsolete
		}
		text, err := m.encode(ctx)
		if err == nil {
			c.SetReadDeadline(time.Time{}) // from here on only the end of ctx ends the wait
			err = c.writeAll(unsent, text)
		}
		if err == nil {
			return c, nil
		}
		b.pool.close(c)
		if !c.hasServed || unsent.Err() != nil {
			return nil, err
		}
	}
}

// writeSlice is how long a blocked write goes on between two checks whether its attempt has been cancelled.
const writeSlice = 50 * time.Millisecond

// writeAll writes all of text, unless unsent ends first.
func (c *pooledConn) writeAll(unsent context.Context, text []byte) error {
	for len(text) > 0 {
		c.SetWriteDeadline(time.Now().Add(writeSlice))
		n, err := c.Write(text)
		text = text[n:]
		if ne, ok := err.(net.Error); ok && ne.Timeout() && unsent.Err() == nil {
			continue
		}
		if err != nil && len(text) > 0 {
			return err
		}
	}
	return nil
}

// encode returns one attempt's request in its HTTP/1.1 form, with the time left until the deadline of ctx.
func (m *message) encode(ctx context.Context) ([]byte, error) {
	header := m.header.Clone()
	if due, ok := ctx.Deadline(); ok {
		header["Request-Timeout"] = []string{strconv.FormatFloat(time.Until(due).Seconds(), 'f', 3, 64)}
	}
	req := &http.Request{Method: m.method, URL: &url.URL{Scheme: "http", Host: m.host, Opaque: m.target}, Host: m.host,
		Header: header, ContentLength: int64(len(m.body)), Body: http.NoBody}
	if len(m.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(m.body))
	}
	var text bytes.Buffer
	text.Grow(512 + len(m.body))
	err := req.Write(&text)
	return text.Bytes(), err
}

// probe requests a backend's health, and its load figures if the settings name any.
func (b *Backends) probe(id gateway.BackendID) gateway.ProbeResult {
	out := gateway.ProbeResult{Backend: id}
	m := &message{method: http.MethodGet, target: "/health", header: http.Header{}}
	if b.loadReports {
		m.target = "/status/load"
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	start := time.Now()
	r := b.send(ctx, ctx, id, m)
	out.Result, out.Duration, out.Load = r.result, time.Since(start), r.load
	if b.loadReports && r.result == gateway.Answered {
		out.Load = b.parseLoad(strings.TrimSpace(string(r.body)))
	}
	return out
}
