package scalelab

import (
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// This file and fixture.go are the only ones that know the decision module; the others use the names below.
type (
	// Request is a client's request.
	Request = gateway.Request
	// RequestID names a request.
	RequestID = gateway.RequestID
	// Outcome ends one attempt.
	Outcome = gateway.Outcome
	// BackendInfo is one entry of the list of backends.
	BackendInfo = gateway.BackendInfo
	// BackendID names a backend.
	BackendID = gateway.BackendID
	// CustomerID names a customer.
	CustomerID = gateway.CustomerID
	// Settings are a gateway's settings.
	Settings = gateway.Settings
	// Plan is a customer's plan.
	Plan = gateway.Plan
)

// Attempt is one attempt that a hollow gateway has asked for.
type Attempt struct {
	Request Request
	Backend BackendID
	Number  int
}

// Surroundings carry out what a hollow gateway decides.
type Surroundings interface {
	Send(from *HollowGateway, attempt Attempt)
	Reject(from *HollowGateway, request Request)
	SetTimer(from *HollowGateway, after time.Duration, token uint64)
}

// HollowGateway is a real decision module without sockets: events in, actions to its surroundings.
type HollowGateway struct {
	Number       int
	module       *gateway.Gateway
	surroundings Surroundings
	actions      []gateway.Action
	open         map[RequestID]*openRequest
}

type openRequest struct {
	request  Request
	attempts int
}

// NewHollowGateway starts a decision module that knows no backends.
func NewHollowGateway(number int, settings Settings, seed uint64, now time.Duration, surroundings Surroundings) (*HollowGateway, error) {
	settings.Index = number
	module, err := gateway.New(settings, seed, now)
	if err != nil {
		return nil, fmt.Errorf("hollow gateway %d: %w", number, err)
	}
	return &HollowGateway{Number: number, module: module, surroundings: surroundings, open: map[RequestID]*openRequest{}}, nil
}

// TakeList replaces the whole list of backends.
func (h *HollowGateway) TakeList(now time.Duration, backends []BackendInfo) {
	h.handle(now, gateway.BackendList{Kind: gateway.ListFull, Backends: backends})
}

// TakeChanges takes in the entries of the list that changed.
func (h *HollowGateway) TakeChanges(now time.Duration, backends []BackendInfo) {
	h.handle(now, gateway.BackendList{Kind: gateway.ListChanges, Backends: backends})
}

// Ask brings a client's request.
func (h *HollowGateway) Ask(now time.Duration, request Request) {
	h.open[request.ID] = &openRequest{request: request}
	h.handle(now, request)
}

// Finish ends an attempt with a good answer that carries the meter's reading, in percent of the customer's rate.
func (h *HollowGateway) Finish(now time.Duration, attempt Attempt, took time.Duration, use float64) {
	delete(h.open, attempt.Request.ID)
	h.handle(now, Outcome{Request: attempt.Request.ID, Backend: attempt.Backend, Attempt: attempt.Number,
		Result: gateway.Answered, Duration: took, Final: true, HasUsage: true, UsagePercent: use})
}

// Unreachable ends an attempt whose connection could not be made.
func (h *HollowGateway) Unreachable(now time.Duration, attempt Attempt) {
	h.handle(now, Outcome{Request: attempt.Request.ID, Backend: attempt.Backend, Attempt: attempt.Number,
		Result: gateway.NoConnection})
}

// Fire brings a timer that has come due. Token 0 is the second's tick.
func (h *HollowGateway) Fire(now time.Duration, token uint64) {
	h.handle(now, gateway.Timer{Token: token})
}

func (h *HollowGateway) handle(now time.Duration, event gateway.Event) {
	actions := h.module.Handle(now, event, h.actions[:0])
	h.actions = nil // an action may lead to the next event
	for _, action := range actions {
		h.carryOut(action)
	}
	h.actions = actions
}

func (h *HollowGateway) carryOut(action gateway.Action) {
	switch action := action.(type) {
	case gateway.Send:
		request := h.open[action.Request]
		number := request.attempts
		request.attempts++
		h.surroundings.Send(h, Attempt{Request: request.request, Backend: action.Backend, Number: number})
	case gateway.Reject:
		h.reject(action.Request)
	case gateway.Fail:
		h.reject(action.Request)
	case gateway.SetTimer:
		h.surroundings.SetTimer(h, action.After, action.Token)
	}
}

func (h *HollowGateway) reject(id RequestID) {
	if request := h.open[id]; request != nil {
		delete(h.open, id)
		h.surroundings.Reject(h, request.request)
	}
}
