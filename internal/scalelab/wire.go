package scalelab

import (
	"encoding/json"
	"fmt"
	"strings"

	"herontiller/internal/frontdoor"
)

// endpoint is a backend as discovery writes it.
func endpoint(backend BackendInfo, address string) frontdoor.Endpoint {
	health := [...]string{"Ready", "Terminating", "Gone"}[backend.State]
	return frontdoor.Endpoint{Host: fmt.Sprintf("s-%08x", uint32(backend.ID)), Dial: address, Site: backend.Zone,
		Class: backend.MachineType, Block: backend.Cell, Health: health, Share: backend.Weight,
		BornMS: backend.Started.Milliseconds()}
}

// backendAddress is where a backend of the simulated network listens.
func backendAddress(id BackendID) string {
	return fmt.Sprintf("10.%d.%d.%d:8443", byte(id>>16), byte(id>>8), byte(id))
}

// listBytes is the length of a list, or of changes, as discovery writes it.
func listBytes(sequence int64, whole bool, backends []BackendInfo) int {
	list := frontdoor.EndpointList{Seq: sequence, Whole: whole, Hosts: make([]frontdoor.Endpoint, len(backends))}
	for i, backend := range backends {
		list.Hosts[i] = endpoint(backend, backendAddress(backend.ID))
	}
	text, err := json.Marshal(list)
	if err != nil {
		return 0
	}
	return len(text) + 1 // the line's end
}

// emptyListBytes is the length of changes without an entry.
var emptyListBytes = listBytes(1, false, nil)

// entryBytes is the length of one entry in a list, with its comma.
func entryBytes(backend BackendInfo) int {
	return listBytes(1, false, []BackendInfo{backend}) - emptyListBytes + 1
}

// settingsText is the part of a configuration file that holds classes and plans.
func settingsText(settings Settings) string {
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
		fmt.Fprintf(&text, `{"name":%q,"units_per_s":%g,"burst":%g,"value_factor":%g}`, plan.Name, plan.Rate, plan.Burst,
			plan.ValueFactor)
	}
	fmt.Fprintf(&text, `],"family_info":{"meter_period_us":%d,"largest":%g},`, settings.MeterPeriod.Microseconds(),
		settings.MaxRequestUnits)
	text.WriteString(`"policy_limits":{"cancel":true,"max_attempts":3,"conn_idle_us":15000000,"connect_timeout_us":250000}}`)
	return text.String()
}

func (c *Cost) measureWire(backends []BackendInfo, settings Settings) {
	c.FullListBytes = float64(listBytes(1, true, backends))
	c.ChangeBytes = float64(listBytes(1, false, backends[len(backends)-1:]))
	c.SettingsBytes = float64(len(settingsText(settings)))
}
