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

// clockOffset is the reading of the gateway's clock when this process starts. It is above 0 so that a backend that
// started up to this long before the process has a start time above 0. Earlier starts become 0, which means long ago.
const clockOffset = 24 * time.Hour

// clock is the gateway's clock. It is monotonic and shows clockOffset at start.
type clock struct{ start time.Time }

func (c clock) now() time.Duration { return clockOffset + time.Since(c.start) }

// unixMilli converts a Unix time in milliseconds to the gateway's clock; 0, which means long ago, remains 0.
func (c clock) unixMilli(ms int64) time.Duration {
	if ms == 0 {
		return 0
	}
	return max(0, clockOffset+time.UnixMilli(ms).Sub(c.start))
}

// errDuplicateRequestID rejects a request with the ID of another one that is still in progress.
var errDuplicateRequestID = errors.New("a request with this id is open")

// finalResponse is the response that a client receives to its request.
type finalResponse struct {
	kind       responseKind
	retryAfter time.Duration   // when rejected: the value of Retry-After; 0: no such header
	outcome    *attemptOutcome // when served: the attempt whose response is returned
}

// release gives back the memory of the response, which must have been written.
func (r *finalResponse) release() {
	if r.outcome != nil {
		r.outcome.release()
	}
}

// responseKind is the kind of a final response.
type responseKind uint8

const (
	served   responseKind = iota // a backend's successful response
	rejected                     // by the gateway
	failed                       // no attempt was successful
)

// pendingRequest is a request that was passed to the gateway. It stays in Loop.requests until it has its final response
// and all of its attempts have ended.
type pendingRequest struct {
	id               gateway.RequestID
	forwarded        *forwardedRequest
	deadline         time.Time          // for all attempts
	response         chan finalResponse // receives the final response, unless the client disconnects first
	ended            bool               // it has its final response, or its client has disconnected
	attempts         []attempt
	attemptsInFlight int
}

// attempt holds the functions that cancel an attempt in flight: cancelWrite cancels it unless its request has been
// written completely, cancel does so in any state.
type attempt struct{ cancelWrite, cancel context.CancelFunc }

// markEnded marks a request as ended and cancels the attempts that have not been sent yet. It is up to the gateway
// whether those that have been sent are cancelled.
func (p *pendingRequest) markEnded() {
	p.ended = true
	for _, a := range p.attempts {
		a.cancelWrite()
	}
}

// eventHandler is the part of gateway.Gateway that Loop uses.
type eventHandler interface {
	Handle(now time.Duration, event gateway.Event, actions []gateway.Action) []gateway.Action
}

// Loop owns the gateway. It passes events to it one at a time, under a lock, and executes the resulting actions in
// order. It doesn't wait for I/O while it holds the lock.
type Loop struct {
	clock    clock
	backends *Backends
	hasList  atomic.Bool // discovery has sent a list since this process started

	mu       sync.Mutex
	closed   bool // timers and probe results are dropped
	gateway  eventHandler
	requests map[gateway.RequestID]*pendingRequest
	events   []gateway.Event  // events to handle; executing an action may append one
	actions  []gateway.Action // buffer reused between events
}

// NewLoop returns a Loop with a new gateway that has the saved list of the configuration. Errors are those of
// gateway.New.
func NewLoop(config Config, backends *Backends) (*Loop, error) {
	gatewayClock := clock{time.Now()}
	settings := config.Settings
	settings.ListLease = listLease(config)
	handler, err := gateway.New(settings, config.Seed, gatewayClock.now())
	if err != nil {
		return nil, err
	}
	l := newLoop(gatewayClock, handler, backends)
	l.update(config.SavedList, gateway.ListSaved)
	l.expireList(savedListTime(config))
	return l, nil
}

func newLoop(gatewayClock clock, handler eventHandler, backends *Backends) *Loop {
	return &Loop{clock: gatewayClock, gateway: handler, backends: backends,
		requests: map[gateway.RequestID]*pendingRequest{}}
}

// Update passes a list, or changes to it, from discovery to the gateway.
func (l *Loop) Update(list EndpointList) {
	kind := gateway.ListChanges
	if list.Full {
		kind = gateway.ListFull
	}
	l.update(list, kind)
	l.hasList.Store(true)
}

// DiscoveryChanged limits the use of the present list, which was sent by a discovery that is no longer the gateway's.
// It is to be called after the last Update with a list of that discovery.
func (l *Loop) DiscoveryChanged() { l.expireList(reloadBound) }

// expireList limits the use of the present list to the given time, unless discovery sends a list before.
func (l *Loop) expireList(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle(gateway.ListExpiry{After: after})
}

func (l *Loop) update(list EndpointList, kind gateway.ListKind) {
	list.Endpoints = validEndpoints(list.Endpoints)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handle(gateway.BackendList{Kind: kind, Backends: l.backends.update(list, l.clock)})
}

// Serve passes a request to the gateway and returns its final response, which the caller must release. It releases the
// request's body when no attempt needs it any more. If ctx ends first, the request ends without a
// response: Serve notifies the gateway that the client has disconnected, and returns the context's error. If another
// request with the same ID is in progress, Serve returns errDuplicateRequestID.
func (l *Loop) Serve(ctx context.Context, req gateway.Request, forwarded *forwardedRequest) (finalResponse, error) {
	pending := &pendingRequest{id: req.ID, forwarded: forwarded, deadline: time.Now().Add(req.Timeout),
		response: make(chan finalResponse, 1)}
	if err := l.register(pending, req); err != nil {
		forwarded.body.Release()
		return finalResponse{}, err
	}
	select {
	case response := <-pending.response:
		return response, nil
	case <-ctx.Done():
		if l.abandon(pending) {
			return finalResponse{}, ctx.Err()
		}
		return <-pending.response, nil
	}
}

// register adds a request to Loop.requests and passes it to the gateway.
func (l *Loop) register(pending *pendingRequest, req gateway.Request) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requests[pending.id] != nil {
		return errDuplicateRequestID
	}
	l.requests[pending.id] = pending
	l.handle(req)
	return nil
}

// abandon ends a request whose client has disconnected or timed out. It reports false if the request already has its
// final response.
func (l *Loop) abandon(pending *pendingRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if pending.ended {
		return false
	}
	pending.markEnded()
	l.handle(gateway.ClientGone{Request: pending.id})
	l.removeIfDone(pending)
	return true
}

// handle passes an event to the gateway, followed by the events that result from its actions. The caller must hold the
// lock.
func (l *Loop) handle(event gateway.Event) {
	l.events = append(l.events, event)
	for i := 0; i < len(l.events); i++ {
		l.actions = l.gateway.Handle(l.clock.now(), l.events[i], l.actions[:0])
		for _, action := range l.actions {
			l.execute(action)
		}
	}
	l.events = l.events[:0]
}

func (l *Loop) execute(action gateway.Action) {
	switch action := action.(type) {
	case gateway.Send:
		l.startAttempt(action)
	case gateway.Reject:
		l.respond(action.Request, finalResponse{kind: rejected, retryAfter: action.RetryAfter})
	case gateway.Fail:
		l.respond(action.Request, finalResponse{kind: failed})
	case gateway.Cancel:
		if pending := l.requests[action.Request]; pending != nil && action.Attempt < len(pending.attempts) {
			pending.attempts[action.Attempt].cancel()
		}
	case gateway.SetTimer:
		time.AfterFunc(action.After, func() { l.post(gateway.Timer{Token: action.Token}) })
	case gateway.Probe:
		go func() { l.post(l.backends.probe(action.Backend)) }()
	case gateway.Subscribe: // discovery is always watched
	default:
		slog.Error("ignored an action of unknown type from the gateway", "action", fmt.Sprintf("%T", action))
	}
}

// post passes an event to the gateway unless the loop is closed.
func (l *Loop) post(event gateway.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.handle(event)
	}
}

// Close makes the loop drop all later timers and probe results, so that it uses no CPU once it has no requests. It does
// not end requests in progress.
func (l *Loop) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// startAttempt starts an attempt. If the request has already ended, it sends nothing and reports the attempt as not
// sent.
func (l *Loop) startAttempt(action gateway.Send) {
	pending := l.requests[action.Request]
	if pending == nil {
		slog.Error("ignored an attempt for an unknown request from the gateway", "request", action.Request)
		return
	}
	index := len(pending.attempts)
	if pending.ended {
		pending.attempts = append(pending.attempts, attempt{cancelWrite: func() {}, cancel: func() {}})
		l.events = append(l.events, gateway.Outcome{Request: pending.id, Backend: action.Backend, Attempt: index,
			Result: gateway.NotSent, Final: true})
		return
	}
	deadline := pending.deadline
	if action.Timeout > 0 {
		if t := time.Now().Add(action.Timeout); t.Before(deadline) {
			deadline = t
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	writeCtx, cancelWrite := context.WithCancel(ctx)
	if action.StartWithin > 0 {
		writeCtx, cancelWrite = context.WithTimeout(ctx, action.StartWithin)
	}
	pending.attempts = append(pending.attempts, attempt{cancelWrite: cancelWrite, cancel: cancel})
	pending.attemptsInFlight++
	startedAt := l.clock.now()
	go func() {
		defer cancel() // ends writeCtx as well, which is derived from ctx
		outcome := l.backends.send(ctx, writeCtx, action.Backend, pending.forwarded)
		l.endAttempt(pending, outcome, gateway.Outcome{Request: pending.id, Backend: action.Backend, Attempt: index,
			Result: outcome.result, Duration: l.clock.now() - startedAt, HasUsage: outcome.hasUsage,
			UsagePercent: outcome.usage, Load: outcome.load})
	}()
}

// endAttempt records that an attempt has ended and notifies the gateway. The first successful response to a request
// becomes its final response.
func (l *Loop) endAttempt(pending *pendingRequest, outcome *attemptOutcome, event gateway.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if outcome.result != gateway.Answered || !l.respond(pending.id, finalResponse{kind: served, outcome: outcome}) {
		outcome.release()
	}
	event.Final = pending.ended
	pending.attemptsInFlight--
	l.handle(event)
	l.removeIfDone(pending)
}

// respond sets the final response to a request. It does nothing and reports false if the request already has one or has
// been abandoned.
func (l *Loop) respond(id gateway.RequestID, response finalResponse) bool {
	pending := l.requests[id]
	if pending == nil || pending.ended {
		return false
	}
	pending.markEnded()
	pending.response <- response
	l.removeIfDone(pending)
	return true
}

// removeIfDone removes a request from Loop.requests, and releases its body, once it has ended and has no attempts in
// flight.
func (l *Loop) removeIfDone(pending *pendingRequest) {
	if pending.ended && pending.attemptsInFlight == 0 && l.requests[pending.id] == pending {
		delete(l.requests, pending.id)
		pending.forwarded.body.Release()
	}
}
