package scalelab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// ChurnResult holds the cost and the delay of one simulated day of list changes.
type ChurnResult struct {
	Gateways        int      `json:"gateways"`
	Backends        int      `json:"backends"`
	Scale           float64  `json:"scale"` // Backends over TargetBackends; scales the restarts and failures
	Phases          []*Phase `json:"phases"`
	BytesPerDay     float64  `json:"day_bytes_per_gateway"`  // list changes received by a gateway
	CPUMillisPerDay float64  `json:"day_cpu_ms_per_gateway"` // processor time of applying them
	CutOffGateways  int      `json:"region_gateways"`        // gateways of the region that is cut off
}

// The schedule of the day: offsets from its start, and durations.
const (
	day                  = 24 * time.Hour
	rollingStart         = 10 * time.Hour
	rollingDuration      = time.Hour
	rollingShare         = 0.75 // share of the day's restarts that belong to the rolling restart
	rackFailureStart     = 14 * time.Hour
	rackFailureDuration  = 30 * time.Minute
	rackSize             = 40 // backends
	zoneFailureStart     = 16 * time.Hour
	zoneFailureDuration  = 20 * time.Minute
	regionCutOffStart    = 18 * time.Hour
	regionCutOffDuration = 5 * time.Minute
	drainDuration        = 3 * time.Second
	processRestartTime   = 10 * time.Second // from the start of the drain until the new process is ready
	machineRepairTime    = time.Hour
	zoneRecoverySpread   = time.Minute // the backends of a zone return spread over this time
)

// churnScenario publishes the list changes of one day.
type churnScenario struct {
	clock        *Clock
	random       *rand.Rand
	discovery    *Discovery
	scale        float64 // share of the target's restarts and failures that occur
	backendCount int
	unavailable  map[BackendID]bool // restarting or failed; other events skip them
}

// RunChurn simulates one day of changes to the list of backends and measures how hollow gateways apply them. It
// simulates no requests.
func RunChurn(ctx context.Context, gateways, backends int, seed uint64, progress Progress) (ChurnResult, error) {
	result := ChurnResult{Gateways: gateways, Backends: backends, Scale: float64(backends) / TargetBackends}
	size := Size{Backends: backends, Customers: 1, Classes: slopeBase.Classes, Gateways: max(gateways, 2)}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if gateways < 1 || gateways*backends > maxListEntries {
		return result, fmt.Errorf("%d gateways with %d backends each: the lists may hold %d entries in all",
			gateways, backends, maxListEntries)
	}
	if backends < 2*TargetZones {
		return result, fmt.Errorf("%d backends are too few for %d zones: each needs at least 2", backends, TargetZones)
	}
	clock, random := &Clock{now: simulationStart}, rand.New(rand.NewPCG(seed, churnStream))
	list := newBackends(backends)
	hollows := make([]*HollowGateway, gateways)
	for number := range hollows {
		progress.Show("churn: starting gateway %d of %d", number+1, gateways)
		hollow, err := NewHollowGateway(number, newSettings(size), random.Uint64(), simulationStart,
			&singleHost{lastSentAt: map[BackendID]time.Duration{}})
		if err != nil {
			return result, err
		}
		hollow.ApplyList(simulationStart, list)
		hollows[number] = hollow
	}
	scenario := &churnScenario{clock: clock, random: random, scale: result.Scale, backendCount: backends,
		unavailable: map[BackendID]bool{}, discovery: NewDiscovery(clock, random, list, hollows)}
	result.Phases = scenario.schedulePhases(&result)
	// A machine that fails at the end of the day returns within machineRepairTime, and the last minute is for delivery.
	clock.RunUntil(simulationStart+day+machineRepairTime+time.Minute, func() bool {
		progress.Show("churn: %v of the day simulated", (clock.Now() - simulationStart).Round(time.Minute))
		return ctx.Err() != nil
	})
	for _, phase := range result.Phases {
		phase.finish(gateways)
		result.BytesPerDay += phase.BytesPerGateway
		result.CPUMillisPerDay += phase.CPUMillisPerGateway
	}
	return result, ctx.Err()
}

// schedulePhases schedules all events of the day and returns the phases to which their cost is attributed.
func (s *churnScenario) schedulePhases(result *ChurnResult) []*Phase {
	rolling, singleRestarts := NewPhase("rolling restart"), NewPhase("single restarts")
	failures, rack := NewPhase("machines failed"), NewPhase("rack lost and back")
	zone, cutOffChanges := NewPhase("zone lost and back"), NewPhase("changes while a region is cut off")
	configChanges := NewPhase("configuration changes")
	restarts := max(1, int(s.scale*TargetRestarts))
	rollingRestarts := int(rollingShare * float64(restarts))
	firstIndex := s.random.IntN(s.backendCount)
	for i := range rollingRestarts {
		s.clock.AfterFunc(rollingStart+time.Duration(i)*rollingDuration/time.Duration(rollingRestarts), func() {
			s.restartBackend(rolling, BackendID((firstIndex+i)%s.backendCount+1))
		})
	}
	for range restarts - rollingRestarts {
		s.atRandomTime(func() { s.restartBackend(singleRestarts, s.randomBackend()) })
	}
	for range max(1, int(s.scale*TargetFailures)) {
		s.atRandomTime(func() { s.fail(failures, machineRepairTime, 0, s.randomBackend()) })
	}
	s.clock.AfterFunc(rackFailureStart, func() {
		s.fail(rack, rackFailureDuration, processRestartTime, s.randomRack()...)
	})
	s.clock.AfterFunc(zoneFailureStart, func() {
		s.fail(zone, zoneFailureDuration, zoneRecoverySpread, s.firstZone()...)
	})
	cutOffAgents := s.discovery.agents[:len(s.discovery.agents)/TargetRegions]
	result.CutOffGateways = len(cutOffAgents)
	s.clock.AfterFunc(regionCutOffStart, func() { s.discovery.CutOff(cutOffAgents, true) })
	s.clock.AfterFunc(regionCutOffStart+regionCutOffDuration, func() { s.discovery.CutOff(cutOffAgents, false) })
	for i := range TargetConfigChanges {
		at := time.Duration(i) * day / TargetConfigChanges
		phase := configChanges
		if at >= regionCutOffStart && at < regionCutOffStart+regionCutOffDuration {
			phase = cutOffChanges
		}
		s.clock.AfterFunc(at, func() { s.changeWeight(phase, s.randomBackend()) })
	}
	return []*Phase{rolling, singleRestarts, failures, rack, zone, cutOffChanges, configChanges}
}

// atRandomTime schedules run at a random time of the day.
func (s *churnScenario) atRandomTime(run func()) {
	s.clock.AfterFunc(time.Duration(s.random.Int64N(int64(day))), run)
}

// randomBackend returns the ID of a random backend.
func (s *churnScenario) randomBackend() BackendID {
	return BackendID(s.random.IntN(s.backendCount) + 1)
}

// randomRack returns the backends of a rack. All of them are in one zone if the number of backends is a multiple of
// TargetZones. Otherwise the rack may continue in another zone and name a backend twice; fail ignores the second time.
func (s *churnScenario) randomRack() (ids []BackendID) {
	first := s.random.IntN(s.backendCount)
	for i := range min(rackSize, s.backendCount/2) {
		ids = append(ids, BackendID((first+i*TargetZones)%s.backendCount+1))
	}
	return ids
}

// firstZone returns all backends of the first zone.
func (s *churnScenario) firstZone() (ids []BackendID) {
	for i := 0; i < s.backendCount; i += TargetZones {
		ids = append(ids, BackendID(i+1))
	}
	return ids
}

// entry returns the current list entry of a backend.
func (s *churnScenario) entry(id BackendID) BackendInfo { return s.discovery.current[id-1] }

// restartBackend drains a backend, removes it and publishes its new process, unless it is already unavailable.
func (s *churnScenario) restartBackend(phase *Phase, id BackendID) {
	if s.unavailable[id] {
		return
	}
	s.unavailable[id] = true
	s.discovery.Publish(phase, asDraining(s.entry(id)))
	s.clock.AfterFunc(drainDuration, func() { s.discovery.Publish(phase, asGone(s.entry(id))) })
	s.clock.AfterFunc(processRestartTime, func() { s.restore(phase, id) })
}

// restore publishes a new, ready process of a backend.
func (s *churnScenario) restore(phase *Phase, id BackendID) {
	delete(s.unavailable, id)
	s.discovery.Publish(phase, asReady(s.entry(id), s.clock.Now()))
}

// fail removes backends all at once. After the outage they return one after another, spread over recoverySpread. It
// skips backends that are already unavailable.
func (s *churnScenario) fail(phase *Phase, outage, recoverySpread time.Duration, ids ...BackendID) {
	var lost []BackendInfo
	for i, id := range ids {
		if s.unavailable[id] {
			continue
		}
		s.unavailable[id] = true
		lost = append(lost, asGone(s.entry(id)))
		s.clock.AfterFunc(outage+recoverySpread*time.Duration(i)/time.Duration(len(ids)), func() {
			s.restore(phase, id)
		})
	}
	s.discovery.Publish(phase, lost...)
}

// changeWeight publishes a new weight of a backend. The attributes of the list's entries are the only part of the
// configuration that takes effect without a restart of the gateway.
func (s *churnScenario) changeWeight(phase *Phase, id BackendID) {
	if s.unavailable[id] {
		return
	}
	entry := s.entry(id)
	entry.Weight = 1 + s.random.Float64()
	s.discovery.Publish(phase, entry)
}
