package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"herontiller/internal/gateway"
)

// settingsJSON is the JSON form of an instance's settings, in the simulator's protocol and in a configuration file.
// Times are in microseconds.
type settingsJSON struct {
	Gateways  int    `json:"balancers"` // the size of the fleet
	Index     int    `json:"me"`        // of this instance in the fleet, from 0
	Zone      string `json:"zone"`
	Discovery string `json:"discovery"` // "on_request" if the list must be requested; otherwise it is pushed
	Classes   []struct {
		Name           string  `json:"name"`
		Effect         string  `json:"effect"` // a key of effects
		Scope          string  `json:"group"`  // a key of dedupScopes
		DedupWindow    int64   `json:"key_ttl_us"`
		TargetLatency  int64   `json:"goal_time_us"`
		Deadline       int64   `json:"deadline_us"`
		Value          float64 `json:"gain"`
		LateValueShare float64 `json:"late_value"`
		Stream         bool    `json:"stream"`
	} `json:"lanes"`
	Plans []struct {
		Name             string  `json:"name"`
		Rate             float64 `json:"units_per_s"`
		Burst            float64 `json:"burst"`
		MaxInFlight      int     `json:"parallel"`
		ValueFactor      float64 `json:"value_factor"`
		ExcessValueShare float64 `json:"excess_worth"`
		ExcessCostShare  float64 `json:"excess_cost"`
		CeilingRate      float64 `json:"ceiling_rate"`
		CeilingBurst     float64 `json:"never_over_depth"`
		CeilingSlack     float64 `json:"cap_slack"`
	} `json:"tariffs"`
	Metering struct {
		MeterPeriod     int64   `json:"meter_period_us"`
		MaxRequestUnits float64 `json:"largest"`
	} `json:"family_info"`
	Limits struct {
		CanCancel        bool  `json:"cancel"`
		CanProbe         bool  `json:"probes"`
		MaxAttempts      int   `json:"max_attempts"`
		ParallelAttempts bool  `json:"parallel_tries"`
		HonorsRetryAfter bool  `json:"retry_after"` // clients wait for the time that Retry-After gives
		MaxRetryAfter    int64 `json:"max_retry_after_us"`
		IdleTimeout      int64 `json:"conn_idle_us"`
		ConnectTimeout   int64 `json:"connect_timeout_us"`
	} `json:"policy_limits"`
	Obligations struct {
		AnswerGrace         int64   `json:"grace_to_answer_us"`
		DrainGrace          int64   `json:"stop_sending_within_us"`
		ColdCapacity        float64 `json:"cold_from"`
		WarmUpTime          int64   `json:"warm_within_us"`
		OverloadMultiple    float64 `json:"fall_multiple"`
		OverloadTime        int64   `json:"fall_us"`
		ListRequestInterval int64   `json:"must_ask_in_us"`
	} `json:"obligations"`
	LoadReports struct {
		LoadColumns []string `json:"columns"`
		Source      string   `json:"how"` // "answers" if responses carry load reports, not only the results of probes
	} `json:"stats"`
}

// effects maps the names of effects in the settings to the constants of package gateway.
var effects = map[string]gateway.Effect{"": gateway.Safe, "retryable": gateway.Safe, "dedup": gateway.Deduplicated,
	"fragile": gateway.Unsafe}

// dedupScopes maps the values of a class's field "group", which names the backends that detect duplicates of a request
// together, to the constants of package gateway.
var dedupScopes = map[string]gateway.DedupScope{"": gateway.ScopeAll, "all": gateway.ScopeAll,
	"zone": gateway.ScopeZone, "cell": gateway.ScopeCell}

// ConnectionSettings holds the timing of connections to backends and to discovery. Only a gateway that serves real
// connections uses it.
type ConnectionSettings struct {
	IdleTimeout    time.Duration // backends close connections that have been idle for this long
	ConnectTimeout time.Duration // an attempt to connect that takes longer has failed
	// ListRequestInterval applies where gateways must request the list of backends: a gateway that has not requested it
	// for this long is treated as if it knew the list that discovery had at the end of this time. 0 means no such rule.
	ListRequestInterval time.Duration
}

// DecodeSettings parses the settings of an instance. They have the same format in the simulator's protocol and in the
// configuration file of a gateway that serves real connections. DecodeSettings checks the JSON and the names of effects
// and groups; gateway.Settings.Validate checks the values.
func DecodeSettings(text []byte) (gateway.Settings, ConnectionSettings, error) {
	var decoded settingsJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return gateway.Settings{}, ConnectionSettings{}, fmt.Errorf("settings: %w", err)
	}
	settings := gateway.Settings{Gateways: decoded.Gateways, Index: decoded.Index, Zone: decoded.Zone,
		MeterPeriod: fromMicroseconds(decoded.Metering.MeterPeriod), MaxRequestUnits: decoded.Metering.MaxRequestUnits,
		MaxAttempts: decoded.Limits.MaxAttempts, ParallelAttempts: decoded.Limits.ParallelAttempts,
		CanCancel: decoded.Limits.CanCancel, CanProbe: decoded.Limits.CanProbe,
		SubscribeToList: decoded.Discovery == "on_request", LoadColumns: decoded.LoadReports.LoadColumns,
		LoadInAnswers:    decoded.LoadReports.Source == "answers",
		AnswerGrace:      fromMicroseconds(decoded.Obligations.AnswerGrace),
		DrainGrace:       fromMicroseconds(decoded.Obligations.DrainGrace),
		ColdCapacity:     decoded.Obligations.ColdCapacity,
		WarmUpTime:       fromMicroseconds(decoded.Obligations.WarmUpTime),
		OverloadMultiple: decoded.Obligations.OverloadMultiple,
		OverloadTime:     fromMicroseconds(decoded.Obligations.OverloadTime)}
	if decoded.Limits.HonorsRetryAfter {
		settings.MaxRetryAfter = fromMicroseconds(decoded.Limits.MaxRetryAfter)
	}
	for _, class := range decoded.Classes {
		effect, knownEffect := effects[class.Effect]
		scope, knownScope := dedupScopes[class.Scope]
		if !knownEffect || !knownScope {
			return gateway.Settings{}, ConnectionSettings{},
				fmt.Errorf("class %q: unknown effect %q or unknown group %q", class.Name, class.Effect, class.Scope)
		}
		settings.Classes = append(settings.Classes, gateway.Class{Name: class.Name, Effect: effect, Scope: scope,
			DedupWindow: fromMicroseconds(class.DedupWindow), TargetLatency: fromMicroseconds(class.TargetLatency),
			Deadline: fromMicroseconds(class.Deadline), Value: class.Value, LateValueShare: class.LateValueShare,
			Streaming: class.Stream})
	}
	for _, plan := range decoded.Plans {
		settings.Plans = append(settings.Plans, gateway.Plan{Name: plan.Name, Rate: plan.Rate, Burst: plan.Burst,
			MaxInFlight: plan.MaxInFlight, ValueFactor: plan.ValueFactor, ExcessValueShare: plan.ExcessValueShare,
			ExcessCostShare: plan.ExcessCostShare,
			CeilingRate:     plan.CeilingRate, CeilingBurst: plan.CeilingBurst, CeilingSlack: plan.CeilingSlack})
	}
	return settings, ConnectionSettings{IdleTimeout: fromMicroseconds(decoded.Limits.IdleTimeout),
		ConnectTimeout:      fromMicroseconds(decoded.Limits.ConnectTimeout),
		ListRequestInterval: fromMicroseconds(decoded.Obligations.ListRequestInterval)}, nil
}
