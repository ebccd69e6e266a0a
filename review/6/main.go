// Case 6: while bad clients send hundreds of requests at once, requests of usual clients are answered long after their
// time, or never.
package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"herontiller/review/rig"
)

const (
	servers    = 9
	memoryMB   = 64
	sockets    = 512
	interval   = time.Second / 40 // between two requests of the usual clients
	badClients = 400              // each has one request open at a time
	patience   = time.Second      // of usual clients: half of the deadline of log-alarm
	duration   = 12 * time.Second

	grace = 500 * time.Millisecond // after a request's time, until which an answer only earns nothing
	slack = 50 * time.Millisecond  // by which every time limit on sockets is longer
)

func play(r *rig.Run) (bool, error) {
	fleet, err := r.Fleet(servers, rig.Serve)
	if err != nil {
		return false, err
	}
	table := rig.NewTable(fleet)
	agent, err := r.NewDiscovery(table)
	if err != nil {
		return false, err
	}
	gateway, err := r.NewGateway(0, agent.Address, rig.Settings(1, "pushed"))
	if err != nil {
		return false, err
	}
	gateway.MemoryMB, gateway.Sockets = memoryMB, sockets
	if _, err := gateway.Bring(table.Whole(), 1); err != nil {
		return false, err
	}
	next := func() *rig.Request { return rig.NewRequest("read-setpoint", 1) }
	usual := func() *rig.Request {
		request := rig.NewRequest("log-alarm", 1)
		request.Timeout = patience
		return request
	}
	load := r.NewClient(gateway.Listen).StartLoad(interval, usual)
	time.Sleep(2 * time.Second)
	var ended atomic.Bool
	var sent atomic.Int64
	if r.Trouble {
		r.Logf("%d bad clients begin", badClients)
		for range badClients {
			go r.Pester(gateway.Listen, &ended, &sent, next)
		}
	}
	time.Sleep(duration)
	ended.Store(true)
	r.Logf("the bad clients end")
	results := load.Stop()
	if !gateway.Running() {
		return false, fmt.Errorf("%s has ended", gateway.Name)
	}
	return judge(r, results, sent.Load()), nil
}

// judge counts the requests of usual clients that had no answer in time. A request whose connection was closed without
// an answer is not counted: the gateway may not have read it.
func judge(r *rig.Run, results []rig.Result, sent int64) bool {
	late, closed := 0, 0
	for _, result := range results {
		limit := result.Request.Timeout + grace + slack
		switch waited := result.Answered.Sub(result.Sent); {
		case waited > limit:
			late++
			r.Logf("lost: %s was sent at %.3f; status %d after %v, allowed until %v", result.Request.ID,
				r.At(result.Sent), result.Status, waited, limit)
		case result.Status == 0:
			closed++
		}
	}
	r.Sayf("%d requests of usual clients, %d answered 200, %d answered 503, %d closed without an answer, %d answered or "+
		"given up later than %v after their time; %d requests of bad clients", len(results), rig.Count(results, 200),
		rig.Count(results, 503), closed, late, grace+slack, sent)
	return late > 0
}

func main() { rig.Main(play) }
