package scalelab

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with a queue of what is due. Events of one moment run in the order of their scheduling.
type Clock struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
}

type scheduled struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventQueue []scheduled

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(item any) { *q = append(*q, item.(scheduled)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduled{}
	*q = old[:len(old)-1]
	return last
}

// Now is the simulated time.
func (c *Clock) Now() time.Duration { return c.now }

// After schedules an event.
func (c *Clock) After(wait time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduled{at: c.now + max(0, wait), sequence: c.sequence, run: run})
}

// RunUntil runs what is due until the given time and leaves the clock there. It stops early where stop tells so.
func (c *Clock) RunUntil(end time.Duration, stop func() bool) {
	for count := 0; len(c.queue) > 0 && c.queue[0].at <= end; count++ {
		if count%1024 == 0 && stop() {
			return
		}
		event := heap.Pop(&c.queue).(scheduled)
		c.now = event.at
		event.run()
	}
	c.now = end
}
