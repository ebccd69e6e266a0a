package memory

import (
	"io"
	"math/bits"
)

const (
	// SmallSize is the largest length, in bytes, of buffers that are not reserved. An account must only be used where
	// the memory for a small buffer of each owner is provided for besides the account's limit.
	SmallSize = 2 << 10

	// Sizes of larger buffers are the poolCount powers of 2 from minPooledSize to MaxSize, in bytes.
	minPooledSize = 4 << 10
	poolCount     = 6

	// MaxSize is the largest length of a buffer in bytes.
	MaxSize = minPooledSize << (poolCount - 1)
)

// poolIndex returns the index in Account.free of the smallest size that holds length bytes, and that size.
func poolIndex(length int) (index, size int) {
	if length <= minPooledSize {
		return 0, minPooledSize
	}
	index = bits.Len(uint((length - 1) / minPooledSize))
	return index, minPooledSize << index
}

// Buffer is memory of an account. Its owner must release it when nothing refers to Bytes any more: the memory is then
// used for other data.
type Buffer struct {
	Bytes []byte

	account *Account
	memory  []byte // what is reserved, of which Bytes is the beginning; nil for a small buffer
}

// NewBuffer returns a buffer of the given length in bytes, at most MaxSize, whose contents are not defined. An error is
// a *NoRoomError.
func (a *Account) NewBuffer(class Class, length int) (*Buffer, error) {
	if length <= SmallSize || a == nil {
		return &Buffer{Bytes: make([]byte, length), account: a}, nil
	}
	index, size := poolIndex(length)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkRoom(class, int64(size)); err != nil {
		return nil, err
	}
	a.used += int64(size)
	memory := a.takeFree(index, size)
	a.dropFree()
	return &Buffer{Bytes: memory[:length], account: a, memory: memory}, nil
}

// takeFree returns a free buffer of a size, or a new one if there is none. The caller must hold the lock.
func (a *Account) takeFree(index, size int) []byte {
	free := a.free[index]
	if len(free) == 0 {
		return make([]byte, size)
	}
	memory := free[len(free)-1]
	free[len(free)-1] = nil
	a.free[index] = free[:len(free)-1]
	a.freeBytes -= int64(size)
	return memory
}

// dropFree leaves free buffers to the garbage collector, the largest first, until what is reserved and what is free are
// within the limit. The caller must hold the lock.
func (a *Account) dropFree() {
	for index := poolCount - 1; index >= 0; index-- {
		size := minPooledSize << index
		for len(a.free[index]) > 0 && a.used+a.freeBytes > a.limit {
			a.takeFree(index, size)
		}
	}
}

// Release gives the buffer's memory back. Further calls, and those of a nil Buffer, do nothing.
func (b *Buffer) Release() {
	if b == nil || b.memory == nil {
		return
	}
	b.account.putBack(b.memory)
	b.Bytes, b.memory = nil, nil
}

// putBack releases the memory of a buffer and keeps it for the next one.
func (a *Account) putBack(memory []byte) {
	index, size := poolIndex(len(memory))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= int64(size)
	a.free[index] = append(a.free[index], memory)
	a.freeBytes += int64(size)
}

// ReadAll reads until the end of r, but at most maxLength bytes (at most MaxSize), into a buffer that grows as needed.
// An error is r's or a *NoRoomError.
func (a *Account) ReadAll(class Class, r io.Reader, maxLength int) (*Buffer, error) {
	buffer, err := a.NewBuffer(class, min(SmallSize, maxLength))
	if err != nil {
		return nil, err
	}
	for length := 0; ; {
		n, err := fill(r, buffer.Bytes[length:])
		length += n
		if err == io.EOF || length == maxLength {
			buffer.Bytes = buffer.Bytes[:length]
			return buffer, nil
		}
		if err == nil {
			buffer, err = buffer.grow(class, min(2*length, maxLength))
		}
		if err != nil {
			buffer.Release()
			return nil, err
		}
	}
}

// grow returns a longer buffer with the same beginning and releases the old one. If that fails, it returns the old one.
func (b *Buffer) grow(class Class, length int) (*Buffer, error) {
	longer, err := b.account.NewBuffer(class, length)
	if err != nil {
		return b, err
	}
	copy(longer.Bytes, b.Bytes)
	b.Release()
	return longer, nil
}

// fill reads until p is full or r fails, and returns r's error.
func fill(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var count int
		count, err = r.Read(p[n:])
		n += count
	}
	return n, err
}
