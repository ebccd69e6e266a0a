package frontdoor

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"herontiller/internal/memory"
)

// requestHeadEstimate is for how many bytes the head of an attempt has room at first; it grows if needed.
const requestHeadEstimate = 512

// forwardedRequest is a request as each attempt sends it to a backend: a client's request, or a probe.
type forwardedRequest struct {
	method       string
	target       string // path and query as received
	host         string
	header       http.Header
	body         *memory.Buffer // may be nil
	disconnected func() bool    // reports whether the client has disconnected, and ends the request if so; may be nil
}

// bodyBytes returns the body.
func (r *forwardedRequest) bodyBytes() []byte {
	if r.body == nil {
		return nil
	}
	return r.body.Bytes
}

// cancelled reports whether an attempt must no longer be sent.
func (r *forwardedRequest) cancelled(writeCtx context.Context) bool {
	return writeCtx.Err() != nil || r.disconnected != nil && r.disconnected()
}

// encode returns the request in HTTP/1.1 format. Its Request-Timeout is the time left until the deadline of ctx. A body
// that is not small is not copied.
func (r *forwardedRequest) encode(ctx context.Context) net.Buffers {
	body := r.bodyBytes()
	head := r.encodeHead(ctx, len(body))
	if len(body) <= memory.SmallSize {
		return net.Buffers{append(head, body...)}
	}
	return net.Buffers{head, body}
}

// encodeHead returns the head of the request. All parts of it were checked when the client's request was read.
func (r *forwardedRequest) encodeHead(ctx context.Context, bodyLength int) []byte {
	header := r.header.Clone()
	if deadline, ok := ctx.Deadline(); ok {
		header["Request-Timeout"] = []string{strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64)}
	}
	if r.method != http.MethodGet {
		header["Content-Length"] = []string{strconv.Itoa(bodyLength)}
	}
	var head bytes.Buffer
	head.Grow(requestHeadEstimate)
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.target, r.host)
	_ = header.Write(&head) // can't fail: the buffer grows
	head.WriteString("\r\n")
	return head.Bytes()
}
