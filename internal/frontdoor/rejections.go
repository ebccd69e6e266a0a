package frontdoor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"herontiller/internal/memory"
)

// writeError answers a request that has no final response from the loop.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, parsed parsedRequest, err error) {
	switch {
	case errors.Is(err, context.Canceled):
		// Most likely the client has disconnected. But it may have closed only its sending side, and if nothing is
		// written here, the HTTP server sends it an empty 200. Requests that it sent after this one are not served.
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
	case errors.Is(err, context.DeadlineExceeded):
		s.timeoutLog.Do(func() {
			slog.Warn("answered a request with 504: it had no response before the client's timeout",
				"class", parsed.req.Class, "timeout", parsed.timeout)
		})
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		s.writeInvalid(w, r, err)
	}
}

// writeInvalid answers a request that is invalid with an error. What follows on its connection is not read: it may be a
// part of the request.
func (s *Server) writeInvalid(w http.ResponseWriter, r *http.Request, err error) {
	s.badRequestLog.Do(func() { slog.Warn("rejected an invalid request", "from", r.RemoteAddr, "err", err) })
	status := http.StatusBadRequest
	if errors.Is(err, errBodyTooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// isBeyondLimit reports whether a request is one too many of those in progress here.
func (s *Server) isBeyondLimit(r *http.Request) bool {
	limit := s.connections.maxServed
	if r.ContentLength > memory.SmallSize {
		limit = s.maxLongRequests
	}
	conn, ok := r.Context().Value(connContextKey{}).(*clientConn)
	return ok && conn.concurrent > limit
}

// rejectUnread prepares a request for its rejection. Its body is not read: the rest of it may be long in coming.
func (s *Server) rejectUnread(w http.ResponseWriter, parsed *parsedRequest) error {
	parsed.req.Overload = true
	w.Header().Set("Connection", "close")
	return http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// headRejectionRetryAfter is the longest Retry-After of a request whose head has no room. Such heads are long and rare, and
// the gateway can't advise a time without the request.
const headRejectionRetryAfter = time.Second

// rejectHead answers a request whose head can't be parsed, before the HTTP server has read it. What follows is discarded
// for discardTimeout at most, as the response could be lost if the connection were closed with unread data.
func (s *Server) rejectHead(conn net.Conn, err error) {
	_ = conn.SetDeadline(time.Now().Add(discardTimeout))
	if _, err := io.WriteString(conn, s.headRejection(conn, err)); err == nil {
		_, _ = io.CopyN(io.Discard, conn, maxDiscarded)
	}
}

// headRejection returns and logs the response to a request whose head can't be parsed: 503 for lack of memory, otherwise
// 431.
func (s *Server) headRejection(conn net.Conn, err error) string {
	const format = "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n"
	status, retryAfter := http.StatusRequestHeaderFieldsTooLarge, ""
	if noRoom := (*memory.NoRoomError)(nil); errors.As(err, &noRoom) {
		s.memoryLog.Do(func() { slog.Warn("rejected a request for lack of memory for its head", "err", err) })
		status = http.StatusServiceUnavailable
		if wait := min(s.settings.MaxRetryAfter, headRejectionRetryAfter); wait > 0 {
			retryAfter = "Retry-After: " + formatRetryAfter(wait) + "\r\n"
		}
	} else {
		s.badRequestLog.Do(func() { slog.Warn("rejected an invalid request", "from", conn.RemoteAddr(), "err", err) })
	}
	return fmt.Sprintf(format, status, http.StatusText(status), retryAfter)
}
