package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	drainGrace  = 550 * time.Millisecond // stop_sending_within_us of the settings, by default, and the 50 ms of sockets
	reloadBound = 4 * time.Second        // from SIGHUP on a gateway counts as told what the new discovery knows
	staleTime   = 2 * time.Second        // how long a test watches for attempts by a stale list
)

// startAgent starts a discovery agent with one backend. It sends nothing while silent is set.
func startAgent(t testing.TB, backendAddr string, silent *atomic.Bool) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent.Load() {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[{"host":"s-1","dial":"%s","health":"Ready","share":1}]}`+"\n",
			backendAddr)
		w.(http.Flusher).Flush()
		if r.URL.RawQuery != "" {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// statusOf sends a request and returns the status of the response.
func statusOf(t testing.TB, addr string) int {
	t.Helper()
	status, err := sendOnce(addr, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	return status
}

// sendUntil sends a request every 20 ms and returns when one is answered with the status.
func sendUntil(t testing.TB, addr string, status int) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); statusOf(t, addr) != status; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("no request was answered with status %d", status)
		}
	}
}

// Guards against attempts at a draining backend by a list that has not been confirmed, for as long as discovery is
// silent: a new process used the list that was saved before its start, and after SIGHUP the list of the previous
// discovery was used. Attempts must end in time, requests be rejected, and attempts begin again once discovery sends a
// list.
func TestStaleListIsNotUsedWhileTheAgentIsSilent(t *testing.T) {
	for name, test := range map[string]struct {
		reload bool          // the agent that is silent is that of a new configuration
		bound  time.Duration // from the start of the process, or from SIGHUP, until attempts must have ended
	}{
		"from the start of the process": {false, drainGrace},
		"from SIGHUP":                   {true, reloadBound + drainGrace},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var lastAttempt atomic.Int64 // Unix time in nanoseconds
			backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				lastAttempt.Store(time.Now().UnixNano())
			}))
			t.Cleanup(backend.Close)
			backendAddr := strings.TrimPrefix(backend.URL, "http://")
			var silent, neverSilent atomic.Bool
			silent.Store(true)
			silentAgent, agent := startAgent(t, backendAddr, &silent), startAgent(t, backendAddr, &neverSilent)
			configText := func(discovery string) string {
				text := fmt.Sprintf(configFormat, "127.0.0.1:0", discovery)
				return strings.Replace(text, `"hosts":[]`, fmt.Sprintf(
					`"hosts":[{"host":"s-1","dial":"%s","health":"Ready","share":1}]`, backendAddr), 1)
			}
			firstAgent := silentAgent
			if test.reload {
				firstAgent = agent
			}
			path := writeConfig(t, configText(firstAgent))
			begin := time.Now()
			cmd, addr := startProgramWithFile(t, path, 1024)
			if test.reload {
				sendUntil(t, addr, http.StatusOK)
				replaceFile(t, path, configText(silentAgent))
				begin = time.Now()
				if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
			}
			rejected := 0
			for end := begin.Add(test.bound + staleTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if statusOf(t, addr) == http.StatusServiceUnavailable {
					rejected++
				}
			}
			if late := time.Unix(0, lastAttempt.Load()).Sub(begin); late > test.bound {
				t.Errorf("an attempt began after %v, want none after %v", late, test.bound)
			}
			if rejected == 0 {
				t.Error("no request was rejected, want them rejected while no backend may be used")
			}
			silent.Store(false)
			sendUntil(t, addr, http.StatusOK)
		})
	}
}
