package entry

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/fuchsiarelay/fuchsiarelay/internal/docset"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/quota"
	"github.com/fuchsiarelay/fuchsiarelay/internal/roster"
	"github.com/fuchsiarelay/fuchsiarelay/internal/subset"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	tickInterval    = 100 * time.Millisecond
	cleanupInterval = time.Second      // between cleanups of idle connections and of the state kept for targets
	reportInterval  = 10 * time.Second // between log lines with totals
	probeTimeout    = 400 * time.Millisecond
	maxColdMS       = 600_000 // a warm-up of this many milliseconds or more, stated by a target, is ignored
	eventQueueLen   = 256
	// statementDelay is how long membership statements are collected before they are sent on together. With this delay, a
	// statement that is passed on by a few processes still arrives in well below a second.
	statementDelay = 50 * time.Millisecond
	// directSyncAfter is how long this process waits for documents that a peer is known to have before it requests them from
	// that peer. It is longer than documents take to arrive through a reader.
	directSyncAfter = 400 * time.Millisecond
	// initialFleetSize is the number of processes that are assumed to share the fleet's limits until this process has had
	// time to learn of its peers.
	initialFleetSize = 64
)

// control holds the state of this process: published documents, routes, peers, and what is waiting to be sent to peers. Only
// the goroutine that runs loop accesses its mutable fields; other goroutines use post and postAndWait.
type control struct {
	entry              *Entry
	events             chan func(c *control, now time.Time)
	loopDone           chan struct{} // closed when loop has returned
	table              *table.Table
	documents          *docset.Set
	roster             *roster.View
	follower           *follower
	confirmedAt        time.Time // when the platform last confirmed the documents; zero: never
	pendingSyncs       []pendingSync
	peers              []string // IDs of the peers to which links are kept
	startedAt          time.Time
	lastCleanup        time.Time
	lastReport         time.Time
	lastLimitReport    time.Time
	permitPools        *quota.Pools      // permits for the targets whose allocator this process is
	reportedSends      map[string]uint64 // sends to targets with a rate limit as of lastLimitReport, by target ID
	compressionCache   compressionCache
	overloadDetector   subset.OverloadDetector
	recentlyChosen     subset.Recent[netip.AddrPort] // chosen processes, and those that may still send requests
	retryReserve       subset.ReserveShare           // divides the fleet's reserve of retries
	lastTick           time.Time
	addressInputs      addressInputs     // from which the current directory was computed
	busy               bool              // this process is overloaded, as overloadDetector reports
	pendingPauses      []pauseUpdate     // to be sent to peers
	pausesDue          time.Time         // when to send pendingPauses
	pendingDepartures  []departureUpdate // to be sent to peers
	seenReports        reportIDs         // IDs of crash and quarantine reports that were sent or received
	pendingCrashes     []poison.Crash    // crashes found by this process that may have to be reported to peers
	pauseLimiter       *rate.Limiter
	statementsDue      time.Time // when to send the waiting statements and departures; zero: not scheduled
	newestPeerRevision uint64    // highest revision of documents that a peer has reported
	behindSince        time.Time // since when newer documents are known to exist; zero: none are known
	directSyncRunning  bool      // a request of syncIfBehind for newer documents has not been answered yet
}

// addressInputs holds the values from which the directory is computed.
type addressInputs struct {
	rosterVersion        uint64 // version of the roster view
	connectionsPerTarget int
	majorityLost         bool
	ready                bool
	busy                 bool
}

// pendingSync is a peer's request for changed documents that has not been answered yet.
type pendingSync struct {
	after uint64    // revision up to which the peer has the documents
	until time.Time // when to answer even without newer documents
	reply func(peer.SyncReply)
}

func newControl(e *Entry, now time.Time) *control {
	seeds := make([]string, len(e.Seeds))
	for i, s := range e.Seeds {
		seeds[i] = s.String()
	}
	c := &control{
		entry: e, startedAt: now, compressionCache: compressionCache{}, pauseLimiter: newPauseLimiter(),
		events: make(chan func(*control, time.Time), eventQueueLen), loopDone: make(chan struct{}),
		table: table.New(), documents: docset.New(docset.Config{}), retryReserve: subset.ReserveShare{Window: roster.DefaultShrinkDelay, FirstOnVM: e.FirstOnVM},
		recentlyChosen: subset.Recent[netip.AddrPort]{Window: roster.DefaultShrinkDelay, Compare: netip.AddrPort.Compare},
		permitPools:    quota.NewPools(e.PeerAddr.String()),
		roster:         roster.New(roster.Config{DataCentre: e.DataCentre, Capacity: e.Capacity}, e.PeerAddr.String(), e.incarnation, seeds, now),
	}
	c.follower = &follower{entry: e, control: c}
	return c
}

// post passes an event to loop. An event is dropped only if loop has returned.
func (c *control) post(f func(c *control, now time.Time)) {
	select {
	case c.events <- f:
	case <-c.loopDone:
	}
}

// postAndWait runs f in loop, and waits until f or loop has returned.
func (c *control) postAndWait(f func(c *control, now time.Time)) {
	done := make(chan struct{})
	c.post(func(c *control, now time.Time) {
		f(c, now)
		close(done)
	})
	select {
	case <-done:
	case <-c.loopDone:
	}
}

// loop handles events and ticks until ctx ends.
func (c *control) loop(ctx context.Context) {
	defer close(c.loopDone)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	c.publish(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			c.entry.recoverPanic("event", func() { f(c, time.Now()) })
		case <-tick.C:
			now := time.Now()
			if !c.lastTick.IsZero() {
				c.busy = c.overloadDetector.Observe(now.Sub(c.lastTick) - tickInterval)
			}
			c.lastTick = now
			c.entry.recoverPanic("tick", func() { c.tick(now) })
		}
	}
}

// tick publishes the state, sends what is due to peers, and starts health checks. Every reportInterval it logs totals, and
// every cleanupInterval it cleans up and opens connections in advance.
func (c *control) tick(now time.Time) {
	if changed := c.documents.Tick(now); len(changed) > 0 {
		c.apply(changed)
	}
	c.publish(now)
	if !c.statementsDue.IsZero() && !now.Before(c.statementsDue) {
		c.sendStatements()
		c.sendDepartures()
	}
	c.sendPauses(now)
	c.sendCrashes(now)
	c.answerSyncs(now)
	c.startProbes(now)
	c.requestPermits(now)
	c.reportLimits(now)
	if now.Sub(c.lastReport) >= reportInterval {
		c.lastReport = now
		c.entry.Log.Info("traffic", "peers", c.entry.hub.Traffic(), "store_reads", c.follower.platformReads.Load(), "links_opened", c.entry.hub.LinksOpened(),
			"connections_opened", c.entry.pool.Dials(), "in_flight", c.entry.inFlight.Load(), "processes", c.roster.Size(now), "as_of", c.documents.AsOf())
	}
	if now.Sub(c.lastCleanup) >= cleanupInterval {
		c.lastCleanup = now
		view := c.entry.view.Load()
		c.entry.pool.Prune(now, view.HasTarget)
		c.preconnect(now)
		c.dropUnlisted(now, view)
	}
}

// dropUnlisted deletes the state of targets and routes that are no longer listed, and expired records of crashes.
func (c *control) dropUnlisted(now time.Time, view *table.View) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.balancer.Prune(now, view.HasTarget)
	e.predictor.Prune(view.HasTarget)
	e.permits.Prune(view.HasTarget)
	c.permitPools.Prune(now)
	maps.DeleteFunc(e.limitedSends, func(id string, _ uint64) bool { return !view.HasTarget(id) })
	e.delayEstimator.Prune(view.HasRoute)
	e.detector.Sweep(now)
}

// publish makes the current state visible to request handling and to peers.
func (c *control) publish(now time.Time) {
	e := c.entry
	c.roster.Tick(now)
	e.asOf.Store(c.documents.AsOf())
	view := c.table.View()
	e.view.Store(view)
	ready := view.Config != nil && c.documents.Complete()
	if e.ready.Swap(ready) != ready {
		e.Log.Info("readiness changed", "ready", ready, "as_of", c.documents.AsOf())
	}
	c.roster.SetState(ready, e.stopping.Load(), c.busy)
	e.statementsDigest.Store(c.roster.Digest())
	c.publishAddresses()
	c.publishShares(now, view)
	c.updateLinks(now)
	c.scheduleStatements(now)
}

// publishShares recomputes this process's shares of the limits of the fleet. It stores them in Entry.shares only if one of
// the values from which they are computed has changed.
func (c *control) publishShares(now time.Time, view *table.View) {
	e := c.entry
	old, d := e.shares.Load(), e.directory.Load()
	size, chosen := initialFleetSize, d.chosenAddrs()
	if c.roster.Settled(now) {
		size = c.roster.Size(now)
	}
	if e.stopping.Load() {
		// Callers that still use the address of this process are served with the same limits until the stop is complete.
		chosen = old.chosen
	}
	next := newShares(size, !e.FirstOnVM && now.Sub(c.startedAt) < predecessorIdleTimeout, e.callerAddr(), chosen, view)
	next.settled, next.senders = c.roster.Settled(now), c.recentlyChosen.Update(now, chosen)
	share := c.retryReserve.Share(now, subset.FleetCounts{Size: size, ChosenCount: len(chosen), StandbyCount: len(d.processes) - len(d.chosen), IsChosen: next.selfChosen})
	e.mu.Lock()
	e.budget.SetShare(share)
	e.balancer.SetProbers(size)
	e.permits.SetShare(1 / float64(size))
	e.mu.Unlock()
	c.updateAllocators(now)
	if old.fleetSize != next.fleetSize || old.recentStart != next.recentStart || old.view != view || old.settled != next.settled || !slices.Equal(old.chosen, next.chosen) || !slices.Equal(old.senders, next.senders) {
		previous := *old
		previous.previous = nil
		next.since, next.previous = now, &previous
		e.shares.Store(next)
	}
}

// publishAddresses recomputes the directory if one of its inputs has changed.
func (c *control) publishAddresses() {
	e := c.entry
	next := &directory{connectionsPerTarget: c.table.View().MinShardConnections(), majorityLost: c.roster.MajorityLost()}
	inputs := addressInputs{c.roster.Version(), next.connectionsPerTarget, next.majorityLost, e.Ready(), c.busy}
	if inputs == c.addressInputs {
		return
	}
	c.addressInputs = inputs
	if inputs.ready {
		next.processes = append(next.processes, entryProcess{addr: e.callerAddr(), dataCentre: e.DataCentre, capacity: e.Capacity, busy: c.busy})
	}
	for _, id := range c.roster.CallerList() {
		if addr, err := netip.ParseAddrPort(id); err == nil {
			s := c.roster.Statement(id)
			next.processes = append(next.processes, entryProcess{
				addr: netip.AddrPortFrom(addr.Addr(), e.CallerPort), dataCentre: s.DataCentre, capacity: s.Capacity, busy: s.Busy,
			})
		}
	}
	old := e.directory.Load()
	same := slices.Equal(old.processes, next.processes) && old.majorityLost == next.majorityLost
	if same && old.connectionsPerTarget == next.connectionsPerTarget {
		return
	}
	next.choose()
	e.directory.Store(next)
	if !same || !slices.Equal(old.chosen, next.chosen) {
		e.Log.Info("addresses for callers changed", "before", len(old.processes), "now", len(next.processes), "doubtful", next.majorityLost,
			"chosen", next.chosenAddrs(), "busy", c.busy)
	}
}

// updateLinks keeps links to the peers that the roster view selects, to other chosen processes, to the allocators of targets with
// a rate limit, and to the reader that this process follows.
func (c *control) updateLinks(now time.Time) {
	e := c.entry
	peers := append(c.roster.Peers(now), c.chosenPeers()...)
	peers = append(peers, c.allocatorPeers()...)
	if reader := c.readerToFollow(); reader != "" {
		peers = append(peers, reader)
	}
	slices.Sort(peers)
	peers = slices.Compact(peers)
	if slices.Equal(peers, c.peers) {
		return
	}
	c.peers = peers
	vms := make([]plat.VM, 0, len(peers))
	for _, id := range peers {
		if addr, err := netip.ParseAddrPort(id); err == nil {
			vms = append(vms, plat.VM{ID: id, PeerAddr: addr})
		}
	}
	e.hub.SetPeers(vms)
}

// readerToFollow returns the ID of the reader that this process follows. It is empty if this process is a reader itself or
// knows of no reader.
func (c *control) readerToFollow() string {
	self := c.entry.PeerAddr.String()
	readers := c.roster.Readers(readerCount(len(c.roster.Running()) + 1))
	if len(readers) == 0 || slices.Contains(readers, self) {
		return ""
	}
	return readers[xxhash.Sum64String(self)%uint64(len(readers))]
}

// linkedPeers returns the IDs of the reachable processes to which this process keeps a link.
func (c *control) linkedPeers() []string {
	return slices.DeleteFunc(slices.Clone(c.roster.Reachable()), func(id string) bool { return !slices.Contains(c.peers, id) })
}

// recordAlive records that a peer was alive at the given time, and publishes the new state if the peer had been silent.
func (c *control) recordAlive(now, at time.Time, id string) {
	if c.roster.RecordMessage(at, id) {
		c.publish(now)
	}
}

// scheduleStatements makes tick send the waiting statements and departures after statementDelay, together with those that
// arrive until then.
func (c *control) scheduleStatements(now time.Time) {
	if c.statementsDue.IsZero() {
		c.statementsDue = now.Add(statementDelay)
	}
}

// sendStatements sends the waiting membership statements to peers. A statement is sent neither to the peer that it came from
// nor to the process that it is about; only a suspicion is always sent to the suspected process.
func (c *control) sendStatements() {
	c.statementsDue = time.Time{}
	items := c.roster.TakePending(time.Now())
	if len(items) == 0 {
		return
	}
	for _, item := range items {
		// A suspected process must learn of the suspicion to refute it, whichever side has opened the link.
		if item.Statement.Down {
			c.entry.hub.SendOnAnyLink(item.Statement.VM, peer.Frame{Membership: &peer.Membership{Statements: []roster.Statement{item.Statement}}})
		}
	}
	for _, id := range c.roster.Recipients(c.entry.hub.Peers()) {
		var statements []roster.Statement
		for _, item := range items {
			if item.ReceivedFrom != id && item.Statement.VM != id {
				statements = append(statements, item.Statement)
			}
		}
		if len(statements) > 0 {
			c.entry.hub.SendOnAnyLink(id, peer.Frame{Membership: &peer.Membership{Statements: statements}})
		}
	}
}

// syncIfBehind records that a peer has the documents up to the revision asOf. If peers have had newer documents than this
// process for directSyncAfter, and these have not arrived through a reader, it requests them from the peer.
func (c *control) syncIfBehind(now time.Time, id string, asOf uint64) {
	if c.documents.AsOf() >= c.newestPeerRevision {
		c.behindSince = time.Time{}
	}
	c.newestPeerRevision = max(c.newestPeerRevision, asOf)
	switch {
	case asOf <= c.documents.AsOf():
	case c.behindSince.IsZero():
		c.behindSince = now
	case now.Sub(c.behindSince) >= directSyncAfter && !c.directSyncRunning:
		c.directSyncRunning = true
		c.entry.Log.Every("behind", time.Second).Info("a peer has newer documents", "peer", id, "mine", c.documents.AsOf(), "theirs", asOf)
		c.entry.hub.Sync(id, peer.SyncRequest{After: c.documents.AsOf()}, func(r peer.SyncReply) {
			c.post(func(c *control, now time.Time) {
				c.directSyncRunning = false
				c.mergeSyncReply(now, r)
			})
		})
	}
}

// mergeSyncReply merges the documents that a peer has sent into those of this process.
func (c *control) mergeSyncReply(now time.Time, r peer.SyncReply) {
	if r.LinkDown || r.AsOf == 0 {
		return
	}
	if err := decompress(r.Documents); err != nil {
		c.entry.Log.Error("cannot decompress documents of a peer", "error", err)
		return
	}
	age := time.Duration(r.AgeMS) * time.Millisecond
	if confirmedAt := now.Add(-age); r.AgeMS >= 0 && confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	c.applyAndPublish(now, c.documents.Merge(now, docset.Batch{Documents: r.Documents, AsOf: r.AsOf, Complete: r.Complete, LapsedKeys: r.LapsedKeys}))
}

// applyAndPublish applies changed documents, publishes the new state, and answers the peers that wait for it.
func (c *control) applyAndPublish(now time.Time, changed []plat.Document) {
	if len(changed) > 0 || c.entry.asOf.Load() != c.documents.AsOf() {
		c.apply(changed)
		c.publish(now)
	}
	c.answerSyncs(now)
}

// apply decodes changed documents and applies them to the routing table.
func (c *control) apply(docs []plat.Document) {
	e := c.entry
	for _, d := range docs {
		change, err := e.Decode(d)
		if err != nil {
			e.Log.Every("document", time.Second).Warn("cannot decode published document", "key", d.Key, "revision", d.Revision, "error", err)
		}
		c.applyChange(d, change)
	}
}

// applyChange applies the decoded content of one document to the routing table, and logs it. It also resets what is known of a
// target that has restarted, and records until when a target is cold.
func (c *control) applyChange(d plat.Document, change Change) {
	e := c.entry
	switch {
	case change.Config != nil:
		inForce := c.table.SetConfig(*change.Config)
		e.Log.Info("configuration", "version", change.Config.Version, "revision", d.Revision, "routes", len(change.Config.Routes), "in_force", inForce)
	case change.Target != nil:
		t := *change.Target
		old, known := c.table.Target(t.ID)
		c.table.SetTarget(t)
		if known && !old.Started.Equal(t.Started) { // the target has restarted
			e.mu.Lock()
			e.predictor.Forget(t.ID)
			e.permits.Forget(t.ID)
			e.balancer.Reset(t.ID)
			e.mu.Unlock()
		}
		if t.WarmupLeft > 0 || known && old.WarmupLeft > 0 {
			e.mu.Lock()
			e.balancer.SetColdUntil(t.ID, time.Now().Add(t.WarmupLeft))
			e.mu.Unlock()
		}
		if !known || old.Leaving != t.Leaving || old.Addr != t.Addr || old.Service != t.Service {
			e.Log.Info("target", "target", t.ID, "service", t.Service, "addr", t.Addr, "leaving", t.Leaving, "revision", d.Revision)
		}
	case change.RemovedTarget != "":
		c.table.RemoveTarget(change.RemovedTarget)
		e.Log.Info("target removed", "target", change.RemovedTarget, "revision", d.Revision)
	case change.ExcludedDataCentre != "":
		c.table.SetExcluded(change.ExcludedDataCentre, true)
		e.Log.Warn("data centre excluded", "data_centre", change.ExcludedDataCentre, "revision", d.Revision)
	case change.IncludedDataCentre != "":
		c.table.SetExcluded(change.IncludedDataCentre, false)
		e.Log.Info("data centre included again", "data_centre", change.IncludedDataCentre, "revision", d.Revision)
	}
}

// answerSyncs answers the peers that wait for documents if there are newer ones, if the wait is over, or if the documents
// of this process are stale.
func (c *control) answerSyncs(now time.Time) {
	remaining := c.pendingSyncs[:0]
	// A follower must turn to another source as soon as this process can't confirm that its own documents are current.
	stale := now.Sub(c.confirmedAt) > staleAfter
	for _, s := range c.pendingSyncs {
		if stale || c.documents.AsOf() > s.after || !now.Before(s.until) {
			s.reply(c.syncReply(now, s.after))
		} else {
			remaining = append(remaining, s)
		}
	}
	c.pendingSyncs = remaining
}

// syncReply returns the answer to a peer that has the documents up to the revision after. Its AgeMS is -1 if the platform has
// never confirmed the documents.
func (c *control) syncReply(now time.Time, after uint64) peer.SyncReply {
	b := c.documents.ChangesSince(after)
	docs, err := c.compressionCache.compress(b.Documents)
	if err != nil {
		c.entry.Log.Error("cannot compress documents for a peer", "error", err)
		docs = b.Documents
	}
	r := peer.SyncReply{Documents: docs, AsOf: b.AsOf, Complete: b.Complete, LapsedKeys: b.LapsedKeys, AgeMS: -1}
	if !c.confirmedAt.IsZero() {
		r.AgeMS = now.Sub(c.confirmedAt).Milliseconds()
	}
	return r
}

// startProbes starts health checks of the targets that are down, as place.Balancer has found, and due for a check. It logs
// which targets went down or are back.
func (c *control) startProbes(now time.Time) {
	e := c.entry
	e.mu.Lock()
	ids := e.balancer.DueProbes(now)
	changes := e.balancer.Changes()
	e.mu.Unlock()
	for _, change := range changes {
		if change.Down {
			e.Log.Every("out "+change.Target, time.Second).Warn("target taken out of use", "target", change.Target, "why", change.Reason.String(), "in_row", change.Consecutive, "last_reply_ms", change.SinceReply.Milliseconds())
		} else {
			e.Log.Every("back "+change.Target, time.Second).Info("target back in use", "target", change.Target, "evidence", "health page")
		}
	}
	for _, id := range ids {
		if t, ok := c.table.Target(id); ok && !t.Leaving && !c.table.HasDeparted(t) {
			p := &probe{entry: e, target: t, path: c.table.View().Service(t.Service).HealthPath}
			go p.run()
		}
	}
}

// probe is one health check of a target that is down. Its result goes to the place.Balancer.
type probe struct {
	entry  *Entry
	target table.Target
	path   string
}

func (p *probe) run() { p.entry.recoverPanic("probe", p.check) }

func (p *probe) check() {
	e, t := p.entry, p.target
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	e.pool.CloseIdle(t.ID)
	reply, err := e.pool.Do(ctx, pool.Target{ID: t.ID, Addr: t.Addr}, &pool.Request{Method: "GET", Head: pool.Head("GET", p.path, t.Addr.String(), nil, 0)})
	fromTarget := err == nil && reply.Header.Get(e.Names.Instance) == t.ID
	healthy := fromTarget && reply.Status == 200
	retryAfter := e.retryAfter(t.ID, reply)
	if fromTarget {
		e.handleLeavingHeader(&t, reply.Header)
	}
	coldFor := time.Duration(0)
	if ms, err := strconv.ParseFloat(reply.Header.Get(e.Names.Warmup), 64); fromTarget && err == nil && ms > 0 && ms < maxColdMS {
		coldFor = time.Duration(ms * float64(time.Millisecond))
	}
	e.mu.Lock()
	if retryAfter > 0 {
		e.balancer.SetBackoff(t.ID, time.Now().Add(retryAfter))
	}
	if coldFor > 0 {
		e.balancer.SetColdUntil(t.ID, time.Now().Add(coldFor))
	}
	e.balancer.RecordProbe(time.Now(), t.ID, healthy)
	e.mu.Unlock()
	e.Log.Every("probe "+t.ID, 5*time.Second).Info("health check of target that is out of use", "target", t.ID, "healthy", healthy, "status", reply.Status, "error", err)
}
