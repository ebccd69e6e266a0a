package scalelab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// ChurnResult is a day of changes before some gateways.
type ChurnResult struct {
	Gateways       int      `json:"gateways"`
	Backends       int      `json:"backends"`
	Scale          float64  `json:"scale"` // of the target's restarts and failures, by the number of backends
	Phases         []*Phase `json:"phases"`
	DayBytes       float64  `json:"day_bytes_per_gateway"`
	DayCPUMillis   float64  `json:"day_cpu_ms_per_gateway"`
	RegionGateways int      `json:"region_gateways"` // that are cut off for a while
}

// When things happen in the day, and how long they last.
const (
	day             = 24 * time.Hour
	rollingFrom     = 10 * time.Hour
	rollingLasts    = time.Hour
	rollingShare    = 0.75 // of the day's restarts are in the rolling restart
	rackFrom        = 14 * time.Hour
	rackLasts       = 30 * time.Minute
	rackBackends    = 40
	zoneFrom        = 16 * time.Hour
	zoneLasts       = 20 * time.Minute
	regionFrom      = 18 * time.Hour
	regionLasts     = 5 * time.Minute
	drainLasts      = 3 * time.Second
	processReturns  = 10 * time.Second // after the beginning of its drain
	machineReturns  = time.Hour
	zoneReturnsOver = time.Minute // its backends start within this time
)

type churnPlay struct {
	clock     *Clock
	random    *rand.Rand
	discovery *Discovery
	scale     float64
	backends  int
	busy      map[BackendID]bool // restarting or lost: left alone by what else happens
}

// PlayChurn plays a day's changes of the list of backends before hollow gateways. Requests are not played.
func PlayChurn(ctx context.Context, gateways, backends int, seed uint64, progress Progress) (ChurnResult, error) {
	result := ChurnResult{Gateways: gateways, Backends: backends, Scale: float64(backends) / TargetBackends}
	size := Size{Backends: backends, Customers: 1, Classes: slopeBase.Classes, Gateways: max(gateways, 2)}
	if err := size.Validate(); err != nil {
		return result, err
	}
	if gateways < 1 || gateways*backends > mostEntries {
		return result, fmt.Errorf("%d gateways with %d backends each can't be played: %d entries of lists at most",
			gateways, backends, mostEntries)
	}
	if backends < 2*TargetZones {
		return result, fmt.Errorf("%d backends are too few for %d zones: 2 in each at least", backends, TargetZones)
	}
	clock, random := &Clock{now: start}, rand.New(rand.NewPCG(seed, 3))
	list := newBackends(backends)
	hollows := make([]*HollowGateway, gateways)
	for number := range hollows {
		progress.Show("churn: starting gateway %d of %d", number+1, gateways)
		hollow, err := NewHollowGateway(number, newSettings(size), random.Uint64(), start, &single{lastSent: map[BackendID]time.Duration{}})
		if err != nil {
			return result, err
		}
		hollow.TakeList(start, list)
		hollows[number] = hollow
	}
	play := &churnPlay{clock: clock, random: random, scale: result.Scale, backends: backends, busy: map[BackendID]bool{},
		discovery: NewDiscovery(clock, random, list, hollows)}
	result.Phases = play.script(&result)
	clock.RunUntil(start+day+machineReturns+time.Minute, func() bool {
		progress.Show("churn: %v of the day played", (clock.Now() - start).Round(time.Minute))
		return ctx.Err() != nil
	})
	for _, phase := range result.Phases {
		phase.finish(gateways)
		result.DayBytes += phase.Bytes
		result.DayCPUMillis += phase.CPUMillis
	}
	return result, ctx.Err()
}

// script schedules all that happens.
func (p *churnPlay) script(result *ChurnResult) []*Phase {
	rolling, restarts := NewPhase("rolling restart"), NewPhase("single restarts")
	failures, rack := NewPhase("machines failed"), NewPhase("rack lost and back")
	zone, region := NewPhase("zone lost and back"), NewPhase("changes while a region is cut off")
	config := NewPhase("configuration changes")
	all := max(1, int(p.scale*TargetRestarts))
	inRolling := int(rollingShare * float64(all))
	first := p.random.IntN(p.backends)
	for i := range inRolling {
		p.clock.After(rollingFrom+time.Duration(i)*rollingLasts/time.Duration(inRolling), func() {
			p.restart(rolling, BackendID((first+i)%p.backends+1))
		})
	}
	for range all - inRolling {
		p.anytime(func() { p.restart(restarts, p.any()) })
	}
	for range max(1, int(p.scale*TargetFailures)) {
		p.anytime(func() { p.lose(failures, machineReturns, 0, p.any()) })
	}
	p.clock.After(rackFrom, func() { p.lose(rack, rackLasts, processReturns, p.rack()...) })
	p.clock.After(zoneFrom, func() { p.lose(zone, zoneLasts, zoneReturnsOver, p.zone()...) })
	cut := p.discovery.agents[:len(p.discovery.agents)/TargetRegions]
	result.RegionGateways = len(cut)
	p.clock.After(regionFrom, func() { p.discovery.CutOff(cut, true) })
	p.clock.After(regionFrom+regionLasts, func() { p.discovery.CutOff(cut, false) })
	for i := range TargetConfigChanges {
		at := time.Duration(i) * day / TargetConfigChanges
		phase := config
		if at >= regionFrom && at < regionFrom+regionLasts {
			phase = region
		}
		p.clock.After(at, func() { p.configure(phase, p.any()) })
	}
	return []*Phase{rolling, restarts, failures, rack, zone, region, config}
}

func (p *churnPlay) anytime(run func()) {
	p.clock.After(time.Duration(p.random.Int64N(int64(day))), run)
}

func (p *churnPlay) any() BackendID { return BackendID(p.random.IntN(p.backends) + 1) }

func (p *churnPlay) rack() (ids []BackendID) {
	first := p.random.IntN(p.backends)
	for i := range min(rackBackends, p.backends/2) {
		ids = append(ids, BackendID((first+i*TargetZones)%p.backends+1)) // all in one zone
	}
	return ids
}

func (p *churnPlay) zone() (ids []BackendID) {
	for i := 0; i < p.backends; i += TargetZones {
		ids = append(ids, BackendID(i+1))
	}
	return ids
}

func (p *churnPlay) entry(id BackendID) BackendInfo { return p.discovery.current[id-1] }

// restart drains a backend, takes it away, and lets a new process of it begin.
func (p *churnPlay) restart(phase *Phase, id BackendID) {
	if p.busy[id] {
		return
	}
	p.busy[id] = true
	p.discovery.Publish(phase, draining(p.entry(id)))
	p.clock.After(drainLasts, func() { p.discovery.Publish(phase, gone(p.entry(id))) })
	p.clock.After(processReturns, func() { p.returns(phase, id) })
}

func (p *churnPlay) returns(phase *Phase, id BackendID) {
	delete(p.busy, id)
	p.discovery.Publish(phase, ready(p.entry(id), p.clock.Now()))
}

// lose takes backends away at once, and brings them back one after another within a time.
func (p *churnPlay) lose(phase *Phase, lasts, over time.Duration, ids ...BackendID) {
	var lost []BackendInfo
	for i, id := range ids {
		if p.busy[id] {
			continue
		}
		p.busy[id] = true
		lost = append(lost, gone(p.entry(id)))
		p.clock.After(lasts+over*time.Duration(i)/time.Duration(len(ids)), func() { p.returns(phase, id) })
	}
	p.discovery.Publish(phase, lost...)
}

// configure changes what the list tells of a backend besides its state: the one thing of the configuration that comes
// into force without a restart of the gateway.
func (p *churnPlay) configure(phase *Phase, id BackendID) {
	if p.busy[id] {
		return
	}
	entry := p.entry(id)
	entry.Weight = 1 + p.random.Float64()
	p.discovery.Publish(phase, entry)
}
