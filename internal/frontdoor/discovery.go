package frontdoor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"herontiller/internal/gateway"

	"golang.org/x/time/rate"
)

// EndpointList is a list of backends as discovery sends it: a full list, or the changes since an earlier version.
type EndpointList struct {
	Version   int64      `json:"seq"`   // grows with each change, until discovery restarts
	Full      bool       `json:"whole"` // a full list; backends missing from it are gone
	Endpoints []Endpoint `json:"hosts"`
}

// Endpoint is one backend in an EndpointList.
type Endpoint struct {
	Host        string  `json:"host"`
	Address     string  `json:"dial"` // host and port
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        int     `json:"block"`
	State       string  `json:"health"`  // a key of backendStates
	Weight      float64 `json:"share"`   // capacity relative to other backends
	StartedMS   int64   `json:"born_ms"` // when its process started, Unix time in milliseconds; 0: long ago
}

// backendStates maps the states of an Endpoint to the gateway's.
var backendStates = map[string]gateway.BackendState{"Ready": gateway.Ready, "Terminating": gateway.Draining,
	"Gone": gateway.Gone}

// validEndpoints returns the valid entries of a list. It logs the number of invalid ones and the first of them.
func validEndpoints(endpoints []Endpoint) []Endpoint {
	var firstInvalid Endpoint
	dropped := 0
	endpoints = slices.DeleteFunc(endpoints, func(e Endpoint) bool {
		state, ok := backendStates[e.State]
		invalid := !ok || e.Host == "" || e.Address == "" && state != gateway.Gone || e.StartedMS < 0
		if invalid {
			if dropped == 0 {
				firstInvalid = e
			}
			dropped++
		}
		return invalid
	})
	if dropped > 0 {
		slog.Warn("discovery sent invalid entries, which are ignored", "dropped", dropped,
			"first", fmt.Sprintf("%.200q", fmt.Sprint(firstInvalid)))
	}
	return endpoints
}

const (
	// stalenessBound is the protocol's limit on the age of a list that a gateway could have requested: after this time
	// every gateway is expected to know what discovery knows, even if requests failed or were rejected meanwhile. A
	// watch that stops sending, a second watch that stops at once, the backoff after both and the next request fit
	// into this time.
	stalenessBound = 6 * time.Second
	// A watch sends a heartbeat, an empty line, every 2 s. One that sends nothing for the idle timeout is considered
	// dead. The timeout for a service is longer, since an unnecessary request costs a service capacity but costs an
	// agent nothing.
	agentIdleTimeout   = 2500 * time.Millisecond
	serviceIdleTimeout = 3 * time.Second
	maxQueueWait       = 2 * time.Second // the longest time for which a service queues a request
	listTimeout        = time.Second     // from the first byte of a list to its last; lists are sent in one go
)

// Depending on the settings, gateways receive the list in one of two ways.
//
// If lists are pushed, an agent on the gateway's own machine holds the list. It responds immediately, and requests to
// it cost nobody else anything. The protocol expects a gateway to know what its agent holds whether or not a watch is
// open. A gateway that has just started, whose watch has just been reset, or whose agent has just become responsive
// again may therefore send to a draining backend for at most DrainGrace. So it requests the list immediately, and a
// failed request and the backoff after it together take less than DrainGrace.
//
// If the list must be requested, discovery is one service of fixed capacity for the whole fleet. Each request costs it
// some milliseconds, plus some time for each entry of the response. It queues requests for up to maxQueueWait, and
// immediately rejects a request that would have to wait longer; rejections cost it almost nothing. Gateways therefore
// request immediately and retry soon: this keeps the service busy while any gateway is without its list, which
// minimises the time until all gateways have one. Only the service's responses show its load. The size of the fleet
// doesn't predict it, since usually only a few gateways send requests at the same time.
//
// After a failure a gateway backs off with full jitter, and by less the more urgently it needs a list:
//   - A gateway without a list can't serve any client. It retries within baseBackoff while the service is overloaded.
//   - A gateway whose list remains valid for some time leaves an overloaded service to the others, and spreads its
//     retry over that time.
//   - A gateway whose list is stale sends only to backends confirmed by recent responses, and backs off for longer.
//
// A service that is down may hold each request for maxQueueWait before rejecting it, which spreads requests enough.
// Gateways should retry soon in this case, so each backoff leaves time for the queue within stalenessBound.
const (
	baseBackoff           = 200 * time.Millisecond // after the first failure; doubles with each further one
	maxBackoffWithoutList = 400 * time.Millisecond // for a process that has received no list
	maxBackoff            = 2 * time.Second        // with a list; plus maxQueueWait still well within stalenessBound
	maxBackoffOverloaded  = 3 * time.Second        // while the service is overloaded and the list is stale
	fastRejectionTime     = 500 * time.Millisecond // an overloaded service rejects requests in less time than this

	// After a failed request the protocol considers a list stale only after this multiple of the settings'
	// ListRequestInterval.
	failedRequestFactor = 4

	discoveryConnectTimeout = time.Second

	// The first discoveryLogBurst failures are logged, and then at most one in each discoveryLogInterval.
	discoveryLogBurst    = 3
	discoveryLogInterval = 5 * time.Second

	agentTimeoutFraction = 1.0 / 2 // response timeout of an agent, as a fraction of DrainGrace
	agentBackoffFraction = 1.0 / 4 // longest backoff after a failed request to an agent, as a fraction of DrainGrace
)

// noVersion is the version of a watcher that must request the full list before it watches for changes.
const noVersion = -1

// WatchDiscovery watches the configuration's discovery until ctx ends, starting at the version of the saved list. Each
// address received from addresses replaces the previous one. Another discovery may number its versions differently, so
// after a change of address the full list is requested first. update receives each list, and an empty list of changes
// for each heartbeat. addressChanged, which may be nil, is called between the last update from one address and the
// first request to the next.
func WatchDiscovery(ctx context.Context, config Config, addresses <-chan string, update func(EndpointList),
	addressChanged func()) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: discoveryConnectTimeout}).DialContext,
		DisableKeepAlives: true, DisableCompression: true}
	watchDiscoveryOver(ctx, transport, config, addresses, update, addressChanged)
}

// watchDiscoveryOver is WatchDiscovery with a given transport.
func watchDiscoveryOver(ctx context.Context, transport http.RoundTripper, config Config, addresses <-chan string,
	update func(EndpointList), addressChanged func()) {
	w := newWatcher(transport, newRetryPolicy(config), config.Discovery, config.SavedList.Version, update)
	for {
		watchCtx, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			w.keepWatching(watchCtx)
		}()
		addr := ""
		select {
		case addr = <-addresses:
		case <-ctx.Done():
		}
		stop()
		<-ended // an update from the old address must not follow the new one's list
		if ctx.Err() != nil {
			return
		}
		w.addr, w.version = addr, noVersion
		if addressChanged != nil {
			addressChanged()
		}
	}
}

// watcher watches discovery at one address at a time.
type watcher struct {
	transport     http.RoundTripper
	policy        retryPolicy
	addr          string
	version       int64              // version of the current list, or noVersion
	update        func(EndpointList) // receives lists and changes; an empty list of changes confirms the current list
	lastConfirmed time.Time          // when discovery last sent or confirmed a list; zero: not yet
}

func newWatcher(transport http.RoundTripper, policy retryPolicy, addr string, version int64,
	update func(EndpointList)) *watcher {
	w := &watcher{transport: transport, policy: policy, addr: addr, version: version}
	w.update = func(list EndpointList) {
		w.lastConfirmed = time.Now()
		update(list)
	}
	return w
}

// keepWatching opens one watch after another until ctx ends.
func (w *watcher) keepWatching(ctx context.Context) {
	logLimit := rate.Sometimes{First: discoveryLogBurst, Interval: discoveryLogInterval}
	failures := 0
	for ctx.Err() == nil {
		previousConfirmation := w.lastConfirmed
		err := w.fetchAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if w.lastConfirmed != previousConfirmation {
			failures = 0
		}
		failures++
		backoff := w.policy.backoff(failure{err: err, consecutive: failures, hasList: !w.lastConfirmed.IsZero(),
			slack: time.Until(w.lastConfirmed.Add(stalenessBound - maxQueueWait))})
		logLimit.Do(func() {
			slog.Warn("the discovery request or watch failed and will be retried", "addr", w.addr, "from", w.version,
				"err", err, "retry", backoff)
		})
		sleep(ctx, backoff)
	}
}

// fetchAndWatch requests the full list if no version is known, and then watches for changes until the watch ends.
func (w *watcher) fetchAndWatch(ctx context.Context) error {
	if w.version == noVersion {
		if err := w.fetch(ctx); err != nil {
			return err
		}
	}
	return w.watch(ctx)
}

// sleep waits for d or until ctx ends, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}

var (
	errStreamTimeout    = errors.New("timeout: discovery sent no data, or an incomplete list")
	errNotFullList      = errors.New("discovery answered the request for the full list with a list of changes")
	errVersionRegressed = errors.New("discovery sent an older version than before; it has probably restarted")
)

// statusError reports a response of discovery with a status other than 200 OK.
type statusError struct {
	status  string
	elapsed time.Duration // from the request to the response
}

func (e *statusError) Error() string {
	return fmt.Sprintf("discovery responded with status %q after %v", e.status, e.elapsed)
}

// openResponse sends a request to discovery and returns the response. If its status is not 200, the error is a
// *statusError.
func openResponse(ctx context.Context, transport http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, &statusError{status: res.Status, elapsed: time.Since(sent)}
	}
	return res, nil
}

// streamReader reads a streamed response of discovery. The stream ends when nothing is received for idleTimeout, or
// when a list that has begun is not complete within listTimeout: a list that arrives byte by byte would otherwise
// delay all later ones.
type streamReader struct {
	io.Reader
	idleTimeout time.Duration
	timer       *time.Timer
	inList      bool   // a list has begun and is not complete
	onHeartbeat func() // called for each heartbeat between two lists; nil before the first list
	close       func()
}

// openStream sends a request and returns its response as a stream. The response must begin within responseTimeout and
// then send data at least once every idleTimeout. The caller must call the stream's close.
func openStream(ctx context.Context, transport http.RoundTripper, url string,
	responseTimeout, idleTimeout time.Duration) (*streamReader, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stream := &streamReader{idleTimeout: idleTimeout,
		timer: time.AfterFunc(responseTimeout, func() { cancel(errStreamTimeout) })}
	res, err := openResponse(ctx, transport, url)
	if err != nil {
		stream.timer.Stop()
		cancel(nil)
		return nil, err
	}
	stream.timer.Reset(idleTimeout)
	stream.Reader = res.Body
	stream.close = func() {
		stream.timer.Stop()
		cancel(nil)
		res.Body.Close()
	}
	return stream, nil
}

func (s *streamReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	switch {
	case n == 0 || s.inList:
	case len(bytes.TrimSpace(p[:n])) == 0:
		s.timer.Reset(s.idleTimeout)
		if s.onHeartbeat != nil {
			s.onHeartbeat()
		}
	default:
		s.inList = true
		s.timer.Reset(listTimeout)
	}
	return n, err
}

// listComplete marks the end of a list: from now on heartbeats are expected.
func (s *streamReader) listComplete() {
	s.inList = false
	s.timer.Reset(s.idleTimeout)
}

// fetch requests the full list.
func (w *watcher) fetch(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/v1/endpoints", w.addr)
	stream, err := openStream(ctx, w.transport, url, w.policy.responseTimeout(), w.policy.idleTimeout())
	if err != nil {
		return err
	}
	defer stream.close()
	list, err := newListReader(stream).next()
	if err != nil {
		return err
	}
	if !list.Full {
		return errNotFullList
	}
	slog.Info("received the full list from discovery", "addr", w.addr, "seq", list.Version,
		"hosts", len(list.Endpoints))
	w.update(list)
	w.version = list.Version
	return nil
}

// watch reads changes from one connection until the connection fails or times out. A list that can't be parsed also
// ends the watch, and the next watch requests the same changes again: skipping the list could lose the change of a
// backend to draining. Heartbeats confirm the list only after the watch has sent its first list, which has what changed
// before the watch began.
func (w *watcher) watch(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", w.addr, w.version)
	stream, err := openStream(ctx, w.transport, url, w.policy.responseTimeout(), w.policy.idleTimeout())
	if err != nil {
		return err
	}
	defer stream.close()
	lists := newListReader(stream)
	for {
		list, err := lists.next()
		if err != nil {
			return err
		}
		stream.listComplete()
		if !list.Full && list.Version < w.version { // discovery has restarted, and changes may be missing here
			w.version = noVersion
			return errVersionRegressed
		}
		slog.Info("received a list from discovery", "seq", list.Version, "whole", list.Full,
			"hosts", len(list.Endpoints))
		w.update(list)
		w.version = list.Version
		stream.onHeartbeat = func() { w.update(EndpointList{Version: w.version}) }
	}
}
