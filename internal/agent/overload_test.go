package agent

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// Servers that rejected every call and then recover get calls again, also if all calls are of one class: if the agent refused
// every call immediately, it would never find out that the overload is over.
func TestCallsResumeAfterOverloadWithASingleClass(t *testing.T) {
	var full atomic.Bool
	full.Store(true)
	script := func(standin.Call) standin.Step {
		if full.Load() {
			return standin.Step{Fault: standin.Reject}
		}
		return standin.Step{}
	}
	for _, m := range []standin.Method{standin.Check, standin.Record, standin.Pay} {
		full.Store(true)
		w := newTestbed(t, protocolVariants[0], standin.Platform{}, nil, standin.Options{ID: "a", Script: script}, standin.Options{ID: "b", Script: script})
		for i := range 30 {
			w.client.Do(newCall(m, fmt.Sprint(m, i)))
		}
		full.Store(false)
		testkit.Eventually(t, fmt.Sprint(m, " is served again"), func() bool {
			return w.client.Do(newCall(m, fmt.Sprint(m, time.Now().UnixNano()))).Kind == standin.Served
		})
	}
}
