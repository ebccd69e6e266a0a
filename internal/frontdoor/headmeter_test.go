package frontdoor

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"herontiller/internal/gateway"
	"herontiller/internal/memory"
)

// The end of a head must be found wherever the data is split, and nothing behind it may be counted.
func TestHeadMeterFindsEndOfHead(t *testing.T) {
	for head, lines := range map[string]int64{
		"GET / HTTP/1.1\r\n\r\n":                      1,
		"GET / HTTP/1.1\r\nA: b\r\nC:\r\n\r\n":        3,
		"GET / HTTP/1.1\nA: b\n\n":                    2,
		"\r\n\r\nGET / HTTP/1.1\r\nA: b\r\n \r\n\r\n": 3,
	} {
		text := head + "body\n\nbody\r\n\r\n"
		for split := range len(head) {
			var meter headMeter
			if got := meter.add([]byte(text[:split])); got != split {
				t.Errorf("%q: the head ends at %d, want no end in the first %d bytes", text, got, split)
			}
			if got := meter.add([]byte(text[split:])); got != len(head)-split {
				t.Errorf("%q split at %d: the head ends %d bytes behind, want %d", text, split, got, len(head)-split)
			}
			if meter.bytes != int64(len(head)) || meter.lines != lines {
				t.Errorf("%q split at %d: counted %d bytes, %d lines; want %d and %d", text, split, meter.bytes,
					meter.lines, len(head), lines)
			}
		}
	}
}

// The memory that is reserved for a head must be at least what the library takes for it, and none for an ordinary head.
func TestHeadMeterCoversParsedHead(t *testing.T) {
	const heads = 50
	for name, field := range map[string]string{"short fields": "%x:\r\n", "one name": "a: %x\r\n",
		"long fields": "field-%x: " + strings.Repeat("v", 1000) + "\r\n"} {
		var text strings.Builder
		text.WriteString("GET /look/" + strings.Repeat("t", 2000) + " HTTP/1.1\r\nHost: h\r\n")
		for i := 0; text.Len() < maxRequestHead; i++ {
			fmt.Fprintf(&text, field, i)
		}
		text.WriteString("\r\n")
		var meter headMeter
		meter.add([]byte(text.String()))
		before := liveMemory()
		parsed := make([]*http.Request, heads)
		for i := range parsed {
			var err error
			if parsed[i], err = http.ReadRequest(bufio.NewReader(strings.NewReader(text.String()))); err != nil {
				t.Fatal(err)
			}
		}
		taken := (liveMemory() - before) / heads
		if parsed[0].Host != "h" || taken > meter.memory() {
			t.Errorf("%s: a parsed head takes %d bytes, want at most %d", name, taken, meter.memory())
		}
	}
	var ordinary headMeter
	ordinary.add([]byte(strings.Repeat("Some-Header-Name: with an ordinary value\r\n", 20) + "\r\n"))
	if ordinary.memory() != 0 {
		t.Errorf("%d bytes are reserved for an ordinary head, want none", ordinary.memory())
	}
}

// useUpMemory reserves all that a class may use of a gateway's account.
func (g *testGateway) useUpMemory(t *testing.T, class memory.Class) *memory.Charge {
	t.Helper()
	account := g.loop.backends.account
	charge := account.NewCharge(class)
	if err := charge.RaiseTo(account.ClassLimit(class)); err != nil {
		t.Fatal(err)
	}
	return &charge
}

// Guards against heads that take a gateway over its memory: a long one without room must be rejected at once, with
// Retry-After, and an ordinary one must still be served.
func TestLongHeadWithoutRoomIsRejected(t *testing.T) {
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "ok")
	}))
	charge := instance.useUpMemory(t, memory.Requests)
	conn := dialConns(t, instance.addr, 1)[0]
	reader := bufio.NewReader(conn)
	for i := range 2 { // the second request on an idle connection
		io.WriteString(conn, instance.requestText(t, "look", fmt.Sprintf("%016x", 0xa1+i)))
		if res, err := http.ReadResponse(reader, nil); err != nil || res.StatusCode != 200 {
			t.Fatalf("ordinary head: got %v, error %v; want 200", res, err)
		} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
			t.Fatal(err)
		}
	}
	longValue := strings.Repeat("v", 1000)
	io.WriteString(conn, longHeadText(t, instance, 0xa3, longValue))
	res, err := http.ReadResponse(reader, nil)
	if err != nil || res.StatusCode != 503 || !res.Close || res.Header.Get("Retry-After") != "0.500" {
		t.Errorf("long head: got %v, error %v; want 503 with Retry-After and Connection: close", res, err)
	}
	readUntilClosed(t, conn)
	charge.Release()
	conn = dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, longHeadText(t, instance, 0xa4, longValue))
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != 200 {
		t.Errorf("long head with room: got %v, error %v; want 200", res, err)
	}
	conn.Close()
	awaitReleased(t, instance)
}

// Guards against requests that get no answer in time because the processor is busy with the heads of others: a head of too
// many fields must be rejected before it is parsed, at the first field beyond the limit.
func TestHeadWithTooManyFieldsIsRejected(t *testing.T) {
	handler := newScriptedHandler(rejectAll)
	instance := startGateway(t, handler)
	send := func(fields int, end string) (*http.Response, error) {
		conn := dialConns(t, instance.addr, 1)[0]
		head := strings.TrimSuffix(instance.requestText(t, "look", "00000000000000a1"), "\r\n")
		for i := strings.Count(head, "\r\n") - 1; i < fields; i++ {
			head += fmt.Sprintf("%x:\r\n", i)
		}
		io.WriteString(conn, head[:len(head)/2])
		time.Sleep(time.Millisecond)
		io.WriteString(conn, head[len(head)/2:]+end)
		conn.SetReadDeadline(time.Now().Add(testTimeout))
		return http.ReadResponse(bufio.NewReader(conn), nil)
	}
	if res, err := send(100, "\r\n"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("as many fields as are allowed: got %v, error %v; want the handler's 503", res, err)
	}
	nextEvent[gateway.Request](t, handler)
	for _, end := range []string{"\r\n", ""} {
		if res, err := send(101, end); err != nil || res.StatusCode != 431 || !res.Close {
			t.Errorf("one field too many, end %q: got %v, error %v; want 431 with Connection: close", end, res, err)
		}
	}
	if len(handler.received) > 0 {
		t.Errorf("the handler got %+v, want no event", <-handler.received)
	}
}

// Without room, what a client sends behind its request must end the request, as too much of it does.
func TestReadAheadWithoutRoomEndsRequest(t *testing.T) {
	handler := newScriptedHandler(nil)
	instance := startGateway(t, handler)
	defer instance.useUpMemory(t, memory.Requests).Release()
	conn := dialConns(t, instance.addr, 1)[0]
	io.WriteString(conn, instance.requestText(t, "look", "00000000000000a1"))
	nextEvent[gateway.Request](t, handler)
	io.WriteString(conn, strings.Repeat("z", freeReadAhead+disconnectBufferSize))
	nextEvent[gateway.ClientGone](t, handler)
	readUntilClosed(t, conn)
}

// A response without room must count as one that can't be used, and a small one must be served all the same.
func TestResponseWithoutRoomIsNotServed(t *testing.T) {
	for name, test := range map[string]struct {
		response string
		want     gateway.Result
	}{
		"small":        {okResponse, gateway.Answered},
		"long":         {sizedResponse("200 OK", memory.SmallSize+1), gateway.Unknown},
		"long chunked": {chunkedResponse(memory.SmallSize + 1), gateway.Unknown},
		"long head": {strings.Replace(okResponse, "\r\n", "\r\n"+strings.Repeat("Field: value\r\n", 500), 1),
			gateway.Unknown},
	} {
		backends, id := newTestBackends(t, startRawBackend(t, func(_ int, conn net.Conn) {
			io.WriteString(conn, test.response)
		}))
		instance := &testGateway{loop: &Loop{backends: backends}}
		charge := instance.useUpMemory(t, memory.Responses)
		outcome := backends.send(t.Context(), t.Context(), id, lookRequest)
		if outcome.result != test.want {
			t.Errorf("%s response: got %v, want %v", name, outcome.result, test.want)
		}
		outcome.release()
		charge.Release()
		if outcome = backends.send(t.Context(), t.Context(), id, lookRequest); outcome.result != gateway.Answered {
			t.Errorf("%s response with room: got %v, want %v", name, outcome.result, gateway.Answered)
		}
		outcome.release()
		awaitReleased(t, instance)
	}
}

// Requests must be served unchanged and in order on one connection, however their heads and bodies are split, and
// wherever one ends and the next begins in what is written.
func TestSplitRequestsAreServedUnchanged(t *testing.T) {
	const requests = 60
	random := rand.New(rand.NewPCG(1, 2))
	instance := startGateway(t, nil, startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %.20q", r.Header.Get("Request-Id"), len(body), body)
	}))
	conn := dialConns(t, instance.addr, 1)[0]
	conn.SetDeadline(time.Now().Add(testTimeout))
	reader := bufio.NewReader(conn)
	text := func(i int) (request, want string) {
		id := fmt.Sprintf("%016x", 0xa00+i)
		if i%3 == 0 {
			return instance.requestText(t, "look", id), fmt.Sprintf("%s 0 %q", id, "")
		}
		body := strings.Repeat(fmt.Sprintf("%d\r\n\r\n", i), random.IntN(1500))
		head := strings.Replace(instance.requestText(t, "pay", id), "Content-Length: 8",
			fmt.Sprintf("Content-Length: %d", len(body)), 1)
		return strings.TrimSuffix(head, "amount=3") + body, fmt.Sprintf("%s %d %.20q", id, len(body), body)
	}
	sent := 0 // bytes of the present request that have been sent
	request, want := text(0)
	for i := range requests {
		next, nextWant := text(i + 1)
		both := request + next
		end := len(request) + random.IntN(1+min(len(next)/2, freeReadAhead))
		for sent < end {
			n := min(1+random.IntN(3000), end-sent)
			io.WriteString(conn, both[sent:sent+n])
			sent += n
			if random.IntN(3) == 0 {
				time.Sleep(time.Millisecond)
			}
		}
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if got, err := io.ReadAll(res.Body); err != nil || string(got) != want {
			t.Fatalf("request %d: got %s with %q, error %v; want %q", i, res.Status, got, err, want)
		}
		sent -= len(request)
		request, want = next, nextWant
	}
}
