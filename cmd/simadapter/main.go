// Command simadapter runs gateway instances for the simulator. It reads events from standard input and writes the
// resulting actions to standard output, in the line protocol of package wire. Package gateway makes all decisions.
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

// run handles messages from in and writes replies to out until the input ends. It returns an error for malformed
// messages, messages out of order and an input that ends inside a batch. These errors contain the line number.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, readBufferSize)
	simAdapter := adapter{out: out, instances: map[int]*gateway.Gateway{}}
	for lineNumber := 1; ; lineNumber++ {
		line, err := reader.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return err
		}
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			if err == io.EOF {
				return simAdapter.checkInputEnd(lineNumber)
			}
			continue
		}
		message, err := wire.Decode(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if err := simAdapter.handle(lineNumber, message); err != nil {
			return err
		}
	}
}

// readBufferSize is the size of the input buffer, in bytes.
const readBufferSize = 1 << 20

// adapter runs the instances and collects their actions until the batch ends.
type adapter struct {
	out       io.Writer
	instances map[int]*gateway.Gateway // the running instances by number
	reply     bytes.Buffer             // the reply to the current batch
	actions   []gateway.Action         // reused between events to avoid allocations
	batchTime time.Duration            // the time of the current batch
	inBatch   bool
}

// checkInputEnd returns an error if the input, which ends at line lineNumber, ended inside a batch.
func (a *adapter) checkInputEnd(lineNumber int) error {
	if a.inBatch {
		return fmt.Errorf("line %d: input ended inside a batch", lineNumber)
	}
	return nil
}

// handle processes one message, which was read from line lineNumber. It passes events to their instance and appends the
// resulting actions to the reply.
func (a *adapter) handle(lineNumber int, message wire.Message) error {
	switch {
	case message.BatchStart != !a.inBatch:
		return fmt.Errorf("line %d: message out of order: a batch starts with a clock message and ends with eob",
			lineNumber)
	case message.BatchStart:
		a.inBatch, a.batchTime = true, message.BatchTime
	case message.BatchEnd:
		a.inBatch = false
		return a.flush()
	case message.InstanceStart != nil:
		instance, err := gateway.New(message.InstanceStart.Settings, message.InstanceStart.Seed, a.batchTime)
		if err != nil {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		a.instances[message.Instance] = instance
	case message.InstanceStop:
		delete(a.instances, message.Instance)
	case message.Event != nil:
		instance := a.instances[message.Instance]
		if instance == nil {
			return fmt.Errorf("line %d: event for instance %d, which is not running", lineNumber, message.Instance)
		}
		a.actions = instance.Handle(a.batchTime, message.Event, a.actions[:0])
		for _, action := range a.actions {
			wire.AppendAction(&a.reply, message.Instance, action)
		}
	}
	return nil
}

// flush completes the reply to a batch and writes it.
func (a *adapter) flush() error {
	wire.AppendReplyEnd(&a.reply)
	if _, err := a.out.Write(a.reply.Bytes()); err != nil {
		return err
	}
	a.reply.Reset()
	return nil
}
