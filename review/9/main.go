// Case 9: where lists are asked for and discovery is crowded, a gateway takes the answers of a control server as proof
// that it does not drain, for longer than the time after which the drain counts as told.
package main

import (
	"fmt"
	"time"

	"herontiller/review/rig"
)

const (
	servers  = 9
	interval = 20 * time.Millisecond // between two requests

	drainAfter = 5 * time.Second         // from the silence of the watch to the drain
	servesFor  = 2100 * time.Millisecond // from its drain until the control server turns new requests away
	queueWait  = 2 * time.Second         // how long a crowded discovery lets a call wait before it fails
	crowded    = 8 * time.Second         // from the silence of the watch

	told  = 6 * time.Second        // what a silent watch misses counts as told at the latest after this time
	grace = 500 * time.Millisecond // stop_sending_within_us of the settings
	slack = 50 * time.Millisecond  // by which every time limit on sockets is longer
)

func play(r *rig.Run) (bool, error) {
	fleet, err := r.Fleet(servers, rig.Serve)
	if err != nil {
		return false, err
	}
	table := rig.NewTable(fleet)
	discovery, err := r.NewDiscovery(table)
	if err != nil {
		return false, err
	}
	gateway, err := r.NewGateway(0, discovery.Address, rig.Settings(1, "on_request"))
	if err != nil {
		return false, err
	}
	if _, err := gateway.Bring(table.Whole(), 1); err != nil {
		return false, err
	}
	client := r.NewClient(gateway.Listen)
	load := client.StartLoad(interval, func() *rig.Request { return rig.NewRequest("read-setpoint", 1) })
	time.Sleep(3 * time.Second)

	if err := discovery.AwaitHeartbeat(); err != nil {
		return false, err
	}
	if r.Trouble {
		discovery.SetRefuse(queueWait)
	}
	discovery.MuteWatches()
	silent := time.Now()
	time.Sleep(time.Until(silent.Add(drainAfter)))
	draining := fleet[0]
	r.Logf("discovery has that %s drains", draining.Host)
	table.Drain(draining.Host)
	time.Sleep(servesFor)
	r.Logf("%s turns new requests away", draining.Host)
	draining.SetAnswer(rig.TurnAway)
	time.Sleep(time.Until(silent.Add(crowded)))
	discovery.SetRefuse(0)
	time.Sleep(3 * time.Second)
	results := load.Stop()

	limit, late := silent.Add(told+grace+slack), 0
	for _, received := range draining.Received() {
		if received.FirstByte.After(limit) {
			late++
			r.Logf("late: %s got %s at %.3f, allowed until %.3f", draining.Host, received.ID, r.At(received.FirstByte),
				r.At(limit))
		}
	}
	served := rig.Count(results, 200)
	r.Sayf("%d requests, %d answered 200; sent to the draining server later than %v after the watch fell silent: %d",
		len(results), served, told+grace+slack, late)
	if served < len(results)/4 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return late > 0, nil
}

func main() { rig.Main(play) }
