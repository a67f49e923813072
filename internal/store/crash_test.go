package store_test

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"ternbeam/internal/lab/crashfs"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/store"
)

// rec returns a record, or the deletion of one if body is empty.
func rec(name, body string) store.Record {
	return store.Record{Name: name, Kind: "text", Format: 1, Body: []byte(body), Deleted: body == ""}
}

// putSequence is a sequence of puts to a folder, with a new process at the start of each part.
type putSequence struct {
	initial map[string][]byte // the initial files
	set     store.Settings
	parts   [][][]store.Record
}

// expected returns the expected bodies by name after this number of puts.
func (s putSequence) expected(before map[string]string, puts int) map[string]string {
	want := maps.Clone(before)
	for _, part := range s.parts {
		for _, batch := range part {
			if puts--; puts < 0 {
				return want
			}
			for _, r := range batch {
				if want[r.Name] = string(r.Body); r.Deleted {
					delete(want, r.Name)
				}
			}
		}
	}
	return want
}

// play runs the sequence on a folder, up to its end or the first failure. It returns how many puts succeeded.
func (s putSequence) play(fs *crashfs.FS) (done int, err error) {
	for _, part := range s.parts {
		st, _, err := store.Open(fs, s.set)
		if err != nil {
			return done, err
		}
		for _, batch := range part {
			if err := st.Put(batch...); err != nil {
				return done, err
			}
			done++
		}
		if err := st.Close(); err != nil {
			return done, err
		}
	}
	return done, nil
}

// bodies opens a folder and returns its records' bodies by name.
func bodies(fs store.FS, set store.Settings) (map[string]string, store.Report, error) {
	st, report, err := store.Open(fs, set)
	if err != nil {
		return nil, report, err
	}
	got := map[string]string{}
	for name, r := range st.All() {
		got[name] = string(r.Body)
	}
	return got, report, st.Close()
}

func long(c string) string { return strings.Repeat(c, 300) }

var plain = putSequence{set: store.Settings{MaxLogBytes: 700}, parts: [][][]store.Record{
	{{rec("a", "1")}, {rec("a", "2"), rec("b", long("x"))}, {rec("b", ""), rec("c", long("y"))}, {rec("c", long("z"))}, {rec("a", "3")}},
	{{rec("d", "4")}, {rec("a", "")}},
}}

// upgraded returns a sequence of puts by a program with a newer format on a folder with records in an older one.
func upgraded(t *testing.T) putSequence {
	fs := crashfs.New()
	if _, err := (putSequence{parts: [][][]store.Record{{{rec("old", "a")}, {rec("older", "b")}}}}).play(fs); err != nil {
		t.Fatal(err)
	}
	return putSequence{initial: fs.Files(), set: store.Settings{Upgrades: map[string][]store.Upgrade{"text": {
		func(b []byte) ([]byte, error) { return []byte(strings.TrimSuffix(string(b), "+") + "+"), nil }}}},
		parts: [][][]store.Record{{{{Name: "new", Kind: "text", Format: 2, Body: []byte("c+")}}}, {{{Name: "old", Kind: "text", Format: 2, Body: []byte("d+")}}}}}
}

// After a crash at any operation, whatever remains of unsynced data, all successful puts are there and an unfinished put is there completely or not
// at all. The folder can then be used again.
func TestCrashes(t *testing.T) {
	upgrade := upgraded(t)
	for name, c := range map[string]struct {
		putSequence
		before map[string]string
	}{"writes and compactions": {plain, map[string]string{}}, "upgrade": {upgrade, map[string]string{"old": "a+", "older": "b+"}}} {
		t.Run(name, func(t *testing.T) {
			states, ops := 0, 0
			for at := 0; ; at++ {
				fs := crashfs.FromFiles(c.initial)
				fs.CrashAfter = at
				done, err := c.play(fs)
				for crashed := range fs.CrashStates() {
					states++
					files := crashed.Files()
					got, report, openErr := bodies(crashed, c.set)
					if openErr != nil || !maps.Equal(got, c.expected(c.before, done)) && !maps.Equal(got, c.expected(c.before, done+1)) {
						t.Fatalf("crash after %q, %d puts succeeded: %v, %v, %+v\nfiles %q", fs.Ops, done, openErr, got, report, files)
					}
					if states%7 == 0 { // use the folder again, without a crash
						again := putSequence{set: c.set, parts: [][][]store.Record{{{rec("again", "!")}}}}
						again.parts[0][0][0].Format = 2
						if _, err := again.play(crashed); err != nil {
							t.Fatalf("after %q: %v", fs.Ops, err)
						}
						if after, _, err := bodies(crashed, c.set); err != nil || after["again"] != "!" || len(after) != len(got)+1 {
							t.Fatalf("after %q: %v, %v", fs.Ops, err, after)
						}
					}
				}
				if err == nil {
					break
				}
				if !errors.Is(err, crashfs.ErrCrashed) {
					t.Fatal(err)
				}
				ops++
			}
			if ops < 10 || states < 100 {
				t.Errorf("only %d operations and %d states", ops, states)
			}
			t.Logf("%d operations, %d states", ops, states)
		})
	}
}

// Every single byte of a folder's files is flipped in a few ways, or the file is cut off there. The records that are read must be those after some
// put, and the fault must be reported. If the newest snapshot is damaged, the previous one and its sealed log replace it without loss.
func TestEveryByteFlipped(t *testing.T) {
	for processes := 1; processes <= len(plain.parts); processes++ {
		puts := putSequence{set: plain.set, parts: plain.parts[:processes]}
		fs := crashfs.New()
		done, err := puts.play(fs)
		if err != nil {
			t.Fatal(err)
		}
		files := fs.Files()
		var newest string
		for name := range files {
			if strings.HasPrefix(name, "snapshot") {
				newest = max(newest, name)
			}
		}
		flips := 0
		for name, text := range files {
			for i := range text {
				cut := maps.Clone(files)
				cut[name] = text[:i]
				got, report, err := bodies(crashfs.FromFiles(cut), plain.set)
				matchesPut := false
				for n := 0; n <= done; n++ {
					matchesPut = matchesPut || maps.Equal(got, puts.expected(map[string]string{}, n))
				}
				if err != nil || !matchesPut || name == newest && len(report.Dropped) == 0 {
					t.Fatalf("%s cut off at byte %d: %v, %v, %+v", name, i, err, got, report)
				}
				for _, mask := range []byte{0x01, 0x80, 0xff} {
					flips++
					bad := maps.Clone(files)
					bad[name] = append([]byte{}, text...)
					bad[name][i] ^= mask
					got, report, err := bodies(crashfs.FromFiles(bad), plain.set)
					matchesPut := false
					for n := 0; n <= done; n++ {
						matchesPut = matchesPut || maps.Equal(got, puts.expected(map[string]string{}, n))
					}
					read := strings.HasSuffix(name, newest[len("snapshot"):]) // the previous generation is not read
					if err != nil || !matchesPut || read && len(report.Dropped) == 0 {
						t.Fatalf("byte %d of %s ^ %#x: %v, %v, %+v", i, name, mask, err, got, report)
					}
					if name == newest && processes == 1 && !maps.Equal(got, puts.expected(map[string]string{}, done)) {
						t.Fatalf("byte %d of %s ^ %#x: the previous generation does not replace it: %v", i, name, mask, got)
					}
				}
			}
		}
		t.Logf("%d processes: %d flips in %d files", processes, flips, len(files))
	}
}

// An operation fails, each in turn; then the disk is full between two writes and has room again. Records of earlier successful puts remain, and a
// later successful put makes all records durable.
func TestFullAndFailing(t *testing.T) {
	for op := 0; ; op++ {
		failed := false
		fs := crashfs.New()
		n := 0
		fs.Fail = func(what, name string) error {
			if what == "list" || what == "read" || what == "lock" {
				return nil
			}
			if n++; n == op+1 {
				failed = true
				return errors.New("disk error")
			}
			return nil
		}
		st, _, err := store.Open(fs, plain.set)
		if err != nil {
			t.Fatal(err)
		}
		want := map[string]string{}
		for i := range 6 {
			name := fmt.Sprint("r", i%3)
			want[name] = long(fmt.Sprint(i))
			if err := st.Put(rec(name, want[name])); (err != nil) != failed && i == 0 {
				t.Fatalf("put %d, operation %d failed: %t, %v", i, op, failed, err)
			}
		}
		fs.Fail = nil
		want["last"] = "x"
		if err := st.Put(rec("last", "x")); err != nil {
			t.Fatal(err)
		}
		for crashed := range fs.CrashStates() {
			if got, report, err := bodies(crashed, plain.set); err != nil || !maps.Equal(got, want) {
				t.Fatalf("operation %d: %v, %v, %+v", op, err, got, report)
			}
		}
		if !failed {
			break
		}
	}

	fs := crashfs.New()
	st, _, err := store.Open(fs, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Put(rec("a", "1")); err != nil {
		t.Fatal(err)
	}
	fs.MaxBytes = 200
	if err := st.Put(rec("b", long("b"))); err == nil {
		t.Fatal("a put on a full disk succeeded")
	}
	if err := st.Put(rec("c", "c")); err == nil { // still no room, as b has to be written too
		t.Fatal("a put on a full disk succeeded")
	}
	if got, _, err := bodies(crashfs.FromFiles(fs.Files()), store.Settings{}); err != nil || got["a"] != "1" {
		t.Fatalf("%v, %v", got, err)
	}
	fs.MaxBytes = 0
	if err := st.Put(rec("d", "d")); err != nil {
		t.Fatal(err)
	}
	if got, _, err := bodies(crashfs.FromFiles(fs.Files()), store.Settings{}); err != nil || len(got) != 4 {
		t.Fatalf("%v, %v", got, err)
	}
}

// Each planted bug is detected by one of the tests above.
func TestPlantedBugs(t *testing.T) {
	for _, bug := range []struct{ name, file, old, new string }{
		{"log not synced", "internal/store/store.go", "if err == nil {\n\t\terr = s.log.Sync()\n\t}", ""},
		{"snapshot not synced", "internal/store/store.go", "err = f.Sync()", "err = nil"},
		{"renamed before it is synced", "internal/store/store.go", "if err := s.write(unfinished, text); err != nil {",
			"if f, _ := s.fs.Create(unfinished); f != nil {\n\t\tf.Write(text)\n\t\ts.fs.Rename(unfinished, name)\n\t\tdefer s.fs.Rename(unfinished, name)\n\t}\n\tif err := s.write(unfinished, text); err != nil {"},
		{"folder not synced", "internal/store/store.go", "err = s.fs.Sync()", "err = nil"},
		{"older generations removed before the new one is safe", "internal/store/store.go", "log, err := s.fs.Create(frames.Name(frames.Log, g))",
			"s.prune(g + 1)\n\tlog, err := s.fs.Create(frames.Name(frames.Log, g))"},
		{"log goes on after a failed write", "internal/store/store.go", "s.log.Close()\n\t\ts.log = nil\n\t\treturn fmt.Errorf(\"adding", "return fmt.Errorf(\"adding"},
		{"checksum not looked at", "internal/store/frames/frames.go", "!= sum(generation, number, body) {", "!= sum(generation, number, body) && false {"},
		{"length trusted", "internal/store/frames/frames.go", "case length > len(rest)-frameHead:", "case false:"},
		{"snapshot without its end counts", "internal/store/frames/frames.go", "if kind == Snapshot && !c.Ended {", "if false {"},
		{"log counts without the one before", "internal/store/frames/recover.go", "case g != next || !sealed:", "case g != next && sealed && false:"},
	} {
		t.Run(bug.name, func(t *testing.T) {
			t.Parallel()
			overlay := testkit.Overlay(t, bug.file, bug.old, bug.new)
			out, err := testkit.GoTest(t, overlay, "./internal/store", "^(TestCrashes|TestEveryByteFlipped|TestFullAndFailing)$")
			if err == nil {
				t.Fatalf("not found:\n%s", out)
			}
			if strings.Contains(out, "[build failed]") {
				t.Fatalf("%s", out)
			}
		})
	}
}
