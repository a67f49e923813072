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
		end := func(p *PendingCall) {
			if ended[p.Attempt] || p.Attempt.Stage() != Ended {
				t.Fatalf("seed %d: an attempt ended twice, or is in stage %v", seed, p.Attempt.Stage())
			}
			ended[p.Attempt] = true
		}
		check := func(err error) {
			if err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		take := func(from *[]*PendingCall) *PendingCall {
			i := r.IntN(len(*from))
			p := (*from)[i]
			*from = slices.Delete(*from, i, i+1)
			return p
		}
		for range 200 {
			now = now.Add(time.Second)
			switch k := r.IntN(9); {
			case k <= 2:
				a := &Attempt{}
				p, err := m.Join(a, a, 4)
				check(err)
				if p != nil {
					joined = append(joined, p)
				}
			case k == 3:
				p := m.Next()
				if (p == nil) != (len(joined) == 0) || p != nil && p != joined[0] {
					t.Fatalf("seed %d: out of order", seed)
				}
				if p == nil {
					continue
				}
				joined = joined[1:]
				send, err := p.Attempt.Begin(10, Conditions{CallFinished: r.IntN(4) == 0})
				check(err)
				if !send {
					m.Remove(p)
					end(p)
					continue
				}
				check(m.WriteStarted(p, now))
				writing = append(writing, p)
			case k == 4 && len(writing) > 0:
				p := writing[0]
				writing = writing[1:]
				oneway := r.IntN(4) == 0
				done, err := m.WriteEnded(p, 10, oneway)
				check(err)
				if done {
					end(p)
				}
				if !oneway {
					written = append(written, p)
				}
			case k == 5 && len(written) > 0:
				p := take(&written)
				got, err := m.ReplyStarted(p.Seq, now)
				if m.pendingCalls[p.Seq] != p {
					continue // answered earlier
				}
				check(err)
				if got != p {
					t.Fatalf("seed %d: the reply was given to another attempt", seed)
				}
				done, err := m.ReplyEnded(got, choice.Failed)
				check(err)
				if done {
					end(p)
				} else if !ended[p.Attempt] {
					t.Fatalf("seed %d: a reply ended no attempt", seed)
				}
				if _, err := m.ReplyStarted(p.Seq, now); !errors.Is(err, ErrUnexpectedReply) {
					t.Fatalf("seed %d: a second reply: %v", seed, err)
				}
			case k == 6:
				for _, from := range []*[]*PendingCall{&joined, &writing, &written} {
					if len(*from) == 0 || r.IntN(3) > 0 {
						continue
					}
					p := (*from)[r.IntN(len(*from))]
					if ended[p.Attempt] {
						continue
					}
					check(m.Abandon(p, []Cause{TimedOut, Canceled}[r.IntN(2)]))
					end(p)
					if from == &joined {
						joined = slices.DeleteFunc(joined, func(o *PendingCall) bool { return o == p })
					}
					if (from != &joined) != p.Attempt.MayHaveRun() {
						t.Fatalf("seed %d: can have run: %t", seed, p.Attempt.MayHaveRun())
					}
				}
			case k == 7 && r.IntN(10) == 0:
				failed, err := m.Break([]Cause{Broken, Malformed}[r.IntN(2)])
				check(err)
				for _, p := range failed {
					end(p)
				}
				for _, p := range writing {
					done, err := m.WriteEnded(p, 5, false)
					check(err)
					if done {
						end(p)
					}
				}
				if p, err := m.Join(&Attempt{}, nil, 4); p != nil || err != nil || len(m.pendingCalls) > 0 || !m.Broken() {
					t.Fatalf("seed %d: a broken connection continues", seed)
				}
				joined, writing, written = nil, nil, nil
				now = now.Add(time.Second)
				m = NewMultiplexedConn(now)
			}
			live := 0
			for _, p := range m.PendingCalls() {
				if !ended[p.Attempt] {
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
		var pendingCalls []*PendingCall
		for range 2 {
			p, err := m.Join(&Attempt{}, nil, 4)
			if err != nil || m.Next() != p {
				t.Fatal(err)
			}
			now = now.Add(time.Second)
			p.Attempt.Begin(1, Conditions{})
			m.WriteStarted(p, now)
			m.WriteEnded(p, 1, false)
			pendingCalls = append(pendingCalls, p)
		}
		now = now.Add(time.Second)
		if replied {
			m.ReplyStarted(pendingCalls[1].Seq, now)
			m.ReplyEnded(pendingCalls[1], choice.OK)
		}
		if err := m.Abandon(pendingCalls[0], TimedOut); err != nil {
			t.Fatal(err)
		}
		if p, _ := m.Join(&Attempt{}, nil, 4); (p != nil) != replied {
			t.Errorf("reply received: %t, accepts a new attempt: %t", replied, p != nil)
		}
	}
}
