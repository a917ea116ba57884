package roster

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

// fleet simulates a fleet of entry processes. Pings and summaries arrive in the step in which they are sent; a statement is
// passed on by one hop in each step.
type fleet struct {
	now             time.Time
	ids             []string
	dataCentres     int
	views           map[string]*View
	isolated        map[string]bool            // processes on one side of a network partition, which can't reach the others
	suspended       map[string]bool            // suspended processes
	unreachablePair [2]string                  // two processes that can't reach each other
	openLinks       map[string]map[string]bool // open links, by the process that dialled and the one that was dialled
	lastPingsAt     time.Time                  // last round of pings
	delayedStarts   map[string]time.Time       // processes that start later, and when
	statementsSent  int                        // number of statements sent on links
	versionsSent    int                        // number of statement versions sent in summaries
}

// newFleet returns a running fleet of n processes in one data centre.
func newFleet(n int) *fleet { return newFleetAcross(n, 1) }

// newFleetAcross returns a running fleet of n processes in the given number of data centres.
func newFleetAcross(n, dataCentres int) *fleet {
	f := &fleet{now: start, dataCentres: dataCentres, views: map[string]*View{}, isolated: map[string]bool{}, suspended: map[string]bool{}, delayedStarts: map[string]time.Time{}, openLinks: map[string]map[string]bool{}}
	for i := range n {
		f.ids = append(f.ids, fmt.Sprintf("vm-%02d", i))
	}
	for _, id := range f.ids {
		f.startProcess(id, 1)
	}
	return f
}

func (f *fleet) dataCentre(id string) string {
	return fmt.Sprint("dc-", slices.Index(f.ids, id)%f.dataCentres)
}

func (f *fleet) startProcess(id string, incarnation uint64) {
	v := New(Config{DataCentre: f.dataCentre(id)}, id, incarnation, f.ids[:min(3, len(f.ids))], f.now)
	v.SetState(true, false, false)
	f.views[id] = v
	f.dropLinks(id)
}

// dropLinks closes all links of a process without notifying the other side.
func (f *fleet) dropLinks(id string) {
	delete(f.openLinks, id)
	for _, links := range f.openLinks {
		delete(links, id)
	}
}

// kill ends a process. The other processes are not notified.
func (f *fleet) kill(id string) {
	delete(f.views, id)
	f.dropLinks(id)
}

// reaches reports whether a message of one process reaches the other.
func (f *fleet) reaches(id, other string) bool {
	unreachable := f.unreachablePair == [2]string{id, other} || f.unreachablePair == [2]string{other, id}
	return f.views[other] != nil && f.isolated[id] == f.isolated[other] && !f.suspended[id] && !f.suspended[other] && !unreachable
}

// active returns the processes that are neither killed nor suspended.
func (f *fleet) active() []string {
	return slices.DeleteFunc(slices.Clone(f.ids), func(id string) bool { return f.views[id] == nil || f.suspended[id] })
}

// step advances the clock by 100 ms. It updates the links, sends pings every 500 ms, and then sends statements.
func (f *fleet) step() {
	f.now = f.now.Add(100 * time.Millisecond)
	for id, at := range f.delayedStarts {
		if !f.now.Before(at) {
			delete(f.delayedStarts, id)
			f.startProcess(id, 1)
		}
	}
	for _, id := range f.active() {
		f.updateLinks(id)
	}
	if f.now.Sub(f.lastPingsAt) >= 500*time.Millisecond {
		f.lastPingsAt = f.now
		f.sendPings()
	}
	for _, id := range f.active() {
		f.views[id].Tick(f.now)
	}
	for _, id := range f.active() {
		f.sendStatements(id)
	}
}

// updateLinks opens and closes the links of a process. On a new link, the two processes exchange summaries.
func (f *fleet) updateLinks(id string) {
	v := f.views[id]
	if f.openLinks[id] == nil {
		f.openLinks[id] = map[string]bool{}
	}
	peers := v.Peers(f.now)
	for other := range f.openLinks[id] {
		if !slices.Contains(peers, other) {
			delete(f.openLinks[id], other)
			if f.reaches(id, other) {
				f.views[other].RecordLinkClosed(id)
			}
		}
	}
	for _, other := range peers {
		if f.reaches(id, other) && !f.openLinks[id][other] {
			f.openLinks[id][other] = true
			v.RecordMessage(f.now, other)
			f.views[other].RecordMessage(f.now, id)
			f.sendSummary(id, other)
			f.sendSummary(other, id)
		}
	}
}

// sendSummary sends the summary of a process to another one, which answers with the statements that the first lacks.
func (f *fleet) sendSummary(id, other string) {
	summary := f.views[id].Summary()
	newer := f.views[other].NewerStatements(summary)
	f.versionsSent += len(summary)
	f.statementsSent += len(newer)
	f.views[id].MergeStatements(f.now, other, newer)
}

// sendPings sends a ping and a pong on each link. The pong carries the digest of the process that was dialled.
func (f *fleet) sendPings() {
	for id, links := range f.openLinks {
		for other := range links {
			if !f.reaches(id, other) {
				continue
			}
			f.views[id].RecordMessage(f.now, other)
			f.views[other].RecordMessage(f.now, id)
			if f.views[id].NeedsSummary(f.now, other, f.views[other].Digest()) {
				f.sendSummary(id, other)
			}
		}
	}
}

// sendStatements sends the pending statements of a process to its recipients, and each suspicion also to the suspected
// process.
func (f *fleet) sendStatements(id string) {
	v := f.views[id]
	isLinked := map[string]bool{}
	for other := range f.openLinks[id] {
		isLinked[other] = f.reaches(id, other)
	}
	for other, links := range f.openLinks {
		if links[id] {
			isLinked[other] = f.reaches(id, other)
		}
	}
	maps.DeleteFunc(isLinked, func(_ string, ok bool) bool { return !ok })
	pending := v.TakePending(f.now)
	recipients := v.Recipients(slices.Sorted(maps.Keys(isLinked)))
	for _, item := range pending {
		to := recipients
		if item.Statement.Down && isLinked[item.Statement.VM] {
			to = append(slices.Clone(to), item.Statement.VM)
		}
		for _, other := range to {
			if item.ReceivedFrom != other {
				f.views[other].MergeStatements(f.now, id, []Statement{item.Statement})
				f.statementsSent++
			}
		}
	}
}

func (f *fleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// Some seconds after the start of a fleet, every process must list all others for callers.
func TestAllProcessesListEachOther(t *testing.T) {
	for _, n := range []int{1, 2, 9, 14, 80} {
		f := newFleet(n)
		f.advance(5 * time.Second)
		for id, v := range f.views {
			assert.Equal(t, len(v.CallerList()), n-1, "%d processes, %s", n, id)
			assert.Equal(t, v.Size(f.now), n)
		}
	}
}

// In a large fleet each process must dial only a small, bounded number of others.
func TestLargeFleetKeepsFewLinks(t *testing.T) {
	f := newFleet(200)
	f.advance(3 * time.Second)
	for _, v := range f.views {
		assert.Assert(t, len(v.Peers(f.now)) <= DefaultRingLinks+DefaultHashLinks+DefaultRetryLinks)
	}
}

// The start of a fleet must not flood the links with statements. 80 processes publish a few statements each, which are
// passed on along about 10 links of each process.
func TestStartSendsFewStatements(t *testing.T) {
	f := newFleet(80)
	f.advance(10 * time.Second)
	before := f.statementsSent
	t.Logf("%d statements, %.1f for each process and link", before, float64(before)/(80*80*10))
	assert.Assert(t, before < 80*80*10*4, "%d statements", before)
	f.advance(10 * time.Second)
	assert.Equal(t, f.statementsSent, before)
}

// The links of a process must not change while the fleet doesn't change, even if the caller of Peers modifies the result.
func TestLinksDontChangeWithoutCause(t *testing.T) {
	f := newFleet(40)
	f.advance(6 * time.Second)
	before := map[string][]string{}
	for id, v := range f.views {
		before[id] = v.Peers(f.now)
	}
	for range 50 {
		f.step()
		for id, v := range f.views {
			peers := v.Peers(f.now)
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
		f := newFleet(60)
		f.advance(3 * time.Second)
		rnd := rand.New(rand.NewPCG(1, uint64(share*100)))
		for _, id := range f.ids {
			if rnd.Float64() < share {
				f.kill(id)
			}
		}
		f.advance(7 * time.Second)
		for id, v := range f.views {
			assert.Equal(t, len(v.CallerList()), len(f.views)-1, "share %v, %s", share, id)
		}
	}
}

// A process whose own links have failed keeps the list for callers for Config.ListHoldTime.
func TestIsolatedProcessKeepsListForCallers(t *testing.T) {
	f := newFleet(9)
	f.advance(3 * time.Second)
	f.isolated["vm-04"] = true
	f.advance(3 * time.Second)
	assert.Equal(t, len(f.views["vm-04"].CallerList()), 8)
	assert.Assert(t, f.views["vm-04"].MajorityLost())
	assert.Equal(t, len(f.views["vm-05"].CallerList()), 7)
	assert.Assert(t, !f.views["vm-05"].MajorityLost())
	f.advance(4 * time.Second)
	assert.Equal(t, len(f.views["vm-04"].CallerList()), 0)
	delete(f.isolated, "vm-04")
	f.dropLinks("vm-04")
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.views["vm-04"].CallerList()), 8)
}

// A process that announces its stop leaves the list for callers at once, and is listed again after its restart.
func TestPlannedStop(t *testing.T) {
	f := newFleet(40)
	f.advance(3 * time.Second)
	f.views["vm-07"].SetState(true, true, false)
	f.advance(700 * time.Millisecond)
	assert.Equal(t, len(f.views["vm-30"].CallerList()), 38)
	assert.Equal(t, len(f.views["vm-30"].Running()), 39)
	f.startProcess("vm-07", 2)
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.views["vm-30"].CallerList()), 39)
}

// If the wall clock has stepped back between two runs of a process, the incarnation of the later run is lower. The
// statements of the earlier run must not replace those of the later one.
func TestRestartWithLowerIncarnation(t *testing.T) {
	f := newFleet(5)
	f.advance(2 * time.Second)
	f.views["vm-04"].SetState(true, true, false)
	f.advance(time.Second)
	f.startProcess("vm-04", 0)
	f.advance(2 * time.Second)
	assert.Equal(t, len(f.views["vm-00"].CallerList()), 4)
}

// The shares of fleet-wide limits must not grow while a silent process may still be using its own share.
func TestSizeShrinksLate(t *testing.T) {
	f := newFleet(4)
	f.advance(2 * time.Second)
	f.kill("vm-03")
	f.advance(9 * time.Second)
	assert.Equal(t, f.views["vm-00"].Size(f.now), 4)
	f.advance(4 * time.Second)
	assert.Equal(t, f.views["vm-00"].Size(f.now), 3)
}

// All processes must select the same readers of the platform, and never one that is stopping.
func TestReaders(t *testing.T) {
	f := newFleet(30)
	f.advance(3 * time.Second)
	readers := f.views["vm-00"].Readers(2)
	assert.Equal(t, len(readers), 2)
	for _, v := range f.views {
		assert.DeepEqual(t, v.Readers(2), readers)
	}
	f.views[readers[0]].SetState(true, true, false)
	f.advance(time.Second)
	assert.Assert(t, f.views["vm-00"].Readers(2)[0] != readers[0])
}

// A member that hasn't run for DefaultRemoveAfter must be removed, unless it is a seed.
func TestSilentMemberIsRemoved(t *testing.T) {
	v := New(Config{}, "self", 1, []string{"seed"}, start)
	now := start.Add(DefaultSettleTime)
	v.RecordMessage(now, "x")
	v.Tick(now)
	assert.DeepEqual(t, v.Peers(now), []string{"seed", "x"})
	now = now.Add(DefaultRemoveAfter + time.Second)
	v.Tick(now)
	assert.DeepEqual(t, v.Peers(now), []string{"seed"})
}

// When all processes of a data centre are killed, they must be off the list for callers after 7 s, and no process of another
// data centre may be dropped from the list meanwhile.
func TestDataCentreFailure(t *testing.T) {
	f := newFleetAcross(120, 6)
	f.advance(8 * time.Second)
	for _, id := range f.ids {
		if f.dataCentre(id) == "dc-3" {
			f.kill(id)
		}
	}
	for range 70 {
		f.step()
		for id, v := range f.views {
			assert.Assert(t, len(v.CallerList()) >= 99, "%s after %v", id, f.now.Sub(start))
		}
	}
	for id, v := range f.views {
		assert.Equal(t, len(v.CallerList()), 99, id)
	}
}

// A process that was suspended has received nothing for a while, and all others appear silent to it. It must not cause them
// to be dropped from the list for callers, and must itself be listed again within 4 s.
func TestSuspendedProcess(t *testing.T) {
	f := newFleetAcross(60, 3)
	f.advance(8 * time.Second)
	f.suspended["vm-07"] = true
	f.advance(6 * time.Second)
	for _, id := range f.active() {
		assert.Equal(t, len(f.views[id].CallerList()), 58, id)
	}
	delete(f.suspended, "vm-07")
	f.dropLinks("vm-07")
	for range 40 {
		f.step()
		for id, v := range f.views {
			assert.Assert(t, len(v.CallerList()) >= 58, id)
		}
	}
	for id, v := range f.views {
		assert.Equal(t, len(v.CallerList()), 59, id)
	}
}

// If only two processes can't reach each other, the others must keep both on the list for callers, and the repeated
// suspicions and refutations must be limited by the backoff.
func TestTwoProcessesCantReachEachOther(t *testing.T) {
	for _, n := range []int{9, 60} {
		f := newFleetAcross(n, 3)
		f.advance(8 * time.Second)
		f.unreachablePair = [2]string{"vm-04", f.views["vm-04"].Peers(f.now)[1]}
		before := f.statementsSent
		for range 300 {
			f.step()
			for id, v := range f.views {
				assert.Assert(t, len(v.CallerList()) == n-1 || id == f.unreachablePair[0] || id == f.unreachablePair[1], id)
			}
		}
		// At most six suspicions from each of the two processes in 30 s, and one refutation for each.
		assert.Assert(t, f.statementsSent-before < 4*6*n*(n+DefaultRingLinks+DefaultHashLinks), "%d statements", f.statementsSent-before)
	}
}

// After a network partition has healed, the two halves of the fleet must list each other again.
func TestPartitionHeals(t *testing.T) {
	f := newFleetAcross(40, 2)
	f.advance(8 * time.Second)
	for _, id := range f.ids {
		f.isolated[id] = f.dataCentre(id) == "dc-0"
	}
	f.advance(30 * time.Second)
	for id, v := range f.views {
		assert.Equal(t, len(v.CallerList()), 19, id)
	}
	clear(f.isolated)
	f.advance(6 * time.Second)
	for id, v := range f.views {
		assert.Equal(t, len(v.CallerList()), 39, id)
	}
}

// measureCost simulates the start of a whole fleet, and later the kill of one process. It returns the average numbers of
// statements and of statement versions that a process sends for the start, the average number of statements that it sends for
// the kill, and the time after the start at which all processes listed all others.
func measureCost(n int) (statements, versions, statementsAfterKill float64, listedAfter time.Duration) {
	f := newFleetAcross(n, 6)
	clear(f.views)
	for i, id := range f.ids {
		f.delayedStarts[id] = start.Add(time.Duration(i*7%4) * 100 * time.Millisecond)
	}
	allListEachOther := func() bool {
		for _, v := range f.views {
			if len(v.CallerList()) != len(f.views)-1 {
				return false
			}
		}
		return true
	}
	for listedAfter == 0 && f.now.Sub(start) < 10*time.Second {
		if f.step(); len(f.views) == n && allListEachOther() {
			listedAfter = f.now.Sub(start)
		}
	}
	f.advance(10*time.Second - f.now.Sub(start))
	statements, versions = float64(f.statementsSent)/float64(n), float64(f.versionsSent)/float64(n)
	before := f.statementsSent
	f.kill(f.ids[n/2])
	f.advance(5 * time.Second)
	return statements, versions, float64(f.statementsSent-before) / float64(n), listedAfter
}

// When a whole fleet starts, each process must send only a few statements about each other process along its few links.
// After a kill it must send only a few statements, whatever the size of the fleet.
func TestCostBySize(t *testing.T) {
	const links = DefaultRingLinks + DefaultHashLinks
	for _, n := range []int{30, 100, 300} {
		statements, versions, statementsAfterKill, listedAfter := measureCost(n)
		t.Logf("%4d processes: %6.0f statements and %6.0f versions sent by each at the start, %5.1f statements after a kill, all processes listed by all others after %v", n, statements, versions, statementsAfterKill, listedAfter)
		assert.Assert(t, statements < 3*links*float64(n))
		assert.Assert(t, statementsAfterKill < 6*links)
		assert.Assert(t, listedAfter > 0 && listedAfter < 4*time.Second)
	}
}

// BenchmarkCostBySize reports the result of measureCost for 1,800 processes.
func BenchmarkCostBySize(b *testing.B) {
	for range b.N {
		statements, versions, statementsAfterKill, listedAfter := measureCost(1800)
		b.ReportMetric(statements, "statements")
		b.ReportMetric(versions, "stamps")
		b.ReportMetric(statementsAfterKill, "statements/kill")
		b.ReportMetric(listedAfter.Seconds(), "s_to_agree")
	}
}
