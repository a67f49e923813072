package lifecycle

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"ternbeam/choice"
)

// A random walk over a MultiplexedConn: a reply ends the attempt that it answers and no other, each attempt ends once, an attempt that
// is not written never ran, a failure ends all attempts, and the connection is released only when no attempt waits on it.
func TestMultiplexedConnRandomWalk(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 0))
		now := time.Unix(0, 0)
		m := NewMultiplexedConn(now)
		m.seq = math.MaxInt32 - int32(r.IntN(4)) // ids wrap around and skip those in use
		ended := map[*Attempt]bool{}
		var joined, writing, written []*PendingCall // queued; being written; completely written
		end := func(s *PendingCall) {
			if ended[s.Attempt] || s.Attempt.Stage() != Ended {
				t.Fatalf("seed %d: an attempt ended twice, or is in stage %v", seed, s.Attempt.Stage())
			}
			ended[s.Attempt] = true
		}
		check := func(err error) {
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		take := func(from *[]*PendingCall) *PendingCall {
			i := r.IntN(len(*from))
			s := (*from)[i]
			*from = slices.Delete(*from, i, i+1)
			return s
		}
		for range 200 {
			now = now.Add(time.Second)
			switch k := r.IntN(9); {
			case k <= 2:
				a := &Attempt{}
				s, err := m.Join(a, a, 4)
				check(err)
				if s != nil {
					joined = append(joined, s)
				}
			case k == 3:
				s := m.Next()
				if (s == nil) != (len(joined) == 0) || s != nil && s != joined[0] {
					t.Fatalf("seed %d: out of order", seed)
				}
				if s == nil {
					continue
				}
				joined = joined[1:]
				send, err := s.Attempt.Begin(10, Conditions{CallFinished: r.IntN(4) == 0})
				check(err)
				if !send {
					m.Remove(s)
					end(s)
					continue
				}
				check(m.WriteStarted(s, now))
				writing = append(writing, s)
			case k == 4 && len(writing) > 0:
				s := writing[0]
				writing = writing[1:]
				oneway := r.IntN(4) == 0
				done, err := m.WriteEnded(s, 10, oneway)
				check(err)
				if done {
					end(s)
				}
				if !oneway {
					written = append(written, s)
				}
			case k == 5 && len(written) > 0:
				s := take(&written)
				got, err := m.ReplyStarted(s.Seq, now)
				if m.slots[s.Seq] != s {
					continue // answered earlier
				}
				check(err)
				if got != s {
					t.Fatalf("seed %d: the reply was given to another attempt", seed)
				}
				done, err := m.ReplyEnded(got, choice.Failed)
				check(err)
				if done {
					end(s)
				} else if !ended[s.Attempt] {
					t.Fatalf("seed %d: a reply ended no attempt", seed)
				}
				if _, err := m.ReplyStarted(s.Seq, now); !errors.Is(err, ErrUnexpectedReply) {
					t.Fatalf("seed %d: a second reply: %v", seed, err)
				}
			case k == 6:
				for _, from := range []*[]*PendingCall{&joined, &writing, &written} {
					if len(*from) == 0 || r.IntN(3) > 0 {
						continue
					}
					s := (*from)[r.IntN(len(*from))]
					if ended[s.Attempt] {
						continue
					}
					check(m.Abandon(s, []Cause{TimedOut, Canceled}[r.IntN(2)]))
					end(s)
					if from == &joined {
						joined = slices.DeleteFunc(joined, func(o *PendingCall) bool { return o == s })
					}
					if (from != &joined) != s.Attempt.MayHaveRun() {
						t.Fatalf("seed %d: can have run: %t", seed, s.Attempt.MayHaveRun())
					}
				}
			case k == 7 && r.IntN(10) == 0:
				failed, err := m.Break([]Cause{Broken, Malformed}[r.IntN(2)])
				check(err)
				for _, s := range failed {
					end(s)
				}
				for _, s := range writing {
					done, err := m.WriteEnded(s, 5, false)
					check(err)
					if done {
						end(s)
					}
				}
				if s, err := m.Join(&Attempt{}, nil, 4); s != nil || err != nil || len(m.slots) > 0 || !m.Broken() {
					t.Fatalf("seed %d: a broken connection continues", seed)
				}
				joined, writing, written = nil, nil, nil
				now = now.Add(time.Second)
				m = NewMultiplexedConn(now)
			}
			live := 0
			for _, s := range m.PendingCalls() {
				if !ended[s.Attempt] {
					live++
				}
			}
			if release, _ := m.CanRelease(r.IntN(2) == 0); release && live > 0 {
				t.Fatalf("seed %d: it can be released with %d attempts pending", seed, live)
			}
		}
	}
}

// A connection on which no reply was received while an attempt timed out accepts no new attempts. One reply prevents that.
func TestSuspectMultiplexedConn(t *testing.T) {
	for _, replied := range []bool{true, false} {
		now := time.Unix(0, 0)
		m := NewMultiplexedConn(now)
		var slots []*PendingCall
		for range 2 {
			s, err := m.Join(&Attempt{}, nil, 4)
			if err != nil || m.Next() != s {
				t.Fatal(err)
			}
			now = now.Add(time.Second)
			s.Attempt.Begin(1, Conditions{})
			m.WriteStarted(s, now)
			m.WriteEnded(s, 1, false)
			slots = append(slots, s)
		}
		now = now.Add(time.Second)
		if replied {
			m.ReplyStarted(slots[1].Seq, now)
			m.ReplyEnded(slots[1], choice.OK)
		}
		if err := m.Abandon(slots[0], TimedOut); err != nil {
			t.Fatal(err)
		}
		if s, _ := m.Join(&Attempt{}, nil, 4); (s != nil) != replied {
			t.Errorf("reply received: %t, accepts a new attempt: %t", replied, s != nil)
		}
	}
}
