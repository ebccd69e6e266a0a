package frontdoor

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"herontiller/internal/gateway"
)

// The tests of this file make an attempt cross with the end of its request, every time.

// gatedDials lets the test hold connections while they come up. Each is announced on dialing.
func gatedDials(b *Backends) (dialing chan bool, goOn chan bool) {
	dialing, goOn = make(chan bool, 1), make(chan bool)
	dial := b.pool.dial
	b.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- true
		<-goOn
		return dial(context.WithoutCancel(ctx), network, addr) // it has come up in the same moment as ctx ended
	}
	return dialing, goOn
}

// A request whose client disconnects while its connection to the backend comes up is not sent on, also where the
// settings allow no cancel, as nothing has been sent that could be cancelled. Neither is one that has its final
// answer.
func TestNothingIsSentOnceItsClientHasDisconnected(t *testing.T) {
	for how, leave := range leaving {
		t.Run(how, func(t *testing.T) {
			got := make(chan int, 1)
			g := script(sendTo(1)) // and never a Cancel
			d := serveInstance(t, g, listen(t), raw(t, func(n int, _ net.Conn) { got <- n }))
			dialing, goOn := gatedDials(d.loop.backends)
			conn := dialAll(t, d.addr, 1)[0]
			io.WriteString(conn, d.text(t, "pay", "00000000000000a1"))
			await(t, dialing, "the connection to come up")
			leave(conn)
			next[gateway.ClientGone](t, g)
			goOn <- true
			if out := next[gateway.Outcome](t, g); out.Result != gateway.NotSent || !out.Final {
				t.Errorf("%+v", out)
			}
			if len(got) > 0 {
				t.Error("the backend was sent the request")
			}
		})
	}
}

// deafListener is a listener whose connections never notify the server's watch that the client has disconnected, as if
// the process did not come to it: a watch reads into a buffer of its own size.
type deafListener struct {
	*net.TCPListener
	conns chan net.Conn
	end   chan bool
}

type deafConn struct {
	*net.TCPConn
	end chan bool
}

func (l *deafListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.conns <- c
	return &deafConn{c.(*net.TCPConn), l.end}, nil
}

func (c *deafConn) Read(p []byte) (int, error) {
	if len(p) == disconnectBufferSize {
		<-c.end
	}
	return c.TCPConn.Read(p)
}

// An attempt, first or further, does not begin after its client has disconnected, also while the loop has not been
// notified of that: for a request that is held, that dials, or whose last attempt has just failed, and also where
// nothing may be cancelled.
func TestNoAttemptBeginsAfterADisconnection(t *testing.T) {
	for how, leave := range leaving {
		for _, when := range []string{"held", "dialling", "between attempts"} {
			t.Run(how+" "+when, func(t *testing.T) {
				began, fail := make(chan int, 3), make(chan bool)
				addr := raw(t, func(n int, conn net.Conn) {
					began <- n
					<-fail
					io.WriteString(conn, "HTTP/1.1 500 Sorry\r\nContent-Length: 0\r\n\r\n")
				})
				g := script(func(ev gateway.Event) []gateway.Action {
					switch ev := ev.(type) {
					case gateway.Request:
						if when != "held" {
							return []gateway.Action{gateway.Send{Request: ev.ID, Backend: 1}}
						}
					case gateway.Timer:
						return []gateway.Action{gateway.Send{Request: 0xa1, Backend: 1}}
					case gateway.Outcome:
						if ev.Result == gateway.AnsweredError {
							return []gateway.Action{gateway.Send{Request: ev.Request, Backend: 1}}
						}
					}
					return nil
				})
				ln := &deafListener{listen(t), make(chan net.Conn, 1), make(chan bool)}
				defer close(ln.end)
				d := serveInstance(t, g, ln, addr)
				dialing, goOn := gatedDials(d.loop.backends)
				conn := dialAll(t, d.addr, 1)[0]
				near := <-ln.conns
				io.WriteString(conn, d.text(t, "look", "00000000000000a1"))
				next[gateway.Request](t, g)
				switch when {
				case "dialling":
					await(t, dialing, "the connection to come up")
				case "between attempts":
					await(t, dialing, "the first connection to come up")
					goOn <- true
					<-began
				}
				leave(conn)
				for end := time.Now().Add(patient); peekSocket(near) != peerClosed; {
					if time.Now().After(end) {
						t.Fatal("the leaving was never to be seen")
					}
				}
				switch when {
				case "held":
					d.loop.post(gateway.Timer{})
					await(t, dialing, "the connection to come up")
				case "between attempts":
					close(fail)
					if next[gateway.Outcome](t, g).Result != gateway.AnsweredError {
						t.Error("the first attempt did not fail")
					}
				}
				goOn <- true
				var out gateway.Outcome
				for gone, over := false, false; !gone || !over; {
					switch ev := next[gateway.Event](t, g).(type) {
					case gateway.ClientGone:
						gone = true
					case gateway.Outcome:
						out, over = ev, true
					}
				}
				if out.Result != gateway.NotSent {
					t.Errorf("%+v", out)
				}
				if len(began) > 0 {
					t.Error("the backend was sent the request")
				}
			})
		}
	}
}

// An attempt that must have begun by some time is not sent later, however late its connection comes up: a keyed
// request's repeat would find the backends' memory of the first attempt gone.
func TestAnAttemptThatComesTooLateIsNotSent(t *testing.T) {
	got := make(chan int, 1)
	g := script(func(ev gateway.Event) []gateway.Action {
		if r, ok := ev.(gateway.Request); ok {
			return []gateway.Action{gateway.Send{Request: r.ID, Backend: 1, StartWithin: time.Nanosecond}}
		}
		return nil
	})
	d := serveInstance(t, g, listen(t), raw(t, func(n int, _ net.Conn) { got <- n }))
	conn := dialAll(t, d.addr, 1)[0]
	io.WriteString(conn, d.text(t, "pay", "00000000000000a1"))
	if out := next[gateway.Outcome](t, g); out.Result != gateway.NotSent || out.Final {
		t.Errorf("%+v", out)
	}
	if len(got) > 0 {
		t.Error("the backend was sent the request")
	}
}

// stuck is a connection whose other side takes nothing: a write ends by its deadline or by the close only.
type stuck struct {
	net.Conn
	writing chan bool
	once    sync.Once
}

func (s *stuck) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.writing) })
	for {
		if n, err := s.Conn.Write(p); err != nil || n == 0 {
			return 0, err
		}
	}
}

// A write that blocks ends with its attempt, and the connection is closed before the attempt's outcome is reported:
// what the gateway sends next can't meet it.
func TestABlockedWriteEndsWithItsAttempt(t *testing.T) {
	ln := listen(t)
	far := make(chan net.Conn, 1)
	go func() {
		if c, err := ln.Accept(); err == nil {
			far <- c
		}
	}()
	b, id := attempts(t, ln.Addr().String())
	writing := make(chan bool)
	var near *stuck
	dial := b.pool.dial
	b.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		near = &stuck{Conn: c, writing: writing}
		return near, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), patient)
	defer cancel()
	unsent, unsend := context.WithCancel(ctx)
	result := make(chan gateway.Result, 1)
	go func() { result <- b.send(ctx, unsent, id, payMessage).result }()
	await(t, writing, "the write")
	unsend()
	select {
	case r := <-result:
		if r != gateway.NotSent {
			t.Errorf("it ended as %v", r)
		}
	case <-time.After(patient / 2):
		t.Fatal("the write went on after its request had ended")
	}
	if _, err := near.Conn.Write([]byte("x")); err == nil {
		t.Error("the connection is open when the outcome is reported")
	}
	(<-far).Close()
}

// The last byte of a given-up attempt's connection comes before the first of the next attempt.
func TestAGivenUpAttemptIsClosedBeforeTheNext(t *testing.T) {
	read := make(chan net.Conn, 2)
	addr := raw(t, func(_ int, conn net.Conn) {
		read <- conn
		<-t.Context().Done()
	})
	g := script(func(ev gateway.Event) []gateway.Action {
		switch ev := ev.(type) {
		case gateway.Request:
			return []gateway.Action{gateway.Send{Request: ev.ID, Backend: 1}}
		case gateway.Timer:
			return []gateway.Action{gateway.Cancel{Request: 0xa1}}
		case gateway.Outcome:
			if !ev.Final && ev.Attempt == 0 {
				return []gateway.Action{gateway.Send{Request: ev.Request, Backend: 1}}
			}
		}
		return nil
	})
	d := serveInstance(t, g, listen(t), addr)
	conn := dialAll(t, d.addr, 1)[0]
	io.WriteString(conn, d.text(t, "look", "00000000000000a1"))
	first := <-read
	d.loop.post(gateway.Timer{})
	<-read // the next one's bytes have come
	for end := time.Now().Add(patient); peekSocket(first) != peerClosed; {
		if time.Now().After(end) {
			t.Fatal("the first attempt's connection is open")
		}
	}
}

// A second answer that comes some milliseconds behind the first must not be read as the next request's: a connection on
// which the first came 10 ms ago is not used yet.
func TestASecondAnswerBehindTheFirst(t *testing.T) {
	for range 100 {
		var mu sync.Mutex
		seen := map[net.Conn]bool{}
		b, id := attempts(t, raw(t, func(_ int, conn net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			if seen[conn] {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			}
			seen[conn] = true
			io.WriteString(conn, okReply)
		}))
		if r := b.send(t.Context(), t.Context(), id, lookMessage); string(r.body) != "ok" {
			t.Fatalf("the first was answered %q", r.body)
		}
		b.mu.Lock()
		at := b.byID[id].endpoint
		b.mu.Unlock()
		b.pool.mu.Lock()
		answered := time.Now().Add(-10 * time.Millisecond)
		at.idleConns[0].idleSince = answered
		b.pool.mu.Unlock()
		r := b.send(t.Context(), t.Context(), id, lookMessage)
		if time.Since(answered) > 40*time.Millisecond {
			continue // this machine was too slow: the rest may rightly have been over
		}
		if string(r.body) != "ok" {
			t.Errorf("the next request was answered %q", r.body)
		}
		return
	}
	t.Error("this machine is too slow to tell")
}
