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

// secondaryTimeout is the time after which a secondary dispatcher that the primary can't reach may no longer send to the
// target. It equals the freshness bound: a process sends only on configuration evidence that is younger.
const secondaryTimeout = member.DefaultFreshFor

// defaultRetryAfter is the retry time sent with a refusal if no better estimate exists.
const defaultRetryAfter = 500 * time.Millisecond

// lane sends the work of this process to one target. It holds the queue, the concurrency limit and the client of the
// target.
type lane struct {
	dispatcher *Dispatcher
	id         string
	addr       netip.AddrPort

	mu          sync.Mutex
	target      plat.Target
	maxConns    int // largest number of connections of the client
	client      target.Client
	closeClient func()
	limit       *limit.Limiter
	queue       *admit.Queue[*job]
	running     map[*job]bool
	// isolatedJob is a job that waits until no other job of the lane is running. A request suspected of crashing targets runs
	// by itself, so that a second crash can only be attributed to this request.
	isolatedJob     *job
	lastStamp       target.Stamp // newest stamp received from the target
	servedSnapshots []target.Served
	retired         bool // see setRetired
	listedLeaving   bool
	probeRunning    bool
	lastProbe       time.Time
	lastCrash       crashReport
	// holdUntil is the time until which the primary dispatcher sends nothing new: after the level has fallen, the secondary
	// may still have more sub-requests running than its share of the lower level.
	holdUntil        time.Time
	levelChange      uint64 // newest LevelChange: sent by the primary, or received by the secondary
	ackedLevelChange uint64 // newest LevelChange that the secondary has acknowledged
	// trialWork is the last sub-request that completed. It is sent again as the trial request that raises the target from
	// level 0. Fronts send nothing to a target whose status is draining, so no request of a caller can be the trial there.
	trialWork peer.WorkRequest
}

// crashReport is the newest crash that this lane reported. It is retracted if a later reply shows that the target was
// not restarted, so that only the connection had broken.
type crashReport struct {
	at          time.Time
	incarnation uint64
}

// newLane returns a lane for a target of the newest snapshot.
func newLane(d *Dispatcher, t *state.Target) *lane {
	l := &lane{
		dispatcher: d, id: t.ID, addr: t.Addr, target: t.Target,
		levelChange: uint64(max(d.cfg.Now().UnixNano(), 0)), // a later process must not repeat the number of an earlier one
		limit:       limit.New(limit.Config{Slots: t.Slots}),
		queue:       admit.New[*job](admit.Config{Length: d.cfg.QueueLength}),
		running:     map[*job]bool{},
	}
	l.connect(t)
	return l
}

// connect creates the client with the connection limit in force, and closes the previous client. The caller holds mu,
// unless the lane is not yet shared.
func (l *lane) connect(t *state.Target) {
	if l.closeClient != nil {
		l.closeClient()
	}
	id := t.ID
	cfg := &l.dispatcher.cfg
	l.maxConns = t.Connections
	l.client, l.closeClient = cfg.NewClient(t.Target, target.Options{
		MaxConns: max(t.Connections, 1),
		Linger:   newConnCancelDelay,
		Gate:     func() error { return cfg.State.Load().CheckTarget(cfg.Now(), id, 0) },
	})
}

func (l *lane) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeClient()
}

// currentClient returns the client that is in use now.
func (l *lane) currentClient() target.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

// submit queues one work item, or refuses it.
func (l *lane) submit(ctx context.Context, w peer.WorkRequest, done func(peer.WorkReply)) {
	now := l.dispatcher.cfg.Now()
	j := &job{lane: l, work: w, done: done, deadline: now.Add(time.Duration(w.DeadlineMS) * time.Millisecond), ctx: ctx}
	snap := l.dispatcher.cfg.State.Load()
	if err := snap.CheckTarget(now, w.Target, w.Fingerprint); err != nil {
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
	retryAfter := l.queue.RetryAfter(now, w.Priority)
	l.mu.Unlock()
	accepted := refuseAll(refused, codes.Overloaded, "the target has no capacity left in time", retryAfter, j)
	if accepted {
		j.watchContext()
		l.dispatcher.cfg.Trace.Report(trace.Queued, j.requestID())
	}
	l.startWaiting()
}

// submitAtLevelZero handles a work item for a target at level 0. The primary dispatcher may use the item as the trial that
// raises the target to level 1; otherwise the item is refused. The caller holds mu, which submitAtLevelZero releases.
func (l *lane) submitAtLevelZero(now time.Time, snap *state.Snapshot, j *job) {
	trial := j.work.Sub != nil && !l.retired && snap.Rank(l.id) == 0 && snap.Share(l.id, 1) > 0 &&
		l.limit.TrialAllowed() && len(l.running) == 0 && l.limit.NextProbe(now) == limit.ProbeSubRequest
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
	l.dispatcher.wg.Go(j.run)
}

// refuseAll refuses the items, and reports whether the offered job is not among them.
func refuseAll(items []admit.Item[*job], code codes.Code, text string, retryAfter time.Duration, offered *job) (accepted bool) {
	accepted = true
	for _, item := range items {
		item.Value.refuse(code, text, retryAfter)
		accepted = accepted && item.Value != offered
	}
	return accepted
}

// startWaiting starts waiting jobs while this process has fewer jobs running than its share of the target.
func (l *lane) startWaiting() {
	now := l.dispatcher.cfg.Now()
	snap := l.dispatcher.cfg.State.Load()
	l.mu.Lock()
	share := snap.Share(l.id, l.limit.Level())
	l.queue.SetSlots(max(share, 1))
	if now.Before(l.holdUntil) {
		share = 0
	}
	var expired []admit.Item[*job]
	for len(l.running) < share && !l.suspectRunning(snap) {
		if l.isolatedJob != nil {
			if len(l.running) > 0 {
				break
			}
			l.start(l.isolatedJob)
			l.isolatedJob = nil
			break
		}
		item, late, ok := l.queue.Next(now)
		expired = append(expired, late...)
		if !ok {
			break
		}
		if snap.Suspected[item.Value.work.Fingerprint] {
			l.isolatedJob = item.Value
			continue
		}
		l.start(item.Value)
	}
	retryAfter := l.queue.RetryAfter(now, 0)
	l.mu.Unlock()
	refuseAll(expired, codes.DeadlineTooShort, "waited too long for a slot", retryAfter, nil)
}

// suspectRunning reports whether a request suspected of crashing targets is running. The caller holds mu.
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

// removeWaiting removes the waiting jobs for which drop returns true, and returns them. The caller holds mu.
func (l *lane) removeWaiting(drop func(*job) bool) []admit.Item[*job] {
	out := l.queue.RemoveFunc(drop)
	if l.isolatedJob != nil && drop(l.isolatedJob) {
		out = append(out, admit.Item[*job]{Value: l.isolatedJob})
		l.isolatedJob = nil
	}
	return out
}

// everyJob is the condition for removeWaiting that removes all waiting jobs.
func everyJob(*job) bool { return true }

// tick refuses waiting jobs whose deadline has passed, starts a health check or a trial that is due, and starts waiting
// jobs.
func (l *lane) tick() {
	now := l.dispatcher.cfg.Now()
	l.mu.Lock()
	expired := l.removeWaiting(func(j *job) bool { return !now.Before(j.deadline) })
	if !l.probeRunning && !l.retired && now.Sub(l.lastProbe) >= l.dispatcher.cfg.ProbeInterval {
		l.startProbe(now)
	}
	l.startTrial(now)
	l.mu.Unlock()
	refuseAll(expired, codes.DeadlineTooShort, "waited too long for a slot", defaultRetryAfter, nil)
	l.startWaiting()
}

// startTrial sends trialWork to a target at level 0 if a trial is due. The caller holds mu.
func (l *lane) startTrial(now time.Time) {
	snap := l.dispatcher.cfg.State.Load()
	if l.trialWork.Sub == nil || l.retired || len(l.running) > 0 || !l.limit.TrialAllowed() || snap.Rank(l.id) != 0 ||
		snap.Share(l.id, 1) == 0 || l.limit.NextProbe(now) != limit.ProbeSubRequest {
		return
	}
	l.start(&job{lane: l, work: l.trialWork, done: func(peer.WorkReply) {}, deadline: now.Add(maxAttemptTimeout), ctx: l.dispatcher.ctx})
}

// startProbe starts a request for the health page of the target. The caller holds mu.
func (l *lane) startProbe(now time.Time) {
	l.probeRunning = true
	l.lastProbe = now
	l.dispatcher.wg.Go(l.runProbe)
}

// applySnapshot applies a new snapshot. Waiting work that may no longer be sent is refused at once, so that the front that
// submitted the work can choose another target.
func (l *lane) applySnapshot(snap *state.Snapshot) {
	now := l.dispatcher.cfg.Now()
	t := snap.Targets[l.id]
	l.mu.Lock()
	if t != nil {
		l.applyTarget(now, t)
	}
	var recalled []admit.Item[*job]
	if t == nil || t.Block != nil || snap.Share(l.id, l.limit.Level()) == 0 {
		recalled = l.removeWaiting(everyJob)
	}
	l.mu.Unlock()
	refuseAll(recalled, codes.NotDispatcher, "the work was recalled", defaultRetryAfter, nil)
	l.startWaiting()
}

// applyTarget applies what the published lists say of the target. The caller holds mu.
func (l *lane) applyTarget(now time.Time, t *state.Target) {
	if t.Slots != l.target.Slots {
		l.limit.SetSlots(now, t.Slots)
	}
	listedLeaving := t.State == plat.Leaving
	switch {
	case listedLeaving && !l.listedLeaving:
		l.limit.Observe(now, limit.Observation{Kind: limit.ListedLeaving})
	case !listedLeaving && l.listedLeaving:
		l.limit.Observe(now, limit.Observation{Kind: limit.NoLongerLeaving})
	}
	l.listedLeaving = listedLeaving
	l.target = t.Target
	// While this process may open no connection to the target, its share is 0 and nothing is sent; the client is kept
	// until connections are allowed again.
	if t.Connections != l.maxConns && t.Connections > 0 {
		l.connect(t)
	}
}

// setRetired sets whether the lane is retired, because this process no longer dispatches the target. A retired lane refuses
// new work and all waiting jobs. The result is true if the lane is retired and idle, so that it can be closed.
func (l *lane) setRetired(retired bool) bool {
	l.mu.Lock()
	l.retired = retired
	if !retired {
		l.mu.Unlock()
		return false
	}
	recalled := l.removeWaiting(everyJob)
	idle := len(l.running) == 0 && !l.probeRunning
	l.mu.Unlock()
	refuseAll(recalled, codes.NotDispatcher, "the work was recalled", defaultRetryAfter, nil)
	return idle
}

// observe passes one observation of the target to the concurrency limit. If the level falls, observe refuses jobs that
// would wait too long. After a fall or a change of the incarnation, the primary sends nothing new until the secondary
// acknowledges the change or secondaryTimeout has passed. Every such change, and a rise of the level, is reported to Events.
func (l *lane) observe(observation limit.Observation) {
	now := l.dispatcher.cfg.Now()
	snap := l.dispatcher.cfg.State.Load()
	l.mu.Lock()
	change := l.limit.Observe(now, observation)
	var recalled []admit.Item[*job]
	if change.Lowered {
		// Jobs that can't start soon under the lower share are served faster by another replica.
		recalled = l.queue.Truncate(2 * snap.Share(l.id, l.limit.Level()))
	}
	if t := snap.Targets[l.id]; t != nil && len(t.Dispatchers) > 1 && snap.Rank(l.id) == 0 && (change.Lowered || change.Restarted) {
		l.levelChange++
		l.holdUntil = now.Add(secondaryTimeout)
	}
	status := l.statusForPeers(snap)
	l.mu.Unlock()
	refuseAll(recalled, codes.TargetRefused, "the target fell back; the work was recalled", defaultRetryAfter, nil)
	if change.Lowered || change.Raised || change.Restarted {
		l.dispatcher.cfg.Events.TargetChanged(status)
	}
}

// recordStamp records the stamp of a reply to a request that was sent at the time sent. If the request was sent after a
// reported crash and the incarnation is the same, the target is reported to Events as survived.
func (l *lane) recordStamp(sent time.Time, stamp target.Stamp) {
	l.mu.Lock()
	l.lastStamp = stamp
	survived := !l.lastCrash.at.IsZero() && sent.After(l.lastCrash.at)
	incarnation := l.lastCrash.incarnation
	if survived {
		l.lastCrash = crashReport{}
	}
	l.mu.Unlock()
	if survived && incarnation == stamp.Incarnation {
		l.dispatcher.cfg.Events.TargetSurvived(l.id, incarnation)
	}
}

// incarnation returns the incarnation that the limit holds, or else that of the newest stamp. The caller holds mu.
func (l *lane) incarnation() uint64 {
	if i := l.limit.Incarnation(); i != 0 {
		return i
	}
	return l.lastStamp.Incarnation
}

// statusForPeers returns what this dispatcher reports to its peers about the target. Only the primary states a level; the
// secondary repeats the state that the target sent. The caller holds mu.
func (l *lane) statusForPeers(snap *state.Snapshot) peer.TargetStatus {
	status := peer.TargetStatus{Target: l.id, Incarnation: l.incarnation(), State: l.lastStamp.State, Served: l.servedSnapshots}
	if snap.Rank(l.id) != 0 {
		status.AckedLevelChange = l.ackedLevelChange
		return status
	}
	status.Primary = true
	status.LevelChange = l.levelChange
	status.Level = l.limit.Level()
	switch l.limit.State() {
	case limit.Cold, limit.Warming, limit.Unreachable:
		status.State = target.Cold
	case limit.Draining:
		status.State = target.Draining
	case limit.Warm:
		status.State = target.Warm
	}
	if l.limit.TrialAllowed() && l.trialWork.Sub == nil {
		// Without trialWork, only a request of a caller can be the trial. Fronts send requests to a cold target, but not to
		// a draining one.
		status.State = target.Cold
	}
	return status
}

// applyPeerStatus applies the status of the target that a peer sent.
func (l *lane) applyPeerStatus(status peer.TargetStatus) {
	observation := limit.Observation{Kind: limit.PrimaryReport, Incarnation: status.Incarnation, State: status.State, Level: status.Level}
	if !status.Primary {
		// The secondary repeats what the target said of itself. Like a health page, that may be out of date.
		observation.Kind = limit.HealthPage
	}
	now := l.dispatcher.cfg.Now()
	snap := l.dispatcher.cfg.State.Load()
	l.mu.Lock()
	if (status.Primary && snap.Rank(l.id) != 0) || (!status.Primary && status.State != "") {
		l.limit.Observe(now, observation)
	}
	switch {
	case status.Primary && snap.Rank(l.id) > 0:
		l.levelChange = status.LevelChange
	case !status.Primary && snap.Rank(l.id) == 0 && status.AckedLevelChange == l.levelChange:
		l.holdUntil = time.Time{}
	}
	l.mu.Unlock()
	l.ackLevelChange()
	l.startWaiting()
}

// ackLevelChange acknowledges the newest level change to the primary, as soon as this dispatcher has no more jobs running
// than its share of the level.
func (l *lane) ackLevelChange() {
	snap := l.dispatcher.cfg.State.Load()
	l.mu.Lock()
	due := l.levelChange != l.ackedLevelChange && snap.Rank(l.id) > 0 && len(l.running) <= snap.Share(l.id, l.limit.Level())
	if due {
		l.ackedLevelChange = l.levelChange
	}
	status := l.statusForPeers(snap)
	l.mu.Unlock()
	if due {
		l.dispatcher.cfg.Events.TargetChanged(status)
	}
}

// runProbe requests the health page of the target and reports the status of the target to Events.
func (l *lane) runProbe() {
	ctx, cancel := context.WithTimeout(l.dispatcher.ctx, l.dispatcher.cfg.ProbeInterval)
	defer cancel()
	sent := l.dispatcher.cfg.Now()
	client := l.currentClient()
	health, err := client.Health(ctx)
	l.mu.Lock()
	l.probeRunning = false
	if err == nil {
		l.servedSnapshots = health.Served
	}
	l.mu.Unlock()
	if err == nil {
		l.recordStamp(sent, health.Stamp)
		l.observe(limit.Observation{Kind: limit.HealthPage, Incarnation: health.Incarnation, State: health.State, Slots: health.Load.Slots, Sent: sent})
	} else {
		client.Reset()
	}
	l.mu.Lock()
	status := l.statusForPeers(l.dispatcher.cfg.State.Load())
	l.mu.Unlock()
	l.dispatcher.cfg.Events.TargetChanged(status)
}

// workCount returns the number of running and waiting jobs.
func (l *lane) workCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.running) + l.queue.Len()
	if l.isolatedJob != nil {
		n++
	}
	return n
}

// laneStatus returns the status of the lane for the administration API.
func (l *lane) laneStatus() LaneStatus {
	snap := l.dispatcher.cfg.State.Load()
	l.mu.Lock()
	defer l.mu.Unlock()
	return LaneStatus{
		Target: l.id, Rank: snap.Rank(l.id), State: string(l.limit.State()), Level: l.limit.Level(),
		Share: snap.Share(l.id, l.limit.Level()), Running: len(l.running), Waiting: l.queue.Len(),
		Incarnation: l.limit.Incarnation(),
	}
}
