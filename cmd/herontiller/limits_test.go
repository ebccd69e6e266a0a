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

// patient is how long a test waits for something that must happen: it fails then, and only then.
const patient = 20 * time.Second

// program starts the program with a configuration, and with so many descriptors, and returns its address.
func program(t *testing.T, text string, descriptors int) (cmd *exec.Cmd, addr string) {
	t.Helper()
	cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, os.Args[0]))
	cmd.Env = append(os.Environ(), "HERONTILLER_AS_PROGRAM=1", "NODE_CONFIG="+write(t, text))
	log, err := cmd.StderrPipe()
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
	serving := regexp.MustCompile(`msg=serving .*listen=(\S+)|INFO serving .*listen=(\S+)`)
	found := make(chan string, 1)
	go func() {
		for scan := bufio.NewScanner(log); scan.Scan(); {
			if m := serving.FindStringSubmatch(scan.Text()); m != nil {
				found <- m[1] + m[2]
			}
		}
		close(found)
	}()
	select {
	case addr = <-found:
	case <-time.After(patient):
	}
	if addr == "" {
		t.Fatal("the program does not serve")
	}
	return cmd, addr
}

// silentAddr is an address at which connections come up and nothing is ever said.
func silentAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String()
}

// An instance that starts with the longest lists of the pages, 1,024 instances and 1,024 backends, indented, and with
// discovery down, is ready within the 10 s of the operators.
func TestReadyWithLongListsAndNoDiscovery(t *testing.T) {
	var file map[string]any
	if err := json.Unmarshal([]byte(fmt.Sprintf(config, "127.0.0.1:0", silentAddr(t))), &file); err != nil {
		t.Fatal(err)
	}
	var hosts []any
	for i := range 1024 {
		hosts = append(hosts, map[string]any{"host": fmt.Sprintf("s-%032x", i), "dial": fmt.Sprintf("127.0.%d.%d:8443", 1+i/250, 1+i%250),
			"site": "zone", "class": "kind", "block": i, "health": "Ready", "share": 1, "born_ms": 1790000000000})
	}
	file["known"] = map[string]any{"seq": 7, "whole": true, "hosts": hosts}
	file["settings"].(map[string]any)["balancers"] = 1024
	file["settings"].(map[string]any)["me"] = 1023
	text, err := json.MarshalIndent(file, "", strings.Repeat(" ", 8))
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	_, addr := program(t, string(text), 256)
	client := &http.Client{Timeout: 10 * time.Second}
	res, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	if took := time.Since(start); res.StatusCode != http.StatusOK || took > 10*time.Second {
		t.Errorf("%s after %v", res.Status, took)
	}
}

// Idle clients that take every descriptor they can while discovery is down cost neither the watch that comes back, nor
// an attempt, nor a client with a request; and clients that all have a request open cost the watch nothing.
func TestIdleClientsLeaveDescriptors(t *testing.T) {
	const descriptors, firstHeld = 256, 0x1000
	var up atomic.Bool
	var backendAddr atomic.Value
	watches := make(chan func(), 1000) // each ends a watch
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"%s","health":"Ready","share":1}]}`+"\n", backendAddr.Load())
		w.(http.Flusher).Flush()
		end := make(chan bool)
		watches <- func() { close(end) }
		select {
		case <-end:
		case <-r.Context().Done():
		}
	}))
	defer discovery.Close()
	held := make(chan bool)
	attempts := make(chan bool, 1000)
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Request-Id") >= fmt.Sprintf("%016x", firstHeld) {
			attempts <- true
			<-held
		}
		io.WriteString(w, "done")
	}))
	defer backend.Close()
	defer close(held)
	backendAddr.Store(strings.TrimPrefix(backend.URL, "http://"))

	text := fmt.Sprintf(config, "127.0.0.1:0", strings.TrimPrefix(discovery.URL, "http://"))
	text = strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
	text = strings.Replace(text, `"units_per_s":5,"burst":5`, `"units_per_s":1000,"burst":1000`, 1)
	text = strings.Replace(text, `"goal_time_us":1000000,"deadline_us":2000000`, `"goal_time_us":60000000,"deadline_us":60000000`, 1)
	cmd, addr := program(t, text, descriptors)

	connect := func(n int) (conns []net.Conn) {
		for range n {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			conns = append(conns, c)
		}
		return conns
	}
	request := func(c net.Conn, id int) {
		fmt.Fprintf(c, "GET /c HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\nRequest-Class: c\r\nX-Tier: p\r\n"+
			"X-Api-Key: 0000000000000001\r\nRequest-Timeout: 50\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", id)
	}
	awaitWatch := func() (end func()) {
		t.Helper()
		select {
		case end = <-watches:
		case <-time.After(patient):
			t.Fatal("discovery was not asked again")
		}
		return end
	}

	connect(2 * descriptors)
	up.Store(true)
	end := awaitWatch()
	// The list has been written by now, but may not have been taken in: until then there is no backend to send to.
	for id, until := 0xa1, time.Now().Add(patient); ; id++ {
		client := connect(1)[0]
		request(client, id)
		client.SetReadDeadline(until)
		res, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err == nil && res.StatusCode == http.StatusOK {
			break
		}
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || time.Now().After(until) || id == firstHeld-1 {
			t.Fatalf("a client with a request behind the idle ones was answered %v, %v", res, err)
		}
		time.Sleep(10 * time.Millisecond)
	}

	for i, c := range connect(2 * descriptors) {
		request(c, firstHeld+i)
	}
	for range descriptors / 4 {
		select {
		case <-attempts:
		case <-time.After(patient):
			t.Fatal("too few attempts were made")
		}
	}
	end()
	awaitWatch()
	open, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(cmd.Process.Pid), "fd"))
	if err != nil {
		t.Fatal(err)
	}
	if len(open) >= descriptors {
		t.Errorf("%d descriptors are open, %d may be", len(open), descriptors)
	}
}
