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

// EndpointList is a list of backends, or of changes to it, as discovery tells it.
type EndpointList struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Endpoint is one backend.
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

// validEndpoints leaves out the entries that make no sense. One of them stands for all in the log.
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
		slog.Warn("discovery: entries that make no sense", "left out", skipped, "first", fmt.Sprintf("%.200q", fmt.Sprint(first)))
	}
	return hosts
}

const (
	// What discovery has, and could be asked for, counts as told after this time, whatever failed, was refused or was given
	// up meanwhile. A watch that has fallen silent, a second one that does so at once, and the pauses and the ask behind
	// them take no longer.
	stalenessBound = 6 * time.Second
	// A watch says something every 2 s, if only an empty line. One that is silent for longer is dead. To ask an agent once
	// too often costs nothing, to ask a service in vain does.
	agentIdleTimeout   = 2500 * time.Millisecond
	serviceIdleTimeout = 3 * time.Second
	maxQueueWait       = 2 * time.Second // a call to a service may wait in turn for as long
	listTimeout        = time.Second     // a list that has begun is whole by then: it is sent at once
)

// Where the settings say that lists are pushed, an agent on the front door's own machine holds what it has been sent
// and answers at once and at no cost to anybody. There is nothing to spare by waiting, and much to lose: what the
// agent holds counts as told, whether or not a watch is open, so a door that has just started, whose watch has just
// been reset, or whose agent was silent until a moment ago may send to a backend that drains for DrainGrace and no
// longer. It asks at once, and each ask in vain and the pause behind it take less than that together.
//
// Where the list has to be asked for, discovery is one service of fixed capacity for the whole fleet. An ask takes it
// some milliseconds, and more for each line of its answer; asks wait in turn for up to askWait, and one that would have
// to wait for longer is refused at once and was seen to cost nothing. So what uses the service best is to ask at once
// and again soon: it is busy for as long as somebody is not served, and the least time goes by until all are. How the
// service fares shows in its answers alone; the size of the fleet tells nothing, as mostly a few of it ask.
//
// Failures are followed by a pause with full jitter. Who needs a list most asks most often. A process without one can
// serve nobody, and goes on asking after retryLeast while the service has too much to do. One whose list is good for a
// while yet leaves the service to those once it was refused, and takes all of that while. One that has come too late as
// well sends only to backends that are vouched for in another way, and waits longer. While the service is down, it was seen
// to hold each ask for askWait before it refused it, which spreads them enough; nobody should be long in coming back then,
// so no pause is longer than leaves time for the wait in turn within toldAfter.
const (
	retryBase    = 200 * time.Millisecond // the longest pause after a first failure; further ones double it
	retryMaxNew  = 400 * time.Millisecond // ... up to this for a process that has had no list
	retryMax     = 2 * time.Second        // ... or to this: with the wait in turn, well within toldAfter
	retryMaxBusy = 3 * time.Second        // the longest pause after a refusal for a process whose list is too old by then
	fastRefusal  = 500 * time.Millisecond // a refusal that took longer is not that of a service with too much to do
	failedFactor = 4                      // times as long one may go without asking after a failed ask, by the pages

	agentTimeoutFraction = 1.0 / 2 // of DrainGrace is how long an agent may take to answer
	agentPauseFraction   = 1.0 / 4 // ... and this at most is waited after an ask in vain
)

// fromFullList, as a version to start from, asks for the whole list first.
const fromFullList = -1

// Follow follows the configuration's discovery until ctx ends, from the known list on; each address that comes from moves
// takes the place of the one before. Another discovery may number its versions in another way, so after a move
// the whole list is taken first. An empty line of a watch is passed on as a list of no changes.
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
		<-ended // nothing that the old one says may come after the new one's list
		if ctx.Err() != nil {
			return
		}
		f.addr, f.version = addr, fromFullList
	}
}

// follower follows one discovery at a time.
type follower struct {
	transport     http.RoundTripper
	policy        retryPolicy
	addr          string
	version       int64              // the version of the list that is held
	update        func(EndpointList) // takes in lists and changes; none confirms what is held
	lastConfirmed time.Time          // when discovery last said that nothing else had changed; zero: not yet
}

func newFollower(rt http.RoundTripper, policy retryPolicy, addr string, from int64, update func(EndpointList)) *follower {
	f := &follower{transport: rt, policy: policy, addr: addr, version: from}
	f.update = func(list EndpointList) {
		f.lastConfirmed = time.Now()
		update(list)
	}
	return f
}

// keepWatching follows discovery, over as many watches as it takes, until ctx ends.
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

// fetchAndWatch takes the whole list, if that is wanted, and watches what changes for as long as the watch lasts.
func (f *follower) fetchAndWatch(ctx context.Context) error {
	if f.version == fromFullList {
		if err := f.fetch(ctx); err != nil {
			return err
		}
	}
	return f.watch(ctx)
}

// sleep waits, and tells whether ctx has not ended by then.
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
	errStreamIdle       = errors.New("nothing was heard for too long")
	errNotFullList      = errors.New("the answer is no whole list")
	errVersionRegressed = errors.New("the versions have gone back")
)

// statusError tells that discovery answered an ask with no list.
type statusError struct {
	status string
	took   time.Duration // how long it let the ask wait
}

func (e *statusError) Error() string { return fmt.Sprintf("answered %s after %v", e.status, e.took) }

// openResponse opens one of discovery's answers.
func openResponse(ctx context.Context, rt http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	asked := time.Now()
	res, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, &statusError{status: res.Status, took: time.Since(asked)}
	}
	return res, nil
}

// streamReader is one of discovery's answers as it comes. It ends when nothing is heard for too long, or when a list that has
// begun is not whole in time: one that drips would else keep all that follows from being heard.
type streamReader struct {
	io.Reader
	idleTimeout time.Duration
	timer       *time.Timer
	inList      bool   // some of a list has come, and not yet all
	onHeartbeat func() // is called for what comes between two lists; nil: before the first one
	close       func()
}

// openStream opens an answer whose first word must come within first, and each further one within silence. Its end must be
// called.
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

// listComplete marks the end of a list.
func (h *streamReader) listComplete() {
	h.inList = false
	h.timer.Reset(h.idleTimeout)
}

// fetch takes the whole list, once.
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

// watch follows discovery over one connection, for as long as it says something in time. A line that cannot be read
// ends it, and the next watch asks for the same changes again: passing over the line could lose the word that a backend
// drains. An empty line confirms the list only once the watch has said what had changed before it.
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
		if !list.Whole && list.Seq < f.version { // discovery has begun anew: what changed before is not known here
			f.version = fromFullList
			return errVersionRegressed
		}
		slog.Info("discovery", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
		f.update(list)
		f.version = list.Seq
		answer.onHeartbeat = func() { f.update(EndpointList{Seq: f.version}) }
	}
}
