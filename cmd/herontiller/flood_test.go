package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	floodDescriptors = 256             // of the program, which keeps 106 connections of clients
	floodClients     = 250             // each has one request in progress at a time
	floodTime        = 4 * time.Second // how long they send
	usualInterval    = 50 * time.Millisecond
	usualTimeout     = time.Second // of the requests of other clients

	// latestAnswer is how long after its end an answer must have arrived: until then it earns nothing, but is not lost.
	// Time limits on sockets are 50 ms longer.
	latestAnswer = usualTimeout + 550*time.Millisecond
)

// lastRequestID is the ID of the latest request of newCustomerRequest.
var lastRequestID atomic.Uint64

// newCustomerRequest returns a request with a new ID, of a new customer.
func newCustomerRequest() string {
	id := lastRequestID.Add(1)
	return fmt.Sprintf("GET /c HTTP/1.1\r\nHost: h\r\nRequest-Id: %016x\r\nRequest-Class: c\r\nX-Tier: p\r\n"+
		"X-Api-Key: %016x\r\nRequest-Timeout: %.3f\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", id, id,
		usualTimeout.Seconds())
}

// sendRepeatedly sends requests at full speed, one at a time, until ended is set. It connects again when its connection
// is closed.
func sendRepeatedly(addr string, ended *atomic.Bool) {
	for !ended.Load() {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(2 * floodTime))
		reader := bufio.NewReader(conn)
		for !ended.Load() {
			if _, err := io.WriteString(conn, newCustomerRequest()); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				break
			}
		}
		conn.Close()
	}
}

// sendOnce sends a request on a new connection and returns the status of its answer, which must come within the given
// time.
func sendOnce(addr string, within time.Duration) (status int, err error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, newCustomerRequest()); err != nil {
		return 0, err
	}
	conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// Guards against answers that come too late, or never, while other clients send hundreds of requests at once at full
// speed: connections waited in the backlog for seconds, since each accept waited for all other goroutines.
func TestRequestsAreAnsweredInTimeDuringFlood(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "done")
	}))
	defer backend.Close()
	var silent atomic.Bool
	configText := fmt.Sprintf(configFormat, "127.0.0.1:0",
		startAgent(t, strings.TrimPrefix(backend.URL, "http://"), &silent))
	configText = strings.Replace(configText, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, floodDescriptors), 1)
	_, addr := startProgram(t, configText, floodDescriptors)

	var ended atomic.Bool
	var clients sync.WaitGroup
	for range floodClients {
		clients.Go(func() { sendRepeatedly(addr, &ended) })
	}
	for start := time.Now(); time.Since(start) < floodTime; time.Sleep(usualInterval) {
		clients.Go(func() {
			if status, err := sendOnce(addr, latestAnswer); status != http.StatusOK && status != http.StatusServiceUnavailable {
				t.Errorf("got status %d, error %v; want 200 or 503 within %v", status, err, latestAnswer)
			}
		})
	}
	ended.Store(true)
	clients.Wait()
}
