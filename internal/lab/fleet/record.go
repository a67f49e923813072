package fleet

import (
	"sync"
	"time"
)

// What is in a record.
const (
	Called   = "called"     // an agent asks the list service; how it ended is in Said
	Began    = "began"      // a watch of an agent has delivered
	Ended    = "ended"      // that watch is over
	Hushed   = "hushed"     // that watch has fallen silent, and is over to the world
	LostList = "list lost"  // an agent can't reach the list service
	HasList  = "list there" // and can again
	Fault    = "fault"      // something was done to the fleet
	Mended   = "mended"     // and undone
	Started  = "started"    // a process of an agent
	Died     = "died"       // a process of an agent; by its own doing where Said is not empty
	Stopped  = "stopped"    // a process of an agent is stopped
	Resumed  = "resumed"    // and continued
	Told     = "told"       // an agent is told that the server in Said drains or is gone, by the list service
	Drains   = "drains"     // the list has it that the server in Said drains or is gone
	Serves   = "serves"     // the list has it that the server in Said is to be sent to
	Mutes    = "mutes"      // the server in Said falls silent
	Speaks   = "speaks"     // and answers again
	Got      = "got"        // the server in Said gets a call by an agent
	Fell     = "fell"       // the server in Said was pushed over while it was cold
	Answer   = "answer"     // a kiosk of an agent has its answer, after Took
	Stall    = "stall"      // the machine itself stood still, for Took
)

// How a call to the list service ended.
const (
	Answered = "answered"
	GivenUp  = "given up" // it waited for too long; the work was done all the same
	Down     = "down"
	Hung     = "hung" // nothing was said
)

// Unreached is what becomes of a call to an agent that does not listen. The other kinds of answers are standin's.
const Unreached = "unreached"

// Event is what the world saw at one moment.
type Event struct {
	At    time.Duration // since the fleet began
	Kind  string
	Agent int           // -1 for none
	Call  int           `json:",omitempty"` // of that agent's kiosk, from 1 on
	Said  string        `json:",omitempty"`
	Took  time.Duration `json:",omitempty"`
}

// Record is all that the world saw, in order. Nothing in it comes from the program's own words, and nothing in it changes.
type Record struct {
	began time.Time

	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed at the next event
}

// NewRecord returns an empty Record that begins now.
func NewRecord() *Record { return &Record{began: time.Now(), changed: make(chan struct{})} }

// Now is the time since it began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Add writes down what happens now.
func (r *Record) Add(kind string, agent int, said string) {
	r.Put(Event{Kind: kind, Agent: agent, Said: said})
}

// Put is Add for what has more to say. Its time is now.
func (r *Record) Put(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.events = append(r.events, e)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns what came after the first n events, and what tells of the next.
func (r *Record) Since(n int) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[n:len(r.events):len(r.events)], r.changed
}
