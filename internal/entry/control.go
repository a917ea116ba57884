package entry

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/fuchsiarelay/fuchsiarelay/internal/crew"
	"github.com/fuchsiarelay/fuchsiarelay/internal/facts"
	"github.com/fuchsiarelay/fuchsiarelay/internal/lineup"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	tickInterval    = 100 * time.Millisecond
	cleanupInterval = time.Second      // idle connections and memory of targets are looked through
	reportInterval  = 10 * time.Second // totals are logged
	probeTimeout    = 400 * time.Millisecond
	maxColdMS       = 600_000 // longest time, in milliseconds, for which a target may call itself cold
	eventQueueLen   = 256
	// statementDelay collects statements on their way; a few hops stay well below a second.
	statementDelay = 50 * time.Millisecond
	// directSyncAfter is above the time in which documents come through a reader.
	directSyncAfter = 400 * time.Millisecond
	// initialFleetSize divides the fleet's limits before this process has heard its peers.
	initialFleetSize = 64
)

// control owns what this process believes. Its fields belong to loop.
type control struct {
	entry              *Entry
	events             chan func(c *control, now time.Time)
	ended              chan struct{} // closed when loop has returned
	book               *table.Book
	facts              *facts.Set
	crew               *crew.View
	follow             *follower
	confirmedAt        time.Time // when the platform confirmed the documents last; zero: never
	pendingSyncs       []pendingSync
	peers              []string
	startedAt          time.Time
	cleanedAt          time.Time
	reportedAt         time.Time
	compressor         compressor
	lag                lineup.Lag
	retryReserve       lineup.Reserve // of retries
	tickedAt           time.Time
	lastInputs         addressInputs     // of the list of callers' addresses
	busy               bool              // has no room for more requests
	pendingPauses      []pauseUpdate     // to tell peers of
	pausesDue          time.Time         // when they are told
	pendingDepartures  []departureUpdate // to tell peers of
	seenReports        reportIDs         // of ended targets, that were passed on
	pendingCrashes     []poison.Crash    // ends of targets that peers may have to know of
	pauseLimiter       *rate.Limiter
	statementsDue      time.Time // when statements are to be passed on; zero: none wait
	newestPeerRevision uint64    // revision of the newest documents that a peer has named
	behindSince        time.Time // since when a peer has newer documents; zero: none has
	directSync         bool      // newer documents have been asked for
}

// addressInputs is what the list of callers' addresses depends on.
type addressInputs struct {
	crew        uint64 // version
	connections int
	doubtful    bool
	ready       bool
	busy        bool
}

// pendingSync is a peer's request for changes that has no answer yet.
type pendingSync struct {
	after uint64
	until time.Time
	reply func(peer.SyncReply)
}

func newControl(e *Entry, now time.Time) *control {
	seeds := make([]string, len(e.Seeds))
	for i, s := range e.Seeds {
		seeds[i] = s.String()
	}
	c := &control{
		entry: e, startedAt: now, compressor: compressor{}, pauseLimiter: newPauseLimiter(),
		events: make(chan func(*control, time.Time), eventQueueLen), ended: make(chan struct{}),
		book: table.New(), facts: facts.New(facts.Config{}), retryReserve: lineup.Reserve{Window: crew.DefaultShrink, First: e.First},
		crew: crew.New(crew.Config{DataCentre: e.DataCentre, Capacity: e.Capacity}, e.Self.String(), e.incarnation, seeds, now),
	}
	c.follow = &follower{entry: e, control: c}
	return c
}

// post hands an event to loop. Events are dropped only once loop has returned.
func (c *control) post(f func(c *control, now time.Time)) {
	select {
	case c.events <- f:
	case <-c.ended:
	}
}

// postAndWait runs f in loop and waits for its end, or for that of loop.
func (c *control) postAndWait(f func(c *control, now time.Time)) {
	done := make(chan struct{})
	c.post(func(c *control, now time.Time) {
		f(c, now)
		close(done)
	})
	select {
	case <-done:
	case <-c.ended:
	}
}

// loop runs until ctx ends.
func (c *control) loop(ctx context.Context) {
	defer close(c.ended)
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
			if !c.tickedAt.IsZero() {
				c.busy = c.lag.Observe(now.Sub(c.tickedAt) - tickInterval)
			}
			c.tickedAt = now
			c.entry.recoverPanic("tick", func() { c.tick(now) })
		}
	}
}

func (c *control) tick(now time.Time) {
	if changed := c.facts.Tick(now); len(changed) > 0 {
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
	c.probe(now)
	if now.Sub(c.reportedAt) >= reportInterval {
		c.reportedAt = now
		c.entry.Log.Info("traffic", "peers", c.entry.hub.Traffic(), "store_reads", c.follow.platformReads.Load(), "links_opened", c.entry.hub.Opened(),
			"connections_opened", c.entry.pool.Dialed(), "in_flight", c.entry.inFlight.Load(), "processes", c.crew.Size(now), "as_of", c.facts.AsOf())
	}
	if now.Sub(c.cleanedAt) >= cleanupInterval {
		c.cleanedAt = now
		view := c.entry.view.Load()
		c.entry.pool.Keep(now, view.Known)
		c.warm(now)
		c.dropUnlisted(now, view)
	}
}

// dropUnlisted forgets what isn't listed any more.
func (c *control) dropUnlisted(now time.Time, view *table.View) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.board.Keep(now, view.Known)
	e.rhythm.Keep(view.Known)
	e.travel.Keep(view.HasRoute)
	e.detector.Sweep(now)
}

// publish makes what has changed visible to traffic and peers.
func (c *control) publish(now time.Time) {
	e := c.entry
	c.crew.Tick(now)
	e.asOf.Store(c.facts.AsOf())
	view := c.book.View()
	e.view.Store(view)
	ready := view.Config != nil && c.facts.Complete()
	if e.ready.Swap(ready) != ready {
		e.Log.Info("readiness changed", "ready", ready, "as_of", c.facts.AsOf())
	}
	c.crew.State(ready, e.stopping.Load(), c.busy)
	e.statementsDigest.Store(c.crew.Digest())
	c.publishAddresses()
	c.publishShares(now, view)
	c.updateLinks(now)
	c.scheduleStatements(now)
}

// publishShares divides the limits of the fleet anew if the processes that share them have changed.
func (c *control) publishShares(now time.Time, view *table.View) {
	e := c.entry
	old, d := e.shares.Load(), e.directory.Load()
	size, chosen := initialFleetSize, d.chosenAddrs()
	if c.crew.Settled(now) {
		size = c.crew.Size(now)
	}
	if e.stopping.Load() {
		// Callers who keep an old address are served as before until the end.
		chosen = old.chosen
	}
	next := newShares(size, !e.First && now.Sub(c.startedAt) < predecessorConnectionsFor, e.callersAddr(), chosen, view)
	part := c.retryReserve.Part(now, lineup.Fleet{Size: size, Named: len(chosen), Others: len(d.list) - len(d.chosen), Chosen: next.selfChosen})
	e.mu.Lock()
	e.budget.SetPart(part)
	e.board.SetProbers(size)
	e.mu.Unlock()
	if old.size != next.size || old.recentStart != next.recentStart || old.view != view || !slices.Equal(old.chosen, next.chosen) {
		previous := *old
		previous.previous = nil
		next.since, next.previous = now, &previous
		e.shares.Store(next)
	}
}

// publishAddresses works out anew whom callers are told of if what it depends on has changed.
func (c *control) publishAddresses() {
	e := c.entry
	next := &directory{connections: c.book.View().ShardConnections(), doubtful: c.crew.Doubtful()}
	inputs := addressInputs{c.crew.Version(), next.connections, next.doubtful, e.Ready(), c.busy}
	if inputs == c.lastInputs {
		return
	}
	c.lastInputs = inputs
	if inputs.ready {
		next.list = append(next.list, address{addr: e.callersAddr(), dataCentre: e.DataCentre, capacity: e.Capacity, busy: c.busy})
	}
	for _, id := range c.crew.Callable() {
		if addr, err := netip.ParseAddrPort(id); err == nil {
			s := c.crew.Statement(id)
			next.list = append(next.list, address{
				addr: netip.AddrPortFrom(addr.Addr(), e.CallerPort), dataCentre: s.DataCentre, capacity: s.Capacity, busy: s.Busy,
			})
		}
	}
	old := e.directory.Load()
	same := slices.Equal(old.list, next.list) && old.doubtful == next.doubtful
	if same && old.connections == next.connections {
		return
	}
	next.choose()
	e.directory.Store(next)
	if !same || !slices.Equal(old.chosen, next.chosen) {
		e.Log.Info("addresses for callers changed", "before", len(old.list), "now", len(next.list), "doubtful", next.doubtful,
			"chosen", next.chosenAddrs(), "busy", c.busy)
	}
}

// updateLinks keeps the links that the crew asks for, and one to the reader that this process follows.
func (c *control) updateLinks(now time.Time) {
	e := c.entry
	peers := append(c.crew.Peers(now), c.chosenPeers()...)
	if reader := c.reader(); reader != "" {
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

// reader returns the process whose documents this one follows; empty if it reads the platform itself.
func (c *control) reader() string {
	self := c.entry.Self.String()
	readers := c.crew.Readers(readerCount(len(c.crew.Running()) + 1))
	if len(readers) == 0 || slices.Contains(readers, self) {
		return ""
	}
	return readers[xxhash.Sum64String(self)%uint64(len(readers))]
}

// linkedPeers returns the processes that are heard and have a link from this one.
func (c *control) linkedPeers() []string {
	return slices.DeleteFunc(slices.Clone(c.crew.Hears()), func(id string) bool { return !slices.Contains(c.peers, id) })
}

// recordSignOfLife takes a recordSignOfLife of life of a peer.
func (c *control) recordSignOfLife(now, at time.Time, id string) {
	if c.crew.Sign(at, id) {
		c.publish(now)
	}
}

// scheduleStatements passes statements on after newsDelay, together with others that come until then.
func (c *control) scheduleStatements(now time.Time) {
	if c.statementsDue.IsZero() {
		c.statementsDue = now.Add(statementDelay)
	}
}

func (c *control) sendStatements() {
	c.statementsDue = time.Time{}
	news := c.crew.News(time.Now())
	if len(news) == 0 {
		return
	}
	for _, item := range news {
		// The accused must know, whoever has dialled whom.
		if item.Statement.Down {
			c.entry.hub.Tell(item.Statement.VM, peer.Frame{Crew: &peer.Crew{Statements: []crew.Statement{item.Statement}}})
		}
	}
	for _, id := range c.crew.Audience(c.entry.hub.Peers()) {
		var statements []crew.Statement
		for _, item := range news {
			if item.From != id && item.Statement.VM != id {
				statements = append(statements, item.Statement)
			}
		}
		if len(statements) > 0 {
			c.entry.hub.Tell(id, peer.Frame{Crew: &peer.Crew{Statements: statements}})
		}
	}
}

// compareRevision asks a peer for its documents if it has had newer ones for chaseAfter, in which they should have come the
// usual way.
func (c *control) compareRevision(now time.Time, id string, asOf uint64) {
	if c.facts.AsOf() >= c.newestPeerRevision {
		c.behindSince = time.Time{}
	}
	c.newestPeerRevision = max(c.newestPeerRevision, asOf)
	switch {
	case asOf <= c.facts.AsOf():
	case c.behindSince.IsZero():
		c.behindSince = now
	case now.Sub(c.behindSince) >= directSyncAfter && !c.directSync:
		c.directSync = true
		c.entry.Log.Every("behind", time.Second).Info("a peer has newer documents", "peer", id, "mine", c.facts.AsOf(), "theirs", asOf)
		c.entry.hub.Sync(id, peer.Sync{After: c.facts.AsOf()}, func(r peer.SyncReply) {
			c.post(func(c *control, now time.Time) {
				c.directSync = false
				c.mergeSyncReply(now, r)
			})
		})
	}
}

// mergeSyncReply takes the documents of a peer.
func (c *control) mergeSyncReply(now time.Time, r peer.SyncReply) {
	if r.Down || r.AsOf == 0 {
		return
	}
	if err := decompress(r.Documents); err != nil {
		c.entry.Log.Error("documents of a peer can't be used", "error", err)
		return
	}
	age := time.Duration(r.AgeMS) * time.Millisecond
	if confirmedAt := now.Add(-age); r.AgeMS >= 0 && confirmedAt.After(c.confirmedAt) {
		c.confirmedAt = confirmedAt
	}
	c.applyAndPublish(now, c.facts.Merge(now, facts.Batch{Documents: r.Documents, AsOf: r.AsOf, Whole: r.Whole, Lapsed: r.Lapsed}))
}

// applyAndPublish makes changed documents visible.
func (c *control) applyAndPublish(now time.Time, changed []plat.Document) {
	if len(changed) > 0 || c.entry.asOf.Load() != c.facts.AsOf() {
		c.apply(changed)
		c.publish(now)
	}
	c.answerSyncs(now)
}

// apply takes changed documents into the book.
func (c *control) apply(docs []plat.Document) {
	e := c.entry
	for _, d := range docs {
		change, err := e.Decode(d)
		if err != nil {
			e.Log.Every("document", time.Second).Warn("published document can't be used", "key", d.Key, "revision", d.Revision, "error", err)
		}
		c.applyChange(d, change)
	}
}

func (c *control) applyChange(d plat.Document, change Change) {
	e := c.entry
	switch {
	case change.Config != nil:
		inForce := c.book.SetConfig(*change.Config)
		e.Log.Info("configuration", "version", change.Config.Version, "revision", d.Revision, "routes", len(change.Config.Routes), "in_force", inForce)
	case change.Target != nil:
		t := *change.Target
		old, known := c.book.Target(t.ID)
		c.book.SetTarget(t)
		if known && !old.Started.Equal(t.Started) {
			e.mu.Lock()
			e.rhythm.Forget(t.ID)
			e.board.Forget(t.ID)
			e.mu.Unlock()
		}
		if t.ColdFor > 0 || known && old.ColdFor > 0 {
			e.mu.Lock()
			e.board.Cold(t.ID, time.Now().Add(t.ColdFor))
			e.mu.Unlock()
		}
		if !known || old.Leaving != t.Leaving || old.Addr != t.Addr || old.Service != t.Service {
			e.Log.Info("target", "target", t.ID, "service", t.Service, "addr", t.Addr, "leaving", t.Leaving, "revision", d.Revision)
		}
	case change.Gone != "":
		c.book.RemoveTarget(change.Gone)
		e.Log.Info("target gone", "target", change.Gone, "revision", d.Revision)
	case change.Exclude != "":
		c.book.Exclude(change.Exclude, true)
		e.Log.Warn("data centre excluded", "data_centre", change.Exclude, "revision", d.Revision)
	case change.Include != "":
		c.book.Exclude(change.Include, false)
		e.Log.Info("data centre taken back", "data_centre", change.Include, "revision", d.Revision)
	}
}

// answerSyncs answers the peers that wait for something newer, or have waited long enough.
func (c *control) answerSyncs(now time.Time) {
	remaining := c.pendingSyncs[:0]
	// A follower must look elsewhere as soon as this process can't vouch for its documents.
	stale := now.Sub(c.confirmedAt) > staleAfter
	for _, w := range c.pendingSyncs {
		if stale || c.facts.AsOf() > w.after || !now.Before(w.until) {
			w.reply(c.syncReply(now, w.after))
		} else {
			remaining = append(remaining, w)
		}
	}
	c.pendingSyncs = remaining
}

func (c *control) syncReply(now time.Time, after uint64) peer.SyncReply {
	b := c.facts.Since(after)
	docs, err := c.compressor.compress(b.Documents)
	if err != nil {
		c.entry.Log.Error("documents for a peer not compressed", "error", err)
		docs = b.Documents
	}
	r := peer.SyncReply{Documents: docs, AsOf: b.AsOf, Whole: b.Whole, Lapsed: b.Lapsed, AgeMS: -1}
	if !c.confirmedAt.IsZero() {
		r.AgeMS = now.Sub(c.confirmedAt).Milliseconds()
	}
	return r
}

// probe asks the health pages of targets that are out.
func (c *control) probe(now time.Time) {
	e := c.entry
	e.mu.Lock()
	ids := e.board.Probes(now)
	turns := e.board.Turns()
	e.mu.Unlock()
	for _, turn := range turns {
		if turn.Out {
			e.Log.Every("out "+turn.Target, time.Second).Warn("target taken out", "target", turn.Target, "why", turn.Why.String(), "in_row", turn.InRow, "last_reply_ms", turn.LastAge.Milliseconds())
		} else {
			e.Log.Every("back "+turn.Target, time.Second).Info("target is back", "target", turn.Target, "evidence", "health page")
		}
	}
	for _, id := range ids {
		if t, ok := c.book.Target(id); ok && !t.Leaving && !c.book.Departs(t) {
			p := &probe{entry: e, target: t, path: c.book.View().Service(t.Service).HealthPath}
			go p.run()
		}
	}
}

// probe asks one health page and tells the board.
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
	e.pool.Drop(t.ID)
	reply, err := e.pool.Do(ctx, pool.Peer{ID: t.ID, Addr: t.Addr}, &pool.Request{Method: "GET", Head: pool.Head("GET", p.path, t.Addr.String(), nil, 0)})
	fromTarget := err == nil && reply.Header.Get(e.Names.Instance) == t.ID
	healthy := fromTarget && reply.Status == 200
	retryAfter := e.retryAfter(t.ID, reply)
	if fromTarget {
		e.checkLeaving(&t, reply.Header)
	}
	coldFor := time.Duration(0)
	if ms, err := strconv.ParseFloat(reply.Header.Get(e.Names.Warmup), 64); fromTarget && err == nil && ms > 0 && ms < maxColdMS {
		coldFor = time.Duration(ms * float64(time.Millisecond))
	}
	e.mu.Lock()
	if retryAfter > 0 {
		e.board.Mute(t.ID, time.Now().Add(retryAfter))
	}
	if coldFor > 0 {
		e.board.Cold(t.ID, time.Now().Add(coldFor))
	}
	e.board.Probed(time.Now(), t.ID, healthy)
	e.mu.Unlock()
	e.Log.Every("probe "+t.ID, 5*time.Second).Info("target that is out was probed", "target", t.ID, "healthy", healthy, "status", reply.Status, "error", err)
}
