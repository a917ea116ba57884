package fanout

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Load pattern: some shards have too few targets left, or too slow ones, for the requests that come, and a request can do
// without a few parts only. If k shards can serve the shares c of the requests, and a request can do without m of them, up to
// sum(c)/(k-m) of the requests can be answered if each request asks another selection of these shards. If all requests ask the
// same ones, those are overloaded, and no request is answered in time.
//
// A shard is scarce if requests spend most of their time in the queue of its targets. Each request leaves out a random selection
// of the scarce shards, without coordination between processes.

// leaveOutParts removes the sends of parts that the request can do without. Start calls it before it returns the sends. Parts
// whose replies would be late without any queue are left out first, the slowest first. If the request can do without all parts
// at scarce shards, only those are left out that would take longer than Config.QueuedTimeShare of the time left. A queue that
// takes all of that time would make half of the replies late, and a shorter one keeps the targets as busy.
func (p *Plan) leaveOutParts(now time.Time, out []Action) []Action {
	if p.answerBy.IsZero() {
		return out
	}
	longestQueued := time.Duration(p.cfg.QueuedTimeShare * float64(p.answerBy.Sub(now)))
	var slow, scarce, tooLong []*Send // tooLong is a part of scarce
	for _, a := range out {
		expected := a.Send.Expected
		isLate := now.Add(expected.Time).After(p.answerBy)
		switch {
		case now.Add(expected.Time - expected.Queue).After(p.answerBy):
			slow = append(slow, a.Send)
		case expected.Queue > expected.Time/2:
			scarce = append(scarce, a.Send)
			if expected.Time > longestQueued {
				tooLong = append(tooLong, a.Send)
			}
		case isLate:
			slow = append(slow, a.Send)
		}
	}
	slices.SortFunc(slow, func(a, b *Send) int { return cmp.Compare(b.Expected.Time, a.Expected.Time) })
	dispensable := max(len(p.parts)-p.requiredParts()-p.givenUpParts(), 0)
	sendAnyway := p.cfg.SlowShardProbability
	out, dispensable = p.leaveOut(out, slow, dispensable, sendAnyway)
	if len(scarce) > dispensable {
		// Other requests show whether these shards recover.
		p.picker.Shuffle(len(scarce), func(i, j int) { scarce[i], scarce[j] = scarce[j], scarce[i] })
		out, _ = p.leaveOut(out, scarce, dispensable, 0)
		return out
	}
	out, _ = p.leaveOut(out, tooLong, dispensable, sendAnyway)
	return out
}

// leaveOut removes the first sends of a list from the actions, but no more than the limit. It keeps each of them with the
// probability sendAnyway. It returns the other actions and what is left of the limit.
func (p *Plan) leaveOut(out []Action, list []*Send, limit int, sendAnyway float64) ([]Action, int) {
	considered := min(limit, len(list))
	for _, send := range list[:considered] {
		if sendAnyway > 0 && p.picker.RandomBool(sendAnyway) {
			continue
		}
		part := &p.parts[send.Part]
		part.triedTargets, part.possibleRuns, part.possibleArrivals, part.openAttempts = nil, 0, 0, 0
		p.attempts[send.AttemptID].open = false
		p.giveUp(part, ReasonShardTooSlow)
		part.leftOut = true
		out = slices.DeleteFunc(out, func(a Action) bool { return a.Send.AttemptID == send.AttemptID })
	}
	return out, limit - considered
}

// overloadFinish returns the Finish of a request that is refused because it would be answered late for no other reason than the
// queues of overloaded shards: refused requests keep these queues short, so that others are answered in time. It returns nil if
// the request can be answered in time, or if it would be late without the queues as well.
func (p *Plan) overloadFinish(now time.Time, out []Action) *Finish {
	if p.answerBy.IsZero() {
		return nil
	}
	var wait time.Duration
	for _, a := range out {
		expected := a.Send.Expected
		if now.Add(expected.Time - expected.Queue).After(p.answerBy) {
			return nil
		}
		if now.Add(expected.Time).After(p.answerBy) {
			wait = max(wait, expected.Queue)
		}
	}
	if wait == 0 {
		return nil
	}
	retryAfter := time.Duration(float64(wait) * p.picker.RandomFactor(1))
	return &Finish{Code: codes.Overloaded, Reason: ReasonShardsOverloaded, MissingCount: len(p.parts), RetryAfter: max(retryAfter, p.cfg.BusyRetryAfter)}
}

// sendLeftOutParts sends parts that leaveOutParts has left out, if too many other parts were lost since.
func (p *Plan) sendLeftOutParts(now time.Time, out []Action) []Action {
	for i := range p.parts {
		part := &p.parts[i]
		if !part.leftOut || p.givenUpParts() <= len(p.parts)-p.requiredParts() {
			continue
		}
		part.leftOut, part.givenUp = false, false
		out = p.startAttempt(now, i, out)
		if part.openAttempts > 0 {
			p.picker.RecordFirstAttempt(now, part.service)
		}
	}
	return out
}

// givenUpParts returns the number of parts that are given up.
func (p *Plan) givenUpParts() (n int) {
	for i := range p.parts {
		if p.parts[i].givenUp {
			n++
		}
	}
	return n
}
