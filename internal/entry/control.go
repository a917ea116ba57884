package entry

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/crew"
	"github.com/fuchsiarelay/fuchsiarelay/internal/facts"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	controlTick = 100 * time.Millisecond
	keepEvery   = time.Second // idle connections and memory of targets are looked through
	probeTime   = 400 * time.Millisecond
	eventQueue  = 256
	// startSize divides the fleet's limits before this process has heard its peers.
	startSize = 64
)

// control owns what this process believes. Its fields belong to loop.
type control struct {
	entry   *Entry
	events  chan func(c *control, now time.Time)
	ended   chan struct{} // closed when loop has returned
	book    *table.Book
	facts   *facts.Set
	crew    *crew.View
	follow  *follower
	proof   time.Time // when the platform confirmed the documents last; zero: never
	waiting []waitingSync
	peers   []string
	opened  uint64
	keptAt  time.Time
}

// waitingSync is a peer's request for changes that has no answer yet.
type waitingSync struct {
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
		entry: e, events: make(chan func(*control, time.Time), eventQueue), ended: make(chan struct{}), book: table.New(),
		facts: facts.New(facts.Config{}), crew: crew.New(crew.Config{}, e.Self.String(), seeds, now),
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

// ask runs f in loop and waits for its end. It reports false if loop has returned.
func (c *control) ask(f func(c *control, now time.Time)) bool {
	done := make(chan struct{})
	c.post(func(c *control, now time.Time) {
		f(c, now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}

// loop runs until ctx ends.
func (c *control) loop(ctx context.Context) {
	defer close(c.ended)
	tick := time.NewTicker(controlTick)
	defer tick.Stop()
	c.publish(time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.events:
			f(c, time.Now())
		case <-tick.C:
			c.tick(time.Now())
		}
	}
}

func (c *control) tick(now time.Time) {
	if changed := c.facts.Tick(now); len(changed) > 0 {
		c.apply(changed)
	}
	c.publish(now)
	c.answerSyncs(now)
	c.probe(now)
	if now.Sub(c.keptAt) >= keepEvery {
		c.keptAt = now
		view := c.entry.view.Load()
		c.entry.pool.Keep(now, view.Known)
		c.entry.mu.Lock()
		c.entry.board.Keep(view.Known)
		c.entry.mu.Unlock()
	}
}

// publish makes what has changed visible to traffic and peers.
func (c *control) publish(now time.Time) {
	e := c.entry
	view := c.book.View()
	size := c.crew.Size(now)
	if !c.crew.Settled(now) {
		size = startSize
	}
	if old := e.limits.Load(); old.size != size || old.view != view {
		e.limits.Store(&shares{size: size, view: view})
		e.mu.Lock()
		e.budget.SetSize(size)
		e.mu.Unlock()
	}
	e.view.Store(view)
	ready := view.Config != nil && c.facts.Complete()
	if e.ready.Swap(ready) != ready {
		e.Log.Info("readiness changed", "ready", ready, "as_of", c.facts.AsOf())
	}
	c.publishAddresses(now)
	c.link(now)
}

func (c *control) publishAddresses(now time.Time) {
	e := c.entry
	var list []netip.AddrPort
	if e.Ready() {
		list = append(list, netip.AddrPortFrom(e.Self.Addr(), e.CallerPort))
	}
	for _, id := range c.crew.Callable(now) {
		if addr, err := netip.ParseAddrPort(id); err == nil {
			list = append(list, netip.AddrPortFrom(addr.Addr(), e.CallerPort))
		}
	}
	if old := *e.callable.Load(); !slices.Equal(old, list) {
		e.Log.Info("addresses for callers changed", "before", len(old), "now", len(list), "addresses", list)
		e.callable.Store(&list)
	}
}

// link keeps links to all known processes, and names all of them on new links.
func (c *control) link(now time.Time) {
	e := c.entry
	peers := c.crew.Peers(now)
	if !slices.Equal(peers, c.peers) {
		c.peers = peers
		vms := make([]plat.VM, 0, len(peers))
		for _, id := range peers {
			if addr, err := netip.ParseAddrPort(id); err == nil {
				vms = append(vms, plat.VM{ID: id, PeerAddr: addr})
			}
		}
		e.hub.SetPeers(vms)
		c.opened = 0
	}
	if opened := e.hub.Opened(); opened != c.opened {
		c.opened = opened
		e.hub.Broadcast(peer.Frame{Members: &peer.Members{VMs: append(slices.Clone(peers), e.Self.String())}})
	}
}

// apply takes changed documents into the book.
func (c *control) apply(docs []plat.Document) {
	e := c.entry
	for _, d := range docs {
		change, err := e.Decode(d)
		if err != nil {
			e.Log.Every("document", time.Second).Warn("published document can't be used", "key", d.Key, "revision", d.Revision, "error", err)
			continue
		}
		c.take(d, change)
	}
}

func (c *control) take(d plat.Document, change Change) {
	e := c.entry
	switch {
	case change.Config != nil:
		taken := c.book.SetConfig(*change.Config)
		e.Log.Info("configuration", "version", change.Config.Version, "revision", d.Revision, "routes", len(change.Config.Routes), "in_force", taken)
	case change.Target != nil:
		t := *change.Target
		old, known := c.book.Target(t.ID)
		c.book.SetTarget(t)
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
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if c.facts.AsOf() > w.after || !now.Before(w.until) {
			w.reply(c.syncReply(now, w.after))
		} else {
			kept = append(kept, w)
		}
	}
	c.waiting = kept
}

func (c *control) syncReply(now time.Time, after uint64) peer.SyncReply {
	docs, asOf, whole := c.facts.Since(after)
	r := peer.SyncReply{Documents: docs, AsOf: asOf, Whole: whole, AgeMS: -1}
	if !c.proof.IsZero() {
		r.AgeMS = now.Sub(c.proof).Milliseconds()
	}
	return r
}

// probe asks the health pages of targets that are out.
func (c *control) probe(now time.Time) {
	e := c.entry
	e.mu.Lock()
	ids := e.board.Probes(now)
	e.mu.Unlock()
	for _, id := range ids {
		if t, ok := c.book.Target(id); ok && !t.Leaving {
			go e.probe(t, c.book.View().Service(t.Service).HealthPath)
		}
	}
}

// probe asks one health page and tells the board.
func (e *Entry) probe(t table.Target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	e.pool.Drop(t.ID)
	reply, err := e.pool.Do(ctx, pool.Peer{ID: t.ID, Addr: t.Addr}, &pool.Request{Method: "GET", URI: path, Host: t.Addr.String()})
	healthy := err == nil && reply.Status == 200 && reply.Header.Get(e.Names.Instance) == t.ID
	e.mu.Lock()
	e.board.Probed(time.Now(), t.ID, healthy)
	e.mu.Unlock()
	e.Log.Every("probe "+t.ID, time.Second).Info("target that is out was probed", "target", t.ID, "healthy", healthy, "status", reply.Status, "error", err)
}
