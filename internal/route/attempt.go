package route

import (
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// groupBufSize is the length of the arrays inside a group. It is the largest number of targets that a group and the groups
// before it try with the default number of retries: one each for the first attempt, the hedge and DefaultMaxRetries retries.
const groupBufSize = 2 + DefaultMaxRetries

// group records the attempts of a set of shards: those that were requested together in a first attempt, or those that
// a retry requested together after an attempt of an earlier group had ended.
type group struct {
	tried    []int32 // numbers of the targets that attempts of the group, or of the groups before it, were sent to
	attempts []int32 // indexes in Plan.attempts
	retries  int
	hedged   bool // the group, or a group before it, has sent its hedge

	triedBuf, attemptsBuf [groupBufSize]int32 // initial arrays of tried and attempts, to save allocations
}

// newGroup returns an empty group. If parent is not nil, the new group is a retry of it: it excludes the targets that
// parent tried and counts one retry more.
func (p *Plan) newGroup(parent *group) *group {
	if len(p.groupPool) == cap(p.groupPool) {
		p.groupPool = make([]group, 0, 8)
	}
	p.groupPool = p.groupPool[:len(p.groupPool)+1]
	g := &p.groupPool[len(p.groupPool)-1]
	g.tried, g.attempts = g.triedBuf[:0], g.attemptsBuf[:0]
	if parent != nil {
		g.tried = append(g.tried, parent.tried...)
		g.retries, g.hedged = parent.retries+1, parent.hedged
	}
	return g
}

// attempt is one sub-request that was sent to a target.
type attempt struct {
	group        *group
	targetNumber int32
	hedge        bool
	running      bool
	sentAt       time.Time
	positions    []int32 // of its shards in the partition map, ascending
}

// batch holds the shards that are to be requested from one target.
type batch struct {
	targetNumber int32
	positions    []int32
	ids          []uint32
}

// makeBatches assigns the shards to targets and returns one batch per target. For a shard without a usable replica it
// calls onUnassigned, which returns the number of the target to use, or -1 to leave the shard out.
func (p *Plan) makeBatches(positions, tried []int32, onUnassigned func(pos int32) int32) []batch {
	chosen := p.chooseTargets(positions, tried)
	var out []batch
	for i, pos := range positions {
		if chosen[i] < 0 {
			chosen[i] = onUnassigned(pos)
		}
		n := chosen[i]
		if n >= 0 && p.batchScratch[n] == 0 {
			out = append(out, batch{targetNumber: n})
			p.batchScratch[n] = int32(len(out))
		}
	}
	p.fillBatches(out, positions, chosen)
	for _, b := range out {
		p.batchScratch[b.targetNumber] = 0
	}
	return out
}

// chooseTargets returns the target of each shard, -1 if there is none. With the rule Grouped, first attempts are assigned
// twice: to the fastest targets, and to fewer targets that are nearly as fast. The second assignment is used if it needs
// fewer targets and its busiest target gets no more shards than the busiest target of the first one: a target with
// more shards can lose more time than the saved sub-request is worth.
func (p *Plan) chooseTargets(positions, tried []int32) []int32 {
	chosen, chosenStats := p.assignTargets(positions, tried, false)
	if p.cfg.Choice != Grouped || len(tried) > 0 {
		return chosen
	}
	grouped, groupedStats := p.assignTargets(positions, tried, true)
	if groupedStats.targets < chosenStats.targets && groupedStats.maxShards <= chosenStats.maxShards {
		return grouped
	}
	return chosen
}

// assignmentStats sums up an assignment of shards to targets.
type assignmentStats struct {
	targets   int   // targets that have at least one shard
	maxShards int32 // shards of the target with the most shards
}

// assignTargets chooses a target for each shard. With minimizeTargets, replicas that are nearly as fast as others count
// as equal, and the one that spares a sub-request is preferred.
func (p *Plan) assignTargets(positions, tried []int32, minimizeTargets bool) ([]int32, assignmentStats) {
	p.minimizeTargets = minimizeTargets
	clear(p.unassignedShards)
	if minimizeTargets {
		for _, pos := range positions {
			p.addUnassigned(pos, 1)
		}
	}
	chosen := make([]int32, len(positions))
	for i, pos := range positions {
		chosen[i] = p.chooseReplica(pos, tried)
		if minimizeTargets {
			p.addUnassigned(pos, -1)
		}
		if chosen[i] >= 0 {
			p.batchScratch[chosen[i]]++
		}
	}
	var s assignmentStats
	for n, count := range p.batchScratch {
		if count > 0 {
			s.targets++
			s.maxShards = max(s.maxShards, count)
			p.batchScratch[n] = 0
		}
	}
	return chosen, s
}

// addUnassigned adds delta to the number of unassigned shards of each replica of a shard.
func (p *Plan) addUnassigned(pos, delta int32) {
	for _, n := range p.pinned.replicasAt(pos) {
		p.unassignedShards[n] += delta
	}
}

// fillBatches sets the shards of each batch, in the order of the partition map. The slices of all batches share two
// arrays, which saves allocations.
func (p *Plan) fillBatches(batches []batch, positions, chosen []int32) {
	shardCounts := make([]int32, len(batches)+1)
	for _, n := range chosen {
		if n >= 0 {
			shardCounts[p.batchScratch[n]]++
		}
	}
	allPositions, allIDs := make([]int32, len(positions)), make([]uint32, len(positions))
	start := int32(0)
	for i := range batches {
		end := start + shardCounts[i+1]
		batches[i].positions, batches[i].ids = allPositions[start:start:end], allIDs[start:start:end]
		start = end
	}
	for i, n := range chosen {
		if n < 0 {
			continue
		}
		b := &batches[p.batchScratch[n]-1]
		b.positions = append(b.positions, positions[i])
		b.ids = append(b.ids, p.pinned.Shards[positions[i]].ID)
	}
}

// send records a new attempt and returns the action that sends it.
func (p *Plan) send(now time.Time, g *group, b batch, hedge, retry bool) Action {
	i := len(p.attempts)
	p.attempts = append(p.attempts, attempt{group: g, targetNumber: b.targetNumber, hedge: hedge, running: true, sentAt: now, positions: b.positions})
	g.tried = append(g.tried, b.targetNumber)
	g.attempts = append(g.attempts, int32(i))
	p.runningCount++
	p.newestRunning = i
	return Action{
		Kind: Send, Attempt: uint64(i) + 1, Target: p.index.targets[b.targetNumber], Shards: b.ids,
		Generation: p.pinned.Generation, Version: p.pinned.Version, Hedge: hedge, Retry: retry,
	}
}

// markEnded marks an attempt as ended.
func (p *Plan) markEnded(i int) {
	p.attempts[i].running = false
	p.runningCount--
}

// cancel ends a running attempt and returns the action that cancels it. Whether the target has executed the
// attempt stays unknown, so the plan counts it as possibly executed.
func (p *Plan) cancel(i int) Action {
	p.markEnded(i)
	p.mayHaveRun = true
	return Action{Kind: Cancel, Attempt: uint64(i) + 1, Target: p.index.targets[p.attempts[i].targetNumber]}
}

// cancelRunning cancels all running attempts and appends the actions to out.
func (p *Plan) cancelRunning(out []Action) []Action {
	if p.runningCount == 0 {
		return out
	}
	for i := range p.attempts {
		if p.attempts[i].running {
			out = append(out, p.cancel(i))
		}
	}
	return out
}

// cancelRedundant cancels the running attempts of a group whose shards have all been merged in full, so that the
// attempts free their slots at the targets.
func (p *Plan) cancelRedundant(out []Action, g *group) []Action {
	for _, i := range g.attempts {
		if a := &p.attempts[i]; a.running && !slices.ContainsFunc(a.positions, p.isMissing) {
			out = append(out, p.cancel(int(i)))
		}
	}
	return out
}

// containsPosition reports whether the ascending positions contain pos.
func containsPosition(ascending []int32, pos int32) bool {
	_, ok := slices.BinarySearch(ascending, pos)
	return ok
}

// isMissing reports whether the shard at pos has not been merged in full yet.
func (p *Plan) isMissing(pos int32) bool { return !p.merge.ShardFullAt(int(pos)) }

// mergeReply merges the parts of a reply. It ignores parts of shards that the attempt did not request.
func (p *Plan) mergeReply(a *attempt, r Reply) {
	for _, part := range r.Parts {
		pos, ok := p.merge.Position(part.Shard)
		if !ok || !containsPosition(a.positions, int32(pos)) {
			continue
		}
		result := p.merge.Add(cover.Part{Generation: r.Generation, Version: r.Version, Shard: part.Shard, Documents: part.Documents, Hits: part.Hits})
		if result == cover.WrongSnapshot {
			p.gotWrongSnapshot = true
		}
	}
}

// retryUncovered retries the missing shards of an ended attempt that no running attempt covers. The documents of shards
// that can't be retried are lost for the pinned snapshot, so the plan may move to another snapshot instead.
func (p *Plan) retryUncovered(now time.Time, out []Action, i int, code codes.Code) []Action {
	a := p.attempts[i]
	uncovered := p.uncoveredShards(a)
	if len(uncovered) == 0 {
		return out
	}
	batches, notRetried := p.allowedRetries(a, uncovered, code)
	if len(notRetried) > 0 {
		for _, pos := range notRetried {
			p.lostDocuments += p.merge.ShardMissingAt(int(pos))
		}
		if replanActions, ok := p.replan(now); ok {
			return append(out, replanActions...)
		}
	}
	p.retriesSent += len(batches)
	for _, b := range batches {
		out = append(out, p.send(now, p.newGroup(a.group), b, false, true))
	}
	return out
}

// allowedRetries returns the batches of uncovered shards that may be retried, and the positions of those that may not be.
func (p *Plan) allowedRetries(a attempt, uncovered []int32, code codes.Code) (allowed []batch, notRetried []int32) {
	if !p.mayRetry(a.group, code) {
		return nil, uncovered
	}
	tried := a.group.tried
	if p.cfg.RetryTriedReplicas {
		tried = nil
	}
	for _, b := range p.makeBatches(uncovered, tried, func(pos int32) int32 {
		if retryOnSameTarget(code) && p.usable[a.targetNumber] {
			return a.targetNumber
		}
		notRetried = append(notRetried, pos)
		return -1
	}) {
		// A sub-request that the dispatcher itself refused never reached the target, so sending it again adds no load to
		// targets. If these retries were taken from the budget, a target whose new dispatchers wait for their share of its
		// slots would use up the retries of all other targets.
		refusedByDispatcher := retryOnSameTarget(code)
		if p.query.Suspect && p.hasRetriedSuspect || !refusedByDispatcher && !p.budget.AllowRetry() {
			notRetried = append(notRetried, b.positions...)
			continue
		}
		p.hasRetriedSuspect = p.query.Suspect
		allowed = append(allowed, b)
	}
	return allowed, notRetried
}

// uncoveredShards returns the missing shards of an ended attempt that no other running attempt of its group covers.
func (p *Plan) uncoveredShards(a attempt) []int32 {
	var out []int32
	for _, pos := range a.positions {
		if p.isMissing(pos) && !p.hasRunningAttempt(a.group, pos) {
			out = append(out, pos)
		}
	}
	return out
}

// hasRunningAttempt reports whether a running attempt of the group requests the shard at pos.
func (p *Plan) hasRunningAttempt(g *group, pos int32) bool {
	for _, i := range g.attempts {
		if other := &p.attempts[i]; other.running && containsPosition(other.positions, pos) {
			return true
		}
	}
	return false
}

// mayRetry reports whether shards of the group may be retried after a failure with this code.
func (p *Plan) mayRetry(g *group, code codes.Code) bool {
	if g.retries >= p.cfg.MaxRetries || !retryOnOtherReplica(code) {
		return false
	}
	// A suspect query may have crashed a target. If its first execution may still be running, a retry could crash a
	// second target at the same time.
	return !p.query.Suspect || !p.hasRetriedSuspect && code.Ran() != codes.Unknown
}

// retryOnOtherReplica reports whether another replica may succeed where this one failed with the code.
func retryOnOtherReplica(c codes.Code) bool {
	switch c {
	case codes.BadRequest, codes.TooLarge, codes.UnknownService, codes.UnknownClass, codes.Quarantined,
		codes.TenantLimit, codes.TokenInvalid, codes.TokenExpired:
		return false
	}
	return true
}

// retryOnSameTarget reports whether the refusal was caused by the state of the dispatcher and not of the target, so that
// the other dispatcher of the same target may accept the sub-request.
func retryOnSameTarget(c codes.Code) bool {
	switch c {
	case codes.NotDispatcher, codes.StaleView, codes.Stopping, codes.Starting:
		return true
	}
	return false
}

// Hedges are sent in two rounds. By definition one attempt in twenty runs longer than HedgeAfter, the 95th percentile of
// latency, so the late attempts of ordinary queries alone would use up the hedge budget. In the first round, HedgeAfter
// after an attempt was sent, a query therefore leaves a reserve in the budget: hedgeReserveShare of its attempts, twice the
// share of hedges that the budget allows. The second round, at secondRoundFactor times HedgeAfter, may use the reserve,
// because nearly all attempts that still run by then are stragglers.
const (
	hedgeReserveShare = 2 * DefaultHedgeShare
	secondRoundFactor = 1.5
	minUnreserved     = 5 // hedges of a full budget that stay outside the reserve, however many attempts the query has
)

// hedgeReserve returns the number of hedges that the first round leaves in the budget.
func (p *Plan) hedgeReserve() float64 {
	return min(hedgeReserveShare*float64(p.neededAttempts), maxTokens-minUnreserved)
}

// hedge sends the missing shards of a running attempt to a second target if the budget holds reserve and one hedge more.
func (p *Plan) hedge(now time.Time, out []Action, i int, reserve float64) []Action {
	a := p.attempts[i]
	b, ok := p.hedgeBatch(now, a)
	if !ok || !p.budget.allowHedgeAbove(reserve) {
		return out
	}
	a.group.hedged = true
	p.hedgesSent++
	return append(out, p.send(now, a.group, b, true, false))
}

// hedgeBatch returns the batch for the hedge of an attempt. Its target is the untried replica that holds most of the
// missing documents of the attempt, the one with the shortest expected wait on a tie. Replicas that are not expected to
// answer before the deadline are left out.
func (p *Plan) hedgeBatch(now time.Time, a attempt) (batch, bool) {
	best, mostDocuments := batch{targetNumber: -1}, uint64(0)
	var considered []int32
	for _, pos := range a.positions {
		for _, n := range p.pinned.replicasAt(pos) {
			r := &p.replicas[n]
			if !p.usable[n] || slices.Contains(a.group.tried, n) || slices.Contains(considered, n) || !now.Add(r.wait).Before(p.query.Deadline) {
				continue
			}
			considered = append(considered, n)
			b, documents := p.missingBatch(n, a.positions)
			if len(b.positions) == 0 {
				continue
			}
			if best.targetNumber < 0 || documents > mostDocuments || documents == mostDocuments && r.wait < p.replicas[best.targetNumber].wait {
				best, mostDocuments = b, documents
			}
		}
	}
	return best, best.targetNumber >= 0
}

// missingBatch returns a batch of the missing shards among positions that the target holds, and the number of their
// documents.
func (p *Plan) missingBatch(n int32, positions []int32) (batch, uint64) {
	b, docs := batch{targetNumber: n}, uint64(0)
	for _, pos := range positions {
		if p.isMissing(pos) && slices.Contains(p.pinned.replicasAt(pos), n) {
			b.positions = append(b.positions, pos)
			b.ids = append(b.ids, p.pinned.Shards[pos].ID)
			docs += p.pinned.Shards[pos].Documents
		}
	}
	return b, docs
}
