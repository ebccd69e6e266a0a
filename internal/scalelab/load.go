package scalelab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies sums up the latencies of requests, counted from when each was due.
type Latencies struct {
	Requests int     `json:"requests"`
	Failed   int     `json:"failed"` // answered other than 200, or not at all
	Median   float64 `json:"median_us"`
	P99      float64 `json:"p99_us"`
	Most     float64 `json:"most_us"`
}

const clientTimeout = 3 * time.Second

// loadClient asks one address over kept connections.
type loadClient struct {
	address   string
	transport *http.Transport
	next      uint64

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds
	failed    int
	count     int
}

func newLoadClient(address string) *loadClient {
	return &loadClient{address: address, histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		transport: &http.Transport{DialContext: (&net.Dialer{Timeout: clientTimeout}).DialContext,
			MaxIdleConnsPerHost: TargetRequestRate, DisableCompression: true}}
}

// ask sends one request that was due at a moment.
func (c *loadClient) ask(ctx context.Context, id uint64, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/"+className(0), nil)
	if err != nil {
		c.record(due, err)
		return
	}
	for name, value := range map[string]string{"Request-Id": fmt.Sprintf("%016x", id), "Request-Class": className(0),
		"X-Tier": widePlan, "X-Api-Key": fmt.Sprintf("%016x", id%uint64(slopeBase.Customers)), "Request-Timeout": "2.5",
		"X-Call-Terms": "units=1,spread=1,first=0"} {
		request.Header.Set(name, value)
	}
	response, err := c.transport.RoundTrip(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			err = fmt.Errorf("answered %s", response.Status)
		}
	}
	c.record(due, err)
}

func (c *loadClient) record(due time.Time, err error) {
	took := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if err != nil {
		c.failed++
		return
	}
	_ = c.histogram.RecordValue(min(took.Microseconds(), int64(time.Minute/time.Microsecond)))
}

// steady asks at an even rate for a time.
func (c *loadClient) steady(ctx context.Context, rate int, length time.Duration) {
	var running sync.WaitGroup
	begin := time.Now()
	for i := range int(length.Seconds() * float64(rate)) {
		due := begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		c.next++
		id := c.next
		running.Go(func() { c.ask(ctx, id, due) })
	}
	running.Wait()
}

// bursts asks count times at one moment, and does so again after each pause.
func (c *loadClient) bursts(ctx context.Context, count, times int, pause time.Duration) {
	for range times {
		if ctx.Err() != nil {
			return
		}
		var running sync.WaitGroup
		due := time.Now()
		for range count {
			c.next++
			id := c.next
			running.Go(func() { c.ask(ctx, id, due) })
		}
		running.Wait()
		time.Sleep(pause)
	}
}

// take gives what was measured, and begins anew.
func (c *loadClient) take() Latencies {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := Latencies{Requests: c.count, Failed: c.failed, Median: float64(c.histogram.ValueAtQuantile(50)),
		P99: float64(c.histogram.ValueAtQuantile(99)), Most: float64(c.histogram.Max())}
	c.histogram.Reset()
	c.count, c.failed = 0, 0
	return taken
}
