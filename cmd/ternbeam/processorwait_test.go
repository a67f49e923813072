package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// watchProcessorWaits returns what ends the watch and tells for how long the threads of a process have waited for a processor in sum, by the
// kernel's account (proc(5), schedstat): a process on a machine that is far too busy is held up by that as by standstills, in thousands of parts.
func watchProcessorWaits(pid int) (waited func() time.Duration) {
	const look = 20 * time.Millisecond
	over, sum := make(chan struct{}), make(chan time.Duration)
	go func() {
		most, before := time.Duration(0), processorWaits(pid)
		for {
			most = max(most, processorWaits(pid)-before) // less once threads have ended
			select {
			case <-over:
				sum <- most
				return
			case <-time.After(look):
			}
		}
	}()
	return func() time.Duration { close(over); return <-sum }
}

// processorWaits is for how long the threads of a process have waited so far; 0 where there is none.
func processorWaits(pid int) (sum time.Duration) {
	all, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range all {
		text, _ := os.ReadFile(path) // it may have ended
		sum += sysfault.ProcessorWait(string(text))
	}
	return sum
}
