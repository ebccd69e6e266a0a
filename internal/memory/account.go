// Package memory limits the memory that a gateway holds for the data of its clients and backends. The garbage collector
// can't do so: it frees what is no longer held, but it doesn't limit what is.
//
// An Account has a limit in bytes. Whoever is about to take memory for data whose amount others decide reserves the bytes
// first, and releases them once the memory is no longer referenced. Without room the reservation fails at once.
package memory

import (
	"fmt"
	"sync"
)

// Class is a class of data. Each class has its own limit on what an account may hold when more is reserved for it.
type Class uint8

const (
	// Requests is what clients send. It may use requestShare of an account.
	Requests Class = iota
	// Responses is what backends send. It may use a whole account, since the response to a request that was admitted
	// must not fail for lack of room that other requests have taken.
	Responses
)

// Requests may use requestShareNumerator / requestShareDenominator of an account's limit.
const (
	requestShareNumerator   = 3
	requestShareDenominator = 4
)

// NoRoomError reports a reservation that would have exceeded a limit.
type NoRoomError struct {
	Wanted int64 // bytes
	Used   int64 // bytes that were reserved at that time
	Limit  int64 // bytes that may be reserved by the class
}

func (e *NoRoomError) Error() string {
	return fmt.Sprintf("no memory for %d bytes: %d of %d bytes are in use", e.Wanted, e.Used, e.Limit)
}

// Account limits how many bytes are reserved at one time. It may be used by several goroutines at once. A nil Account
// has no limit.
type Account struct {
	limit int64 // bytes

	mu        sync.Mutex
	used      int64               // bytes reserved
	free      [poolCount][][]byte // released buffers by size, to be used again
	freeBytes int64               // of free; used and freeBytes together don't exceed limit
}

// NewAccount returns an account that holds nothing. The limit is in bytes.
func NewAccount(limit int64) *Account { return &Account{limit: limit} }

// Used returns how many bytes are reserved.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// ClassLimit returns how many bytes may be reserved in all after a reservation for a class.
func (a *Account) ClassLimit(class Class) int64 {
	if class == Requests {
		return a.limit / requestShareDenominator * requestShareNumerator
	}
	return a.limit
}

// reserve reserves bytes for a class. An error is a *NoRoomError.
func (a *Account) reserve(class Class, bytes int64) error {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkRoom(class, bytes); err != nil {
		return err
	}
	a.used += bytes
	a.dropFree()
	return nil
}

// checkRoom returns a *NoRoomError if bytes can't be reserved for a class. The caller must hold the lock.
func (a *Account) checkRoom(class Class, bytes int64) error {
	if limit := a.ClassLimit(class); a.used+bytes > limit {
		return &NoRoomError{Wanted: bytes, Used: a.used, Limit: limit}
	}
	return nil
}

// release gives reserved bytes back.
func (a *Account) release(bytes int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= bytes
}

// Charge is what one owner has reserved of an account. It must not be used by several goroutines at once.
type Charge struct {
	account *Account
	class   Class
	bytes   int64
}

// NewCharge returns a charge that has reserved nothing.
func (a *Account) NewCharge(class Class) Charge { return Charge{account: a, class: class} }

// RaiseTo reserves as many bytes as are missing to the given number. An error is a *NoRoomError, and then nothing
// changes.
func (c *Charge) RaiseTo(bytes int64) error {
	if bytes <= c.bytes {
		return nil
	}
	if err := c.account.reserve(c.class, bytes-c.bytes); err != nil {
		return err
	}
	c.bytes = bytes
	return nil
}

// Release gives back all that is reserved.
func (c *Charge) Release() {
	if c.bytes > 0 {
		c.account.release(c.bytes)
		c.bytes = 0
	}
}
