package frontdoor

import (
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

// maxCustomer is above every customer's number; the protocol's keys stay below it.
const maxCustomer = 1 << 33

// Headers of a request.
const (
	headerRequestID      = "Request-Id"
	headerClass          = "Request-Class"
	headerPlan           = "X-Tier"
	headerCustomer       = "X-Api-Key"
	headerTimeout        = "Request-Timeout"
	headerTerms          = "X-Call-Terms"
	headerIdempotencyKey = "Idempotency-Key"
)

// singleHeaders are the headers that a request may carry once at most.
var singleHeaders = []string{headerRequestID, headerClass, headerPlan, headerCustomer, headerTimeout, headerTerms,
	headerIdempotencyKey}

// forwardedHeaders are the headers that go on to the backend.
var forwardedHeaders = []string{headerRequestID, headerIdempotencyKey, "Content-Type"}

var (
	errBodyTooLarge = errors.New("the body is over 64 KiB")
	errTerms        = errors.New("terms that make no sense")
)

// badFieldError reports a part of a request's head that is malformed or not allowed.
type badFieldError struct {
	field string // a header's name, or what else was read
	value string // as received
}

func (e *badFieldError) Error() string { return fmt.Sprintf("%s: %.40q", e.field, e.value) }

// parsedRequest is a request's head in the gateway's form and as it goes on to a backend.
type parsedRequest struct {
	req     gateway.Request
	msg     *message      // its body is still to be read
	timeout time.Duration // from the request's arrival, no longer than its class allows
}

// requestHead is a request's head with the headers that may be there once only; one that is missing is "".
type requestHead struct {
	*http.Request
	single map[string]string
}

// bad is the error about one of those headers.
func (h requestHead) bad(name string) error { return &badFieldError{name, h.single[name]} }

// parse reads all of a request but its body. What it lets through is safe to pass to the gateway. Errors are of
// type *badFieldError.
func (c *Clients) parse(r *http.Request) (parsedRequest, error) {
	if err := checkFraming(r); err != nil {
		return parsedRequest{}, err
	}
	head, err := readHead(r)
	if err != nil {
		return parsedRequest{}, err
	}
	id, err := parseHex(head.single[headerRequestID])
	if err != nil {
		return parsedRequest{}, head.bad(headerRequestID)
	}
	class, err := c.parseClass(head)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := checkMethod(head, class); err != nil {
		return parsedRequest{}, err
	}
	req := gateway.Request{ID: gateway.RequestID(id), Class: class.Name, Plan: head.single[headerPlan]}
	if req.Customer, err = c.parseCustomer(head); err != nil {
		return parsedRequest{}, err
	}
	timeout, err := parseTimeout(head, class)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := c.parseTerms(head.single[headerTerms], &req); err != nil {
		return parsedRequest{}, head.bad(headerTerms)
	}
	return parsedRequest{req: req, msg: newMessage(r), timeout: timeout}, nil
}

// checkFraming refuses requests whose end could be read in two ways. The server drops a Content-Length next to a
// Transfer-Encoding without a trace (in HTTP/1.0 the latter), and whoever goes by the other one finds a second request
// in the body. Our clients state lengths and send HTTP/1.1.
func checkFraming(r *http.Request) error {
	if len(r.TransferEncoding) > 0 || r.ContentLength < 0 || r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badFieldError{"framing", r.Proto + " " + strings.Join(r.TransferEncoding, ", ")}
	}
	return nil
}

// readHead reads the single headers. One that is there twice could be read in two ways, here and by the backend.
func readHead(r *http.Request) (requestHead, error) {
	head := requestHead{r, map[string]string{}}
	for _, name := range singleHeaders {
		switch v := r.Header[name]; len(v) {
		case 0:
		case 1:
			head.single[name] = v[0]
		default:
			return head, &badFieldError{name, strings.Join(v, ", ")}
		}
	}
	return head, nil
}

// parseClass reads the class, which the first element of the path must name as well.
func (c *Clients) parseClass(head requestHead) (gateway.Class, error) {
	class, ok := c.classes[head.single[headerClass]]
	if !ok {
		return class, head.bad(headerClass)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(head.URL.Path, "/"), "/"); first != class.Name ||
		!strings.HasPrefix(head.RequestURI, "/") {
		return class, &badFieldError{"path of another class", head.RequestURI}
	}
	return class, nil
}

// checkMethod checks that the method, the body and the idempotency key fit what a repetition of the class does.
func checkMethod(head requestHead, class gateway.Class) error {
	method := http.MethodPost
	if class.Effect == gateway.Safe {
		method = http.MethodGet
	}
	if head.Method != method {
		return &badFieldError{"method", head.Method}
	}
	if method == http.MethodGet && head.ContentLength != 0 {
		return &badFieldError{"a GET with a body", head.RequestURI}
	}
	if class.Effect == gateway.Deduplicated && head.single[headerIdempotencyKey] == "" {
		return head.bad(headerIdempotencyKey)
	}
	return nil
}

// parseCustomer checks the plan and reads the customer's key.
func (c *Clients) parseCustomer(head requestHead) (gateway.CustomerID, error) {
	if !c.plans[head.single[headerPlan]] {
		return 0, head.bad(headerPlan)
	}
	customer, err := parseHex(head.single[headerCustomer])
	if err != nil || customer >= maxCustomer {
		return 0, head.bad(headerCustomer)
	}
	return gateway.CustomerID(customer), nil
}

// parseTimeout reads how long the client waits, in seconds on the wire; more than the class's deadline is cut to that.
func parseTimeout(head requestHead, class gateway.Class) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(head.single[headerTimeout], 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, head.bad(headerTimeout)
	}
	return time.Duration(min(seconds, class.Deadline.Seconds()) * float64(time.Second)), nil
}

// newMessage is what goes on to a backend, without the body.
func newMessage(r *http.Request) *message {
	msg := &message{method: r.Method, target: r.RequestURI, host: r.Host, header: http.Header{"User-Agent": {""}}}
	for _, name := range forwardedHeaders {
		if v, ok := r.Header[name]; ok {
			msg.header[name] = v
		}
	}
	return msg
}

// parseTerms reads "units=2,spread=3,first=1" into req; each must be there once, and in range. Units are the request's
// cost, spread the number of instances that its customer's requests go to, first the number of the first of these.
func (c *Clients) parseTerms(text string, req *gateway.Request) error {
	var units, spread, first bool
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var again bool
		switch name {
		case "units":
			again, units = units, true
			req.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			again, spread = spread, true
			req.GatewayCount, err = strconv.Atoi(value)
		case "first":
			again, first = first, true
			req.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil || again {
			return errTerms
		}
	}
	if !units || !spread || !first || !c.validTerms(req) {
		return errTerms
	}
	return nil
}

// validTerms reports whether a request's terms are in the settings' range.
func (c *Clients) validTerms(req *gateway.Request) bool {
	s := c.settings
	return req.Units > 0 && !math.IsInf(req.Units, 0) && (s.MaxRequestUnits <= 0 || req.Units <= s.MaxRequestUnits) &&
		req.GatewayCount >= 1 && req.GatewayCount <= s.Gateways && req.FirstGateway >= 0 && req.FirstGateway < s.Gateways
}

// parseHex reads exactly 16 hexadecimal digits.
func parseHex(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// readBody reads a request's body of the length that its head states, within bodyTimeout.
func readBody(w http.ResponseWriter, r *http.Request, method string) ([]byte, error) {
	if r.ContentLength > maxBody {
		return nil, errBodyTooLarge
	}
	if method == http.MethodGet {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, err
	}
	// From here on the connection is read only to learn whether the client disconnects.
	return body, control.SetReadDeadline(time.Time{})
}
