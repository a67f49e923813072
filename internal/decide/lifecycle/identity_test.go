package lifecycle

import (
	"testing"
	"time"
)

func TestIdentityIsInDoubtAfterLostConnections(t *testing.T) {
	const s = time.Second
	var never, lost Identity
	lost.ConnectionLost(10 * s)
	for name, c := range map[string]struct {
		id     Identity
		now    time.Duration
		opened []time.Duration
		want   bool
	}{
		"nothing was lost":                  {never, 10 * s, []time.Duration{9 * s}, true},
		"no connection is open":             {lost, 11 * s, nil, false},
		"only later connections":            {lost, 11 * s, []time.Duration{10*s + 1, 11 * s}, false},
		"an earlier one has survived":       {lost, 11 * s, []time.Duration{11 * s, 3 * s}, true},
		"the list has had time to tell":     {lost, 10*s + IdentityDoubt, []time.Duration{11 * s}, true},
		"the list has nearly had that time": {lost, 10*s + IdentityDoubt - 1, []time.Duration{11 * s}, false},
		"opened at the moment of the loss":  {lost, 11 * s, []time.Duration{10 * s}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.id.IsCertain(c.now, c.opened); got != c.want {
				t.Errorf("certain: %t", got)
			}
		})
	}
}
