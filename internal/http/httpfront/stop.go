package httpfront

import (
	"context"
	"time"

	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/host/conntrack"
)

// Stop shuts the front down gracefully. Clients learn of the shutdown with a delay, so new connections are accepted for some
// more time, or not at all if another process accepts on the same socket. Connections without a request stay open for plan.Idle;
// a client that sends a request during that time is answered and notified that the connection closes. Then they are closed, while a
// client that has just written to one can still reconnect. After that, the requests already received are answered, within the
// time that the plan leaves. Connections on which nothing has been received by then are not waited for.
func (f *Front) Stop(begin time.Time, plan shutdown.Schedule) {
	end := begin.Add(plan.CloseBy)
	f.shuttingDown.Store(true)
	stage := f.startStageLog(begin)
	closed := make(chan struct{})
	go func() { f.listener.CloseAfter(plan.Accept, end); close(closed) }()
	time.Sleep(plan.Idle)
	// http.Server's Shutdown can't be used: it closes a connection that it considers idle while a request is being read from it. That
	// request would still be forwarded, and forwarded again when its client, which got no answer, retries.
	f.listener.CloseIdle()
	stage("idle connections told to end")
	<-closed
	stage("accepting ended")
	silent := time.AfterFunc(min(conntrack.SilentGrace, time.Until(end)-conntrack.AnswerWriteTime), func() {
		f.listener.CloseSilent()
		stage("silent connections told to end")
	})
	defer silent.Stop()
	if !f.waitEmpty(end.Add(-conntrack.AnswerWriteTime)) {
		f.listener.CloseUnfinished() // a request that is incomplete by now would be forwarded too late
		stage("unfinished requests told to end")
		if !f.waitEmpty(end) {
			f.log.Warn("connections were still open at the end", "connections", f.conns.Count())
		}
	}
	f.http.Close()
	stage("closed")
}

// waitEmpty waits until no connection is left or until the given time. It reports whether none is left.
func (f *Front) waitEmpty(deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return f.listener.WaitEmpty(ctx) == nil
}

// startStageLog logs the beginning of a shutdown and returns a function that logs each further stage.
func (f *Front) startStageLog(begin time.Time) (stage func(name string)) {
	f.log.Info("shutdown", "stage", "begun", "connections", f.conns.Count())
	return func(name string) {
		s := f.conns.Stats()
		f.log.Info("shutdown", "stage", name, "after", time.Since(begin).Round(time.Millisecond), "connections", f.conns.Count(), "accepted", s.Accepted,
			"closed_for_room", s.ClosedForRoom, "ended_idle", s.EndedIdle, "ended_silent", s.EndedSilent, "kept_begun", s.KeptPartial, "ended_begun", s.EndedPartial)
	}
}
