package scalelab

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with a queue of scheduled events. Events that are due at the same time run in the order in
// which they were scheduled.
type Clock struct {
	now      time.Duration
	sequence uint64
	queue    eventQueue
}

// scheduledEvent is an event of the queue. Its sequence number breaks ties between events that are due at the same
// time.
type scheduledEvent struct {
	due      time.Duration
	sequence uint64
	run      func()
}

// eventQueue implements heap.Interface; the first event is the next one due.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].sequence < q[j].sequence
}
func (q *eventQueue) Push(item any) { *q = append(*q, item.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = scheduledEvent{}
	*q = old[:len(old)-1]
	return last
}

// Now returns the simulated time.
func (c *Clock) Now() time.Duration { return c.now }

// AfterFunc schedules run after the delay. A negative delay counts as zero.
func (c *Clock) AfterFunc(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledEvent{due: c.now + max(0, delay), sequence: c.sequence, run: run})
}

// eventsPerCheck is the number of events that a clock runs between two checks for cancellation.
const eventsPerCheck = 1024

// RunUntil runs all events that are due until end and sets the clock to end. It calls canceled before the
// first event and then once per eventsPerCheck events. If canceled reports true, it returns early and does not set the
// clock to end.
func (c *Clock) RunUntil(end time.Duration, canceled func() bool) {
	for count := 0; len(c.queue) > 0 && c.queue[0].due <= end; count++ {
		if count%eventsPerCheck == 0 && canceled() {
			return
		}
		event := heap.Pop(&c.queue).(scheduledEvent)
		c.now = event.due
		event.run()
	}
	c.now = end
}
