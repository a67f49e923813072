package calltrack

import (
	"math"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
)

// routesToken identifies the timer at which rejections of shapes expire in the Router. It cannot collide with the decision
// module's tokens, which count up from 0.
const routesToken = math.MaxUint64

// setRequiredProtocols sets the protocols and shape capabilities that a server needs to receive a call with a shape. Package
// routes represents the capabilities as bits of choice.Protocols.
func (t *Tracker) setRequiredProtocols(call *Call) {
	if call.Shape.IsSet() && t.settings.Routes != nil {
		call.RequiredProtocols = t.settings.Routes.Needs(call.Shape, false)
	}
}

// moduleEntry returns an entry of the server list in the form for the decision module, with the capabilities by shape.
func (t *Tracker) moduleEntry(e Entry) choice.Server {
	if t.settings.Routes == nil {
		return e.Server
	}
	return t.settings.Routes.UpdateServer(e.Server, e.Shapes)
}

// routeTo returns how a call is sent to a server, or false if the server does not accept it. A call without a shape is sent
// unchanged.
func (t *Tracker) routeTo(call *Call, server string) (routes.Route, bool) {
	if !call.Shape.IsSet() || t.settings.Routes == nil {
		return routes.Route{Protocol: call.RequiredProtocols}, true
	}
	route, ok := t.settings.Routes.Route(call.Shape, server)
	// An untranslatable call can only be sent unchanged. The server accepted that when the decision module was asked, but no longer
	// does.
	return route, ok && (route.Plan == nil || call.untranslatable == nil)
}

// learnShape learns from the end of an attempt which shapes its server accepts.
func (t *Tracker) learnShape(at *Attempt, e AttemptOutcome) {
	switch {
	case e.RequestUntranslatable != nil:
		t.stats.UntranslatableCalls++
	case e.ReplyUntranslatable != nil:
		t.stats.UntranslatableReplies++
	}
	if t.settings.Routes == nil || at.Route.To == nil {
		return
	}
	switch {
	case e.ShapeUnknown:
		t.stats.UnknownShapes++
		t.updateModule(t.settings.Routes.MarkUnknown(t.now, at.Server.ID, time.Duration(at.Server.Started)*time.Millisecond, at.Route.To.Version))
	case e.Result == choice.OK:
		t.settings.Routes.MarkKnown(at.Server.ID, at.Route.To.Version)
	}
}

// updateModule gives the decision module the changed servers, and sets the timer at which the next rejection of a shape expires.
func (t *Tracker) updateModule(changed []choice.Server) {
	if len(changed) > 0 {
		t.handle(choice.ServerList{Servers: changed})
	}
	if at, any := t.settings.Routes.NextExpiry(); any && (t.routesTimer == 0 || at < t.routesTimer) {
		t.routesTimer = at
		t.emit(Command{Kind: SetTimer, Token: routesToken, At: at})
	}
}

// restartUntranslated asks the decision module for a server that accepts a call in its own shape, after the call could not be
// translated. To the decision module this is a new call, so it is done only if nothing was sent for it yet. It reports whether it
// did so.
func (t *Tracker) restartUntranslated(at *Attempt, why error) bool {
	call := at.Call
	if call.untranslatable == nil {
		call.untranslatable = why
	}
	if call.Finished() || at.Number > 0 || call.inFlight > 0 || t.settings.Routes == nil {
		return false
	}
	t.handle(choice.Outcome{Request: call.ID, Attempt: at.Number, Server: at.Server.ID, Result: choice.NotSent,
		Closed: true, Report: choice.NoReport})
	call.attempts = call.attempts[:0]
	call.RequiredProtocols = t.settings.Routes.Needs(call.Shape, true)
	t.handle(call.Request)
	return true
}

// ReplaceRoutes switches to another table of shapes. Calls in progress keep the table that they started with.
func (t *Tracker) ReplaceRoutes(now time.Duration, table *routes.Table) ([]Command, error) {
	t.startStep(now)
	changed, err := t.settings.Routes.ReplaceTable(table)
	if err != nil {
		return nil, err
	}
	t.updateModule(changed)
	return t.commands, nil
}
