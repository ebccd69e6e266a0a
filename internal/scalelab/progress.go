package scalelab

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Progress shows the current step of a run on one line. The zero value shows nothing.
type Progress struct{ state *progressState }

// progressState is shared by all copies of a Progress.
type progressState struct {
	mu      sync.Mutex
	out     io.Writer
	start   time.Time
	shownAt time.Time
	width   int // of the last text, in bytes
}

// minShowInterval is the minimum time between two updates of the line.
const minShowInterval = 200 * time.Millisecond

// NewProgress returns a Progress that writes to out.
func NewProgress(out io.Writer) Progress {
	return Progress{&progressState{out: out, start: time.Now()}}
}

// Show replaces the line. Calls within minShowInterval of the last update are ignored.
func (p Progress) Show(format string, args ...any) {
	if p.state == nil {
		return
	}
	p.state.mu.Lock()
	defer p.state.mu.Unlock()
	if time.Since(p.state.shownAt) < minShowInterval {
		return
	}
	p.state.shownAt = time.Now()
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
