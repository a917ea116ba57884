package route

import (
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// historySize is the number of attempts of a group with default retries: the first, one hedge, two retries.
const historySize = 2 + DefaultMaxRetries

// group is the history that a set of shards shares: it was asked for together, or it was split off together from an
// earlier group by a retry.
type group struct {
	tried    []int32 // target numbers
	attempts []int32 // positions in Plan.attempts
	retries  int
	hedged   bool

	triedBuf, attemptsBuf [historySize]int32
}

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

// attempt is one sub-request.
type attempt struct {
	group     *group
	target    int32
	hedge     bool
	open      bool
	sentAt    time.Time
	positions []int32 // of its shards in the partition map, ascending
}

// batch is the shards that are to be sent to one target.
type batch struct {
	target    int32
	positions []int32
	ids       []uint32
}

// batches assigns shards to replicas, one batch per target. Shards without a replica are passed to none.
func (p *Plan) batches(positions, tried []int32, onUnassigned func(pos int32) int32) []batch {
	chosen := p.chooseTargets(positions, tried)
	var out []batch
	for i, pos := range positions {
		if chosen[i] < 0 {
			chosen[i] = onUnassigned(pos)
		}
		n := chosen[i]
		if n >= 0 && p.batchScratch[n] == 0 {
			out = append(out, batch{target: n})
			p.batchScratch[n] = int32(len(out))
		}
	}
	p.fillBatches(out, positions, chosen)
	for _, b := range out {
		p.batchScratch[b.target] = 0
	}
	return out
}

// chooseTargets returns the target of each shard, -1 if there is none. Of first attempts it compares the fastest targets with
// fewer that are nearly as fast, and takes those if none of them gets more shards than the busiest of the fastest: more
// shards at one target can take longer than what a faster one saves.
func (p *Plan) chooseTargets(positions, tried []int32) []int32 {
	chosen, fastest := p.assignTargets(positions, tried, false)
	if p.cfg.Choice != Grouped || len(tried) > 0 {
		return chosen
	}
	other, fewer := p.assignTargets(positions, tried, true)
	if fewer.targets < fastest.targets && fewer.maxShards <= fastest.maxShards {
		return other
	}
	return chosen
}

// assignmentStats is the shape of an assignment.
type assignmentStats struct {
	targets   int
	maxShards int32 // shards of the busiest target
}

// assignTargets picks a target for each shard. With cover, replicas that are nearly as fast as others count as equal.
func (p *Plan) assignTargets(positions, tried []int32, minimizeTargets bool) ([]int32, assignmentStats) {
	p.minimizeTargets = minimizeTargets
	clear(p.unassigned)
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

// addUnassigned changes the gain of each replica of a shard.
func (p *Plan) addUnassigned(pos, delta int32) {
	for _, n := range p.pinned.replicasAt(pos) {
		p.unassigned[n] += delta
	}
}

// fillBatches gives each batch its shards in the order of the map, all from two arrays.
func (p *Plan) fillBatches(out []batch, positions, chosen []int32) {
	count := make([]int32, len(out)+1)
	for _, n := range chosen {
		if n >= 0 {
			count[p.batchScratch[n]]++
		}
	}
	allPositions, allIDs := make([]int32, len(positions)), make([]uint32, len(positions))
	from := int32(0)
	for i := range out {
		to := from + count[i+1]
		out[i].positions, out[i].ids = allPositions[from:from:to], allIDs[from:from:to]
		from = to
	}
	for i, n := range chosen {
		if n < 0 {
			continue
		}
		b := &out[p.batchScratch[n]-1]
		b.positions = append(b.positions, positions[i])
		b.ids = append(b.ids, p.pinned.Shards[positions[i]].ID)
	}
}

func (p *Plan) send(now time.Time, g *group, b batch, hedge, retry bool) Action {
	i := len(p.attempts)
	p.attempts = append(p.attempts, attempt{group: g, target: b.target, hedge: hedge, open: true, sentAt: now, positions: b.positions})
	g.tried = append(g.tried, b.target)
	g.attempts = append(g.attempts, int32(i))
	p.openCount++
	p.newestOpen = i
	return Action{
		Kind: Send, Attempt: uint64(i) + 1, Target: p.index.targets[b.target], Shards: b.ids,
		Generation: p.pinned.Generation, Version: p.pinned.Version, Hedge: hedge, Retry: retry,
	}
}

func (p *Plan) close(i int) {
	p.attempts[i].open = false
	p.openCount--
}

// cancel gives up a running attempt. Whether it has been run is unknown from then on.
func (p *Plan) cancel(i int) Action {
	p.close(i)
	p.maybeRan = true
	return Action{Kind: Cancel, Attempt: uint64(i) + 1, Target: p.index.targets[p.attempts[i].target]}
}

func (p *Plan) cancelOpen(out []Action) []Action {
	if p.openCount == 0 {
		return out
	}
	for i := range p.attempts {
		if p.attempts[i].open {
			out = append(out, p.cancel(i))
		}
	}
	return out
}

// cancelRedundant cancels the attempts of a group whose shards have all been merged in full, so that they free slots.
func (p *Plan) cancelRedundant(out []Action, g *group) []Action {
	for _, i := range g.attempts {
		if a := &p.attempts[i]; a.open && !slices.ContainsFunc(a.positions, p.isMissing) {
			out = append(out, p.cancel(int(i)))
		}
	}
	return out
}

func containsPosition(ascending []int32, pos int32) bool {
	_, ok := slices.BinarySearch(ascending, pos)
	return ok
}

func (p *Plan) isMissing(pos int32) bool { return !p.merge.FullAt(int(pos)) }

// mergeReply merges the parts of a reply that the attempt was asked for.
func (p *Plan) mergeReply(a *attempt, r Reply) {
	for _, part := range r.Parts {
		pos, ok := p.merge.Find(part.Shard)
		if !ok || !containsPosition(a.positions, int32(pos)) {
			continue
		}
		v := p.merge.Add(cover.Part{Generation: r.Generation, Version: r.Version, Shard: part.Shard, Documents: part.Documents, Hits: part.Hits})
		if v == cover.WrongSnapshot {
			p.wrongSnapshot = true
		}
	}
}

// retryOrphans sends the shards that an ended attempt leaves without a running one to other replicas. Those that can't be
// sent again are lost to this snapshot, which may make the plan move to another.
func (p *Plan) retryOrphans(now time.Time, out []Action, i int, code codes.Code) []Action {
	a := p.attempts[i]
	orphans := p.orphanedShards(a)
	if len(orphans) == 0 {
		return out
	}
	batches, lost := p.allowedRetries(a, orphans, code)
	if len(lost) > 0 {
		for _, pos := range lost {
			p.lost += p.merge.MissingAt(int(pos))
		}
		if acts, ok := p.replan(now); ok {
			return append(out, acts...)
		}
	}
	p.retriesSent += len(batches)
	for _, b := range batches {
		out = append(out, p.send(now, p.newGroup(a.group), b, false, true))
	}
	return out
}

// allowedRetries returns the batches that the budget allows for the orphans, and the orphans that are in none.
func (p *Plan) allowedRetries(a attempt, orphans []int32, code codes.Code) (allowed []batch, lost []int32) {
	if !p.mayRetry(a.group, code) {
		return nil, orphans
	}
	tried := a.group.tried
	if p.cfg.TryAgain {
		tried = nil
	}
	for _, b := range p.batches(orphans, tried, func(pos int32) int32 {
		if retryOnSameTarget(code) && p.usable[a.target] {
			return a.target
		}
		lost = append(lost, pos)
		return -1
	}) {
		// What a dispatcher refused by itself never reached a target, so sending it elsewhere adds no load. If it took
		// from the budget, a target whose new dispatchers wait for their share would use up the retries of all others.
		free := retryOnSameTarget(code)
		if p.query.Suspect && p.suspectRetried || !free && !p.budget.AllowRetry() {
			lost = append(lost, b.positions...)
			continue
		}
		p.suspectRetried = p.query.Suspect
		allowed = append(allowed, b)
	}
	return allowed, lost
}

// orphanedShards returns the missing shards of an ended attempt that no other running attempt of its group covers.
func (p *Plan) orphanedShards(a attempt) []int32 {
	var out []int32
	for _, pos := range a.positions {
		if p.isMissing(pos) && !p.hasOpenAttempt(a.group, pos) {
			out = append(out, pos)
		}
	}
	return out
}

func (p *Plan) hasOpenAttempt(g *group, pos int32) bool {
	for _, i := range g.attempts {
		if b := &p.attempts[i]; b.open && containsPosition(b.positions, pos) {
			return true
		}
	}
	return false
}

func (p *Plan) mayRetry(g *group, code codes.Code) bool {
	if g.retries >= p.cfg.MaxRetries || !retryOnOtherReplica(code) {
		return false
	}
	// A suspect whose first run may still go on could be the cause of a second crash at the same time.
	return !p.query.Suspect || !p.suspectRetried && code.Ran() != codes.Unknown
}

// retryOnOtherReplica reports whether a failure may not repeat at another replica.
func retryOnOtherReplica(c codes.Code) bool {
	switch c {
	case codes.BadRequest, codes.TooLarge, codes.UnknownService, codes.UnknownClass, codes.Quarantined,
		codes.TenantLimit, codes.TokenInvalid, codes.TokenExpired:
		return false
	}
	return true
}

// retryOnSameTarget reports whether the refusal came from the dispatcher's own state, so that the target's other
// dispatcher may still serve it.
func retryOnSameTarget(c codes.Code) bool {
	switch c {
	case codes.NotDispatcher, codes.StaleView, codes.Stopping, codes.Starting:
		return true
	}
	return false
}

// Late attempts of an ordinary run use up the hedge budget, because by definition one in twenty is past the 95th
// percentile. A query keeps hedgeReserveShare of its attempts in reserve, twice the share of stragglers that the budget is
// made for; the reserve goes to attempts that are still running at secondRoundFactor times HedgeAfter, when nearly
// only stragglers are. The simulation's figures with and without it are in the commit that added it.
const (
	hedgeReserveShare = 2 * DefaultHedgeShare
	secondRoundFactor = 1.5
	minUnreserved     = 5 // of maxSaved that any late attempt may use, whatever the width of the query
)

func (p *Plan) hedgeReserve() float64 {
	return min(hedgeReserveShare*float64(p.needed), maxTokens-minUnreserved)
}

// hedge sends the missing shards of a running attempt a second time if more than reserve is left in the budget.
func (p *Plan) hedge(now time.Time, out []Action, i int, reserve float64) []Action {
	a := p.attempts[i]
	b, ok := p.hedgeBatch(now, a)
	if !ok || !p.budget.allowHedgeAbove(reserve) {
		return out
	}
	a.group.hedged = true
	p.hedges++
	return append(out, p.send(now, a.group, b, true, false))
}

// hedgeBatch returns the untried replica that holds most of what the attempt lacks, the least loaded on a tie.
// A replica that is not expected to answer before the deadline is not asked.
func (p *Plan) hedgeBatch(now time.Time, a attempt) (batch, bool) {
	best, most := batch{target: -1}, uint64(0)
	var seen []int32
	for _, pos := range a.positions {
		for _, n := range p.pinned.replicasAt(pos) {
			r := &p.replicas[n]
			if !p.usable[n] || slices.Contains(a.group.tried, n) || slices.Contains(seen, n) || !now.Add(r.wait).Before(p.query.Deadline) {
				continue
			}
			seen = append(seen, n)
			b, docs := p.missingBatch(n, a.positions)
			if len(b.positions) == 0 {
				continue
			}
			if best.target < 0 || docs > most || docs == most && r.wait < p.replicas[best.target].wait {
				best, most = b, docs
			}
		}
	}
	return best, best.target >= 0
}

// missingBatch returns the missing shards among positions that the target holds, and their documents.
func (p *Plan) missingBatch(n int32, positions []int32) (batch, uint64) {
	b, docs := batch{target: n}, uint64(0)
	for _, pos := range positions {
		if p.isMissing(pos) && slices.Contains(p.pinned.replicasAt(pos), n) {
			b.positions = append(b.positions, pos)
			b.ids = append(b.ids, p.pinned.Shards[pos].ID)
			docs += p.pinned.Shards[pos].Documents
		}
	}
	return b, docs
}
