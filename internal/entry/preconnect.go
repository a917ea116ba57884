package entry

import (
	"context"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// preconnectedPerShard is the number of targets of each shard that should have an open connection: one for the first
	// send, and one for a retry or hedge. On routes with a low latency goal, a hedge that must dial first is too late.
	preconnectedPerShard = 2
	// preconnectFraction is the fraction of the wanted connections that may be opened in one round of cleanupInterval. A
	// connection that is opened in advance lasts for pool.DefaultUnusedTimeout, so that a quarter of the connections must be
	// replaced in each round; the rest is a margin.
	preconnectFraction = 0.4
	// minPreconnectsPerRound is the number of connections that may always be opened in one round. maxPreconnectsPerRound
	// keeps targets from being flooded with connections.
	minPreconnectsPerRound = 16
	maxPreconnectsPerRound = 128
	preconnectTimeout      = 300 * time.Millisecond
	// startPreconnectDuration is how long after its start a process opens connections although it has received no requests.
	startPreconnectDuration = 20 * time.Second
)

// preconnect opens connections in advance to targets of the gather routes that are in use, or of all gather routes for
// startPreconnectDuration after the start. Only a chosen process does so.
func (c *control) preconnect(now time.Time) {
	e := c.entry
	view := e.view.Load()
	if view.Config == nil || e.stopping.Load() || !e.shares.Load().selfChosen {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := min(max(minPreconnectsPerRound, int(preconnectFraction*float64(preconnectedPerShard*view.ShardCount()))), maxPreconnectsPerRound)
	seen := map[string]bool{}
	for i := range view.Config.Routes {
		for _, service := range view.Config.Routes[i].Gather {
			if seen[service] || now.Sub(c.startedAt) > startPreconnectDuration && !e.budget.HasRecentRequests(now, service) {
				continue
			}
			seen[service] = true
			remaining -= e.preconnectService(view.Targets(service), view.Config.Routes[i].Name, now, remaining)
		}
	}
}

// preconnectService opens connections to the targets of a service that the balancer would pick next, until
// preconnectedPerShard targets have one. It returns how many it opens, which is at most limit.
func (e *Entry) preconnectService(targets []*table.Target, route string, now time.Time, limit int) (opened int) {
	connected := 0
	var tried []string
	for _, t := range targets {
		if e.pool.HasIdle(t.ID) {
			connected++
			tried = append(tried, t.ID)
		}
	}
	for ; connected < preconnectedPerShard && opened < limit; connected++ {
		t, _, ok := e.balancer.Pick(now, e.random, route, targets, tried)
		if !ok || e.balancer.Availability(now, t) != place.Usable {
			return opened
		}
		tried = append(tried, t.ID)
		opened++
		o := &connectionOpener{entry: e, to: pool.Target{ID: t.ID, Addr: t.Addr}}
		go o.run()
	}
	return opened
}

// connectionOpener opens one connection. A failure is only logged; the next send to the target dials again.
type connectionOpener struct {
	entry *Entry
	to    pool.Target
}

func (o *connectionOpener) run() { o.entry.recoverPanic("warm", o.open) }

func (o *connectionOpener) open() {
	ctx, cancel := context.WithTimeout(context.Background(), preconnectTimeout)
	defer cancel()
	if err := o.entry.pool.Preconnect(ctx, o.to); err != nil {
		if pool.IsReset(err) {
			o.entry.mu.Lock()
			o.entry.balancer.RecordConnReset(time.Now(), o.to.ID)
			o.entry.mu.Unlock()
		}
		o.entry.Log.Every("warm", time.Second).Info("cannot open connection in advance", "target", o.to.ID, "error", err)
	}
}
