package fleet

import (
	"sync"
	"time"
)

// The kinds of events in a record. Event.Said has further data where that is noted here.
const (
	ListCalled         = "called"     // an agent called the list service; Said is how the call ended
	WatchStarted       = "began"      // a watch of an agent delivered its first line
	WatchEnded         = "ended"      // that watch ended
	WatchSilenced      = "hushed"     // that watch was silenced; it counts as ended
	ListUnreachable    = "list lost"  // an agent can no longer get the current list from the list service
	ListReachable      = "list there" // it can again
	FaultStarted       = "fault"      // a fault was injected; Said is its kind
	FaultEnded         = "mended"     // that fault ended
	ProcessStarted     = "started"    // an agent's process started
	ProcessExited      = "died"       // an agent's process exited; Said is empty if the fleet killed it, else the cause
	ProcessStopped     = "stopped"    // an agent's process was stopped (SIGSTOP)
	ProcessResumed     = "resumed"    // it was continued (SIGCONT)
	DrainNotified      = "told"       // the list service sent an agent the information that the server in Said drains or was removed
	ServerDraining     = "drains"     // in the list, the server in Said is now draining or removed
	ServerInService    = "serves"     // in the list, the server in Said is now in service
	ServerSilenced     = "mutes"      // the server in Said stopped answering
	ServerAnswersAgain = "speaks"     // it answers again
	CallReceived       = "got"        // the server in Said received an agent's call
	ServerOverloaded   = "fell"       // the server in Said crashed of overload while it was cold
	KioskAnswered      = "answer"     // an agent's kiosk received an answer after Took; Said is the kind of answer
	MachineStalled     = "stall"      // the machine itself stalled for Took
)

// How a call to the list service ended.
const (
	Answered = "answered"
	GivenUp  = "given up" // waited too long and was answered 503; the work was done all the same
	Down     = "down"     // the service refused the call or reset the connection
	Hung     = "hung"     // nothing was sent
)

// Unreachable is the kind of answer to a call to an agent that does not listen. The other kinds are defined in package standin.
const Unreachable = "unreached"

// Event is one observation by the servers, clients, the list service or the fleet itself.
type Event struct {
	At    time.Duration // since the start of the record
	Kind  string
	Agent int           // number of the agent; -1 for none
	Call  int           `json:",omitempty"` // number of the call of that agent's kiosk, from 1
	Said  string        `json:",omitempty"` // further data, depending on Kind
	Took  time.Duration `json:",omitempty"` // duration, for some kinds
}

// Record is an append-only log of all observations, in order. Nothing in it comes from the program's own output. It is safe for
// concurrent use.
type Record struct {
	start time.Time

	mu      sync.Mutex
	events  []Event
	changed chan struct{} // closed at the next event
}

// NewRecord returns an empty Record that starts now.
func NewRecord() *Record { return &Record{start: time.Now(), changed: make(chan struct{})} }

// Now returns the time since the start of the record.
func (r *Record) Now() time.Duration { return time.Since(r.start) }

// Add appends an event with the current time.
func (r *Record) Add(kind string, agent int, said string) {
	r.AddEvent(Event{Kind: kind, Agent: agent, Said: said})
}

// AddEvent appends an event and sets its time to the current time.
func (r *Record) AddEvent(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = r.Now()
	r.events = append(r.events, e)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Since returns the events after the first n, and a channel that is closed at the next event.
func (r *Record) Since(n int) ([]Event, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events[n:len(r.events):len(r.events)], r.changed
}
