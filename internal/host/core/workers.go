package core

import "sync/atomic"

// workers run attempts on goroutines that are reused: the stack of a used one has grown already, and growing a new one for
// each attempt costs more than the decision module's decision.
type workers struct {
	jobs chan func()
	idle *atomic.Int32
}

// maxIdleWorkers is the maximum number of goroutines that wait for a job.
const maxIdleWorkers = 64

func newWorkers() workers { return workers{jobs: make(chan func()), idle: new(atomic.Int32)} }

// run runs a job on an idle goroutine, or a new one if there is none.
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
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		job = <-w.jobs
		w.idle.Add(-1)
	}
}
