// Package wire translates between the simulator's line protocol and the types of package gateway: it decodes messages
// and settings, and encodes actions. Each line is one JSON object. Messages come in batches, from a clock line to an
// end-of-batch line, and each batch gets one reply, which ends with an end-of-reply line.
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

// MaxTimerDelay is the longest timer that the protocol accepts. Longer timers are shortened to it.
const MaxTimerDelay = 71 * time.Minute

// Message is one decoded line from the simulator. At most one of BatchStart, BatchEnd, InstanceStart, InstanceStop and
// Event is set. None is set for a kind of message that package gateway does not use.
type Message struct {
	BatchStart    bool          // a batch begins; BatchTime is set
	BatchTime     time.Duration // the current time in the batch
	BatchEnd      bool          // the batch ends
	Instance      int           // the instance that the message is for
	InstanceStart *InstanceStart
	InstanceStop  bool // the instance ends
	Event         gateway.Event
}

// InstanceStart holds what an instance starts with.
type InstanceStart struct {
	Seed     uint64
	Settings gateway.Settings
}

// rawMessage is the JSON form of a line. It is the union of the fields of all kinds of messages. Times are in
// microseconds. Fields are pointers where a missing value must be distinguished from zero.
type rawMessage struct {
	Kind          string          `json:"m"`
	Time          *int64          `json:"at_time_us"`
	Instance      *int            `json:"door"`
	Seed          uint64          `json:"random_seed"`
	Settings      json.RawMessage `json:"params"`
	ListKind      string          `json:"mode"`
	Entries       []listEntry     `json:"elements"`
	RequestID     *string         `json:"txn"`
	GatewayCount  float64         `json:"spread"`     // number of gateways that the customer uses
	FirstGateway  float64         `json:"first_door"` // index of the first of them
	Plan          string          `json:"terms"`
	Class         string          `json:"grade"`
	ClientTimeout int64           `json:"grace_us"`
	Units         float64         `json:"cost_units"`
	Customer      uint64          `json:"caller"`
	Duration      int64           `json:"duration_us"`
	Attempt       int             `json:"try"`
	UsagePlusOne  int64           `json:"seen_use"` // percent plus 1; 0 if the use is unknown
	Backend       *uint32         `json:"backend"`
	Result        string          `json:"rc"`
	Final         bool            `json:"last"`
	SettledUnits  float64         `json:"settled"`
	Load          []float64       `json:"health_info"`
	TimerToken    *uint64         `json:"ref"`
}

// listEntry is the JSON form of a backend in a list.
type listEntry struct {
	Weight      float64 `json:"power_hint"`
	State       string  `json:"health"`
	Zone        string  `json:"az"`
	MachineType string  `json:"kind"`
	Cell        int     `json:"cell"`
	Started     int64   `json:"boot_time_us"`
	Backend     *uint32 `json:"backend"`
}

// resultsByCode maps the result codes of the protocol to the constants of package gateway.
var resultsByCode = map[string]gateway.Result{
	"delivered": gateway.Answered, "app_error": gateway.AnsweredError, "shed": gateway.Rejected,
	"expired": gateway.TimedOut, "dial_failed": gateway.NoConnection, "dropped": gateway.ConnectionBroken,
	"revoked": gateway.Cancelled, "unused": gateway.NotSent,
}

// backendStates maps the backend states of the protocol to the constants of package gateway.
var backendStates = map[string]gateway.BackendState{"healthy": gateway.Ready, "cordoned": gateway.Draining,
	"deregistered": gateway.Gone}

// listKinds maps the kinds of lists in the protocol to the constants of package gateway.
var listKinds = map[string]gateway.ListKind{
	"INCREMENTAL": gateway.ListChanges, "FULL": gateway.ListFull, "SAVED": gateway.ListSaved,
	"FAILED": gateway.ListFailed,
}

// fromMicroseconds converts a time of the protocol, in microseconds, to a duration. A value that does not fit a
// duration is clamped to the nearest one that does.
func fromMicroseconds(us int64) time.Duration {
	if us > math.MaxInt64/1000 {
		us = math.MaxInt64 / 1000
	}
	if us < math.MinInt64/1000 {
		us = math.MinInt64 / 1000
	}
	return time.Duration(us) * time.Microsecond
}

// Decode parses one line. It returns an error for a malformed line, and ignores unknown fields and unknown kinds of
// messages.
func Decode(line []byte) (Message, error) {
	var raw rawMessage
	var message Message
	if err := json.Unmarshal(line, &raw); err != nil {
		return message, fmt.Errorf("malformed message: %w", err)
	}
	var err error
	switch raw.Kind {
	case "":
		return message, errors.New("message without a kind")
	case "clock":
		if raw.Time == nil {
			return message, errors.New("clock message without a time")
		}
		message.BatchStart, message.BatchTime = true, fromMicroseconds(*raw.Time)
		return message, nil
	case "eob":
		message.BatchEnd = true
		return message, nil
	}
	if raw.Instance == nil {
		return message, fmt.Errorf("%s message without an instance", raw.Kind)
	}
	message.Instance = *raw.Instance
	switch raw.Kind {
	case "boot":
		message.InstanceStart, err = decodeStart(raw)
	case "detach":
		message.InstanceStop = true
	default:
		message.Event, err = decodeEvent(raw)
	}
	return message, err
}

// decodeEvent decodes an event of an instance. It returns nil for an unknown kind of message.
func decodeEvent(raw rawMessage) (gateway.Event, error) {
	switch raw.Kind {
	case "targets":
		return decodeList(raw)
	case "call":
		return decodeRequest(raw)
	case "closed_attempt":
		return decodeOutcome(raw)
	case "established":
		id, err := parseRequestID(raw)
		return gateway.AnswerStarted{Request: id, Attempt: raw.Attempt}, err
	case "client_left":
		id, err := parseRequestID(raw)
		return gateway.ClientGone{Request: id}, err
	case "sampled":
		return decodeProbeResult(raw)
	case "reminder":
		if raw.TimerToken == nil {
			return nil, errors.New("reminder message without a ref")
		}
		return gateway.Timer{Token: *raw.TimerToken}, nil
	}
	return nil, nil
}

// decodeProbeResult decodes the result of a probe.
func decodeProbeResult(raw rawMessage) (gateway.Event, error) {
	if raw.Backend == nil {
		return nil, errors.New("sampled message without a backend")
	}
	return gateway.ProbeResult{Backend: gateway.BackendID(*raw.Backend), Result: parseResult(raw.Result),
		Duration: fromMicroseconds(raw.Duration), Load: raw.Load}, nil
}

// parseResult returns the result for a code of the protocol, or gateway.Unknown for an unknown code.
func parseResult(code string) gateway.Result {
	if result, ok := resultsByCode[code]; ok {
		return result
	}
	return gateway.Unknown
}

// parseRequestID parses the request ID of a message, which is 16 lower-case hexadecimal digits.
func parseRequestID(raw rawMessage) (gateway.RequestID, error) {
	if raw.RequestID == nil || len(*raw.RequestID) != 16 {
		return 0, fmt.Errorf("%s message without a request ID of 16 hexadecimal digits", raw.Kind)
	}
	id, err := strconv.ParseUint(*raw.RequestID, 16, 64)
	if err != nil || formatRequestID(gateway.RequestID(id)) != *raw.RequestID {
		return 0, fmt.Errorf("%s message with the invalid request ID %q", raw.Kind, *raw.RequestID)
	}
	return gateway.RequestID(id), nil
}

// formatRequestID formats a request ID as 16 lower-case hexadecimal digits.
func formatRequestID(id gateway.RequestID) string { return fmt.Sprintf("%016x", uint64(id)) }

// decodeRequest decodes a request from a client.
func decodeRequest(raw rawMessage) (gateway.Event, error) {
	id, err := parseRequestID(raw)
	return gateway.Request{ID: id, Customer: gateway.CustomerID(raw.Customer), Class: raw.Class, Plan: raw.Plan,
		Units: raw.Units, Timeout: fromMicroseconds(raw.ClientTimeout), FirstGateway: int(raw.FirstGateway),
		GatewayCount: int(raw.GatewayCount)}, err
}

// decodeOutcome decodes the outcome of an attempt.
func decodeOutcome(raw rawMessage) (gateway.Event, error) {
	id, err := parseRequestID(raw)
	if err == nil && raw.Backend == nil {
		err = errors.New("outcome without a backend")
	}
	if err != nil {
		return nil, err
	}
	return gateway.Outcome{Request: id, Backend: gateway.BackendID(*raw.Backend), Attempt: raw.Attempt,
		Result: parseResult(raw.Result), Duration: fromMicroseconds(raw.Duration), Final: raw.Final,
		HasUsage: raw.UsagePlusOne > 0, UsagePercent: float64(raw.UsagePlusOne - 1), SettledUnits: raw.SettledUnits,
		Load: raw.Load}, nil
}

// decodeList decodes a list of backends, or a list of changes.
func decodeList(raw rawMessage) (gateway.Event, error) {
	kind, ok := listKinds[raw.ListKind]
	if !ok {
		return nil, fmt.Errorf("list of unknown kind %q", raw.ListKind)
	}
	list := gateway.BackendList{Kind: kind}
	for _, entry := range raw.Entries {
		state, ok := backendStates[entry.State]
		if !ok || entry.Backend == nil {
			return nil, fmt.Errorf("list entry without a backend or with the unknown state %q", entry.State)
		}
		list.Backends = append(list.Backends, gateway.BackendInfo{ID: gateway.BackendID(*entry.Backend), State: state,
			Zone: entry.Zone, MachineType: entry.MachineType, Cell: entry.Cell,
			Started: fromMicroseconds(entry.Started), Weight: entry.Weight})
	}
	return list, nil
}

// decodeStart decodes the start of an instance.
func decodeStart(raw rawMessage) (*InstanceStart, error) {
	if len(raw.Settings) == 0 {
		return nil, errors.New("boot message without settings")
	}
	settings, _, err := DecodeSettings(raw.Settings)
	if err != nil {
		return nil, err
	}
	return &InstanceStart{Seed: raw.Seed, Settings: settings}, nil
}

// AppendAction appends one action of an instance to buffer as a line. It ignores unknown types of actions.
func AppendAction(buffer *bytes.Buffer, instance int, action gateway.Action) {
	switch action := action.(type) {
	case gateway.Send:
		fmt.Fprintf(buffer, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, instance,
			formatRequestID(action.Request), action.Timeout.Microseconds(), action.Backend)
	case gateway.Reject:
		fmt.Fprintf(buffer, `{"m":"reject","door":%d,"txn":"%s","not_before_for_us":%d}`, instance,
			formatRequestID(action.Request), action.RetryAfter.Microseconds())
	case gateway.Fail:
		fmt.Fprintf(buffer, `{"m":"surrender","door":%d,"txn":"%s"}`, instance, formatRequestID(action.Request))
	case gateway.Cancel:
		fmt.Fprintf(buffer, `{"m":"recall","door":%d,"txn":"%s","try":%d}`, instance,
			formatRequestID(action.Request), action.Attempt)
	case gateway.SetTimer:
		fmt.Fprintf(buffer, `{"m":"timer","door":%d,"from_now_us":%d,"ref":%d}`, instance,
			min(max(action.After, 0), MaxTimerDelay).Microseconds(), action.Token)
	case gateway.Probe:
		fmt.Fprintf(buffer, `{"m":"poll","door":%d,"backend":%d}`, instance, action.Backend)
	case gateway.Subscribe:
		fmt.Fprintf(buffer, `{"m":"follow","door":%d,"want":true}`, instance)
	default:
		return
	}
	buffer.WriteByte('\n')
}

// AppendReplyEnd appends the line that ends a reply to buffer.
func AppendReplyEnd(buffer *bytes.Buffer) { buffer.WriteString("{\"m\":\"eor\"}\n") }
