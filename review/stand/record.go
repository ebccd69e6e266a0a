// Package stand holds what the review's cases share: it starts front doors as separate processes with the command of
// the deploy file, and has stand-ins for control servers, for the discovery agent and for clients, all on loopback
// addresses.
package stand

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its temporary folder and what must be ended after it.
type Case struct {
	Trouble bool // the disruption takes place
	Dir     string

	mu      sync.Mutex
	start   time.Time
	file    *os.File
	cleanup []func()
}

// Run runs a case, whose folder is the first argument of the program, within the time limit, and exits with its code.
// The environment variable TROUBLE=0 leaves the disruption out.
func Run(limit time.Duration, play func(*Case) int) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(NotRun)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	file, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Dir: dir, start: time.Now(), file: file}
	c.Log("trouble=%v", c.Trouble)
	result := make(chan int, 1)
	go func() { result <- play(c) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	code := NotRun
	select {
	case code = <-result:
	case <-time.After(limit):
		c.Log("the case did not end within %v", limit)
	case s := <-signals:
		c.Log("ended by signal %v", s)
	}
	c.mu.Lock()
	cleanup := c.cleanup
	c.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	c.Log("exit code %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	file.Close()
	os.RemoveAll(dir)
	os.Exit(code)
}

// AtEnd has a function called when the case ends, however it ends; the last one first.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cleanup = append(c.cleanup, f)
}

// Log writes a line to the record, with the time since the start in seconds.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.file, "%8.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say logs a line and prints it.
func (c *Case) Say(format string, args ...any) {
	c.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Fail says why the case could not run and returns its exit code.
func (c *Case) Fail(format string, args ...any) int {
	c.Say("could not run: "+format, args...)
	return NotRun
}
