package discovery

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/lab/testkit"
)

// watchedAddrVar is the environment variable with the address to watch in a subprocess of the test.
const watchedAddrVar = "TERNBEAM_TEST_WATCHES"

// The process is suspended for longer than the silence timeout, and a change arrives meanwhile. After resuming, the change must be read,
// and the watch, which was never silent, must not be abandoned. A subprocess is suspended here, by SIGSTOP.
func TestChangeDuringSuspensionIsRead(t *testing.T) {
	const silence = 300 * time.Millisecond
	if addr := os.Getenv(watchedAddrVar); addr != "" {
		log := slog.New(slog.NewTextHandler(os.Stdout, nil))
		d := New(addr, List{Version: 7}, log)
		d.silenceTimeout = silence
		d.KeepWatching(context.Background(), pacing.New(sequentialCalls, 1), func(l List) { fmt.Println("version", l.Version) }, nil)
		return
	}
	stopped, sent := make(chan struct{}), make(chan struct{})
	addr, requests := startService(t, func(w http.ResponseWriter, r *http.Request) {
		write(w, inService)
		heartbeat := time.NewTicker(silence / 10)
		defer heartbeat.Stop()
		for running := true; running; {
			select {
			case <-heartbeat.C:
				write(w, "\n")
			case <-stopped:
				running = false
			}
		}
		write(w, draining)
		close(sent)
		<-r.Context().Done()
	}, silent)
	other := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	other.Env = append(os.Environ(), watchedAddrVar+"="+addr, "GOMAXPROCS=1") // timers run before pending reads then
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Process.Kill(); other.Wait() })
	lines := bufio.NewScanner(out)
	nextLine := func() string {
		if !lines.Scan() {
			t.Fatal("the subprocess has ended")
		}
		return lines.Text()
	}
	if line := nextLine(); line != "version 8" {
		t.Fatal(line)
	}
	other.Process.Signal(syscall.SIGSTOP)
	testkit.Eventually(t, "the subprocess is stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", other.Process.Pid))
		return err == nil && strings.HasPrefix(string(stat[strings.LastIndexByte(string(stat), ')')+1:]), " T")
	})
	close(stopped)
	<-sent
	time.Sleep(silence + suspensionMargin + 100*time.Millisecond) // the suspension itself
	other.Process.Signal(syscall.SIGCONT)
	if line := nextLine(); line != "version 9" {
		t.Errorf("after resuming: %s", line)
	}
	if n := len(requests); n != 1 {
		t.Errorf("%d calls", n)
	}
}
