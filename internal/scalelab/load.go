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

// Latencies summarizes the latencies of requests. Each is measured from the time at which the request was due, so that
// delays of the client count as well.
type Latencies struct {
	Requests     int     `json:"requests"`
	Failed       int     `json:"failed"` // no answer, or a status other than 200
	MedianMicros float64 `json:"median_us"`
	P99Micros    float64 `json:"p99_us"`
	MaxMicros    float64 `json:"most_us"`
}

const clientTimeout = 3 * time.Second

// loadClient sends requests to one address over persistent connections and records their latencies. It keeps as many
// idle connections as a burst has requests, so that a later burst can reuse them.
type loadClient struct {
	address   string
	transport *http.Transport
	lastID    uint64

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // microseconds
	failed    int
	count     int // all requests
}

func newLoadClient(address string) *loadClient {
	return &loadClient{address: address, histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		transport: &http.Transport{DialContext: (&net.Dialer{Timeout: clientTimeout}).DialContext,
			MaxIdleConnsPerHost: TargetRequestRate, DisableCompression: true}}
}

// send sends one request that was due at the given time and records its latency.
func (c *loadClient) send(ctx context.Context, id uint64, due time.Time) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/"+className(0), nil)
	if err != nil {
		c.record(due, err)
		return
	}
	for name, value := range map[string]string{"Request-Id": fmt.Sprintf("%016x", id), "Request-Class": className(0),
		"X-Tier": amplePlan, "X-Api-Key": fmt.Sprintf("%016x", id%uint64(slopeBase.Customers)),
		"Request-Timeout": "2.5", "X-Call-Terms": "units=1,spread=1,first=0"} {
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

// record counts a request and, if it succeeded, its latency. A latency above a minute, the end of the histogram's
// range, counts as a minute.
func (c *loadClient) record(due time.Time, err error) {
	latency := time.Since(due)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	if err != nil {
		c.failed++
		return
	}
	_ = c.histogram.RecordValue(min(latency.Microseconds(), int64(time.Minute/time.Microsecond)))
}

// sendSteadily sends requests at a constant rate per second for the duration, and waits for all of them.
func (c *loadClient) sendSteadily(ctx context.Context, rate int, duration time.Duration) {
	var running sync.WaitGroup
	begin := time.Now()
	for i := range int(duration.Seconds() * float64(rate)) {
		due := begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		if ctx.Err() != nil {
			break
		}
		c.lastID++
		id := c.lastID
		running.Go(func() { c.send(ctx, id, due) })
	}
	running.Wait()
}

// sendBursts sends bursts of size requests at once. It waits for all requests of a burst, and then for the pause,
// before the next burst.
func (c *loadClient) sendBursts(ctx context.Context, size, bursts int, pause time.Duration) {
	for range bursts {
		if ctx.Err() != nil {
			return
		}
		var running sync.WaitGroup
		due := time.Now()
		for range size {
			c.lastID++
			id := c.lastID
			running.Go(func() { c.send(ctx, id, due) })
		}
		running.Wait()
		time.Sleep(pause)
	}
}

// takeResults returns the summary of the requests since the last call and resets the counts.
func (c *loadClient) takeResults() Latencies {
	c.mu.Lock()
	defer c.mu.Unlock()
	latencies := Latencies{Requests: c.count, Failed: c.failed, MedianMicros: float64(c.histogram.ValueAtQuantile(50)),
		P99Micros: float64(c.histogram.ValueAtQuantile(99)), MaxMicros: float64(c.histogram.Max())}
	c.histogram.Reset()
	c.count, c.failed = 0, 0
	return latencies
}
