package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

var sizes = []int{8, 16, 32, 64, 128, 512, 1800}

func fleet(n int) []plat.VM {
	vms := make([]plat.VM, n)
	for i := range vms {
		vms[i] = plat.VM{ID: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%min(12, max(4, n/40)))}
	}
	return vms
}

type message struct {
	from   string
	push   Push
	digest uint64
}

// network delivers messages in rounds.
type network struct {
	vms      []plat.VM
	nodes    map[string]*Gossip
	digests  map[string]policy.Digest
	inFlight []message
	sent     [3]int // by Kind
	drop     func(message) bool
}

func newNetwork(vms []plat.VM, cfg Config) *network {
	w := &network{vms: vms, nodes: map[string]*Gossip{}, digests: map[string]policy.Digest{}, drop: func(message) bool { return false }}
	for _, vm := range vms {
		w.nodes[vm.ID] = New(cfg, vm.ID)
		w.nodes[vm.ID].Peers(vms)
	}
	return w
}

func (w *network) send(from string, pushes []Push) {
	for _, p := range pushes {
		w.sent[p.Kind]++
		w.inFlight = append(w.inFlight, message{from, p, w.digests[from].Rules})
	}
}

func (w *network) accept(id string, revision uint64) {
	if w.digests[id].Rules < revision {
		w.digests[id] = policy.Digest{Rules: revision}
		w.send(id, w.nodes[id].Changed(plat.KeyRules))
	}
}

func (w *network) deliverRound() {
	now := w.inFlight
	w.inFlight = nil
	for _, m := range now {
		to := m.push.To
		if w.nodes[to] == nil || w.drop(m) {
			continue
		}
		switch m.push.Kind {
		case Document:
			w.accept(to, m.digest)
		case Request:
			w.send(to, []Push{{To: m.from, Key: m.push.Key}})
		case Announce:
			w.send(to, w.nodes[to].Heard(m.from, policy.Digest{Rules: m.digest}, w.digests[to]))
		}
	}
}

// ping lets every node exchange digests with its neighbours.
func (w *network) ping() {
	for _, vm := range w.vms {
		id, g := vm.ID, w.nodes[vm.ID]
		if g == nil {
			continue
		}
		for _, n := range g.Neighbours() {
			if w.nodes[n] != nil {
				w.send(n, w.nodes[n].Heard(id, w.digests[id], w.digests[n]))
				w.send(id, g.Heard(n, w.digests[n], w.digests[id]))
			}
		}
	}
}

func (w *network) acceptedCount() int {
	n := 0
	for id := range w.nodes {
		if w.digests[id].Rules == 1 {
			n++
		}
	}
	return n
}

// spread publishes at one node and returns the number of rounds until nothing is in flight.
func (w *network) spread(origin string) (rounds int) {
	w.accept(origin, 1)
	for ; len(w.inFlight) > 0; rounds++ {
		if w.acceptedCount() == len(w.nodes) {
			break
		}
		w.deliverRound()
	}
	return rounds
}

func (w *network) degree() (mean float64, most int) {
	sum := 0
	for _, g := range w.nodes {
		sum += len(g.neighbours)
		most = max(most, len(g.neighbours))
	}
	return float64(sum) / float64(len(w.nodes)), most
}

// Guards against a change that needs many rounds, misses nodes, or carries the document more than once per node.
func TestSpread(t *testing.T) {
	for _, n := range sizes {
		vms := fleet(n)
		w := newNetwork(vms, Config{Full: 1})
		rounds := w.spread(vms[0].ID)
		_, most := w.degree()
		assert.Equal(t, w.acceptedCount(), n)
		assert.Assert(t, rounds <= 18 && w.sent[Document] < n && most <= 16)
	}
}

// Guards against lost messages, dead neighbours and mixed modes that leave nodes behind for good.
func TestRepair(t *testing.T) {
	for _, n := range []int{9, 64, 1800} {
		vms := fleet(n)
		rnd := rand.New(rand.NewPCG(2, uint64(n)))
		w := newNetwork(vms, Config{})
		w.drop = func(message) bool { return rnd.IntN(5) == 0 }
		for _, vm := range vms[n-n/10:] {
			delete(w.nodes, vm.ID)
		}
		// One node still holds a list that is short enough for a full mesh.
		w.nodes[vms[1].ID].Peers(vms[:9])
		w.spread(vms[0].ID)
		first, pings := w.acceptedCount(), 0
		for ; w.acceptedCount() < len(w.nodes) && pings < 6; pings++ {
			w.ping()
			for range 12 {
				w.deliverRound()
			}
		}
		t.Logf("n=%d: %d of %d without repair, all after %d pings", n, first, len(w.nodes), pings)
		assert.Equal(t, w.acceptedCount(), len(w.nodes))
	}
}

// Guards against one-sided links, a neighbourhood in one data centre, and churn of links when one VM leaves.
func TestNeighbours(t *testing.T) {
	vms := fleet(512)
	w, after := newNetwork(vms, Config{}), newNetwork(vms[1:], Config{})
	dc := map[string]string{}
	for _, vm := range vms {
		dc[vm.ID] = vm.DataCentre
	}
	changed := 0
	for id, g := range w.nodes {
		local, remote := 0, 0
		for _, n := range g.Neighbours() {
			if dc[n] == dc[id] {
				local++
			} else {
				remote++
			}
			assert.Assert(t, slices.Contains(w.nodes[n].neighbours, id))
		}
		assert.Assert(t, local >= 2 && remote >= minRemoteNeighbours)
		if after.nodes[id] != nil && !slices.Equal(g.neighbours, after.nodes[id].neighbours) {
			changed++
		}
	}
	assert.Assert(t, changed <= len(w.nodes[vms[0].ID].neighbours))
}

// newestEvidence returns the newestEvidence evidence of the node's neighbours and its own, which costs it no delay.
func (w *network) newestEvidence(id string, evidence map[string]int) int {
	newest := evidence[id] + 2*delay
	for _, p := range w.nodes[id].Neighbours() {
		newest = max(newest, evidence[p])
	}
	return newest
}

// delay is the time of a message one way in milliseconds, with some allowance.
const delay = 3

// Guards against evidence that is older than the freshness bound after a chain of neighbours.
func TestEvidenceAgeThroughChain(t *testing.T) {
	const pingEvery, poll, fresh = 300, 500, 2000 // milliseconds
	for _, n := range sizes {
		vms := fleet(n)
		w := newNetwork(vms, Config{})
		rnd := rand.New(rand.NewPCG(3, uint64(n)))
		evidence, phase := map[string]int{}, map[string]int{}
		perDC := map[string]int{}
		for _, vm := range vms {
			phase[vm.ID] = rnd.IntN(poll * pingEvery)
			perDC[vm.DataCentre]++
		}
		var ages []int
		for ms := range 8000 {
			for i, vm := range vms {
				id := vm.ID
				reader := i < 2*len(perDC)
				if reader && (ms+phase[id])%poll == 0 {
					evidence[id] = max(evidence[id], ms-poll) // dated by the start of the watch that ends now
				}
				if (ms+phase[id])%pingEvery == 0 {
					evidence[id] = w.newestEvidence(id, evidence) - 2*delay
				}
				if ms > 5000 && ms%50 == 0 {
					ages = append(ages, ms-evidence[id])
				}
			}
		}
		sort.Ints(ages)
		at := func(q int) time.Duration { return time.Duration(ages[(len(ages)-1)*q/1000]) * time.Millisecond }
		t.Logf("n=%4d: evidence age median %v, p99.9 %v, most %v", n, at(500), at(999), at(1000))
		assert.Assert(t, at(1000) < fresh*time.Millisecond)
	}
}
