package frontdoor

import "errors"

// Memory that a parsed head takes: each byte is copied when a line is read, when the header or the URL is parsed, and
// when the message is forwarded. Each field has an entry in a map, and a slice of values.
const (
	headByteMemory  = 4       // bytes for each byte
	headFieldMemory = 96      // bytes for each field, besides those for its text
	freeHeadMemory  = 6 << 10 // bytes that are provided for besides the account: enough for an ordinary head
)

// maxHeadLines is how many lines the head of a request may have: the request line and 100 fields, a usual limit of HTTP
// servers. Parsing thousands of short fields costs about a millisecond for each request.
const maxHeadLines = 1 + 100

var errTooManyFields = errors.New("the head has too many fields")

// headMeter estimates the memory that a head takes when it is parsed, from its bytes as they arrive.
type headMeter struct {
	bytes, lines int64
	inLine       bool // the present line is not empty so far
}

// add counts the bytes of p up to the end of the head, and returns their number. The head ends with the first empty line
// behind another one. If more is added then, it counts as well.
func (m *headMeter) add(p []byte) int {
	for i, b := range p {
		switch {
		case b == '\n' && m.inLine:
			m.lines++
			m.inLine = false
		case b == '\n' && m.lines > 0:
			m.bytes += int64(i) + 1
			return i + 1
		case b != '\r' && b != '\n':
			m.inLine = true
		}
	}
	m.bytes += int64(len(p))
	return len(p)
}

// memory returns the memory that has to be reserved for the head so far, in bytes.
func (m *headMeter) memory() int64 {
	return max(0, headByteMemory*m.bytes+headFieldMemory*m.lines-freeHeadMemory)
}
