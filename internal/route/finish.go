package route

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// finishOrWake ends the plan if nothing more can arrive or matter, and otherwise says when to call Tick.
func (p *Plan) finishOrWake(out []Action, tick bool) []Action {
	if p.done {
		return out
	}
	covered, total := p.merge.Coverage()
	switch {
	case p.merge.Complete(), p.openCount == 0, !p.meetsMinimum(total-p.lost, total):
		return p.cancelAndFinish(out, p.outcomeCode(false))
	case !p.now.Before(p.query.Deadline):
		return p.cancelAndFinish(out, p.outcomeCode(true))
	case p.mayEndEarly(covered, total) && !p.now.Before(p.allLateAt()):
		return p.cancelAndFinish(out, p.outcomeCode(false))
	}
	at := p.nextWake(covered, total)
	if tick || at.Before(p.wakeAt) || !p.now.Before(p.wakeAt) {
		p.wakeAt = at
		out = append(out, Action{Kind: Wake, At: at})
	}
	return out
}

// meetsMinimum reports whether so many documents reach the minimum coverage. A minimum of 1 is compared as whole numbers,
// because the quotient of large counts rounds to 1.
func (p *Plan) meetsMinimum(documents, total uint64) bool {
	switch {
	case p.query.MinCoverage <= 0 || documents == total:
		return true
	case p.query.MinCoverage >= 1:
		return false
	}
	return float64(documents)/float64(total) >= p.query.MinCoverage
}

// mayEndEarly reports whether the query may end as soon as the rest is late: it prefers latency, has covered something,
// and has reached its minimum.
func (p *Plan) mayEndEarly(covered, total uint64) bool {
	return p.prefersLatency() && p.view.HedgeAfter > 0 && covered > 0 && p.meetsMinimum(covered, total)
}

// allLateAt is when all that runs is late: HedgeAfter after the newest running attempt was sent. A hedge or retry moves it,
// so what was sent in place of a straggler gets the time that a usual reply takes.
func (p *Plan) allLateAt() time.Time {
	for p.newestOpen > 0 && !p.attempts[p.newestOpen].open {
		p.newestOpen--
	}
	return p.attempts[p.newestOpen].sentAt.Add(p.view.HedgeAfter)
}

// nextWake is the earliest time at which something is to be done. Attempts are in order of sending, and each of the
// two limits is the same for all of them, so the earliest is the first that still counts.
func (p *Plan) nextWake(covered, total uint64) time.Time {
	at := p.query.Deadline
	for round := range p.hedgeFrom {
		if i := p.nextHedge(round); i < len(p.attempts) {
			at = earlier(at, p.hedgeAt(round, i))
		}
	}
	if i := p.nextTimeout(); i < len(p.attempts) {
		at = earlier(at, p.attempts[i].sentAt.Add(p.timeout))
	}
	if p.mayEndEarly(covered, total) {
		at = earlier(at, p.allLateAt())
	}
	return at
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// hedgeAt is when the look of that number is taken at an attempt.
func (p *Plan) hedgeAt(round, i int) time.Time {
	after := p.view.HedgeAfter
	if round > 0 {
		after = time.Duration(secondRoundFactor * float64(after))
	}
	return p.attempts[i].sentAt.Add(after)
}

// nextHedge returns the first attempt that this look may still hedge, or len(attempts).
func (p *Plan) nextHedge(round int) int {
	if p.cfg.NoHedge || p.query.Suspect || p.view.HedgeAfter <= 0 {
		return len(p.attempts)
	}
	from := &p.hedgeFrom[round]
	for *from < len(p.attempts) {
		if a := &p.attempts[*from]; a.open && !a.group.hedged {
			break
		}
		*from++
	}
	return *from
}

// nextTimeout returns the first attempt that may still time out, or len(attempts).
func (p *Plan) nextTimeout() int {
	if p.timeout <= 0 {
		return len(p.attempts)
	}
	for p.timeoutFrom < len(p.attempts) && !p.attempts[p.timeoutFrom].open {
		p.timeoutFrom++
	}
	return p.timeoutFrom
}

// recordEnd keeps what an ended attempt says about execution and about the reason of a refusal.
func (p *Plan) recordEnd(code codes.Code, retryAfter time.Duration) {
	p.retryAfter = max(p.retryAfter, retryAfter)
	if code.Ran() != codes.NotRun {
		p.maybeRan = true
		p.failed = p.failed || !code.OK()
		return
	}
	p.notRun++
	if refusalPriority(code) > refusalPriority(p.refusal) {
		p.refusal = code
	}
}

// refusalPriority orders refusals by what they tell the caller: the later in the switch, the less.
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

// outcomeCode is the code of the outcome. "Not run" is said only if every attempt ended with a refusal.
func (p *Plan) outcomeCode(late bool) codes.Code {
	covered, total := p.merge.Coverage()
	switch {
	case p.merge.Complete():
		return codes.Complete
	case covered > 0 && p.meetsMinimum(covered, total):
		return codes.Partial
	case covered > 0:
		return codes.CoverageTooLow
	case !p.maybeRan && p.openCount == 0 && p.refusal != 0:
		return p.refusal
	case !p.maybeRan && p.openCount == 0:
		return codes.NoTarget
	case late:
		return codes.DeadlineExceeded
	case p.wrongSnapshot || p.refusedVersion:
		return codes.SnapshotLost
	case p.failed:
		return codes.TargetFailed
	}
	return codes.CoverageTooLow
}

// cancelAndFinish cancels what is running and finishes.
func (p *Plan) cancelAndFinish(out []Action, code codes.Code) []Action {
	return append(p.cancelOpen(out), p.finish(code))
}

func (p *Plan) finish(code codes.Code) Action {
	p.done = true
	o := Outcome{Code: code, Sent: len(p.attempts), Needed: p.needed, Hedges: p.hedges, Retries: p.retriesSent}
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
