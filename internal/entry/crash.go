package entry

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// checkTime bounds how long it takes to find out whether a target has ended: a dial that stays unanswered, twice.
const checkTime = 2*pool.DefaultDialTimeout + 100*time.Millisecond

// crashCounts counts what was found after connections to targets were lost.
type crashCounts struct {
	lost, ended, unsure atomic.Uint64
}

// Crashes are totals since the start of the process.
type Crashes struct {
	ConnectionsLost uint64 `json:"connections_lost"` // while a request ran
	TargetsEnded    uint64 `json:"targets_ended"`    // found after a lost connection
	Unsure          uint64 `json:"unsure"`           // targets that could not be reached after a lost connection
}

// Crashes returns the totals.
func (e *Entry) Crashes() Crashes {
	n := &e.crashCounts
	return Crashes{ConnectionsLost: n.lost.Load(), TargetsEnded: n.ended.Load(), Unsure: n.unsure.Load()}
}

// hexContent is a fingerprint in log lines.
func hexContent(fp uint64) string { return strconv.FormatUint(fp, 16) }

// fingerprints identify what a send of this call runs at a target of a service: the content of the request, whoever sends it
// under whatever ID.
func (c *call) fingerprints(string) []uint64 { return []uint64{c.content} }

// connectionLost is told that a target closed the connection of a send before its reply was whole.
func (d *delivery) connectionLost() {
	e := d.runner.entry
	e.crashCounts.lost.Add(1)
	e.mu.Lock()
	check := e.crashes.Lost(time.Now(), d.send.Target.ID, d.runner.call.fingerprints(d.send.Service))
	e.mu.Unlock()
	if check {
		c := &crashCheck{entry: e, target: d.send.Target, request: d.runner.call.id}
		go c.run()
	}
}

// crashCheck finds out whether a target has ended, or only a connection to it.
type crashCheck struct {
	entry   *Entry
	target  *table.Target
	request string // that ran when the first connection was lost
}

func (c *crashCheck) run() { c.entry.guard("crash check", c.find) }

func (c *crashCheck) find() {
	e, t := c.entry, c.target
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	ended, err := e.pool.Ended(ctx, pool.Peer{ID: t.ID, Addr: t.Addr})
	e.mu.Lock()
	crash, _ := e.crashes.Checked(time.Now(), t.ID, ended)
	e.mu.Unlock()
	switch {
	case err != nil:
		e.crashCounts.unsure.Add(1)
		e.Log.Every("unsure "+t.ID, time.Second).Info("connection lost, target can't be reached", "target", t.ID, "service", t.Service, "request", c.request, "error", err)
	case !ended:
		e.Log.Every("lives "+t.ID, time.Second).Info("connection lost, target lives", "target", t.ID, "service", t.Service, "request", c.request)
	default:
		e.crashCounts.ended.Add(1)
		contents := make([]string, len(crash.Fingerprints))
		for i, fp := range crash.Fingerprints {
			contents[i] = hexContent(fp)
		}
		e.Log.Every("ended "+t.ID, time.Second).Warn("target ended under requests", "target", t.ID, "service", t.Service, "request", c.request, "contents", contents)
	}
}
