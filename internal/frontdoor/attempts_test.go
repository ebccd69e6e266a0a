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

// The tests in this file force races between an attempt and the end of its request.

// blockDials blocks the dials of backends. Each dial sends on dialing, and then connects once the test sends on
// proceed.
func blockDials(backends *Backends) (dialing chan bool, proceed chan bool) {
	dialing, proceed = make(chan bool, 1), make(chan bool)
	dial := backends.pool.dial
	backends.pool.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		dialing <- true
		<-proceed
		return dial(context.WithoutCancel(ctx), network, addr) // the connection succeeds even if ctx has ended
	}
	return dialing, proceed
}

// If the client disconnects while the connection to the backend is being established, the request must not be sent.
// This applies even if the settings forbid cancelling attempts, as nothing has been sent yet that could be cancelled.
// It applies to a request that already has its final response, too.
func TestDisconnectionWhileConnectingPreventsSend(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		t.Run(method, func(t *testing.T) {
			received := make(chan int, 1)
			handler := newScriptedHandler(sendAllTo(1)) // never cancels
			instance := startGatewayOn(t, handler, listenTCP(t), startRawBackend(t, func(n int, _ net.Conn) {
				received <- n
			}))
			dialing, proceed := blockDials(instance.loop.backends)
			conn := dialConns(t, instance.addr, 1)[0]
			io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a1"))
			awaitSignal(t, dialing, "the dial")
			disconnect(conn)
			nextEvent[gateway.ClientGone](t, handler)
			proceed <- true
			if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Result != gateway.NotSent || !outcome.Final {
				t.Errorf("got %+v, want NotSent, final", outcome)
			}
			if len(received) > 0 {
				t.Error("the backend got the request, want it not sent")
			}
		})
	}
}

// undetectedCloseListener accepts connections on which clientConn doesn't detect that the client disconnects until
// unblock is closed, as if the process were short of CPU.
type undetectedCloseListener struct {
	*net.TCPListener
	accepted chan net.Conn // receives each accepted connection
	unblock  chan bool
}

// undetectedCloseConn is a connection of an undetectedCloseListener. It blocks the reads that detect a disconnection,
// which it recognises by the size of their buffer.
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

// No attempt, neither the first nor a retry, may start after the client has disconnected, even if the loop has not been
// notified of this yet and no attempt is cancelled. The request is queued, is connecting to the backend, or its
// previous attempt has just failed.
func TestNoAttemptStartsAfterDisconnection(t *testing.T) {
	for method, disconnect := range disconnectMethods {
		for _, state := range []string{"queued", "connecting", "between attempts"} {
			t.Run(method+" "+state, func(t *testing.T) {
				received, fail := make(chan int, 3), make(chan bool)
				addr := startRawBackend(t, func(n int, conn net.Conn) {
					received <- n
					<-fail
					io.WriteString(conn, "HTTP/1.1 500 Sorry\r\nContent-Length: 0\r\n\r\n")
				})
				handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
					switch event := event.(type) {
					case gateway.Request:
						if state != "queued" {
							return []gateway.Action{gateway.Send{Request: event.ID, Backend: 1}}
						}
					case gateway.Timer:
						return []gateway.Action{gateway.Send{Request: 0xa1, Backend: 1}}
					case gateway.Outcome:
						if event.Result == gateway.AnsweredError {
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
				switch state {
				case "connecting":
					awaitSignal(t, dialing, "the dial")
				case "between attempts":
					awaitSignal(t, dialing, "the first dial")
					proceed <- true
					<-received
				}
				disconnect(conn)
				for deadline := time.Now().Add(testTimeout); peekSocket(serverConn) != peerClosed; {
					if time.Now().After(deadline) {
						t.Fatal("the disconnection has not arrived at the gateway's socket")
					}
				}
				switch state {
				case "queued":
					instance.loop.post(gateway.Timer{})
					awaitSignal(t, dialing, "the dial")
				case "between attempts":
					close(fail)
					if nextEvent[gateway.Outcome](t, handler).Result != gateway.AnsweredError {
						t.Error("first attempt: got another result, want AnsweredError")
					}
				}
				proceed <- true
				var outcome gateway.Outcome
				for disconnected, attemptEnded := false, false; !disconnected || !attemptEnded; {
					switch event := nextEvent[gateway.Event](t, handler).(type) {
					case gateway.ClientGone:
						disconnected = true
					case gateway.Outcome:
						outcome, attemptEnded = event, true
					}
				}
				if outcome.Result != gateway.NotSent {
					t.Errorf("got %+v, want NotSent", outcome)
				}
				if len(received) > 0 {
					t.Error("the backend got the request, want it not sent")
				}
			})
		}
	}
}

// An attempt must not be sent later than StartWithin after its Send action, even if connecting takes long: when a keyed
// request is retried too late, the backends no longer remember the first attempt and can't detect the duplicate.
func TestAttemptIsNotSentAfterStartWithin(t *testing.T) {
	received := make(chan int, 1)
	handler := newScriptedHandler(func(event gateway.Event) []gateway.Action {
		if request, ok := event.(gateway.Request); ok {
			return []gateway.Action{gateway.Send{Request: request.ID, Backend: 1, StartWithin: time.Nanosecond}}
		}
		return nil
	})
	instance := startGatewayOn(t, handler, listenTCP(t), startRawBackend(t, func(n int, _ net.Conn) {
		received <- n
	}))
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "pay", "00000000000000a1"))
	if outcome := nextEvent[gateway.Outcome](t, handler); outcome.Result != gateway.NotSent || outcome.Final {
		t.Errorf("got %+v, want NotSent, not final", outcome)
	}
	if len(received) > 0 {
		t.Error("the backend got the request, want it not sent")
	}
}

// blockedWriteConn is a connection on which a write never completes. It fails at its deadline or when the connection is
// closed.
type blockedWriteConn struct {
	net.Conn
	writing chan bool // closed by the first write
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

// A blocked write must end with its attempt, and the connection must be closed before the outcome is reported, so that
// the attempt can't overlap with the next one.
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
			t.Errorf("got result %v, want NotSent", got)
		}
	case <-time.After(testTimeout / 2):
		t.Fatal("the write continues after its attempt was cancelled, want it to end")
	}
	if _, err := blockedConn.Conn.Write([]byte("x")); err == nil {
		t.Error("the connection is still open when the outcome is reported, want it closed")
	}
	(<-accepted).Close()
}

// The connection of a cancelled attempt must be closed before the backend receives the next attempt.
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
	<-received // the backend has the next attempt
	for deadline := time.Now().Add(testTimeout); peekSocket(first) != peerClosed; {
		if time.Now().After(deadline) {
			t.Fatal("the first attempt's connection is still open, want it closed")
		}
	}
}

// A second response that arrives some milliseconds after the first must not be read as the response to the next
// request: a connection that received its response 10 ms ago, less than reuseCooldown, must not be reused yet.
func TestLateSecondResponseIsNotServed(t *testing.T) {
	for range 100 {
		var mu sync.Mutex
		responded := map[net.Conn]bool{}
		backends, id := newTestBackends(t, startRawBackend(t, func(_ int, conn net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			if responded[conn] {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			}
			responded[conn] = true
			io.WriteString(conn, okResponse)
		}))
		if outcome := backends.send(t.Context(), t.Context(), id, lookRequest); string(outcome.body) != "ok" {
			t.Fatalf("first request: got body %q, want \"ok\"", outcome.body)
		}
		backends.mu.Lock()
		endpoint := backends.byID[id].endpoint
		backends.mu.Unlock()
		backends.pool.mu.Lock()
		respondedAt := time.Now().Add(-10 * time.Millisecond)
		endpoint.idleConns[0].idleSince = respondedAt
		backends.pool.mu.Unlock()
		outcome := backends.send(t.Context(), t.Context(), id, lookRequest)
		if time.Since(respondedAt) > 40*time.Millisecond {
			continue // too slow: reuseCooldown may have passed, and reuse would be correct
		}
		if string(outcome.body) != "ok" {
			t.Errorf("next request: got body %q, want \"ok\"", outcome.body)
		}
		return
	}
	t.Error("all 100 rounds took over 40ms, want one that is faster")
}
