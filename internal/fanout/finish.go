package fanout

import (
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// dueFinish returns the Finish of the request if it can be answered now, or can't succeed any more; nil otherwise.
func (p *Plan) dueFinish(now time.Time) *Finish {
	answeredCount, givenUpCount, undecidedCount := 0, 0, 0
	for i := range p.parts {
		switch part := &p.parts[i]; {
		case part.hasReply:
			answeredCount++
		case part.givenUp:
			givenUpCount++
		default:
			undecidedCount++
		}
	}
	if len(p.route.Gather) == 0 {
		return p.dueSinglePartFinish(now)
	}
	total := len(p.parts)
	required := p.requiredParts()
	switch {
	case answeredCount == total:
		return p.answerFinish(ReasonComplete)
	case undecidedCount == 0 && answeredCount >= required:
		return p.answerFinish(ReasonPartsWithoutTarget)
	case total-givenUpCount < required:
		return p.failureFinish(ReasonTooManyPartsLost)
	case answeredCount >= required && !p.answerBy.IsZero() && !now.Before(p.answerBy):
		return p.answerFinish(ReasonGoalReached)
	case now.Before(p.deadline):
		return nil
	case answeredCount >= required:
		return p.answerFinish(ReasonDeadline)
	}
	if !p.mayHaveRun() {
		return p.failureFinish(ReasonDeadline)
	}
	return &Finish{Code: codes.DeadlineRunning, Reason: ReasonDeadline, MissingCount: total - answeredCount}
}

// requiredParts returns the least number of parts with which an answer is a success.
func (p *Plan) requiredParts() int {
	total := len(p.parts)
	for n := 1; n < total; n++ {
		if float64(n)/float64(total) >= p.route.MinCoverage {
			return n
		}
	}
	return total
}

// answerFinish returns the Finish of a request that is answered with the parts that have replied.
func (p *Plan) answerFinish(reason Reason) *Finish {
	f := &Finish{Code: codes.Complete, Reason: reason}
	for _, attemptID := range p.answeringAttempts {
		if attemptID >= 0 {
			f.AttemptIDs = append(f.AttemptIDs, attemptID)
		}
	}
	f.MissingCount = len(p.parts) - len(f.AttemptIDs)
	if f.MissingCount > 0 {
		f.Code = codes.Partial
	}
	return f
}

// failureFinish returns the Finish of a request that can't succeed any more. The code states that the request has not run
// only if no target can have run any part.
func (p *Plan) failureFinish(reason Reason) *Finish {
	if p.mayHaveRun() {
		return &Finish{Code: codes.OutcomeUnknown, Reason: reason, MissingCount: len(p.parts)}
	}
	f := &Finish{Code: codes.NoTarget, Reason: reason, MissingCount: len(p.parts), RetryAfter: p.cfg.DownRetryAfter}
	for i := range p.parts {
		if part := &p.parts[i]; !part.hasReply && (part.reason == ReasonBusy || part.reason == ReasonTargetsInBackoff || part.reason == ReasonRateLimited || part.reason == ReasonWaitsForSuspect) {
			f.Code, f.RetryAfter = codes.Overloaded, p.cfg.BusyRetryAfter
		}
	}
	// A caller that retried before the latest retryAt of the parts would be refused again.
	for i := range p.parts {
		part := &p.parts[i]
		if part.givenUp && part.reason == ReasonQuarantined {
			f.Code, f.Reason = codes.Quarantined, ReasonQuarantined
		}
		if part.givenUp && (part.reason == ReasonTargetsInBackoff || part.reason == ReasonRateLimited || part.reason == ReasonQuarantined) {
			f.RetryAfter = max(f.RetryAfter, part.retryAt.Sub(p.now))
		}
		if part.givenUp && part.reason == ReasonRateLimited {
			f.RateLimited = append(f.RateLimited, part.service)
		}
	}
	return f
}

// mayHaveRun reports whether a target may have run any attempt. The sends that Start is about to return don't count, because
// Start drops them if the request is refused.
func (p *Plan) mayHaveRun() bool {
	for i := range p.parts {
		if p.parts[i].hasReply || p.parts[i].failedAttempt >= 0 {
			return true
		}
	}
	if p.starting {
		return false
	}
	for i := range p.parts {
		if p.parts[i].possibleRuns > 0 {
			return true
		}
	}
	return false
}

// dueSinglePartFinish is dueFinish for a request with a single part, that is, not a gather request.
func (p *Plan) dueSinglePartFinish(now time.Time) *Finish {
	part := &p.parts[0]
	switch {
	case part.hasReply:
		return p.answerFinish(ReasonComplete)
	case part.givenUp && part.failedAttempt >= 0:
		return &Finish{Code: codes.TargetFailed, Reason: part.reason, AttemptIDs: []int{part.failedAttempt}}
	case part.givenUp && part.possibleRuns > 0:
		return &Finish{Code: codes.OutcomeUnknown, Reason: part.reason}
	case part.givenUp:
		return p.failureFinish(part.reason)
	case now.Before(p.deadline):
		return nil
	case part.possibleRuns > 0:
		return &Finish{Code: codes.DeadlineRunning, Reason: ReasonDeadline}
	}
	return &Finish{Code: codes.Overloaded, Reason: part.reason, RetryAfter: p.cfg.BusyRetryAfter}
}
