package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// configFormat is a configuration file. Its parameters are the addresses to listen on and of discovery.
const configFormat = `{"name":"n0","listen":"%s","discovery":"%s","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"seq":1,"whole":true,"hosts":[]},
 "settings":{"balancers":1,
  "lanes":[{"name":"c","effect":"retryable","goal_time_us":1000000,"deadline_us":2000000,"gain":1}],
  "tariffs":[{"name":"p","units_per_s":5,"burst":5,"value_factor":1}],
  "policy_limits":{"max_attempts":2,"conn_idle_us":15000000,"connect_timeout_us":250000}}}`

// writeConfig writes a configuration file and returns its path.
func writeConfig(t testing.TB, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// replaceFile replaces a configuration file by one with the text.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.Rename(writeConfig(t, text), path); err != nil {
		t.Fatal(err)
	}
}

// SIGTERM cancels the context of run, which must then return without an error.
func TestRunReturnsAfterSIGTERM(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := run(ctx, writeConfig(t, fmt.Sprintf(configFormat, "127.0.0.1:0", "127.0.0.1:1")), nil); err != nil {
		t.Error(err)
	}
}

func TestRunReturnsOneLineErrorWhenItCannotStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	for name, path := range map[string]string{
		"no file":       "",
		"bad file":      writeConfig(t, "{"),
		"address taken": writeConfig(t, fmt.Sprintf(configFormat, listener.Addr(), "127.0.0.1:1")),
	} {
		if err := run(context.Background(), path, nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
		}
	}
}

// TestMain runs the program instead of the tests if HERONTILLER_AS_PROGRAM is set, so that tests can start this binary
// as a separate process.
func TestMain(m *testing.M) {
	if os.Getenv("HERONTILLER_AS_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// By default SIGHUP terminates a process. The program must instead read its file again and switch to the discovery that
// it names. An invalid file must change nothing: the program keeps running, and the next valid file takes effect.
func TestSIGHUPSwitchesDiscovery(t *testing.T) {
	startDiscovery := func() (addr string, requests chan string) {
		requests = make(chan string, 100)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests <- r.URL.RequestURI()
			fmt.Fprintln(w, `{"seq":3,"whole":true,"hosts":[]}`)
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://"), requests
	}
	awaitRequest := func(requests chan string, want string) {
		t.Helper()
		select {
		case got := <-requests:
			if got != want {
				t.Fatalf("discovery received a request for %s, want %s", got, want)
			}
		case <-time.After(waitTimeout):
			t.Fatalf("discovery received no request for %s", want)
		}
	}
	oldAddr, oldRequests := startDiscovery()
	newAddr, newRequests := startDiscovery()
	path := writeConfig(t, fmt.Sprintf(configFormat, "127.0.0.1:0", oldAddr))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "HERONTILLER_AS_PROGRAM=1", "NODE_CONFIG="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 100)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for scanner := bufio.NewScanner(stderr); scanner.Scan(); {
			lines <- scanner.Text()
		}
		close(lines)
	}()
	defer cmd.Process.Kill()
	awaitRequest(oldRequests, "/v1/endpoints?watch=1&from=1")

	replaceFile(t, path, "{")
	cmd.Process.Signal(syscall.SIGHUP)
	timeout := time.After(waitTimeout)
	for reported := false; !reported; {
		select {
		case line, ok := <-lines:
			if !ok {
				t.Fatal("SIGHUP terminated the program")
			}
			reported = strings.Contains(line, "invalid configuration, keeping the current one")
		case <-timeout:
			t.Fatal("the invalid file was not logged")
		}
	}
	replaceFile(t, path, fmt.Sprintf(configFormat, "127.0.0.1:0", newAddr))
	cmd.Process.Signal(syscall.SIGHUP)
	awaitRequest(newRequests, "/v1/endpoints")
	awaitRequest(newRequests, "/v1/endpoints?watch=1&from=3")

	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program exited with %v", err)
	}
}
