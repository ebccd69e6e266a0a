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
func blockDials(backends *Backends) (dialing chan bool, proceed chan bool) {
	dialing, proceed = make(chan bool, 1), make(chan bool)
	dial := backends.pool.dial
	backends.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- true
		<-proceed
		return dial(context.WithoutCancel(ctx), network, addr) // it has come up in the same moment as ctx ended
	}
	return dialing, proceed
}

// A request whose client disconnects while its connection to the backend comes up is not sent on, also where the
// settings allow no cancel, as nothing has been sent that could be cancelled. Neither is one that has its final
// answer.
func TestDisconnectionWhileConnectingPreventsSend(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		t.Run(method, func(t *testing.T) {
			received := make(chan int, 1)
			handler := newScriptedHandler(sendAllTo(1)) // and never a Cancel
			instance := startGatewayOn(t, handler, listenTCP(t), startRawBackend(t, func(n int, _ net.Conn) { received <- n }))
			dialing, proceed := blockDials(instance.loop.backends)
			conn := dialConns(t, instance.addr, 1)[0]
			io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a1"))
			awaitSignal(t, dialing, "the connection to come up")
			disconnect(conn)
			nextEvent[gateway.ClientGone](t, handler)
			proceed <- true
			if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Result != gateway.NotSent || !outcome.Final {
				t.Errorf("%+v", outcome)
			}
			if len(received) > 0 {
				t.Error("the backend was sent the request")
			}
		})
	}
}

// deafListener is a listener whose connections never notify the server's watch that the client has disconnected, as if
// the process did not come to it: a watch reads into a buffer of its own size.
type undetectedCloseListener struct {
	*net.TCPListener
	accepted chan net.Conn
	unblock  chan bool
}

type undetectedCloseConn struct {
	*net.TCPConn
	unblock chan bool
}

func (l *undetectedCloseListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- conn
	return &undetectedCloseConn{conn.(*net.TCPConn), l.unblock}, nil
}

func (c *undetectedCloseConn) Read(p []byte) (int, error) {
	if len(p) == disconnectBufferSize {
		<-c.unblock
	}
	return c.TCPConn.Read(p)
}

// An attempt, first or further, does not begin after its client has disconnected, also while the loop has not been
// notified of that: for a request that is held, that dials, or whose last attempt has just failed, and also where
// nothing may be cancelled.
func TestNoAttemptStartsAfterDisconnection(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		for _, when := range []string{"held", "dialling", "between attempts"} {
			t.Run(method+" "+when, func(t *testing.T) {
				received, fail := make(chan int, 3), make(chan bool)
				addr := startRawBackend(t, func(n int, conn net.Conn) {
					received <- n
					<-fail
					io.WriteString(conn, "HTTP/1.1 500 Sorry\r\nContent-Length: 0\r\n\r\n")
				})
				handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
					switch event := event.(type) {
					case gateway.Request:
						if when != "held" {
							return []gateway.Action{gateway.Send{Request: event.ID, Backend: 1}}
						}
					case gateway.Timer:
						return []gateway.Action{gateway.Send{Request: 0xa1, Backend: 1}}
					case gateway.Outcome:
						if event.Result == gateway.AnsweredErr {
							return []gateway.Action{gateway.Send{Request: event.Request, Backend: 1}}
						}
					}
					return nil
				})
				listener := &undetectedCloseListener{listenTCP(t), make(chan net.Conn, 1), make(chan bool)}
				defer close(listener.unblock)
				instance := startGatewayOn(t, handler, listener, addr)
				dialing, proceed := blockDials(instance.loop.backends)
				conn := dialConns(t, instance.addr, 1)[0]
				serverConn := <-listener.accepted
				io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
				nextEvent[gateway.Request](t, handler)
				switch when {
				case "dialling":
					awaitSignal(t, dialing, "the connection to come up")
				case "between attempts":
					awaitSignal(t, dialing, "the first connection to come up")
					proceed <- true
					<-received
				}
				disconnect(conn)
				for deadline := time.Now().Add(testTimeout); peekSocket(serverConn) != peerClosed; {
					if time.Now().After(deadline) {
						t.Fatal("the leaving was never to be seen")
					}
				}
				switch when {
				case "held":
					instance.loop.post(gateway.Timer{})
					awaitSignal(t, dialing, "the connection to come up")
				case "between attempts":
					close(fail)
					if nextEvent[gateway.Outcome](t, handler).Result != gateway.AnsweredErr {
						t.Error("the first attempt did not fail")
					}
				}
				proceed <- true
				var outcome gateway.Outcome
				for gone, attemptEnded := false, false; !gone || !attemptEnded; {
					switch event := nextEvent[gateway.Event](t, handler).(type) {
					case gateway.ClientGone:
						gone = true
					case gateway.Outcome:
						outcome, attemptEnded = event, true
					}
				}
				if outcome.Result != gateway.NotSent {
					t.Errorf("%+v", outcome)
				}
				if len(received) > 0 {
					t.Error("the backend was sent the request")
				}
			})
		}
	}
}

// An attempt that must have begun by some time is not sent later, however late its connection comes up: a keyed
// request's repeat would find the backends' memory of the first attempt gone.
func TestAttemptIsNotSentAfterWithin(t *testing.T) {
	received := make(chan int, 1)
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Send{Request: request.ID, Backend: 1, Within: time.Nanosecond}}
		}
		return nil
	})
	instance := startGatewayOn(t, handler, listenTCP(t), startRawBackend(t, func(n int, _ net.Conn) { received <- n }))
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a1"))
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Result != gateway.NotSent || outcome.Final {
		t.Errorf("%+v", outcome)
	}
	if len(received) > 0 {
		t.Error("the backend was sent the request")
	}
}

// stuck is a connection whose other side takes nothing: a write ends by its deadline or by the close only.
type blockedWriteConn struct {
	net.Conn
	writing chan bool
	once    sync.Once
}

func (c *blockedWriteConn) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.writing) })
	for {
		if n, err := c.Conn.Write(p); err != nil || n == 0 {
			return 0, err
		}
	}
}

// A write that blocks ends with its attempt, and the connection is closed before the attempt's outcome is reported:
// what the gateway sends next can't meet it.
func TestBlockedWriteEndsWithAttempt(t *testing.T) {
	listener := listenTCP(t)
	accepted := make(chan net.Conn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	backends, id := newTestBackends(t, listener.Addr().String())
	writing := make(chan bool)
	var blockedConn *blockedWriteConn
	dial := backends.pool.dial
	backends.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		blockedConn = &blockedWriteConn{Conn: conn, writing: writing}
		return blockedConn, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	writeCtx, cancelWrite := context.WithCancel(ctx)
	result := make(chan gateway.Result, 1)
	go func() { result <- backends.send(ctx, writeCtx, id, payRequest).result }()
	awaitSignal(t, writing, "the write")
	cancelWrite()
	select {
	case got := <-result:
		if got != gateway.NotSent {
			t.Errorf("it ended as %v", got)
		}
	case <-time.After(testTimeout / 2):
		t.Fatal("the write went on after its request had ended")
	}
	if _, err := blockedConn.Conn.Write([]byte("x")); err == nil {
		t.Error("the connection is open when the outcome is reported")
	}
	(<-accepted).Close()
}

// The last byte of a given-up attempt's connection comes before the first of the next attempt.
func TestCancelledAttemptIsClosedBeforeNext(t *testing.T) {
	received := make(chan net.Conn, 2)
	addr := startRawBackend(t, func(_ int, conn net.Conn) {
		received <- conn
		<-t.Context().Done()
	})
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		switch event := event.(type) {
		case gateway.Request:
			return []gateway.Action{gateway.Send{Request: event.ID, Backend: 1}}
		case gateway.Timer:
			return []gateway.Action{gateway.Cancel{Request: 0xa1}}
		case gateway.Outcome:
			if !event.Final && event.Attempt == 0 {
				return []gateway.Action{gateway.Send{Request: event.Request, Backend: 1}}
			}
		}
		return nil
	})
	instance := startGatewayOn(t, handler, listenTCP(t), addr)
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
	first := <-received
	instance.loop.post(gateway.Timer{})
	<-received // the next one's bytes have come
	for deadline := time.Now().Add(testTimeout); peekSocket(first) != peerClosed; {
		if time.Now().After(deadline) {
			t.Fatal("the first attempt's connection is open")
		}
	}
}

// A second answer that comes some milliseconds behind the first must not be read as the next request's: a connection on
// which the first came 10 ms ago is not used yet.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	for range 100 {
		var mu sync.Mutex
		seen := map[net.Conn]bool{}
		backends, id := newTestBackends(t, startRawBackend(t, func(_ int, conn net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			if seen[conn] {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			}
			seen[conn] = true
			io.WriteString(conn, okResponse)
		}))
		if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); string(outcome.body) != "ok" {
			t.Fatalf("the first was answered %q", outcome.body)
		}
		backends.mu.Lock()
		endpoint := backends.byID[id].endpoint
		backends.mu.Unlock()
		backends.pool.mu.Lock()
		answered := time.Now().Add(-10 * time.Millisecond)
		endpoint.idleConns[0].idleSince = answered
		backends.pool.mu.Unlock()
		outcome := backends.send(t.Context(), t.Context(), id, lookRequest)
		if time.Since(answered) > 40*time.Millisecond {
			continue // this machine was too slow: the rest may rightly have been over
		}
		if string(outcome.body) != "ok" {
			t.Errorf("the next request was answered %q", outcome.body)
		}
		return
	}
	t.Error("this machine is too slow to tell")
}
