package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Host is an entry of the list of control servers.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// List is a list of control servers, or changes to it.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Agent is a stand-in for the discovery agent of a front door's machine. It answers at once, sends the whole list as
// the first line of a watch and then each change, and an empty line every 2 s.
type Agent struct {
	Address string

	mu      sync.Mutex
	list    List
	watches map[chan List]bool
}

// StartAgent starts an agent that lists control servers as ready and long started.
func (c *Case) StartAgent(servers []*ControlServer) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.AtEnd(func() { listener.Close() })
	a := &Agent{Address: listener.Addr().String(), list: List{Seq: 1, Whole: true, Hosts: Hosts(servers)},
		watches: map[chan List]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go a.serve(conn)
		}
	}()
	return a, nil
}

// Hosts returns the entries of control servers that are ready.
func Hosts(servers []*ControlServer) []Host {
	var hosts []Host
	for i, s := range servers {
		hosts = append(hosts, Host{Host: s.Name, Dial: s.Address, Site: "muscat-dc1", Class: "std-2core", Block: i / 2,
			Health: "Ready", Share: 1})
	}
	return hosts
}

// Whole returns the whole list.
func (a *Agent) Whole() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list
}

// serve answers one call.
func (a *Agent) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	text, _ := json.Marshal(a.Whole())
	if request.URL.Query().Get("watch") == "" {
		Write(conn, "200 OK", "Connection: close\r\nContent-Type: application/json\r\n", string(text)+"\n")
		return
	}
	changes := make(chan List, 16)
	a.mu.Lock()
	a.watches[changes] = true
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.watches, changes)
		a.mu.Unlock()
	}()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	line := string(text) + "\n"
	heartbeat := time.NewTicker(2 * time.Second)
	defer heartbeat.Stop()
	for {
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		select {
		case <-heartbeat.C:
			line = "\n"
		case change := <-changes:
			text, _ := json.Marshal(change)
			line = string(text) + "\n"
		}
	}
}
