package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"herontiller/internal/gateway"
)

// origin is how far before this process's start the gateway's clock begins, so that a backend that started before this
// process still has a start above 0. One that started even earlier counts as started long ago (0).
const origin = 24 * time.Hour

// clock gives the gateway its time: the duration since origin, by the monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return origin + time.Since(c.start) }

// unixMilli converts a Unix time in milliseconds to the gateway's clock; 0 stays "long ago".
func (c clock) unixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, origin+time.UnixMilli(ms).Sub(c.start))
}

// errDuplicateID rejects a request whose id is that of one still open.
var errDuplicateID = errors.New("a request with this id is open")

// finalResponse is the one final response to a request.
type finalResponse struct {
	kind       responseKind
	retryAfter time.Duration // of a rejection; 0: none is stated
	reply      *reply        // of a served request
}

type responseKind uint8

const (
	served responseKind = iota
	rejected
	failed
)

// openRequest is a request that the gateway knows of. It stays in the table until it has its final response and all of
// its attempts have ended.
type openRequest struct {
	id           gateway.RequestID
	msg          *message
	deadline     time.Time          // of its attempts
	response     chan finalResponse // receives the final response, unless the caller gives up first
	ended        bool
	attempts     []attempt
	attemptsOpen int // number of attempts that have not ended
}

// attempt holds the ways to end an open attempt: cancelUnsent ends one whose request is not written whole yet, cancel
// one in any state.
type attempt struct{ cancelUnsent, cancel context.CancelFunc }

// markEnded marks a request as ended. Attempts that have not been sent by now never are; those that have been go on or
// are cancelled as the settings allow.
func (c *openRequest) markEnded() {
	c.ended = true
	for _, a := range c.attempts {
		a.cancelUnsent()
	}
}

// decider is what the loop needs of the gateway.
type decider interface {
	Handle(now time.Duration, ev gateway.Event, actions []gateway.Action) []gateway.Action
}

// Loop owns the gateway. Under one lock it passes on events one after another and executes the resulting actions in
// order. Nothing that it does under the lock waits for I/O.
type Loop struct {
	clock    clock
	backends *Backends
	hasList  atomic.Bool // a list has been received since this process started

	mu       sync.Mutex
	closed   bool // events are dropped
	gateway  decider
	requests map[gateway.RequestID]*openRequest
	events   []gateway.Event  // not handled yet; executing an action may append one
	actions  []gateway.Action // reused for its memory
}

// leaseMargin bounds the time from discovery's write of a list to its handling here.
const leaseMargin = 250 * time.Millisecond

// listLease is how long a list may be used after a service has confirmed it: an attempt decided at the lease's end must
// have begun, on a new connection, before the staleness bound of what the service may have learned since. 0 means no
// lease: pushed lists have none, since what the agent has counts as known at once.
func listLease(c Config) time.Duration {
	if !c.Settings.SubscribeToList {
		return 0
	}
	return max(stalenessBound/2, stalenessBound-leaseMargin-c.Conns.Connect)
}

// NewLoop starts a gateway that knows the backends of the configuration. Errors are those of gateway.New.
func NewLoop(c Config, backends *Backends) (*Loop, error) {
	k := clock{time.Now()}
	settings := c.Settings
	settings.ListLease = listLease(c)
	decisions, err := gateway.New(settings, c.Seed, k.now())
	if err != nil {
		return nil, err
	}
	l := newLoop(k, decisions, backends)
	l.update(c.Known, gateway.ListSaved)
	return l, nil
}

func newLoop(k clock, decisions decider, backends *Backends) *Loop {
	return &Loop{clock: k, gateway: decisions, backends: backends, requests: map[gateway.RequestID]*openRequest{}}
}

// Update passes a list, or changes to it, from discovery to the gateway.
func (l *Loop) Update(list EndpointList) {
	kind := gateway.ListChanges
	if list.Whole {
		kind = gateway.ListFull
	}
	l.update(list, kind)
	l.hasList.Store(true)
}

func (l *Loop) update(list EndpointList, kind gateway.ListKind) {
	list.Hosts = validEndpoints(list.Hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle(gateway.BackendList{Kind: kind, Backends: l.backends.update(list, l.clock)})
}

// Serve passes a request to the gateway and waits for its final response. When ctx ends first, the request ends without
// one: the gateway is notified that the client has disconnected, and the context's error is returned. errDuplicateID is
// returned for a request whose id is open already.
func (l *Loop) Serve(ctx context.Context, req gateway.Request, msg *message) (finalResponse, error) {
	c := &openRequest{id: req.ID, msg: msg, deadline: time.Now().Add(req.Timeout), response: make(chan finalResponse, 1)}
	if err := l.begin(c, req); err != nil {
		return finalResponse{}, err
	}
	select {
	case a := <-c.response:
		return a, nil
	case <-ctx.Done():
		if l.abandon(c) {
			return finalResponse{}, ctx.Err()
		}
		return <-c.response, nil
	}
}

func (l *Loop) begin(c *openRequest, req gateway.Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests[c.id] != nil {
		return errDuplicateID
	}
	l.requests[c.id] = c
	l.handle(req)
	return nil
}

// abandon ends a request unless it has its final response, and reports whether it did.
func (l *Loop) abandon(c *openRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.ended {
		return false
	}
	c.markEnded()
	l.handle(gateway.ClientGone{Request: c.id})
	l.remove(c)
	return true
}

// handle passes one event to the gateway, and then those that its actions led to. The caller holds the lock.
func (l *Loop) handle(ev gateway.Event) {
	l.events = append(l.events, ev)
	for i := 0; i < len(l.events); i++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.events[i], l.actions[:0])
		for _, a := range l.actions {
			l.execute(a)
		}
	}
	l.events = l.events[:0]
}

func (l *Loop) execute(a gateway.Action) {
	switch a := a.(type) {
	case gateway.Send:
		l.send(a)
	case gateway.Reject:
		l.finish(a.Request, finalResponse{kind: rejected, retryAfter: a.RetryAfter})
	case gateway.Fail:
		l.finish(a.Request, finalResponse{kind: failed})
	case gateway.Cancel:
		if c := l.requests[a.Request]; c != nil && a.Attempt < len(c.attempts) {
			c.attempts[a.Attempt].cancel()
		}
	case gateway.SetTimer:
		time.AfterFunc(a.After, func() { l.post(gateway.Timer{Token: a.Token}) })
	case gateway.Probe:
		go func() { l.post(l.backends.probe(a.Backend)) }()
	case gateway.Subscribe: // discovery is always watched
	default:
		slog.Error("the gateway returned an unknown action", "action", fmt.Sprintf("%T", a))
	}
}

func (l *Loop) post(ev gateway.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.handle(ev)
	}
}

// Close drops all later timers and probe results, so that an unused loop costs nothing. It ends no request.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// send starts an attempt. One for a request that has ended is not sent, and reported as such.
func (l *Loop) send(a gateway.Send) {
	c := l.requests[a.Request]
	if c == nil {
		slog.Error("the gateway sent an unknown request", "request", a.Request)
		return
	}
	n := len(c.attempts)
	if c.ended {
		c.attempts = append(c.attempts, attempt{cancelUnsent: func() {}, cancel: func() {}})
		l.events = append(l.events, gateway.Outcome{Request: c.id, Backend: a.Backend, Attempt: n, Result: gateway.NotSent,
			Final: true})
		return
	}
	due := c.deadline
	if a.Timeout > 0 {
		if t := time.Now().Add(a.Timeout); t.Before(due) {
			due = t
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), due)
	unsent, cancelUnsent := context.WithCancel(ctx)
	if a.StartWithin > 0 {
		unsent, cancelUnsent = context.WithTimeout(ctx, a.StartWithin)
	}
	c.attempts = append(c.attempts, attempt{cancelUnsent: cancelUnsent, cancel: cancel})
	c.attemptsOpen++
	sent := l.clock.now()
	go func() {
		defer cancel() // and with it unsent, its child
		r := l.backends.send(ctx, unsent, a.Backend, c.msg)
		l.outcome(c, r, gateway.Outcome{Request: c.id, Backend: a.Backend, Attempt: n, Result: r.result,
			Duration: l.clock.now() - sent, HasUsage: r.hasUsage, UsagePercent: r.usage, Load: r.load})
	}()
}

// outcome ends an attempt and notifies the gateway. The first good response to a request goes to its client.
func (l *Loop) outcome(c *openRequest, r *reply, ev gateway.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.result == gateway.Answered {
		l.finish(c.id, finalResponse{kind: served, reply: r})
	}
	ev.Final = c.ended
	c.attemptsOpen--
	l.handle(ev)
	l.remove(c)
}

// finish gives a request its final response. Only the first one counts.
func (l *Loop) finish(id gateway.RequestID, a finalResponse) {
	c := l.requests[id]
	if c == nil || c.ended {
		return
	}
	c.markEnded()
	c.response <- a
	l.remove(c)
}

func (l *Loop) remove(c *openRequest) {
	if c.ended && c.attemptsOpen == 0 && l.requests[c.id] == c {
		delete(l.requests, c.id)
	}
}
