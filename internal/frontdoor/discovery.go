package frontdoor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	ct "cypresstrack"

	"golang.org/x/time/rate"
)

// EndpointList is a list of backends, or of changes to it, as discovery tells it.
type EndpointList struct {
	Seq   int64      `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// Endpoint is one backend.
type Endpoint struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var states = map[string]ct.BackendState{"Ready": ct.Ready, "Terminating": ct.Draining, "Gone": ct.Gone}

// usable leaves out the entries that make no sense. One of them stands for all in the log.
func usable(hosts []Endpoint) []Endpoint {
	var first Endpoint
	left := 0
	hosts = slices.DeleteFunc(hosts, func(e Endpoint) bool {
		state, ok := states[e.Health]
		bad := !ok || e.Host == "" || e.Dial == "" && state != ct.Gone || e.BornMS < 0
		if bad {
			if left == 0 {
				first = e
			}
			left++
		}
		return bad
	})
	if left > 0 {
		slog.Warn("discovery: entries that make no sense", "left out", left, "first", fmt.Sprintf("%.200q", fmt.Sprint(first)))
	}
	return hosts
}

const (
	// What discovery has, and could be asked for, counts as told after this time, whatever failed, was refused or was given
	// up meanwhile. A watch that has fallen silent, a second one that does so at once, and the pauses and the ask behind
	// them take no longer.
	toldAfter = 6 * time.Second
	// A watch says something every 2 s, if only an empty line. One that is silent for longer is dead. To ask an agent once
	// too often costs nothing, to ask a service in vain does.
	agentSilence  = 2500 * time.Millisecond
	sharedSilence = 3 * time.Second
	askWait       = 2 * time.Second // a call to a service may wait in turn for as long
	listTime      = time.Second     // a list that has begun is whole by then: it is sent at once
)

// Where the settings say that lists are pushed, an agent on the front door's own machine holds what it has been sent
// and answers at once and at no cost to anybody. There is nothing to spare by waiting, and much to lose: what the
// agent holds counts as told, whether or not a watch is open, so a door that has just started, whose watch has just
// been reset, or whose agent was silent until a moment ago may send to a backend that drains for DrainGrace and no
// longer. It asks at once, and each ask in vain and the pause behind it take less than that together.
//
// Where the list has to be asked for, discovery is one service of fixed capacity for the whole fleet, and one hiccup of
// it ends the watches of all front doors at the same moment. Should all come back at once, it would answer few of them
// in time, go on working for those that have given up, and never catch up again. So the doors together are kept to an
// ask each askEvery: one waits for a random part of its fleet's number of these. A fleet that the service can answer in
// what a silent watch leaves of toldAfter waits for no longer than that leaves. A larger one can't be answered in time
// however it asks; it is spread over the time that it takes, twice and four times that after more failures in a row, as
// that answers the most doors soonest, and until then goes by its old list.
const (
	askEvery       = 100 * time.Millisecond // an ask was seen to keep discovery busy for 65 to 75 ms
	retryLeast     = 500 * time.Millisecond
	retryDoublings = 2

	agentAsk   = 1.0 / 2 // of DrainGrace is how long an agent may take to answer
	agentPause = 1.0 / 4 // ... and this at most is waited after an ask in vain
)

// pace is how a door of a fleet spreads its asks.
type pace struct {
	doors   int
	shared  bool          // all doors ask one service
	mustAsk time.Duration // what was listed this long ago counts as told to a door that has not asked since; 0: not so
	grace   time.Duration // how long sends to a backend that drains may go on
}

// paceOf is the pace that the settings call for.
func paceOf(c Config) pace {
	p := pace{doors: c.Settings.FrontDoors, shared: c.Settings.AskForList, mustAsk: c.Conns.MustAsk,
		grace: c.Settings.DrainGrace}
	if p.grace <= 0 { // not told
		p.grace = retryLeast
	}
	return p
}

// retry is the pause after so many failures in a row, with full jitter.
func (p pace) retry(failures int) time.Duration {
	if !p.shared {
		return rand.N(max(1, time.Duration(agentPause*float64(p.grace))))
	}
	if left, ok := p.inTime(); ok {
		return rand.N(min(left, max(retryLeast, p.round())))
	}
	return rand.N(p.round() << min(max(failures-1, 0), retryDoublings))
}

// start is the pause before the first ask of a new process. Many may have started at once, and each holds a list
// from before, if an old one: the spread is half of that after a failure.
func (p pace) start() time.Duration {
	if !p.shared {
		return 0
	}
	if left, ok := p.inTime(); ok {
		return rand.N(min(left, max(1, p.round()/2)))
	}
	return rand.N(p.round() / 2)
}

// round is the time in which the service answers all doors once.
func (p pace) round() time.Duration { return time.Duration(p.doors) * askEvery }

// inTime tells whether the service can answer all doors in what a silent watch leaves of the time after which a change
// counts as told, and what that leaves for a pause besides the ask itself.
func (p pace) inTime() (time.Duration, bool) {
	told := toldAfter
	if p.mustAsk > 0 {
		told = min(told, p.mustAsk)
	}
	return max(retryLeast, told-sharedSilence-askWait), p.round() <= told-sharedSilence
}

// silence is how long a watch may say nothing.
func (p pace) silence() time.Duration {
	if p.shared {
		return sharedSilence
	}
	return agentSilence
}

// firstWord is how long an ask may take until something is heard: an agent is quick, a service answers in turn.
func (p pace) firstWord() time.Duration {
	if p.shared {
		return sharedSilence
	}
	return time.Duration(agentAsk * float64(p.grace))
}

// takeWhole, as a version to start from, asks for the whole list first.
const takeWhole = -1

// Follow follows the configuration's discovery until ctx ends, from the known list on; each address that comes from moves
// takes the place of the one before. Another discovery may number its versions in another way, so after a move
// the whole list is taken first.
func Follow(ctx context.Context, config Config, moves <-chan string, update func(EndpointList)) {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true, DisableCompression: true}
	followOver(ctx, transport, config, moves, update)
}

// followOver is Follow over a given transport.
func followOver(ctx context.Context, rt http.RoundTripper, config Config, moves <-chan string,
	update func(EndpointList)) {
	p, addr, from := paceOf(config), config.Discovery, config.Known.Seq
	wait := p.start()
	for {
		watching, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if sleep(watching, wait) {
				keepWatching(watching, rt, p, addr, from, update)
			}
		}()
		select {
		case addr = <-moves:
			from, wait = takeWhole, 0
		case <-ctx.Done():
		}
		stop()
		<-ended // nothing that the old one says may come after the new one's list
		if ctx.Err() != nil {
			return
		}
	}
}

// keepWatching follows one discovery, over as many watches as it takes, until ctx ends.
func keepWatching(ctx context.Context, rt http.RoundTripper, p pace, addr string, from int64,
	update func(EndpointList)) {
	sometimes := rate.Sometimes{First: 3, Interval: 5 * time.Second}
	failures := 0
	heardOf := func(list EndpointList) {
		failures = 0
		update(list)
	}
	for ctx.Err() == nil {
		var err error
		if from == takeWhole {
			err = fetch(ctx, rt, addr, p.firstWord(), p.silence(), &from, heardOf)
		}
		if err == nil {
			err = watch(ctx, rt, addr, p.firstWord(), p.silence(), &from, heardOf)
		}
		if ctx.Err() != nil {
			return
		}
		failures++
		pause := p.retry(failures)
		sometimes.Do(func() {
			slog.Warn("discovery: the watch ended", "addr", addr, "from", from, "err", err, "retry", pause)
		})
		sleep(ctx, pause)
	}
}

// sleep waits, and tells whether ctx has not ended by then.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return ctx.Err() == nil
}

var (
	errSilent   = errors.New("nothing was heard for too long")
	errNoList   = errors.New("the answer is no whole list")
	errGoneBack = errors.New("the versions have gone back")
)

// ask opens one of discovery's answers.
func ask(ctx context.Context, rt http.RoundTripper, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	res, err := rt.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close()
		return nil, fmt.Errorf("answered %s", res.Status)
	}
	return res, nil
}

// hearing is one of discovery's answers as it comes. It ends when nothing is heard for too long, or when a list that has
// begun is not whole in time: one that drips would else keep all that follows from being heard.
type hearing struct {
	io.Reader
	silence time.Duration
	alarm   *time.Timer
	begun   bool // some of a list has come, and not yet all
	end     func()
}

// hear opens an answer whose first word must come within first, and each further one within silence. Its end must be
// called.
func hear(ctx context.Context, rt http.RoundTripper, url string, first, silence time.Duration) (*hearing, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	h := &hearing{silence: silence, alarm: time.AfterFunc(first, func() { cancel(errSilent) })}
	res, err := ask(ctx, rt, url)
	if err != nil {
		h.alarm.Stop()
		cancel(nil)
		return nil, err
	}
	h.alarm.Reset(silence)
	h.Reader = res.Body
	h.end = func() {
		h.alarm.Stop()
		cancel(nil)
		res.Body.Close()
	}
	return h, nil
}

func (h *hearing) Read(p []byte) (int, error) {
	n, err := h.Reader.Read(p)
	switch {
	case n == 0 || h.begun:
	case len(bytes.TrimSpace(p[:n])) == 0:
		h.alarm.Reset(h.silence)
	default:
		h.begun = true
		h.alarm.Reset(listTime)
	}
	return n, err
}

// whole marks the end of a list.
func (h *hearing) whole() {
	h.begun = false
	h.alarm.Reset(h.silence)
}

// fetch takes the whole list, once.
func fetch(ctx context.Context, rt http.RoundTripper, addr string, first, silence time.Duration, from *int64,
	update func(EndpointList)) error {
	answer, err := hear(ctx, rt, fmt.Sprintf("http://%s/v1/endpoints", addr), first, silence)
	if err != nil {
		return err
	}
	defer answer.end()
	list, err := newListReader(answer).next()
	if err != nil {
		return err
	}
	if !list.Whole {
		return errNoList
	}
	slog.Info("discovery: the whole list", "addr", addr, "seq", list.Seq, "hosts", len(list.Hosts))
	update(list)
	*from = list.Seq
	return nil
}

// watch follows discovery over one connection, for as long as it says something in time. A line that cannot be read
// ends it, and the next watch asks for the same changes again: passing over the line could lose the word that a backend
// drains.
func watch(ctx context.Context, rt http.RoundTripper, addr string, first, silence time.Duration, from *int64,
	update func(EndpointList)) error {
	url := fmt.Sprintf("http://%s/v1/endpoints?watch=1&from=%d", addr, *from)
	answer, err := hear(ctx, rt, url, first, silence)
	if err != nil {
		return err
	}
	defer answer.end()
	lists := newListReader(answer)
	for {
		list, err := lists.next()
		if err != nil {
			return err
		}
		answer.whole()
		if !list.Whole && list.Seq < *from { // discovery has begun anew: what changed before is not known here
			*from = takeWhole
			return errGoneBack
		}
		slog.Info("discovery", "seq", list.Seq, "whole", list.Whole, "hosts", len(list.Hosts))
		update(list)
		*from = list.Seq
	}
}
