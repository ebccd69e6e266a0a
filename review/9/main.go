// Case 9: a gateway that starts again while its agent is silent goes on sending to a control server that its agent has
// as draining.
package main

import (
	"fmt"
	"time"

	"herontiller/review/rig"
)

const (
	gateways = 2
	servers  = 9
	interval = 25 * time.Millisecond // between two requests at a gateway

	drainAfter  = 500 * time.Millisecond  // from the end of the process to the drain, which its agent is told
	outageAfter = time.Second             // from the end of the process until discovery is down
	backAfter   = 2500 * time.Millisecond // from the end of the process until it starts again
	outage      = 8 * time.Second

	grace = 500 * time.Millisecond // stop_sending_within_us of the settings
	slack = 50 * time.Millisecond  // by which every time limit on sockets is longer
)

// place is a gateway with its agent and its clients.
type place struct {
	gateway *rig.Gateway
	agent   *rig.Discovery
	client  *rig.Client
}

func play(r *rig.Run) (bool, error) {
	fleet, err := r.Fleet(servers, rig.Serve)
	if err != nil {
		return false, err
	}
	table := rig.NewTable(fleet)
	var places []place
	for me := range gateways {
		agent, err := r.NewDiscovery(table)
		if err != nil {
			return false, err
		}
		gateway, err := r.NewGateway(me, agent.Address, rig.Settings(gateways, "pushed"))
		if err != nil {
			return false, err
		}
		if _, err := gateway.Bring(table.Whole(), uint64(me)+1); err != nil {
			return false, err
		}
		places = append(places, place{gateway, agent, r.NewClient(gateway.Listen)})
	}
	next := func() *rig.Request { return rig.NewRequest("read-setpoint", gateways) }
	loads := []*rig.Load{places[0].client.StartLoad(interval, next), places[1].client.StartLoad(interval, next)}
	time.Sleep(2 * time.Second)

	first := places[0]
	lastHeld := table.Whole()
	loads[0].Stop() // the front takes the gateway out
	if err := first.gateway.Kill(); err != nil {
		return false, err
	}
	killed := time.Now()
	time.Sleep(time.Until(killed.Add(drainAfter)))
	draining := fleet[0]
	r.Logf("discovery tells all agents that %s drains", draining.Host)
	draining.SetAnswer(rig.TurnAway)
	table.Drain(draining.Host)
	time.Sleep(time.Until(killed.Add(outageAfter)))
	if r.Trouble {
		for _, p := range places {
			p.agent.SetSilent(true)
		}
	}
	time.Sleep(time.Until(killed.Add(backAfter)))
	started, err := first.gateway.Bring(lastHeld, 3)
	if err != nil {
		return false, err
	}
	after := first.client.StartLoad(interval, next)
	time.Sleep(time.Until(killed.Add(outageAfter + outage)))
	for _, p := range places {
		p.agent.SetSilent(false)
	}
	time.Sleep(time.Second)
	results := after.Stop()
	loads[1].Stop()
	return judge(r, draining, results, started)
}

// judge counts what the gateway that started again sent to the draining control server too late.
func judge(r *rig.Run, draining *rig.Server, results []rig.Result, started time.Time) (bool, error) {
	sentHere := map[string]bool{}
	for _, result := range results {
		sentHere[result.Request.ID] = true
	}
	limit, late := started.Add(grace+slack), 0
	for _, received := range draining.Received() {
		if sentHere[received.ID] && received.FirstByte.After(limit) {
			late++
			r.Logf("late: %s got %s at %.3f, allowed until %.3f", draining.Host, received.ID, r.At(received.FirstByte),
				r.At(limit))
		}
	}
	served := rig.Count(results, 200)
	r.Sayf("%d requests at the gateway that started again, %d answered 200; sent to the draining server later than "+
		"%v after its start: %d", len(results), served, grace+slack, late)
	if served < len(results)/4 && late == 0 && !r.Trouble {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return late > 0, nil
}

func main() { rig.Main(play) }
