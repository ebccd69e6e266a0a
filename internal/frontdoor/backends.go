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
	maxBody      = 64 << 10 // the protocol's most for a body
	probeTimeout = time.Second
	// A kept connection is dropped when it has been idle for this share of the time after which the backend
	// may close it: a request that crosses the close may have run.
	idleFraction = 0.6
	// An answer that has begun and does not end within answerTime is a spoilt one: backends write theirs at once.
	responseTimeout = 500 * time.Millisecond
	maxResponseHead = 16 << 10 // of an answer, 1xx answers ahead of it among it
	maxUsagePercent = 10_000   // percent; a figure over it is no customer's use
)

// message is a client's request as it goes on to a backend, with each attempt.
type message struct {
	method       string
	target       string // path and query as they came
	host         string
	header       http.Header
	body         []byte
	disconnected func() bool // tells whether its client has left, and ends the request if so; nil: nobody can leave
}

// cancelled tells whether a request must not go on any more.
func (m *message) cancelled(unsent context.Context) bool {
	return unsent.Err() != nil || m.disconnected != nil && m.disconnected()
}

// reply is how an attempt ended and, if it was answered, with what.
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

// Backends sends attempts to the backends that discovery has named, over kept connections.
type Backends struct {
	pool        *pool
	loadColumns []string // names of load figures as in the header, in the order of the settings
	loadReports bool     // there are load reports, so probes ask for one
	failureLog  rate.Sometimes

	mu     sync.Mutex
	lastID gateway.BackendID
	byHost map[string]*backend // until it is gone
	byID   map[gateway.BackendID]*backend
}

// columnNames are the header's names for the settings' load figures.
var columnNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// NewBackends knows no backends yet.
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

// update applies news to the list and gives it in the gateway's form.
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
				continue // never named, or forgotten
			}
			b.lastID++
			be = &backend{id: b.lastID}
			b.byHost[e.Host], b.byID[be.id] = be, be
		}
		if be.endpoint == nil || be.endpoint.addr != e.Dial && e.Dial != "" || be.startedMS != e.BornMS {
			if be.endpoint != nil {
				b.pool.closeEndpoint(be.endpoint) // its connections lead to what was there before
			}
			be.endpoint = &endpointPool{addr: e.Dial}
		}
		be.startedMS, be.state = e.BornMS, states[e.Health]
		infos = append(infos, gateway.BackendInfo{ID: be.id, State: be.state, Zone: e.Site, Kind: e.Class, Cell: e.Block,
			Started: c.unixMilli(e.BornMS), Weight: e.Share})
	}
	if list.Whole {
		for host, be := range b.byHost {
			b.forgetGone(host, be)
		}
		return infos
	}
	for _, e := range list.Hosts { // changes must not cost a look at all backends
		b.forgetGone(e.Host, b.byHost[e.Host])
	}
	return infos
}

// forgetGone forgets a backend that is gone. If it comes back it is a new one, to the gateway as well.
func (b *Backends) forgetGone(host string, be *backend) {
	if be != nil && be.state == gateway.Gone {
		b.pool.closeEndpoint(be.endpoint)
		delete(b.byHost, host)
		delete(b.byID, be.id)
	}
}

// readyEndpoint gives the place of a backend that may be sent something now, else nil.
func (b *Backends) readyEndpoint(id gateway.BackendID) *endpointPool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if be := b.byID[id]; be != nil && be.state == gateway.Ready {
		return be.endpoint
	}
	return nil
}

// errAttemptObsolete ends an attempt that is no longer wanted where its connection leads.
var errAttemptObsolete = errors.New("the backend may be sent nothing new")

// send makes one attempt and tells how it ended. It never sends twice. unsent is of ctx, and may end before it: then
// what has not been written whole by then is not sent any more.
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
	if r.result == gateway.Broken || r.result == gateway.Unknown {
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
		return gateway.Broken
	}
	return gateway.Unknown // a malformed response: the backend is as well as before, and the request may have run
}

func (b *Backends) logFailure(endpoint *endpointPool, err error) {
	b.failureLog.Do(func() { slog.Warn("an attempt broke", "backend", endpoint.addr, "err", err) })
}

// write sends a request whole, unless unsent ends before. An error means that its last byte was not written, so it has
// never run. A kept connection that turns out to be dead before then is made up for by a new one.
func (b *Backends) write(ctx, unsent context.Context, id gateway.BackendID, endpoint *endpointPool,
	m *message) (*pooledConn, error) {
	for fresh := false; ; fresh = true {
		c, err := b.pool.get(unsent, endpoint, fresh)
		if err != nil {
			return nil, err
		}
		// A connection may have taken long to come up, and whoever tells that the client has left may be late.
		if b.readyEndpoint(id) != endpoint || m.cancelled(unsent) {
			b.pool.close(c)
			return nil, errAttemptObsolete
		}
		text, err := m.encode(ctx)
		if err == nil {
			c.SetReadDeadline(time.Time{}) // from here on the context's end alone ends the wait
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

// writeSlice is how long a write that the other side does not take goes on until it looks whether it is still wanted.
const writeSlice = 50 * time.Millisecond

// writeAll writes a text whole, unless unsent ends before.
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

// encode gives one attempt's request as it stands on the wire.
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

// probe asks a backend for its health, with its load if there are reports.
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
	out.Result, out.Took, out.Load = r.result, time.Since(start), r.load
	if b.loadReports && r.result == gateway.Answered {
		out.Load = b.parseLoad(strings.TrimSpace(string(r.body)))
	}
	return out
}
