// Package gossip decides which peers this process pings and which documents it sends them.
//
// # Usage
//
//	g := gossip.New(gossip.Config{}, "vm-1")
//	g.Peers(vms)                         // the published entry VMs
//	for _, id := range g.Neighbours() { ping id }
//	pushes := g.Changed(plat.KeyRules)   // a document was accepted here, from the platform or from a peer
//	pushes = g.Heard("vm-2", theirs, mine) // a ping or pong arrived
//
// # Dissemination
//
// Up to Config.Full members every process is a neighbour of every other. An accepted document is sent to all, and a
// digest that shows a peer behind is answered with the document.
//
// Larger fleets use a bounded number of neighbours, about log2(n)+2. Each process would receive a document of up to
// 1 MB once from every neighbour, so an accepted document is announced by a digest, and each process requests it
// from one neighbour that is ahead. It announces in turn once it has accepted the document. Digests in pings repeat the
// announcement, so a lost message costs one ping interval.
//
// # Neighbours
//
// The neighbours of a process are its predecessor and successor on several random cycles: some over the VMs of
// its data centre, the others over all VMs. Every process computes the same cycles from the list and the seed,
// so links are symmetric, every cycle connects its members, and a change of the list moves only the links next to it.
//
// Choosing neighbours by interest (SpiderCast, DEBS 2007) was measured and not adopted: all processes need all
// three keys, so it only adds links. BenchmarkOverlays has the comparison.
package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the size of the neighbourhood. Zero fields take the defaults.
type Config struct {
	Full int    // fleets up to this size are fully connected
	Seed uint64 // the same for the whole fleet; selects the cycles
}

const (
	// DefaultFull keeps today's fleets of 8 to 9 processes fully connected.
	DefaultFull = 32
	// minRemoteNeighbours is the number of neighbours in other data centres, so that losing one link isolates none.
	minRemoteNeighbours = 2
	// pushAfterDigests is the number of digests in a row that show a peer behind before it is sent the document without a
	// request. Processes whose lists differ in size around Config.Full disagree about who has to act.
	pushAfterDigests = 3
	// localCycleDivisor is the divisor of the cycles within the data centre.
	localCycleDivisor = 3
)

// Kind says what to send.
type Kind uint8

// Kinds of Push.
const (
	Document Kind = iota // the document of Key
	Announce             // a ping with this process's digest, at once
	Request              // a request for the document of Key; the peer answers with it
)

// Push asks to send something about a key to a peer.
type Push struct {
	To   string
	Key  string
	Kind Kind
}

// request is the newest request for the document of a key.
type request struct {
	revision     uint64
	peer         string
	otherDigests int // digests of other peers that were ahead since then
}

// lag is how often in a row a peer was seen to lack a revision.
type lag struct {
	revision uint64
	digests  int
}

type peerKey struct{ peer, key string }

// Gossip holds the neighbourhood of one process.
type Gossip struct {
	cfg        Config
	self       string
	fullMesh   bool
	neighbours []string
	requests   map[string]request
	lagging    map[peerKey]lag
}

// New returns a process without neighbours.
func New(cfg Config, self string) *Gossip {
	cfg.Full = cmp.Or(cfg.Full, DefaultFull)
	return &Gossip{cfg: cfg, self: self, fullMesh: true, requests: map[string]request{}, lagging: map[peerKey]lag{}}
}

// Peers takes the published entry VMs.
func (g *Gossip) Peers(vms []plat.VM) {
	chosen := map[string]bool{}
	g.fullMesh = len(vms) <= g.cfg.Full
	if g.fullMesh {
		for _, vm := range vms {
			chosen[vm.ID] = true
		}
	} else {
		g.addNeighbours(vms, chosen)
	}
	delete(chosen, g.self)
	g.neighbours = make([]string, 0, len(chosen))
	for id := range chosen {
		g.neighbours = append(g.neighbours, id)
	}
	sort.Strings(g.neighbours)
	g.lagging = map[peerKey]lag{}
}

// addNeighbours adds the neighbours on all cycles and, where they lie in too few other data centres, further peers.
func (g *Gossip) addNeighbours(vms []plat.VM, chosen map[string]bool) {
	var own, other []string
	dc := ""
	for _, vm := range vms {
		if vm.ID == g.self {
			dc = vm.DataCentre
		}
	}
	all := make([]string, 0, len(vms))
	for _, vm := range vms {
		all = append(all, vm.ID)
		if vm.DataCentre == dc {
			own = append(own, vm.ID)
		} else {
			other = append(other, vm.ID)
		}
	}
	cycles := (bits.Len(uint(len(vms)-1)) + 3) / 2
	for c := range cycles {
		members := all
		if c < cycles/localCycleDivisor {
			members = own
		}
		for _, id := range g.adjacent(members, strconv.Itoa(c)) {
			chosen[id] = true
		}
	}
	remote := 0
	for _, id := range other {
		if chosen[id] {
			remote++
		}
	}
	minRemote := minRemoteNeighbours
	if dc == "" {
		// This process is not listed and therefore on no cycle.
		minRemote = 2 * cycles
	}
	if remote < minRemote {
		sort.Slice(other, func(i, j int) bool { return g.point(g.self, other[i]).before(g.point(g.self, other[j])) })
	}
	for _, id := range other {
		if remote >= minRemote {
			break
		}
		if !chosen[id] {
			chosen[id] = true
			remote++
		}
	}
}

// adjacent returns the predecessor and the successor of this process on the cycle of the members, which is
// ordered by hash. They are found without sorting because every change of the list needs them on every cycle.
func (g *Gossip) adjacent(members []string, salt string) []string {
	if len(members) < 2 || !slices.Contains(members, g.self) {
		return nil
	}
	own := g.point(salt, g.self)
	var first, last, previous, next cyclePoint
	for _, id := range members {
		if id == g.self {
			continue
		}
		p := g.point(salt, id)
		first = replaceIf(first, p, p.before(first))
		last = replaceIf(last, p, last.before(p))
		if p.before(own) {
			previous = replaceIf(previous, p, previous.before(p))
		} else {
			next = replaceIf(next, p, p.before(next))
		}
	}
	if previous.id == "" {
		previous = last
	}
	if next.id == "" {
		next = first
	}
	return []string{previous.id, next.id}
}

// cyclePoint is the place of a VM on a cycle. An empty id means none.
type cyclePoint struct {
	hash uint64
	id   string
}

func (g *Gossip) point(salt, id string) cyclePoint {
	return cyclePoint{xxhash.Sum64String(strconv.FormatUint(g.cfg.Seed, 16) + "/" + salt + "/" + id), id}
}

func (p cyclePoint) before(q cyclePoint) bool {
	return p.hash < q.hash || p.hash == q.hash && p.id < q.id
}

// replaceIf returns p if there is no current point or p is better.
func replaceIf(current, p cyclePoint, better bool) cyclePoint {
	if current.id == "" || better {
		return p
	}
	return current
}

// Neighbours returns the peers to ping.
func (g *Gossip) Neighbours() []string { return g.neighbours }

// Changed returns what to send after a document was accepted here.
func (g *Gossip) Changed(key string) []Push {
	delete(g.requests, key)
	kind := Announce
	if g.fullMesh {
		kind = Document
	}
	var out []Push
	for _, id := range g.neighbours {
		out = append(out, Push{To: id, Key: key, Kind: kind})
	}
	return out
}

// Heard compares a peer's digest with this process's own. It returns the documents that the peer lacks or, in a
// large fleet, requests for those that this process lacks.
func (g *Gossip) Heard(from string, theirs, mine policy.Digest) []Push {
	var out []Push
	for _, key := range plat.Keys {
		m, t := mine.Of(key), theirs.Of(key)
		switch {
		case m > t && (g.fullMesh || g.pushDue(peerKey{from, key}, m)):
			out = append(out, Push{To: from, Key: key})
		case m < t && !g.fullMesh && g.requestDue(from, key, t):
			out = append(out, Push{To: from, Key: key, Kind: Request})
		case m == t:
			delete(g.lagging, peerKey{from, key})
		}
	}
	return out
}

// pushDue reports whether the peer has lacked the revision for patience digests in a row.
func (g *Gossip) pushDue(k peerKey, revision uint64) bool {
	l := g.lagging[k]
	if l.revision != revision {
		l = lag{revision: revision}
	}
	l.digests++
	if l.digests < pushAfterDigests {
		g.lagging[k] = l
		return false
	}
	delete(g.lagging, k)
	return true
}

// requestDue reports whether to request the revision from the peer. While a request is open only a newer revision, a repeated
// digest of the peer that was asked, or a whole round of digests of other peers leads to another request.
func (g *Gossip) requestDue(from, key string, revision uint64) bool {
	r, open := g.requests[key]
	if open && revision <= r.revision && from != r.peer && r.otherDigests < len(g.neighbours) {
		r.otherDigests++
		g.requests[key] = r
		return false
	}
	g.requests[key] = request{revision: revision, peer: from}
	return true
}
