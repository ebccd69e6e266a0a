package stand

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// Fleet is a small deployment: front doors, control servers and one agent for each front door.
type Fleet struct {
	Doors   []*FrontDoor
	Servers []*ControlServer
}

// StartFleet starts control servers, which all answer in the same way, and front doors.
func (c *Case) StartFleet(doors, servers int,
	answer func(s *ControlServer, conn *net.TCPConn, r Received) bool) (*Fleet, error) {
	f := &Fleet{}
	for i := range servers {
		s, err := c.StartControlServer(fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, s)
	}
	for me := range doors {
		agent, err := c.StartAgent(f.Servers)
		if err != nil {
			return nil, err
		}
		d, err := c.StartFrontDoor(me, agent)
		if err != nil {
			return nil, err
		}
		f.Doors = append(f.Doors, d)
	}
	return f, nil
}

// Received returns the requests that the control servers have begun so far.
func (f *Fleet) Received() []Received {
	var all []Received
	for _, s := range f.Servers {
		all = append(all, s.Received()...)
	}
	return all
}

// Running reports whether all front doors run.
func (f *Fleet) Running() bool {
	for _, d := range f.Doors {
		if !d.Running() {
			return false
		}
	}
	return true
}

// Sent is a request of an ordinary client with its answer.
type Sent struct {
	ID, Class string
	Answer    Answer
}

// Classes are the classes of the settings.
var Classes = []string{"read-setpoint", "log-alarm", "start-plant"}

// Ordinary sends count requests of ordinary clients, of all classes in turn and to all front doors in turn, one each
// interval, and returns them once all have ended.
func (c *Case) Ordinary(f *Fleet, count int, interval time.Duration) []Sent {
	sent := make([]Sent, count)
	var wait sync.WaitGroup
	for i := range sent {
		sent[i] = Sent{ID: NewID(), Class: Classes[i%len(Classes)]}
		wait.Add(1)
		go func() {
			defer wait.Done()
			s, door := &sent[i], f.Doors[i/len(Classes)%len(f.Doors)]
			c.Log("client sends %s, id %s, to %s", s.Class, s.ID, door.Name)
			s.Answer = Exchange(door.Address, Request(s.Class, s.ID), 3*time.Second)
			c.Log("client got %d for %s, id %s, after %v, error %v", s.Answer.Status, s.Class, s.ID,
				s.Answer.After.Round(time.Millisecond), s.Answer.Err)
		}()
		time.Sleep(interval)
	}
	wait.Wait()
	return sent
}

// Served counts the requests that were served with the body made for them.
func Served(sent []Sent) int {
	count := 0
	for _, s := range sent {
		if s.Answer.Status == 200 && s.Answer.Body == Body(s.ID) {
			count++
		}
	}
	return count
}
