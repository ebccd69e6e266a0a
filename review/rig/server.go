package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Received is a request that has come whole to a control server.
type Received struct {
	Server                *Server
	Method, Target, ID    string
	Key                   string
	Body                  []byte
	FirstByte, LastByte   time.Time
	Timeout               string // the Request-Timeout that the request tells
	ConnectionNumber, Seq int
}

// Answer writes what a control server answers to a request. If it returns false, the connection is closed.
type Answer func(request *Received, conn net.Conn) bool

// Server is a stand-in control server. It serves connections until it is stopped.
type Server struct {
	Host, Address string
	listener      net.Listener
	run           *Run

	mu       sync.Mutex
	answer   Answer
	received []*Received
	conns    map[net.Conn]bool
}

// NewServer starts a control server.
func (r *Run) NewServer(host string, answer Answer) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Host: host, Address: listener.Addr().String(), listener: listener, run: r, answer: answer,
		conns: map[net.Conn]bool{}}
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serve(conn, number)
		}
	}()
	return s, nil
}

// SetAnswer changes how requests are answered from now on.
func (s *Server) SetAnswer(answer Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Received returns the requests that have come.
func (s *Server) Received() []*Received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*Received(nil), s.received...)
}

// Stop closes the listener and all connections, as the end of the process does.
func (s *Server) Stop() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

func (s *Server) serve(conn net.Conn, number int) {
	defer func() {
		conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := time.Now()
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		received := &Received{Server: s, Method: request.Method, Target: request.RequestURI,
			ID: request.Header.Get("Request-Id"), Key: request.Header.Get("Idempotency-Key"), Body: body,
			Timeout: request.Header.Get("Request-Timeout"), FirstByte: first, LastByte: time.Now(), ConnectionNumber: number}
		s.mu.Lock()
		s.received = append(s.received, received)
		received.Seq = len(s.received)
		answer := s.answer
		s.mu.Unlock()
		s.run.Logf("%s: got %s %s id %s on connection %d", s.Host, received.Method, received.Target, received.ID, number)
		if received.ID == "" {
			fmt.Fprintf(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !answer(received, conn) {
			return
		}
	}
}

// Work is how long a control server works on a request.
const Work = 70 * time.Millisecond

// Body returns the body of a control server's answer to a request: it names the request and has a checked end.
func Body(id string) string {
	return fmt.Sprintf("answer to %s: setpoint 21.5, valid from 06:00 to 22:30, end of answer to %s", id, id)
}

// Serve answers after Work with a good answer.
func Serve(request *Received, conn net.Conn) bool {
	time.Sleep(Work)
	body := Body(request.ID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-RateLimit-Used: 10\r\n\r\n%s", len(body), body)
	return err == nil
}

// TurnAway answers that the request was not started.
func TurnAway(_ *Received, conn net.Conn) bool {
	_, err := fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}
