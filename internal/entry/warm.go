package entry

import (
	"context"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// warmTargets of each shard have an open connection: the one that is used, and the one that would back it up. A
	// second send that must dial first comes too late on short goals.
	warmTargets = 2
	// A connection that is opened ahead lasts pool.DefaultUnused, so that in each round of keepEvery a quarter of those that
	// are wanted is opened, and some more.
	warmShare = 0.4
	// minWarmPerRound is the least that is opened in one round; warmMost keeps targets from being flooded.
	minWarmPerRound = 16
	maxWarmPerRound = 128
	warmTimeout     = 300 * time.Millisecond
	// startWarmFor is how long a new process keeps connections open before any request has come.
	startWarmFor = 20 * time.Second
)

// warm opens connections ahead, to targets of gather routes that are in use.
func (c *control) warm(now time.Time) {
	e := c.entry
	view := e.view.Load()
	if view.Config == nil || e.stopping.Load() || !e.shares.Load().selfChosen {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := min(max(minWarmPerRound, int(warmShare*float64(warmTargets*view.Shards()))), maxWarmPerRound)
	seen := map[string]bool{}
	for i := range view.Config.Routes {
		for _, service := range view.Config.Routes[i].Gather {
			if seen[service] || now.Sub(c.startedAt) > startWarmFor && !e.budget.Busy(now, service) {
				continue
			}
			seen[service] = true
			remaining -= e.warmService(view.Targets(service), view.Config.Routes[i].Name, now, remaining)
		}
	}
}

// warmService opens connections to the targets that would be picked next, at most most of them.
func (e *Entry) warmService(targets []*table.Target, route string, now time.Time, limit int) (opened int) {
	open := 0
	var tried []string
	for _, t := range targets {
		if e.pool.Open(t.ID) {
			open++
			tried = append(tried, t.ID)
		}
	}
	for ; open < warmTargets && opened < limit; open++ {
		t, _, ok := e.board.Pick(now, e.random, route, targets, tried)
		if !ok || e.board.Standing(now, t) != place.Usable {
			return opened
		}
		tried = append(tried, t.ID)
		opened++
		o := &connectionOpener{entry: e, to: pool.Peer{ID: t.ID, Addr: t.Addr}}
		go o.run()
	}
	return opened
}

// connectionOpener opens one connection. A failure shows at the next send.
type connectionOpener struct {
	entry *Entry
	to    pool.Peer
}

func (o *connectionOpener) run() { o.entry.recoverPanic("warm", o.open) }

func (o *connectionOpener) open() {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	defer cancel()
	if err := o.entry.pool.Warm(ctx, o.to); err != nil {
		o.entry.Log.Every("warm", time.Second).Info("connection not opened ahead", "target", o.to.ID, "error", err)
	}
}
