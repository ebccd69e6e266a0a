package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Received is a request whose last byte has come to a control server, which begins it then.
type Received struct {
	At     time.Time
	Server string
	ID     string
	Line   string
	Class  string
	Key    string
	Told   string // Request-Timeout
}

// ControlServer is a stand-in for a control server.
type ControlServer struct {
	Name, Address string
	// Answer writes the answer to a request and reports whether the connection stays open. It may close it.
	Answer func(s *ControlServer, conn *net.TCPConn, r Received) bool

	c        *Case
	mu       sync.Mutex
	received []Received
}

// StartControlServer starts a control server on a free port.
func (c *Case) StartControlServer(name string,
	answer func(s *ControlServer, conn *net.TCPConn, r Received) bool) (*ControlServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.AtEnd(func() { listener.Close() })
	s := &ControlServer{Name: name, Address: listener.Addr().String(), Answer: answer, c: c}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	return s, nil
}

// serve reads one request after the other from a connection.
func (s *ControlServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		r := Received{At: time.Now(), Server: s.Name, ID: request.Header.Get("Request-Id"),
			Line: request.Method + " " + request.RequestURI, Class: request.Header.Get("Request-Class"),
			Key: request.Header.Get("Idempotency-Key"), Told: request.Header.Get("Request-Timeout")}
		s.mu.Lock()
		s.received = append(s.received, r)
		s.mu.Unlock()
		s.c.Log("%s ran %s, id %s", s.Name, r.Line, r.ID)
		if !s.Answer(s, conn, r) {
			return
		}
	}
}

// Received returns the requests that the server has begun so far.
func (s *ControlServer) Received() []Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Received(nil), s.received...)
}

// Body is the body of the answer to a request: it names the request, so that it can be told from any other.
func Body(id string) string { return "done " + id + "\n" }

// Write writes an answer with a length and keeps the connection open.
func Write(conn net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}
