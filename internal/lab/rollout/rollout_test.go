package rollout

import (
	"strings"
	"testing"
	"time"

	"ternbeam/deploy"
)

// A rolling deploy from the old shape to the new one and back, with a hang on the way: nothing is misread, no effect comes
// twice, keys are the same, drains are heeded, and the routes follow the list or, where it is stale, the servers' word.
func TestRollout(t *testing.T) {
	for _, set := range []Settings{
		{Name: "http", Client: "http", Old: "http", New: "http"},
		{Name: "binary to compact, list stale", Client: "thrift-binary", Old: "thrift-binary", New: "thrift-compact", Stale: true},
		{Name: "http to compact", Client: "http", Old: "http", New: "thrift-compact"},
	} {
		t.Run(set.Name, func(t *testing.T) {
			t.Parallel()
			set.Servers, set.Rate, set.Every, set.Hang, set.Service, set.Seed = 4, 60, 500*time.Millisecond, time.Second, 10*time.Millisecond, 1
			r, err := Run(set)
			if err != nil {
				t.Fatal(err)
			}
			if r.Misread+r.Keys+r.Doubles+r.AfterDrain > 0 || r.Other > 0 {
				t.Errorf("%+v", r)
			}
			if r.Served < r.Calls*8/10 || r.Deliveries < r.Calls {
				t.Errorf("%d of %d served: %+v", r.Served, r.Calls, r)
			}
			// A hang may be met by what is sent twice, so that calls under way may each meet a server that was rolled back.
			if !set.Stale && r.Unknown > 0 || set.Stale && r.Unknown == 0 {
				t.Errorf("%d calls met a server that does not know their shape", r.Unknown)
			}
		})
	}
}

// A mapping that says something else than the old servers understood is seen by what the servers got.
func TestRolloutSeesMisreading(t *testing.T) {
	wrong := strings.Replace(deploy.Translate, `W = "watch", J = "jewellery"`, `W = "jewellery", J = "watch"`, 1)
	r, err := Run(Settings{Client: "http", Old: "http", New: "http", Servers: 2, Rate: 40, Every: 300 * time.Millisecond, Seed: 1, Text: wrong})
	if err != nil || r.Misread == 0 {
		t.Errorf("%+v, %v", r, err)
	}
}
