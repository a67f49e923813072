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

	"ternbeam/internal/decide/asking"
	"ternbeam/internal/lab/testkit"
)

// watched names the address that the test's own process watches when it is started as another one.
const watched = "TERNBEAM_TEST_WATCHES"

// The process stands still for longer than a watch may be silent, and news come on it meanwhile: they are read when it goes on, and the
// watch, which was never silent, is not given up. Another process stands still here, by SIGSTOP.
func TestNewsOfAStandstillAreRead(t *testing.T) {
	const silence = 300 * time.Millisecond
	if addr := os.Getenv(watched); addr != "" {
		log := slog.New(slog.NewTextHandler(os.Stdout, nil))
		d := New(addr, List{Version: 7}, log)
		d.silence = silence
		d.KeepWatching(context.Background(), asking.New(oneAfterTheOther, 1), func(l List) { fmt.Println("version", l.Version) }, nil)
		return
	}
	stopped, told := make(chan struct{}), make(chan struct{})
	addr, asked := calls(t, func(w http.ResponseWriter, r *http.Request) {
		write(w, before)
		beat := time.NewTicker(silence / 10)
		defer beat.Stop()
		for running := true; running; {
			select {
			case <-beat.C:
				write(w, "\n")
			case <-stopped:
				running = false
			}
		}
		write(w, drains)
		close(told)
		<-r.Context().Done()
	}, silent)
	other := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
	other.Env = append(os.Environ(), watched+"="+addr, "GOMAXPROCS=1") // timers go before what has come then
	out, err := other.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Process.Kill(); other.Wait() })
	lines := bufio.NewScanner(out)
	says := func() string {
		if !lines.Scan() {
			t.Fatal("it has ended")
		}
		return lines.Text()
	}
	if line := says(); line != "version 8" {
		t.Fatal(line)
	}
	other.Process.Signal(syscall.SIGSTOP)
	testkit.Eventually(t, "it stands still", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", other.Process.Pid))
		return err == nil && strings.HasPrefix(string(stat[strings.LastIndexByte(string(stat), ')')+1:]), " T")
	})
	close(stopped)
	<-told
	time.Sleep(silence + standstill + 100*time.Millisecond) // the standstill itself
	other.Process.Signal(syscall.SIGCONT)
	if line := says(); line != "version 9" {
		t.Errorf("after the standstill: %s", line)
	}
	if n := len(asked); n != 1 {
		t.Errorf("%d calls", n)
	}
}
