package choice

import (
	"testing"
	"time"
)

// A shutdown brings the deadlines of open requests forward: each has its final answer by then, once,
// including one whose body is still being received.
func TestShutdownShortensOpenRequests(t *testing.T) {
	const by = 2 * time.Second
	for name, request := range map[string]Request{
		"taken":             {ID: "a", Deadline: time.Minute},
		"coming":            {ID: "a", Deadline: time.Hour, BodyPending: true},
		"with less time":    {ID: "a", Deadline: time.Second},
		"not sent anywhere": {ID: "a", Deadline: time.Minute, RequiredProtocols: 1 << 7},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := New(Settings{Balancers: 1, MaxAttempts: 2, Classes: []Class{{Name: "c", Effect: Unsafe, Aim: time.Second / 2, Deadline: time.Hour}}}, 1)
			if err != nil {
				t.Fatal(err)
			}
			type due struct {
				at    time.Duration
				token uint64
			}
			var timers []due
			answered := time.Duration(0)
			do := func(now time.Duration, actions []Action) {
				for _, a := range actions {
					switch a.Kind {
					case SetTimer:
						if a.Token != tickToken {
							timers = append(timers, due{now + a.After, a.Token})
						}
					case Refuse, Fail:
						if answered > 0 {
							t.Errorf("answered at %v and at %v", answered, now)
						}
						answered = now
					}
				}
			}
			do(0, b.Start(0))
			do(0, b.Handle(0, ServerList{Full: true, Servers: []Server{{ID: "s"}}}))
			do(time.Millisecond, b.Handle(time.Millisecond, request))
			do(time.Second/2, b.Handle(time.Second/2, Shutdown{Deadline: by}))
			for i := 0; i < len(timers); i++ {
				do(timers[i].at, b.Handle(timers[i].at, TimerFired{Token: timers[i].token}))
			}
			if answered == 0 || answered > by {
				t.Errorf("answered at %v, the process shuts down by %v", answered, by)
			}
		})
	}
}
