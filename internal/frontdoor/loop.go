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

// origin is how far before this process's start the gateway's clock begins, so that a backend's start before
// ours is still a time above 0. One that started even earlier started long ago.
const origin = 24 * time.Hour

// clock is the gateway's: durations since origin, by the monotonic clock.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return origin + time.Since(c.start) }

// unixMilli turns a Unix time into the gateway's; 0 stays "long ago".
func (c clock) unixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, origin+time.UnixMilli(ms).Sub(c.start))
}

// errDuplicateID refuses a request whose id is that of one still open.
var errDuplicateID = errors.New("a request with this id is open")

// finalResponse is the one final answer to a request.
type finalResponse struct {
	kind       responseKind
	retryAfter time.Duration // of a refusal; 0: no advice
	reply      *reply        // of a served request
}

type responseKind uint8

const (
	served responseKind = iota
	rejected
	failed
)

// openRequest is a request that was taken in. It stays in the table until it has its final answer and all of its
// attempts have ended.
type openRequest struct {
	id           gateway.RequestID
	msg          *message
	deadline     time.Time          // attempts end by then
	response     chan finalResponse // takes the final answer, if there is one before the caller leaves
	ended        bool
	attempts     []attempt
	attemptsOpen int // attempts that have not ended
}

// attempt is what can be done about an attempt that is out: unsend ends one of which nothing has been written whole,
// and cancel one in any state.
type attempt struct{ cancelUnsent, cancel context.CancelFunc }

// markEnded marks a request as ended. What has not left this front door by now never does, whatever the settings allow of
// attempts that have.
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

// Loop owns the gateway. Under one lock it passes on what happens, one event after another, and carries out
// the actions in order. Nothing that it does under the lock waits for I/O.
type Loop struct {
	clock    clock
	backends *Backends
	hasList  atomic.Bool // discovery has told a list since this process started

	mu       sync.Mutex
	closed   bool // no event is handled any more
	gateway  decider
	requests map[gateway.RequestID]*openRequest
	events   []gateway.Event  // not yet handled; an action may add to them
	actions  []gateway.Action // kept for its memory
}

// leaseMargin is what may go by between discovery's writing of a word and the moment in which it is taken in here.
const leaseMargin = 250 * time.Millisecond

// listLease is for how long a list that a service has confirmed may be gone by: an attempt that is decided upon at its
// end must have begun, on a new connection, before what the service may have had since counts as told. Lists that are
// pushed need none: what the agent has counts as told whatever is known here.
func listLease(c Config) time.Duration {
	if !c.Settings.AskForList {
		return 0
	}
	return max(stalenessBound/2, stalenessBound-leaseMargin-c.Conns.Connect)
}

// NewLoop starts a gateway that knows the backends of the configuration.
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

// Update takes in news from discovery.
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

// Serve passes a request to the gateway and waits for its final answer. When ctx ends first, the request has
// ended without one: the gateway is told that the client has gone, and the context's error comes back.
func (l *Loop) Serve(ctx context.Context, req gateway.Request, msg *message) (finalResponse, error) {
	c := &openRequest{id: req.ID, msg: msg, deadline: time.Now().Add(req.Patience), response: make(chan finalResponse, 1)}
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

// abandon ends a request unless it has had its final answer.
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

// handle passes one event to the gateway, and then those that its actions led to. It wants the lock.
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
	case gateway.Refuse:
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
	case gateway.Subscribe: // discovery is always followed
	default:
		slog.Error("the gateway asked for something unknown", "action", fmt.Sprintf("%T", a))
	}
}

func (l *Loop) post(ev gateway.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.handle(ev)
	}
}

// Close ends the gateway's timers, so that a loop of which nothing is wanted any more costs nothing. It ends no request.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// send starts an attempt. One for a request that has ended is not sent.
func (l *Loop) send(a gateway.Send) {
	c := l.requests[a.Request]
	if c == nil {
		slog.Error("the gateway sent a request that is not here", "request", a.Request)
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
	if a.Within > 0 {
		unsent, cancelUnsent = context.WithTimeout(ctx, a.Within)
	}
	c.attempts = append(c.attempts, attempt{cancelUnsent: cancelUnsent, cancel: cancel})
	c.attemptsOpen++
	sent := l.clock.now()
	go func() {
		defer cancel() // and unsent with it
		r := l.backends.send(ctx, unsent, a.Backend, c.msg)
		l.outcome(c, r, gateway.Outcome{Request: c.id, Backend: a.Backend, Attempt: n, Result: r.result,
			Took: l.clock.now() - sent, HasUse: r.hasUsage, Use: r.usage, Load: r.load})
	}()
}

// outcome ends an attempt. The first good answer of a request goes to its client.
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

// finish gives a request its final answer. Only the first one counts.
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
