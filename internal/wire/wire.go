// Package wire translates between the lines of the simulator's wire and the types of package gateway.
package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"herontiller/internal/gateway"
)

// MaxTimer is the longest timer that the wire takes; longer ones are shortened to it.
const MaxTimer = 71 * time.Minute

// Message is one decoded line from the simulator. At most one of Start, Stop and Event is set, besides the
// frame marks; a message that the library has no use for sets none.
type Message struct {
	Clock    bool          // a batch begins at At
	At       time.Duration // the batch's clock
	End      bool          // the batch ends
	Instance int
	Start    *Start
	Stop     bool
	Event    gateway.Event
}

// Start begins an instance.
type Start struct {
	Seed     uint64
	Settings gateway.Settings
}

// rawMessage is a line as it stands on the wire: the union of the fields of all kinds of messages, under the names of
// package gateway. Times are in microseconds.
type rawMessage struct {
	Kind          string          `json:"m"`
	AtUS          *int64          `json:"at_time_us"`
	Instance      *int            `json:"door"`
	Seed          uint64          `json:"random_seed"`
	Params        json.RawMessage `json:"params"`
	Mode          string          `json:"mode"`
	Entries       []listEntry     `json:"elements"`
	Request       *string         `json:"txn"`
	Spread        float64         `json:"spread"`
	FirstInstance float64         `json:"first_door"`
	Plan          string          `json:"terms"`
	Class         string          `json:"grade"`
	Patience      int64           `json:"grace_us"`
	Units         float64         `json:"cost_units"`
	Customer      uint64          `json:"caller"`
	Took          int64           `json:"duration_us"`
	Attempt       int             `json:"try"`
	UsePlusOne    int64           `json:"seen_use"` // percent and 1; 0: not known
	Backend       *uint32         `json:"backend"`
	Result        string          `json:"rc"`
	Final         bool            `json:"last"`
	SettledUnits  float64         `json:"settled"`
	Load          []float64       `json:"health_info"`
	TimerToken    *uint64         `json:"ref"`
}

// listEntry is a backend in a list.
type listEntry struct {
	Power   float64 `json:"power_hint"`
	Health  string  `json:"health"`
	Zone    string  `json:"az"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	Boot    int64   `json:"boot_time_us"`
	Backend *uint32 `json:"backend"`
}

// The wire's words for the constants of package gateway.

var results = map[string]gateway.Result{
	"delivered": gateway.Answered, "app_error": gateway.AnsweredError, "shed": gateway.Rejected, "expired": gateway.TimedOut,
	"dial_failed": gateway.NoConnection, "dropped": gateway.ConnectionBroken, "revoked": gateway.Cancelled, "unused": gateway.NotSent,
}

var states = map[string]gateway.BackendState{"healthy": gateway.Ready, "cordoned": gateway.Draining, "deregistered": gateway.Gone}

var modes = map[string]gateway.ListKind{
	"INCREMENTAL": gateway.ListChanges, "FULL": gateway.ListFull, "SAVED": gateway.ListSaved, "FAILED": gateway.ListFailed,
}

// micros is a time of the wire, in microseconds; what does not fit is cut to what does.
func micros(v int64) time.Duration {
	if v > math.MaxInt64/1000 {
		v = math.MaxInt64 / 1000
	}
	if v < math.MinInt64/1000 {
		v = math.MinInt64 / 1000
	}
	return time.Duration(v) * time.Microsecond
}

// Decode reads one line. It refuses what is malformed and skips what it does not know.
func Decode(text []byte) (Message, error) {
	var l rawMessage
	var m Message
	if err := json.Unmarshal(text, &l); err != nil {
		return m, fmt.Errorf("not a message: %w", err)
	}
	var err error
	switch l.Kind {
	case "":
		return m, errors.New("a message without a name")
	case "clock":
		if l.AtUS == nil {
			return m, errors.New("a clock line without a time")
		}
		m.Clock, m.At = true, micros(*l.AtUS)
		return m, nil
	case "eob":
		m.End = true
		return m, nil
	}
	if l.Instance == nil {
		return m, fmt.Errorf("%s without an instance", l.Kind)
	}
	m.Instance = *l.Instance
	switch l.Kind {
	case "boot":
		m.Start, err = decodeStart(l)
	case "detach":
		m.Stop = true
	default:
		m.Event, err = decodeEvent(l)
	}
	return m, err
}

// decodeEvent reads an event of an instance; nil for a kind that it does not know.
func decodeEvent(l rawMessage) (gateway.Event, error) {
	switch l.Kind {
	case "targets":
		return decodeList(l)
	case "call":
		return decodeRequest(l)
	case "closed_attempt":
		return decodeOutcome(l)
	case "established":
		id, err := requestID(l)
		return gateway.AnswerStarted{Request: id, Attempt: l.Attempt}, err
	case "client_left":
		id, err := requestID(l)
		return gateway.ClientGone{Request: id}, err
	case "sampled":
		return decodeProbeResult(l)
	case "reminder":
		if l.TimerToken == nil {
			return nil, errors.New("reminder without a ref")
		}
		return gateway.Timer{Token: *l.TimerToken}, nil
	}
	return nil, nil
}

func decodeProbeResult(l rawMessage) (gateway.Event, error) {
	if l.Backend == nil {
		return nil, errors.New("sampled without a backend")
	}
	return gateway.ProbeResult{Backend: gateway.BackendID(*l.Backend), Result: result(l.Result), Duration: micros(l.Took),
		Load: l.Load}, nil
}

// result is the attempt result of a code; Unknown for one that is not known.
func result(code string) gateway.Result {
	if r, ok := results[code]; ok {
		return r
	}
	return gateway.Unknown
}

// requestID reads a request id: 16 lower-case hexadecimal digits.
func requestID(l rawMessage) (gateway.RequestID, error) {
	if l.Request == nil || len(*l.Request) != 16 {
		return 0, fmt.Errorf("%s without a request id of 16 hex digits", l.Kind)
	}
	v, err := strconv.ParseUint(*l.Request, 16, 64)
	if err != nil || formatID(gateway.RequestID(v)) != *l.Request {
		return 0, fmt.Errorf("%s with the request id %q", l.Kind, *l.Request)
	}
	return gateway.RequestID(v), nil
}

func formatID(id gateway.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

func decodeRequest(l rawMessage) (gateway.Event, error) {
	id, err := requestID(l)
	return gateway.Request{ID: id, Customer: gateway.CustomerID(l.Customer), Class: l.Class, Plan: l.Plan,
		Units: l.Units, Timeout: micros(l.Patience), FirstGateway: int(l.FirstInstance), GatewayCount: int(l.Spread)}, err
}

func decodeOutcome(l rawMessage) (gateway.Event, error) {
	id, err := requestID(l)
	if err == nil && l.Backend == nil {
		err = errors.New("an outcome without a backend")
	}
	if err != nil {
		return nil, err
	}
	return gateway.Outcome{Request: id, Backend: gateway.BackendID(*l.Backend), Attempt: l.Attempt, Result: result(l.Result),
		Duration: micros(l.Took), Final: l.Final, HasUsage: l.UsePlusOne > 0, UsagePercent: float64(l.UsePlusOne - 1), SettledUnits: l.SettledUnits,
		Load: l.Load}, nil
}

func decodeList(l rawMessage) (gateway.Event, error) {
	kind, ok := modes[l.Mode]
	if !ok {
		return nil, fmt.Errorf("a list of unknown kind %q", l.Mode)
	}
	out := gateway.BackendList{Kind: kind}
	for _, e := range l.Entries {
		state, ok := states[e.Health]
		if !ok || e.Backend == nil {
			return nil, fmt.Errorf("a list entry without a backend or with the state %q", e.Health)
		}
		out.Backends = append(out.Backends, gateway.BackendInfo{ID: gateway.BackendID(*e.Backend), State: state,
			Zone: e.Zone, MachineType: e.Kind, Cell: e.Cell, Started: micros(e.Boot), Weight: e.Power})
	}
	return out, nil
}

func decodeStart(l rawMessage) (*Start, error) {
	if len(l.Params) == 0 {
		return nil, errors.New("boot without settings")
	}
	s, _, err := DecodeSettings(l.Params)
	if err != nil {
		return nil, err
	}
	return &Start{Seed: l.Seed, Settings: s}, nil
}

// AppendAction writes one action of an instance as a line.
func AppendAction(b *bytes.Buffer, instance int, a gateway.Action) {
	switch a := a.(type) {
	case gateway.Send:
		fmt.Fprintf(b, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, instance,
			formatID(a.Request), a.Timeout.Microseconds(), a.Backend)
	case gateway.Reject:
		fmt.Fprintf(b, `{"m":"reject","door":%d,"txn":"%s","not_before_for_us":%d}`, instance,
			formatID(a.Request), a.RetryAfter.Microseconds())
	case gateway.Fail:
		fmt.Fprintf(b, `{"m":"surrender","door":%d,"txn":"%s"}`, instance, formatID(a.Request))
	case gateway.Cancel:
		fmt.Fprintf(b, `{"m":"recall","door":%d,"txn":"%s","try":%d}`, instance, formatID(a.Request), a.Attempt)
	case gateway.SetTimer:
		fmt.Fprintf(b, `{"m":"timer","door":%d,"from_now_us":%d,"ref":%d}`, instance,
			min(max(a.After, 0), MaxTimer).Microseconds(), a.Token)
	case gateway.Probe:
		fmt.Fprintf(b, `{"m":"poll","door":%d,"backend":%d}`, instance, a.Backend)
	case gateway.Subscribe:
		fmt.Fprintf(b, `{"m":"follow","door":%d,"want":true}`, instance)
	default:
		return
	}
	b.WriteByte('\n')
}

// AppendEnd writes the end of a reply.
func AppendEnd(b *bytes.Buffer) { b.WriteString("{\"m\":\"eor\"}\n") }
