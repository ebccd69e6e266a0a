package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// waitTimeout is how long a test waits for an expected event before it fails.
const waitTimeout = 20 * time.Second

// startProgram starts the program with a configuration and a limit on open file descriptors. It returns the process and
// the address that the program listens on, once it serves.
func startProgram(t testing.TB, configText string, descriptors int) (cmd *exec.Cmd, addr string) {
	t.Helper()
	return startProgramWithFile(t, writeConfig(t, configText), descriptors)
}

// startProgramWithFile is startProgram with the path of the configuration file.
func startProgramWithFile(t testing.TB, path string, descriptors int) (cmd *exec.Cmd, addr string) {
	t.Helper()
	cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, os.Args[0]))
	cmd.Env = append(os.Environ(), "HERONTILLER_AS_PROGRAM=1", "NODE_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	servingLine := regexp.MustCompile(`msg=serving .*listen=(\S+)|INFO serving .*listen=(\S+)`)
	addrs := make(chan string, 1)
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			if match := servingLine.FindStringSubmatch(scanner.Text()); match != nil {
				addrs <- match[1] + match[2]
			}
		}
		close(addrs)
	}()
	select {
	case addr = <-addrs:
	case <-time.After(waitTimeout):
	}
	if addr == "" {
		t.Fatal("the program did not start serving")
	}
	return cmd, addr
}

// silentAddr returns an address that accepts connections and never responds.
func silentAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// A gateway must be ready within 10 s, the operators' limit, even if discovery is down and the configuration file is
// as long as the specification allows: a fleet of 1,024 gateways and a list of 1,024 backends, indented.
func TestReadyWithin10sWithMaxListsAndNoDiscovery(t *testing.T) {
	var configJSON map[string]any
	if err := json.Unmarshal([]byte(fmt.Sprintf(configFormat, "127.0.0.1:0", silentAddr(t))), &configJSON); err != nil {
		t.Fatal(err)
	}
	var hosts []any
	for i := range 1024 {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%032x", i),
			"dial": fmt.Sprintf("127.0.%d.%d:8443", 1+i/250, 1+i%250),
			"site": "zone", "class": "kind", "block": i, "health": "Ready", "share": 1, "born_ms": 1790000000000})
	}
	configJSON["known"] = map[string]any{"seq": 7, "whole": true, "hosts": hosts}
	configJSON["settings"].(map[string]any)["balancers"] = 1024
	configJSON["settings"].(map[string]any)["me"] = 1023
	configText, err := json.MarshalIndent(configJSON, "", strings.Repeat(" ", 8))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_, addr := startProgram(t, string(configText), 256)
	client := &http.Client{Timeout: 10 * time.Second}
	status := 0
	for time.Since(start) <= 10*time.Second && status != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
		response, err := client.Get("http://" + addr + "/ready")
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		status = response.StatusCode
	}
	if elapsed := time.Since(start); status != http.StatusOK || elapsed > 10*time.Second {
		t.Errorf("GET /ready last returned status %d after %v, want 200 within 10s", status, elapsed)
	}
}

// Client connections must not exhaust the file descriptors of the program. Idle clients open as many connections as
// they can while discovery is down. Afterwards the program must still be able to watch discovery, to accept a client
// with a request and to send an attempt. It must also be able to watch again while all clients have requests in flight.
func TestClientsLeaveDescriptorsForDiscoveryAndBackends(t *testing.T) {
	const descriptors, firstBlockedID = 256, 0x1000 // the backend blocks requests with IDs from firstBlockedID on
	var discoveryUp atomic.Bool
	var backendAddr atomic.Value
	watchEnds := make(chan func(), 1000) // receives for each watch a function that ends it
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !discoveryUp.Load() {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"%s","health":"Ready","share":1}]}`+"\n",
			backendAddr.Load())
		w.(http.Flusher).Flush()
		watchDone := make(chan bool)
		watchEnds <- func() { close(watchDone) }
		select {
		case <-watchDone:
		case <-r.Context().Done():
		}
	}))
	defer discovery.Close()
	release := make(chan bool)
	blockedAttempts := make(chan bool, 1000)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") >= fmt.Sprintf("%016x", firstBlockedID) {
			blockedAttempts <- true
			<-release
		}
		io.WriteString(w, "done")
	}))
	defer backend.Close()
	defer close(release)
	backendAddr.Store(strings.TrimPrefix(backend.URL, "http://"))

	configText := fmt.Sprintf(configFormat, "127.0.0.1:0", strings.TrimPrefix(discovery.URL, "http://"))
	configText = strings.Replace(configText, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
	configText = strings.Replace(configText, `"units_per_s":5,"burst":5`, `"units_per_s":1000,"burst":1000`, 1)
	configText = strings.Replace(configText, `"goal_time_us":1000000,"deadline_us":2000000`,
		`"goal_time_us":60000000,"deadline_us":60000000`, 1)
	cmd, addr := startProgram(t, configText, descriptors)

	connectClients := func(count int) (conns []net.Conn) {
		for range count {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			conns = append(conns, conn)
		}
		return conns
	}
	sendRequest := func(conn net.Conn, id int) {
		fmt.Fprintf(conn, "GET /c HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\nRequest-Class: c\r\nX-Tier: p\r\n"+
			"X-Api-Key: 0000000000000001\r\nRequest-Timeout: 50\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", id)
	}
	awaitWatch := func() (endWatch func()) {
		t.Helper()
		select {
		case endWatch = <-watchEnds:
		case <-time.After(waitTimeout):
			t.Fatal("discovery received no new watch request")
		}
		return endWatch
	}

	connectClients(2 * descriptors)
	discoveryUp.Store(true)
	endWatch := awaitWatch()
	// Discovery has written the list, but the program may not have applied it yet. Until then it has no backend and
	// responds with 503.
	for id, deadline := 0xa1, time.Now().Add(waitTimeout); ; id++ {
		client := connectClients(1)[0]
		sendRequest(client, id)
		client.SetReadDeadline(deadline)
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err == nil && response.StatusCode == http.StatusOK {
			break
		}
		if err != nil || response.StatusCode != http.StatusServiceUnavailable || time.Now().After(deadline) ||
			id == firstBlockedID-1 {
			t.Fatalf("request of a client that connected after the idle ones: got response %v, error %v", response, err)
		}
		time.Sleep(10 * time.Millisecond)
	}

	for i, conn := range connectClients(2 * descriptors) {
		sendRequest(conn, firstBlockedID+i)
	}
	for range descriptors / 4 {
		select {
		case <-blockedAttempts:
		case <-time.After(waitTimeout):
			t.Fatal("the backend received too few attempts")
		}
	}
	endWatch()
	awaitWatch()
	openDescriptors, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(cmd.Process.Pid), "fd"))
	if err != nil {
		t.Fatal(err)
	}
	if len(openDescriptors) >= descriptors {
		t.Errorf("%d descriptors are open, want fewer than %d", len(openDescriptors), descriptors)
	}
}
