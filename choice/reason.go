package choice

// Reason says why a Balancer ordered an action. It is for logs and metrics only: no decision depends on it.
type Reason int

// The reasons, by the kinds of the actions that have them.
const (
	NoReason Reason = iota // not stated

	// Reasons for a Send.
	FirstAttempt
	Retry // the previous attempt ended without an answer
	Hedge // the previous attempt is late

	// Reasons for a Cancel.
	ServerSilent  // the server answers no request
	OtherAnswered // another attempt of the request was answered

	// Reasons for a Refuse or a Fail.
	Overloaded         // shed because of congestion
	ServersBusy        // shed because the best server drawn has too many requests in flight
	NoServer           // no server may get the request
	NotRepeatable      // an attempt may have run, and the request may not be repeated
	RetryBudgetEmpty   // the retry budget is empty
	MaxAttemptsReached // the request has had the maximum number of attempts
	AttemptNotSent     // the last attempt could not be sent any more
	DeadlinePassed
	reasonCount
)

var reasonNames = [reasonCount]string{
	NoReason:           "none",
	FirstAttempt:       "first",
	Retry:              "retry",
	Hedge:              "hedge",
	ServerSilent:       "server silent",
	OtherAnswered:      "other answered",
	Overloaded:         "overloaded",
	ServersBusy:        "servers busy",
	NoServer:           "no server",
	NotRepeatable:      "not repeatable",
	RetryBudgetEmpty:   "retry budget empty",
	MaxAttemptsReached: "attempts used up",
	AttemptNotSent:     "attempt not sent",
	DeadlinePassed:     "deadline passed",
}

// String returns the name of the reason, as logs and metrics have it.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// sendReason returns why another attempt of the request is made.
func (r *request) sendReason() Reason {
	switch {
	case len(r.attempts) == 0:
		return FirstAttempt
	case r.inFlight > 0:
		return Hedge
	}
	return Retry
}

// unsentReason returns why the request can be sent to no server.
func (b *Balancer) unsentReason(r *request) Reason {
	first := r.firstPossiblyRun()
	windowOver := first != nil && r.class.Effect == Keyed &&
		b.now+b.windowMargin()-first.sent >= r.class.DedupWindow
	switch {
	case b.now >= r.Deadline:
		return DeadlinePassed
	case len(r.attempts) >= b.settings.MaxAttempts:
		return MaxAttemptsReached
	case windowOver || first != nil && r.class.Effect == Unsafe:
		return NotRepeatable
	}
	return NoServer
}

var resultNames = [...]string{
	OK:            "served",
	Failed:        "error",
	Rejected:      "rejected",
	TimedOut:      "timed out",
	ConnectFailed: "no connection",
	Reset:         "reset",
	Canceled:      "canceled",
	NotSent:       "not sent",
}

// String returns the name of the result, as logs and metrics have it.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}
