// Case 7: an answer whose Content-Length is too small for its body is passed on, cut short, as a good answer.
package main

import (
	"fmt"
	"net"
	"time"

	"herontiller/review/rig"
)

const (
	servers   = 9
	requests  = 200
	spoilEach = 5  // with the disruption, one answer of so many is spoilt
	missing   = 30 // bytes by which the stated length of a spoilt answer is too small
)

// spoil answers like rig.Serve, in one write, and states a length that is too small in one of spoilEach answers.
func spoil(request *rig.Received, conn net.Conn) bool {
	if request.Seq%spoilEach != 0 {
		return rig.Serve(request, conn)
	}
	time.Sleep(rig.Work)
	body := rig.Body(request.ID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-RateLimit-Used: 10\r\n\r\n%s",
		len(body)-missing, body)
	return err == nil
}

func play(r *rig.Run) (bool, error) {
	answer := rig.Serve
	if r.Trouble {
		answer = spoil
	}
	fleet, err := r.Fleet(servers, answer)
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
	if _, err := gateway.Bring(table.Whole(), 1); err != nil {
		return false, err
	}
	client := r.NewClient(gateway.Listen)
	wrong := 0
	load := client.StartLoad(25*time.Millisecond, func() *rig.Request { return rig.NewRequest("read-setpoint", 1) })
	time.Sleep(requests * 25 * time.Millisecond)
	results := load.Stop()
	for _, result := range results {
		if result.Status == 200 && result.Body != rig.Body(result.Request.ID) {
			wrong++
			r.Logf("wrong: %s was answered 200 with %q, the control server answered with %q", result.Request.ID,
				result.Body, rig.Body(result.Request.ID))
		}
	}
	served := rig.Count(results, 200)
	r.Sayf("%d requests, %d answered 200, %d of these with something else than the answer made for them",
		len(results), served, wrong)
	if served < len(results)/4 {
		return false, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return wrong > 0, nil
}

func main() { rig.Main(play) }
