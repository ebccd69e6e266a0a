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
	"herontiller/internal/memory"
)

// customerLimit is the exclusive upper limit of customer IDs; the protocol's keys are below it.
const customerLimit = 1 << 33

// Headers of a client's request.
const (
	headerRequestID      = "Request-Id"
	headerClass          = "Request-Class"
	headerPlan           = "X-Tier"
	headerCustomer       = "X-Api-Key"
	headerTimeout        = "Request-Timeout"
	headerTerms          = "X-Call-Terms"
	headerIdempotencyKey = "Idempotency-Key"
)

// singleHeaders are the headers that a request must not have more than once.
var singleHeaders = []string{headerRequestID, headerClass, headerPlan, headerCustomer, headerTimeout, headerTerms,
	headerIdempotencyKey}

// forwardedHeaders are the headers that are forwarded to the backend.
var forwardedHeaders = []string{headerRequestID, headerIdempotencyKey, "Content-Type"}

var (
	errBodyTooLarge = errors.New("the body is over 64 KiB")
	errInvalidTerms = errors.New("malformed, duplicate, missing or out-of-range field")
)

// badFieldError reports a part of a request's head that is malformed or not allowed. The client receives its text.
type badFieldError struct {
	field string // name of a header, or another part of the head
	value string // as received
}

func (e *badFieldError) Error() string { return fmt.Sprintf("%s: %.40q", e.field, e.value) }

// parsedRequest is a request's head, converted for the gateway and for the backend.
type parsedRequest struct {
	req       gateway.Request
	forwarded *forwardedRequest // without the body until that has been read
	timeout   time.Duration     // the client's timeout from the request's arrival, at most the class's deadline
}

// requestHead is a request's head with the values of singleHeaders; the value of a missing header is "".
type requestHead struct {
	*http.Request
	single map[string]string
}

// invalid returns an error that reports the value of one of singleHeaders as invalid.
func (h requestHead) invalid(name string) error { return &badFieldError{name, h.single[name]} }

// parse validates and converts all of a request that has passed checkFraming, except its body. Its result is safe to
// pass to the gateway. Errors are of type *badFieldError.
func (s *Server) parse(r *http.Request) (parsedRequest, error) {
	if err := checkVersion(r); err != nil {
		return parsedRequest{}, err
	}
	head, err := readHead(r)
	if err != nil {
		return parsedRequest{}, err
	}
	id, err := parseHex(head.single[headerRequestID])
	if err != nil {
		return parsedRequest{}, head.invalid(headerRequestID)
	}
	class, err := s.parseClass(head)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := checkMethod(head, class); err != nil {
		return parsedRequest{}, err
	}
	req := gateway.Request{ID: gateway.RequestID(id), Class: class.Name, Plan: head.single[headerPlan]}
	if req.Customer, err = s.parseCustomer(head); err != nil {
		return parsedRequest{}, err
	}
	timeout, err := parseTimeout(head, class)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := s.parseTerms(head.single[headerTerms], &req); err != nil {
		return parsedRequest{}, head.invalid(headerTerms)
	}
	return parsedRequest{req: req, forwarded: newForwardedRequest(r), timeout: timeout}, nil
}

// checkVersion rejects requests of other versions than HTTP/1.1, which is the protocol's.
func checkVersion(r *http.Request) error {
	if r.ProtoMajor != 1 || r.ProtoMinor != 1 {
		return &badFieldError{"version", r.Proto}
	}
	return nil
}

// readHead reads singleHeaders. It rejects a duplicate header, as this gateway and the backend might use different
// ones.
func readHead(r *http.Request) (requestHead, error) {
	head := requestHead{r, map[string]string{}}
	for _, name := range singleHeaders {
		switch values := r.Header[name]; len(values) {
		case 0:
		case 1:
			head.single[name] = values[0]
		default:
			return head, &badFieldError{name, strings.Join(values, ", ")}
		}
	}
	return head, nil
}

// parseClass reads the class. The first element of the path must be its name, too.
func (s *Server) parseClass(head requestHead) (gateway.Class, error) {
	class, ok := s.classes[head.single[headerClass]]
	if !ok {
		return class, head.invalid(headerClass)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(head.URL.Path, "/"), "/"); first != class.Name ||
		!strings.HasPrefix(head.RequestURI, "/") {
		return class, &badFieldError{"path of another class", head.RequestURI}
	}
	return class, nil
}

// checkMethod checks that the method, the body and the idempotency key are those that the effect of the class requires.
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
		return head.invalid(headerIdempotencyKey)
	}
	return nil
}

// parseCustomer checks the plan and reads the customer's key.
func (s *Server) parseCustomer(head requestHead) (gateway.CustomerID, error) {
	if !s.plans[head.single[headerPlan]] {
		return 0, head.invalid(headerPlan)
	}
	customer, err := parseHex(head.single[headerCustomer])
	if err != nil || customer >= customerLimit {
		return 0, head.invalid(headerCustomer)
	}
	return gateway.CustomerID(customer), nil
}

// parseTimeout reads the client's timeout, which the header has in seconds, and limits it to the class's deadline.
func parseTimeout(head requestHead, class gateway.Class) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(head.single[headerTimeout], 64)
	if err != nil || !(seconds > 0) || math.IsInf(seconds, 0) {
		return 0, head.invalid(headerTimeout)
	}
	return time.Duration(min(seconds, class.Deadline.Seconds()) * float64(time.Second)), nil
}

// newForwardedRequest returns the request to a backend for a client's request, without the body.
func newForwardedRequest(r *http.Request) *forwardedRequest {
	forwarded := &forwardedRequest{method: r.Method, target: r.RequestURI, host: r.Host,
		header: http.Header{}}
	for _, name := range forwardedHeaders {
		if values, ok := r.Header[name]; ok {
			forwarded.header[name] = values
		}
	}
	return forwarded
}

// parseTerms reads terms such as "units=2,spread=3,first=1" into req. Each of the three must be present once and in
// range. units is the request's cost, spread is the number of gateways that receive this customer's requests, and first
// is the index of the first of these gateways.
func (s *Server) parseTerms(terms string, req *gateway.Request) error {
	var hasUnits, hasSpread, hasFirst bool
	for field := range strings.SplitSeq(terms, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		var err error
		var duplicate bool
		switch name {
		case "units":
			duplicate, hasUnits = hasUnits, true
			req.Units, err = strconv.ParseFloat(value, 64)
		case "spread":
			duplicate, hasSpread = hasSpread, true
			req.GatewayCount, err = strconv.Atoi(value)
		case "first":
			duplicate, hasFirst = hasFirst, true
			req.FirstGateway, err = strconv.Atoi(value)
		}
		if err != nil || duplicate {
			return errInvalidTerms
		}
	}
	if !hasUnits || !hasSpread || !hasFirst || !s.validTerms(req) {
		return errInvalidTerms
	}
	return nil
}

// validTerms reports whether a request's terms are in the range that the settings allow.
func (s *Server) validTerms(req *gateway.Request) bool {
	settings := s.settings
	return req.Units > 0 && !math.IsInf(req.Units, 0) &&
		(settings.MaxRequestUnits <= 0 || req.Units <= settings.MaxRequestUnits) &&
		req.GatewayCount >= 1 && req.GatewayCount <= settings.Gateways &&
		req.FirstGateway >= 0 && req.FirstGateway < settings.Gateways
}

// parseHex reads exactly 16 hexadecimal digits.
func parseHex(s string) (uint64, error) {
	if len(s) != 16 {
		return 0, strconv.ErrSyntax
	}
	return strconv.ParseUint(s, 16, 64)
}

// readBody reads a request's body, whose length is in Content-Length, within bodyTimeout. If there is no room for it, the
// error is a *memory.NoRoomError, and nothing has been read.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (*memory.Buffer, error) {
	if r.ContentLength > maxBody {
		return nil, errBodyTooLarge
	}
	if r.Method == http.MethodGet {
		return nil, nil
	}
	body, err := s.loop.backends.account.NewBuffer(memory.Requests, int(r.ContentLength))
	if err != nil {
		return nil, err
	}
	if err := readFull(w, r, body.Bytes); err != nil {
		body.Release()
		return nil, err
	}
	return body, nil
}

// readFull fills body with a request's body within bodyTimeout.
func readFull(w http.ResponseWriter, r *http.Request, body []byte) error {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return err
	}
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return err
	}
	// From now on the connection is read only to detect whether the client disconnects.
	return control.SetReadDeadline(time.Time{})
}
