package frontdoor

import (
	"errors"
	"net"
	"slices"
	"sync"

	"herontiller/internal/memory"
)

const (
	// maxReadAhead is how many bytes a client may send while its request is in progress. Clients don't pipeline
	// requests; bytes after a request are buffered only to detect a disconnection that follows them.
	maxReadAhead = 16 << 10
	// freeReadAhead is how many of these bytes are part of connectionMemory, and not reserved.
	freeReadAhead = 4 << 10
	// readAheadGrowth is how much memory append may take for each byte.
	readAheadGrowth = 2
)

var errReadAheadFull = errors.New("the client sent too much data before the response to its request")

// readAhead buffers what a client has sent behind that which the HTTP server has asked for. The server may close a
// connection while another goroutine still reads from it.
type readAhead struct {
	mu     sync.Mutex
	data   []byte
	charge memory.Charge // for data
	closed bool
}

func (r *readAhead) length() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// append appends data. It fails beyond maxReadAhead, without room, and after close.
func (r *readAhead) append(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	length := len(r.data) + len(data)
	switch {
	case r.closed:
		return net.ErrClosed
	case length > maxReadAhead:
		return errReadAheadFull
	}
	if err := r.charge.RaiseTo(readAheadGrowth * int64(length-freeReadAhead)); err != nil {
		return err
	}
	r.data = append(r.data, data...)
	return nil
}

// take moves the first bytes to p and returns their number.
func (r *readAhead) take(p []byte) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := copy(p, r.data)
	r.data = r.data[n:]
	r.releaseIfEmpty()
	return n
}

// putBack puts bytes before the others. They must have been taken before, or be at most freeReadAhead while there are no
// others.
func (r *readAhead) putBack(data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = slices.Concat(data, r.data)
}

// clear drops all bytes.
func (r *readAhead) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = nil
	r.releaseIfEmpty()
}

// close drops all bytes, and nothing can be appended any more.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.data = true, nil
	r.releaseIfEmpty()
}

// releaseIfEmpty gives the memory back if there are no bytes. The caller must hold the lock.
func (r *readAhead) releaseIfEmpty() {
	if len(r.data) == 0 {
		r.data = nil
		r.charge.Release()
	}
}
