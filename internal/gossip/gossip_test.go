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

// inFlightMessage is a message that was sent and not yet delivered, with the revision that its sender holds.
type inFlightMessage struct {
	from     string
	content  Message
	revision uint64
}

// network connects Gossip nodes and delivers their messages in rounds.
type network struct {
	vms       []plat.VM
	nodes     map[string]*Gossip
	revisions map[string]policy.Revisions
	inFlight  []inFlightMessage
	sent      [3]int // by MessageKind
	drop      func(inFlightMessage) bool
}

// newNetwork returns a network with a node for each VM, in which no message is dropped.
func newNetwork(vms []plat.VM, cfg Config) *network {
	w := &network{vms: vms, nodes: map[string]*Gossip{}, revisions: map[string]policy.Revisions{}, drop: func(inFlightMessage) bool { return false }}
	for _, vm := range vms {
		w.nodes[vm.ID] = New(cfg, vm.ID)
		w.nodes[vm.ID].SetPeers(vms)
	}
	return w
}

// send puts the messages of a node in flight.
func (w *network) send(from string, messages []Message) {
	for _, m := range messages {
		w.sent[m.Kind]++
		w.inFlight = append(w.inFlight, inFlightMessage{from, m, w.revisions[from].Rules})
	}
}

// acceptRevision stores the revision at a node that has an older one and sends the messages that follow.
func (w *network) acceptRevision(id string, revision uint64) {
	if w.revisions[id].Rules < revision {
		w.revisions[id] = policy.Revisions{Rules: revision}
		w.send(id, w.nodes[id].ChangeMessages(plat.KeyRules))
	}
}

// deliverRound delivers all messages in flight. Messages that are sent meanwhile are delivered in the next round.
func (w *network) deliverRound() {
	now := w.inFlight
	w.inFlight = nil
	for _, m := range now {
		to := m.content.To
		if w.nodes[to] == nil || w.drop(m) {
			continue
		}
		switch m.content.Kind {
		case Document:
			w.acceptRevision(to, m.revision)
		case Request:
			w.send(to, []Message{{To: m.from, Key: m.content.Key}})
		case Announcement:
			w.send(to, w.nodes[to].DigestMessages(m.from, policy.Revisions{Rules: m.revision}, w.revisions[to]))
		}
	}
}

// ping lets every node exchange revisions with its neighbours.
func (w *network) ping() {
	for _, vm := range w.vms {
		id, g := vm.ID, w.nodes[vm.ID]
		if g == nil {
			continue
		}
		for _, n := range g.Neighbours() {
			if w.nodes[n] != nil {
				w.send(n, w.nodes[n].DigestMessages(id, w.revisions[id], w.revisions[n]))
				w.send(id, g.DigestMessages(n, w.revisions[n], w.revisions[id]))
			}
		}
	}
}

// holderCount returns the number of nodes that hold revision 1.
func (w *network) holderCount() int {
	n := 0
	for id := range w.nodes {
		if w.revisions[id].Rules == 1 {
			n++
		}
	}
	return n
}

// spread publishes revision 1 at one node and returns the number of rounds until all nodes hold it or no message is in
// flight.
func (w *network) spread(origin string) (rounds int) {
	w.acceptRevision(origin, 1)
	for ; len(w.inFlight) > 0; rounds++ {
		if w.holderCount() == len(w.nodes) {
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
func TestChangeReachesAllNodes(t *testing.T) {
	for _, n := range sizes {
		vms := fleet(n)
		w := newNetwork(vms, Config{FullMeshLimit: 1})
		rounds := w.spread(vms[0].ID)
		_, largestDegree := w.degree()
		assert.Equal(t, w.holderCount(), n)
		assert.Assert(t, rounds <= 18 && w.sent[Document] < n && largestDegree <= 16)
	}
}

// Guards against nodes that keep an old revision forever: after lost messages, because neighbours have failed, or because
// the list of a neighbour is so short that the neighbour expects a full mesh.
func TestPingsRepairMissedChanges(t *testing.T) {
	for _, n := range []int{9, 64, 1800} {
		vms := fleet(n)
		rnd := rand.New(rand.NewPCG(2, uint64(n)))
		w := newNetwork(vms, Config{})
		w.drop = func(inFlightMessage) bool { return rnd.IntN(5) == 0 }
		for _, vm := range vms[n-n/10:] {
			delete(w.nodes, vm.ID)
		}
		// One node still has an old list that is short enough for a full mesh.
		w.nodes[vms[1].ID].SetPeers(vms[:9])
		w.spread(vms[0].ID)
		reached, pings := w.holderCount(), 0
		for ; w.holderCount() < len(w.nodes) && pings < 6; pings++ {
			w.ping()
			for range 12 {
				w.deliverRound()
			}
		}
		t.Logf("n=%d: %d of %d nodes reached without pings, all after %d rounds of pings", n, reached, len(w.nodes), pings)
		assert.Equal(t, w.holderCount(), len(w.nodes))
	}
}

// Guards against links that only one side knows, neighbours in only one data centre, and the change of unrelated links when
// one VM is removed from the list.
func TestNeighboursAreSymmetricAndStable(t *testing.T) {
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

// newestEvidence returns the newest evidence time of the node and its neighbours. The caller subtracts a round trip from
// the result. The evidence of the node itself makes no round trip, so newestEvidence adds the length of one to it.
func (w *network) newestEvidence(id string, evidence map[string]int) int {
	newest := evidence[id] + 2*delay
	for _, neighbour := range w.nodes[id].Neighbours() {
		newest = max(newest, evidence[neighbour])
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
		quantile := func(permille int) time.Duration {
			return time.Duration(ages[(len(ages)-1)*permille/1000]) * time.Millisecond
		}
		t.Logf("n=%4d: evidence age median %v, p99.9 %v, most %v", n, quantile(500), quantile(999), quantile(1000))
		assert.Assert(t, quantile(1000) < fresh*time.Millisecond)
	}
}
