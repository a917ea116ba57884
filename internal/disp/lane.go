package disp

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/admit"
	"github.com/fuchsiarelay/fuchsiarelay/internal/limit"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// secondaryTimeout is the time after which a secondary that can't be told may no longer send: the freshness bound.
const secondaryTimeout = member.DefaultFreshFor

// defaultRetryAfter is what is told with a refusal when nothing better is known.
const defaultRetryAfter = 500 * time.Millisecond

// lane is the way to one target.
type lane struct {
	disp *Disp
	id   string
	addr netip.AddrPort

	mu          sync.Mutex
	target      plat.Target
	maxConns    int // connection bound that the client was made with
	client      target.Client
	closeClient func()
	limit       *limit.Target
	queue       *admit.Queue[*job]
	running     map[*job]bool
	// isolated waits until nothing else is running: a request under crash suspicion runs by itself, so that a second
	// crash has one explanation.
	isolated  *job
	lastStamp target.Stamp // what the target said last
	served    []target.Served
	retired   bool
	leaving   bool
	probing   bool
	lastProbe time.Time
	lastCrash crashReport
	// holdUntil is the time until which the primary sends nothing new, because the secondary may have more running than its
	// share of a level that has fallen.
	holdUntil        time.Time
	levelChange      uint64 // number of the newest fall that the primary has told of, or that the secondary has heard of
	ackedLevelChange uint64 // number of the newest fall that the secondary has answered
	// trialWork is the last sub-request that was answered well. It is repeated as the trial that brings the target back
	// from level 0: fronts send nothing to a target that takes no work, so no caller's request can be the trial.
	trialWork peer.Work
}

// crashReport is the newest crash that this lane reported and that may still turn out to be a broken connection.
type crashReport struct {
	at          time.Time
	incarnation uint64
}

func newLane(d *Disp, t *state.Target) *lane {
	l := &lane{
		disp: d, id: t.ID, addr: t.Addr, target: t.Target,
		levelChange: uint64(max(d.cfg.Now().UnixNano(), 0)), // a later process must not repeat a number
		limit:       limit.New(limit.Config{Slots: t.Slots}),
		queue:       admit.New[*job](admit.Config{Length: d.cfg.QueueLength}),
		running:     map[*job]bool{},
	}
	l.connect(t)
	return l
}

// connect makes the client for the connection bound in force. The caller holds mu, or nobody else knows the lane.
func (l *lane) connect(t *state.Target) {
	if l.closeClient != nil {
		l.closeClient()
	}
	id := t.ID
	cfg := &l.disp.cfg
	l.maxConns = t.Connections
	l.client, l.closeClient = cfg.NewClient(t.Target, target.Options{
		MaxConns: max(t.Connections, 1),
		Linger:   newConnCancelDelay,
		Gate:     func() error { return cfg.State.Load().MayUse(cfg.Now(), id, 0) },
	})
}

func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeClient()
}

// currentClient returns the client to use now.
func (l *lane) currentClient() target.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// submit queues one work item.
func (l *lane) submit(ctx context.Context, w peer.Work, done func(peer.WorkReply)) {
	now := l.disp.cfg.Now()
	j := &job{lane: l, work: w, done: done, deadline: now.Add(time.Duration(w.DeadlineMS) * time.Millisecond), ctx: ctx}
	snap := l.disp.cfg.State.Load()
	if err := snap.MayUse(now, w.Target, w.Fingerprint); err != nil {
		j.refuse(codes.Of(err), codes.Message(err), max(codes.RetryAfter(err), defaultRetryAfter))
		return
	}
	l.mu.Lock()
	if l.limit.Level() == 0 {
		l.submitAtLevelZero(now, snap, j)
		return
	}
	if l.retired || snap.Share(w.Target, l.limit.Level()) == 0 {
		l.mu.Unlock()
		j.refuse(codes.NotDispatcher, "no share of the target", defaultRetryAfter)
		return
	}
	refused := l.queue.Offer(now, admit.Item[*job]{Priority: w.Priority, Deadline: j.deadline, Value: j})
	after := l.queue.RetryAfter(now, w.Priority)
	l.mu.Unlock()
	accepted := refuseAll(refused, codes.Overloaded, "the target has no capacity left in time", after, j)
	if accepted {
		j.watchContext()
		l.disp.cfg.Trace.At(trace.Queued, j.requestID())
	}
	l.startWaiting()
}

// submitAtLevelZero handles work for a target at level 0: the primary may use it as the trial that brings the target
// back. The caller holds mu, which is released.
func (l *lane) submitAtLevelZero(now time.Time, snap *state.Snapshot, j *job) {
	trial := j.work.Sub != nil && !l.retired && snap.Rank(l.id) == 0 && snap.Share(l.id, 1) > 0 &&
		l.limit.WantsTrial() && len(l.running) == 0 && l.limit.Probe(now) == limit.ProbeWork
	if trial {
		l.start(j)
	}
	l.mu.Unlock()
	if !trial {
		j.refuse(codes.TargetRefused, "the target takes no new work", defaultRetryAfter)
	}
}

// start runs a job. The caller holds mu.
func (l *lane) start(j *job) {
	l.running[j] = true
	j.client, j.maxConns = l.client, l.maxConns
	l.disp.wg.Go(j.run)
}

// refuseAll refuses the items and reports whether own is not among them.
func refuseAll(items []admit.Item[*job], code codes.Code, text string, after time.Duration, own *job) (accepted bool) {
	accepted = true
	for _, it := range items {
		it.Value.refuse(code, text, after)
		accepted = accepted && it.Value != own
	}
	return accepted
}

// startWaiting starts waiting work while the share allows it.
func (l *lane) startWaiting() {
	now := l.disp.cfg.Now()
	snap := l.disp.cfg.State.Load()
	l.mu.Lock()
	share := snap.Share(l.id, l.limit.Level())
	l.queue.SetSlots(max(share, 1))
	if now.Before(l.holdUntil) {
		share = 0
	}
	var expired []admit.Item[*job]
	for len(l.running) < share && !l.suspectRunning(snap) {
		if l.isolated != nil {
			if len(l.running) > 0 {
				break
			}
			l.start(l.isolated)
			l.isolated = nil
			break
		}
		it, late, ok := l.queue.Next(now)
		expired = append(expired, late...)
		if !ok {
			break
		}
		if snap.Suspected[it.Value.work.Fingerprint] {
			l.isolated = it.Value
			continue
		}
		l.start(it.Value)
	}
	after := l.queue.RetryAfter(now, 0)
	l.mu.Unlock()
	refuseAll(expired, codes.DeadlineTooShort, "waited too long for a slot", after, nil)
}

// suspectRunning reports whether a request under crash suspicion is running. The caller holds mu.
func (l *lane) suspectRunning(snap *state.Snapshot) bool {
	if len(snap.Suspected) == 0 {
		return false
	}
	for j := range l.running {
		if snap.Suspected[j.work.Fingerprint] {
			return true
		}
	}
	return false
}

// removeWaiting takes waiting jobs out of the lane. The caller holds mu.
func (l *lane) removeWaiting(drop func(*job) bool) []admit.Item[*job] {
	out := l.queue.Remove(drop)
	if l.isolated != nil && drop(l.isolated) {
		out = append(out, admit.Item[*job]{Value: l.isolated})
		l.isolated = nil
	}
	return out
}

func everyJob(*job) bool { return true }

// tick expires waiting work and probes the target.
func (l *lane) tick() {
	now := l.disp.cfg.Now()
	l.mu.Lock()
	expired := l.removeWaiting(func(j *job) bool { return !now.Before(j.deadline) })
	if !l.probing && !l.retired && now.Sub(l.lastProbe) >= l.disp.cfg.ProbeInterval {
		l.startProbe(now)
	}
	l.startTrial(now)
	l.mu.Unlock()
	refuseAll(expired, codes.DeadlineTooShort, "waited too long for a slot", defaultRetryAfter, nil)
	l.startWaiting()
}

// startTrial sends the sample to a target at level 0 if it is time. The caller holds mu.
func (l *lane) startTrial(now time.Time) {
	snap := l.disp.cfg.State.Load()
	if l.trialWork.Sub == nil || l.retired || len(l.running) > 0 || !l.limit.WantsTrial() || snap.Rank(l.id) != 0 ||
		snap.Share(l.id, 1) == 0 || l.limit.Probe(now) != limit.ProbeWork {
		return
	}
	l.start(&job{lane: l, work: l.trialWork, done: func(peer.WorkReply) {}, deadline: now.Add(maxAttemptTimeout), ctx: l.disp.ctx})
}

// startProbe requests the health page. The caller holds mu.
func (l *lane) startProbe(now time.Time) {
	l.probing = true
	l.lastProbe = now
	l.disp.wg.Go(l.runProbe)
}

// applySnapshot adopts a new snapshot: work that may no longer be sent is returned at once, so that its front can
// re-plan.
func (l *lane) applySnapshot(snap *state.Snapshot) {
	now := l.disp.cfg.Now()
	t := snap.Targets[l.id]
	l.mu.Lock()
	if t != nil {
		l.applyTarget(now, t)
	}
	var out []admit.Item[*job]
	if t == nil || t.Block != nil || snap.Share(l.id, l.limit.Level()) == 0 {
		out = l.removeWaiting(everyJob)
	}
	l.mu.Unlock()
	refuseAll(out, codes.NotDispatcher, "the work was recalled", defaultRetryAfter, nil)
	l.startWaiting()
}

// applyTarget takes what is published of the target. The caller holds mu.
func (l *lane) applyTarget(now time.Time, t *state.Target) {
	if t.Slots != l.target.Slots {
		l.limit.SetSlots(now, t.Slots)
	}
	leaving := t.State == plat.Leaving
	switch {
	case leaving && !l.leaving:
		l.limit.Observe(now, limit.Sign{Kind: limit.Leave})
	case !leaving && l.leaving:
		l.limit.Observe(now, limit.Sign{Kind: limit.Return})
	}
	l.leaving = leaving
	l.target = t.Target
	// Without a connection the share is 0 and nothing is sent; the client is kept until there is one again.
	if t.Connections != l.maxConns && t.Connections > 0 {
		l.connect(t)
	}
}

// setRetired sets whether the lane takes no more work. A retired lane returns what waits; setRetired reports whether it is
// idle and can be closed.
func (l *lane) setRetired(retired bool) bool {
	l.mu.Lock()
	l.retired = retired
	if !retired {
		l.mu.Unlock()
		return false
	}
	out := l.removeWaiting(everyJob)
	idle := len(l.running) == 0 && !l.probing
	l.mu.Unlock()
	refuseAll(out, codes.NotDispatcher, "the work was recalled", defaultRetryAfter, nil)
	return idle
}

// observe feeds one sign to the limit and acts on the change.
func (l *lane) observe(s limit.Sign) {
	now := l.disp.cfg.Now()
	snap := l.disp.cfg.State.Load()
	l.mu.Lock()
	change := l.limit.Observe(now, s)
	var out []admit.Item[*job]
	if change.Fell {
		// What the lower share can't drain soon is better served by a replica.
		out = l.queue.Recall(2 * snap.Share(l.id, l.limit.Level()))
	}
	if t := snap.Targets[l.id]; t != nil && len(t.Dispatchers) > 1 && snap.Rank(l.id) == 0 && (change.Fell || change.Incarnation) {
		l.levelChange++
		l.holdUntil = now.Add(secondaryTimeout)
	}
	note := l.targetStatus(snap)
	l.mu.Unlock()
	refuseAll(out, codes.TargetRefused, "the target fell back; the work was recalled", defaultRetryAfter, nil)
	if change.Fell || change.Rose || change.Incarnation {
		l.disp.cfg.Events.TargetChanged(note)
	}
}

// recordStamp takes what the target says of itself in a reply to a request that was sent at sent.
func (l *lane) recordStamp(sent time.Time, s target.Stamp) {
	l.mu.Lock()
	l.lastStamp = s
	survived := !l.lastCrash.at.IsZero() && sent.After(l.lastCrash.at)
	incarnation := l.lastCrash.incarnation
	if survived {
		l.lastCrash = crashReport{}
	}
	l.mu.Unlock()
	if survived && incarnation == s.Incarnation {
		l.disp.cfg.Events.Survived(l.id, incarnation)
	}
}

// incarnation returns the newest incarnation known, from replies or else from the health page. The caller holds mu.
func (l *lane) incarnation() uint64 {
	if i := l.limit.Incarnation(); i != 0 {
		return i
	}
	return l.lastStamp.Incarnation
}

// targetStatus says what this dispatcher knows. Only the primary states a level; the secondary repeats what the target says.
// The caller holds mu.
func (l *lane) targetStatus(snap *state.Snapshot) peer.TargetStatus {
	n := peer.TargetStatus{Target: l.id, Incarnation: l.incarnation(), State: l.lastStamp.State, Served: l.served}
	if snap.Rank(l.id) != 0 {
		n.AckedLevelChange = l.ackedLevelChange
		return n
	}
	n.Primary = true
	n.LevelChange = l.levelChange
	n.Level = l.limit.Level()
	switch l.limit.State() {
	case limit.Cold, limit.Warming, limit.Gone:
		n.State = target.Cold
	case limit.Draining:
		n.State = target.Draining
	case limit.Warm:
		n.State = target.Warm
	}
	if l.limit.WantsTrial() && l.trialWork.Sub == nil {
		n.State = target.Cold // only a caller's request can be the trial
	}
	return n
}

// applyPeerStatus takes a peer's word on the target.
func (l *lane) applyPeerStatus(n peer.TargetStatus) {
	s := limit.Sign{Kind: limit.Note, Incarnation: n.Incarnation, State: n.State, Level: n.Level}
	if !n.Primary {
		// The secondary repeats the target's own word, which may be old, as a health page is.
		s.Kind = limit.Health
	}
	now := l.disp.cfg.Now()
	snap := l.disp.cfg.State.Load()
	l.mu.Lock()
	if (n.Primary && snap.Rank(l.id) != 0) || (!n.Primary && n.State != "") {
		l.limit.Observe(now, s)
	}
	switch {
	case n.Primary && snap.Rank(l.id) > 0:
		l.levelChange = n.LevelChange
	case !n.Primary && snap.Rank(l.id) == 0 && n.AckedLevelChange == l.levelChange:
		l.holdUntil = time.Time{}
	}
	l.mu.Unlock()
	l.ackLevelChange()
	l.startWaiting()
}

// ackLevelChange tells the primary that this dispatcher has no more running than its share of a level that has fallen.
func (l *lane) ackLevelChange() {
	snap := l.disp.cfg.State.Load()
	l.mu.Lock()
	due := l.levelChange != l.ackedLevelChange && snap.Rank(l.id) > 0 && len(l.running) <= snap.Share(l.id, l.limit.Level())
	if due {
		l.ackedLevelChange = l.levelChange
	}
	note := l.targetStatus(snap)
	l.mu.Unlock()
	if due {
		l.disp.cfg.Events.TargetChanged(note)
	}
}

// runProbe asks for the health page.
func (l *lane) runProbe() {
	ctx, cancel := context.WithTimeout(l.disp.ctx, l.disp.cfg.ProbeInterval)
	defer cancel()
	sent := l.disp.cfg.Now()
	client := l.currentClient()
	h, err := client.Health(ctx)
	l.mu.Lock()
	l.probing = false
	if err == nil {
		l.served = h.Served
	}
	l.mu.Unlock()
	if err == nil {
		l.recordStamp(sent, h.Stamp)
		l.observe(limit.Sign{Kind: limit.Health, Incarnation: h.Incarnation, State: h.State, Slots: h.Load.Slots, Sent: sent})
	} else {
		client.Reset()
	}
	l.mu.Lock()
	note := l.targetStatus(l.disp.cfg.State.Load())
	l.mu.Unlock()
	l.disp.cfg.Events.TargetChanged(note)
}

func (l *lane) workCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.running) + l.queue.Len()
	if l.isolated != nil {
		n++
	}
	return n
}

func (l *lane) status() Status {
	snap := l.disp.cfg.State.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	return Status{
		Target: l.id, Rank: snap.Rank(l.id), State: string(l.limit.State()), Level: l.limit.Level(),
		Share: snap.Share(l.id, l.limit.Level()), Running: len(l.running), Waiting: l.queue.Len(),
		Incarnation: l.limit.Incarnation(),
	}
}
