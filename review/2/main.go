// Command 2 is case 2 of the review: a request that hides in the body of another one.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"herontiller/review/stand"
)

const (
	hiddenRequests = 10
	serverTime     = 80 * time.Millisecond
)

func main() { stand.Run(60*time.Second, play) }

func play(c *stand.Case) int {
	fleet, err := c.StartFleet(2, 4, func(_ *stand.ControlServer, conn *net.TCPConn, r stand.Received) bool {
		time.Sleep(serverTime)
		return stand.Write(conn, "200 OK", "", stand.Body(r.ID))
	})
	if err != nil {
		return c.Fail("%v", err)
	}
	sent := c.Ordinary(fleet, 30, 50*time.Millisecond)
	if served := stand.Served(sent); served < len(sent)/2 {
		return c.Fail("only %d of %d ordinary requests were served", served, len(sent))
	}
	hidden := map[string]bool{}
	for i := range hiddenRequests {
		id := stand.NewID()
		hidden[id] = true
		hide(c, fleet.Doors[i%len(fleet.Doors)], id)
	}
	sent = append(sent, c.Ordinary(fleet, 30, 50*time.Millisecond)...)
	ordinary := map[string]bool{}
	for _, s := range sent {
		ordinary[s.ID] = true
	}
	passedOn, unknown := 0, 0
	for _, r := range fleet.Received() {
		switch {
		case hidden[r.ID]:
			passedOn++
		case !ordinary[r.ID]:
			unknown++
		}
	}
	c.Say("ordinary requests: %d sent, %d served; hidden in bodies: %d, passed on: %d; others passed on: %d",
		len(sent), stand.Served(sent), hiddenRequests, passedOn, unknown)
	if !fleet.Running() {
		c.Say("a front door has ended")
		return stand.Broken
	}
	if passedOn > 0 {
		c.Say("BROKEN: control servers ran commands that were the body of another request")
		return stand.Broken
	}
	return stand.Held
}

// hide sends GET /ready with a body, which holds a command. The length of the body is stated by Content-Length; with the
// disruption there is a Transfer-Encoding as well, by which the body ends before the command.
func hide(c *stand.Case, door *stand.FrontDoor, id string) {
	body := "0\r\n\r\n" + stand.Request("start-plant", id)
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if c.Trouble {
		framing += "Transfer-Encoding: chunked\r\n"
	}
	conn, err := net.Dial("tcp", door.Address)
	if err != nil {
		c.Log("bad client could not connect: %v", err)
		return
	}
	defer conn.Close()
	c.Log("bad client sends GET /ready to %s, %q, whose body hides a command, id %s", door.Name, framing, id)
	if _, err := io.WriteString(conn, "GET /ready HTTP/1.1\r\nHost: origin.svc\r\n"+framing+"\r\n"+body); err != nil {
		c.Log("bad client could not send: %v", err)
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			c.Log("bad client got no further answer: %v", err)
			return
		}
		text, _ := io.ReadAll(response.Body)
		c.Log("bad client got %s, body %q", response.Status, text)
	}
}
