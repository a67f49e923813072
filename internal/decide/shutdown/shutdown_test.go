package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestKillAfter(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		600 * time.Millisecond:  1300 * time.Millisecond,
		3 * time.Second:         3700 * time.Millisecond,
		3825 * time.Millisecond: 3700 * time.Millisecond,
		time.Hour:               3700 * time.Millisecond,
	} {
		if got := KillAfter(deadline); got != want {
			t.Errorf("%v: %v, want %v", deadline, got, want)
		}
	}
}

// With any settings, a process that stalls at SIGTERM and again while it answers is done before SIGKILL, and no request received
// before SIGTERM gets less time than its own deadline, unless that exceeds MaxDeadline.
func TestPlanCompletesBeforeKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Hour)).Draw(t, "deadline"))
		replaced := rapid.Bool().Draw(t, "replaced")
		plan, kill := Plan(deadline, replaced), KillAfter(deadline)
		if last := MaxStall + plan.AnswerBy + MaxStall + writeTime; last > kill {
			t.Fatalf("the last answer may be written after %v, SIGKILL follows after %v", last, kill)
		}
		if deadline <= MaxDeadline && plan.AnswerBy < deadline {
			t.Fatalf("answering by %v shortens a deadline of %v", plan.AnswerBy, deadline)
		}
		if plan.CloseBy <= plan.AnswerBy || plan.CloseBy >= kill {
			t.Fatalf("closes after %v, answers after %v, SIGKILL after %v", plan.CloseBy, plan.AnswerBy, kill)
		}
		if replaced != (plan.Accept == 0) {
			t.Fatalf("accepts for %v, replaced %t", plan.Accept, replaced)
		}
		if !replaced && plan.Accept <= plan.Idle || plan.Idle >= plan.CloseBy {
			t.Fatalf("accepts for %v, but idle connections end after %v and all after %v", plan.Accept, plan.Idle, plan.CloseBy)
		}
	})
}
