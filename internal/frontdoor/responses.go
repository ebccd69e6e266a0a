package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"herontiller/internal/gateway"
)

var (
	errConnClosed     = errors.New("the connection ended before a response")
	errNoLength       = errors.New("the response does not state its length")
	errProtocolSwitch = errors.New("the response switches protocols")
)

// read reads a whole response into r, and reports whether the backend keeps the connection open. An error means that
// there was no usable response: errConnClosed if there was none at all, another one if it was malformed or too large.
func (b *Backends) read(ctx context.Context, c *pooledConn, m *message, r *reply) (keep bool, err error) {
	c.limit.remaining = maxResponseHead
	if _, err := c.r.Peek(1); err != nil {
		return false, fmt.Errorf("%w: %w", errConnClosed, err)
	}
	// The end of ctx may have set a deadline already, which this must not undo.
	c.SetReadDeadline(time.Now().Add(responseTimeout))
	if err := ctx.Err(); err != nil {
		return false, err
	}
	res, err := http.ReadResponse(c.r, &http.Request{Method: m.method})
	for err == nil && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
		res, err = http.ReadResponse(c.r, &http.Request{Method: m.method})
	}
	if err != nil {
		return false, err
	}
	body, err := readResponseBody(c, res)
	if err != nil {
		return false, err
	}
	switch {
	case res.StatusCode == http.StatusOK:
		r.result, r.body, r.contentType = gateway.Answered, body, res.Header["Content-Type"]
	case (res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout) &&
		res.Header.Get("Not-Started") == "1":
		r.result = gateway.Rejected
	default:
		r.result = gateway.AnsweredError // it may have run
	}
	if v, err := strconv.ParseFloat(res.Header.Get("X-RateLimit-Used"), 64); err == nil && v >= 0 && v <= maxUsagePercent {
		r.hasUsage, r.usage = true, v
	}
	r.load = b.parseLoad(res.Header.Get("Server-Load"))
	return !res.Close, nil
}

// readResponseBody reads a body. One delimited by the connection's end can't be distinguished from a truncated one.
func readResponseBody(c *pooledConn, res *http.Response) ([]byte, error) {
	c.limit.remaining = 2 * maxBody // chunks take more bytes than their content
	switch {
	case res.StatusCode == http.StatusSwitchingProtocols:
		return nil, errProtocolSwitch
	case res.ContentLength > maxBody:
		return nil, errTooLarge
	case res.ContentLength >= 0:
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	case len(res.TransferEncoding) == 0:
		return nil, errNoLength
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLarge
	}
	return body, err
}

// parseLoad reads a load report such as "queue=2,qps=31"; nil unless it has a valid figure for all that the settings
// name.
func (b *Backends) parseLoad(text string) []float64 {
	if text == "" || len(b.loadColumns) == 0 {
		return nil
	}
	load := make([]float64, len(b.loadColumns))
	found := 0
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range b.loadColumns {
			if name == column {
				v, err := strconv.ParseFloat(value, 64)
				if err != nil || !(v >= 0) || math.IsInf(v, 0) {
					return nil
				}
				load[i] = v
				found++
			}
		}
	}
	if found != len(load) {
		return nil
	}
	return load
}
