package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

var epoch = time.Unix(1_000_000, 0)

// fleet returns n live entry VMs spread over dcs data centres.
func fleet(n, dcs int) []plat.VM {
	vms := make([]plat.VM, n)
	for i := range vms {
		vms[i] = plat.VM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%dcs), State: plat.Live}
	}
	return vms
}

// Guards against sending new work because of evidence that is old, evidence that waited in a buffer, or a pong of a VM that
// is not listed.
func TestPermissionDatesEvidenceByItsRequest(t *testing.T) {
	at := func(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }
	v := New(Config{}, "vm-0", "dc-0", epoch)
	assert.Equal(t, v.Permission(at(0)).Reason, ReasonNoConfig)
	v.SetPublished(fleet(9, 4))
	v.RecordRead(at(0))
	assert.Equal(t, v.Permission(at(1)).Reason, ReasonStarting)
	v.RecordRead(at(2))
	permission := v.Permission(at(3))
	assert.Equal(t, permission.SendUntil, at(4))
	assert.Assert(t, permission.GrowUntil.IsZero())
	// A pong that waited in a buffer from 2.5 s to 10 s proves nothing at 10 s.
	v.RecordPong(at(2.5), "vm-1", 500*time.Millisecond, false)
	assert.Equal(t, v.Permission(at(10)).Reason, ReasonNoContact)
	// Four of nine VMs, this process included, are no majority. Five are, even if their pongs carry no evidence.
	for i := 1; i <= 3; i++ {
		v.RecordPong(at(10), fmt.Sprintf("vm-%d", i), NoEvidence, false)
	}
	v.RecordPong(at(10), "vm-99", 0, false)
	assert.Equal(t, v.Permission(at(10)).Reason, ReasonNoContact)
	v.RecordPong(at(9.5), "vm-4", NoEvidence, false)
	permission = v.Permission(at(10))
	assert.Equal(t, permission.Reason, ReasonNone)
	assert.Equal(t, permission.GrowUntil, at(11.5))
	// A peer that was removed from the list and added again counts only after a new pong.
	v.SetPublished(fleet(4, 4))
	v.SetPublished(fleet(9, 4))
	assert.Assert(t, v.Permission(at(10)).GrowUntil.IsZero())
	// A single VM is its own majority. With an empty list no work may be sent.
	v.SetPublished(fleet(1, 1))
	assert.Equal(t, v.Permission(at(50)).GrowUntil, at(52))
	v.SetPublished(nil)
	assert.Equal(t, v.Permission(at(50)).Reason, ReasonNoConfig)
}

// Guards against a large fleet in which every process reads the platform because it doesn't ping the VMs that rank before it
// as readers.
func TestReadersPerDataCentre(t *testing.T) {
	for _, pinged := range []int{2, 13, 1800} {
		vms := fleet(1800, 12)
		readers := map[string]int{}
		for i, vm := range vms {
			v := New(Config{}, vm.ID, vm.DataCentre, epoch)
			v.SetPublished(vms)
			ids := []string{}
			for k := 1; k <= pinged; k++ {
				peer := vms[(i+k*12)%len(vms)].ID
				ids = append(ids, peer)
				v.RecordPong(epoch, peer, 0, false)
			}
			v.SetPinged(ids)
			if v.IsReader(epoch) {
				readers[vm.DataCentre]++
			}
		}
		assert.Equal(t, len(readers), 12)
		for dc, n := range readers {
			assert.Equal(t, n, DefaultReadersPerDataCentre, dc)
		}
	}
}

// Guards against a burst of platform calls when all processes lose or regain the platform at the same time.
func TestFleetReadsStayBelow200PerSecond(t *testing.T) {
	const (
		tick                             = 100 * time.Millisecond
		outageStart, outageEnd, duration = 60, 240, 360 // seconds
		pongLag                          = 600 * time.Millisecond
		callsPerRead                     = 3
		maxCallsPerSecond                = 200
		recoveredWithin                  = 5 * time.Second
	)
	for _, size := range []struct{ n, dcs int }{{9, 4}, {1800, 12}} {
		vms := fleet(size.n, size.dcs)
		views := make([]*View, size.n)
		rnd := rand.New(rand.NewPCG(1, uint64(size.n)))
		for i, vm := range vms {
			views[i] = New(Config{}, vm.ID, vm.DataCentre, epoch)
			views[i].SetPublished(vms)
			views[i].SetPinged(nil)
			views[i].updateEvidence(epoch)
		}
		calls := make([]int, duration)
		var newest, recovered time.Time
		for at := time.Duration(0); at < duration*time.Second; at += tick {
			now := epoch.Add(at)
			second := int(at / time.Second)
			outage := second >= outageStart && second < outageEnd
			for _, v := range views {
				// Models peers that pass evidence on with a delay, without pongs.
				v.updateEvidence(newest.Add(-pongLag))
				due, ok := v.NextRead(now, rnd)
				if !ok || now.Before(due) {
					continue
				}
				calls[second] += callsPerRead
				if outage {
					v.RecordFailedRead(now)
					continue
				}
				v.RecordRead(now)
				newest = now
				if second >= outageEnd && recovered.IsZero() {
					recovered = now
				}
			}
		}
		steady, during, after := peak(calls[:outageStart]), peak(calls[outageStart:outageEnd]), peak(calls[outageEnd:])
		t.Logf("%d processes: most calls in one second: before the outage %d, during it %d, after it %d; first read %v after its end",
			size.n, steady, during, after, recovered.Sub(epoch.Add(outageEnd*time.Second)))
		assert.Assert(t, max(steady, during, after) < maxCallsPerSecond)
		assert.Assert(t, steady > 0 && during > 0)
		assert.Assert(t, recovered.Sub(epoch.Add(outageEnd*time.Second)) < recoveredWithin)
	}
}

// peak returns the largest number of calls in one second.
func peak(calls []int) int {
	most := 0
	for _, n := range calls {
		most = max(most, n)
	}
	return most
}

// Guards against sending work to a process that has released its targets and is about to exit, which would leave the outcome
// of an order unknown. The next process on the same VM must be used again.
func TestReleasedPeerTakesNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	v := New(Config{}, "vm-1", "dc-a", now)
	v.SetPublished([]plat.VM{{ID: "vm-1", State: plat.Live}, {ID: "vm-2", State: plat.Live}})
	v.RecordPong(now, "vm-2", 0, true)
	assert.Assert(t, v.Reachable(now, "vm-2"))
	v.RecordReleased("vm-2")
	assert.Assert(t, !v.Reachable(now, "vm-2"))
	v.RecordPong(now.Add(time.Second), "vm-2", 0, true)
	assert.Assert(t, !v.Reachable(now.Add(time.Second), "vm-2"))
	v.RecordPong(now.Add(2*time.Second), "vm-2", 0, false)
	assert.Assert(t, v.Reachable(now.Add(2*time.Second), "vm-2"))
}
