package frontdoor

import (
	"net/http"
	"strings"
)

// checkFraming rejects requests whose end is ambiguous, which prevents request smuggling: a second request may be hidden
// where the body of such a request ends by one of its headers and does not end by the other. If there are both a
// Content-Length and a Transfer-Encoding, the HTTP server silently drops the former (in HTTP/1.0 the latter), and keeps
// the connection. Legitimate clients state a Content-Length only. Errors are of type *badFieldError.
//
// Every request must pass checkFraming before anything of it is answered, whatever its target.
func checkFraming(r *http.Request) error {
	_, statesLength := r.Header["Content-Length"]
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 || statesLength && !r.ProtoAtLeast(1, 1) {
		return &badFieldError{"framing", r.Proto + " " + strings.Join(r.TransferEncoding, ", ")}
	}
	return nil
}

// closeAfterHTTP10Response makes the HTTP server close the connection after the response to an HTTP/1.0 request. Such a
// request may have had a Transfer-Encoding, which the server drops, and what follows it may be its body.
func closeAfterHTTP10Response(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		w.Header().Set("Connection", "close")
	}
}
