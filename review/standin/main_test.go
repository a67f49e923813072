//go:build review

package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by name. A case plays its story and tells what broke the rule by world.breaks. An error means that it could not run.
var cases = map[string]func(w *world, trouble bool) error{}

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

// TestMain runs one case: its name, then the path of the record. It exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	ended := make(chan int, 1)
	go func() { ended <- run(w, os.Args[1]) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	code := 2
	select {
	case code = <-ended:
	case s := <-interrupted:
		fmt.Fprintln(os.Stderr, "could not run:", s)
	case <-time.After(maxRun):
		fmt.Fprintln(os.Stderr, "could not run: it took too long")
	}
	w.close()
	os.Exit(code)
}

func run(w *world, name string) (code int) {
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, with the disruption: %t", name, trouble)
	defer func() {
		if cause := recover(); cause != nil {
			w.note("the stand-in panicked: %v", cause)
			fmt.Fprintln(os.Stderr, "could not run:", cause)
			code = 2
		}
	}()
	if err := cases[name](w, trouble); err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	w.mu.Lock()
	broken := w.broken
	w.mu.Unlock()
	for i, text := range broken {
		if i == 10 {
			fmt.Printf("and %d more\n", len(broken)-i)
			break
		}
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
