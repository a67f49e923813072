package ledger

import (
	"math"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
)

// routesToken identifies the timer at which the routes forget something. It cannot collide with the module's tokens, which
// count up from 0.
const routesToken = math.MaxUint64

// classify sets which capabilities a server needs to receive a call. They depend on the call's shape, if it has one.
func (t *Ledger) classify(call *Call) {
	if call.Tag.Set() && t.set.Routes != nil {
		call.Needs = t.set.Routes.Needs(call.Tag, false)
	}
}

// moduleEntry returns an entry of the server list as the module is given it, with the capabilities by shape.
func (t *Ledger) moduleEntry(e Entry) choice.Server {
	if t.set.Routes == nil {
		return e.Server
	}
	return t.set.Routes.Listed(e.Server, e.Shapes)
}

// wayTo returns how a call is sent to a server, or false if the server does not accept it. A call without a shape is sent
// unchanged.
func (t *Ledger) wayTo(call *Call, server string) (routes.Way, bool) {
	if !call.Tag.Set() || t.set.Routes == nil {
		return routes.Way{Protocol: call.Needs}, true
	}
	way, ok := t.set.Routes.Way(call.Tag, server)
	// An untranslatable call can only be sent unchanged. The server accepted that when the module was asked, but no longer does.
	return way, ok && (way.Plan == nil || call.untranslatable == nil)
}

// learnShape learns from the end of an attempt which shapes its server accepts.
func (t *Ledger) learnShape(at *Attempt, e Ending) {
	switch {
	case e.Unfit != nil:
		t.stats.Unfit++
	case e.Untold != nil:
		t.stats.Untold++
	}
	if t.set.Routes == nil || at.Way.To == nil {
		return
	}
	switch {
	case e.ShapeUnknown:
		t.stats.Unknown++
		t.updateModule(t.set.Routes.Unknown(t.now, at.Server.ID, time.Duration(at.Server.Started)*time.Millisecond, at.Way.To.Version))
	case e.Result == choice.OK:
		t.set.Routes.Knew(at.Server.ID, at.Way.To.Version)
	}
}

// updateModule gives the module the changed servers, and sets the timer at which the routes next forget something.
func (t *Ledger) updateModule(changed []choice.Server) {
	if len(changed) > 0 {
		t.handle(choice.ServerList{Servers: changed})
	}
	if at, any := t.set.Routes.Next(); any && (t.routesTimer == 0 || at < t.routesTimer) {
		t.routesTimer = at
		t.emit(Order{Kind: SetTimer, Token: routesToken, At: at})
	}
}

// restartUntranslated asks the module for a server that accepts a call in its own shape, after the call could not be
// translated. To the module this is a new call, so it is done only if nothing was sent for it yet. It reports whether it did so.
func (t *Ledger) restartUntranslated(at *Attempt, why error) bool {
	call := at.Call
	if call.untranslatable == nil {
		call.untranslatable = why
	}
	if call.Over() || at.Number > 0 || call.inFlight > 0 || t.set.Routes == nil {
		return false
	}
	t.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.NotSent,
		Closed: true, Report: choice.NoReport})
	call.attempts = call.attempts[:0]
	call.Needs = t.set.Routes.Needs(call.Tag, true)
	t.handle(call.Request)
	return true
}

// ReplaceRoutes switches to another table of shapes. Calls in progress keep the table that they started with.
func (t *Ledger) Reroute(now time.Duration, table *routes.Table) ([]Order, error) {
	t.startStep(now)
	changed, err := t.set.Routes.Replace(table)
	if err != nil {
		return nil, err
	}
	t.updateModule(changed)
	return t.commands, nil
}
