package frontdoor

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
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

var errChunkedHTTP10 = errors.New("the response is HTTP/1.0 and has a Transfer-Encoding")

// lengthMismatchError reports a response whose chunked body has another length than its Content-Length.
type lengthMismatchError struct{ stated, received int64 } // bytes

func (e *lengthMismatchError) Error() string {
	return fmt.Sprintf("the response has a Content-Length of %d and a chunked body of %d bytes", e.stated, e.received)
}

// responseFraming is what the head of a response states about the length of its body, where the HTTP library may have
// dropped a part of it: of a Content-Length and a Transfer-Encoding it drops the former, and in HTTP/1.0 the latter.
type responseFraming struct {
	hasTwoLengths bool  // the response has a Content-Length and is chunked
	stated        int64 // if hasTwoLengths: the Content-Length, in bytes
}

// newResponseFraming returns the framing of a response, whose head is given as received. It fails with errChunkedHTTP10
// if the end of the response is ambiguous.
func newResponseFraming(response *http.Response, head []byte) (responseFraming, error) {
	if len(response.TransferEncoding) == 0 && response.ProtoAtLeast(1, 1) {
		return responseFraming{}, nil // the library has dropped nothing
	}
	header, err := parseHeader(head)
	if err != nil {
		return responseFraming{}, err
	}
	if !response.ProtoAtLeast(1, 1) {
		if _, ok := header["Transfer-Encoding"]; ok {
			return responseFraming{}, errChunkedHTTP10
		}
		return responseFraming{}, nil
	}
	lengths := header["Content-Length"]
	if len(lengths) == 0 {
		return responseFraming{}, nil
	}
	stated, err := strconv.ParseInt(textproto.TrimString(lengths[0]), 10, 64) // the library rejects different lengths
	return responseFraming{hasTwoLengths: true, stated: stated}, err
}

// parseHeader parses the header in a complete head, which begins with a status line.
func parseHeader(head []byte) (textproto.MIMEHeader, error) {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return nil, err
	}
	return reader.ReadMIMEHeader()
}

// checkLength returns a *lengthMismatchError if the length of the body, in bytes, contradicts the stated one.
func (f responseFraming) checkLength(received int) error {
	if f.hasTwoLengths && f.stated != int64(received) {
		return &lengthMismatchError{f.stated, int64(received)}
	}
	return nil
}
