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

// fleet returns n entry VMs, spread over 4 to 12 data centres.
func fleet(n int) []plat.VM {
	vms := make([]plat.VM, n)
	for i := range vms {
		vms[i] = plat.VM{ID: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%min(12, max(4, n/40)))}
	}
	return vms
}

type message struct {
	from   string
	push   Message
	digest uint64
}

// network connects Gossip nodes and delivers their messages in rounds.
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
		w.nodes[vm.ID].SetPeers(vms)
	}
	return w
}

func (w *network) send(from string, pushes []Message) {
	for _, p := range pushes {
		w.sent[p.Kind]++
		w.inFlight = append(w.inFlight, message{from, p, w.digests[from].Rules})
	}
}

// accept stores the revision at a node that has an older one and sends the messages that follow.
func (w *network) accept(id string, revision uint64) {
	if w.digests[id].Rules < revision {
		w.digests[id] = policy.Digest{Rules: revision}
		w.send(id, w.nodes[id].ChangeMessages(plat.KeyRules))
	}
}

// deliverRound delivers all messages in flight. Messages that are sent meanwhile are delivered in the next round.
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
			w.send(to, []Message{{To: m.from, Key: m.push.Key}})
		case Announcement:
			w.send(to, w.nodes[to].DigestMessages(m.from, policy.Digest{Rules: m.digest}, w.digests[to]))
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
				w.send(n, w.nodes[n].DigestMessages(id, w.digests[id], w.digests[n]))
				w.send(id, g.DigestMessages(n, w.digests[n], w.digests[id]))
			}
		}
	}
}

// acceptedCount returns the number of nodes that hold revision 1.
func (w *network) acceptedCount() int {
	n := 0
	for id := range w.nodes {
		if w.digests[id].Rules == 1 {
			n++
		}
	}
	return n
}

// spread publishes revision 1 at one node and returns the number of rounds until all nodes hold it or no message is in
// flight.
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

// degree returns the mean and the largest number of neighbours of a node.
func (w *network) degree() (mean float64, largest int) {
	sum := 0
	for _, g := range w.nodes {
		sum += len(g.neighbours)
		largest = max(largest, len(g.neighbours))
	}
	return float64(sum) / float64(len(w.nodes)), largest
}

// Guards against a change that needs too many rounds, misses nodes, or sends the document more than once per node.
func TestSpread(t *testing.T) {
	for _, n := range sizes {
		vms := fleet(n)
		w := newNetwork(vms, Config{FullMeshLimit: 1})
		rounds := w.spread(vms[0].ID)
		_, most := w.degree()
		assert.Equal(t, w.acceptedCount(), n)
		assert.Assert(t, rounds <= 18 && w.sent[Document] < n && most <= 16)
	}
}

// Guards against nodes that keep an old revision forever after lost messages, with failed neighbours, or with a neighbour
// whose list makes it expect a full mesh.
func TestRepair(t *testing.T) {
	for _, n := range []int{9, 64, 1800} {
		vms := fleet(n)
		rnd := rand.New(rand.NewPCG(2, uint64(n)))
		w := newNetwork(vms, Config{})
		w.drop = func(message) bool { return rnd.IntN(5) == 0 }
		for _, vm := range vms[n-n/10:] {
			delete(w.nodes, vm.ID)
		}
		// One node still has an old list that is short enough for a full mesh.
		w.nodes[vms[1].ID].SetPeers(vms[:9])
		w.spread(vms[0].ID)
		first, pings := w.acceptedCount(), 0
		for ; w.acceptedCount() < len(w.nodes) && pings < 6; pings++ {
			w.ping()
			for range 12 {
				w.deliverRound()
			}
		}
		t.Logf("n=%d: %d of %d nodes reached without pings, all after %d rounds of pings", n, first, len(w.nodes), pings)
		assert.Equal(t, w.acceptedCount(), len(w.nodes))
	}
}

// Guards against links that only one side knows, neighbours in only one data centre, and the change of unrelated links when
// one VM is removed from the list.
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

// newestEvidence returns the newest evidence of the node and its neighbours. The caller subtracts the delay of a round
// trip, which the evidence of the node itself doesn't incur, so the delay is added to that evidence first.
func (w *network) newestEvidence(id string, evidence map[string]int) int {
	newest := evidence[id] + 2*delay
	for _, p := range w.nodes[id].Neighbours() {
		newest = max(newest, evidence[p])
	}
	return newest
}

// delay is the one-way delay of a message in milliseconds, with some allowance.
const delay = 3

// Guards against evidence that exceeds the age limit for new work after it was passed on through several neighbours.
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
