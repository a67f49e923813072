package learned

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
)

func sample(n int) State {
	var servers []Server
	var fleet []uint64
	for i := range n {
		s := choice.Server{ID: fmt.Sprint("s-", i), Started: time.Duration(i) * time.Second, Weight: 1}
		id := Identity(s, "127.0.0.1:80", false)
		servers = append(servers, Server{ServerMemory: choice.ServerMemory{ID: s.ID, Started: s.Started, Rate: 50, Use: 0.5, Trust: 1,
			Reported: time.Second, Failing: 0.25, Judged: time.Millisecond, Ejected: i%7 == 0, Trial: time.Duration(i % 7)}, Addr: "127.0.0.1:80", Identity: id})
		fleet = append(fleet, id)
	}
	return New(Clock{Wall: 1000 * time.Hour, Boot: time.Hour, BootID: "b", Unsure: time.Second}, "n1", choice.Memory{Idle: time.Second,
		Served: 9, Lost: 0.01, ColdBad: 0.5, ColdSeen: 3, Classes: []choice.ClassMemory{{Name: "check", Usual: 5, Least: 3, Trust: 1}}}, servers, fleet, nil)
}

// records encodes a State.
func records(t testing.TB, s State) map[string]Record {
	t.Helper()
	all := map[string]Record{}
	body, err := EncodeShared(s.Shared)
	if err != nil {
		t.Fatal(err)
	}
	all[SharedName()] = Record{SharedName(), Format, body}
	for i, b := range s.Buckets {
		if body, err = EncodeBucket(b); err != nil {
			t.Fatal(err)
		}
		all[BucketName(i)] = Record{BucketName(i), Format, body}
	}
	return all
}

// Records are decoded as they were encoded.
func TestRecordsRoundTrip(t *testing.T) {
	for _, n := range []int{0, 1, 12, 1000} {
		want := sample(n)
		got, dropped, err := Read(records(t, want))
		if err != nil || len(dropped) != 0 || got.Count() != n {
			t.Fatalf("%d: %v, %v, %d", n, err, dropped, got.Count())
		}
		for i := range want.Buckets {
			if len(want.Buckets[i].Servers) == 0 {
				want.Buckets[i].Servers = nil
			}
		}
		if n > 0 && !reflect.DeepEqual(got, want) {
			t.Fatalf("%d: %+v, want %+v", n, got, want)
		}
	}
}

// Properties that make a server another one change its identity; those that the list may change for the same server do
// not.
func TestIdentity(t *testing.T) {
	base := choice.Server{ID: "s", Zone: 1, Cell: 2, Weight: 1, Started: time.Second, Protocols: 1}
	id := Identity(base, "a:1", false)
	for name, c := range map[string]struct {
		edit        func(*choice.Server)
		addr        string
		multiplexed bool
		same        bool
	}{
		"nothing":     {func(*choice.Server) {}, "a:1", false, true},
		"drains":      {func(s *choice.Server) { s.State = choice.Draining }, "a:1", false, true},
		"id":          {func(s *choice.Server) { s.ID = "t" }, "a:1", false, false},
		"restarted":   {func(s *choice.Server) { s.Started += time.Millisecond }, "a:1", false, false},
		"moved":       {func(*choice.Server) {}, "a:2", false, false},
		"zone":        {func(s *choice.Server) { s.Zone = 2 }, "a:1", false, false},
		"cell":        {func(s *choice.Server) { s.Cell = 1 }, "a:1", false, false},
		"weight":      {func(s *choice.Server) { s.Weight = 2 }, "a:1", false, false},
		"speaks":      {func(s *choice.Server) { s.Protocols = 2 }, "a:1", false, false},
		"multiplexed": {func(*choice.Server) {}, "a:1", true, false},
		"id and addr": {func(s *choice.Server) { s.ID = "sa" }, ":1", false, false},
	} {
		s := base
		c.edit(&s)
		if got := Identity(s, c.addr, c.multiplexed); (got == id) != c.same {
			t.Errorf("%s: the same: %t", name, got == id)
		}
	}
}

// Values out of range are reported by field; a bucket that cannot be read is dropped alone.
func TestInvalidValuesAreReported(t *testing.T) {
	for want, corrupt := range map[string]func(*State){
		"shared: at.wall":      func(s *State) { s.Shared.At.Wall = -1 },
		"shared: lost":         func(s *State) { s.Shared.Memory.Lost = math.NaN() },
		"shared: served":       func(s *State) { s.Shared.Memory.Served = math.Inf(1) },
		"shared: buckets":      func(s *State) { s.Shared.Buckets = 3 },
		"shared: fleet[1]":     func(s *State) { s.Shared.Fleet = []uint64{2, 1} },
		"shared: classes[0].u": func(s *State) { s.Shared.Memory.Classes[0].Usual = -1 },
		"shared: agent":        func(s *State) { s.Shared.Agent = strings.Repeat("n", 1000) },
	} {
		s := sample(3)
		corrupt(&s)
		if _, _, err := Read(records(t, s)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	for want, corrupt := range map[string]func(*Server){
		"servers[2].rate":     func(s *Server) { s.Rate = -1 },
		"servers[2].failing":  func(s *Server) { s.Failing = 2 },
		"servers[2].reported": func(s *Server) { s.Reported = math.MaxInt64 },
		"servers[2].id":       func(s *Server) { s.ID = strings.Repeat("s", 1000) },
	} {
		s := sample(3)
		corrupt(&s.Buckets[0].Servers[2])
		got, dropped, err := Read(records(t, s))
		if err != nil || len(dropped) != 1 || !strings.Contains(dropped[0].Why.Error(), want) || got.Shared.Agent != "n1" {
			t.Errorf("%s: %v, %v", want, err, dropped)
		}
	}
	newer := records(t, sample(3))
	r := newer[SharedName()]
	r.Format++
	newer[SharedName()] = r
	if _, _, err := Read(newer); !errors.Is(err, ErrFormat) {
		t.Errorf("newer format: %v", err)
	}
	if _, _, err := Read(nil); !errors.Is(err, ErrNoState) {
		t.Errorf("no records: %v", err)
	}
}

// For any bytes decoding ends, and what is accepted has values in range.
func FuzzDecode(f *testing.F) {
	for _, r := range records(f, sample(5)) {
		f.Add(r.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		if b, err := DecodeBucket(body); err == nil {
			for _, s := range b.Servers {
				if !(s.Rate >= 0 && s.Rate < math.Inf(1) && s.Failing >= 0 && s.Failing <= 1 && s.Reported >= 0 && len(s.ID) <= maxTextBytes) {
					t.Fatalf("%+v", s)
				}
			}
		}
		if s, err := DecodeShared(body); err == nil && (s.Buckets < 1 || s.Buckets > MaxBuckets || !(s.Memory.Lost <= 1)) {
			t.Fatalf("%+v", s)
		}
	})
}
