package scalelab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"herontiller/internal/frontdoor"
)

// Agent is a stand-in for discovery's agents on a real socket of the loopback interface. It answers the whole list and
// watches, as the protocol says.
type Agent struct {
	Address string
	server  *http.Server

	mu       sync.Mutex
	sequence int64
	whole    []byte // the list's line
	changed  chan struct{}
	last     []byte // the line of the last change
	watches  map[chan struct{}]bool
	wholes   int // whole lists sent
}

const heartbeat = 2 * time.Second

// StartAgent serves a list at a free port.
func StartAgent(hosts []frontdoor.Endpoint) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return ServeAgent(listener, hosts)
}

// ServeAgent serves a list at an address that is given. It takes the listener over.
func ServeAgent(listener net.Listener, hosts []frontdoor.Endpoint) (*Agent, error) {
	agent := &Agent{Address: listener.Addr().String(), sequence: 1, changed: make(chan struct{}),
		watches: map[chan struct{}]bool{}}
	var err error
	if agent.whole, err = listLine(1, true, hosts); err != nil {
		listener.Close()
		return nil, err
	}
	agent.server = &http.Server{Handler: agent}
	go agent.server.Serve(listener)
	return agent, nil
}

func listLine(sequence int64, whole bool, hosts []frontdoor.Endpoint) ([]byte, error) {
	text, err := json.Marshal(frontdoor.EndpointList{Version: sequence, Full: whole, Endpoints: hosts})
	return append(text, '\n'), err
}

// Stop ends all that the agent serves.
func (a *Agent) Stop() { a.server.Close() }

// Change tells all watches of a changed entry. The whole list stays as it was: the lab asks for it at the start only.
func (a *Agent) Change(host frontdoor.Endpoint) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, err := listLine(a.sequence+1, false, []frontdoor.Endpoint{host})
	if err != nil {
		return err
	}
	a.sequence++
	a.last = text
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// CutWatches ends all watches at the same moment.
func (a *Agent) CutWatches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for end := range a.watches {
		close(end)
	}
	count := len(a.watches)
	clear(a.watches)
	return count
}

// Watches is how many are open.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.watches)
}

// since gives what a watch that knows a version has to be told first, and the channel of the next change.
func (a *Agent) since(from int64) ([]byte, int64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case from == a.sequence:
		return nil, a.sequence, a.changed
	case from == a.sequence-1 && a.last != nil:
		return a.last, a.sequence, a.changed
	}
	a.wholes++
	return a.whole, a.sequence, a.changed
}

func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		text, _, _ := a.since(-1)
		_, _ = w.Write(text)
		return
	}
	var from int64
	if _, err := fmt.Sscan(r.URL.Query().Get("from"), &from); err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	end := make(chan struct{})
	a.mu.Lock()
	a.watches[end] = true
	a.mu.Unlock()
	a.watch(w, r, from, end)
	a.mu.Lock()
	delete(a.watches, end)
	a.mu.Unlock()
}

func (a *Agent) watch(w http.ResponseWriter, r *http.Request, from int64, end <-chan struct{}) {
	flusher := w.(http.Flusher)
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		text, sequence, changed := a.since(from)
		if len(text) == 0 && from == sequence {
			text = []byte("\n")
		}
		from = sequence
		if _, err := w.Write(text); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-beat.C:
		case <-end:
			panic(http.ErrAbortHandler) // the connection breaks
		case <-r.Context().Done():
			return
		}
	}
}
