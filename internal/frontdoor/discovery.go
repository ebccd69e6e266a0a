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

// EndpointList is a whole list of backends, or changes to one, in the form that discovery sends.
type EndpointList struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Endpoint is one backend of a list.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var states = map[string]gateway.BackendState{"Ready": gateway.Ready, "Terminating": gateway.Draining, "Gone": gateway.Gone}

// validEndpoints drops invalid entries. The log shows the first of them.
func validEndpoints(hosts []Endpoint) []Endpoint {
	var first Endpoint
	skipped := 0
	hosts = slices.DeleteFunc(hosts, func(e Endpoint) bool {
		state, ok := states[e.Health]
		bad := !ok || e.Host == "" || e.Dial == "" && state != gateway.Gone || e.BornMS < 0
		if bad {
			if skipped == 0 {
				first = e
			}
			skipped++
		}
		return bad
	})
	if skipped > 0 {
		slog.Warn("discovery: invalid entries", "dropped", skipped, "first", fmt.Sprintf("%.200q", fmt.Sprint(first)))
	}
	return hosts
}

const (
	// stalenessBound is the protocol's bound on a list that could be requested: what discovery has counts as known to
	// every instance after this time, whatever failed or was rejected meanwhile. A watch that falls silent, a second
	// one that does so at once, the pauses after both and the next request take no longer.
	stalenessBound = 6 * time.Second
	// A watch sends a heartbeat, an empty line, every 2 s. One that is silent for longer is dead. A needless request
	// costs an agent nothing, but does cost a service.
	agentIdleTimeout   = 2500 * time.Millisecond
	serviceIdleTimeout = 3 * time.Second
	maxQueueWait       = 2 * time.Second // how long a service lets a request wait in its queue
	listTimeout        = time.Second     // from the first byte of a list to its end: it is sent at once
)

// Where the settings say that lists are pushed, an agent on the instance's own machine holds the list and responds at
// once and at no cost to others. What the agent holds counts as known whether or not a watch is open, so an instance
// that has just started, whose watch has just been reset, or whose agent was silent until a moment ago may send to a
// draining backend for DrainGrace and no longer. So it requests at once, and a failed request and the pause behind it
// together take less than DrainGrace.
//
// Where the list must be requested, discovery is one service of fixed capacity for the whole fleet. A request costs it
// some milliseconds, and more for each entry of its response; requests queue for up to maxQueueWait, and one that
// would have to wait for longer is rejected at once, at no cost that was measured. So the service is used best by
// requests at once and soon again: it stays busy while any instance is not served, which minimises the time until all
// are. The service's load shows in its responses alone; the size of the fleet does not predict it, as mostly a few
// instances send requests.
//
// Failures are followed by a pause with full jitter. The more an instance needs a list, the more often it requests
// one. One without a list can serve nobody, and retries after retryBase while the service is overloaded. One whose
// list is valid for a while yet leaves the service to those once it was rejected, and spreads its retry over that
// while. One whose list is stale sends only to backends confirmed by recent responses, and waits longer. A service
// that is down was seen to hold each request for maxQueueWait before rejecting it, which spreads them enough;
// instances should return soon then, so no pause exceeds what leaves time for the queue within stalenessBound.
const (
	retryBase    = 200 * time.Millisecond // the longest pause after a first failure; doubled by each further one
	retryMaxNew  = 400 * time.Millisecond // ... up to this for a process that has had no list
	retryMax     = 2 * time.Second        // ... or to this: with maxQueueWait, well within stalenessBound
	retryMaxBusy = 3 * time.Second        // the longest pause after a rejection for a process whose list is stale by then
	fastRefusal  = 500 * time.Millisecond // a rejection that took longer is not that of an overloaded service
	failedFactor = 4                      // the protocol multiplies the staleness bound by this after a failed request

	agentTimeoutFraction = 1.0 / 2 // of DrainGrace: an agent's response time-out
	agentPauseFraction   = 1.0 / 4 // of DrainGrace: the longest pause after a failed request to an agent
)

// fromFullList, as a version to start from, makes the follower request the whole list first.
const fromFullList = -1

// Follow watches the configuration's discovery until ctx ends, starting at the version of the known list; each address
// received from moves replaces the one before. Another discovery may number its versions differently, so after a move
// the whole list is requested first. A heartbeat of a watch is passed to update as a list of no changes.
func Follow(ctx context.Context, config Config, moves <-chan string, update func(EndpointList)) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true, DisableCompression: true}
	followOver(ctx, transport, config, moves, update)
}

// followOver is Follow over a given transport.
func followOver(ctx context.Context, rt http.RoundTripper, config Config, moves <-chan string,
	update func(EndpointList)) {
	f := newFollower(rt, newRetryPolicy(config), config.Discovery, config.Known.Seq, update)
	for {
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			f.keepWatching(watching)
		}()
		addr := ""
		select {
		case addr = <-moves:
		case <-ctx.Done():
		}
		stop()
		<-ended // no update of the old one may follow the new one's list
		if ctx.Err() != nil {
			return
		}
		f.addr, f.version = addr, fromFullList
	}
}

// follower watches one discovery at a time.
type follower struct {
	transport     http.RoundTripper
	policy        retryPolicy
	addr          string
	version       int64              // the version of the list that is held
	update        func(EndpointList) // receives lists and changes; an empty list of changes confirms the current list
	lastConfirmed time.Time          // when discovery last confirmed the list; zero: not yet
}

func newFollower(rt http.RoundTripper, policy retryPolicy, addr string, from int64, update func(EndpointList)) *follower {
	f := &follower{transport: rt, policy: policy, addr: addr, version: from}
	f.update = func(list EndpointList) {
		f.lastConfirmed = time.Now()
		update(list)
	}
	return f
}

// keepWatching opens one watch after another until ctx ends.
func (f *follower) keepWatching(ctx context.Context) {
	sometimes := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	failures := 0
	for ctx.Err() == nil {
		confirmedBefore := f.lastConfirmed
		err := f.fetchAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if f.lastConfirmed != confirmedBefore {
			failures = 0
		}
		failures++
		pause := f.policy.pause(failure{err: err, consecutive: failures, hasList: !f.lastConfirmed.IsZero(),
			slack: time.Until(f.lastConfirmed.Add(stalenessBound - maxQueueWait))})
		sometimes.Do(func() {
			slog.Warn("discovery: the watch ended", "addr", f.addr, "from", f.version, "err", err, "retry", pause)
		})
		sleep(ctx, pause)
	}
}

// fetchAndWatch requests the whole list, if the version says so, and then the changes for as long as the watch lasts.
func (f *follower) fetchAndWatch(ctx context.Context) error {
	if f.version == fromFullList {
		if err := f.fetch(ctx); err != nil {
			return err
		}
	}
	return f.watch(ctx)
}

// sleep waits for d or the end of ctx, and reports whether ctx is still alive.
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
	errStreamIdle       = errors.New("nothing was received for too long")
	errNotFullList      = errors.New("the response is no whole list")
	errVersionRegressed = errors.New("the versions have gone back")
)

// statusError is a response of discovery other than 200 OK.
type statusError struct {
	status string
	took   time.Duration // from the request to the response
}

func (e *statusError) Error() string { return fmt.Sprintf("answered %s after %v", e.status, e.took) }

// openResponse sends a request to discovery and returns its response. Another status than 200 is a *statusError.
func openResponse(ctx context.Context, rt http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	res, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, &statusError{status: res.Status, took: time.Since(sent)}
	}
	return res, nil
}

// streamReader reads a streamed response of discovery. The stream ends when nothing is received for idleTimeout, or
// when a list that has begun is not complete within listTimeout: a list sent in drips would otherwise delay all
// that follows.
type streamReader struct {
	io.Reader
	idleTimeout time.Duration
	timer       *time.Timer
	inList      bool   // a list has begun and not ended
	onHeartbeat func() // called for a heartbeat, between two lists; nil: before the first one
	close       func()
}

// openStream sends a request whose response must begin within firstTimeout and then send something at least once every
// idleTimeout. The caller must call the stream's close.
func openStream(ctx context.Context, rt http.RoundTripper, url string,
	firstTimeout, idleTimeout time.Duration) (*streamReader, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	stream := &streamReader{idleTimeout: idleTimeout, timer: time.AfterFunc(firstTimeout, func() { cancel(errStreamIdle) })}
	res, err := openResponse(ctx, rt, url)
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

func (h *streamReader) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	switch {
	case n == 0 || h.inList:
	case len(bytes.TrimSpace(p[:n])) == 0:
		h.timer.Reset(h.idleTimeout)
		if h.onHeartbeat != nil {
			h.onHeartbeat()
		}
	default:
		h.inList = true
		h.timer.Reset(listTimeout)
	}
	return n, err
}

// listComplete marks the end of a list: from here on heartbeats are expected.
func (h *streamReader) listComplete() {
	h.inList = false
	h.timer.Reset(h.idleTimeout)
}

// fetch requests the whole list.
func (f *follower) fetch(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/v1/endpoints", f.addr)
	answer, err := openStream(ctx, f.transport, url, f.policy.responseTimeout(), f.policy.idleTimeout())
	if err != nil {
		return err
	}
	defer answer.close()
	list, err := newListReader(answer).next()
	if err != nil {
		return err
	}
	if !list.Whole {
		return errNotFullList
	}
	slog.Info("discovery: the whole list", "addr", f.addr, "seq", list.Seq, "hosts", len(list.Hosts))
	f.update(list)
	f.version = list.Seq
	return nil
}

// watch reads changes from one connection for as long as it sends something in time. A line that cannot be parsed
// ends it, and the next watch requests the same changes again: skipping the line could lose the news that a backend
// drains. A heartbeat confirms the list only once the watch has sent what had changed before it.
func (f *follower) watch(ctx context.Context) error {
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", f.addr, f.version)
	answer, err := openStream(ctx, f.transport, url, f.policy.responseTimeout(), f.policy.idleTimeout())
	if err != nil {
		return err
	}
	defer answer.close()
	lists := newListReader(answer)
	for {
		list, err := lists.next()
		if err != nil {
			return err
		}
		answer.listComplete()
		if !list.Whole && list.Seq < f.version { // discovery has restarted: changes before that are unknown here
			f.version = fromFullList
			return errVersionRegressed
		}
		slog.Info("discovery", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
		f.update(list)
		f.version = list.Seq
		answer.onHeartbeat = func() { f.update(EndpointList{Seq: f.version}) }
	}
}
