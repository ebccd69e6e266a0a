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

// Agent is a stand-in for a discovery agent on a loopback socket. It serves the full list and watches of its
// changes according to the discovery protocol. Every list has a version, which each change increases by 1.
type Agent struct {
	Address string
	server  *http.Server

	mu         sync.Mutex
	version    int64                  // of the list with all changes
	fullList   []byte                 // version 1, encoded, with its newline
	changed    chan struct{}          // closed at the next change
	lastChange []byte                 // encoded, with its newline; nil before the first change
	watches    map[chan struct{}]bool // closing a key aborts its watch
}

// heartbeatInterval is the interval of the empty lines that an idle watch sends.
const heartbeatInterval = 2 * time.Second

// StartAgent serves a list, as version 1, on a free port of the loopback interface.
func StartAgent(endpoints []frontdoor.Endpoint) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return ServeAgent(listener, endpoints)
}

// ServeAgent serves a list, as version 1, on the listener. It takes ownership of the listener, also if it fails.
func ServeAgent(listener net.Listener, endpoints []frontdoor.Endpoint) (*Agent, error) {
	agent := &Agent{Address: listener.Addr().String(), version: 1, changed: make(chan struct{}),
		watches: map[chan struct{}]bool{}}
	var err error
	if agent.fullList, err = encodeList(1, true, endpoints); err != nil {
		listener.Close()
		return nil, err
	}
	agent.server = &http.Server{Handler: agent}
	go agent.server.Serve(listener)
	return agent, nil
}

// encodeList returns a list, or changes to it if it is not full, in the wire format of discovery with its newline.
func encodeList(version int64, full bool, endpoints []frontdoor.Endpoint) ([]byte, error) {
	text, err := json.Marshal(frontdoor.EndpointList{Version: version, Full: full, Endpoints: endpoints})
	return append(text, '\n'), err
}

// Stop closes the listener and all connections.
func (a *Agent) Stop() { a.server.Close() }

// PublishChange sends a changed entry to all watches. It does not update the full list, which gateways request only at
// their start.
func (a *Agent) PublishChange(endpoint frontdoor.Endpoint) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	text, err := encodeList(a.version+1, false, []frontdoor.Endpoint{endpoint})
	if err != nil {
		return err
	}
	a.version++
	a.lastChange = text
	close(a.changed)
	a.changed = make(chan struct{})
	return nil
}

// CloseWatches breaks the connections of all watches at once and returns their number.
func (a *Agent) CloseWatches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	for closed := range a.watches {
		close(closed)
	}
	count := len(a.watches)
	clear(a.watches)
	return count
}

// WatchCount returns the number of open watches.
func (a *Agent) WatchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.watches)
}

// noVersion is the version of a client that has no list.
const noVersion = -1

// updateSince returns the encoded update for a client that has the list in fromVersion, the current version and a
// channel that is closed at the next change. The update is empty if the client is up to date, and the full list if it
// has missed more than the last change.
func (a *Agent) updateSince(fromVersion int64) ([]byte, int64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case fromVersion == a.version:
		return nil, a.version, a.changed
	case fromVersion == a.version-1 && a.lastChange != nil:
		return a.lastChange, a.version, a.changed
	}
	return a.fullList, a.version, a.changed
}

// ServeHTTP serves the full list, or a watch if the query asks for one.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		text, _, _ := a.updateSince(noVersion)
		_, _ = w.Write(text)
		return
	}
	var fromVersion int64
	if _, err := fmt.Sscan(r.URL.Query().Get("from"), &fromVersion); err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	closed := make(chan struct{})
	a.mu.Lock()
	a.watches[closed] = true
	a.mu.Unlock()
	a.serveWatch(w, r, fromVersion, closed)
	a.mu.Lock()
	delete(a.watches, closed)
	a.mu.Unlock()
}

// serveWatch sends updates and heartbeats until the client leaves or closed is closed.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request, fromVersion int64, closed <-chan struct{}) {
	flusher := w.(http.Flusher)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		text, version, changed := a.updateSince(fromVersion)
		if len(text) == 0 && fromVersion == version {
			text = []byte("\n")
		}
		fromVersion = version
		if _, err := w.Write(text); err != nil {
			return
		}
		flusher.Flush()
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-closed:
			panic(http.ErrAbortHandler) // aborts the connection
		case <-r.Context().Done():
			return
		}
	}
}
