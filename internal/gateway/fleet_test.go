package gateway

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The fleet tests run many gateways beside each other over one clock. Nothing but their events reaches them, and
// what is bounded is the sum over all of them: the gateways that restart from nothing and those that get most of
// the traffic are among them. Outcomes come after random times, in the way of a back end that is half busy.

type fleetEvent struct {
	at   time.Duration
	door int
	life int
	ev   Event
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int           { return len(q) }
func (q fleetQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q fleetQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// fleetRun is a fleet under way. The hooks see what all gateways do.
type fleetRun struct {
	t     *testing.T
	set   Settings
	rng   *rand.Rand
	now   time.Duration
	list  []BackendInfo
	doors []*Gateway
	lives []int
	at    int     // the gateway that is acting
	fails float64 // share of the attempts that end in an error
	queue fleetQueue
	next  RequestID
	reqs  map[RequestID]Request
	tries map[RequestID]int
	use   func(CustomerID) (float64, bool) // the meter's word for an answer now

	onSend   func(r Request, b BackendID, first bool)
	onEnd    func(r Request)
	onRefuse func(r Request, after time.Duration)
}

const fleetStart = 1000 * second // on the fleet's clock

const meanWork = 100 * ms // of an attempt in these tests

func newFleet(t *testing.T, set Settings, seed uint64, backends int) *fleetRun {
	f := &fleetRun{t: t, set: set, rng: rand.New(rand.NewPCG(seed, 9)), now: fleetStart, list: fleet(backends),
		doors: make([]*Gateway, set.Gateways), lives: make([]int, set.Gateways), reqs: map[RequestID]Request{},
		tries: map[RequestID]int{}, onSend: func(Request, BackendID, bool) {}, onEnd: func(Request) {},
		onRefuse: func(Request, time.Duration) {}}
	for door := range f.doors {
		f.start(door)
	}
	return f
}

// start begins a gateway from nothing but the list. What it had out before ends with it.
func (f *fleetRun) start(door int) {
	for _, e := range f.queue {
		if o, ok := e.ev.(Outcome); ok && e.door == door && e.life == f.lives[door] {
			f.onEnd(f.reqs[o.Request])
		}
	}
	f.set.Index = door
	g, err := New(f.set, f.rng.Uint64(), f.now)
	if err != nil {
		f.t.Fatal(err)
	}
	f.doors[door] = g
	f.lives[door]++
	f.give(door, BackendList{Kind: ListSaved, Backends: f.list})
}

func (f *fleetRun) give(door int, ev Event) {
	f.at = door
	for _, a := range f.doors[door].Handle(f.now, ev, nil) {
		switch a := a.(type) {
		case Send:
			r, n := f.reqs[a.Request], f.tries[a.Request]
			f.tries[a.Request]++
			f.onSend(r, a.Backend, n == 0)
			took := seconds(meanWork.Seconds() * f.rng.ExpFloat64())
			out := Outcome{Request: a.Request, Backend: a.Backend, Attempt: n, Result: Answered, Duration: took, Final: true}
			if f.fails > 0 && f.rng.Float64() < f.fails {
				out.Result, out.Final = AnsweredError, false
			}
			f.after(took, door, out)
		case Reject:
			f.onRefuse(f.reqs[a.Request], a.RetryAfter)
		case SetTimer:
			f.after(a.After, door, Timer{Token: a.Token})
		}
	}
}

func (f *fleetRun) after(d time.Duration, door int, ev Event) {
	heap.Push(&f.queue, fleetEvent{f.now + d, door, f.lives[door], ev})
}

// runUntil plays what is due, with requests of ask coming at the rate a second, or none where it gives no gateway.
func (f *fleetRun) runUntil(end time.Duration, rate float64, ask func() (door int, r Request)) {
	arrival := f.now + seconds(f.rng.ExpFloat64()/rate)
	for {
		for len(f.queue) > 0 && f.queue[0].at <= min(arrival, end) {
			e := heap.Pop(&f.queue).(fleetEvent)
			f.now = max(f.now, e.at)
			if e.life != f.lives[e.door] {
				continue
			}
			if o, ok := e.ev.(Outcome); ok {
				f.onEnd(f.reqs[o.Request])
				if f.use != nil {
					o.UsagePercent, o.HasUsage = f.use(f.reqs[o.Request].Customer)
				}
				e.ev = o
			}
			f.give(e.door, e.ev)
		}
		if arrival > end {
			f.now = end
			return
		}
		f.now = arrival
		arrival += seconds(f.rng.ExpFloat64() / rate)
		door, r := ask()
		if door < 0 {
			continue
		}
		if r.ID == 0 {
			f.next++
			r.ID = f.next
		}
		f.reqs[r.ID] = r
		f.give(door, r)
	}
}

// unevenly draws a gateway of a set: the first of it gets several times what the last one gets.
func (f *fleetRun) unevenly(first, spread int) int {
	at := int(float64(spread) * math.Pow(f.rng.Float64(), 2.5))
	return (first + at) % f.set.Gateways
}

// All gateways together keep a customer under its ceiling, in rate and in attempts out, however many its gateways
// are, however little comes to each of them, and whichever of them restart from nothing.
func TestAllDoorsKeepTheCeilings(t *testing.T) {
	for _, c := range []struct {
		spread, open int
		burst, most  float64 // of the ceiling; units of the largest request
		rate         float64
	}{{2, 3, 60, 8, 20}, {4, 3, 64, 8, 20}, {4, 2, 64, 8, 20}, {3, 4, 60, 8, 20}, {5, 7, 80, 8, 20}, {20, 3, 8, 1, 20},
		{30, 2, 8, 2, 20}, {12, 40, 20, 8, 20}, {20, 3, 400, 1, 400}, {30, 2, 800, 2, 400}, {15, 4, 240, 8, 400}} {
		set := testSettings()
		set.Gateways, set.MaxRequestUnits = 30, c.most
		p := Plan{Name: "estate", Rate: c.rate, Burst: c.burst / 2, ValueFactor: 1, MaxInFlight: c.open, CeilingRate: 2 * c.rate, CeilingBurst: c.burst,
			CeilingSlack: c.most}
		set.Plans = append(set.Plans, p)
		for seed := range uint64(3) {
			f := newFleet(t, set, seed, 10)
			const customers, length = 3, 20.0
			var store [customers]float64
			var at [customers]time.Duration
			var out, mostOut [customers]int
			var outTime [customers]float64 // attempt-seconds
			var outAt [customers]time.Duration
			count := func(i CustomerID, by int) {
				outTime[i] += float64(out[i]) * (f.now - outAt[i]).Seconds()
				outAt[i] = f.now
				out[i] += by
				mostOut[i] = max(mostOut[i], out[i])
			}
			sent := 0
			for i := range store {
				store[i], at[i], outAt[i] = c.burst, f.now, f.now
			}
			f.onSend = func(r Request, _ BackendID, first bool) {
				i := r.Customer
				count(i, 1)
				if !first {
					return
				}
				sent++
				store[i] = min(c.burst, store[i]+p.CeilingRate*(f.now-at[i]).Seconds()) - r.Units
				if at[i] = f.now; store[i] < -1e-6 {
					t.Fatalf("%+v seed %d: the ceiling's store is at %v", c, seed, store[i])
				}
			}
			f.onEnd = func(r Request) { count(r.Customer, -1) }
			ask := func() (int, Request) {
				i := f.rng.IntN(customers)
				first := 7 * i
				return f.unevenly(first, c.spread), Request{Customer: CustomerID(i), Class: "safe", Plan: p.Name,
					Units: 1 + float64(f.rng.IntN(int(c.most))), Timeout: 3 * second, FirstGateway: first, GatewayCount: c.spread}
			}
			for range int(length) {
				f.runUntil(f.now+second, 200, ask)
				for range 3 {
					f.start(f.rng.IntN(set.Gateways))
				}
			}
			for i, n := range mostOut {
				if most := max(c.open, c.spread); n > most { // a gateway with a part of one attempt has one at most
					t.Errorf("%+v seed %d: %d attempts of customer %d out at once", c, seed, n, i)
				}
				if mean := outTime[i] / length; mean > float64(c.open)+1 { // the rule's slack is one request
					t.Errorf("%+v seed %d: %.2f attempts of customer %d out on average", c, seed, mean, i)
				}
			}
			if sent < 100 {
				t.Errorf("%+v seed %d: only %d requests sent, too few to tell anything", c, seed, sent)
			}
		}
	}
}

// A cold backend bears only so much of what all gateways send: FallMultiple of its capacity over FallFor. Most
// gateways are killed and come back just when half of the backends have been replaced, so that all of them know
// nothing at once.
func TestAllDoorsSpareColdBackends(t *testing.T) {
	const doors, backends, replaced, perDoor = 150, 90, 45, 10.0
	const capacity = 20.0 // attempts a second of a warm backend: two cores and meanWork; the fleet asks for 83 in 100 of it
	set := testSettings()
	set.Gateways, set.ColdCapacity, set.WarmUpTime, set.OverloadMultiple, set.OverloadTime = doors, 0.19, 15*second, 3, 1500*ms
	for seed := range uint64(3) {
		f := newFleet(t, set, seed, backends)
		ask := func() (int, Request) {
			return f.unevenly(0, doors), Request{Customer: CustomerID(f.rng.IntN(5000)), Class: "safe", Plan: "wide", Units: 1,
				Timeout: 3 * second, GatewayCount: doors}
		}
		f.runUntil(f.now+8*second, doors*perDoor, ask)
		born := f.now
		for i := range replaced {
			f.list[i].Started = born
		}
		for door := range doors {
			if f.rng.IntN(10) < 7 {
				f.start(door)
			} else {
				f.give(door, BackendList{Kind: ListChanges, Backends: f.list})
			}
		}
		sent := make([][]time.Duration, backends+1)
		f.onSend = func(_ Request, b BackendID, _ bool) { sent[b] = append(sent[b], f.now) }
		f.runUntil(born+6*second, doors*perDoor, ask)
		worst := 0.0
		for b := 1; b <= replaced; b++ {
			for i, from := 0, 0; i < len(sent[b]); i++ {
				for sent[b][i]-sent[b][from] > set.OverloadTime {
					from++
				}
				age := (sent[b][from] - born).Seconds()
				warmth := set.ColdCapacity + (1-set.ColdCapacity)*age/set.WarmUpTime.Seconds()
				worst = max(worst, float64(i-from+1)/(set.OverloadMultiple*warmth*capacity*set.OverloadTime.Seconds()))
			}
		}
		t.Logf("seed %d: at most %.2f of what makes a cold backend fall", seed, worst)
		if worst > 1 {
			t.Errorf("seed %d: a cold backend was sent %.2f times what it bears", seed, worst)
		}
	}
}

// Where readings of the meter come with answers, in the time that they take, all gateways of a customer that asks
// for many times its quota send about the quota: what none of them can know yet is all that is beyond it.
func TestAllDoorsKeepTheQuota(t *testing.T) {
	const doors, late, length = 8, 700 * ms, 30.0
	set := testSettings()
	set.Gateways, set.MeterPeriod, set.MaxRequestUnits = doors, 500*ms, 2
	p := Plan{Name: "business", Rate: 12, Burst: 24, ValueFactor: 1}
	set.Plans = append(set.Plans, p)
	for seed := range uint64(3) {
		f := newFleet(t, set, seed, 20)
		periods := map[time.Duration]float64{}
		total := 0.0
		f.onSend = func(r Request, _ BackendID, first bool) {
			if first {
				periods[f.now/set.MeterPeriod] += r.Units
				total += r.Units
			}
		}
		f.use = func(CustomerID) (float64, bool) {
			return 100 * periods[(f.now-late)/set.MeterPeriod-1] / (p.Rate * set.MeterPeriod.Seconds()), true
		}
		ask := func() (int, Request) {
			return f.unevenly(0, doors), Request{Customer: 1, Class: "safe", Plan: p.Name, Units: 1 + float64(f.rng.IntN(2)),
				Timeout: 3 * second, GatewayCount: doors}
		}
		f.runUntil(f.now+seconds(length), 5*p.Rate, ask)
		may := p.Burst + p.Rate*length
		t.Logf("seed %d: %.0f units sent, the quota is %.0f", seed, total, may)
		if total > 1.5*may || total < may/2 {
			t.Errorf("seed %d: %.0f units sent, the quota is %.0f", seed, total, may)
		}
	}
}

// In a fleet of many gateways, where most requests of a customer are the first that their gateway sees of it,
// customers that ask for four times their quota send less beyond it than where all first requests pass (0.26 to
// 0.30 of the units here), and those that ask for half of it are served about half at least, a large request now
// and then among them. Some gateways restart from nothing. The true state is kept by the test.
func TestManyDoorsSendLittleBeyondTheQuota(t *testing.T) {
	const doors, late, length, heavy, calm = 150, 700 * ms, 30.0, 4, 12
	set := testSettings()
	set.Gateways, set.MeterPeriod, set.MaxRequestUnits = doors, 500*ms, 8
	p := Plan{Name: "basic", Rate: 4, Burst: 16, ValueFactor: 1, ExcessCostShare: 1}
	set.Plans = append(set.Plans, p)
	large := 0.0
	for seed := range uint64(5) {
		f := newFleet(t, set, seed, 20)
		type state struct {
			store   float64
			at      time.Duration
			periods map[time.Duration]float64
		}
		customers := make([]state, heavy+calm)
		for i := range customers {
			customers[i] = state{p.Burst, f.now, map[time.Duration]float64{}}
		}
		var beyond, sent, calmAsked, calmSent, largeAsked, largeSent float64
		f.onSend = func(r Request, _ BackendID, first bool) {
			c := &customers[r.Customer]
			if !first {
				return
			}
			c.store = min(p.Burst, c.store+p.Rate*(f.now-c.at).Seconds())
			c.at = f.now
			c.periods[f.now/set.MeterPeriod] += r.Units
			sent += r.Units
			if r.Customer >= heavy {
				calmSent += r.Units
				largeSent += float64(boolToInt(r.Units >= 6))
			}
			if c.store < r.Units {
				beyond += r.Units
			} else {
				c.store -= r.Units
			}
		}
		f.use = func(id CustomerID) (float64, bool) {
			return 100 * customers[id].periods[(f.now-late)/set.MeterPeriod-1] / (p.Rate * set.MeterPeriod.Seconds()), true
		}
		const heavyRate, calmRate = 4.0, 0.5 // times the quota
		asks := 0
		ask := func() (int, Request) {
			if asks++; asks%500 == 0 {
				f.start(f.rng.IntN(doors))
			}
			id := CustomerID(f.rng.IntN(heavy))
			if f.rng.Float64() < calm*calmRate/(calm*calmRate+heavy*heavyRate) {
				id = heavy + CustomerID(f.rng.IntN(calm))
			}
			units := min(8, 1+math.Floor(f.rng.ExpFloat64()*1.5))
			if id >= heavy {
				calmAsked += units
				largeAsked += float64(boolToInt(units >= 6))
			}
			return f.unevenly(0, doors), Request{Customer: id, Class: "safe", Plan: p.Name, Units: units,
				Timeout: 3 * second, GatewayCount: doors}
		}
		const meanUnits = 2.0
		f.runUntil(f.now+seconds(length), (heavy*heavyRate+calm*calmRate)*p.Rate/meanUnits, ask)
		t.Logf("seed %d: %.3f of the units sent were beyond; of those within, %.2f were sent, of the large requests %.2f",
			seed, beyond/sent, calmSent/calmAsked, largeSent/largeAsked)
		if beyond > 0.23*sent || calmSent < 0.5*calmAsked {
			t.Errorf("seed %d: too much beyond the quota, or too little within it", seed)
		}
		large += largeSent
	}
	if large == 0 {
		t.Error("no large request of a calm customer was ever sent")
	}
}
