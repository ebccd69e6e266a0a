package scalelab

import (
	"encoding/json"
	"fmt"
	"strings"

	"herontiller/internal/frontdoor"
)

// toEndpoint converts a backend to the wire format of discovery.
func toEndpoint(backend BackendInfo, address string) frontdoor.Endpoint {
	state := [...]string{"Ready", "Terminating", "Gone"}[backend.State]
	return frontdoor.Endpoint{Host: fmt.Sprintf("s-%08x", uint32(backend.ID)), Address: address, Zone: backend.Zone,
		MachineType: backend.MachineType, Cell: backend.Cell, State: state, Weight: backend.Weight,
		StartedMS: backend.Started.Milliseconds()}
}

// backendAddress returns the address of a simulated backend.
func backendAddress(id BackendID) string {
	return fmt.Sprintf("10.%d.%d.%d:8443", byte(id>>16), byte(id>>8), byte(id))
}

// encodedListBytes returns the length of a full list or a list of changes in the wire format of discovery, with its
// newline.
func encodedListBytes(version int64, full bool, backends []BackendInfo) int {
	list := frontdoor.EndpointList{Version: version, Full: full, Endpoints: make([]frontdoor.Endpoint, len(backends))}
	for i, backend := range backends {
		list.Endpoints[i] = toEndpoint(backend, backendAddress(backend.ID))
	}
	text, err := json.Marshal(list)
	if err != nil {
		return 0
	}
	return len(text) + 1 // newline
}

// emptyListBytes is the encoded length of a list of changes without entries.
var emptyListBytes = encodedListBytes(1, false, nil)

// encodedEntryBytes returns the encoded length in bytes of one entry of a list, with its comma.
func encodedEntryBytes(backend BackendInfo) int {
	return encodedListBytes(1, false, []BackendInfo{backend}) - emptyListBytes + 1
}

// encodeSettings returns the settings section of a configuration file, which holds the classes and plans.
func encodeSettings(settings Settings) string {
	var text strings.Builder
	fmt.Fprintf(&text, `{"balancers":%d,"me":%d,"lanes":[`, settings.Gateways, settings.Index)
	for i, class := range settings.Classes {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":%q,"effect":"retryable","goal_time_us":%d,"deadline_us":%d,"gain":%g}`, class.Name,
			class.TargetLatency.Microseconds(), class.Deadline.Microseconds(), class.Value)
	}
	text.WriteString(`],"tariffs":[`)
	for i, plan := range settings.Plans {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":%q,"units_per_s":%g,"burst":%g,"value_factor":%g}`, plan.Name, plan.Rate,
			plan.Burst, plan.ValueFactor)
	}
	fmt.Fprintf(&text, `],"family_info":{"meter_period_us":%d,"largest":%g},`, settings.MeterPeriod.Microseconds(),
		settings.MaxRequestUnits)
	text.WriteString(`"policy_limits":{"cancel":true,"max_attempts":3,"conn_idle_us":15000000,"connect_timeout_us":250000}}`)
	return text.String()
}

// measureEncodedSizes records the encoded lengths of the list, of a change of one entry and of the settings.
func (c *Cost) measureEncodedSizes(backends []BackendInfo, settings Settings) {
	c.FullListBytes = float64(encodedListBytes(1, true, backends))
	c.ChangeBytes = float64(encodedListBytes(1, false, backends[len(backends)-1:]))
	c.SettingsBytes = float64(len(encodeSettings(settings)))
}
