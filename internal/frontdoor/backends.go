package frontdoor

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"herontiller/internal/gateway"
	"herontiller/internal/memory"

	"golang.org/x/time/rate"
)

const (
	maxBody      = 64 << 10 // bytes; the protocol's limit
	probeTimeout = time.Second
	// A pooled connection is closed after this fraction of the idle time after which the backend may close it. If a
	// request is sent while the backend closes the connection, it is unknown whether the request has run.
	maxIdleFraction = 0.6
	// A response that has begun and is not complete within this time is considered malformed, as backends write a
	// response in one go.
	responseReadTimeout = 500 * time.Millisecond
	maxResponseHead     = 16 << 10 // bytes, including preceding 1xx responses
	maxUsagePercent     = 10_000   // percent of the quota; a higher value is invalid
)

// attemptOutcome is the result of an attempt and, if there was a response, the response's contents.
type attemptOutcome struct {
	result      gateway.Result
	contentType []string
	body        []byte         // in buffer
	buffer      *memory.Buffer // may be nil
	hasUsage    bool
	usage       float64   // if hasUsage: the customer's use of its quota, in percent
	load        []float64 // load figures in the order of the settings; nil if there was no valid load report
}

// release gives back the memory of the response's body.
func (o *attemptOutcome) release() {
	o.buffer.Release()
	o.body = nil
}

// backend is an entry of the list of backends. All fields except id are guarded by Backends.mu.
type backend struct {
	id        gateway.BackendID
	startedMS int64 // as in Endpoint
	state     gateway.BackendState
	endpoint  *endpointPool
}

// Backends sends attempts to the backends that discovery has listed. It uses pooled connections.
type Backends struct {
	account     *memory.Account // for the data of clients' requests and of backends' responses
	pool        *pool
	loadColumns []string // names of load figures in the header, in the order of the settings
	requestLoad bool     // probes request load figures instead of the health, as the settings name some
	failureLog  rate.Sometimes

	mu     sync.Mutex
	lastID gateway.BackendID
	byHost map[string]*backend // excludes those that are gone
	byID   map[gateway.BackendID]*backend
}

// loadHeaderNames maps the names of load figures in the settings to those in the header.
var loadHeaderNames = map[string]string{"concurrent": "inflight", "depth": "queue", "load_share": "util",
	"mean_ms": "latency_ms", "tps": "qps", "err_ps": "eps"}

// NewBackends returns Backends with an empty list.
func NewBackends(config Config) *Backends {
	dialer := &net.Dialer{Timeout: config.Connections.ConnectTimeout, KeepAlive: -1}
	account := memory.NewAccount(config.Limits.dataMemory())
	b := &Backends{account: account, requestLoad: len(config.Settings.LoadColumns) > 0,
		failureLog: rate.Sometimes{First: logBurst, Interval: logInterval},
		pool: newPool(account, dialer.DialContext, config.Limits.maxBackendConns(),
			time.Duration(maxIdleFraction*float64(config.Connections.IdleTimeout))),
		byHost: map[string]*backend{}, byID: map[gateway.BackendID]*backend{}}
	for _, name := range config.Settings.LoadColumns {
		if headerName, ok := loadHeaderNames[name]; ok {
			name = headerName
		}
		b.loadColumns = append(b.loadColumns, name)
	}
	return b
}

// update applies a full list or a list of changes, and returns its entries converted for the gateway.
func (b *Backends) update(list EndpointList, gatewayClock clock) []gateway.BackendInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	infos := make([]gateway.BackendInfo, 0, len(list.Endpoints))
	if list.Full {
		for _, current := range b.byHost {
			current.state = gateway.Gone // unless listed below
		}
	}
	for _, listed := range list.Endpoints {
		current := b.byHost[listed.Host]
		if current == nil {
			if backendStates[listed.State] == gateway.Gone {
				continue // it was never listed, or is already removed
			}
			b.lastID++
			current = &backend{id: b.lastID}
			b.byHost[listed.Host], b.byID[current.id] = current, current
		}
		if current.endpoint == nil || current.endpoint.addr != listed.Address && listed.Address != "" ||
			current.startedMS != listed.StartedMS {
			if current.endpoint != nil {
				b.pool.closeEndpoint(current.endpoint) // its connections lead to the previous process
			}
			current.endpoint = &endpointPool{addr: listed.Address}
		}
		current.startedMS, current.state = listed.StartedMS, backendStates[listed.State]
		infos = append(infos, gateway.BackendInfo{ID: current.id, State: current.state, Zone: listed.Zone,
			MachineType: listed.MachineType, Cell: listed.Cell,
			Started: gatewayClock.unixMilli(listed.StartedMS), Weight: listed.Weight})
	}
	if list.Full {
		for host, current := range b.byHost {
			b.removeIfGone(host, current)
		}
		return infos
	}
	for _, listed := range list.Endpoints { // the cost of a change must not depend on the number of all backends
		b.removeIfGone(listed.Host, b.byHost[listed.Host])
	}
	return infos
}

// removeIfGone removes a backend that is gone. If the host is listed again later, it becomes a new backend with a new
// ID.
func (b *Backends) removeIfGone(host string, current *backend) {
	if current != nil && current.state == gateway.Gone {
		b.pool.closeEndpoint(current.endpoint)
		delete(b.byHost, host)
		delete(b.byID, current.id)
	}
}

// readyEndpoint returns the endpoint pool of a backend that is ready for attempts. For other backends it returns nil.
func (b *Backends) readyEndpoint(id gateway.BackendID) *endpointPool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.byID[id]; current != nil && current.state == gateway.Ready {
		return current.endpoint
	}
	return nil
}

// errAttemptObsolete ends an attempt whose client has disconnected or whose backend is no longer ready for attempts.
var errAttemptObsolete = errors.New("not sent: the client has disconnected, or the backend is no longer ready")

// send makes one attempt and returns its outcome. It never sends a request twice. writeCtx is derived from ctx and may
// end first: a request that has not been written completely by then counts as not sent.
func (b *Backends) send(ctx, writeCtx context.Context, id gateway.BackendID,
	request *forwardedRequest) *attemptOutcome {
	outcome := &attemptOutcome{result: gateway.NotSent}
	endpoint := b.readyEndpoint(id)
	if endpoint == nil || writeCtx.Err() != nil {
		return outcome
	}
	conn, err := b.writeRequest(ctx, writeCtx, id, endpoint, request)
	if err != nil {
		outcome.result = writeFailureResult(ctx, writeCtx, err)
		b.logFailure(endpoint, err)
		return outcome
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) }) // in the past: ends reads
	reusable, err := b.readResponse(ctx, conn, request, outcome)
	if stop() && err == nil && reusable {
		b.pool.put(conn)
	} else {
		b.pool.close(conn)
	}
	if err == nil {
		return outcome
	}
	outcome.result = readFailureResult(ctx, err)
	if outcome.result == gateway.ConnectionBroken || outcome.result == gateway.Unknown {
		b.logFailure(endpoint, err)
	}
	return outcome
}

// writeFailureResult returns the result of an attempt whose request could not be written completely. The result blames
// the backend only for its own failures, not for the cancellation or timeout of the attempt, or for a lack of
// connections or file descriptors here.
func writeFailureResult(ctx, writeCtx context.Context, err error) gateway.Result {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return gateway.Cancelled
	case writeCtx.Err() != nil || errors.Is(err, errAttemptObsolete) || errors.Is(err, errPoolFull) ||
		errors.Is(err, syscall.EMFILE):
		return gateway.NotSent
	}
	return gateway.NoConnection
}

// readFailureResult returns the result of an attempt that was sent and received no usable response.
func readFailureResult(ctx context.Context, err error) gateway.Result {
	switch {
	case context.Cause(ctx) == context.Canceled:
		return gateway.Cancelled
	case ctx.Err() != nil:
		return gateway.TimedOut
	case errors.Is(err, errNoResponse):
		return gateway.ConnectionBroken
	}
	return gateway.Unknown // a malformed response: it shows no outage of the backend, and the request may have run
}

// logFailure logs the failure of an attempt, at a limited rate.
func (b *Backends) logFailure(endpoint *endpointPool, err error) {
	b.failureLog.Do(func() { slog.Warn("an attempt at a backend failed", "backend", endpoint.addr, "err", err) })
}

// writeRequest writes a complete request unless writeCtx ends first, and returns the connection. An error means that
// the last byte was not written, so the request has not run. If a pooled connection turns out to be broken before that,
// writeRequest retries on a new one.
func (b *Backends) writeRequest(ctx, writeCtx context.Context, id gateway.BackendID, endpoint *endpointPool,
	request *forwardedRequest) (*pooledConn, error) {
	for fresh := false; ; fresh = true {
		conn, err := b.pool.get(writeCtx, endpoint, fresh)
		if err != nil {
			return nil, err
		}
		// Connecting may have taken a long time, and the HTTP server may be late to detect that the client has
		// disconnected.
		if b.readyEndpoint(id) != endpoint || request.cancelled(writeCtx) {
			b.pool.close(conn)
			return nil, errAttemptObsolete
		}
		conn.SetReadDeadline(time.Time{}) // from now on only the end of ctx sets a deadline
		err = conn.writeAll(writeCtx, request.encode(ctx))
		if err == nil {
			return conn, nil
		}
		b.pool.close(conn)
		if !conn.hasServed || writeCtx.Err() != nil {
			return nil, err
		}
	}
}

// writeCheckInterval is the interval at which a blocked write checks whether its attempt has been cancelled.
const writeCheckInterval = 50 * time.Millisecond

// writeAll writes all of data unless writeCtx ends first.
func (c *pooledConn) writeAll(writeCtx context.Context, data net.Buffers) error {
	for len(data) > 0 {
		c.SetWriteDeadline(time.Now().Add(writeCheckInterval))
		_, err := data.WriteTo(c.Conn) // removes what it has written from data
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() && writeCtx.Err() == nil {
			continue
		}
		if err != nil && len(data) > 0 {
			return err
		}
	}
	return nil
}

// probe requests a backend's health, or its load figures if the settings name any.
func (b *Backends) probe(id gateway.BackendID) gateway.ProbeResult {
	result := gateway.ProbeResult{Backend: id}
	request := &forwardedRequest{method: http.MethodGet, target: "/health", header: http.Header{}}
	if b.requestLoad {
		request.target = "/status/load"
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	start := time.Now()
	outcome := b.send(ctx, ctx, id, request)
	defer outcome.release()
	result.Result, result.Duration, result.Load = outcome.result, time.Since(start), outcome.load
	if b.requestLoad && outcome.result == gateway.Answered {
		result.Load = b.parseLoad(strings.TrimSpace(string(outcome.body)))
	}
	return result
}
