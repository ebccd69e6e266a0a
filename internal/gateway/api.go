// Package gateway makes the decisions of an HTTP gateway that enforces the plan of every customer of a shared back
// end: which requests are admitted, to which backend each attempt is sent, when to retry, and when to reject.
//
// The embedding program creates one Gateway with New and passes every event to Handle in order. It carries out the
// returned actions immediately and in order. The package reads no clock, does no I/O, takes no locks and has no global
// state: two gateways that are given the same seed and events return the same actions. A Gateway is not safe for
// concurrent use. All times are durations on one monotonic clock with an arbitrary origin.
//
// The files that contain the decisions are listed as policy in deploy/balancer.toml. Where their comments say that the
// specification prescribes a value or a rule, they mean the operators' specification of the ordinary path of a request.
package gateway

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// RequestID identifies one request of a client. A client retry is a new request with a new id; ids are never reused.
type RequestID uint64

// BackendID identifies a backend. A machine keeps its id when its process restarts.
type BackendID uint32

// CustomerID identifies a customer.
type CustomerID uint64

// Effect says whether a request of a class may be repeated.
type Effect uint8

// The effects of the requests of a class.
const (
	Safe         Effect = iota // may be repeated anywhere
	Deduplicated               // the backends of one DedupScope drop repeats within the class's DedupWindow
	Unsafe                     // must not run twice
)

// DedupScope says which backends share the record of request keys by which repeats are dropped.
type DedupScope uint8

// The scopes of a Deduplicated class.
const (
	ScopeAll  DedupScope = iota // every backend
	ScopeZone                   // the backends of one zone
	ScopeCell                   // the backends of one cell
)

// Class describes a class of requests.
type Class struct {
	Name           string
	Effect         Effect
	Scope          DedupScope    // where repeats of a Deduplicated class are dropped
	DedupWindow    time.Duration // how long repeats are dropped, from the first attempt that may have run
	TargetLatency  time.Duration // an answer within this latency has the full value
	Deadline       time.Duration // the longest that a client waits over a request and all its client retries
	Value          float64       // value of one unit that is answered within TargetLatency
	LateValueShare float64       // share of the value that an answer after TargetLatency has
	Streaming      bool          // answers begin (AnswerStarted) before they end
}

// Plan is what customers have bought. Its limits hold for each customer over all gateways together.
type Plan struct {
	Name             string
	Rate             float64 // quota: refill of the token bucket, units per second; 0: no such quota
	Burst            float64 // quota: size of the token bucket, units
	MaxInFlight      int     // quota: attempts that may be in flight at once; 0: no such quota
	ValueFactor      float64 // factor on the value of the customer's requests
	ExcessValueShare float64 // share of its value that a request admitted beyond the quota has
	ExcessCostShare  float64 // share of its value that admitting a request beyond the quota costs
	CeilingRate      float64 // hard ceiling: refill of its token bucket, units per second; 0: no ceiling
	CeilingBurst     float64 // hard ceiling: size of its token bucket, units
	CeilingSlack     float64 // hard ceiling: how far the bucket's level may fall below 0, units
}

// Settings is the configuration of a gateway.
type Settings struct {
	Gateways         int // number of gateways that share the back end
	Index            int // index of this gateway among them, from 0
	Zone             string
	Classes          []Class
	Plans            []Plan
	MeterPeriod      time.Duration // period over which the meter sums a customer's use; 0: no meter
	MaxRequestUnits  float64       // the most units that one request may cost
	MaxAttempts      int           // attempts allowed for one request
	ParallelAttempts bool          // two attempts of a request may be in flight at once
	CanCancel        bool          // attempts can be cancelled
	CanProbe         bool          // backends can be probed
	MaxRetryAfter    time.Duration // longest Retry-After that clients follow; 0: they follow none
	SubscribeToList  bool          // updates of the list of backends are sent on subscription only
	ListLease        time.Duration // how long a list is valid after discovery confirmed it; 0: forever
	LoadColumns      []string      // names of the numbers of a load report, in order
	LoadInAnswers    bool          // load reports come with answers as well as with probe results
	AnswerGrace      time.Duration // how long after a client's timeout a final answer still counts
	DrainGrace       time.Duration // how long attempts may still be sent to a draining backend
	ColdCapacity     float64       // least share of its full capacity that a backend has when it has just started
	WarmUpTime       time.Duration // time from its start until a backend has its full capacity
	OverloadMultiple float64       // multiple of its present capacity above which a cold backend is overloaded
	OverloadTime     time.Duration // how long it must be overloaded to suffer an overload failure
}

// Validate returns an error if a gateway cannot run with the settings.
func (s Settings) Validate() error {
	invalid := func(minimum float64, values ...float64) bool {
		return slices.ContainsFunc(values, func(v float64) bool { return !(v >= minimum) || math.IsInf(v, 0) })
	}
	if len(s.Classes) == 0 || len(s.Plans) == 0 || s.Gateways < 1 || s.MaxAttempts < 1 {
		return errors.New("settings need at least one class, plan, gateway and attempt")
	}
	if invalid(0, s.ColdCapacity, s.OverloadMultiple, s.MaxRequestUnits, float64(s.MeterPeriod),
		float64(s.WarmUpTime)) {
		return errors.New("the cold capacity, the overload multiple, the largest request, the meter period and the " +
			"warm-up time must be finite and at least 0")
	}
	for _, class := range s.Classes {
		if class.TargetLatency <= 0 || class.Deadline <= 0 ||
			invalid(0, class.Value, class.LateValueShare, float64(class.DedupWindow)) {
			return fmt.Errorf("class %q needs a target latency and a deadline above 0 and values of at least 0",
				class.Name)
		}
	}
	for _, plan := range s.Plans {
		if plan.Rate <= 0 && plan.MaxInFlight <= 0 && plan.CeilingRate <= 0 && plan.Burst > 0 ||
			plan.Rate > 0 && plan.Burst <= 0 ||
			invalid(0, plan.Rate, plan.Burst, plan.ValueFactor, plan.ExcessValueShare, plan.ExcessCostShare,
				plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack, float64(plan.MaxInFlight)) {
			return fmt.Errorf("plan %q needs a burst if it has a rate, none if it has no limit, and finite numbers of "+
				"at least 0", plan.Name)
		}
	}
	return nil
}

// Event is an input of a Gateway.
type Event interface{ isEvent() }

// Request is a request of a client. Unless the client leaves, it must get exactly one final answer.
type Request struct {
	ID           RequestID
	Customer     CustomerID
	Class        string
	Plan         string
	Units        float64       // cost of the request in units of the quota
	Timeout      time.Duration // how long the client waits for the answer to this request
	FirstGateway int           // index of the first of the consecutive gateways that the customer uses
	GatewayCount int           // number of gateways that the customer uses
	Overload     bool          // too many requests are in progress at this gateway: it must be rejected
}

// BackendState is the state of a backend in the list of backends.
type BackendState uint8

// The states of a backend.
const (
	Ready    BackendState = iota
	Draining              // completes its work; must not be sent anything new
	Gone                  // removed from the list
)

// BackendInfo is an entry of the list of backends.
type BackendInfo struct {
	ID          BackendID
	State       BackendState
	Zone        string
	MachineType string
	Cell        int
	Started     time.Duration // when its process last started; 0: long ago
	Weight      float64       // its relative capacity, as listed
}

// ListKind says what an update of the list of backends contains.
type ListKind uint8

// The kinds of list updates.
const (
	ListChanges ListKind = iota // the changed entries only
	ListFull                    // all entries; backends that are not among them are gone
	ListSaved                   // all entries as saved before a restart; may be stale
	ListFailed                  // the subscription failed; the previous list stays in use
)

// BackendList is an update of the list of backends. One of ListChanges without entries confirms the present list: at
// that moment nothing had changed.
type BackendList struct {
	Kind     ListKind
	Backends []BackendInfo
}

// ListExpiry limits how long the present list of backends may be used if discovery sends no list: after that no attempt
// begins before its next ListChanges or ListFull.
type ListExpiry struct{ After time.Duration }

// Result says how an attempt or a probe ended.
type Result uint8

// The results. Rejected, NoConnection and NotSent prove that the attempt never ran.
const (
	Answered         Result = iota // served
	AnsweredError                  // the backend answered with an error
	Rejected                       // rejected by the backend without running: it is full or draining
	TimedOut                       // no answer in time
	NoConnection                   // no connection could be established
	ConnectionBroken               // the connection broke while the attempt was in flight
	Cancelled                      // ended by the action Cancel
	NotSent                        // never left this gateway
	Unknown                        // not recognised; the attempt may have run
)

// Outcome reports the end of an attempt. Each Send gets exactly one.
type Outcome struct {
	Request  RequestID
	Backend  BackendID
	Attempt  int // index of the attempt among the request's sends, from 0
	Result   Result
	Duration time.Duration
	Final    bool // the request has ended and needs no final answer from the Gateway any more
	HasUsage bool // UsagePercent is set
	// UsagePercent is a reading of the meter: the customer's use over all gateways in the last metered period. It is
	// in percent of the rate of the customer's plan, or without a rate, the most attempts that were in flight at once
	// in percent of MaxInFlight.
	UsagePercent float64
	SettledUnits float64   // true cost in units, where it is settled after the request; else 0
	Load         []float64 // load report, in the order of Settings.LoadColumns, if there is one
}

// AnswerStarted reports that a streamed answer has begun. The attempt can no longer be replaced by another.
type AnswerStarted struct {
	Request RequestID
	Attempt int
}

// ClientGone reports that the client of a request has left. The request needs no final answer any more.
type ClientGone struct{ Request RequestID }

// ProbeResult reports the result of one Probe.
type ProbeResult struct {
	Backend  BackendID
	Result   Result
	Duration time.Duration
	Load     []float64 // load report, in the order of Settings.LoadColumns, if there is one
}

// Timer reports that the timer with this token has expired.
type Timer struct{ Token uint64 }

func (Request) isEvent()       {}
func (BackendList) isEvent()   {}
func (ListExpiry) isEvent()    {}
func (Outcome) isEvent()       {}
func (AnswerStarted) isEvent() {}
func (ClientGone) isEvent()    {}
func (ProbeResult) isEvent()   {}
func (Timer) isEvent()         {}

// Action is an output of a Gateway, to be carried out immediately and in order.
type Action interface{ isAction() }

// Send starts an attempt: the first one of a request, a retry, or a hedge.
type Send struct {
	Request     RequestID
	Backend     BackendID
	Timeout     time.Duration // 0: the attempt may take until the client leaves
	StartWithin time.Duration // an attempt that could not start within this time must not start; 0: no limit
}

// Reject is a final answer that tells the client that the request may safely be repeated.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: none is sent
}

// Fail is a final answer that does not say whether the request ran.
type Fail struct{ Request RequestID }

// Cancel cancels an attempt. Its Outcome still follows.
type Cancel struct {
	Request RequestID
	Attempt int
}

// SetTimer requests a Timer event with the token after the given time.
type SetTimer struct {
	After time.Duration
	Token uint64
}

// Probe requests a load report from a backend.
type Probe struct{ Backend BackendID }

// Subscribe subscribes to updates of the list of backends.
type Subscribe struct{}

func (Send) isAction()      {}
func (Reject) isAction()    {}
func (Fail) isAction()      {}
func (Cancel) isAction()    {}
func (SetTimer) isAction()  {}
func (Probe) isAction()     {}
func (Subscribe) isAction() {}
