//go:build linux && (amd64 || arm64)

package sysfault

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// targetVariable is the environment variable that names the file of writeLines. It is set in the traced process only.
const targetVariable = "SYSFAULT_TEST_TARGET"

func TestMain(m *testing.M) {
	Main()
	if path, ok := os.LookupEnv(targetVariable); ok {
		writeLines(path)
		return
	}
	os.Exit(m.Run())
}

const line = "0123456789\n"

// writeLines writes two lines to a new file, by one call for each, and then prints the results of the calls.
func writeLines(path string) {
	fd, err := syscall.Open(path, syscall.O_WRONLY|syscall.O_CREAT, 0o600)
	if err != nil {
		fmt.Print(err)
		return
	}
	first, firstErr := syscall.Write(fd, []byte(line))
	second, secondErr := syscall.Write(fd, []byte(line))
	fmt.Println(first, firstErr, second, secondErr)
}

// runWriteLines runs writeLines in a traced process and returns the content of the file, which has the given name, and what was printed.
func runWriteLines(t *testing.T, name string, chosen []Call, decide Decider) (content, printed string) {
	t.Helper()
	output, err := os.CreateTemp(t.TempDir(), "output")
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), name)
	command := exec.Command(program)
	command.Env = append(os.Environ(), targetVariable+"="+path)
	process, err := Start(command, output, chosen, decide)
	if err != nil {
		t.Fatal(err)
	}
	defer process.Kill()
	select {
	case <-process.Ended():
	case <-time.After(20 * time.Second):
		t.Fatal("the traced process has not ended")
	}
	written, _ := os.ReadFile(path)
	shown, err := os.ReadFile(output.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(written), string(shown)
}

// onFirstWrite returns a Decider that applies an outcome to the first write and counts the writes.
func onFirstWrite(outcome Outcome, writes *int) Decider {
	return func(e Event) Outcome {
		if *writes++; *writes == 1 {
			return outcome
		}
		return Outcome{}
	}
}

func TestFailedCallIsNotExecuted(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.EINTR, syscall.ENOSPC} {
		writes := 0
		content, printed := runWriteLines(t, "file", []Call{Write}, onFirstWrite(Outcome{Errno: errno}, &writes))
		if want := fmt.Sprintln(-1, error(errno), len(line), nil); content != line || printed != want {
			t.Errorf("%v: the file has %q, want %q; printed was %q, want %q", errno, content, line, printed, want)
		}
	}
}

func TestLimitedCallTransfersFewerBytes(t *testing.T) {
	writes := 0
	content, printed := runWriteLines(t, "file", []Call{Write}, onFirstWrite(Outcome{Limit: 4}, &writes))
	if want := fmt.Sprintln(4, nil, len(line), nil); content != line[:4]+line || printed != want {
		t.Errorf("the file has %q; printed was %q, want %q", content, printed, want)
	}
}

func TestHeldCallIsDelayed(t *testing.T) {
	const hold = 150 * time.Millisecond
	began, writes := time.Now(), 0
	content, _ := runWriteLines(t, "file", []Call{Write}, onFirstWrite(Outcome{Hold: hold}, &writes))
	if took := time.Since(began); took < hold || content != line+line {
		t.Errorf("the process took %v, want %v at least; the file has %q", took, hold, content)
	}
}

func TestOnlyChosenCallsStop(t *testing.T) {
	seen := map[Call]int{}
	paths := map[string]bool{}
	runWriteLines(t, "chosen", []Call{OpenFile}, func(e Event) Outcome {
		seen[e.Call]++
		paths[filepath.Base(e.Path)] = true
		return Outcome{}
	})
	if len(seen) != 1 || seen[OpenFile] == 0 || !paths["chosen"] {
		t.Errorf("calls %v on the files %v", seen, paths)
	}
}
