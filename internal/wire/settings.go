package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// settingsJSON are an instance's settings as they stand on the wire and in a configuration file. Times are in
// microseconds.
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

var effects = map[string]gateway.Effect{"": gateway.Safe, "retryable": gateway.Safe, "dedup": gateway.Deduplicated,
	"fragile": gateway.Unsafe}

var groups = map[string]gateway.DedupScope{"": gateway.ScopeAll, "all": gateway.ScopeAll, "zone": gateway.ScopeZone,
	"cell": gateway.ScopeCell}

// Connections are the settings on connections to backends and to discovery. Only a gateway on real sockets needs them.
type Connections struct {
	Idle    time.Duration // a backend closes one that was idle for this long
	Connect time.Duration // one that is not up by then counts as failed
	// StaleAfter is the staleness bound of a list that must be requested: a gateway that has not requested it for this
	// long counts as knowing what discovery had by then; 0: no such bound
	StaleAfter time.Duration
}

// DecodeSettings reads the settings of an instance. They have the same form on the wire and in the configuration file
// of a gateway on real sockets.
func DecodeSettings(text []byte) (gateway.Settings, Connections, error) {
	var p settingsJSON
	if err := json.Unmarshal(text, &p); err != nil {
		return gateway.Settings{}, Connections{}, fmt.Errorf("settings: %w", err)
	}
	s := gateway.Settings{Gateways: p.Balancers, Index: p.Me, Zone: p.Zone, MeterPeriod: micros(p.Family.Meter),
		MaxRequestUnits: p.Family.Largest, MaxAttempts: p.Limits.Attempts, ParallelAttempts: p.Limits.Parallel,
		CanCancel: p.Limits.Cancel, CanProbe: p.Limits.Probes, SubscribeToList: p.Discovery == "on_request",
		LoadColumns: p.Stats.Columns, LoadInAnswers: p.Stats.How == "answers", AnswerGrace: micros(p.Duties.Grace),
		DrainGrace: micros(p.Duties.Drain), ColdCapacity: p.Duties.ColdFrom, WarmUpTime: micros(p.Duties.Warm),
		OverloadMultiple: p.Duties.Multiple, OverloadTime: micros(p.Duties.Fall)}
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
		s.Classes = append(s.Classes, gateway.Class{Name: c.Name, Effect: effect, Scope: group,
			DedupWindow: micros(c.KeyTTL), TargetLatency: micros(c.Aim), Deadline: micros(c.Deadline), Value: c.Gain,
			LateValueShare: c.LateValue, Streaming: c.Stream})
	}
	for _, t := range p.Tariffs {
		s.Plans = append(s.Plans, gateway.Plan{Name: t.Name, Rate: t.Rate, Burst: t.Burst, MaxInFlight: t.Parallel,
			ValueFactor: t.Value, ExcessValueShare: t.OverWorth, ExcessCostShare: t.OverCost, CeilingRate: t.CeilRate,
			CeilingBurst: t.CeilDepth, CeilingSlack: t.CeilSlack})
	}
	return s, Connections{Idle: micros(p.Limits.ConnIdle), Connect: micros(p.Limits.Connect),
		StaleAfter: micros(p.Duties.MustAsk)}, nil
}
