package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Host is an entry of a list of control servers, in discovery's form.
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

// List is a list of control servers, in discovery's form.
type List struct {
	Seq   int64  `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Table is what discovery knows: the list and its changes. One table may stand behind several addresses.
type Table struct {
	mu      sync.Mutex
	seq     int64
	hosts   []Host
	changes []List // each with one entry
	changed chan struct{}
}

// NewTable returns a table of ready control servers that started long ago.
func NewTable(servers []*Server) *Table {
	t := &Table{seq: 41, changed: make(chan struct{})}
	for i, server := range servers {
		t.hosts = append(t.hosts, Host{Host: server.Host, Dial: server.Address, Site: "dc1", Class: "std-2core",
			Block: i / 4, Health: "Ready", Share: 1})
	}
	return t
}

// Whole returns the whole list.
func (t *Table) Whole() List {
	t.mu.Lock()
	defer t.mu.Unlock()
	return List{Seq: t.seq, Whole: true, Hosts: append([]Host(nil), t.hosts...)}
}

// Drain lists a control server as Terminating.
func (t *Table) Drain(host string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.hosts {
		if t.hosts[i].Host == host {
			t.hosts[i].Health = "Terminating"
			t.seq++
			t.changes = append(t.changes, List{Seq: t.seq, Hosts: []Host{t.hosts[i]}})
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// since returns what changed after a version, the present version, and a channel that is closed at the next change.
func (t *Table) since(from int64) (list List, next <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if first := t.seq - int64(len(t.changes)); from < first || from > t.seq {
		return List{Seq: t.seq, Whole: true, Hosts: append([]Host(nil), t.hosts...)}, t.changed
	}
	list = List{Seq: t.seq, Hosts: []Host{}}
	for _, change := range t.changes {
		if change.Seq > from {
			list.Hosts = append(list.Hosts, change.Hosts...)
		}
	}
	return list, t.changed
}

// Discovery is a stand-in for discovery, or for a gateway's agent, at one address.
type Discovery struct {
	Address  string
	table    *Table
	run      *Run
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	silent    bool          // accepts connections and answers nothing; open watches send nothing
	refuse    time.Duration // if above 0: holds each call for so long, and answers 503
	heartbeat time.Time     // when the last empty line was sent
	mute      chan struct{} // closed when the open watches fall silent
}

// NewDiscovery serves a table at a free address.
func (r *Run) NewDiscovery(table *Table) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Address: listener.Addr().String(), table: table, run: r, listener: listener,
		mute: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// SetSilent makes discovery silent, or ends its silence.
func (d *Discovery) SetSilent(silent bool) {
	d.run.Logf("discovery %s: silent: %v", d.Address, silent)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
}

// SetRefuse makes discovery turn calls away after they have waited for some time. 0 ends this.
func (d *Discovery) SetRefuse(wait time.Duration) {
	d.run.Logf("discovery %s: turns calls away after a wait of %v (0: no longer)", d.Address, wait)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refuse = wait
}

// Close closes the listener and the open connections.
func (d *Discovery) Close() { _ = d.server.Close() }

// StopAccepting takes no new connection from now on.
func (d *Discovery) StopAccepting() { d.listener.Close() }

// AwaitHeartbeat waits until an empty line has just been sent on a watch.
func (d *Discovery) AwaitHeartbeat() error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		d.mu.Lock()
		sent := d.heartbeat
		d.mu.Unlock()
		if time.Since(sent) < 20*time.Millisecond {
			return nil
		}
	}
	return errors.New("no watch is open at discovery")
}

// MuteWatches makes all open watches silent for good.
func (d *Discovery) MuteWatches() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.mute)
	d.mute = make(chan struct{})
	d.run.Logf("discovery %s: the open watches fall silent", d.Address)
}

func (d *Discovery) state() (silent bool, refuse time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent, d.refuse
}

// ServeHTTP serves the whole list, or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.run.Logf("discovery %s: call %s", d.Address, r.RequestURI)
	silent, refuse := d.state()
	if silent {
		<-r.Context().Done() // also after the silence: the call is lost
		return
	}
	if refuse > 0 {
		select {
		case <-time.After(refuse):
		case <-r.Context().Done():
			return
		}
		d.run.Logf("discovery %s: turned a call away", d.Address)
		http.Error(w, "too many calls", http.StatusServiceUnavailable)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if r.URL.Query().Get("watch") == "" || err != nil {
		_ = json.NewEncoder(w).Encode(d.table.Whole())
		return
	}
	d.watch(w, r, from)
}

// watch sends what has changed, then each change, and an empty line every 2 s.
func (d *Discovery) watch(w http.ResponseWriter, r *http.Request, from int64) {
	flush := w.(http.Flusher).Flush
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	d.mu.Lock()
	mute := d.mute
	d.mu.Unlock()
	for first := true; ; first = false {
		list, next := d.table.since(from)
		if silent, _ := d.state(); silent {
			<-r.Context().Done()
			return
		}
		if from = list.Seq; first || list.Whole || len(list.Hosts) > 0 {
			_ = json.NewEncoder(w).Encode(list)
			flush()
			d.run.Logf("discovery %s: told list %d with %d entries, whole: %v", d.Address, list.Seq, len(list.Hosts),
				list.Whole)
		}
		select {
		case <-next:
		case <-r.Context().Done():
			return
		case <-mute:
			<-r.Context().Done()
			return
		case <-ticker.C:
			if silent, _ := d.state(); !silent {
				fmt.Fprintln(w)
				flush()
				d.mu.Lock()
				d.heartbeat = time.Now()
				d.mu.Unlock()
			}
		}
	}
}
