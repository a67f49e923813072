package store_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"ternbeam/internal/store"
)

// A folder of the file system has one owner at a time, which the error identifies, and the identity of an owner that was killed is reported.
func TestFolder(t *testing.T) {
	if dir := os.Getenv("TERNBEAM_TEST_OWN"); dir != "" { // the process that will be killed
		st, _, err := store.Open(store.Dir(dir), store.Settings{})
		if err != nil {
			t.Fatal(err)
		}
		if err := st.Put(rec("a", "1")); err != nil {
			t.Fatal(err)
		}
		os.Stdout.WriteString("owned\n")
		select {}
	}
	dir := t.TempDir()
	other := exec.Command(os.Args[0], "-test.run", "^TestFolder$")
	other.Env = append(os.Environ(), "TERNBEAM_TEST_OWN="+dir)
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	if _, err := out.Read(make([]byte, 6)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(store.Dir(dir), store.Settings{}); !errors.Is(err, store.ErrOwned) || !strings.Contains(err.Error(), "process ") {
		t.Errorf("%v", err)
	}
	if records, _, err := store.Peek(store.Dir(dir), store.Settings{}); err != nil || len(records) != 1 {
		t.Errorf("%v, %v", records, err)
	}
	if err := other.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	other.Wait()
	st, report, err := store.Open(store.Dir(dir), store.Settings{})
	if err != nil || !strings.HasPrefix(report.Left, "process ") || report.Records != 1 {
		t.Fatalf("%v, %+v", err, report)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	st, report, err = store.Open(store.Dir(dir), store.Settings{})
	if err != nil || report.Left != "" {
		t.Fatalf("%v, %+v", err, report)
	}
	if err := errors.Join(st.Close(), st.Close()); err != nil {
		t.Error(err)
	}
	if err := st.Put(rec("a", "1")); !errors.Is(err, store.ErrClosed) {
		t.Error(err)
	}
	if _, _, err := store.Open(store.Dir(filepath.Join(dir, "none")), store.Settings{}); err == nil {
		t.Error("opened a folder that does not exist")
	}
}

// A batch that exceeds a limit is rejected, and the store keeps its records.
func TestBatchLimits(t *testing.T) {
	st, _, err := store.Open(store.Dir(t.TempDir()), store.Settings{MaxBytes: 100, MaxRecords: 2})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		batch []store.Record
		fits  bool
	}{
		{[]store.Record{rec("a", strings.Repeat("x", 80))}, true},
		{[]store.Record{rec("b", strings.Repeat("x", 80))}, false},
		{[]store.Record{rec("a", "1"), rec("b", strings.Repeat("x", 80))}, true},
		{[]store.Record{rec("c", "1")}, false},
		{[]store.Record{rec("b", ""), rec("c", "1")}, true},
		{[]store.Record{rec("c", ""), rec("c", "1"), rec("c", "2")}, true},
		{[]store.Record{{Name: "", Kind: "k"}}, false},
	} {
		if err := st.Put(c.batch...); (err == nil) != c.fits {
			t.Errorf("%v: %v", c.batch, err)
		}
	}
	if a, _ := st.Get("a"); string(a.Body) != "1" || len(st.All()) != 2 {
		t.Errorf("%v", st.All())
	}
}
