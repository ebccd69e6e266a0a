package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID, Class, Plan, Key string
	Customer             uint64
	Gateways             int // number of gateways of the customer's set, which starts at number 0
	Timeout              time.Duration
	Body                 string
}

// Result is what a client got.
type Result struct {
	Request  *Request
	Status   int // 0: no whole answer
	Body     string
	Err      error
	Sent     time.Time // when the last byte was written
	Answered time.Time // when the last byte was read, or the connection ended
}

// NewID returns a new request id.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// NewRequest returns a request of one unit of a new customer.
func NewRequest(class string, gateways int) *Request {
	request := &Request{ID: NewID(), Class: class, Plan: "business", Customer: rand.Uint64N(1 << 33), Gateways: gateways,
		Timeout: 2500 * time.Millisecond}
	switch class {
	case "log-alarm":
		request.Key, request.Timeout = NewID()+NewID(), 2*time.Second
		request.Body = "alarm " + request.ID
	case "start-plant":
		request.Body = "start " + request.ID
	}
	return request
}

// Encode returns the request as it is sent.
func (q *Request) Encode() string {
	var text strings.Builder
	method := "GET"
	if q.Class != "read-setpoint" {
		method = "POST"
	}
	fmt.Fprintf(&text, "%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nX-Tier: %s\r\n"+
		"X-Api-Key: %016x\r\nRequest-Timeout: %.3f\r\n", method, q.Class, q.ID, q.ID, q.Class, q.Plan, q.Customer,
		q.Timeout.Seconds())
	if q.Key != "" {
		fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", q.Key)
	}
	if method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.Body))
	}
	fmt.Fprintf(&text, "X-Call-Terms: units=1,spread=%d,first=0\r\n\r\n%s", q.Gateways, q.Body)
	return text.String()
}

// Client sends requests to a gateway, one at a time on each connection. It keeps its connections.
type Client struct {
	run     *Run
	address string

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// NewClient returns a client of a gateway.
func (r *Run) NewClient(address string) *Client { return &Client{run: r, address: address} }

// errResting is the end of a resting connection that crossed a request.
var errResting = errors.New("the connection ended before an answer, and had rested")

// Do sends a request and waits for its answer. If the request crosses the end of a resting connection, it is sent once
// more, on a new connection.
func (c *Client) Do(request *Request) Result {
	result := c.try(request, false)
	if errors.Is(result.Err, errResting) {
		result = c.try(request, true)
	}
	c.run.Logf("client: %s %s: status %d after %v, %v", request.Class, request.ID, result.Status,
		result.Answered.Sub(result.Sent).Round(time.Millisecond), result.Err)
	return result
}

func (c *Client) try(request *Request, fresh bool) Result {
	result := Result{Request: request, Sent: time.Now(), Answered: time.Now()}
	conn, rested, err := c.conn(fresh)
	if err != nil {
		result.Err = err
		return result
	}
	fail := func(err error) Result {
		conn.Close()
		if rested {
			err = fmt.Errorf("%w: %w", errResting, err)
		}
		result.Err, result.Answered = err, time.Now()
		return result
	}
	_ = conn.SetDeadline(time.Now().Add(request.Timeout + 3*time.Second))
	if _, err := io.WriteString(conn, request.Encode()); err != nil {
		return fail(err)
	}
	result.Sent = time.Now()
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return fail(err)
	}
	body, err := io.ReadAll(response.Body)
	result.Answered = time.Now()
	if err != nil {
		conn.Close()
		result.Err = err // the client can tell that the answer is not whole
		return result
	}
	result.Status, result.Body = response.StatusCode, string(body)
	if response.Close {
		conn.Close()
		return result
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return result
}

// conn returns a kept connection that rests, or a new one.
func (c *Client) conn(fresh bool) (conn *clientConn, rested bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	dialed, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: dialed, reader: bufio.NewReader(dialed)}, false, nil
}

// Load is a steady load of requests.
type Load struct {
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// StartLoad sends the requests that next returns, at a steady interval, until Stop.
func (c *Client) StartLoad(interval time.Duration, next func() *Request) *Load {
	load := &Load{stop: make(chan struct{})}
	load.wait.Add(1)
	go func() {
		defer load.wait.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-load.stop:
				return
			case <-ticker.C:
			}
			request := next()
			load.wait.Add(1)
			go func() {
				defer load.wait.Done()
				result := c.Do(request)
				load.mu.Lock()
				load.results = append(load.results, result)
				load.mu.Unlock()
			}()
		}
	}()
	return load
}

// Stop ends the load, waits for the answers and returns the results.
func (l *Load) Stop() []Result {
	close(l.stop)
	l.wait.Wait()
	return l.results
}

// Count returns how many results have a status.
func Count(results []Result, status int) (count int) {
	for _, result := range results {
		if result.Status == status {
			count++
		}
	}
	return count
}

// Pester sends requests as a bad client does, one at a time: the next as soon as the one before is answered or turned
// away, at full speed, on a new connection where the gateway has closed the one before. It ends when ended is set.
func (r *Run) Pester(address string, ended *atomic.Bool, sent *atomic.Int64, next func() *Request) {
	for !ended.Load() {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for !ended.Load() {
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := io.WriteString(conn, next().Encode()); err != nil {
				break
			}
			sent.Add(1)
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
