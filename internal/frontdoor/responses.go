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
	"herontiller/internal/memory"
)

var (
	errNoResponse     = errors.New("the connection ended before a response began")
	errNoBodyLength   = errors.New("the response has neither a Content-Length nor a chunked body")
	errProtocolSwitch = errors.New("the response has the status 101, but no protocol switch was requested")
)

// readResponse reads a complete response into outcome, and reports whether the backend keeps the connection open. An
// error means that there was no usable response: errNoResponse if no data was received, another one if the response was
// incomplete, malformed or too large.
func (b *Backends) readResponse(ctx context.Context, conn *pooledConn, request *forwardedRequest,
	outcome *attemptOutcome) (reusable bool, err error) {
	defer conn.limited.releaseHead()
	conn.limited.remaining = maxResponseHead
	if _, err := conn.reader.Peek(1); err != nil {
		return false, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	// The end of ctx may already have set a deadline, which this call replaces; so check ctx afterwards.
	conn.SetReadDeadline(time.Now().Add(responseReadTimeout))
	if err := ctx.Err(); err != nil {
		return false, err
	}
	response, err := conn.readMessage(request.method)
	if err != nil {
		return false, err
	}
	reusable, err = conn.checkSurplus(request.method, response)
	if err != nil || response.StatusCode != http.StatusOK {
		defer response.body.Release()
	}
	if err != nil {
		return false, err
	}
	switch {
	case response.StatusCode == http.StatusOK:
		outcome.result, outcome.contentType = gateway.Answered, response.Header["Content-Type"]
		outcome.body, outcome.buffer = response.body.Bytes, response.body
	case (response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusGatewayTimeout) &&
		response.Header.Get("Not-Started") == "1":
		outcome.result = gateway.Rejected
	default:
		outcome.result = gateway.AnsweredError // the request may have run
	}
	if usage, err := strconv.ParseFloat(response.Header.Get("X-RateLimit-Used"), 64); err == nil &&
		usage >= 0 && usage <= maxUsagePercent {
		outcome.hasUsage, outcome.usage = true, usage
	}
	outcome.load = b.parseLoad(response.Header.Get("Server-Load"))
	return reusable && !response.Close && !response.framing.hasTwoLengths, nil
}

// message is a final response with its complete body, which must be released.
type message struct {
	*http.Response
	framing responseFraming
	body    *memory.Buffer
}

// readMessage reads a final response and its body.
func (c *pooledConn) readMessage(method string) (*message, error) {
	c.limited.remaining = maxResponseHead
	c.startRecording()
	response, head, err := readFinalHead(c, method)
	if err != nil {
		return nil, err
	}
	framing, err := newResponseFraming(response, head)
	if err != nil {
		return nil, err
	}
	body, err := readResponseBody(c, response)
	if err != nil {
		return nil, err
	}
	if err := framing.checkLength(len(body.Bytes)); err != nil {
		body.Release()
		return nil, err
	}
	return &message{Response: response, framing: framing, body: body}, nil
}

// readFinalHead reads the head of a response. It skips interim responses, which have a status of 1xx. It also returns
// the head as received, which is valid until the next response is read.
func readFinalHead(conn *pooledConn, method string) (response *http.Response, head []byte, err error) {
	for {
		start := conn.recordedAndParsed()
		response, err = http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, conn.limited.recorded[start:conn.recordedAndParsed()], nil
		}
	}
}

// startRecording discards what was recorded before, and records what has not been parsed yet and what is read from now
// on.
func (c *pooledConn) startRecording() {
	unparsed, _ := c.reader.Peek(c.reader.Buffered()) // can't fail: it reads nothing
	c.limited.recording = true
	c.limited.recorded = append(c.limited.recorded[:0], unparsed...)
}

// recordedAndParsed returns how many of the recorded bytes have been parsed.
func (c *pooledConn) recordedAndParsed() int { return len(c.limited.recorded) - c.reader.Buffered() }

// readResponseBody reads a body. It rejects a body that ends with the connection, as it might be truncated, and one for
// which there is no room.
func readResponseBody(conn *pooledConn, response *http.Response) (*memory.Buffer, error) {
	conn.limited.stopRecording()
	conn.limited.remaining = 2 * maxBody // chunked encoding needs additional bytes
	switch {
	case response.StatusCode == http.StatusSwitchingProtocols:
		return nil, errProtocolSwitch
	case response.ContentLength > maxBody:
		return nil, errTooLarge
	case response.ContentLength >= 0:
		return readSizedBody(conn.account, response)
	case len(response.TransferEncoding) == 0:
		return nil, errNoBodyLength
	}
	body, err := conn.account.ReadAll(memory.Responses, response.Body, maxBody+1)
	if err == nil && len(body.Bytes) > maxBody {
		body.Release()
		err = errTooLarge
	}
	return body, err
}

// readSizedBody reads a body whose length is in Content-Length.
func readSizedBody(account *memory.Account, response *http.Response) (*memory.Buffer, error) {
	body, err := account.NewBuffer(memory.Responses, int(response.ContentLength))
	if err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(response.Body, body.Bytes); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// parseLoad parses a load report such as "queue=2,qps=31". It returns the figures in the order of the settings, or nil
// if one of them is missing or invalid.
func (b *Backends) parseLoad(report string) []float64 {
	if report == "" || len(b.loadColumns) == 0 {
		return nil
	}
	load := make([]float64, len(b.loadColumns))
	found := 0
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		for i, column := range b.loadColumns {
			if name == column {
				figure, err := strconv.ParseFloat(value, 64)
				if err != nil || !(figure >= 0) || math.IsInf(figure, 0) {
					return nil
				}
				load[i] = figure
				found++
			}
		}
	}
	if found != len(load) {
		return nil
	}
	return load
}
