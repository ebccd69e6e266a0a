package scalelab

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Progress shows one line that says what a run is at. The zero value shows nothing.
type Progress struct{ state *progressState }

type progressState struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
	shown time.Time
	width int
}

// showEvery is how often the line changes at most.
const showEvery = 200 * time.Millisecond

// NewProgress shows a line on out.
func NewProgress(out io.Writer) Progress {
	return Progress{&progressState{out: out, start: time.Now()}}
}

// Show replaces the line.
func (p Progress) Show(format string, args ...any) {
	if p.state == nil {
		return
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if time.Since(p.state.shown) < showEvery {
		return
	}
	p.state.shown = time.Now()
	text := fmt.Sprintf("%5.0fs ", time.Since(p.state.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintf(p.state.out, "\r%-*s", p.state.width, text)
	p.state.width = len(text)
}

// Done ends the line.
func (p Progress) Done() {
	if p.state != nil {
		fmt.Fprintln(p.state.out)
	}
}
