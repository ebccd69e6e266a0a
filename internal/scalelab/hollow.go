package scalelab

import (
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// Only this file and fixture.go import the decision module, package gateway. The other files use the aliases below.
type (
	// Request is a request of a client.
	Request = gateway.Request
	// RequestID identifies a request.
	RequestID = gateway.RequestID
	// Outcome reports how one attempt ended.
	Outcome = gateway.Outcome
	// BackendInfo is one entry of the list of backends.
	BackendInfo = gateway.BackendInfo
	// BackendID identifies a backend.
	BackendID = gateway.BackendID
	// CustomerID identifies a customer.
	CustomerID = gateway.CustomerID
	// Settings are a gateway's settings.
	Settings = gateway.Settings
	// Plan holds the quota and ceiling of the customers on a plan.
	Plan = gateway.Plan
)

// Attempt is one attempt that a hollow gateway decided to send.
type Attempt struct {
	Request Request
	Backend BackendID
	Number  int // of the request's attempts, from 0
}

// Host carries out the decisions of a hollow gateway.
type Host interface {
	// Send sends an attempt to its backend.
	Send(hollow *HollowGateway, attempt Attempt)
	// Reject ends a request that the gateway rejected or that failed.
	Reject(hollow *HollowGateway, request Request)
	// SetTimer calls HandleTimer with the token after the delay.
	SetTimer(hollow *HollowGateway, delay time.Duration, token uint64)
}

// HollowGateway is a real decision module without sockets. Its methods pass events to the module, and the host carries
// out the resulting actions.
type HollowGateway struct {
	Number   int
	module   *gateway.Gateway
	host     Host
	actions  []gateway.Action // reused for the actions of the next event
	inFlight map[RequestID]*inFlightRequest
}

// inFlightRequest is a request without a final outcome, with the number of its attempts so far.
type inFlightRequest struct {
	request  Request
	attempts int
}

// NewHollowGateway creates a hollow gateway with an empty list of backends.
func NewHollowGateway(number int, settings Settings, seed uint64, now time.Duration,
	host Host) (*HollowGateway, error) {
	settings.Index = number
	module, err := gateway.New(settings, seed, now)
	if err != nil {
		return nil, fmt.Errorf("hollow gateway %d: %w", number, err)
	}
	return &HollowGateway{Number: number, module: module, host: host, inFlight: map[RequestID]*inFlightRequest{}}, nil
}

// ApplyList replaces the full list of backends.
func (h *HollowGateway) ApplyList(now time.Duration, backends []BackendInfo) {
	h.handle(now, gateway.BackendList{Kind: gateway.ListFull, Backends: backends})
}

// ApplyChanges applies changed entries of the list of backends.
func (h *HollowGateway) ApplyChanges(now time.Duration, backends []BackendInfo) {
	h.handle(now, gateway.BackendList{Kind: gateway.ListChanges, Backends: backends})
}

// HandleRequest handles a new request of a client.
func (h *HollowGateway) HandleRequest(now time.Duration, request Request) {
	h.inFlight[request.ID] = &inFlightRequest{request: request}
	h.handle(now, request)
}

// HandleAnswer ends an attempt with a successful answer that carries the meter's reading, in percent of the customer's
// rate.
func (h *HollowGateway) HandleAnswer(now time.Duration, attempt Attempt, duration time.Duration, usePercent float64) {
	delete(h.inFlight, attempt.Request.ID)
	h.handle(now, Outcome{Request: attempt.Request.ID, Backend: attempt.Backend, Attempt: attempt.Number,
		Result: gateway.Answered, Duration: duration, Final: true, HasUsage: true, UsagePercent: usePercent})
}

// HandleConnectFailure ends an attempt whose connection could not be established.
func (h *HollowGateway) HandleConnectFailure(now time.Duration, attempt Attempt) {
	h.handle(now, Outcome{Request: attempt.Request.ID, Backend: attempt.Backend, Attempt: attempt.Number,
		Result: gateway.NoConnection})
}

// HandleTimer handles a timer that has fired. Token 0 is the tick that is due once per second.
func (h *HollowGateway) HandleTimer(now time.Duration, token uint64) {
	h.handle(now, gateway.Timer{Token: token})
}

// handle passes an event to the decision module and executes the resulting actions.
func (h *HollowGateway) handle(now time.Duration, event gateway.Event) {
	actions := h.module.Handle(now, event, h.actions[:0])
	h.actions = nil // an action may cause another event, which must not reuse the slice
	for _, action := range actions {
		h.execute(action)
	}
	h.actions = actions
}

// execute passes an action to the host.
func (h *HollowGateway) execute(action gateway.Action) {
	switch action := action.(type) {
	case gateway.Send:
		request := h.inFlight[action.Request]
		number := request.attempts
		request.attempts++
		h.host.Send(h, Attempt{Request: request.request, Backend: action.Backend, Number: number})
	case gateway.Reject:
		h.reject(action.Request)
	case gateway.Fail:
		h.reject(action.Request)
	case gateway.SetTimer:
		h.host.SetTimer(h, action.After, action.Token)
	}
}

// reject passes a rejected or failed request to the host, unless the request has ended.
func (h *HollowGateway) reject(id RequestID) {
	if request := h.inFlight[id]; request != nil {
		delete(h.inFlight, id)
		h.host.Reject(h, request.request)
	}
}
