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

// prompt is the retry policy for an agent that may take long over a request.
var prompt = retryPolicy{drainGrace: time.Duration(float64(testTimeout) / agentTimeoutFraction)}

const entry = `{"host":"s-1","dial":"127.0.0.1:%d","site":"a","class":"m2","block":3,"health":"%s","share":1.0,"born_ms":0}`

// A watch that is silent, ends or says what cannot be read is given up, and the next one requests from the version
// that was received last: nothing that discovery sent may be lost on the way, a drain least of all.
func TestWatchGoesOnWhereItWas(t *testing.T) {
	requested := make(chan string, 10)
	n := 0
	addr := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		n++
		requested <- r.URL.RawQuery
		switch n {
		case 1:
			fmt.Fprintf(w, `{"seq":42,"whole":true,"hosts":[`+entry+"]}\n", 7, "Ready")
			w.(http.Flusher).Flush()
			<-r.Context().Done() // silent until given up
		case 2:
			fmt.Fprintf(w, `{"seq":43,"whole":false,"hosts":[{"host":7}]}`+"\n")
		default:
			fmt.Fprintf(w, "\n"+`{"seq":43,"whole":false,"hosts":[`+entry+"]}\n", 7, "Terminating")
		}
	})
	lists := make(chan EndpointList, 10)
	f := newWatcher(&http.Transport{}, prompt, addr, 41, func(l EndpointList) { lists <- l })
	for want, wantSeq := range []int64{42, 42, 43} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		err := f.watch(ctx)
		if err == nil || ctx.Err() != nil || f.version != wantSeq {
			t.Errorf("watch %d ended with %v at version %d, want %d", want+1, err, f.version, wantSeq)
		}
		cancel()
	}
	for i, want := range []string{"watch=1&from=41", "watch=1&from=42", "watch=1&from=42"} {
		if got := <-requested; got != want {
			t.Errorf("watch %d requested %q, want %q", i+1, got, want)
		}
	}
	if a, b := <-lists, <-lists; !a.Full || a.Endpoints[0].Cell != 3 || b.Endpoints[0].State != "Terminating" {
		t.Errorf("received %+v and %+v", a, b)
	}
}

// Empty lines keep a watch alive for longer than its time-out.
func TestEmptyLinesKeepAWatch(t *testing.T) {
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 12 {
			fmt.Fprintln(w)
			w.(http.Flusher).Flush()
			time.Sleep(agentIdleTimeout / 8)
		}
		fmt.Fprintln(w, `{"seq":50,"whole":true,"hosts":[]}`)
	})
	f := newWatcher(&http.Transport{}, prompt, addr, 1, func(EndpointList) {})
	if err := f.watch(t.Context()); f.version != 50 {
		t.Errorf("ended with %v at version %d", err, f.version)
	}
}

// A bad entry is passed over, the rest of its line counts; a host keeps its id until it is gone.
func TestListsReachTheGateway(t *testing.T) {
	g := newScriptedHandler(nil)
	b := NewBackends(newTestConfig(t))
	k := clock{time.Now()}
	l := newLoop(k, g, b)
	e := func(host, dial, health string, born int64) Endpoint {
		return Endpoint{Host: host, Address: dial, State: health, StartedMS: born}
	}
	hourAgo := k.start.Add(-time.Hour).UnixMilli()
	l.Update(EndpointList{Full: true, Endpoints: []Endpoint{e("s-1", "127.0.0.1:7", "Ready", 0),
		e("", "127.0.0.1:7", "Ready", 0), e("s-3", "127.0.0.1:7", "Unwell", 0), e("s-4", "", "Ready", 0),
		e("s-2", "127.0.0.1:8", "Ready", hourAgo), e("s-5", "127.0.0.1:9", "Ready", 1)}})
	first := nextEvent[gateway.BackendList](t, g)
	if first.Kind != gateway.ListFull || len(first.Backends) != 3 {
		t.Fatalf("%+v", first)
	}
	if s := first.Backends[1].Started; s < clockOffset-time.Hour-time.Second || s > clockOffset-time.Hour+time.Second {
		t.Errorf("a start an hour ago is at %v, and now is %v", s, k.now())
	}
	if a, b := first.Backends[0].Started, first.Backends[2].Started; a != 0 || b != 0 {
		t.Errorf("starts long ago are at %v and %v", a, b)
	}
	l.Update(EndpointList{Endpoints: []Endpoint{e("s-1", "127.0.0.1:17", "Gone", 0)}})
	l.Update(EndpointList{Endpoints: []Endpoint{e("s-1", "127.0.0.1:27", "Ready", 0)}})
	if gone, back := nextEvent[gateway.BackendList](t, g), nextEvent[gateway.BackendList](t, g); gone.Kind != gateway.ListChanges ||
		gone.Backends[0].State != gateway.Gone || back.Backends[0].ID == first.Backends[0].ID {
		t.Errorf("%+v, then %+v", gone, back)
	}
	two := first.Backends[1].ID
	l.Update(EndpointList{Endpoints: []Endpoint{e("s-2", "127.0.0.1:28", "Ready", hourAgo)}})
	if again := nextEvent[gateway.BackendList](t, g); again.Backends[0].ID != two || b.readyEndpoint(two) == nil || b.readyEndpoint(two).addr != "127.0.0.1:28" {
		t.Errorf("moved: %+v, ready at %+v", again, b.readyEndpoint(two))
	}
	l.Update(EndpointList{Full: true}) // what a whole list lacks is gone
	if b.readyEndpoint(two) != nil {
		t.Error("a backend that the whole list lacks may still be sent to")
	}
}

// After a move the versions of the old discovery mean nothing: the new one's whole list comes first, and then its
// changes, from its own version on. The same holds where one discovery's versions go back.
func TestAMoveTakesTheWholeList(t *testing.T) {
	discovery := func(answer func(r *http.Request) string) (string, chan string) {
		requested := make(chan string, 10)
		return startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
			requested <- r.URL.RequestURI()
			fmt.Fprintln(w, answer(r))
			if r.URL.RawQuery != "" {
				w.(http.Flusher).Flush()
				<-r.Context().Done()
			}
		}), requested
	}
	first, requestedFirst := discovery(func(*http.Request) string { return `{"seq":900,"whole":false,"hosts":[]}` })
	second, requestedSecond := discovery(func(r *http.Request) string {
		if r.URL.RawQuery == "watch=1&from=7" {
			return `{"seq":2,"whole":false,"hosts":[]}` // it has begun anew
		}
		return `{"seq":7,"whole":true,"hosts":[]}`
	})
	moves, lists := make(chan string), make(chan EndpointList, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		c := Config{Discovery: first, SavedList: EndpointList{Version: 800}}
		WatchDiscovery(ctx, c, moves, func(l EndpointList) { lists <- l })
		close(ended)
	}()
	if got := <-requestedFirst; got != "/v1/endpoints?watch=1&from=800" {
		t.Errorf("the first received a request for %s", got)
	}
	if l := <-lists; l.Version != 900 {
		t.Errorf("the first sent %+v", l)
	}
	moves <- second
	for i, want := range []string{"/v1/endpoints", "/v1/endpoints?watch=1&from=7", "/v1/endpoints"} {
		if got := <-requestedSecond; got != want {
			t.Errorf("question %d to the second was %s, want %s", i+1, got, want)
		}
	}
	if l := <-lists; l.Version != 7 || !l.Full {
		t.Errorf("the second sent %+v", l)
	}
	cancel()
	<-ended
}

// roundTrip is a transport made of a function.
type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// response is what discovery does with one request.
type response string

const (
	refuses   response = "refuses"            // 503
	resets    response = "resets"             // the connection breaks
	unheard   response = "says nothing"       // not even a head
	headOnly  response = "sends a head only"  // and is silent then
	drips     response = "drips"              // a list that never ends
	goesQuiet response = "tells, goes silent" // its first list, and nothing from then on
	tells     response = "tells"              // and goes on
)

// scriptedDiscovery is a discovery that takes one step for each request, and sends lists from then on. What it has
// changed since is in all lists that it sends; it is what a whole list holds, too.
type scriptedDiscovery struct {
	steps []response
	asks  int
	seq   atomic.Int64
}

// dripping is an answer of bytes that come one by one, and never end.
type dripping struct {
	ctx  context.Context
	text string
}

func (d *dripping) Read(p []byte) (int, error) {
	if !sleep(d.ctx, time.Second) {
		return 0, context.Cause(d.ctx)
	}
	p[0] = ' '
	if d.text != "" {
		p[0], d.text = d.text[0], d.text[1:]
	}
	return 1, nil
}

// lines is an answer of one list and then, if beats, empty lines every 2 s.
type lines struct {
	ctx   context.Context
	text  string
	beats bool
	last  bool // the answer ends with the text
}

func (l *lines) Read(p []byte) (int, error) {
	switch {
	case l.text != "":
		n := copy(p, l.text)
		l.text = l.text[n:]
		return n, nil
	case l.last:
		return 0, io.EOF
	case l.beats && sleep(l.ctx, 2*time.Second):
		return copy(p, "\n"), nil
	}
	<-l.ctx.Done()
	return 0, context.Cause(l.ctx)
}

func (s *scriptedDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	do := tells
	if s.asks < len(s.steps) {
		do = s.steps[s.asks]
	}
	s.asks++
	ok := func(body io.Reader) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
	}
	list := fmt.Sprintf(`{"seq":%d,"whole":true,"hosts":[]}`+"\n", s.seq.Load())
	switch do {
	case refuses:
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case resets:
		return nil, io.ErrUnexpectedEOF
	case unheard:
		<-r.Context().Done()
		return nil, context.Cause(r.Context())
	case headOnly:
		return ok(&lines{ctx: r.Context()})
	case drips:
		return ok(&dripping{r.Context(), list[:len(list)-9]})
	}
	return ok(&lines{r.Context(), list, do == tells, r.URL.RawQuery == ""})
}

// A change that discovery has, and that could be requested, is known within stalenessBound, whatever was refused,
// failed or given up meanwhile: the change comes in the moment in which the last watch has said its last word, and
// what the next requests meet is scripted. So is where the instance starts, or is moved by SIGHUP in the middle of a
// request.
func TestAChangeIsKnownInTime(t *testing.T) {
	agent := Config{Settings: gateway.Settings{Gateways: 350, DrainGrace: 500 * time.Millisecond}}
	service := func(instances int) Config {
		return Config{Settings: gateway.Settings{Gateways: instances, DrainGrace: 500 * time.Millisecond, SubscribeToList: true}}
	}
	for _, c := range []struct {
		name   string
		config Config
		moved  bool
		steps  []response
	}{
		{"a silent watch", agent, false, []response{goesQuiet}},
		{"a silent watch, and the next silent at once", agent, false, []response{goesQuiet, headOnly}},
		{"a silent watch, refusals and breaks", agent, false, []response{goesQuiet, refuses, resets, unheard, refuses, resets}},
		{"a silent watch, then a list that drips", agent, false, []response{goesQuiet, drips}},
		{"a start at an agent that is silent twice", agent, false, []response{unheard, unheard, headOnly}},
		{"a move in the middle of a request", agent, true, []response{unheard, refuses, headOnly}},
		{"a move and a whole list that drips", agent, true, []response{unheard, drips, resets}},
		{"a silent watch of a service", service(4), false, []response{goesQuiet}},
		{"a silent watch of a service that then refuses", service(30), false, []response{goesQuiet, refuses}},
		{"a start at a service that refuses twice", service(30), false, []response{refuses, refuses}},
		{"a move at a service", service(30), true, []response{unheard, refuses, resets}},
	} {
		for range 20 { // pauses are drawn
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				known := make(chan int64, 100)
				s := &scriptedDiscovery{steps: c.steps}
				s.seq.Store(1)
				moves := make(chan string)
				ended := make(chan bool)
				go func() {
					watchDiscoveryOver(ctx, s, c.config, moves, func(l EndpointList) { known <- l.Version })
					close(ended)
				}()
				if c.steps[0] == goesQuiet {
					<-known // from here on the watch is silent
				}
				synctest.Wait()
				s.seq.Store(2)
				start := time.Now()
				if c.moved {
					moves <- "elsewhere"
				}
				for <-known != 2 {
				}
				if took := time.Since(start); took > stalenessBound {
					t.Errorf("%s: known after %v", c.name, took)
				}
				stop()
				<-ended
			})
		}
	}
}

// The longest lists that the pages allow pass, whole and as changes, also indented.
func TestListsOfAThousandBackendsPass(t *testing.T) {
	list := EndpointList{Version: 9, Full: true}
	for i := range 1024 {
		list.Endpoints = append(list.Endpoints, Endpoint{Host: fmt.Sprintf("s-%060x", i), Address: fmt.Sprintf("127.0.%d.%d:8443", i/250, i%250),
			Zone: strings.Repeat("zone", 10), Kind: strings.Repeat("kind", 10), State: "Ready", Weight: 1, StartedMS: 1790000000000})
	}
	text, err := json.MarshalIndent(list, "", strings.Repeat(" ", 16))
	if err != nil {
		t.Fatal(err)
	}
	addr := startHTTPServer(t, func(w http.ResponseWriter, _ *http.Request) { w.Write(text) })
	for how, take := range map[string]func(*watcher, context.Context) error{
		"whole":   (*watcher).fetch,
		"watched": (*watcher).watch,
	} {
		hosts := 0
		f := newWatcher(&http.Transport{}, prompt, addr, 0, func(l EndpointList) { hosts = len(validEndpoints(l.Endpoints)) })
		err := take(f, t.Context())
		if hosts != 1024 || f.version != 9 {
			t.Errorf("%s: %d hosts of version %d, %v", how, hosts, f.version, err)
		}
	}
}

// Moves that come while a request is out, twice in a row, and to an address that says nothing, leave the last one
// followed: what the ones before still say is dropped.
func TestMovesInTheMiddleOfARequest(t *testing.T) {
	requested := make(chan string, 100)
	silent := func(name string) string {
		return startHTTPServer(t, func(_ http.ResponseWriter, r *http.Request) {
			requested <- name
			<-r.Context().Done()
		})
	}
	last := startHTTPServer(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, "{\n  \"seq\": 5,\n  \"whole\": true,\n  \"hosts\": [\n    {\n      \"host\": \"s-1\",\n"+
			"      \"dial\": \"127.0.0.1:1\",\n      \"health\": \"Terminating\"\n    }\n  ]\n}")
		if r.URL.RawQuery != "" {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	})
	moves, lists := make(chan string), make(chan EndpointList, 100)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		WatchDiscovery(ctx, Config{Discovery: silent("first")}, moves, func(l EndpointList) { lists <- l })
		close(ended)
	}()
	if got := <-requested; got != "first" {
		t.Errorf("%s received a request", got)
	}
	moves <- silent("second")
	for got := "first"; got == "first"; got = <-requested { // it may have been asked again before the move
	}
	moves <- last
	if l := <-lists; l.Version != 5 || !l.Full || len(l.Endpoints) != 1 || l.Endpoints[0].State != "Terminating" {
		t.Errorf("the last sent %+v", l)
	}
	cancel()
	<-ended
}
