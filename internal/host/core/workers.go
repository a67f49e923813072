package core

import "sync/atomic"

// workers run attempts. A goroutine that has made one stays a while for the next: its stack has grown already, and
// growing one anew for each attempt costs more than the module's decision.
type workers struct {
	jobs chan func()
	idle *atomic.Int32
}

// mostIdle is how many goroutines wait for a job at the most.
const mostIdle = 64

func newWorkers() workers { return workers{jobs: make(chan func()), idle: new(atomic.Int32)} }

// run runs a job on a goroutine of its own.
func (w workers) run(job func()) {
	select {
	case w.jobs <- job:
	default:
		go w.work(job)
	}
}

func (w workers) work(job func()) {
	for {
		job()
		if w.idle.Add(1) > mostIdle {
			w.idle.Add(-1)
			return
		}
		job = <-w.jobs
		w.idle.Add(-1)
	}
}
