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
	UsePlusOne    int64           `json:"seen_use"`
	Backend       *uint32         `json:"backend"`
	Result        string          `json:"rc"`
	Final         bool            `json:"last"`
	SettledUnits  float64         `json:"settled"`
	Load          []float64       `json:"health_info"`
	TimerToken    *uint64         `json:"ref"`
}

type listEntry struct {
	Power   float64 `json:"power_hint"`
	Health  string  `json:"health"`
	Zone    string  `json:"az"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	Boot    int64   `json:"boot_time_us"`
	Backend *uint32 `json:"backend"`
}

type settingsJSON struct {
	Balancers int    `json:"balancers"`
	Me        int    `json:"me"`
	Zone      string `json:"zone"`
	Discovery string `json:"discovery"`
	Lanes     []struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		KeyTTL    int64   `json:"key_ttl_us"`
		Aim       int64   `json:"goal_time_us"`
		Deadline  int64   `json:"deadline_us"`
		Gain      float64 `json:"gain"`
		LateValue float64 `json:"late_value"`
		Stream    bool    `json:"stream"`
	} `json:"lanes"`
	Tariffs []struct {
		Name      string  `json:"name"`
		Rate      float64 `json:"units_per_s"`
		Burst     float64 `json:"burst"`
		Parallel  int     `json:"parallel"`
		Value     float64 `json:"value_factor"`
		OverWorth float64 `json:"excess_worth"`
		OverCost  float64 `json:"excess_cost"`
		CeilRate  float64 `json:"ceiling_rate"`
		CeilDepth float64 `json:"never_over_depth"`
		CeilSlack float64 `json:"cap_slack"`
	} `json:"tariffs"`
	Family struct {
		Meter   int64   `json:"meter_period_us"`
		Largest float64 `json:"largest"`
	} `json:"family_info"`
	Limits struct {
		Cancel     bool  `json:"cancel"`
		Probes     bool  `json:"probes"`
		Attempts   int   `json:"max_attempts"`
		Parallel   bool  `json:"parallel_tries"`
		RetryAfter bool  `json:"retry_after"`
		MaxAfter   int64 `json:"max_retry_after_us"`
		ConnIdle   int64 `json:"conn_idle_us"`
		Connect    int64 `json:"connect_timeout_us"`
	} `json:"policy_limits"`
	Duties struct {
		Grace    int64   `json:"grace_to_answer_us"`
		Drain    int64   `json:"stop_sending_within_us"`
		ColdFrom float64 `json:"cold_from"`
		Warm     int64   `json:"warm_within_us"`
		Multiple float64 `json:"fall_multiple"`
		Fall     int64   `json:"fall_us"`
		MustAsk  int64   `json:"must_ask_in_us"`
	} `json:"obligations"`
	Stats struct {
		Columns []string `json:"columns"`
		How     string   `json:"how"`
	} `json:"stats"`
}

var results = map[string]gateway.Result{
	"delivered": gateway.Answered, "app_error": gateway.AnsweredErr, "shed": gateway.Refused, "expired": gateway.TimedOut,
	"dial_failed": gateway.NoConnection, "dropped": gateway.Broken, "revoked": gateway.Cancelled, "unused": gateway.NotSent,
}

var states = map[string]gateway.BackendState{"healthy": gateway.Ready, "cordoned": gateway.Draining, "deregistered": gateway.Gone}

var modes = map[string]gateway.ListKind{
	"INCREMENTAL": gateway.ListChanges, "FULL": gateway.ListFull, "SAVED": gateway.ListSaved, "FAILED": gateway.ListFailed,
}

var effects = map[string]gateway.Effect{"": gateway.Safe, "retryable": gateway.Safe, "dedup": gateway.Keyed, "fragile": gateway.Unsafe}

var groups = map[string]gateway.Group{"": gateway.GroupAll, "all": gateway.GroupAll, "zone": gateway.GroupZone, "cell": gateway.GroupCell}

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
	var err error
	switch l.Kind {
	case "boot":
		m.Start, err = decodeStart(l)
	case "detach":
		m.Stop = true
	case "targets":
		m.Event, err = decodeList(l)
	case "call":
		m.Event, err = decodeRequest(l)
	case "closed_attempt":
		m.Event, err = decodeOutcome(l)
	case "established":
		var id gateway.RequestID
		id, err = requestID(l)
		m.Event = gateway.AnswerStarted{Request: id, Attempt: l.Attempt}
	case "client_left":
		var id gateway.RequestID
		id, err = requestID(l)
		m.Event = gateway.ClientGone{Request: id}
	case "sampled":
		if l.Backend == nil {
			return m, errors.New("sampled without a backend")
		}
		m.Event = gateway.ProbeResult{Backend: gateway.BackendID(*l.Backend), Result: result(l.Result), Took: micros(l.Took),
			Load: l.Load}
	case "reminder":
		if l.TimerToken == nil {
			return m, errors.New("reminder without a ref")
		}
		m.Event = gateway.Timer{Token: *l.TimerToken}
	}
	return m, err
}

func result(code string) gateway.Result {
	if r, ok := results[code]; ok {
		return r
	}
	return gateway.Unknown
}

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
		Units: l.Units, Patience: micros(l.Patience), FirstDoor: int(l.FirstInstance), Spread: int(l.Spread)}, err
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
		Took: micros(l.Took), Final: l.Final, HasUse: l.UsePlusOne > 0, Use: float64(l.UsePlusOne - 1), Units: l.SettledUnits,
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
			Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Started: micros(e.Boot), Weight: e.Power})
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

// Connections are the settings on connections to backends and to discovery. Only a front door on real sockets needs
// them.
type Connections struct {
	Idle    time.Duration // a backend closes one that was idle for this long
	Connect time.Duration // one that is not up by then counts as failed
	// MustAsk: where the list must be asked for, what was listed this long ago counts as told to a front door that has
	// not asked since; 0: not so
	StaleAfter time.Duration
}

// DecodeSettings reads the settings of an instance. They have the same form on the wire and in the
// configuration of a real front door.
func DecodeSettings(text []byte) (gateway.Settings, Connections, error) {
	var p settingsJSON
	if err := json.Unmarshal(text, &p); err != nil {
		return gateway.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	s := gateway.Settings{FrontDoors: p.Balancers, Me: p.Me, Zone: p.Zone, MeterPeriod: micros(p.Family.Meter),
		LargestUnits: p.Family.Largest, MaxAttempts: p.Limits.Attempts, ParallelTries: p.Limits.Parallel,
		CanCancel: p.Limits.Cancel, CanProbe: p.Limits.Probes, AskForList: p.Discovery == "on_request",
		LoadColumns: p.Stats.Columns, LoadInAnswers: p.Stats.How == "answers", AnswerGrace: micros(p.Duties.Grace),
		DrainGrace: micros(p.Duties.Drain), ColdFrom: p.Duties.ColdFrom, WarmWithin: micros(p.Duties.Warm),
		FallMultiple: p.Duties.Multiple, FallFor: micros(p.Duties.Fall)}
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = micros(p.Limits.MaxAfter)
	}
	for _, c := range p.Lanes {
		effect, ok := effects[c.Effect]
		group, ok2 := groups[c.Group]
		if !ok || !ok2 {
			return gateway.Settings{}, Connections{}, fmt.Errorf("class %q has the effect %q and the group %q",
				c.Name, c.Effect, c.Group)
		}
		s.Classes = append(s.Classes, gateway.Class{Name: c.Name, Effect: effect, Group: group,
			KeyWindow: micros(c.KeyTTL), Aim: micros(c.Aim), Deadline: micros(c.Deadline), Worth: c.Gain,
			LateWorth: c.LateValue, Stream: c.Stream})
	}
	for _, t := range p.Tariffs {
		s.Plans = append(s.Plans, gateway.Plan{Name: t.Name, Rate: t.Rate, Burst: t.Burst, Open: t.Parallel,
			Price: t.Value, OverWorth: t.OverWorth, OverCost: t.OverCost, CeilingRate: t.CeilRate,
			CeilingBurst: t.CeilDepth, CeilingSlack: t.CeilSlack})
	}
	return s, Connections{Idle: micros(p.Limits.ConnIdle), Connect: micros(p.Limits.Connect),
		StaleAfter: micros(p.Duties.MustAsk)}, nil
}

// AppendAction writes one action of an instance as a line.
func AppendAction(b *bytes.Buffer, instance int, a gateway.Action) {
	switch a := a.(type) {
	case gateway.Send:
		fmt.Fprintf(b, `{"m":"assign","door":%d,"txn":"%s","max_wait_us":%d,"backend":%d}`, instance,
			formatID(a.Request), a.Timeout.Microseconds(), a.Backend)
	case gateway.Refuse:
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
