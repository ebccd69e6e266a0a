package stand

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
	"syscall"
	"time"
)

// Settings are those of a small deployment, in the form of the configuration file. They are the figures that the page on
// the wire shows for one, without limits that would have requests of the cases refused.
const Settings = `{"balancers": 2, "me": 0, "zone": "muscat-dc1", "discovery": "pushed",
 "lanes": [
  {"name": "read-setpoint", "effect": "retryable", "group": "all", "key_ttl_us": 5000000, "goal_time_us": 600000,
   "deadline_us": 2500000, "gain": 3.0, "late_value": 0.2, "stream": false},
  {"name": "log-alarm", "effect": "dedup", "group": "all", "key_ttl_us": 2000000, "goal_time_us": 750000,
   "deadline_us": 2000000, "gain": 5.0, "late_value": 0.0, "stream": false},
  {"name": "start-plant", "effect": "fragile", "group": "all", "key_ttl_us": 5000000, "goal_time_us": 750000,
   "deadline_us": 2500000, "gain": 3.0, "late_value": 0.2, "stream": false}],
 "tariffs": [
  {"name": "business", "units_per_s": 11.0, "burst": 23.0, "value_factor": 1.2, "excess_cost": 1.0, "excess_worth": 0.0,
   "parallel": 0, "ceiling_rate": 0.0, "never_over_depth": 0.0, "cap_slack": 0.0}],
 "family_info": {"largest": 8, "meter_period_us": 0, "has_counter": false, "trued_up": false},
 "policy_limits": {"cancel": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "max_attempts": 3,
  "max_retry_after_us": 2000000, "parallel_tries": false, "probes": false, "retry_after": true, "streams_per_conn": 32},
 "obligations": {"cold_from": 0.19, "fall_multiple": 3.0, "fall_us": 1500000, "grace_to_answer_us": 8000,
  "must_ask_in_us": 10000000, "stop_sending_within_us": 500000, "warm_within_us": 15000000},
 "stats": {"columns": [], "how": "none"}}`

// Sockets is the limit of descriptors in the configuration; the pages name 256 to 1,024.
const Sockets = 512

// FrontDoor is a front door that runs as a process of its own.
type FrontDoor struct {
	Name, Address string
	command       *exec.Cmd
	ended         chan struct{}
}

var runCommand = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// StartFrontDoor starts front door number me with the command of the deploy file, in the present folder, which must be
// the root of the repository, and waits until it is ready.
func (c *Case) StartFrontDoor(me int, agent *Agent) (*FrontDoor, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	match := runCommand.FindSubmatch(deploy)
	if match == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	d := &FrontDoor{Name: fmt.Sprintf("n%d", me), Address: address, ended: make(chan struct{})}
	path := filepath.Join(c.Dir, d.Name+".json")
	if err := writeConfig(path, d, me, agent); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(c.Dir, d.Name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	d.command = exec.Command("/bin/sh", "-c", string(match[1]))
	d.command.Env = append(os.Environ(), "NODE_NAME="+d.Name, "NODE_LISTEN="+address, "NODE_DISCOVERY="+agent.Address,
		"NODE_CONFIG="+path, "TMPDIR="+c.Dir)
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = d.command.Wait()
		close(d.ended)
	}()
	c.AtEnd(func() {
		_ = syscall.Kill(-d.command.Process.Pid, syscall.SIGKILL)
		<-d.ended
		if text, err := os.ReadFile(filepath.Join(c.Dir, d.Name+".log")); err == nil {
			c.Log("log of %s:\n%s", d.Name, text)
		}
	})
	if err := d.waitReady(); err != nil {
		return nil, fmt.Errorf("front door %s: %w", d.Name, err)
	}
	c.Log("front door %s is ready", d.Name)
	return d, nil
}

// waitReady waits until the front door answers GET /ready with 200.
func (d *FrontDoor) waitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		if !d.Running() {
			return errors.New("it ended at its start")
		}
		if response, err := client.Get("http://" + d.Address + "/ready"); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("it was not ready within 30 s")
}

// Running reports whether the process runs.
func (d *FrontDoor) Running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// Descriptors returns how many descriptors the process holds, as the platform sees it.
func (d *FrontDoor) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.command.Process.Pid))
	return len(entries)
}

// Signal sends a signal to the process.
func (d *FrontDoor) Signal(s syscall.Signal) error { return d.command.Process.Signal(s) }

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// writeConfig writes the configuration of a front door.
func writeConfig(path string, d *FrontDoor, me int, agent *Agent) error {
	var settings map[string]any
	if err := json.Unmarshal([]byte(Settings), &settings); err != nil {
		return err
	}
	settings["me"] = me
	text, err := json.Marshal(map[string]any{"name": d.Name, "listen": d.Address, "discovery": agent.Address,
		"seed": fmt.Sprintf("%016x", 7001+me), "known": agent.Whole(), "settings": settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": Sockets}})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
