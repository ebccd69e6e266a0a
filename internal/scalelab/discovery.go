package scalelab

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Discovery simulates service discovery, with one agent per gateway, on the simulated clock. A change reaches an agent
// after a random delay, together with all changes published in the meantime. An agent that was cut off receives the
// changes that it missed, or the full list if they are more than maxIncrementalEntries.
type Discovery struct {
	clock        *Clock
	random       *rand.Rand
	current      []BackendInfo // entry of each backend, at its ID minus 1
	publications []publication // all so far, oldest first
	agents       []*simulatedAgent
}

// The delays are an assumption: the operators specify only that changes arrive seconds late.
const (
	minPropagationDelay   = 200 * time.Millisecond
	maxPropagationDelay   = 2 * time.Second
	maxIncrementalEntries = 10_000 // above this an agent receives the full list instead of the changes
)

// publication is one published change of a list entry.
type publication struct {
	phase       *Phase
	change      BackendInfo
	publishedAt time.Duration
	bytes       int // length of the entry on the wire
}

// Phase accumulates the cost and the delay of one kind of change. BytesPerGateway and CPUMillisPerGateway are totals
// over all gateways until finish divides them.
type Phase struct {
	Name                  string  `json:"name"`
	PublishedEntries      int     `json:"published"`
	Messages              int     `json:"messages"`    // over all gateways
	FullLists             int     `json:"whole_lists"` // messages that held the full list
	BytesPerGateway       float64 `json:"bytes_per_gateway"`
	CPUMillisPerGateway   float64 `json:"cpu_ms_per_gateway"`
	MaxBytesPerSecond     int     `json:"most_bytes_in_a_second"`  // at any gateway
	MaxCPUMillisPerSecond float64 `json:"most_cpu_ms_in_a_second"` // at any gateway
	MedianDelayMillis     float64 `json:"in_force_median_ms"`      // from publication until the gateway applied it
	P99DelayMillis        float64 `json:"in_force_p99_ms"`
	MaxDelayMillis        float64 `json:"in_force_last_ms"`

	delays *hdrhistogram.Histogram // microseconds
}

// NewPhase returns an empty phase.
func NewPhase(name string) *Phase {
	return &Phase{Name: name, delays: hdrhistogram.New(1, int64(24*time.Hour/time.Microsecond), 3)}
}

// finish computes the means per gateway and the quantiles of the delay.
func (p *Phase) finish(gateways int) {
	p.BytesPerGateway /= float64(gateways)
	p.CPUMillisPerGateway /= float64(gateways)
	p.MedianDelayMillis = float64(p.delays.ValueAtQuantile(50)) / 1000
	p.P99DelayMillis = float64(p.delays.ValueAtQuantile(99)) / 1000
	p.MaxDelayMillis = float64(p.delays.Max()) / 1000
}

// simulatedAgent is the discovery agent of one gateway.
type simulatedAgent struct {
	gateway           *HollowGateway
	delivered         int // number of publications that the gateway has received
	deliveryScheduled bool
	cutOff            bool          // from discovery
	busyUntil         time.Duration // simulated time at which the gateway has applied all deliveries
	second            time.Duration // the second to which secondBytes and secondCPUTime belong
	secondBytes       int
	secondCPUTime     time.Duration
}

// NewDiscovery returns the discovery service of gateways that have already applied the list. It takes ownership of the
// list.
func NewDiscovery(clock *Clock, random *rand.Rand, list []BackendInfo, gateways []*HollowGateway) *Discovery {
	discovery := &Discovery{clock: clock, random: random, current: list}
	for _, hollow := range gateways {
		discovery.agents = append(discovery.agents, &simulatedAgent{gateway: hollow})
	}
	return discovery
}

// Publish changes entries of the list and attributes the cost to the phase.
func (d *Discovery) Publish(phase *Phase, changes ...BackendInfo) {
	phase.PublishedEntries += len(changes)
	for _, change := range changes {
		d.current[change.ID-1] = change
		d.publications = append(d.publications, publication{phase: phase, change: change, publishedAt: d.clock.Now(),
			bytes: encodedEntryBytes(change)})
	}
	for _, agent := range d.agents {
		d.schedule(agent)
	}
}

// CutOff disconnects agents from discovery or reconnects them.
func (d *Discovery) CutOff(agents []*simulatedAgent, cutOff bool) {
	for _, agent := range agents {
		agent.cutOff = cutOff
		d.schedule(agent)
	}
}

// schedule schedules a delivery to an agent, unless one is scheduled, the agent is cut off or it is up to date.
func (d *Discovery) schedule(agent *simulatedAgent) {
	if agent.deliveryScheduled || agent.cutOff || agent.delivered == len(d.publications) {
		return
	}
	agent.deliveryScheduled = true
	d.clock.AfterFunc(minPropagationDelay+
		time.Duration(d.random.Int64N(int64(maxPropagationDelay-minPropagationDelay))), func() {
		agent.deliveryScheduled = false
		if !agent.cutOff {
			d.deliver(agent)
		}
	})
}

// deliver sends all pending changes to an agent's gateway and measures the cost. The measured processor time counts as
// part of the delay.
func (d *Discovery) deliver(agent *simulatedAgent) {
	pending := d.publications[agent.delivered:]
	agent.delivered = len(d.publications)
	full := len(pending) > maxIncrementalEntries
	entries, bytes := coalesce(pending)
	if full {
		entries = d.listedBackends()
		bytes = encodedListBytes(int64(agent.delivered), true, entries)
	}
	now := d.clock.Now()
	before := processorTime()
	if full {
		agent.gateway.ApplyList(now, entries)
	} else {
		agent.gateway.ApplyChanges(now, entries)
	}
	cpuTime := processorTime() - before
	agent.busyUntil = max(agent.busyUntil, now) + cpuTime
	d.account(agent, pending, full, bytes, cpuTime)
}

// account attributes the bytes and the processor time of a message to the phases of its publications, in proportion to
// their number. The message itself, and the totals of the agent's second, count for the phase of the first publication.
func (d *Discovery) account(agent *simulatedAgent, pending []publication, full bool, bytes int, cpuTime time.Duration) {
	now := d.clock.Now()
	if second := now.Truncate(time.Second); second != agent.second {
		agent.second, agent.secondBytes, agent.secondCPUTime = second, 0, 0
	}
	agent.secondBytes += bytes
	agent.secondCPUTime += cpuTime
	share := 1 / float64(len(pending))
	for i, published := range pending {
		phase := published.phase
		if i == 0 {
			phase.Messages++
			if full {
				phase.FullLists++
			}
			phase.MaxBytesPerSecond = max(phase.MaxBytesPerSecond, agent.secondBytes)
			phase.MaxCPUMillisPerSecond = max(phase.MaxCPUMillisPerSecond, agent.secondCPUTime.Seconds()*1000)
		}
		phase.BytesPerGateway += share * float64(bytes)
		phase.CPUMillisPerGateway += share * cpuTime.Seconds() * 1000
		// Delays are below a day, so that all values are in the range of the histogram.
		_ = phase.delays.RecordValue(max(1, (agent.busyUntil - published.publishedAt).Microseconds()))
	}
}

// listedBackends returns the entries of the backends that are not gone.
func (d *Discovery) listedBackends() (entries []BackendInfo) {
	for _, backend := range d.current {
		if backend != asGone(backend) {
			entries = append(entries, backend)
		}
	}
	return entries
}

// coalesce returns the last change of each backend, in the order of publication, and the length of the message on the
// wire.
func coalesce(pending []publication) (entries []BackendInfo, bytes int) {
	last := make(map[BackendID]int, len(pending))
	for i, published := range pending {
		last[published.change.ID] = i
	}
	bytes = emptyListBytes
	for i, published := range pending {
		if last[published.change.ID] == i {
			entries = append(entries, published.change)
			bytes += published.bytes
		}
	}
	return entries, bytes
}
