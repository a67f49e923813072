package thriftmap

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/deploy"
)

var classes = []choice.Class{{Name: "form-check"}, {Name: "refund-record", Effect: choice.Keyed},
	{Name: "pay-out", Effect: choice.Unsafe}, {Name: "form-note"}}

func TestSample(t *testing.T) {
	m, err := Parse([]byte(deploy.Thrift), classes)
	if err != nil {
		t.Fatal(err)
	}
	if m.Listen != "127.0.0.1:9090" || m.MaxFrame != 65536 || m.MaxCalls != 64 || m.MaxServerCalls != 256 || m.AnyOrder ||
		m.IdleTimeout != 5*time.Minute || m.FrameTimeout != 2500*time.Millisecond {
		t.Errorf("%+v", m)
	}
	if r := m.Method([]byte("refundRecord")); r == nil || r.Class != 1 || r.Oneway || m.Method([]byte("note")).Class != 3 {
		t.Errorf("%+v", r)
	}
	if m.Method([]byte("dance")) != nil {
		t.Error("found a method that is not configured")
	}
}

// The values in the sample are the defaults, as the sample states.
func TestDefaults(t *testing.T) {
	short, err := Parse([]byte("listen = \"127.0.0.1:0\"\n[header]\ndefault_tenant = \"x\"\n[methods.f]\nclass = \"pay-out\"\n"), classes)
	if err != nil {
		t.Fatal(err)
	}
	sample, _ := Parse([]byte(deploy.Thrift), classes)
	short.Listen, short.methods, sample.methods = sample.Listen, nil, nil
	if !reflect.DeepEqual(short, sample) {
		t.Errorf("%+v, and the sample %+v", short, sample)
	}
}

// Every problem is reported with its line and key.
func TestProblems(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`listen = "127.0.0.1:9090"`, `listen = "nowhere"`, "line 9: listen: "},
		{`listen = "127.0.0.1:9090"`, ``, "line 1: listen: "},
		{`listen = "127.0.0.1:9090"`, `listen = 9090`, "line 9: listen: "},
		{`listen = "127.0.0.1:9090"`, `listen = "a:1`, "line 9: column "},
		{`max_depth = 32`, `max_depth = 1`, "line 13: max_depth: 1 is out of range, must be 2 to 256"},
		{`max_depth = 32`, `max_deep = 32`, "line 13: max_deep: no such key"},
		{`max_frame_bytes = 65536`, `max_frame_bytes = 17000000`, "line 12: max_frame_bytes: "},
		{`max_calls_per_connection = 64`, `max_calls_per_connection = 0`, "line 14: max_calls_per_connection: "},
		{`frame_timeout_ms = 2500`, `frame_timeout_ms = -1`, "line 17: frame_timeout_ms: "},
		{`replies = "in-order"`, `replies = "later"`, `line 20: replies: "later"`},
		{`correlation_id = "1.1"`, `correlation_id = "1.x"`, "line 26: header.correlation_id: "},
		{`tenant = "1.2"`, `tenant = "1.1"`, "header: "},
		{`tenant = "1.2"`, ``, "line 25: header: tenant or default_tenant"},
		{`time_left_unit = "ms"`, `time_left_unit = "min"`, "line 31: header.time_left_unit: "},
		{`idempotency_key = "1.4"`, ``, "line 25: header.idempotency_key: class \"refund-record\" is keyed"},
		{`retry_after_type = "i32"`, `retry_after_type = "u8"`, "line 39: refused.retry_after_type: "},
		{"[refused]\nfield = 1", "[refused]\nfield = 2", "failed.field: field 2 is already the refusal"},
		{"[refused]\nfield = 1", "[refused]\nfield = 0", "refused.field: the field of the result"},
		{`unprocessed = "2"`, `unprocessed = "x"`, "methods."},
		{`at = ["0.2", "1.3", "2.2"]`, `at = ["0.2", "report"]`, "load.at: place 2"},
		{`class = "pay-out"`, `class = "pay"`, `methods.payOut.class: the settings know no class "pay"`},
		{`class = "pay-out"`, ``, "methods.payOut.class: no class is given"},
		{"oneway = true", "oneway = true\nvoid = true", "methods.note.oneway: "},
		{`class = "pay-out"`, "class = \"pay-out\"\nanswers = [1]", "methods.payOut.answers: field 1 is already the refusal"},
		{`class = "pay-out"`, "class = \"pay-out\"\nanswers = [0]", "methods.payOut.answers: field 0"},
		{`class = "pay-out"`, "class = \"pay-out\"\nheader.tenant = \"x.1\"", "methods.payOut.header.tenant: "},
	} {
		text := strings.Replace(deploy.Thrift, c.old, c.new, 1)
		if text == deploy.Thrift {
			t.Fatalf("the sample has no %q", c.old)
		}
		_, err := Parse([]byte(text), classes)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v", c.new, err)
		}
	}
	if _, err := Parse([]byte(`listen = "a:1"`), classes); err == nil || !strings.Contains(err.Error(), "no method") {
		t.Errorf("no methods: %v", err)
	}
	both := strings.Replace(deploy.Thrift, "max_depth = 32", "max_depth = 1000", 1)
	both = strings.Replace(both, `replies = "in-order"`, `replies = "x"`, 1)
	if _, err := Parse([]byte(both), classes); err == nil || strings.Count(err.Error(), "line ") != 2 {
		t.Errorf("two faults: %v", err)
	}
}
