package rollout

import (
	"strings"
	"testing"
	"time"

	"ternbeam/deploy"
)

// Runs a rolling deploy from the old shape to the new one and back, with a hang in between. Nothing may be misread, no effect
// may be duplicated, keys must be unchanged and drains respected, and routes must follow the list or, if the list is stale,
// the shapes that the servers reject.
func TestRollout(t *testing.T) {
	for _, set := range []Settings{
		{Name: "http", Client: "http", Old: "http", New: "http"},
		{Name: "binary to compact, list stale", Client: "thrift-binary", Old: "thrift-binary", New: "thrift-compact", StaleList: true},
		{Name: "http to compact", Client: "http", Old: "http", New: "thrift-compact"},
	} {
		t.Run(set.Name, func(t *testing.T) {
			t.Parallel()
			set.Servers, set.Rate, set.ReplaceInterval, set.HangTime, set.ServiceTime, set.Seed = 4, 60, 500*time.Millisecond, time.Second, 10*time.Millisecond, 1
			r, err := Run(set)
			if err != nil {
				t.Fatal(err)
			}
			if r.Misread+r.WrongKeys+r.DuplicateEffects+r.AfterDrain > 0 || r.Other > 0 {
				t.Errorf("%+v", r)
			}
			if r.Served < r.Calls*8/10 || r.Deliveries < r.Calls {
				t.Errorf("%d of %d served: %+v", r.Served, r.Calls, r)
			}
			// Calls may be retried because of the hang, so several calls in flight may each reach a server that was rolled back.
			if !set.StaleList && r.UnknownShape > 0 || set.StaleList && r.UnknownShape == 0 {
				t.Errorf("%d calls reached a server that does not know their shape", r.UnknownShape)
			}
		})
	}
}

// A mapping that changes the meaning for the servers must be detected from what the servers received.
func TestRolloutDetectsMisreading(t *testing.T) {
	wrong := strings.Replace(deploy.Translate, `W = "watch", J = "jewellery"`, `W = "jewellery", J = "watch"`, 1)
	r, err := Run(Settings{Client: "http", Old: "http", New: "http", Servers: 2, Rate: 40, ReplaceInterval: 300 * time.Millisecond, Seed: 1, ShapesText: wrong})
	if err != nil || r.Misread == 0 {
		t.Errorf("%+v, %v", r, err)
	}
}
