package lifecycle

import (
	"math/rand/v2"
	"slices"
	"testing"

	"ternbeam/choice"
)

// step reports one event to an attempt.
type step func(a *Attempt) error

func begin(now Conditions) step {
	return func(a *Attempt) error { _, err := a.Begin(100, now); return err }
}
func wrote(n int) step            { return func(a *Attempt) error { return a.Wrote(n) } }
func fail(c Cause) step           { return func(a *Attempt) error { return a.Fail(c) } }
func answer(r choice.Result) step { return func(a *Attempt) error { return a.Answer(r) } }
func dial(a *Attempt) error       { return a.Dial() }
func connect(a *Attempt) error    { return a.Connect() }
func reading(a *Attempt) error    { return a.Read() }
func uncertain(a *Attempt) error  { return a.MarkUncertain() }
func then(all ...[]step) []step   { return slices.Concat(all...) }
func steps(all ...step) []step    { return all }

var (
	connected = steps(dial, connect)
	begun     = then(connected, steps(begin(Conditions{})))
	sent      = then(begun, steps(wrote(100)))
)

// The result of an attempt, and whether it can have run, follow from its stage and the cause alone.
func TestAttemptResults(t *testing.T) {
	for name, c := range map[string]struct {
		steps []step
		want  choice.Result
		ran   bool
	}{
		"no place":                      {steps(fail(NoSlot)), choice.NotSent, false},
		"withdrawn while it waits":      {steps(fail(Canceled)), choice.Canceled, false},
		"dial fails":                    {steps(dial, fail(Broken)), choice.ConnectFailed, false},
		"dial hangs":                    {steps(dial, fail(TimedOut)), choice.ConnectFailed, false},
		"withdrawn while it dials":      {steps(dial, fail(Canceled)), choice.Canceled, false},
		"idle connection":               {steps(connect, begin(Conditions{}), wrote(100), reading, answer(choice.OK)), choice.OK, true},
		"finished before it is sent":    {then(connected, steps(begin(Conditions{CallFinished: true}))), choice.NotSent, false},
		"late before it is sent":        {then(connected, steps(begin(Conditions{TimedOut: true, Retired: true}))), choice.NotSent, false},
		"drained before it is sent":     {then(connected, steps(begin(Conditions{Retired: true}))), choice.ConnectFailed, false},
		"withdrawn before it is sent":   {then(connected, steps(begin(Conditions{Canceled: true, TimedOut: true}))), choice.Canceled, false},
		"late in a queue":               {then(connected, steps(fail(TimedOut))), choice.NotSent, false},
		"breaks in a queue":             {then(connected, steps(fail(Broken))), choice.ConnectFailed, false},
		"breaks before the last byte":   {then(begun, steps(wrote(99), fail(Broken))), choice.ConnectFailed, false},
		"spoilt before the last byte":   {then(begun, steps(wrote(99), reading, fail(Malformed))), choice.ConnectFailed, false},
		"late before the last byte":     {then(begun, steps(wrote(99), fail(TimedOut))), choice.ConnectFailed, false},
		"breaks after the last byte":    {then(sent, steps(fail(Broken))), choice.Reset, true},
		"breaks at an unknown byte":     {then(begun, steps(uncertain, fail(Broken))), choice.Reset, true},
		"write size known later":        {then(begun, steps(uncertain, wrote(50), fail(Broken))), choice.ConnectFailed, false},
		"late":                          {then(sent, steps(fail(TimedOut))), choice.TimedOut, true},
		"late in the answer":            {then(sent, steps(reading, fail(TimedOut))), choice.TimedOut, true},
		"withdrawn":                     {then(sent, steps(fail(Canceled))), choice.Canceled, true},
		"spoilt":                        {then(sent, steps(reading, fail(Malformed))), choice.Failed, true},
		"error":                         {then(sent, steps(reading, answer(choice.Failed))), choice.Failed, true},
		"rejected by the server":        {then(sent, steps(reading, answer(choice.Rejected))), choice.Rejected, false},
		"rejected before the last byte": {then(begun, steps(wrote(50), reading, answer(choice.Rejected))), choice.Rejected, false},
		"answered before the last byte": {then(begun, steps(wrote(50), reading, answer(choice.OK))), choice.OK, true},
		"oneway":                        {then(sent, steps(answer(choice.OK))), choice.OK, true},
	} {
		t.Run(name, func(t *testing.T) {
			var a Attempt
			for i, s := range c.steps {
				if err := s(&a); err != nil {
					t.Fatalf("step %d: %v", i, err)
				}
			}
			if a.Stage() != Ended || a.Result() != c.want || a.MayHaveRun() != c.ran {
				t.Errorf("%v, result %d, can have run: %t", a.Stage(), a.Result(), a.MayHaveRun())
			}
		})
	}
}

// An illegal transition returns an error and changes nothing.
func TestIllegalTransitions(t *testing.T) {
	for name, c := range map[string]struct {
		before []step
		step   step
	}{
		"dials twice":                {steps(dial), dial},
		"connects twice":             {connected, connect},
		"begins without connection":  {nil, begin(Conditions{})},
		"begins twice":               {begun, begin(Conditions{})},
		"writes before it begins":    {connected, wrote(1)},
		"writes less than before":    {then(begun, steps(wrote(50))), wrote(40)},
		"writes more than there is":  {begun, wrote(101)},
		"reads before it is sent":    {connected, reading},
		"reads twice":                {then(sent, steps(reading)), reading},
		"is answered unread":         {sent, answer(choice.Failed)},
		"is answered with a cause":   {then(sent, steps(reading)), answer(choice.TimedOut)},
		"is answered while written":  {begun, answer(choice.OK)},
		"ends twice":                 {then(sent, steps(fail(TimedOut))), fail(Broken)},
		"is answered after its end":  {then(sent, steps(fail(TimedOut))), answer(choice.OK)},
		"is unsure of what was sent": {sent, uncertain},
	} {
		t.Run(name, func(t *testing.T) {
			var a Attempt
			for i, s := range c.before {
				if err := s(&a); err != nil {
					t.Fatalf("step %d: %v", i, err)
				}
			}
			before := a
			if err := c.step(&a); err == nil || a != before {
				t.Errorf("error %v, %+v became %+v", err, before, a)
			}
		})
	}
}

// A random walk over a PoolState: slots never exceed the limit and are never lost, queued connections get slots in order, no idle
// connection is to a retired server, and no connection is acquired twice.
func TestPoolStateRandomWalk(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		most := 1 + r.IntN(4)
		p := NewPoolState(most)
		servers := []*Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		var granted, waiting []*Conn // connections that have a slot, or wait for one, in order
		var used []*Conn
		grant := func(c *Conn) {
			if c == nil {
				return
			}
			if len(waiting) == 0 || waiting[0] != c || c.State() != Dialed {
				t.Fatalf("seed %d: a place was granted out of order", seed)
			}
			waiting, granted = waiting[1:], append(granted, c)
		}
		for range 200 {
			s := servers[r.IntN(len(servers))]
			switch r.IntN(8) {
			case 0, 1:
				if c := p.AcquireIdle(s, choice.Protocols(1), nil); c != nil {
					if c.State() != InUse || c.Server != s || slices.Contains(used, c) || s.Retired() {
						t.Fatalf("seed %d: acquired %+v", seed, c)
					}
					used = append(used, c)
					continue
				}
				c, evicted := p.ReserveSlot(s, choice.Protocols(1))
				if evicted != nil && (evicted.State() != Closed || slices.Contains(used, evicted)) {
					t.Fatalf("seed %d: evicted %+v", seed, evicted)
				}
				if c.State() == Dialed {
					granted = append(granted, c)
				} else {
					waiting = append(waiting, c)
				}
			case 2, 3: // a dial succeeds, or fails
				if len(granted) == 0 {
					continue
				}
				c := granted[0]
				granted = granted[1:]
				if r.IntN(3) == 0 {
					next, err := p.Abort(c)
					if err != nil || c.State() != Closed {
						t.Fatalf("seed %d: after the abort: state %v, error %v", seed, c.State(), err)
					}
					grant(next)
				} else {
					if err := p.Open(c, nil); err != nil {
						t.Fatal(err)
					}
					used = append(used, c)
				}
				if p.Open(c, nil) == nil {
					t.Fatalf("seed %d: opened twice", seed)
				}
			case 4, 5:
				if len(used) == 0 {
					continue
				}
				c := used[0]
				used = used[1:]
				waited, spoilt := len(waiting), r.IntN(4) == 0
				if spoilt {
					if err := c.Spoil(); err != nil || c.State() != Spoilt {
						t.Fatalf("seed %d: after Spoil: state %v, error %v", seed, c.State(), err)
					}
				}
				kept, next, err := p.Release(c)
				if err != nil || kept != (!spoilt && waited == 0 && !c.Server.Retired()) || !kept && c.State() != Closed {
					t.Fatalf("seed %d: kept %t, %v, %v", seed, kept, c.State(), err)
				}
				grant(next)
				if _, _, err := p.Release(c); err == nil || c.Spoil() == nil {
					t.Fatalf("seed %d: released twice", seed)
				}
			case 6:
				if len(waiting) > 0 {
					i := r.IntN(len(waiting))
					if next, err := p.Abort(waiting[i]); next != nil || err != nil {
						t.Fatalf("seed %d: a queued connection released a place when aborted: %v", seed, err)
					}
					waiting = slices.Delete(waiting, i, i+1)
				}
			case 7:
				if r.IntN(10) == 0 {
					closed, next := p.RetireServer(s)
					for _, c := range closed {
						if c.State() != Closed {
							t.Fatalf("seed %d: state %v after its server retired", seed, c.State())
						}
					}
					for _, c := range next {
						grant(c)
					}
					servers[slices.Index(servers, s)] = &Server{ID: s.ID}
				} else if idle := p.Idle(); len(idle) > 0 {
					next, err := p.CloseIdle(idle[0])
					if err != nil {
						t.Fatal(err)
					}
					grant(next)
				}
			}
			open, idle, queue := p.Count()
			if open > most || open != idle+len(used)+len(granted) || queue != len(waiting) {
				t.Fatalf("seed %d: %d places, %d idle, %d in use, %d granted, %d queued, want %d", seed, open, idle, len(used),
					len(granted), queue, len(waiting))
			}
			if queue > 0 && idle > 0 {
				t.Fatalf("seed %d: %d are queued while %d are idle", seed, queue, idle)
			}
		}
	}
}
