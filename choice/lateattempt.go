package choice

import "slices"

// Late attempts: hedging, and cancellation at silent servers.

// cancelAtSilent cancels the attempts at a silent server that may be made elsewhere, as far as the
// retry budget allows, except those whose answer has begun. Their outcomes start the new attempts.
func (b *Balancer) cancelAtSilent(s *server) {
	for _, a := range s.inFlight {
		a.req.inFlight-- // canMove is to decide as if the attempt were canceled already
		if b.settings.CanCancel && !a.answerStarted && b.canMove(a) {
			b.retryBudget--
			a.canceledAsSilent = true
			b.emit(Action{Kind: Cancel, Request: a.req.ID, Attempt: a.index, Reason: ServerSilent})
		}
		a.req.inFlight++
	}
}

// hedgeLate sends a second attempt for requests that are long overdue at a server which has been silent
// since the send while others answer. While servers that answer others lose some requests, it does so
// earlier and for any server.
func (b *Balancer) hedgeLate(s *server) {
	for _, a := range slices.Clone(s.inFlight) {
		hedge := b.lossRate > hedgeLossThreshold ||
			a.relativeWait(b) > silentHedgeDelay && s.lastHeard <= a.sent && b.laterSendAnswered(a)
		if hedge && a.relativeWait(b) > hedgeDelay {
			b.hedge(a)
		}
	}
}

// hedge sends a second attempt of a request whose only attempt in flight is late, if that is allowed.
func (b *Balancer) hedge(a *attempt) {
	if !a.req.BodyPending && a.req.inFlight == 1 && b.congestion < shedThreshold && b.canMove(a) {
		b.retryBudget--
		b.startAttempt(a.req)
	}
}

// handleAnswerStarted hedges an attempt whose answer has begun and does not continue. From its beginning on
// the answer may be long and its server slow in sending, which is no reason to cancel the attempt.
func (b *Balancer) handleAnswerStarted(e AnswerStarted) {
	r := b.requests[e.Request]
	if r == nil || r.closed || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].inFlight {
		return
	}
	a := r.attempts[e.Attempt]
	a.answerStarted = true
	if e.Stalled {
		b.hedge(a)
	}
}

// canMove reports whether an attempt may be repeated at another server.
func (b *Balancer) canMove(a *attempt) bool {
	eligible := func(o *server) bool { return o != a.srv && !b.isEjected(o) && b.maySend(a.req, o) }
	return b.retryBudget >= 1 && slices.ContainsFunc(b.servers, eligible)
}
