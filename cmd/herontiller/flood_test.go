package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
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

// keepSending makes exchanges one after another until ended is set. It connects again when an exchange reports that its
// connection is closed, and gives up a connection after its lifetime.
func keepSending(addr string, ended *atomic.Bool, lifetime time.Duration,
	exchange func(net.Conn, *bufio.Reader) (open bool)) {
	for !ended.Load() {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(lifetime))
		reader := bufio.NewReader(conn)
		for open := true; open && !ended.Load(); {
			open = exchange(conn, reader)
		}
		conn.Close()
	}
}

// sendAndReceive sends a request, or the rest of one, and reads the response. It returns the status, 0 without a complete
// response, and whether the connection is still open.
func sendAndReceive(conn net.Conn, reader *bufio.Reader, request string) (status int, open bool) {
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, false
	}
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		return 0, false
	}
	return response.StatusCode, !response.Close
}

// silentConnectionTime is how long a new connection may be silent while there are too many, before the program closes it.
const silentConnectionTime = 50 * time.Millisecond

// lateRequestError reports that the program closed a new connection on which this process was late to write: not before
// silentConnectionTime. By the protocol the client sends such a request again, on a new connection.
type lateRequestError struct {
	delay time.Duration // from the begin of connecting until the request was written
	err   error
}

func (e *lateRequestError) Error() string {
	return fmt.Sprintf("the request was written %v after connecting: %v", e.delay, e.err)
}

// sendOnce sends a request on a new connection and returns the status of its answer, which must come within the given
// time.
func sendOnce(addr string, within time.Duration) (status int, err error) {
	begin := time.Now()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, newCustomerRequest()); err != nil {
		return 0, err
	}
	delay := time.Since(begin)
	conn.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case (errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)) && delay >= silentConnectionTime:
		return 0, &lateRequestError{delay, err}
	case err != nil:
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
		clients.Go(func() {
			keepSending(addr, &ended, 2*floodTime, func(conn net.Conn, reader *bufio.Reader) bool {
				_, open := sendAndReceive(conn, reader, newCustomerRequest())
				return open
			})
		})
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
