package frontdoor

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"herontiller/internal/gateway"
)

// agentPolicy is the retry policy of a gateway with its own agent. Its response timeout equals the time limit of tests.
var agentPolicy = retryPolicy{drainGrace: time.Duration(float64(testTimeout) / agentTimeoutFraction)}

// entryFormat is the format of one entry of a list, with the port and the state of a backend as its verbs.
const entryFormat = `{"host":"s-1","dial":"127.0.0.1:%d","site":"a","class":"m2","block":3,"health":"%s","share":1.0,"born_ms":0}`

// A watch ends when it sends nothing, is closed or sends an invalid list. The next watch must start at the version
// received last. Otherwise changes are lost; losing the change of a backend to draining would be the worst case.
func TestWatchResumesFromLastVersion(t *testing.T) {
	requested := make(chan string, 10)
	watches := 0
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		watches++
		requested <- r.URL.RawQuery
		switch watches {
		case 1:
			fmt.Fprintf(w, `{"seq":42,"whole":true,"hosts":[`+entryFormat+"]}\n", 7, "Ready")
			w.(http.Flusher).Flush()
			<-r.Context().Done() // sends nothing until the watcher times out
		case 2:
			fmt.Fprintf(w, `{"seq":43,"whole":false,"hosts":[{"host":7}]}`+"\n")
		default:
			fmt.Fprintf(w, "\n"+`{"seq":43,"whole":false,"hosts":[`+entryFormat+"]}\n", 7, "Terminating")
		}
	})
	lists := make(chan EndpointList, 10)
	testWatcher := newWatcher(&http.Transport{}, agentPolicy, addr, 41, func(list EndpointList) { lists <- list })
	for i, wantVersion := range []int64{42, 42, 43} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		err := testWatcher.watch(ctx)
		if err == nil || ctx.Err() != nil || testWatcher.version != wantVersion {
			t.Errorf("watch %d: got error %v and version %d, want an error in time and version %d", i+1, err,
				testWatcher.version, wantVersion)
		}
		cancel()
	}
	for i, want := range []string{"watch=1&from=41", "watch=1&from=42", "watch=1&from=42"} {
		if got := <-requested; got != want {
			t.Errorf("watch %d: got query %q, want %q", i+1, got, want)
		}
	}
	if first, second := <-lists, <-lists; !first.Full || first.Endpoints[0].Cell != 3 ||
		second.Endpoints[0].State != "Terminating" {
		t.Errorf("got the lists %+v and %+v, want a full one with cell 3, then one Terminating", first, second)
	}
}

// Heartbeats, which are empty lines, must keep a watch open for longer than its idle timeout.
func TestHeartbeatsKeepWatchOpen(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
			time.Sleep(agentIdleTimeout / 8)
		}
		fmt.Fprintln(w, `{"seq":50,"whole":true,"hosts":[]}`)
	})
	testWatcher := newWatcher(&http.Transport{}, agentPolicy, addr, 1, func(EndpointList) {})
	if err := testWatcher.watch(t.Context()); testWatcher.version != 50 {
		t.Errorf("got error %v and version %d, want version 50", err, testWatcher.version)
	}
}

// An invalid entry is ignored, but the rest of its list is used. A host keeps its backend ID until it is gone.
func TestListsArePassedToGateway(t *testing.T) {
	handler := newScriptedHandler(nil)
	backends := NewBackends(newTestConfig(t))
	gatewayClock := clock{time.Now()}
	loop := newLoop(gatewayClock, handler, backends)
	endpoint := func(host, address, state string, startedMS int64) Endpoint {
		return Endpoint{Host: host, Address: address, State: state, StartedMS: startedMS}
	}
	hourAgo := gatewayClock.start.Add(-time.Hour).UnixMilli()
	loop.Update(EndpointList{Full: true, Endpoints: []Endpoint{endpoint("s-1", "127.0.0.1:7", "Ready", 0),
		endpoint("", "127.0.0.1:7", "Ready", 0), endpoint("s-3", "127.0.0.1:7", "Unwell", 0),
		endpoint("s-4", "", "Ready", 0),
		endpoint("s-2", "127.0.0.1:8", "Ready", hourAgo), endpoint("s-5", "127.0.0.1:9", "Ready", 1)}})
	first := nextEvent[gateway.BackendList](t, handler)
	if first.Kind != gateway.ListFull || len(first.Backends) != 3 {
		t.Fatalf("got %+v, want a full list of 3 backends", first)
	}
	if started := first.Backends[1].Started; started < clockOffset-time.Hour-time.Second ||
		started > clockOffset-time.Hour+time.Second {
		t.Errorf("got start time %v, want one hour before the clock's %v", started, gatewayClock.now())
	}
	if unknown, early := first.Backends[0].Started, first.Backends[2].Started; unknown != 0 || early != 0 {
		t.Errorf("got start times %v and %v for starts long ago, want 0", unknown, early)
	}
	loop.Update(EndpointList{Endpoints: []Endpoint{endpoint("s-1", "127.0.0.1:17", "Gone", 0)}})
	loop.Update(EndpointList{Endpoints: []Endpoint{endpoint("s-1", "127.0.0.1:27", "Ready", 0)}})
	if gone, returned := nextEvent[gateway.BackendList](t, handler),
		nextEvent[gateway.BackendList](t, handler); gone.Kind != gateway.ListChanges ||
		gone.Backends[0].State != gateway.Gone || returned.Backends[0].ID == first.Backends[0].ID {
		t.Errorf("got %+v, then %+v, want a host that is gone, then the same one with a new ID", gone, returned)
	}
	secondID := first.Backends[1].ID
	loop.Update(EndpointList{Endpoints: []Endpoint{endpoint("s-2", "127.0.0.1:28", "Ready", hourAgo)}})
	if moved := nextEvent[gateway.BackendList](t, handler); moved.Backends[0].ID != secondID ||
		backends.readyEndpoint(secondID) == nil || backends.readyEndpoint(secondID).addr != "127.0.0.1:28" {
		t.Errorf("got %+v with endpoint %+v after a change of address, want the same ID and port 28", moved,
			backends.readyEndpoint(secondID))
	}
	loop.Update(EndpointList{Full: true}) // backends missing from a full list are gone
	if backends.readyEndpoint(secondID) != nil {
		t.Error("got an endpoint for a backend missing from the full list, want none")
	}
}

// After a change of address the old discovery's versions are meaningless, so the watcher must request the full list
// from the new one and watch from its version. The same holds if one discovery sends an older version than before.
func TestAddressChangeRequestsFullList(t *testing.T) {
	startDiscovery := func(respond func(r *http.Request) string) (string, chan string) {
		requested := make(chan string, 10)
		return startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			requested <- r.URL.RequestURI()
			fmt.Fprintln(w, respond(r))
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}), requested
	}
	firstAddr, firstRequests := startDiscovery(func(*http.Request) string {
		return `{"seq":900,"whole":false,"hosts":[]}`
	})
	secondAddr, secondRequests := startDiscovery(func(r *http.Request) string {
		if r.URL.RawQuery == "watch=1&from=7" {
			return `{"seq":2,"whole":false,"hosts":[]}` // it has restarted
		}
		return `{"seq":7,"whole":true,"hosts":[]}`
	})
	addresses, lists := make(chan string), make(chan EndpointList, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		config := Config{Discovery: firstAddr, SavedList: EndpointList{Version: 800}}
		WatchDiscovery(ctx, config, addresses, func(list EndpointList) { lists <- list }, nil)
		close(ended)
	}()
	if got := <-firstRequests; got != "/v1/endpoints?watch=1&from=800" {
		t.Errorf("first discovery: got a request for %s, want /v1/endpoints?watch=1&from=800", got)
	}
	if list := <-lists; list.Version != 900 {
		t.Errorf("first discovery: got list %+v, want version 900", list)
	}
	addresses <- secondAddr
	for i, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&from=7", "/v1/endpoints"} {
		if got := <-secondRequests; got != want {
			t.Errorf("second discovery: got request %d for %s, want %s", i+1, got, want)
		}
	}
	if list := <-lists; list.Version != 7 || !list.Full {
		t.Errorf("second discovery: got list %+v, want a full list of version 7", list)
	}
	cancel()
	<-ended
}

// roundTripFunc is an http.RoundTripper that calls a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// scriptedResponse is how a scriptedDiscovery responds to one request.
type scriptedResponse string

const (
	unavailable        scriptedResponse = "unavailable"          // status 503
	connectionReset    scriptedResponse = "connection reset"     // the request fails
	noResponse         scriptedResponse = "no response"          // not even headers
	headersOnly        scriptedResponse = "headers only"         // and no body
	slowList           scriptedResponse = "slow list"            // one byte per second, never complete
	listThenSilence    scriptedResponse = "list, then silence"   // no heartbeats after the list
	listThenHeartbeats scriptedResponse = "list with heartbeats" // the normal response
)

// scriptedDiscovery responds to each request with the next scripted response, and to all later ones with a list and
// heartbeats. Every list that it sends is a full list of the current version.
type scriptedDiscovery struct {
	responses []scriptedResponse
	requests  int // number of requests received
	version   atomic.Int64
}

// slowBody is the body of a response that sends one byte per second: first the text, then spaces without end.
type slowBody struct {
	ctx    context.Context
	unread string
}

func (b *slowBody) Read(p []byte) (int, error) {
	if !sleep(b.ctx, time.Second) {
		return 0, context.Cause(b.ctx)
	}
	p[0] = ' '
	if b.unread != "" {
		p[0], b.unread = b.unread[0], b.unread[1:]
	}
	return 1, nil
}

// listBody is the body of a response that sends one list and then, if heartbeats is set, an empty line every 2 s.
type listBody struct {
	ctx           context.Context
	unread        string
	heartbeats    bool
	endsAfterList bool // the body ends after the list
}

func (b *listBody) Read(p []byte) (int, error) {
	switch {
	case b.unread != "":
		n := copy(p, b.unread)
		b.unread = b.unread[n:]
		return n, nil
	case b.endsAfterList:
		return 0, io.EOF
	case b.heartbeats && sleep(b.ctx, 2*time.Second):
		return copy(p, "\n"), nil
	}
	<-b.ctx.Done()
	return 0, context.Cause(b.ctx)
}

func (d *scriptedDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	response := listThenHeartbeats
	if d.requests < len(d.responses) {
		response = d.responses[d.requests]
	}
	d.requests++
	respondOK := func(body io.Reader) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
	}
	list := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[]}`+"\n", d.version.Load())
	switch response {
	case unavailable:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case connectionReset:
		return nil, io.ErrUnexpectedEOF
	case noResponse:
		<-r.Context().Done()
		return nil, context.Cause(r.Context())
	case headersOnly:
		return respondOK(&listBody{ctx: r.Context()})
	case slowList:
		return respondOK(&slowBody{r.Context(), list[:len(list)-9]}) // ends within the field name "hosts"
	}
	return respondOK(&listBody{r.Context(), list, response == listThenHeartbeats, r.URL.RawQuery == ""})
}

// A change at discovery must be received within stalenessBound, whatever requests were rejected, failed or timed out
// meanwhile. In the worst case the change happens right after the watch has sent its last data, when the gateway has
// just started, or when SIGHUP changes the address during a request. Each case scripts how the next requests fail.
func TestChangeIsReceivedWithinStalenessBound(t *testing.T) {
	agent := Config{Settings: gateway.Settings{Gateways: 350, DrainGrace: 500 * time.Millisecond}}
	service := func(gateways int) Config {
		return Config{Settings: gateway.Settings{Gateways: gateways, DrainGrace: 500 * time.Millisecond,
			SubscribeToList: true}}
	}
	for _, test := range []struct {
		name           string
		config         Config
		addressChanges bool
		responses      []scriptedResponse
	}{
		{"agent: silent watch", agent, false, []scriptedResponse{listThenSilence}},
		{"agent: silent watch, then no body", agent, false, []scriptedResponse{listThenSilence, headersOnly}},
		{"agent: silent watch, then rejections and resets", agent, false, []scriptedResponse{listThenSilence,
			unavailable, connectionReset, noResponse, unavailable, connectionReset}},
		{"agent: silent watch, then a slow list", agent, false, []scriptedResponse{listThenSilence, slowList}},
		{"agent: start, no response twice", agent, false, []scriptedResponse{noResponse, noResponse, headersOnly}},
		{"agent: address changed", agent, true, []scriptedResponse{noResponse, unavailable, headersOnly}},
		{"agent: address changed, slow list", agent, true, []scriptedResponse{noResponse, slowList, connectionReset}},
		{"service: silent watch", service(4), false, []scriptedResponse{listThenSilence}},
		{"service: silent watch, then rejection", service(30), false, []scriptedResponse{listThenSilence, unavailable}},
		{"service: start, two rejections", service(30), false, []scriptedResponse{unavailable, unavailable}},
		{"service: address changed", service(30), true, []scriptedResponse{noResponse, unavailable, connectionReset}},
	} {
		for range 20 { // the backoff is random
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				versions := make(chan int64, 100)
				discovery := &scriptedDiscovery{responses: test.responses}
				discovery.version.Store(1)
				addresses := make(chan string)
				ended := make(chan bool)
				go func() {
					watchDiscoveryOver(ctx, discovery, test.config, addresses,
						func(list EndpointList) { versions <- list.Version }, nil)
					close(ended)
				}()
				if test.responses[0] == listThenSilence {
					<-versions // from now on the watch sends nothing
				}
				synctest.Wait()
				discovery.version.Store(2)
				start := time.Now()
				if test.addressChanges {
					addresses <- "elsewhere"
				}
				for <-versions != 2 {
				}
				if took := time.Since(start); took > stalenessBound {
					t.Errorf("%s: got the change after %v, want it within stalenessBound", test.name, took)
				}
				stop()
				<-ended
			})
		}
	}
}

// A list of 1024 backends with long texts, which the protocol allows, must be accepted even if it is indented, both in
// response to a request for the full list and in a watch.
func TestListOfThousandBackendsIsAccepted(t *testing.T) {
	list := EndpointList{Version: 9, Full: true}
	for i := range 1024 {
		list.Endpoints = append(list.Endpoints, Endpoint{Host: fmt.Sprintf("s-%060x", i),
			Address: fmt.Sprintf("127.0.%d.%d:8443", i/250, i%250), Zone: strings.Repeat("zone", 10),
			MachineType: strings.Repeat("kind", 10), State: "Ready", Weight: 1, StartedMS: 1790000000000})
	}
	text, err := json.MarshalIndent(list, "", strings.Repeat(" ", 16))
	if err != nil {
		t.Fatal(err)
	}
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Write(text) })
	for name, read := range map[string]func(*watcher, context.Context) error{
		"fetch": (*watcher).fetch,
		"watch": (*watcher).watch,
	} {
		received := 0
		testWatcher := newWatcher(&http.Transport{}, agentPolicy, addr, 0, func(update EndpointList) {
			received = len(validEndpoints(update.Endpoints))
		})
		err := read(testWatcher, t.Context())
		if received != 1024 || testWatcher.version != 9 {
			t.Errorf("%s: got %d endpoints of version %d and error %v, want 1024 of version 9", name, received,
				testWatcher.version, err)
		}
	}
}

// After two changes of address in a row, each during a request and the first to a discovery that sends no response, the
// watcher must use the last address, and lists from the earlier ones must be dropped.
func TestAddressChangesDuringRequest(t *testing.T) {
	requested := make(chan string, 100)
	startSilent := func(name string) string {
		return startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			requested <- name
			<-r.Context().Done()
		})
	}
	lastAddr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, "{\n  \"seq\": 5,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"s-1\",\n"+
			"      \"dial\": \"127.0.0.1:1\",\n      \"health\": \"Terminating\"\n    }\n  ]\n}")
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})
	addresses, lists := make(chan string), make(chan EndpointList, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		WatchDiscovery(ctx, Config{Discovery: startSilent("first")}, addresses,
			func(list EndpointList) { lists <- list }, nil)
		close(ended)
	}()
	if got := <-requested; got != "first" {
		t.Errorf("got the first request at the %s discovery, want it at the first", got)
	}
	addresses <- startSilent("second")
	for got := "first"; got == "first"; got = <-requested { // the first may receive a retry before the change
	}
	addresses <- lastAddr
	if list := <-lists; list.Version != 5 || !list.Full || len(list.Endpoints) != 1 ||
		list.Endpoints[0].State != "Terminating" {
		t.Errorf("got %+v from the last discovery, want a full list of version 5 with one draining backend", list)
	}
	cancel()
	<-ended
}
