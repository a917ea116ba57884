// Package member tracks which entry processes are reachable, whether this process may send new work, and when it reads the
// platform.
//
// # Usage
//
//	v := member.New(member.Config{}, "vm-1", "dc-a", now)
//	v.SetPublished(vms)                            // the list of entry VMs in force
//	v.SetPinged(ids)                               // the peers that this process pings, if not all of them
//	v.RecordRead(started)                          // a successful read, dated by its start
//	v.RecordFailedRead(started)                    // a failed read
//	v.RecordPong(sent, "vm-2", evidenceAge, stopping) // a pong, dated by the start of its ping
//	permission := v.Permission(now)
//	at, ok := v.NextRead(now, rnd)                 // when to read the platform next, if at all
//
// The published list of entry VMs is the same for all processes. What this process observes can only exclude VMs of the
// list, never add any. Evidence is dated by the start of the request for it and not by the arrival of the answer, because an
// answer that waited in a socket buffer while the process was suspended is old.
//
// # Evidence
//
// Evidence is a time as of which the documents that this process holds were the newest. A platform read is evidence only
// if it succeeded for every key and no answer was older than the document in force, because a platform with old documents
// proves nothing. A pong is evidence only if this process holds every revision that the peer holds; otherwise the caller
// passes NoEvidence. policy.Store.Confirms and policy.Revisions.Covers decide this.
//
// Evidence is passed on from peer to peer. Each process dates the evidence of a pong by the start of its own ping less the
// age that the peer reported, so every hop adds at most one ping interval and one round trip to the age. Passing evidence on
// never makes it younger, so peers that pass evidence on in a cycle can't keep old evidence valid.
package member

import (
	"cmp"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Config holds the intervals and limits of the membership. Zero fields take the defaults.
type Config struct {
	FreshFor             time.Duration // new work may be sent for this long after the time of the evidence or of the contact with a majority
	ReadersPerDataCentre int           // platform readers per data centre
	FallbackReadAge      time.Duration // a process whose evidence is older than this reads the platform itself
	StartWait            time.Duration // a new process may send after this time, or earlier after contact with a majority
}

// NoEvidence is the evidence age of a peer whose pong proves only that it is alive.
const NoEvidence time.Duration = -1

// Defaults of Config.
const (
	DefaultFreshFor             = 2 * time.Second
	DefaultReadersPerDataCentre = 2
	DefaultFallbackReadAge      = time.Second
	DefaultStartWait            = 2 * time.Second
)

// Reason says why a process may not send.
type Reason string

// Reasons in a Permission.
const (
	ReasonNone      Reason = ""
	ReasonNoConfig  Reason = "no configuration yet"
	ReasonStarting  Reason = "no answer from most of the fleet yet"
	ReasonNoContact Reason = "no contact with the platform or with most of the fleet"
)

// Permission holds the times until which this process may send new work and increase its shares of target slots.
type Permission struct {
	SendUntil   time.Time     // new work may be sent before this time
	GrowUntil   time.Time     // shares may grow before this time
	EvidenceAge time.Duration // -1 if there is no evidence
	Reason      Reason        // why new work may not be sent; ReasonNone if it may
}

// peerState holds what this process has observed of a peer.
type peerState struct {
	answeredPing time.Time // start of the newest ping that the peer answered
	stopping     bool
	// released is true once a stopping peer no longer dispatches to targets. A pong that doesn't report stopping comes from
	// the next process on the VM and resets both fields.
	released bool
}

// View is the membership as one process sees it.
type View struct {
	cfg              Config
	self, dataCentre string
	started          time.Time
	reachedMajority  bool      // a majority has answered at some time since the start of this process
	vms              []plat.VM // published entry VMs
	isListed         map[string]bool
	rankedHigher     []string // live VMs of the own data centre that rank before this process as readers
	isListedLive     bool     // this process is listed as live
	isPinged         map[string]bool
	peers            map[string]*peerState
	evidenceTime     time.Time // time as of which the documents of this process were the newest; zero if not known
	readSchedule     readSchedule
}

// New returns the view of a process that has just started.
func New(cfg Config, self, dataCentre string, now time.Time) *View {
	cfg.FreshFor = cmp.Or(cfg.FreshFor, DefaultFreshFor)
	cfg.ReadersPerDataCentre = cmp.Or(cfg.ReadersPerDataCentre, DefaultReadersPerDataCentre)
	cfg.FallbackReadAge = cmp.Or(cfg.FallbackReadAge, DefaultFallbackReadAge)
	cfg.StartWait = cmp.Or(cfg.StartWait, DefaultStartWait)
	return &View{cfg: cfg, self: self, dataCentre: dataCentre, started: now, peers: map[string]*peerState{}}
}

// SetPublished sets the list of entry VMs in force.
func (v *View) SetPublished(vms []plat.VM) {
	v.vms = vms
	v.isListed = make(map[string]bool, len(vms))
	v.rankedHigher = nil
	v.isListedLive = false
	ownRank := readerRank(v.self)
	for _, vm := range vms {
		v.isListed[vm.ID] = true
		switch {
		case vm.State != plat.Live || vm.DataCentre != v.dataCentre:
		case vm.ID == v.self:
			v.isListedLive = true
		case readerRank(vm.ID) > ownRank:
			v.rankedHigher = append(v.rankedHigher, vm.ID)
		}
	}
	for id := range v.peers {
		if !v.isListed[id] {
			delete(v.peers, id)
		}
	}
}

// readerRank returns the rank of a VM among the readers of its data centre. The highest ranks read the platform.
func readerRank(id string) uint64 { return xxhash.Sum64String("reader/" + id) }

// SetPinged sets the ids of the peers that this process pings. If SetPinged is never called, this process pings every
// published VM. A VM that is not pinged counts as alive when readers are ranked, because a missing pong says nothing
// about it.
func (v *View) SetPinged(ids []string) {
	v.isPinged = make(map[string]bool, len(ids))
	for _, id := range ids {
		v.isPinged[id] = true
	}
}

// RecordRead records a successful read of every key that began at started.
func (v *View) RecordRead(started time.Time) {
	v.updateEvidence(started)
	v.readSchedule.recordRead(started, true)
}

// RecordFailedRead records a read that began at started and failed, or that returned a revision older than the one in
// force.
func (v *View) RecordFailedRead(started time.Time) { v.readSchedule.recordRead(started, false) }

// RecordPong records the answer to a ping that was sent at sent. The age of the peer's own evidence is evidenceAge; it is
// NoEvidence if the peer has none or holds a revision that this process lacks. Once a list of VMs is known, a pong of a VM that
// is not listed is ignored.
func (v *View) RecordPong(sent time.Time, from string, evidenceAge time.Duration, stopping bool) {
	if len(v.vms) > 0 && !v.isListed[from] {
		return
	}
	peer := v.peerState(from)
	if sent.After(peer.answeredPing) {
		peer.answeredPing = sent
		peer.stopping = stopping
		peer.released = peer.released && stopping
	}
	if evidenceAge >= 0 {
		v.updateEvidence(sent.Add(-evidenceAge))
	}
}

// peerState returns the state of a peer and creates it if there is none.
func (v *View) peerState(id string) *peerState {
	peer := v.peers[id]
	if peer == nil {
		peer = &peerState{}
		v.peers[id] = peer
	}
	return peer
}

// RecordStopping records that a peer or this process has announced a planned stop.
func (v *View) RecordStopping(id string) {
	if id == v.self || v.isListed[id] {
		v.peerState(id).stopping = true
	}
}

// Evidence returns the time as of which the documents of this process were the newest. It is zero if there is no evidence.
func (v *View) Evidence() time.Time { return v.evidenceTime }

// RecordReleased records that a stopping peer accepts no more work and will exit soon.
func (v *View) RecordReleased(id string) {
	if v.isListed[id] {
		peer := v.peerState(id)
		peer.stopping, peer.released = true, true
	}
}

// updateEvidence sets the time of the evidence to t if t is later.
func (v *View) updateEvidence(t time.Time) {
	if t.After(v.evidenceTime) {
		v.evidenceTime = t
	}
}

// Permission returns what this process may do as of now.
func (v *View) Permission(now time.Time) Permission {
	permission := Permission{EvidenceAge: -1}
	if len(v.vms) == 0 {
		permission.Reason = ReasonNoConfig
		return permission
	}
	if !v.evidenceTime.IsZero() {
		permission.EvidenceAge = now.Sub(v.evidenceTime)
	}
	contactTime, hasMajority := v.majorityContact(now)
	v.reachedMajority = v.reachedMajority || hasMajority
	if !v.reachedMajority && now.Sub(v.started) < v.cfg.StartWait {
		// The platform may have answered with a revision that is older than the one that the peers hold, so a new process
		// waits for a majority or for StartWait.
		permission.Reason = ReasonStarting
		return permission
	}
	if !v.evidenceTime.IsZero() {
		permission.SendUntil = v.evidenceTime.Add(v.cfg.FreshFor)
	}
	if hasMajority {
		permission.GrowUntil = contactTime.Add(v.cfg.FreshFor)
		if permission.GrowUntil.After(permission.SendUntil) {
			permission.SendUntil = permission.GrowUntil
		}
	}
	if !now.Before(permission.SendUntil) {
		permission.Reason = ReasonNoContact
	}
	return permission
}

// majorityContact returns the latest time such that more than half of the live entry VMs have answered a ping sent at that
// time or later. All live VMs of the published list count; a peer that has never answered counts as not reached.
func (v *View) majorityContact(now time.Time) (time.Time, bool) {
	var answeredPings []time.Time
	live := 0
	for _, vm := range v.vms {
		if vm.State != plat.Live {
			continue
		}
		live++
		if vm.ID == v.self {
			answeredPings = append(answeredPings, now)
		} else if peer := v.peers[vm.ID]; peer != nil {
			answeredPings = append(answeredPings, peer.answeredPing)
		}
	}
	majority := live/2 + 1
	if len(answeredPings) < majority {
		return time.Time{}, false
	}
	sort.Slice(answeredPings, func(i, j int) bool { return answeredPings[i].After(answeredPings[j]) })
	contactTime := answeredPings[majority-1]
	return contactTime, !contactTime.IsZero()
}

// Alive reports whether the VM answered within FreshFor and is not stopping.
func (v *View) Alive(now time.Time, id string) bool {
	if id == v.self {
		return true
	}
	peer := v.peers[id]
	return peer != nil && !peer.stopping && now.Sub(peer.answeredPing) <= v.cfg.FreshFor
}

// Reachable reports whether the VM answered within FreshFor and has not released its targets. A stopping VM is reachable
// until it releases them.
func (v *View) Reachable(now time.Time, id string) bool {
	if id == v.self {
		return true
	}
	peer := v.peers[id]
	return peer != nil && !peer.released && now.Sub(peer.answeredPing) <= v.cfg.FreshFor
}

// IsReader reports whether this process should read the platform: it ranks among the first ReadersPerDataCentre alive
// VMs of its data centre, its evidence is old, or it knows no list of VMs. NextRead returns when to read.
func (v *View) IsReader(now time.Time) bool { return v.readReason(now) != noRead }
