package calltrack

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
func (t *Tracker) classify(call *Call) {
	if call.Shape.IsSet() && t.set.Routes != nil {
		call.RequiredProtocols = t.set.Routes.Needs(call.Shape, false)
	}
}

// moduleEntry returns an entry of the server list as the module is given it, with the capabilities by shape.
func (t *Tracker) moduleEntry(e Entry) choice.Server {
	if t.set.Routes == nil {
		return e.Server
	}
	return t.set.Routes.UpdateServer(e.Server, e.Shapes)
}

// wayTo returns how a call is sent to a server, or false if the server does not accept it. A call without a shape is sent
// unchanged.
func (t *Tracker) wayTo(call *Call, server string) (routes.Route, bool) {
	if !call.Shape.IsSet() || t.set.Routes == nil {
		return routes.Route{Protocol: call.RequiredProtocols}, true
	}
	way, ok := t.set.Routes.Route(call.Shape, server)
	// An untranslatable call can only be sent unchanged. The server accepted that when the module was asked, but no longer does.
	return way, ok && (way.Plan == nil || call.untranslatable == nil)
}

// learnShape learns from the end of an attempt which shapes its server accepts.
func (t *Tracker) learnShape(at *Attempt, e AttemptOutcome) {
	switch {
	case e.RequestUntranslatable != nil:
		t.stats.UntranslatableCalls++
	case e.ReplyUntranslatable != nil:
		t.stats.UntranslatableReplies++
	}
	if t.set.Routes == nil || at.Route.To == nil {
		return
	}
	switch {
	case e.ShapeUnknown:
		t.stats.UnknownShapes++
		t.updateModule(t.set.Routes.MarkUnknown(t.now, at.Server.ID, time.Duration(at.Server.Started)*time.Millisecond, at.Route.To.Version))
	case e.Result == choice.OK:
		t.set.Routes.MarkKnown(at.Server.ID, at.Route.To.Version)
	}
}

// updateModule gives the module the changed servers, and sets the timer at which the routes next forget something.
func (t *Tracker) updateModule(changed []choice.Server) {
	if len(changed) > 0 {
		t.handle(choice.ServerList{Servers: changed})
	}
	if at, any := t.set.Routes.NextExpiry(); any && (t.routesTimer == 0 || at < t.routesTimer) {
		t.routesTimer = at
		t.emit(Command{Kind: SetTimer, Token: routesToken, At: at})
	}
}

// restartUntranslated asks the module for a server that accepts a call in its own shape, after the call could not be
// translated. To the module this is a new call, so it is done only if nothing was sent for it yet. It reports whether it did so.
func (t *Tracker) restartUntranslated(at *Attempt, why error) bool {
	call := at.Call
	if call.untranslatable == nil {
		call.untranslatable = why
	}
	if call.Finished() || at.Number > 0 || call.inFlight > 0 || t.set.Routes == nil {
		return false
	}
	t.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.NotSent,
		Closed: true, Report: choice.NoReport})
	call.attempts = call.attempts[:0]
	call.RequiredProtocols = t.set.Routes.Needs(call.Shape, true)
	t.handle(call.Request)
	return true
}

// ReplaceRoutes switches to another table of shapes. Calls in progress keep the table that they started with.
func (t *Tracker) ReplaceRoutes(now time.Duration, table *routes.Table) ([]Command, error) {
	t.startStep(now)
	changed, err := t.set.Routes.ReplaceTable(table)
	if err != nil {
		return nil, err
	}
	t.updateModule(changed)
	return t.commands, nil
}
