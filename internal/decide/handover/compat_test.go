package handover

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"

	"ternbeam/choice"
)

// The frame in testdata was sent by a process of an earlier build. It has to be read in full, and written again byte for byte: the
// other process of a replacement may be of another build.
func TestStateOfAnEarlierBuild(t *testing.T) {
	frame, err := os.ReadFile("testdata/handover.frame")
	if err != nil {
		t.Fatal(err)
	}
	var s State
	if err := parse(frame, &s); err != nil {
		t.Fatal(err)
	}
	var list struct {
		Version int
		Full    bool
		Servers []struct{ ID, Addr, Zone, State string }
	}
	if err := json.Unmarshal(s.List, &list); err != nil || list.Version != 1 || !list.Full || len(list.Servers) != 4 || list.Servers[3].ID != "s-3" ||
		list.Servers[3].State != "in_service" {
		t.Errorf("list %+v, %v", list, err)
	}
	if s.Name != "n1" || s.Discovery != "127.0.0.1:58175" || len(s.Listeners) != 1 || s.Listeners[0] != "127.0.0.1:55889" {
		t.Errorf("name %q, discovery %q, listeners %q", s.Name, s.Discovery, s.Listeners)
	}
	if len(s.Overrides.Offline) != 1 || s.Overrides.Offline["s-1"] == 0 || s.Overrides.BackOnline["s-3"] != [2]int64{1796392854894, 1796392854896} {
		t.Errorf("overrides %+v", s.Overrides)
	}
	if s.Learned == nil || len(s.Learned.Classes) != 2 || len(s.Learned.Servers) != 3 {
		t.Fatalf("learned %+v", s.Learned)
	}
	class, server := s.Learned.Classes[0], s.Learned.Servers[0]
	if class != (choice.ClassMemory{Name: "form-check", Usual: 28588422, Least: 7533465, Trust: 1}) {
		t.Errorf("class %+v", class)
	}
	if server.ID != "s-0" || server.Rate < 133 || server.Use != 0.3 || server.Trust != 1 || server.Reported != 309505426*time.Nanosecond || server.Judged != server.Reported {
		t.Errorf("server %+v", server)
	}
	again, err := Encode(s)
	if err != nil || !bytes.Equal(again, frame) {
		t.Errorf("written again, it differs: %v\n%s", err, again)
	}
}
