// Package gossip decides which peers this process pings and which documents it sends to them.
//
// # Usage
//
//	g := gossip.New(gossip.Config{}, "vm-1")
//	g.SetPeers(vms)                           // the published entry VMs
//	for _, id := range g.Neighbours() { ping id }
//	messages := g.ChangeMessages(plat.KeyRules)   // a document was accepted here, from the platform or from a peer
//	messages = g.DigestMessages("vm-2", peerRevisions, own) // a ping or pong arrived
//
// # Dissemination
//
// In a fleet of up to Config.FullMeshLimit VMs every process is a neighbour of every other. A process sends a document
// that it has accepted to all others. If the revisions in a ping or pong show that a peer has an
// older document, the process sends the document to that peer.
//
// Larger fleets use a limited number of neighbours, about log2(n)+2. If documents were sent unasked, each process would
// receive a document of up to 1 MB once from every neighbour. A process therefore announces an accepted document by a
// ping with its revisions, and each process requests the document from one neighbour that has a newer revision. It
// announces the document in turn once it has accepted it. Pings repeat the revisions, so a lost message costs one ping
// interval.
//
// # Neighbours
//
// The neighbours of a process are its predecessor and successor on several random cycles. Some cycles connect the VMs of
// its data centre, the others all VMs. Every process computes the same cycles from the list and the seed, so links are
// symmetric, every cycle connects its members, and adding or removing a VM changes only the links next to that VM. A process
// with too few neighbours in other data centres chooses further ones there. These additional links are not symmetric.
//
// Neighbours are not chosen by shared interest (SpiderCast, DEBS 2007): all processes need all three keys, so that method
// only adds links. BenchmarkOverlays compares both.
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

// Config holds the parameters of the overlay. A FullMeshLimit of 0 means DefaultFullMeshLimit.
type Config struct {
	FullMeshLimit int    // fleets up to this size are fully connected
	Seed          uint64 // selects the cycles; must be the same in all processes of the fleet
}

const (
	// DefaultFullMeshLimit keeps the usual fleets of 8 to 9 processes fully connected.
	DefaultFullMeshLimit = 32
	// minRemoteNeighbours is the least number of neighbours in other data centres, so that the loss of one link cuts no
	// process off from the other data centres.
	minRemoteNeighbours = 2
	// pushAfterMisses is the number of pings and pongs of a peer in a row that must show an older revision before the
	// document is sent to it without a request. This is needed when the lists of two processes differ and only one list
	// exceeds Config.FullMeshLimit: one process then waits for a request, while the other expects the document without one.
	pushAfterMisses = 3
	// localCycleDivisor determines the number of cycles within the data centre: the number of all cycles divided by it,
	// rounded down. The other cycles connect all VMs.
	localCycleDivisor = 3
)

// MessageKind is the kind of a Message.
type MessageKind uint8

// Kinds of Message.
const (
	Document     MessageKind = iota // send the document of Key
	Announcement                    // send a ping with the revisions of this process at once
	Request                         // request the document of Key from the peer
)

// Message is a message that the caller has to send to a peer.
type Message struct {
	To   string
	Key  string
	Kind MessageKind
}

// request records the newest request for the document of a key.
type request struct {
	revision           uint64
	peer               string
	newerRevisionsSeen int // number of pings and pongs of other peers with a newer revision since the request
}

// peerLag records that a peer lacks a revision.
type peerLag struct {
	revision    uint64
	missesInRow int // number of pings and pongs in a row without the revision
}

// peerKey identifies the document of a key at a peer.
type peerKey struct{ peer, key string }

// Gossip holds the neighbours of one process and the state of its requests.
type Gossip struct {
	cfg           Config
	self          string
	fullMesh      bool
	neighbours    []string
	requestsByKey map[string]request // newest request for each key, until a document of the key is accepted
	lagByPeerKey  map[peerKey]peerLag
}

// New returns the state of a process without neighbours.
func New(cfg Config, self string) *Gossip {
	cfg.FullMeshLimit = cmp.Or(cfg.FullMeshLimit, DefaultFullMeshLimit)
	return &Gossip{cfg: cfg, self: self, fullMesh: true, requestsByKey: map[string]request{}, lagByPeerKey: map[peerKey]peerLag{}}
}

// SetPeers computes the neighbours from the published entry VMs.
func (g *Gossip) SetPeers(vms []plat.VM) {
	chosen := map[string]bool{}
	g.fullMesh = len(vms) <= g.cfg.FullMeshLimit
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
	g.lagByPeerKey = map[peerKey]peerLag{}
}

// addNeighbours adds the neighbours on all cycles to chosen. If too few of them are in other data centres, it also adds
// further VMs of other data centres.
func (g *Gossip) addNeighbours(vms []plat.VM, chosen map[string]bool) {
	var localIDs, remoteIDs []string
	dataCentre := ""
	for _, vm := range vms {
		if vm.ID == g.self {
			dataCentre = vm.DataCentre
		}
	}
	allIDs := make([]string, 0, len(vms))
	for _, vm := range vms {
		allIDs = append(allIDs, vm.ID)
		if vm.DataCentre == dataCentre {
			localIDs = append(localIDs, vm.ID)
		} else {
			remoteIDs = append(remoteIDs, vm.ID)
		}
	}
	cycleCount := (bits.Len(uint(len(vms)-1)) + 3) / 2
	for cycle := range cycleCount {
		members := allIDs
		if cycle < cycleCount/localCycleDivisor {
			members = localIDs
		}
		for _, id := range g.cycleNeighbours(members, strconv.Itoa(cycle)) {
			chosen[id] = true
		}
	}
	remoteCount := 0
	for _, id := range remoteIDs {
		if chosen[id] {
			remoteCount++
		}
	}
	minRemote := minRemoteNeighbours
	if dataCentre == "" {
		// This process is not listed, so it is on no cycle.
		minRemote = 2 * cycleCount
	}
	if remoteCount < minRemote {
		sort.Slice(remoteIDs, func(i, j int) bool { return g.point(g.self, remoteIDs[i]).before(g.point(g.self, remoteIDs[j])) })
	}
	for _, id := range remoteIDs {
		if remoteCount >= minRemote {
			break
		}
		if !chosen[id] {
			chosen[id] = true
			remoteCount++
		}
	}
}

// cycleNeighbours returns the predecessor and the successor of this process on the cycle of the members, which is ordered
// by hash. A scan is used instead of sorting, because each change of the list requires the neighbours on every cycle.
func (g *Gossip) cycleNeighbours(members []string, salt string) []string {
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

// cyclePoint is the position of a VM on a cycle. An empty id means no VM.
type cyclePoint struct {
	hash uint64
	id   string
}

// point returns the position of a VM on the cycle that the salt identifies.
func (g *Gossip) point(salt, id string) cyclePoint {
	return cyclePoint{xxhash.Sum64String(strconv.FormatUint(g.cfg.Seed, 16) + "/" + salt + "/" + id), id}
}

// before reports whether p precedes q in the order of the hashes.
func (p cyclePoint) before(q cyclePoint) bool {
	return p.hash < q.hash || p.hash == q.hash && p.id < q.id
}

// replaceIf returns p if current holds no VM or better is true, and current otherwise.
func replaceIf(current, p cyclePoint, better bool) cyclePoint {
	if current.id == "" || better {
		return p
	}
	return current
}

// Neighbours returns the ids of the peers to ping, in ascending order.
func (g *Gossip) Neighbours() []string { return g.neighbours }

// ChangeMessages returns the messages to send after this process has accepted a document.
func (g *Gossip) ChangeMessages(key string) []Message {
	delete(g.requestsByKey, key)
	kind := Announcement
	if g.fullMesh {
		kind = Document
	}
	var out []Message
	for _, id := range g.neighbours {
		out = append(out, Message{To: id, Key: key, Kind: kind})
	}
	return out
}

// DigestMessages compares the revisions of a peer with those of this process. It returns messages with the documents
// that the peer lacks and, in a fleet that is not fully connected, requests for those that this process lacks.
func (g *Gossip) DigestMessages(from string, peerRevisions, own policy.Revisions) []Message {
	var out []Message
	for _, key := range plat.Keys {
		ownRevision, peerRevision := own.Revision(key), peerRevisions.Revision(key)
		switch {
		case ownRevision > peerRevision && (g.fullMesh || g.pushDue(peerKey{from, key}, ownRevision)):
			out = append(out, Message{To: from, Key: key})
		case ownRevision < peerRevision && !g.fullMesh && g.requestDue(from, key, peerRevision):
			out = append(out, Message{To: from, Key: key, Kind: Request})
		case ownRevision == peerRevision:
			delete(g.lagByPeerKey, peerKey{from, key})
		}
	}
	return out
}

// pushDue records a ping or pong of a peer that lacks the revision. It reports whether pushAfterMisses of them in a row
// lacked the revision, and then starts counting anew.
func (g *Gossip) pushDue(k peerKey, revision uint64) bool {
	lag := g.lagByPeerKey[k]
	if lag.revision != revision {
		lag = peerLag{revision: revision}
	}
	lag.missesInRow++
	if lag.missesInRow < pushAfterMisses {
		g.lagByPeerKey[k] = lag
		return false
	}
	delete(g.lagByPeerKey, k)
	return true
}

// requestDue reports whether to request the revision from the peer, and records the request. While a request is open, only
// three things lead to another one: a newer revision, another ping or pong of the peer that got the request, or as
// many pings and pongs of other peers as there are neighbours.
func (g *Gossip) requestDue(from, key string, revision uint64) bool {
	r, open := g.requestsByKey[key]
	if open && revision <= r.revision && from != r.peer && r.newerRevisionsSeen < len(g.neighbours) {
		r.newerRevisionsSeen++
		g.requestsByKey[key] = r
		return false
	}
	g.requestsByKey[key] = request{revision: revision, peer: from}
	return true
}
