package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const launch = `{"type":"Launch","I":"agent_%d","Seed":%[1]d,"BootInfo":{"Balancers":2,"Classes":[{"AimNs":600000000,` +
	`"DeadlineNs":1200000000,"Effect":"repeatable","Group":"all","Name":"a","Worth":1}],"Ceilings":{"MostTries":3},` +
	`"Discovery":"automatic","Report":{"Fields":["util","qps"]},"TickNs":4000000,"WeightKind":"silent"}}`

// script returns the input for the given instances only.
func script(instances ...int) string {
	var out strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	line(`{"type":"Turn","WallNs":1000}`)
	line(`{"type":"YourTurn"}`)
	line(`{"type":"Turn","WallNs":5000}`)
	line(`{"type":"Census","Buffer":0,"RowsIn":[{"Backend":"a:1","Mode":"ready"},{"Backend":"b:1","Mode":"ready"}]}`)
	for _, i := range instances {
		line(launch, i)
		line(`{"type":"Members","I":"agent_%d","Form":"restored","Revision":1,"Buffer":0}`, i)
	}
	line(`{"type":"YourTurn"}`)
	for r := range 40 {
		line(`{"type":"Turn","WallNs":%d}`, 6000+1000*r)
		for _, i := range instances {
			line(`{"type":"Inbound","I":"agent_%d","Tid":"%016x","ExpiresNs":8652250000}`, i, r*10+i)
		}
		line(`{"type":"YourTurn"}`)
	}
	return out.String()
}

// reply runs the input and returns the lines of the output.
func reply(t *testing.T, in string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(out.String(), "\n")
}

func TestOneYieldPerBatch(t *testing.T) {
	lines := reply(t, script(1, 2))
	yields := 0
	for _, l := range lines {
		if l == `{"type":"Yield"}` {
			yields++
		}
	}
	if yields != 42 || lines[0] != `{"type":"Yield"}` {
		t.Errorf("%d yields, first line %s", yields, lines[0])
	}
	if !slices.ContainsFunc(lines, func(l string) bool { return strings.HasPrefix(l, `{"type":"Send"`) }) {
		t.Error("nothing was sent")
	}
}

// Several instances in one process act like each of them in a process of its own.
func TestInstancesAreIndependent(t *testing.T) {
	together := reply(t, script(1, 2))
	for _, i := range []int{1, 2} {
		own := fmt.Sprintf(`"I":"agent_%d"`, i)
		onlyOwn := func(lines []string) []string {
			return slices.DeleteFunc(slices.Clone(lines), func(l string) bool { return !strings.Contains(l, own) })
		}
		if alone := onlyOwn(reply(t, script(i))); len(alone) == 0 || !slices.Equal(alone, onlyOwn(together)) {
			t.Errorf("agent_%d acts differently beside another instance", i)
		}
	}
}

func TestRelaunchInOneBatch(t *testing.T) {
	in := strings.Replace(script(1), `{"type":"Turn","WallNs":9000}`,
		`{"type":"Turn","WallNs":9000}`+"\n"+`{"type":"Killed","I":"agent_1"}`+"\n"+fmt.Sprintf(launch, 1), 1)
	lines := reply(t, in)
	if !slices.Contains(lines, `{"type":"Shed","I":"agent_1","Tid":"000000000000001f"}`) {
		t.Error("a relaunched instance without a list does not refuse")
	}
}

func TestMalformedInput(t *testing.T) {
	for _, in := range []string{"{", `{"type":"Turn","WallNs":1}`, script(1) + `{"type":"Inbound","I":"agent_1"}`,
		strings.Replace(script(1), `"MostTries":3`, `"MostTries":0`, 1)} {
		if err := run(strings.NewReader(in), &bytes.Buffer{}); err == nil {
			t.Errorf("no error for %.40q", in)
		}
	}
}
