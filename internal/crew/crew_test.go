package crew

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// world simulates a fleet. Pings and summaries arrive within the step in which they are sent; a statement is passed on by one
// hop in a step.
type world struct {
	now    time.Time
	ids    []string
	zones  int
	views  map[string]*View
	cut    map[string]bool            // one side of a partition; processes of different sides don't reach each other
	frozen map[string]bool            // suspended processes
	apart  [2]string                  // two processes that don't reach each other
	linked map[string]map[string]bool // open links, by the process that dialled and the one that was dialled
	pinged time.Time                  // last round of pings
	starts map[string]time.Time       // processes that start later, and when
	sent   int                        // number of statements sent on links
	stamps int                        // number of stamps sent in summaries
}

func newWorld(n int) *world { return newWorldOf(n, 1) }

func newWorldOf(n, zones int) *world {
	w := &world{now: start, zones: zones, views: map[string]*View{}, cut: map[string]bool{}, frozen: map[string]bool{}, starts: map[string]time.Time{}, linked: map[string]map[string]bool{}}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("vm-%02d", i))
	}
	for _, id := range w.ids {
		w.start(id, 1)
	}
	return w
}

func (w *world) zone(id string) string { return fmt.Sprint("dc-", slices.Index(w.ids, id)%w.zones) }

func (w *world) start(id string, incarnation uint64) {
	v := New(Config{DataCentre: w.zone(id)}, id, incarnation, w.ids[:min(3, len(w.ids))], w.now)
	v.State(true, false, false)
	w.views[id] = v
	w.unlink(id)
}

// unlink closes all links of a process without notifying the other side.
func (w *world) unlink(id string) {
	delete(w.linked, id)
	for _, links := range w.linked {
		delete(links, id)
	}
}

func (w *world) kill(id string) {
	delete(w.views, id)
	w.unlink(id)
}

func (w *world) reaches(id, other string) bool {
	apart := w.apart == [2]string{id, other} || w.apart == [2]string{other, id}
	return w.views[other] != nil && w.cut[id] == w.cut[other] && !w.frozen[id] && !w.frozen[other] && !apart
}

// runs returns the processes that are neither killed nor suspended.
func (w *world) runs() []string {
	return slices.DeleteFunc(slices.Clone(w.ids), func(id string) bool { return w.views[id] == nil || w.frozen[id] })
}

// step advances the clock by 100 ms. It updates the links, sends pings every 500 ms, and then sends statements.
func (w *world) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	for id, at := range w.starts {
		if !w.now.Before(at) {
			delete(w.starts, id)
			w.start(id, 1)
		}
	}
	for _, id := range w.runs() {
		w.links(id)
	}
	if w.now.Sub(w.pinged) >= 500*time.Millisecond {
		w.pinged = w.now
		w.pings()
	}
	for _, id := range w.runs() {
		w.views[id].Tick(w.now)
	}
	for _, id := range w.runs() {
		w.flood(id)
	}
}

// links opens and closes the links of a process. On a new link, the two processes exchange summaries.
func (w *world) links(id string) {
	v := w.views[id]
	if w.linked[id] == nil {
		w.linked[id] = map[string]bool{}
	}
	wanted := v.Peers(w.now)
	for other := range w.linked[id] {
		if !slices.Contains(wanted, other) {
			delete(w.linked[id], other)
			if w.reaches(id, other) {
				w.views[other].Released(id)
			}
		}
	}
	for _, other := range wanted {
		if w.reaches(id, other) && !w.linked[id][other] {
			w.linked[id][other] = true
			v.Sign(w.now, other)
			w.views[other].Sign(w.now, id)
			w.compare(id, other)
			w.compare(other, id)
		}
	}
}

// compare sends the summary of a process to another one, which answers with the statements that the first lacks.
func (w *world) compare(id, other string) {
	summary := w.views[id].Summary()
	newer := w.views[other].Newer(summary)
	w.stamps += len(summary)
	w.sent += len(newer)
	w.views[id].Take(w.now, other, newer)
}

// pings sends a ping and a pong on each link. The pong carries the digest of the process that was dialled.
func (w *world) pings() {
	for id, links := range w.linked {
		for other := range links {
			if !w.reaches(id, other) {
				continue
			}
			w.views[id].Sign(w.now, other)
			w.views[other].Sign(w.now, id)
			if w.views[id].Differs(w.now, other, w.views[other].Digest()) {
				w.compare(id, other)
			}
		}
	}
}

// flood sends the pending statements of a process to its audience, and each accusation also to the accused process.
func (w *world) flood(id string) {
	v := w.views[id]
	linked := map[string]bool{}
	for other := range w.linked[id] {
		linked[other] = w.reaches(id, other)
	}
	for other, links := range w.linked {
		if links[id] {
			linked[other] = w.reaches(id, other)
		}
	}
	maps.DeleteFunc(linked, func(_ string, ok bool) bool { return !ok })
	news := v.News(w.now)
	audience := v.Audience(slices.Sorted(maps.Keys(linked)))
	for _, item := range news {
		to := audience
		if item.Statement.Down && linked[item.Statement.VM] {
			to = append(slices.Clone(to), item.Statement.VM)
		}
		for _, other := range to {
			if item.From != other {
				w.views[other].Take(w.now, id, []Statement{item.Statement})
				w.sent++
			}
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func TestFleetFindsItself(t *testing.T) {
	for _, n := range []int{1, 2, 9, 14, 80} {
		w := newWorld(n)
		w.run(5 * time.Second)
		for id, v := range w.views {
			assert.Equal(t, len(v.Callable()), n-1, "%d processes, %s", n, id)
			assert.Equal(t, v.Size(w.now), n)
		}
	}
}

// In a large fleet each process dials a small, bounded number of others.
func TestLinksStayFew(t *testing.T) {
	w := newWorld(200)
	w.run(3 * time.Second)
	for _, v := range w.views {
		assert.Assert(t, len(v.Peers(w.now)) <= DefaultRing+DefaultLinks+DefaultRetries)
	}
}

// The start of a fleet must not flood the links with statements. 80 processes publish a few statements each, which are passed
// on along about 10 links of each process.
func TestStartIsNotNoisy(t *testing.T) {
	w := newWorld(80)
	w.run(10 * time.Second)
	before := w.sent
	t.Logf("%d statements, %.1f for each process and link", before, float64(before)/(80*80*10))
	assert.Assert(t, before < 80*80*10*4, "%d statements", before)
	w.run(10 * time.Second)
	assert.Equal(t, w.sent, before)
}

// The links of a process must not change while the fleet doesn't change, even if the caller of Peers modifies the result.
func TestLinksStay(t *testing.T) {
	w := newWorld(40)
	w.run(6 * time.Second)
	before := map[string][]string{}
	for id, v := range w.views {
		before[id] = v.Peers(w.now)
	}
	for range 50 {
		w.step()
		for id, v := range w.views {
			peers := v.Peers(w.now)
			assert.DeepEqual(t, peers, before[id])
			peers = append(peers, "another")
			peers[0] = "another"
		}
	}
}

// A killed process must be off the list for callers after 7 s, even if more than half of the fleet is killed at the same
// time. The processes that remain must still have all of each other on the list.
func TestKilledProcessesAreDropped(t *testing.T) {
	for _, share := range []float64{0.02, 0.3, 0.6} {
		w := newWorld(60)
		w.run(3 * time.Second)
		rnd := rand.New(rand.NewPCG(1, uint64(share*100)))
		for _, id := range w.ids {
			if rnd.Float64() < share {
				w.kill(id)
			}
		}
		w.run(7 * time.Second)
		for id, v := range w.views {
			assert.Equal(t, len(v.Callable()), len(w.views)-1, "share %v, %s", share, id)
		}
	}
}

// A process whose own links have failed keeps the list for callers for Config.Doubt.
func TestCutOffProcessKeepsTheList(t *testing.T) {
	w := newWorld(9)
	w.run(3 * time.Second)
	w.cut["vm-04"] = true
	w.run(3 * time.Second)
	assert.Equal(t, len(w.views["vm-04"].Callable()), 8)
	assert.Assert(t, w.views["vm-04"].Doubtful())
	assert.Equal(t, len(w.views["vm-05"].Callable()), 7)
	assert.Assert(t, !w.views["vm-05"].Doubtful())
	w.run(4 * time.Second)
	assert.Equal(t, len(w.views["vm-04"].Callable()), 0)
	delete(w.cut, "vm-04")
	w.unlink("vm-04")
	w.run(2 * time.Second)
	assert.Equal(t, len(w.views["vm-04"].Callable()), 8)
}

// A process that announces its stop leaves the list for callers at once, and is listed again after its restart.
func TestPlannedStop(t *testing.T) {
	w := newWorld(40)
	w.run(3 * time.Second)
	w.views["vm-07"].State(true, true, false)
	w.run(700 * time.Millisecond)
	assert.Equal(t, len(w.views["vm-30"].Callable()), 38)
	assert.Equal(t, len(w.views["vm-30"].Running()), 39)
	w.start("vm-07", 2)
	w.run(2 * time.Second)
	assert.Equal(t, len(w.views["vm-30"].Callable()), 39)
}

// If the wall clock has stepped back between two runs of a process, the incarnation of the later run is lower. The
// statements of the earlier run must not replace those of the later one.
func TestRestartWithLowerIncarnation(t *testing.T) {
	w := newWorld(5)
	w.run(2 * time.Second)
	w.views["vm-04"].State(true, true, false)
	w.run(time.Second)
	w.start("vm-04", 0)
	w.run(2 * time.Second)
	assert.Equal(t, len(w.views["vm-00"].Callable()), 4)
}

// The shares of fleet-wide limits must not grow while a silent process may still be using its own share.
func TestSizeShrinksLate(t *testing.T) {
	w := newWorld(4)
	w.run(2 * time.Second)
	w.kill("vm-03")
	w.run(9 * time.Second)
	assert.Equal(t, w.views["vm-00"].Size(w.now), 4)
	w.run(4 * time.Second)
	assert.Equal(t, w.views["vm-00"].Size(w.now), 3)
}

// All processes must select the same readers of the platform, and never one that is stopping.
func TestReaders(t *testing.T) {
	w := newWorld(30)
	w.run(3 * time.Second)
	readers := w.views["vm-00"].Readers(2)
	assert.Equal(t, len(readers), 2)
	for _, v := range w.views {
		assert.DeepEqual(t, v.Readers(2), readers)
	}
	w.views[readers[0]].State(true, true, false)
	w.run(time.Second)
	assert.Assert(t, w.views["vm-00"].Readers(2)[0] != readers[0])
}

func TestForgottenAfterLongSilence(t *testing.T) {
	v := New(Config{}, "self", 1, []string{"seed"}, start)
	later := start.Add(DefaultStart)
	v.Sign(later, "x")
	v.Tick(later)
	assert.DeepEqual(t, v.Peers(later), []string{"seed", "x"})
	later = later.Add(DefaultForget + time.Second)
	v.Tick(later)
	assert.DeepEqual(t, v.Peers(later), []string{"seed"})
}

// When all processes of a data centre are killed, they must be off the list for callers after 7 s, and no process of another
// data centre may be dropped from the list meanwhile.
func TestDataCentreIsLost(t *testing.T) {
	w := newWorldOf(120, 6)
	w.run(8 * time.Second)
	for _, id := range w.ids {
		if w.zone(id) == "dc-3" {
			w.kill(id)
		}
	}
	for range 70 {
		w.step()
		for id, v := range w.views {
			assert.Assert(t, len(v.Callable()) >= 99, "%s after %v", id, w.now.Sub(start))
		}
	}
	for id, v := range w.views {
		assert.Equal(t, len(v.Callable()), 99, id)
	}
}

// A process that was suspended has received nothing for a while, and all others appear silent to it. It must not cause them
// to be dropped from the list for callers, and must itself be listed again within 4 s.
func TestFrozenProcess(t *testing.T) {
	w := newWorldOf(60, 3)
	w.run(8 * time.Second)
	w.frozen["vm-07"] = true
	w.run(6 * time.Second)
	for _, id := range w.runs() {
		assert.Equal(t, len(w.views[id].Callable()), 58, id)
	}
	delete(w.frozen, "vm-07")
	w.unlink("vm-07")
	for range 40 {
		w.step()
		for id, v := range w.views {
			assert.Assert(t, len(v.Callable()) >= 58, id)
		}
	}
	for id, v := range w.views {
		assert.Equal(t, len(v.Callable()), 59, id)
	}
}

// If only two processes can't reach each other, the others must keep both on the list for callers, and the repeated
// accusations and refutations must be limited by the backoff.
func TestOneLinkIsSilent(t *testing.T) {
	for _, n := range []int{9, 60} {
		w := newWorldOf(n, 3)
		w.run(8 * time.Second)
		w.apart = [2]string{"vm-04", w.views["vm-04"].Peers(w.now)[1]}
		before := w.sent
		for range 300 {
			w.step()
			for id, v := range w.views {
				assert.Assert(t, len(v.Callable()) == n-1 || id == w.apart[0] || id == w.apart[1], id)
			}
		}
		// At most six accusations from each of the two processes in 30 s, and one refutation for each.
		assert.Assert(t, w.sent-before < 4*6*n*(n+DefaultRing+DefaultLinks), "%d statements", w.sent-before)
	}
}

// After a network partition has healed, the two halves of the fleet must list each other again.
func TestPartitionHeals(t *testing.T) {
	w := newWorldOf(40, 2)
	w.run(8 * time.Second)
	for _, id := range w.ids {
		w.cut[id] = w.zone(id) == "dc-0"
	}
	w.run(30 * time.Second)
	for id, v := range w.views {
		assert.Equal(t, len(v.Callable()), 19, id)
	}
	clear(w.cut)
	w.run(6 * time.Second)
	for id, v := range w.views {
		assert.Equal(t, len(v.Callable()), 39, id)
	}
}

// startCost simulates the start of a whole fleet, and a kill of one process later on. It returns the numbers of statements
// and stamps that each process sends for the start, the number of statements that each sends for the kill, and the time
// after which all processes had listed all others.
func startCost(n int) (statements, stamps, kill float64, agreed time.Duration) {
	w := newWorldOf(n, 6)
	clear(w.views)
	for i, id := range w.ids {
		w.starts[id] = start.Add(time.Duration(i*7%4) * 100 * time.Millisecond)
	}
	known := func() bool {
		for _, v := range w.views {
			if len(v.Callable()) != len(w.views)-1 {
				return false
			}
		}
		return true
	}
	for agreed == 0 && w.now.Sub(start) < 10*time.Second {
		if w.step(); len(w.views) == n && known() {
			agreed = w.now.Sub(start)
		}
	}
	w.run(10*time.Second - w.now.Sub(start))
	statements, stamps = float64(w.sent)/float64(n), float64(w.stamps)/float64(n)
	before := w.sent
	w.kill(w.ids[n/2])
	w.run(5 * time.Second)
	return statements, stamps, float64(w.sent-before) / float64(n), agreed
}

// When a whole fleet starts, each process must send only a few statements about each other process along its few links.
// After a kill it must send only a few statements, whatever the size of the fleet.
func TestCostBySize(t *testing.T) {
	const links = DefaultRing + DefaultLinks
	for _, n := range []int{30, 100, 300} {
		statements, stamps, kill, agreed := startCost(n)
		t.Logf("%4d processes: %6.0f statements and %6.0f stamps sent by each at the start, %5.1f statements after a kill, all processes listed by all others after %v", n, statements, stamps, kill, agreed)
		assert.Assert(t, statements < 3*links*float64(n))
		assert.Assert(t, kill < 6*links)
		assert.Assert(t, agreed > 0 && agreed < 4*time.Second)
	}
}

func BenchmarkCostBySize(b *testing.B) {
	for range b.N {
		statements, stamps, kill, agreed := startCost(1800)
		b.ReportMetric(statements, "statements")
		b.ReportMetric(stamps, "stamps")
		b.ReportMetric(kill, "statements/kill")
		b.ReportMetric(agreed.Seconds(), "s_to_agree")
	}
}
