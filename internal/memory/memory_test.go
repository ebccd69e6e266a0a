package memory

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

// expectUsed fails the test unless an account has reserved the given number of bytes.
func expectUsed(t *testing.T, account *Account, want int64) {
	t.Helper()
	if got := account.Used(); got != want {
		t.Errorf("%d bytes are reserved, want %d", got, want)
	}
}

// mustBuffer returns a new buffer.
func mustBuffer(t *testing.T, account *Account, class Class, length int) *Buffer {
	t.Helper()
	buffer, err := account.NewBuffer(class, length)
	if err != nil {
		t.Fatal(err)
	}
	if len(buffer.Bytes) != length {
		t.Fatalf("got a buffer of %d bytes, want %d", len(buffer.Bytes), length)
	}
	return buffer
}

// A buffer must reserve at least its length before it is handed out, and give it back once. Small ones reserve nothing.
func TestBufferReservesItsSize(t *testing.T) {
	for _, test := range []struct {
		length int
		want   int64
	}{{0, 0}, {SmallSize, 0}, {SmallSize + 1, 4 << 10}, {4 << 10, 4 << 10}, {4<<10 + 1, 8 << 10}, {8 << 10, 8 << 10},
		{64<<10 - 1, 64 << 10}, {64 << 10, 64 << 10}, {64<<10 + 1, 128 << 10}, {MaxSize, 128 << 10}} {
		account := NewAccount(1 << 20)
		buffer := mustBuffer(t, account, Responses, test.length)
		expectUsed(t, account, test.want)
		buffer.Release()
		buffer.Release()
		expectUsed(t, account, 0)
	}
	var none *Buffer
	none.Release()
}

// Requests must leave room for responses, and nothing may be reserved beyond the limit.
func TestLimitsOfClasses(t *testing.T) {
	account := NewAccount(16 << 10)
	held := []*Buffer{mustBuffer(t, account, Requests, 8<<10), mustBuffer(t, account, Requests, 4<<10)}
	noRoom := new(NoRoomError)
	if _, err := account.NewBuffer(Requests, 4<<10); !errors.As(err, &noRoom) {
		t.Errorf("request beyond its class's limit: got error %v, want a NoRoomError", err)
	} else if *noRoom != (NoRoomError{Wanted: 4 << 10, Used: 12 << 10, Limit: 12 << 10}) {
		t.Errorf("got %+v", *noRoom)
	}
	held = append(held, mustBuffer(t, account, Responses, 4<<10))
	if _, err := account.NewBuffer(Responses, 4<<10); !errors.As(err, &noRoom) {
		t.Errorf("response beyond the limit: got error %v, want a NoRoomError", err)
	}
	expectUsed(t, account, 16<<10)
	for _, buffer := range held {
		buffer.Release()
	}
	expectUsed(t, account, 0)
}

// Released memory must be used again, and what is kept for that must not take an account over its limit.
func TestFreeMemoryIsUsedAgainWithinLimit(t *testing.T) {
	account := NewAccount(256 << 10)
	first := mustBuffer(t, account, Responses, 64<<10)
	memory := &first.Bytes[0]
	first.Release()
	second := mustBuffer(t, account, Responses, 50<<10)
	if &second.Bytes[0] != memory {
		t.Error("the released memory was not used again")
	}
	second.Release()
	var charge = account.NewCharge(Responses)
	for _, bytes := range []int64{100 << 10, 192<<10 + 1, 256 << 10} {
		if err := charge.RaiseTo(bytes); err != nil {
			t.Fatal(err)
		}
		if account.used+account.freeBytes > account.limit {
			t.Errorf("%d bytes are reserved and %d are free, want at most %d in all", account.used, account.freeBytes,
				account.limit)
		}
	}
	if account.freeBytes != 0 {
		t.Errorf("%d bytes are free, want none", account.freeBytes)
	}
}

func TestChargeIsReleasedOnce(t *testing.T) {
	account := NewAccount(4000)
	charge := account.NewCharge(Requests)
	for _, step := range []struct {
		raiseTo, want int64
		wantErr       bool
	}{{100, 100, false}, {50, 100, false}, {3000, 3000, false}, {3001, 3000, true}} {
		if err := charge.RaiseTo(step.raiseTo); (err != nil) != step.wantErr {
			t.Errorf("raised to %d: got error %v, want one: %v", step.raiseTo, err, step.wantErr)
		}
		expectUsed(t, account, step.want)
	}
	charge.Release()
	charge.Release()
	expectUsed(t, account, 0)
}

// Without an account nothing is limited, and charges and buffers work all the same.
func TestNilAccountHasNoLimit(t *testing.T) {
	var account *Account
	charge := account.NewCharge(Requests)
	if err := charge.RaiseTo(1 << 40); err != nil {
		t.Error(err)
	}
	charge.Release()
	mustBuffer(t, account, Requests, 64<<10).Release()
}

var errBroken = errors.New("broken")

func TestReadAll(t *testing.T) {
	const maxLength = 64<<10 + 1
	for name, test := range map[string]struct {
		length  int
		err     error
		limit   int64 // of the account
		want    int   // length of the result
		wantErr error // nil: none; io.ErrShortBuffer: a NoRoomError
	}{
		"nothing":             {0, nil, 1 << 20, 0, nil},
		"small":               {SmallSize - 1, nil, 0, SmallSize - 1, nil},
		"medium":              {5000, nil, 1 << 20, 5000, nil},
		"longest":             {maxLength - 1, nil, 1 << 20, maxLength - 1, nil},
		"too long":            {maxLength + 500, nil, 1 << 20, maxLength, nil},
		"breaks":              {5000, errBroken, 1 << 20, 0, errBroken},
		"breaks while small":  {10, errBroken, 1 << 20, 0, errBroken},
		"truncated":           {5000, io.ErrUnexpectedEOF, 1 << 20, 0, io.ErrUnexpectedEOF},
		"no room":             {5000, nil, 6 << 10, 0, io.ErrShortBuffer},
		"no room for a copy":  {9000, nil, 20 << 10, 0, io.ErrShortBuffer},
		"no room and no need": {100, nil, 0, 100, nil},
	} {
		t.Run(name, func(t *testing.T) {
			account := NewAccount(test.limit)
			text := strings.Repeat("0123456789", test.length/10+1)[:test.length]
			end := test.err
			if end == nil {
				end = io.EOF
			}
			reader := iotest.HalfReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(end)))
			buffer, err := account.ReadAll(Responses, reader, maxLength)
			noRoom := new(NoRoomError)
			switch {
			case test.wantErr == io.ErrShortBuffer:
				if !errors.As(err, &noRoom) {
					t.Errorf("got error %v, want a NoRoomError", err)
				}
			case err != test.wantErr:
				t.Errorf("got error %v, want %v", err, test.wantErr)
			case err == nil && string(buffer.Bytes) != text[:test.want]:
				t.Errorf("got %d bytes, want the first %d", len(buffer.Bytes), test.want)
			}
			buffer.Release()
			expectUsed(t, account, 0)
		})
	}
}

// Buffers that are held at the same time must not share memory, whoever takes and releases them.
func TestBuffersAreNotShared(t *testing.T) {
	const goroutines, rounds = 8, 500
	account := NewAccount(goroutines * 64 << 10)
	var running sync.WaitGroup
	for mark := range byte(goroutines) {
		running.Go(func() {
			for round := range rounds {
				buffer, err := account.NewBuffer(Responses, SmallSize+1+(round*997+int(mark)*7919)%(30<<10))
				if err != nil {
					t.Error(err)
					return
				}
				for i := range buffer.Bytes {
					buffer.Bytes[i] = mark
				}
				for _, b := range buffer.Bytes {
					if b != mark {
						t.Errorf("a buffer of %d holds the data of %d", mark, b)
						break
					}
				}
				buffer.Release()
			}
		})
	}
	running.Wait()
	expectUsed(t, account, 0)
}
