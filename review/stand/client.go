package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// NewID returns a request id that was not used before in this run.
func NewID() string { return fmt.Sprintf("%016x", 0x5eed000000000000+lastID.Add(1)) }

// Request returns the text of a request of a class, as clients send it. Only the class read-setpoint uses GET. The
// requests of one run come from many customers, each well within its quota.
func Request(class, id string) string {
	method, extra, body := "POST", "", "v=1"
	if class == "read-setpoint" {
		method, body = "GET", ""
	} else {
		extra = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if class == "log-alarm" {
		extra += "Idempotency-Key: " + id + id + "\r\n"
	}
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: %s\r\nRequest-Class: %s\r\n"+
		"X-Tier: business\r\nX-Api-Key: 00000000%s\r\nRequest-Timeout: 2.000\r\n"+
		"X-Call-Terms: units=1,spread=2,first=0\r\n%s\r\n%s", method, class, id[8:], id, class, id[8:], extra, body)
}

// Answer is what a client has received.
type Answer struct {
	Status int // 0: no whole answer
	Body   string
	Err    error
	After  time.Duration
}

// Exchange sends a text on a new connection and reads one answer.
func Exchange(address, text string, timeout time.Duration) Answer {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	return ExchangeOn(conn, bufio.NewReader(conn), text, timeout)
}

// ExchangeOn sends a text on a connection and reads one answer.
func ExchangeOn(conn net.Conn, reader *bufio.Reader, text string, timeout time.Duration) Answer {
	start := time.Now()
	if err := conn.SetDeadline(start.Add(timeout)); err != nil {
		return Answer{Err: err}
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return Answer{Err: err, After: time.Since(start)}
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return Answer{Err: err, After: time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	if err != nil {
		return Answer{Err: err, After: time.Since(start)}
	}
	return Answer{Status: response.StatusCode, Body: string(body), After: time.Since(start)}
}
