package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	peakMemoryTime     = 6 * time.Second // how long clients send
	peakSampleInterval = 5 * time.Millisecond
	peakUsualInterval  = 10 * time.Millisecond // between two small requests of other clients
	peakBackendTime    = 70 * time.Millisecond // that a backend works on a request
	peakBodyLength     = 64 << 10              // bytes; the protocol's most
	slowBodyRest       = 1000                  // bytes at the end of a slow body
	slowBodyPause      = 700 * time.Millisecond
)

// anonymousMemory returns the resident memory of a process that belongs to no file, in bytes.
func anonymousMemory(pid int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
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
	return 0, fmt.Errorf("process %d has no resident memory", pid)
}

// newLongRequest returns a request with the longest body that is allowed.
func newLongRequest() string {
	request := strings.Replace(newCustomerRequest(), "GET /c ", "POST /w ", 1)
	request = strings.Replace(request, "Request-Class: c", "Request-Class: w", 1)
	request = strings.TrimSuffix(request, "\r\n")
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, peakBodyLength, strings.Repeat("y", peakBodyLength))
}

// sendLongRequest sends a long request, with a pause before its end, and reads the response. It returns what
// sendAndReceive does.
func sendLongRequest(conn net.Conn, reader *bufio.Reader, pause time.Duration) (status int, open bool) {
	request := newLongRequest()
	if pause > 0 {
		if _, err := io.WriteString(conn, request[:len(request)-slowBodyRest]); err != nil {
			return 0, false
		}
		time.Sleep(pause)
		request = request[len(request)-slowBodyRest:]
	}
	return sendAndReceive(conn, reader, request)
}

// peakMemory is what was measured of a program under long requests, and of the small requests that others sent.
type peakMemory struct {
	bytes                  int64 // the most anonymous memory
	served, answered, sent int64 // small requests
	longServed             int64 // long requests
}

// startMemoryProgram starts the program with the given limits and a backend, and returns its address and process once it
// serves requests.
func startMemoryProgram(t testing.TB, memoryMB, descriptors int) (addr string, pid int) {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		time.Sleep(peakBackendTime)
		io.WriteString(w, "done")
	}))
	t.Cleanup(backend.Close)
	var silent atomic.Bool
	configText := fmt.Sprintf(configFormat, "127.0.0.1:0",
		startAgent(t, strings.TrimPrefix(backend.URL, "http://"), &silent))
	configText = strings.Replace(configText, `"memory_mb":192,"sockets":1024`,
		fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, memoryMB, descriptors), 1)
	configText = strings.Replace(configText, `"lanes":[`,
		`"lanes":[{"name":"w","effect":"fragile","goal_time_us":1000000,"deadline_us":2000000,"gain":1},`, 1)
	cmd, addr := startProgram(t, configText, descriptors)
	sendUntil(t, addr, http.StatusOK)
	return addr, cmd.Process.Pid
}

// measurePeakMemory runs the program with the given limits while as many clients as it has connections for send long
// requests, and others small ones.
func measurePeakMemory(t testing.TB, memoryMB, descriptors int, pause time.Duration) peakMemory {
	t.Helper()
	addr, pid := startMemoryProgram(t, memoryMB, descriptors)
	var clients sync.WaitGroup
	var ended atomic.Bool
	var served, answered, longServed atomic.Int64
	for range descriptors * 5 / 12 {
		clients.Go(func() {
			keepSending(addr, &ended, 2*peakMemoryTime, func(conn net.Conn, reader *bufio.Reader) bool {
				status, open := sendLongRequest(conn, reader, pause)
				if status == http.StatusOK {
					longServed.Add(1)
				}
				return open
			})
		})
	}
	var peak peakMemory
	nextUsual := time.Now()
	for end := time.Now().Add(peakMemoryTime); time.Now().Before(end); time.Sleep(peakSampleInterval) {
		memory, err := anonymousMemory(pid)
		if err != nil {
			t.Fatal(err)
		}
		peak.bytes = max(peak.bytes, memory)
		for ; nextUsual.Before(time.Now()); nextUsual = nextUsual.Add(peakUsualInterval) {
			peak.sent++
			clients.Go(func() {
				status, err := sendOnce(addr, latestAnswer)
				if late := (*lateRequestError)(nil); errors.As(err, &late) {
					status, err = sendOnce(addr, latestAnswer)
				}
				if err != nil {
					t.Logf("a small request got no answer: %v", err)
				} else {
					answered.Add(1)
				}
				if status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	}
	ended.Store(true)
	clients.Wait()
	peak.served, peak.answered, peak.longServed = served.Load(), answered.Load(), longServed.Load()
	return peak
}

// Guards against a program that goes over its memory, and is killed for it, while clients keep hundreds of long bodies
// unfinished.
func TestSlowBodiesStayWithinMemory(t *testing.T) {
	const memoryMB, descriptors = 32, 1024
	peak := measurePeakMemory(t, memoryMB, descriptors, slowBodyPause)
	if peak.bytes > memoryMB<<20 && !raceDetector {
		t.Errorf("the program took %.1f MB, want at most %d MB", float64(peak.bytes)/(1<<20), memoryMB)
	}
	if peak.answered != peak.sent {
		t.Errorf("%d of %d small requests were answered, want all", peak.answered, peak.sent)
	}
}

// BenchmarkPeakMemory measures the most anonymous memory of the program by its limits. It is to be run with
// -benchtime 1x.
func BenchmarkPeakMemory(b *testing.B) {
	for name, pause := range map[string]time.Duration{"whole bodies": 0, "slow bodies": slowBodyPause} {
		for _, memoryMB := range []int{32, 64, 128, 192} {
			for _, descriptors := range []int{256, 512, 640, 1024} {
				b.Run(fmt.Sprintf("%s/%d MB/%d descriptors", name, memoryMB, descriptors), func(b *testing.B) {
					for b.Loop() {
						peak := measurePeakMemory(b, memoryMB, descriptors, pause)
						b.ReportMetric(float64(peak.bytes)/(1<<20), "peak-MB")
						b.ReportMetric(float64(peak.served), "served")
						b.ReportMetric(float64(peak.answered), "answered")
						b.ReportMetric(float64(peak.sent), "sent")
						b.ReportMetric(float64(peak.longServed), "long-served")
					}
					b.ReportMetric(0, "ns/op") // not shown
				})
			}
		}
	}
}
