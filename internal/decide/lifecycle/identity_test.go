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
			if got := c.id.IsCertain(Evidence{ListCurrentAt: c.now, OpenedAt: c.opened}); got != c.want {
				t.Errorf("certain: %t", got)
			}
		})
	}
}

// Guards against a process that is taken for the one that the list names, because nothing was lost when that one ended.
func TestIdentityIsInDoubtUntilTheListWouldNameAnotherProcess(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		evidence Evidence
		want     bool
	}{
		"first connection, just opened":               {Evidence{ListCurrentAt: 20 * s, KnownSince: 20 * s}, false},
		"another process would be listed by now":      {Evidence{ListCurrentAt: 20*s + ListingDelay, KnownSince: 20 * s}, true},
		"it would nearly be":                          {Evidence{ListCurrentAt: 20*s + ListingDelay - 1, KnownSince: 20 * s}, false},
		"nothing came from discovery since":           {Evidence{ListCurrentAt: 15 * s, KnownSince: 20 * s}, false},
		"nothing ever came from discovery":            {Evidence{KnownSince: 20 * s}, false},
		"another server is listed at the address":     {Evidence{ListCurrentAt: 60 * s, KnownSince: s, AddressLastSharedAt: sharedNow}, false},
		"another one was listed there until just now": {Evidence{ListCurrentAt: 60 * s, KnownSince: s, AddressLastSharedAt: 59 * s}, false},
		"another one was listed there until long ago": {Evidence{ListCurrentAt: 60 * s, KnownSince: s, AddressLastSharedAt: 60*s - IdentityDoubt}, true},
	} {
		t.Run(name, func(t *testing.T) {
			c.evidence.ListingDelay = ListingDelay
			if got := new(Identity).IsCertain(c.evidence); got != c.want {
				t.Errorf("certain: %t", got)
			}
		})
	}
}

func TestServerKeepsWhenItsAddressWasLastShared(t *testing.T) {
	var s Server
	for _, step := range []struct {
		shared bool
		now    time.Duration
		want   time.Duration
	}{{false, 1, 0}, {true, 2, sharedNow}, {true, 3, sharedNow}, {false, 4, 4}, {false, 5, 4}, {true, 6, sharedNow}} {
		if s.SetAddressShared(step.shared, step.now); s.AddressLastSharedAt() != step.want {
			t.Errorf("%+v: %d", step, s.AddressLastSharedAt())
		}
	}
}
