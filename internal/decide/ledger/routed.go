package ledger

import (
	"math"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
)

// routesToken is that of the timer at which something is due to be forgotten by the routes. The module counts its own up
// from 0.
const routesToken = math.MaxUint64

// classify says what a server must be able to do to be sent a call. The shape that it came in tells that, where it has one.
func (l *Ledger) classify(call *Call) {
	if call.Tag.Set() && l.set.Routes != nil {
		call.Needs = l.set.Routes.Needs(call.Tag, false)
	}
}

// listedAs is what the module is told of an entry of the list.
func (l *Ledger) listedAs(e Entry) choice.Server {
	if l.set.Routes == nil {
		return e.Server
	}
	return l.set.Routes.Listed(e.Server, e.Shapes)
}

// way is how a call reaches a server: as it is, where it has no shape.
func (l *Ledger) way(call *Call, server string) (routes.Way, bool) {
	if !call.Tag.Set() || l.set.Routes == nil {
		return routes.Way{Protocol: call.Needs}, true
	}
	way, ok := l.set.Routes.Way(call.Tag, server)
	// One that can't be translated waited for a server that takes it as it came, which this one was.
	return way, ok && (way.Plan == nil || call.unfit == nil)
}

// routed learns from the end of an attempt what its server takes.
func (l *Ledger) routed(at *Attempt, e Ending) {
	switch {
	case e.Unfit != nil:
		l.stats.Unfit++
	case e.Untold != nil:
		l.stats.Untold++
	}
	if l.set.Routes == nil || at.Way.To == nil {
		return
	}
	switch {
	case e.ShapeUnknown:
		l.stats.Unknown++
		l.tell(l.set.Routes.Unknown(l.now, at.Server.ID, time.Duration(at.Server.Started)*time.Millisecond, at.Way.To.Version))
	case e.Result == choice.OK:
		l.set.Routes.Knew(at.Server.ID, at.Way.To.Version)
	}
}

// tell tells the module what servers can take from now on, and sees to it that what is learned is forgotten in time.
func (l *Ledger) tell(changed []choice.Server) {
	if len(changed) > 0 {
		l.handle(choice.ServerList{Servers: changed})
	}
	if at, any := l.set.Routes.Next(); any && (l.due == 0 || at < l.due) {
		l.due = at
		l.order(Order{Kind: SetTimer, Token: routesToken, At: at})
	}
}

// askAnew asks the module for a server that takes a call as it came, after it could not be translated. That is only done
// for one of which nothing was sent yet: to the module it is as if the call came now. It reports whether it did.
func (l *Ledger) askAnew(at *Attempt, why error) bool {
	call := at.Call
	if call.unfit == nil {
		call.unfit = why
	}
	if call.Over() || at.Number > 0 || call.out > 0 || l.set.Routes == nil {
		return false
	}
	l.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.NotSent,
		Closed: true, Report: choice.NoReport})
	call.attempts = call.attempts[:0]
	call.Needs = l.set.Routes.Needs(call.Tag, true)
	l.handle(call.Request)
	return true
}

// Reroute takes another table of shapes. Calls that are out keep theirs.
func (l *Ledger) Reroute(now time.Duration, t *routes.Table) ([]Order, error) {
	l.begin(now)
	changed, err := l.set.Routes.Replace(t)
	if err != nil {
		return nil, err
	}
	l.tell(changed)
	return l.orders, nil
}
