package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// watchProcessorWaits starts to measure how long the threads of a process wait for a processor in total, by the kernel's account (proc(5),
// schedstat). The returned function stops that and returns the result. On an overloaded machine thousands of such waits delay a process as much as
// stalls do.
func watchProcessorWaits(pid int) (waited func() time.Duration) {
	const checkInterval = 20 * time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		highest, initial := time.Duration(0), processorWaits(pid)
		for {
			highest = max(highest, processorWaits(pid)-initial) // the sum drops when threads exit
			select {
			case <-stop:
				result <- highest
				return
			case <-time.After(checkInterval):
			}
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}

// processorWaits returns how long the threads of a process have waited for a processor so far; 0 if there is no such process.
func processorWaits(pid int) (sum time.Duration) {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, path := range paths {
		text, _ := os.ReadFile(path) // the thread may have exited
		sum += sysfault.ProcessorWait(string(text))
	}
	return sum
}
