package assign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	processCount = 4
	step         = 50 * time.Millisecond
	duration     = 40 * time.Second
	targetID     = "t"
)

var epoch = time.Unix(1_000_000, 0)

// revision is one published pair of lists; VM i is listed as live if bit i of live is set.
type revision struct {
	at    time.Duration
	live  int
	slots int
}

// listReceipt is a time at which a process receives the revision that was the newest at lag before. The next receipt
// follows after gap. A long gap represents a process that is suspended. The field grow is set if the process has contact
// with the majority, so that shares may grow; restart is set if the process restarts at that time.
type listReceipt struct {
	gap, lag      time.Duration
	grow, restart bool
}

// history holds the published lists, and when each process receives them.
type history struct {
	revisions   []revision
	receipts    [processCount][]listReceipt
	level       int
	connections int
	// A process may send for freshFor after the time at which its revision was the newest. If it can't send for resetAfter,
	// its shares are reset to 0.
	freshFor, resetAfter time.Duration
}

// randomHistory returns a random history. Only the seed is drawn from rapid, because rapid prefers small numbers, which
// would lead to histories in which no share ever grows.
func randomHistory(t *rapid.T) history {
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	h := history{level: 1 + rnd.IntN(6), connections: 1 + rnd.IntN(9), freshFor: 2 * time.Second, resetAfter: time.Second}
	if rnd.IntN(2) == 0 {
		h.freshFor, h.resetAfter = MaxListAge, time.Nanosecond
	}
	slots := 1 + rnd.IntN(6)
	lists := []int{1 + rnd.IntN(1<<processCount-1), rnd.IntN(1 << processCount)}
	for at := time.Duration(0); at < duration; {
		if rnd.IntN(4) == 0 {
			slots = 1 + rnd.IntN(6)
			lists[rnd.IntN(2)] = rnd.IntN(1 << processCount)
		}
		// The lists alternate between two, so that a process can miss the one in which it has no rank.
		h.revisions = append(h.revisions, revision{at: at, live: lists[len(h.revisions)%2], slots: slots})
		at += randomUpTo(rnd, []time.Duration{time.Second, 4 * time.Second, 15 * time.Second}[rnd.IntN(3)])
	}
	for i := range h.receipts {
		suspends, disconnects := rnd.IntN(3) == 0, rnd.IntN(3) == 0
		for at := time.Duration(0); at < duration; {
			receipt := listReceipt{gap: randomUpTo(rnd, 3*time.Second), grow: !disconnects || rnd.IntN(40) > 0, restart: rnd.IntN(200) == 0}
			receipt.lag = randomUpTo(rnd, MaxListAge-receipt.gap)
			if suspends && rnd.IntN(20) == 0 {
				receipt.gap = randomUpTo(rnd, 15*time.Second)
			}
			h.receipts[i] = append(h.receipts[i], receipt)
			at += receipt.gap
		}
	}
	return h
}

// alternatingHistory returns a history in which the lists hold VMs 0 and 1 from the first time, VMs 1 and 2 from the
// second, and so on in turn. VM 0 receives only revisions that list VM 0, and VM 2 only revisions that list VM 2, as far as
// MaxListAge allows.
func alternatingHistory(times ...time.Duration) history {
	h := history{level: 2, connections: 4, freshFor: MaxListAge, resetAfter: time.Nanosecond}
	for i, at := range times {
		h.revisions = append(h.revisions, revision{at: at, live: []int{0b011, 0b110}[i%2], slots: 2})
	}
	for at := time.Duration(0); at < duration; at += step {
		for i := range h.receipts {
			receipt := listReceipt{gap: step, grow: true}
			for lag := time.Duration(0); lag < MaxListAge && lag <= at; lag += step {
				if i != 1 && h.newestAt(at-lag)%2 == i/2 {
					receipt.lag = lag
					break
				}
			}
			h.receipts[i] = append(h.receipts[i], receipt)
		}
	}
	return h
}

// randomUpTo returns a random duration from 0 to largest.
func randomUpTo(rnd *rand.Rand, largest time.Duration) time.Duration {
	return time.Duration(rnd.Int64N(int64(largest) + 1))
}

// lists returns the VMs and targets of revision n.
func (h history) lists(n int) ([]plat.VM, []plat.Target) {
	var vms []plat.VM
	for i := range processCount {
		if h.revisions[n].live>>i&1 == 1 {
			vms = append(vms, plat.VM{ID: vmID(i), State: plat.Live})
		}
	}
	return vms, []plat.Target{{ID: targetID, Slots: h.revisions[n].slots, Connections: h.connections}}
}

// newestAt returns the index of the last revision that was published at or before the time.
func (h history) newestAt(at time.Duration) int {
	n := 0
	for i, r := range h.revisions {
		if r.at <= at {
			n = i
		}
	}
	return n
}

func vmID(i int) string { return fmt.Sprintf("vm-%d", i) }

// updater passes a new revision to a table. Broken policies are updaters that do something else in addition.
type updater func(t *Table, now time.Time, vms []plat.VM, targets []plat.Target)

// process is one simulated process. Its times count from epoch.
type process struct {
	table         *Table
	revision      int
	evidenceTime  time.Duration
	nextReceipt   int
	nextReceiptAt time.Duration
}

// simulate runs the processes of the history. It returns the largest sum of shares, and an error if all processes
// together exceed the level or the connections of the target.
func simulate(h history, update updater) (largestSum int, err error) {
	cfg := Config{ResetAfter: h.resetAfter}
	var processes [processCount]process
	for i := range processes {
		processes[i] = process{table: New(cfg, vmID(i), epoch), revision: -1}
	}
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(at)
		shares, connections := 0, 0
		for i := range processes {
			proc := &processes[i]
			// A process that was suspended may use its share before it receives a new revision.
			shares += proc.table.Share(now, targetID, h.level)
			connections += proc.table.Connections(targetID)
			if proc.nextReceipt >= len(h.receipts[i]) || at < proc.nextReceiptAt {
				continue
			}
			receipt := h.receipts[i][proc.nextReceipt]
			proc.nextReceipt++
			proc.nextReceiptAt = at + receipt.gap
			if receipt.restart {
				*proc = process{table: New(cfg, vmID(i), now), revision: -1, nextReceipt: proc.nextReceipt, nextReceiptAt: proc.nextReceiptAt}
			}
			proc.evidenceTime = max(proc.evidenceTime, at-receipt.lag)
			if n := h.newestAt(proc.evidenceTime); n > proc.revision {
				proc.revision = n
				vms, targets := h.lists(n)
				update(proc.table, now, vms, targets)
			}
			grow := time.Time{}
			if receipt.grow {
				grow = now.Add(MaxListAge)
			}
			proc.table.SetDeadlines(now, epoch.Add(proc.evidenceTime+h.freshFor), grow)
		}
		largestSum = max(largestSum, shares)
		if shares > h.level || connections > h.connections {
			return largestSum, fmt.Errorf("at %v: shares %d of %d, connections %d of %d", at, shares, h.level, connections, h.connections)
		}
	}
	return largestSum, nil
}

// Guards against two or more processes together exceeding a target's level or connections while they have different
// lists.
func TestSharesNeverExceedTheLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, err := simulate(randomHistory(t), (*Table).Update)
		assert.NilError(t, err)
	})
}

// Guards against a checker, or histories, that don't detect a policy whose waits are missing or too short.
func TestCheckerDetectsBrokenPolicies(t *testing.T) {
	broken := map[string]updater{
		"grows at once": func(t *Table, now time.Time, vms []plat.VM, targets []plat.Target) {
			t.Update(now, vms, targets)
			for _, e := range t.targets {
				e.pastAssignments = nil
			}
		},
		// A delay of 4 s is longer than MaxListAge, but shorter than twice MaxListAge.
		"grows after 4s": func(t *Table, now time.Time, vms []plat.VM, targets []plat.Target) {
			t.cfg.GrowDelay = 4 * time.Second
			t.Update(now, vms, targets)
		},
		"keeps its share after a suspension": func(t *Table, now time.Time, vms []plat.VM, targets []plat.Target) {
			t.cfg.ResetAfter = time.Hour
			t.Update(now, vms, targets)
		},
		"waits only for an unchanged own rank": func(t *Table, now time.Time, vms []plat.VM, targets []plat.Target) {
			before, stable := t.rankOf(t.Dispatchers(targetID)), t.growthWaitStart
			t.Update(now, vms, targets)
			if t.rankOf(t.Dispatchers(targetID)) == before {
				t.growthWaitStart = stable
			}
		},
	}
	second := time.Second
	scripted := []history{
		alternatingHistory(0, 12*second, 13500*time.Millisecond),
		alternatingHistory(0, 12*second, 14*second, 16*second, 18*second, 20*second, 22*second, 24*second),
	}
	// VM 0 is suspended from 11 s to 25.1 s and misses the revision in which it has no rank.
	suspended := alternatingHistory(0, 12*second, 25*second)
	suspend, resume := int(11*second/step), int(25*second/step)+2
	suspended.receipts[0][suspend].gap = time.Duration(resume-suspend) * step
	suspended.receipts[0] = append(suspended.receipts[0][:suspend+1:suspend+1], suspended.receipts[0][resume:]...)
	scripted = append(scripted, suspended)
	for _, h := range scripted {
		_, err := simulate(h, (*Table).Update)
		assert.NilError(t, err)
	}
	generator := rapid.Custom(randomHistory)
	for name, update := range broken {
		detected := 0
		for seed := range 400 {
			if _, err := simulate(generator.Example(seed), update); err != nil {
				detected++
			}
		}
		t.Logf("%s: caught in %d of 400 drawn histories", name, detected)
		for _, h := range scripted {
			if _, err := simulate(h, update); err != nil {
				t.Logf("%s: scripted: %v", name, err)
				detected++
			}
		}
		assert.Check(t, detected > 0, name)
	}
}

// Guards against shares that stay within the level only because they never grow.
func TestSharesGrow(t *testing.T) {
	generator := rapid.Custom(randomHistory)
	grown := 0
	for seed := range 400 {
		h := generator.Example(seed)
		largestSum, _ := simulate(h, (*Table).Update)
		if largestSum > 0 {
			grown++
		}
	}
	t.Logf("a process had a share above 0 in %d of 400 histories", grown)
	assert.Assert(t, grown >= 80)
}

// callSetDeadlines calls SetDeadlines every 500 ms from one time to another, as a process in contact with the majority
// does.
func callSetDeadlines(table *Table, from, to time.Duration) {
	for at := from; at <= to; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		table.SetDeadlines(now, now.Add(2*time.Second), now.Add(2*time.Second))
	}
}

// Guards against shares that grow without contact with the majority, and against counting the time of a suspension as part
// of the wait for growth.
func TestGrowthNeedsContactThroughoutTheDelay(t *testing.T) {
	vms := []plat.VM{{ID: "vm-0", State: plat.Live}}
	targets := []plat.Target{{ID: targetID, Slots: 4, Connections: 8}}
	table := New(Config{}, "vm-0", epoch)
	table.Update(epoch, vms, targets)
	callSetDeadlines(table, 0, 5*time.Second)
	assert.Equal(t, table.Share(epoch.Add(5*time.Second), targetID, 4), 0)
	// The process is suspended from 5 s to 20 s, so the wait for growth starts again.
	assert.Equal(t, table.Share(epoch.Add(20*time.Second), targetID, 4), 0)
	callSetDeadlines(table, 20*time.Second, 25*time.Second)
	assert.Equal(t, table.Share(epoch.Add(25*time.Second), targetID, 4), 0)
	callSetDeadlines(table, 25*time.Second, 26*time.Second)
	assert.Equal(t, table.Share(epoch.Add(26*time.Second), targetID, 4), 2)
	assert.Equal(t, table.Connections(targetID), 4)
	// While sending is allowed but growth isn't, more slots don't raise the share. A list without VMs sets it to 0 at
	// once.
	targets[0].Slots = 8
	table.Update(epoch.Add(26*time.Second), vms, targets)
	for at := 26 * time.Second; at < 40*time.Second; at += 500 * time.Millisecond {
		now := epoch.Add(at)
		table.SetDeadlines(now, now.Add(2*time.Second), time.Time{})
		assert.Equal(t, table.Share(now, targetID, 8), 2)
	}
	table.Update(epoch.Add(40*time.Second), nil, targets)
	assert.Equal(t, table.Share(epoch.Add(40*time.Second), targetID, 8), 0)
}

// Guards against a ranking that depends on the order of the list, or that leaves a rank empty although other data
// centres have live VMs.
func TestRankFillsFromOtherDataCentres(t *testing.T) {
	for local := range 4 {
		var vms []plat.VM
		for i := range 8 {
			dc := "far"
			if i < local {
				dc = "near"
			}
			vms = append(vms, plat.VM{ID: vmID(i), DataCentre: dc, State: plat.Live})
		}
		target := plat.Target{ID: targetID, DataCentre: "near"}
		ids := liveVMs(vms).dispatchersOf(target)
		slices.Reverse(vms)
		assert.DeepEqual(t, liveVMs(vms).dispatchersOf(target), ids)
		assert.Assert(t, len(ids) == 2 && ids[0] != ids[1])
		for i, id := range ids {
			assert.Equal(t, id < vmID(local), i < local)
		}
	}
}

// BenchmarkUpdate measures one change of the lists. The change must not occupy the control loop for so long that the
// bound of 3 s (MaxListAge) is missed.
func BenchmarkUpdate(b *testing.B) {
	vms := make([]plat.VM, 1800)
	for i := range vms {
		vms[i] = plat.VM{ID: vmID(i), DataCentre: fmt.Sprintf("dc-%d", i%12), State: plat.Live}
	}
	targets := make([]plat.Target, 11000)
	for i := range targets {
		targets[i] = plat.Target{ID: fmt.Sprintf("t-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%12), Slots: 2, Connections: 25}
	}
	table := New(Config{}, "vm-0", epoch)
	for b.Loop() {
		table.Update(epoch, vms, targets)
	}
}
