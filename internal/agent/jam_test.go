package agent

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// Servers that turned all away and are well again get work again, also where all calls are of one class: with all refused at
// once nothing would ever show that the jam is over.
func TestJamEndsWithOneClass(t *testing.T) {
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
		w := newWorld(t, speeches[0], standin.Platform{}, nil, standin.Options{ID: "a", Script: script}, standin.Options{ID: "b", Script: script})
		for i := range 30 {
			w.kiosk.Ask(ask(m, fmt.Sprint(m, i)))
		}
		full.Store(false)
		testkit.Eventually(t, fmt.Sprint(m, " is served again"), func() bool {
			return w.kiosk.Ask(ask(m, fmt.Sprint(m, time.Now().UnixNano()))).Kind == standin.Served
		})
	}
}
