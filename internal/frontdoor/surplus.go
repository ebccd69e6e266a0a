package frontdoor

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
)

// maxSurplusLogged is how many bytes of surplus data an error shows.
const maxSurplusLogged = 40

// surplusDataError reports a response that is followed by other data than a second copy of the response. Its stated
// length may be too small, and the data the rest of its body.
type surplusDataError struct {
	bodyLength int    // bytes, by the framing of the response
	surplus    []byte // the first bytes behind the response
	cause      error  // why the data is not a second response; nil if it is another one
}

func (e *surplusDataError) Error() string {
	return fmt.Sprintf("the response, whose stated body has %d bytes, is followed by %q: %v", e.bodyLength, e.surplus,
		e.cause)
}

func (e *surplusDataError) Unwrap() error { return e.cause }

var (
	errNotResponse     = errors.New("that is not a response")
	errAnotherResponse = errors.New("that is not a copy of the response")
)

// responsePrefix is what each response begins with.
const responsePrefix = "HTTP/1."

// checkSurplus checks what has arrived behind a complete response. A backend may send a second copy of a response. Any
// other data may be the rest of a body whose stated length is too small, and such a body must not reach a client. Data
// that has not arrived yet is found when the connection is to be reused.
//
// It reports whether the connection may be reused: if nothing has arrived and the backend has not closed it. An error
// is a *surplusDataError.
func (c *pooledConn) checkSurplus(method string, response *message) (reusable bool, err error) {
	state := peekSocket(c.Conn)
	if c.reader.Buffered() == 0 && state != dataAvailable {
		return state == noData, nil
	}
	c.limited.remaining = maxResponseHead
	if _, err := c.reader.Peek(1); err != nil { // fills the buffer, without blocking
		return false, &surplusDataError{bodyLength: len(response.body.Bytes), cause: err}
	}
	unparsed, _ := c.reader.Peek(c.reader.Buffered())
	surplus := bytes.Clone(unparsed[:min(len(unparsed), maxSurplusLogged)])
	if err := c.readCopy(method, response); err != nil {
		return false, &surplusDataError{bodyLength: len(response.body.Bytes), surplus: surplus, cause: err}
	}
	return false, nil
}

// readCopy reads a second copy of a response, of which the first bytes are in the buffer. It fails if they are
// something else, or if there is still more data behind the copy.
func (c *pooledConn) readCopy(method string, response *message) error {
	start, _ := c.reader.Peek(min(len(responsePrefix), c.reader.Buffered()))
	if !strings.HasPrefix(responsePrefix, string(start)) {
		return errNotResponse // at once: to parse it could mean to wait for its end
	}
	second, err := c.readMessage(method)
	if err != nil {
		return err
	}
	defer second.body.Release()
	if second.StatusCode != response.StatusCode || !bytes.Equal(second.body.Bytes, response.body.Bytes) ||
		c.hasUnreadData() {
		return errAnotherResponse
	}
	return nil
}

// hasUnreadData reports whether data has arrived on the connection that has not been parsed.
func (c *pooledConn) hasUnreadData() bool {
	return c.reader.Buffered() > 0 || peekSocket(c.Conn) == dataAvailable
}
