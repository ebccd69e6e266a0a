package scalelab

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Discovery is a stand-in for discovery with an agent beside each gateway, on the simulated clock. A change reaches an
// agent after a random delay, and with it all others that were published meanwhile. An agent that was cut off is told
// of what changed since, or of the whole list where that is too much.
type Discovery struct {
	clock   *Clock
	random  *rand.Rand
	current []BackendInfo
	log     []publication
	agents  []*agent
}

// The delays are the lab's own assumption: the operators say only that changes come seconds late.
const (
	leastDelay  = 200 * time.Millisecond
	mostDelay   = 2 * time.Second
	mostHistory = 10_000 // entries that an agent is told as changes; more are told as the whole list
)

type publication struct {
	phase  *Phase
	change BackendInfo
	at     time.Duration
	bytes  int // of the entry, as discovery writes it
}

// Phase sums up what one kind of change costs.
type Phase struct {
	Name          string  `json:"name"`
	Published     int     `json:"published"` // entries
	Messages      int     `json:"messages"`  // over all gateways
	WholeLists    int     `json:"whole_lists"`
	Bytes         float64 `json:"bytes_per_gateway"`
	CPUMillis     float64 `json:"cpu_ms_per_gateway"`
	MostBytes     int     `json:"most_bytes_in_a_second"` // of any gateway
	MostCPUMillis float64 `json:"most_cpu_ms_in_a_second"`
	MedianMillis  float64 `json:"in_force_median_ms"`
	P99Millis     float64 `json:"in_force_p99_ms"`
	LastMillis    float64 `json:"in_force_last_ms"`

	inForce *hdrhistogram.Histogram // microseconds
}

// NewPhase starts a phase with nothing counted.
func NewPhase(name string) *Phase {
	return &Phase{Name: name, inForce: hdrhistogram.New(1, int64(24*time.Hour/time.Microsecond), 3)}
}

func (p *Phase) finish(gateways int) {
	p.Bytes /= float64(gateways)
	p.CPUMillis /= float64(gateways)
	p.MedianMillis = float64(p.inForce.ValueAtQuantile(50)) / 1000
	p.P99Millis = float64(p.inForce.ValueAtQuantile(99)) / 1000
	p.LastMillis = float64(p.inForce.Max()) / 1000
}

type agent struct {
	gateway       *HollowGateway
	told          int // publications
	waits         bool
	cutOff        bool
	busyUntil     time.Duration
	second        time.Duration // that bytes and cpu are of
	bytes         int
	processorTime time.Duration
}

// NewDiscovery gives the list to all gateways.
func NewDiscovery(clock *Clock, random *rand.Rand, list []BackendInfo, gateways []*HollowGateway) *Discovery {
	discovery := &Discovery{clock: clock, random: random, current: list}
	for _, hollow := range gateways {
		discovery.agents = append(discovery.agents, &agent{gateway: hollow})
	}
	return discovery
}

// Publish changes entries of the list.
func (d *Discovery) Publish(phase *Phase, changes ...BackendInfo) {
	phase.Published += len(changes)
	for _, change := range changes {
		d.current[change.ID-1] = change
		d.log = append(d.log, publication{phase: phase, change: change, at: d.clock.Now(), bytes: entryBytes(change)})
	}
	for _, agent := range d.agents {
		d.schedule(agent)
	}
}

// CutOff parts some agents from discovery, or brings them back.
func (d *Discovery) CutOff(agents []*agent, cutOff bool) {
	for _, agent := range agents {
		agent.cutOff = cutOff
		d.schedule(agent)
	}
}

func (d *Discovery) schedule(agent *agent) {
	if agent.waits || agent.cutOff || agent.told == len(d.log) {
		return
	}
	agent.waits = true
	d.clock.After(leastDelay+time.Duration(d.random.Int64N(int64(mostDelay-leastDelay))), func() {
		agent.waits = false
		if !agent.cutOff {
			d.deliver(agent)
		}
	})
}

// deliver brings an agent and its gateway up to date, and measures what that costs.
func (d *Discovery) deliver(agent *agent) {
	news := d.log[agent.told:]
	agent.told = len(d.log)
	whole := len(news) > mostHistory
	entries, bytes := latest(news)
	if whole {
		entries = d.listed()
		bytes = listBytes(int64(agent.told), true, entries)
	}
	now := d.clock.Now()
	from := processorTime()
	if whole {
		agent.gateway.TakeList(now, entries)
	} else {
		agent.gateway.TakeChanges(now, entries)
	}
	used := processorTime() - from
	agent.busyUntil = max(agent.busyUntil, now) + used
	d.account(agent, news, whole, bytes, used)
}

// account counts a message to the phases of its entries, each by its part of them.
func (d *Discovery) account(agent *agent, news []publication, whole bool, bytes int, used time.Duration) {
	now := d.clock.Now()
	if second := now.Truncate(time.Second); second != agent.second {
		agent.second, agent.bytes, agent.processorTime = second, 0, 0
	}
	agent.bytes += bytes
	agent.processorTime += used
	part := 1 / float64(len(news))
	for i, published := range news {
		phase := published.phase
		if i == 0 {
			phase.Messages++
			if whole {
				phase.WholeLists++
			}
			phase.MostBytes = max(phase.MostBytes, agent.bytes)
			phase.MostCPUMillis = max(phase.MostCPUMillis, agent.processorTime.Seconds()*1000)
		}
		phase.Bytes += part * float64(bytes)
		phase.CPUMillis += part * used.Seconds() * 1000
		_ = phase.inForce.RecordValue(max(1, (agent.busyUntil - published.at).Microseconds())) // within a day: in range
	}
}

// listed are the backends that are not gone.
func (d *Discovery) listed() (entries []BackendInfo) {
	for _, backend := range d.current {
		if backend != gone(backend) {
			entries = append(entries, backend)
		}
	}
	return entries
}

// latest keeps the last change of each backend, in the order of the last changes, and counts the message's bytes.
func latest(news []publication) (entries []BackendInfo, bytes int) {
	last := make(map[BackendID]int, len(news))
	for i, published := range news {
		last[published.change.ID] = i
	}
	bytes = emptyListBytes
	for i, published := range news {
		if last[published.change.ID] == i {
			entries = append(entries, published.change)
			bytes += published.bytes
		}
	}
	return entries, bytes
}
