package route

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// finishOrWake finishes the plan if the result is final: it is complete, no attempt is running, the minimum coverage is out
// of reach, the deadline has passed, or a query that prefers latency need not wait any longer. Otherwise it adds a Wake
// action if HandleTimers has to be called earlier than the last Wake says, or if the time of the last Wake has come. If
// afterTimers is set, it always adds a Wake: HandleTimers has used up the last one, or a snapshot was pinned.
func (p *Plan) finishOrWake(out []Action, afterTimers bool) []Action {
	if p.finished {
		return out
	}
	covered, total := p.merge.Coverage()
	switch {
	case p.merge.Complete(), p.runningCount == 0, !p.meetsMinimum(total-p.lostDocuments, total):
		return p.cancelAndFinish(out, p.outcomeCode(false))
	case !p.now.Before(p.query.Deadline):
		return p.cancelAndFinish(out, p.outcomeCode(true))
	case p.mayEndEarly(covered, total) && !p.now.Before(p.allLateAt()):
		return p.cancelAndFinish(out, p.outcomeCode(false))
	}
	at := p.nextWake(covered, total)
	if afterTimers || at.Before(p.wakeAt) || !p.now.Before(p.wakeAt) {
		p.wakeAt = at
		out = append(out, Action{Kind: Wake, At: at})
	}
	return out
}

// meetsMinimum reports whether the given number of documents out of total reaches the minimum coverage. A minimum of 1 is
// compared in integers, because the floating-point quotient of two large counts can round to 1.
func (p *Plan) meetsMinimum(documents, total uint64) bool {
	switch {
	case p.query.MinCoverage <= 0 || documents == total:
		return true
	case p.query.MinCoverage >= 1:
		return false
	}
	return float64(documents)/float64(total) >= p.query.MinCoverage
}

// mayEndEarly reports whether the query may finish before the deadline without its late attempts: it prefers latency, at
// least one document is covered, and the minimum coverage is reached.
func (p *Plan) mayEndEarly(covered, total uint64) bool {
	return p.prefersLatency() && p.view.HedgeAfter > 0 && covered > 0 && p.meetsMinimum(covered, total)
}

// allLateAt returns the time from which all running attempts are late: HedgeAfter after the newest of them was sent. A
// hedge or a retry moves this time, so an attempt that replaces a straggler gets the time that a usual reply takes.
func (p *Plan) allLateAt() time.Time {
	for p.newestRunning > 0 && !p.attempts[p.newestRunning].running {
		p.newestRunning--
	}
	return p.attempts[p.newestRunning].sentAt.Add(p.view.HedgeAfter)
}

// nextWake returns the earliest time at which the plan must act: a hedge or a timeout is due, a query that prefers latency
// may finish, or the deadline passes. Attempts are in order of sending, and all of them have the same delays for hedges
// and timeouts, so for each delay the first attempt that still waits for it is due first.
func (p *Plan) nextWake(covered, total uint64) time.Time {
	at := p.query.Deadline
	for round := range p.hedgeFrom {
		if i := p.nextHedge(round); i < len(p.attempts) {
			at = earliest(at, p.hedgeAt(round, i))
		}
	}
	if i := p.nextTimeout(); i < len(p.attempts) {
		at = earliest(at, p.attempts[i].sentAt.Add(p.attemptTimeout))
	}
	if p.mayEndEarly(covered, total) {
		at = earliest(at, p.allLateAt())
	}
	return at
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hedgeAt returns the time at which attempt i is due for a hedge in the given round.
func (p *Plan) hedgeAt(round, i int) time.Time {
	after := p.view.HedgeAfter
	if round > 0 {
		after = time.Duration(secondRoundFactor * float64(after))
	}
	return p.attempts[i].sentAt.Add(after)
}

// nextHedge returns the first attempt that may still be hedged in the given round, or len(p.attempts) if there is none.
func (p *Plan) nextHedge(round int) int {
	if p.cfg.NoHedge || p.query.Suspect || p.view.HedgeAfter <= 0 {
		return len(p.attempts)
	}
	from := &p.hedgeFrom[round]
	for *from < len(p.attempts) {
		if a := &p.attempts[*from]; a.running && !a.group.hedged {
			break
		}
		*from++
	}
	return *from
}

// nextTimeout returns the first attempt that may still time out, or len(p.attempts) if there is none.
func (p *Plan) nextTimeout() int {
	if p.attemptTimeout <= 0 {
		return len(p.attempts)
	}
	for p.timeoutFrom < len(p.attempts) && !p.attempts[p.timeoutFrom].running {
		p.timeoutFrom++
	}
	return p.timeoutFrom
}

// recordEnd records the code of an ended attempt: whether the target may have executed the attempt and, if not, the reason
// of the refusal with the highest priority.
func (p *Plan) recordEnd(code codes.Code, retryAfter time.Duration) {
	p.retryAfter = max(p.retryAfter, retryAfter)
	if code.Ran() != codes.NotRun {
		p.mayHaveRun = true
		p.anyFailed = p.anyFailed || !code.OK()
		return
	}
	p.notRunCount++
	if refusalPriority(code) > refusalPriority(p.mainRefusal) {
		p.mainRefusal = code
	}
}

// refusalPriority orders refusals by how much they tell the caller. The refusal with the highest priority becomes the
// result of a query of which no attempt was executed.
func refusalPriority(c codes.Code) int {
	switch c {
	case 0:
		return 0
	case codes.Quarantined:
		return 5
	case codes.BadRequest, codes.TooLarge:
		return 4
	case codes.Overloaded, codes.TenantLimit:
		return 3
	case codes.TargetRefused, codes.DeadlineTooShort:
		return 2
	}
	return 1
}

// outcomeCode returns the result code of the query. A code that says "not run" is returned only if every attempt ended with
// a refusal.
func (p *Plan) outcomeCode(deadlinePassed bool) codes.Code {
	covered, total := p.merge.Coverage()
	switch {
	case p.merge.Complete():
		return codes.Complete
	case covered > 0 && p.meetsMinimum(covered, total):
		return codes.Partial
	case covered > 0:
		return codes.CoverageTooLow
	case !p.mayHaveRun && p.runningCount == 0 && p.mainRefusal != 0:
		return p.mainRefusal
	case !p.mayHaveRun && p.runningCount == 0:
		return codes.NoTarget
	case deadlinePassed:
		return codes.DeadlineExceeded
	case p.gotWrongSnapshot || p.gotVersionRefusal:
		return codes.SnapshotLost
	case p.anyFailed:
		return codes.TargetFailed
	}
	return codes.CoverageTooLow
}

// cancelAndFinish cancels all running attempts and finishes the plan with the code.
func (p *Plan) cancelAndFinish(out []Action, code codes.Code) []Action {
	return append(p.cancelRunning(out), p.finish(code))
}

// finish ends the plan and returns the Finish action with the outcome.
func (p *Plan) finish(code codes.Code) Action {
	p.finished = true
	o := Outcome{Code: code, Attempts: len(p.attempts), NeededAttempts: p.neededAttempts, Hedges: p.hedgesSent, Retries: p.retriesSent}
	if p.merge != nil {
		o.Generation, o.Version = p.pinned.Generation, p.pinned.Version
		o.Covered, o.Total = p.merge.Coverage()
		o.Complete = p.merge.Complete()
		o.Coverage = p.merge.Ratio()
		o.Hits = p.merge.Hits()
	}
	if !code.OK() {
		o.RetryAfter = max(p.retryAfter, defaultRetryAfter)
	}
	return Action{Kind: Finish, Outcome: o}
}
