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

// Whatever the settings say, a process that is held up when it is told to end and again as it answers is done before the kill,
// and no request that was taken before SIGTERM has less than its own deadline, where that counts whole.
func TestPlanHoldsBeforeTheKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(int64(10*time.Millisecond), int64(time.Hour)).Draw(t, "deadline"))
		replaced := rapid.Bool().Draw(t, "replaced")
		plan, kill := Plan(deadline, replaced), KillAfter(deadline)
		if last := Stall + plan.AnswerBy + Stall + writeTime; last > kill {
			t.Fatalf("the last answer may come after %v, the kill after %v", last, kill)
		}
		if deadline <= LongestDeadline && plan.AnswerBy < deadline {
			t.Fatalf("answers by %v cut a deadline of %v", plan.AnswerBy, deadline)
		}
		if plan.CloseBy <= plan.AnswerBy || plan.CloseBy >= kill {
			t.Fatalf("closes after %v, answers after %v, kill after %v", plan.CloseBy, plan.AnswerBy, kill)
		}
		if replaced != (plan.Accept == 0) {
			t.Fatalf("accepts for %v, replaced %t", plan.Accept, replaced)
		}
		if !replaced && plan.Accept <= plan.Idle || plan.Idle >= plan.CloseBy {
			t.Fatalf("accepts for %v, where idle connections end after %v and all after %v", plan.Accept, plan.Idle, plan.CloseBy)
		}
	})
}
