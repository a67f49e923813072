package choice

// Reason says why a Balancer ordered an action. It is for logs and counts only: no decision depends on it.
type Reason int

// The reasons, by the kinds of the actions that have them.
const (
	NoReason Reason = iota // not stated

	// Of a Send.
	FirstAttempt
	Retry // the attempt before has ended without an answer
	Hedge // the attempt before is late

	// Of a Cancel.
	ServerSilent  // its server answers nobody
	OtherAnswered // another attempt of the request has

	// Of a Refuse or a Fail.
	Overloaded     // shed by the share of the slack that is used
	ServersBusy    // shed, as the best server drawn has too much in hand
	NoServer       // no server may be sent it
	NotRepeatable  // an attempt may have run, and no other may be made
	RetryBudget    // no further attempts are saved up
	MostAttempts   // it has had as many as it may
	AttemptNotSent // its last attempt could not be sent any more
	DeadlinePassed
	reasonCount
)

var reasonNames = [reasonCount]string{
	NoReason:       "none",
	FirstAttempt:   "first",
	Retry:          "retry",
	Hedge:          "hedge",
	ServerSilent:   "server silent",
	OtherAnswered:  "other answered",
	Overloaded:     "overloaded",
	ServersBusy:    "servers busy",
	NoServer:       "no server",
	NotRepeatable:  "not repeatable",
	RetryBudget:    "retry budget empty",
	MostAttempts:   "attempts used up",
	AttemptNotSent: "attempt not sent",
	DeadlinePassed: "deadline passed",
}

// String returns the reason in plain words.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// sendReason says why another attempt of a request is made.
func (r *request) sendReason() Reason {
	switch {
	case len(r.attempts) == 0:
		return FirstAttempt
	case r.out > 0:
		return Hedge
	}
	return Retry
}

// unsentReason says why a request that has no server to be sent to has none.
func (b *Balancer) unsentReason(r *request) Reason {
	first := r.mayHaveRun()
	windowOver := first != nil && r.class.Effect == Keyed && b.now+b.margin()-first.sent >= r.class.Window
	switch {
	case b.now >= r.Deadline:
		return DeadlinePassed
	case len(r.attempts) >= b.set.MaxAttempts:
		return MostAttempts
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
	Cancelled:     "canceled",
	NotSent:       "not sent",
}

// String returns the result in plain words.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}
