// Package rig runs a case of the second review: it starts gateways with the command of the deploy file, and plays the
// control servers, the discovery and the clients around them on loopback addresses.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	readyMax = 15 * time.Second // the longest wait for a gateway to be ready
)

// Run is one run of a case.
type Run struct {
	Trouble bool // play the disruption
	start   time.Time
	temp    string

	mu       sync.Mutex
	record   *os.File
	gateways []*Gateway
}

// Main plays a case and ends the process with its exit code. The current folder is that of the case.
func Main(play func(r *Run) (broken bool, err error)) {
	os.Exit(run(play))
}

func run(play func(r *Run) (bool, error)) int {
	record, err := os.Create("record.txt")
	if err != nil {
		fmt.Println("could not run:", err)
		return NotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println("could not run:", err)
		return NotRun
	}
	defer os.RemoveAll(temp)
	r := &Run{Trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), temp: temp, record: record}
	defer r.killAll()
	r.Logf("disruption: %v", r.Trouble)
	broken, err := play(r)
	switch {
	case err != nil:
		r.Sayf("could not run: %v", err)
		return NotRun
	case broken:
		r.Sayf("result: the rule was broken")
		return Broken
	}
	r.Sayf("result: the rule held")
	return Held
}

// Logf writes a line with the time since the start to record.txt.
func (r *Run) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes a line to record.txt and to standard output.
func (r *Run) Sayf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// At returns a time as seconds since the start of the run.
func (r *Run) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// root is the root of the repository, seen from the folder of a case.
const root = "../.."

// Gateway is a gateway process and what its platform knows of it.
type Gateway struct {
	Name, Listen, Discovery string
	run                     *Run
	config                  string
	settings                map[string]any
	MemoryMB, Sockets       int // limits
	cmd                     *exec.Cmd
	exited                  chan struct{}
}

// FreeAddress returns a free address on the loopback interface.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// NewGateway prepares a gateway that has the number me.
func (r *Run) NewGateway(me int, discovery string, settings map[string]any) (*Gateway, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	own := map[string]any{}
	for key, value := range settings {
		own[key] = value
	}
	own["me"] = me
	g := &Gateway{Name: fmt.Sprintf("n%d", me), Listen: listen, Discovery: discovery, run: r, settings: own, MemoryMB: 192, Sockets: 1024,
		config: filepath.Join(r.temp, fmt.Sprintf("n%d.json", me))}
	r.gateways = append(r.gateways, g)
	return g, nil
}

// WriteConfig replaces the configuration file, with the list that the gateway last held.
func (g *Gateway) WriteConfig(known List, seed uint64) error {
	text, err := json.Marshal(map[string]any{"name": g.Name, "listen": g.Listen, "discovery": g.Discovery,
		"seed": fmt.Sprintf("%x", seed), "limits": map[string]any{"cores": 1, "memory_mb": g.MemoryMB, "sockets": g.Sockets},
		"counter": "127.0.0.1:9", "known": known, "settings": g.settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.config+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(g.config+".new", g.config)
}

var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// Start starts the gateway with the command of the deploy file, and returns when that was.
func (g *Gateway) Start() (time.Time, error) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return time.Time{}, err
	}
	match := runCommand.FindSubmatch(deploy)
	if match == nil {
		return time.Time{}, errors.New("the deploy file has no run command")
	}
	if err := os.MkdirAll("logs", 0o700); err != nil {
		return time.Time{}, err
	}
	log, err := os.OpenFile("logs/"+g.Name+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return time.Time{}, err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", string(match[1]))
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = root, log, log
	g.cmd.Env = append(os.Environ(), "NODE_NAME="+g.Name, "NODE_LISTEN="+g.Listen, "NODE_DISCOVERY="+g.Discovery,
		"NODE_CONFIG="+g.config, "TMPDIR="+g.run.temp)
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := time.Now()
	if err := g.cmd.Start(); err != nil {
		return started, err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		err := cmd.Wait()
		g.run.Logf("%s: process %d ended: %v", g.Name, cmd.Process.Pid, err)
		close(exited)
	}(g.cmd, g.exited)
	g.run.Logf("%s: started as process %d, listens on %s, discovery %s", g.Name, g.cmd.Process.Pid, g.Listen,
		g.Discovery)
	return started, nil
}

// AwaitReady waits until the gateway answers GET /ready with 200.
func (g *Gateway) AwaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(readyMax); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		response, err := client.Get("http://" + g.Listen + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			g.run.Logf("%s: ready", g.Name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.Name, readyMax)
}

// Fleet starts a number of control servers that answer in the same way.
func (r *Run) Fleet(count int, answer Answer) ([]*Server, error) {
	var servers []*Server
	for i := range count {
		server, err := r.NewServer(fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return nil, err
		}
		servers = append(servers, server)
	}
	return servers, nil
}

// Bring starts the gateway with the list that it last held, and waits until it is ready.
func (g *Gateway) Bring(known List, seed uint64) (started time.Time, err error) {
	if err := g.WriteConfig(known, seed); err != nil {
		return started, err
	}
	if started, err = g.Start(); err != nil {
		return started, err
	}
	return started, g.AwaitReady()
}

// Signal sends a signal to the gateway.
func (g *Gateway) Signal(signal syscall.Signal) error {
	g.run.Logf("%s: signal %v", g.Name, signal)
	return g.cmd.Process.Signal(signal)
}

// AnonymousMemory returns the resident memory of the process that belongs to no file, in bytes.
func (g *Gateway) AnonymousMemory() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			var kilobytes int64
			_, err := fmt.Sscan(value, &kilobytes)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the process has no resident memory")
}

// Running reports whether the process runs.
func (g *Gateway) Running() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (g *Gateway) Kill() error {
	if err := g.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-g.exited
	return nil
}

// killAll ends all processes that the run started.
func (r *Run) killAll() {
	for _, g := range r.gateways {
		if g.exited != nil && g.Running() {
			_ = g.cmd.Process.Kill()
			<-g.exited
		}
	}
}

// Settings returns the settings of a small deployment of the kind of muscat-controls, for a number of gateways that get
// pushed lists ("pushed") or have to ask for them ("on_request").
func Settings(gateways int, discovery string) map[string]any {
	var settings map[string]any
	if err := json.NewDecoder(strings.NewReader(settingsText)).Decode(&settings); err != nil {
		panic(err)
	}
	settings["balancers"], settings["discovery"] = gateways, discovery
	return settings
}

const settingsText = `{"balancers": 2, "discovery": "pushed", "zone": "dc1", "failure_domains": ["dc1"], "me": 0,
 "family_info": {"has_counter": true, "count_limit_us": 80000, "largest": 8, "meter_period_us": 500000,
  "trued_up": true},
 "lanes": [
  {"name": "read-setpoint", "effect": "retryable", "gain": 3, "goal_time_us": 600000, "deadline_us": 2500000,
   "group": "all", "key_ttl_us": 5000000, "late_value": 0.2, "stream": false},
  {"name": "log-alarm", "effect": "dedup", "gain": 5, "goal_time_us": 750000, "deadline_us": 2000000,
   "group": "all", "key_ttl_us": 2000000, "late_value": 0, "stream": false},
  {"name": "start-plant", "effect": "fragile", "gain": 3, "goal_time_us": 750000, "deadline_us": 2500000,
   "group": "all", "key_ttl_us": 5000000, "late_value": 0.2, "stream": false}],
 "obligations": {"cold_from": 0.19, "fall_multiple": 3, "fall_us": 1500000, "grace_to_answer_us": 8000,
  "must_ask_in_us": 10000000, "stop_sending_within_us": 500000, "warm_within_us": 15000000},
 "policy_limits": {"cancel": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "max_attempts": 3,
  "max_retry_after_us": 2000000, "most_held": 20000, "parallel_tries": false, "peer_messages": false,
  "probes": false, "retry_after": true, "streams_per_conn": 32},
 "stats": {"columns": [], "how": "none"},
 "tariffs": [
  {"name": "basic", "units_per_s": 1.3, "burst": 16, "excess_cost": 1, "value_factor": 0.55},
  {"name": "standard", "units_per_s": 3, "burst": 16, "excess_cost": 0.6, "value_factor": 0.72},
  {"name": "business", "units_per_s": 11, "burst": 23, "excess_cost": 1, "value_factor": 1.2}],
 "tier": 0, "tiers": ["control-servers"], "weight_source": "none", "workload": "gate"}`
