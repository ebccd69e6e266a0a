// Command simadapter hosts gateways on the simulator's wire: events on standard input, actions on standard
// output. It only translates; the decisions are the library's.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"herontiller/internal/gateway"
	"herontiller/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run serves until the input ends. An input that ends inside a batch is an error; errors name the line.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, readBuffer)
	a := adapter{out: out, instances: map[int]*gateway.Gateway{}}
	for number := 1; ; number++ {
		text, err := r.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return err
		}
		text = bytes.TrimSpace(text)
		if len(text) == 0 {
			if err == io.EOF {
				return a.end(number)
			}
			continue
		}
		m, err := wire.Decode(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := a.handle(number, m); err != nil {
			return err
		}
	}
}

// readBuffer is read at once, in bytes.
const readBuffer = 1 << 20

// adapter hosts the instances and gathers their actions until a batch ends.
type adapter struct {
	out       io.Writer
	instances map[int]*gateway.Gateway
	reply     bytes.Buffer
	actions   []gateway.Action // reused for its memory
	now       time.Duration    // of the batch
	inBatch   bool
}

// end checks that the input, whose last line has this number, did not end inside a batch.
func (a *adapter) end(number int) error {
	if a.inBatch {
		return fmt.Errorf("line %d: the input ended inside a batch", number)
	}
	return nil
}

// handle carries out one message.
func (a *adapter) handle(number int, m wire.Message) error {
	switch {
	case m.Clock != !a.inBatch:
		return fmt.Errorf("line %d: out of order: a batch runs from a clock line to its end", number)
	case m.Clock:
		a.inBatch, a.now = true, m.At
	case m.End:
		a.inBatch = false
		return a.flush()
	case m.Start != nil:
		g, err := gateway.New(m.Start.Settings, m.Start.Seed, a.now)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		a.instances[m.Instance] = g
	case m.Stop:
		delete(a.instances, m.Instance)
	case m.Event != nil:
		g := a.instances[m.Instance]
		if g == nil {
			return fmt.Errorf("line %d: an event for instance %d, which is not running", number, m.Instance)
		}
		a.actions = g.Handle(a.now, m.Event, a.actions[:0])
		for _, action := range a.actions {
			wire.AppendAction(&a.reply, m.Instance, action)
		}
	}
	return nil
}

// flush writes the reply to a batch.
func (a *adapter) flush() error {
	wire.AppendEnd(&a.reply)
	if _, err := a.out.Write(a.reply.Bytes()); err != nil {
		return err
	}
	a.reply.Reset()
	return nil
}
