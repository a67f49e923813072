package explore

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"

	"ternbeam/internal/lab/testkit"
)

// planted lists bugs, each a single change of one source file, and the world in which the explorer finds it.
var planted = []struct{ name, file, old, new, world string }{
	{"told as never run after the last byte", "internal/decide/lifecycle/attempt.go", "case !a.MayHaveRun():", "case true:", "unsafe"},
	{"refused after a reset", "choice/choice.go", "} else if r.mayRefuse() {", "} else if true {", "unsafe"},
	{"answered twice as the reply meets the deadline", "internal/decide/calltrack/tracker.go", "if call == nil || call.closed.Load() {", "if call == nil {", "unsafe"},
	{"connection used again with bytes behind the answer", "internal/lab/explore/host.go", "if !c.Host.(*connData).strayBytes {", "if true {", "one-place"},
	{"connection kept whose server sent a second answer", "internal/decide/lifecycle/conn.go", "if c.State() == InUse && len(p.queue) == 0 && p.taken <= p.limit {", "if c.State() != Closed && len(p.queue) == 0 {", "one-place"},
	{"sent to a server after its drain", "internal/decide/lifecycle/attempt.go", "case now.Retired:", "case now.Retired && now.TimedOut:", "unsafe"},
	{"window not looked at when a repeat is written", "choice/choice.go", "first != nil && r.class.Effect == Keyed {", "first != nil && r.class.Effect == Unsafe {", "keyed"},
	{"window counted from the repeat", "choice/choice.go", "send.SendWithin = first.sent", "send.SendWithin = b.now", "keyed"},
	{"group of a keyed call not looked at", "choice/choice.go", "return s.Cell == first.cell", "return true", "keyed"},
	{"unsafe call sent again", "choice/choice.go", "case first == nil || c.Effect == Safe:", "case first == nil || c.Effect != Keyed:", "unsafe"},
	{"place leaked where a dial is given up", "internal/decide/lifecycle/conn.go", "\t\treturn nil, nil\n\t}\n\treturn p.releaseSlot(), nil", "\t}\n\treturn nil, nil", "withdrawn"},
	{"withdrawn copy's reply wins", "internal/decide/calltrack/tracker.go", "if call == nil || call.closed.Load() {", "if call == nil || call.Finished() && call.inFlight == 0 {", "copies"},
	{"sent after it was withdrawn", "internal/decide/lifecycle/attempt.go", "case now.Canceled:", "case now.Canceled && now.TimedOut:", "withdrawn"},
	{"withdrawn and told as never run", "internal/decide/lifecycle/attempt.go", "case c == Canceled:\n\t\ta.end(choice.Canceled)", "case c == Canceled:\n\t\ta.end(choice.ConnectFailed)", "withdrawn"},
	{"sequence id used again while its reply may come", "internal/decide/lifecycle/multiplexed.go", "if m.seq++; m.pendingCalls[m.seq] == nil {", "if m.seq = 1; true {", "line"},
	{"what is being written on a line counts as never run", "internal/decide/lifecycle/multiplexed.go", "return p.Attempt.MarkUncertain()", "return nil", "line"},
	{"line given back with a call on it", "internal/decide/lifecycle/multiplexed.go", "if reuse || p.Attempt.stage != Ended {", "if false && p != nil {", "line"},
	{"early error told as never run", "internal/decide/lifecycle/attempt.go", "answered := a.stage == Ended && (a.result == choice.OK || a.result == choice.Failed)", "answered := false", "unsafe"},
	{"count not lowered on what is not sent", "internal/decide/calltrack/tracker.go", "\tcall.inFlight--\n", "\tif e.Result != choice.NotSent {\n\t\tcall.inFlight--\n\t}\n", "unsafe"},
	{"sent after the final answer", "internal/decide/lifecycle/attempt.go", "case now.TimedOut || now.CallFinished:", "case now.TimedOut:", "unsafe"},
	{"sent after the deadline", "internal/decide/lifecycle/attempt.go", "case now.TimedOut || now.CallFinished:", "case now.CallFinished:", "unsafe"},
	{"unsafe call sent again where servers are remembered as failing", "choice/choice.go", "case first == nil || c.Effect == Safe:", "case first == nil || c.Effect == Safe || s.failureRate >= maxImportedFailureRate:", "ill"},
	{"group not looked at where servers are remembered as failing", "choice/choice.go", "return s.Cell == first.cell", "return s.Cell == first.cell || s.failureRate >= maxImportedFailureRate", "ill-keyed"},
	{"server that drains keeps its life", "internal/decide/calltrack/tracker.go", "s.Multiplexed != e.Multiplexed ||\n\t\te.State != choice.Ready) {", "s.Multiplexed != e.Multiplexed) {", "changes"},
	{"server missing from the whole list keeps its life", "internal/decide/calltrack/tracker.go", "if full && !named[id] {", "if false {", "changes"},
	{"restarted server keeps its life and connections", "internal/decide/calltrack/tracker.go", "s.Started != started || ", "", "reuse"},
	{"server that moved keeps its life and connections", "internal/decide/calltrack/tracker.go", "s.Addr != e.Addr || !slices.Equal(s.Addrs, e.Addrs) || ", "slices.Equal(nil, []int{1}) || ", "reuse"},
	{"withdrawal not carried out", "internal/decide/calltrack/tracker.go", "if call != nil && act.Attempt < len(call.attempts) && call.attempts[act.Attempt] != nil {", "if false {", "withdrawn"},
	{"retired server's attempts are sent", "internal/decide/lifecycle/attempt.go", "case now.Retired:\n\t\ta.end(choice.ConnectFailed)", "case false:", "changes"},
	{"every dial that succeeds wins", "internal/decide/addresses/addresses.go", "wins = !r.won", "wins = true", "races"},
	{"race lost while a dial is out", "internal/decide/addresses/addresses.go", "return !r.won && len(r.dialing) == 0 && r.next >= len(r.addrs)", "return false", "races"},
	{"server that is out by hand is sent to", "internal/decide/overrides/overrides.go", "if o.IsOffline(s.ID) && s.State == choice.Ready {", "if false {", "by-hand"},
	{"word of the operators is kept and not carried out", "internal/decide/calltrack/overrides.go", "\tif listed {\n", "\tif false {\n", "back"},
	{"list's word undoes the operators'", "internal/decide/calltrack/tracker.go", "\t\te.Server = t.overrides.Apply(e.Server)\n", "\t\tif len(entries) == 0 || !t.overrides.IsOffline(e.ID) || full || e.Started != 0 {\n\t\t\te.Server = t.overrides.Apply(e.Server)\n\t\t}\n", "by-hand"},
	{"answer that has begun comes after another", "internal/decide/calltrack/streamed.go", "\tif call.Finished() {", "\tif false {", "passing"},
	{"answer that has begun is not counted to its end", "internal/decide/calltrack/streamed.go", "\tt.relaying--\n", "", "passing"},
	{"cell of a server that only SRV records list is taken for 0", "internal/decide/membership/membership.go", "first.Speaks, true, true", "first.Speaks, true, false", "sources"},
	{"unknown cell not looked at", "choice/choice.go", " && !s.CellUnknown && !first.cellUnknown", "", "sources"},
	{"connection to a new process counts as one to the old", "internal/decide/lifecycle/identity.go", "e.ListCurrentAt-e.KnownSince < e.ListingDelay", "false", "replaced"},
	{"sent again after it ran at an unknown process", "internal/decide/calltrack/groupsends.go", "return !s.certain }):", "return false }):", "replaced"},
	{"copy sent to an unknown process", "internal/decide/calltrack/groupsends.go", "len(sends.begun) > 0 && !certain", "false", "replaced-2"},
	{"address that two listed servers have counts as either's", "internal/decide/calltrack/addressbook.go", "return o != id })", "return false })", "taken-over"},
	{"attempt whose answer has begun is cancelled as at a silent server", "choice/lateattempt.go", "!a.answerStarted && ", "", "begun"},
	{"answered after its client left", "internal/decide/calltrack/tracker.go", "\tt.stats.Disconnected++\n\tt.markClosed(call)\n", "\tt.stats.Disconnected++\n", "unsafe"},
}

// The explorer finds each planted bug. The program is built from the sources with an overlay that has only that change.
func TestPlantedBugs(t *testing.T) {
	output := regexp.MustCompile(`(\d+) states(?s:.*\n)(\d+) steps: (.*)`)
	for _, bug := range planted {
		t.Run(bug.name, func(t *testing.T) {
			t.Parallel()
			overlay := testkit.Overlay(t, bug.file, bug.old, bug.new)
			program := filepath.Join(t.TempDir(), "explore")
			build := exec.Command("go", "build", "-overlay", overlay, "-o", program, "./cmd/ternbeam-explore")
			build.Dir = testkit.ModuleRoot(t)
			if out, err := build.CombinedOutput(); err != nil {
				t.Fatalf("%v\n%s", err, out)
			}
			out, err := exec.CommandContext(t.Context(), program, "run", "--world", bug.world, "--most", "200000").CombinedOutput()
			found := output.FindSubmatch(out)
			if err == nil || found == nil {
				t.Fatalf("bug not found: %v\n%s", err, out)
			}
			t.Logf("%s steps, %s states: %s", found[2], found[1], found[3])
		})
	}
}
