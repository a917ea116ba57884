// Package roster tracks which entry processes exist and run, without a published list. It is a gossip membership protocol in
// the manner of SWIM: each process publishes a statement about itself, which stays valid until it is replaced. Processes
// that are connected by a link monitor each other, and a process that no longer answers is reported as down.
//
// # Usage
//
//	v := roster.New(roster.Config{}, self, incarnation, seeds, now)
//	v.RecordMessage(sent, id)                       // a message of peer id arrived; a pong shows that the peer ran when its ping was sent
//	v.RecordLinkClosed(id)                          // peer id has closed its link on purpose
//	v.SetState(ready, leaving, busy)                // the state of this process has changed
//	v.MergeStatements(now, from, statements)        // statements arrived from a peer; newer ones are passed on
//	v.Tick(now)                                     // recompute which processes run
//	for _, item := range v.TakePending(now) { ... } // send each to v.Recipients(linked), and a suspicion also to the suspected process
//	hub.SetPeers(v.Peers(now))                      // keep links to these processes
//	if v.NeedsSummary(now, id, digest) { ... }      // on a pong of peer id: send the peer v.Summary
//	for _, id := range v.CallerList() { ... }       // processes whose addresses callers may get
//	n := v.Size(now)                                // number of processes that share a fleet-wide limit
//
// After a link has opened, a process that is not yet settled (see v.Settled) sends v.Summary. A settled process calls
// v.RecordLinkOpened instead, so that the first pong whose digest differs leads to a summary without delay. A process that
// receives a summary replies with v.NewerStatements, and also with its own summary if v.HasNewer returns true.
//
// # Statements
//
// A statement is replaced by a statement about the same process that has a higher incarnation, or the same incarnation and
// a higher sequence number, or the same two numbers and Down set (a suspicion). Incarnations come from the wall clock, which
// may step back between two starts: a process that receives a statement of its own earlier run raises its incarnation above
// the incarnation of that statement.
//
// # Suspicions
//
// A process that dials a peer, and has received nothing from the peer for Config.SilenceTimeout, publishes the suspicion
// that the peer is down. A suspicion is passed on like any other statement. The suspected peer counts as down after
// Config.RefuteTimeout, unless the peer has published a statement with a higher sequence number by then. A process that was
// itself suspended suspects no other process for Config.SilenceTimeout. If the silent peer had dialled this process, and not
// the other way round, this process dials the peer first and suspects the peer only if that fails. A process that receives
// messages from a peer counts that peer as running, even if others suspect the peer.
//
// # Links
//
// For Config.SettleTime, a new process has links to its seeds only. After that, in a fleet of up to Config.MaxFullMesh
// processes each process dials all others. In a larger fleet each process dials three groups, and also the seeds while fewer
// than twice Config.HashLinks others run:
//
//   - the next Config.RingLinks processes on a ring, whose order is the same for all processes, so that each process is
//     monitored as long as any other one runs;
//   - Config.HashLinks others, those in other data centres first, chosen by hash so that a change of the fleet moves few links;
//   - Config.RetryLinks processes that don't run, to detect those that have come back.
//
// In a larger fleet statements are sent along the dialled links only. Statements that are lost on the way are detected by
// the digests in pongs.
//
// # Load pattern
//
// The protocol is designed for fleets of hundreds of processes that start within a third of a second, or that lose a third
// of the processes at once. A statement takes about 45 bytes, whatever the size of the fleet. A process publishes one when
// it starts, becomes ready, stops or changes its load, but not when its links change. Each process passes a statement on
// once along its links. The traffic thus grows with the number of such events; between events it grows only with the
// number of links.
//
// # List for callers
//
// If more than half of the processes disappear at the same time, a fault of this process's own links is the more likely
// cause. The last list for callers is then kept for Config.ListHoldTime, so that callers are not all sent to the few
// processes from which messages still arrive.
//
// # Shares of fleet-wide limits
//
// Size grows at once and shrinks with a delay: the share of each process, limit/Size, grows only when a process that has
// disappeared can no longer be using its own share.
package roster

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the intervals and sizes of the protocol. Zero fields take the defaults.
type Config struct {
	DataCentre         string        // data centre of this process
	Capacity           float64       // capacity of the VM of this process, in cores
	SilenceTimeout     time.Duration // a peer counts as silent when nothing has arrived from it for this long
	RefuteTimeout      time.Duration // time that a suspected process has to refute the suspicion
	ListHoldTime       time.Duration // time for which the list for callers is kept when more than half of it disappears
	ShrinkDelay        time.Duration // Size counts a process until this long after it was last seen running
	RemoveAfter        time.Duration // a process that is not running is removed from the members after this long
	SettleTime         time.Duration // time after the start of this process until it is taken to know all members
	LoadInterval       time.Duration // minimum interval between two statements for a change of the load
	LinkChoiceInterval time.Duration // minimum interval between two choices of links in a larger fleet; a quarter of it if a chosen process doesn't run
	MaxFullMesh        int           // size of the largest fleet in which every process dials all others
	RingLinks          int           // number of successors on the ring that a process of a larger fleet dials
	HashLinks          int           // number of other running processes that a process of a larger fleet dials
	RetryLinks         int           // of the members that don't run, the number that a process of a larger fleet dials at a time
}

// Defaults of Config.
const (
	// DefaultSilenceTimeout is three intervals of the pings between peers.
	DefaultSilenceTimeout = 1500 * time.Millisecond
	// DefaultRefuteTimeout is the time in which a suspicion reaches the suspected process and the refutation returns, at
	// four hops of 100 ms each way.
	DefaultRefuteTimeout = 800 * time.Millisecond
	// DefaultListHoldTime keeps the time for which callers may be given the address of a killed process below 7 s in total.
	DefaultListHoldTime = 4 * time.Second
	// DefaultShrinkDelay is the longest window over which a fleet-wide limit is counted.
	DefaultShrinkDelay = 10 * time.Second
	// DefaultRemoveAfter is longer than any network partition that is healed on the same day.
	DefaultRemoveAfter = 5 * time.Minute
	// DefaultSettleTime covers the 0.3 s within which the processes of a fleet start, and the time that a statement takes to
	// spread through the seeds.
	DefaultSettleTime = 1200 * time.Millisecond
	// DefaultLoadInterval limits the statements of a fleet near its capacity, whose processes change between busy and not busy.
	DefaultLoadInterval = 2 * time.Second
	// DefaultLinkChoiceInterval gives a process time to learn of the others, so that its choice of links doesn't change
	// afterwards.
	DefaultLinkChoiceInterval = 2 * time.Second
	// DefaultMaxFullMesh is the fleet size at which links to all others cost twice as many pings as the links of a larger
	// fleet.
	DefaultMaxFullMesh = 14
	// DefaultRingLinks has each process monitored by two others, so that its failure is detected even if one of them fails
	// with it.
	DefaultRingLinks = 2
	// DefaultHashLinks connects the data centres. Together with the links that others dial, a process has about ten neighbours,
	// and a random graph of that degree stays connected when half of its nodes disappear.
	DefaultHashLinks  = 3
	DefaultRetryLinks = 2
	// retryRotation is the time for which a process that doesn't run is dialled before the next such process is dialled instead.
	retryRotation = 4 * time.Second
	// firstMessageTimeout is the time within which the first message must arrive on a new link.
	firstMessageTimeout = 2 * time.Second
	// suspendedGap is the interval between two ticks above which this process was suspended or had no processor time.
	suspendedGap = 700 * time.Millisecond
	// maxVerifying bounds how many silent peers are dialled at the same time to verify that they are down.
	maxVerifying = 8
	// maxSuspectBackoff is the longest interval between two suspicions of a process that refutes them.
	maxSuspectBackoff = 30 * time.Second
	// minDigestDifferTime is the time for which the digest of a peer must differ before a summary is sent. It is longer than a
	// statement takes to spread through the fleet.
	minDigestDifferTime = 800 * time.Millisecond
	// digestSummaryInterval is the minimum interval between two summaries that this process sends because a digest differs.
	digestSummaryInterval = time.Second
)

// Statement is the published state of a process. The process itself publishes it; other processes only set Down.
type Statement struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"` // ID of the process, which is its peer address
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Down        bool     `cbor:"down"` // set by a peer that suspects the process, because nothing arrives from the process any more
	Ready       bool     `cbor:"ready"`
	Leaving     bool     `cbor:"leaving"`
	Busy        bool     `cbor:"busy"` // the process has no capacity for more requests
	DataCentre  string   `cbor:"data_centre"`
	Capacity    float64  `cbor:"capacity"` // capacity of the VM of the process, in cores
}

// StatementVersion identifies one version of the statement of a process.
type StatementVersion struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Down        bool     `cbor:"down"`
}

// newerThan reports whether a statement of version s replaces one of the other version.
func (s StatementVersion) newerThan(other StatementVersion) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation > other.Incarnation
	}
	if s.Seq != other.Seq {
		return s.Seq > other.Seq
	}
	return s.Down && !other.Down
}

func (s Statement) version() StatementVersion {
	return StatementVersion{VM: s.VM, Incarnation: s.Incarnation, Seq: s.Seq, Down: s.Down}
}

// digestPart returns the contribution of a statement to the digest. It is 0 for a suspicion, since a process that is down
// isn't removed from the members at the same time everywhere.
func (s Statement) digestPart() uint64 {
	if s.Seq == 0 || s.Down {
		return 0
	}
	encoded := binary.LittleEndian.AppendUint64([]byte(s.VM), s.Incarnation)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(encoded, s.Seq))
}

// member is another process of the fleet.
type member struct {
	statement        Statement     // Seq is 0 while no statement is known
	addedAt          time.Time     // when the member was added
	lastMessage      time.Time     // last message that arrived from the member on a link of this process; zero if none is expected
	lastRunning      time.Time     // last tick at which the member counted as running; zero if never
	suspectedAt      time.Time     // when the current suspicion arrived; zero if there is none
	suspectBackoff   time.Duration // time between the latest suspicion by this process and the next; doubles until a message arrives
	suspectNotBefore time.Time     // this process doesn't suspect the member before this time
	ringPosition     uint64        // hash of the ID, which gives the position on the ring
}

// View holds the members of the fleet as this process knows them. Use New. A View is not safe for concurrent use.
type View struct {
	cfg                Config
	self               string
	startedAt          time.Time
	isSeed             bool // whether this process is a seed
	seeds              map[string]bool
	ownStatement       Statement // statement of this process
	loadChangedAt      time.Time // when Busy in ownStatement last changed
	members            map[string]*member
	memberIDs          []string          // sorted IDs of the members
	pendingSources     map[string]string // processes whose statements are to be sent, and the peer that each came from; empty if this process made it
	membersDigest      uint64            // XOR of the hashes of the members' statements
	version            uint64            // see Version
	reachable          []string          // members from which messages arrive, as of the last Tick, sorted
	running            []string          // members that run, as of the last Tick, sorted
	callerList         []string          // members that callers may be told of, as of the last Tick, sorted
	lastTrustedList    []string          // last list for callers that hadn't lost more than half of its entries
	lastTrustedListAt  time.Time         // when lastTrustedList was last updated
	majorityLost       bool              // whether more than half of lastTrustedList has disappeared
	cachedReaders      []string          // last result of Readers
	chosenLinks        []string          // links that were chosen last in a larger fleet
	linksChosenAt      time.Time
	dialledSince       map[string]time.Time // processes that this process dials, and since when
	verifyingSince     map[string]time.Time // silent peers that are dialled to verify that they are down, and since when
	lastTick           time.Time            // time of the last Tick
	activeSince        time.Time            // since when the ticks of this process have come without a gap
	digestDiffersSince map[string]time.Time // peers whose digest differs, and since when
	lastDigestSummary  time.Time            // when a summary was last sent because a digest differs

	cachedReadersInputs readersInputs // inputs from which cachedReaders was computed
}

// readersInputs holds the inputs on which the result of Readers depends.
type readersInputs struct {
	version uint64
	leaving bool
	n       int
}

// New returns a View whose members are the seeds. The ID of a process is its peer address; self is the ID of this process.
func New(cfg Config, self string, incarnation uint64, seeds []string, now time.Time) *View {
	cfg.SilenceTimeout = cmp.Or(cfg.SilenceTimeout, DefaultSilenceTimeout)
	cfg.RefuteTimeout = cmp.Or(cfg.RefuteTimeout, DefaultRefuteTimeout)
	cfg.ListHoldTime = cmp.Or(cfg.ListHoldTime, DefaultListHoldTime)
	cfg.ShrinkDelay = cmp.Or(cfg.ShrinkDelay, DefaultShrinkDelay)
	cfg.RemoveAfter = cmp.Or(cfg.RemoveAfter, DefaultRemoveAfter)
	cfg.SettleTime = cmp.Or(cfg.SettleTime, DefaultSettleTime)
	cfg.LoadInterval = cmp.Or(cfg.LoadInterval, DefaultLoadInterval)
	cfg.LinkChoiceInterval = cmp.Or(cfg.LinkChoiceInterval, DefaultLinkChoiceInterval)
	cfg.MaxFullMesh = cmp.Or(cfg.MaxFullMesh, DefaultMaxFullMesh)
	cfg.RingLinks = cmp.Or(cfg.RingLinks, DefaultRingLinks)
	cfg.HashLinks = cmp.Or(cfg.HashLinks, DefaultHashLinks)
	cfg.RetryLinks = cmp.Or(cfg.RetryLinks, DefaultRetryLinks)
	v := &View{
		cfg: cfg, self: self, startedAt: now, activeSince: now, seeds: map[string]bool{}, members: map[string]*member{}, pendingSources: map[string]string{},
		dialledSince: map[string]time.Time{}, verifyingSince: map[string]time.Time{}, digestDiffersSince: map[string]time.Time{},
		ownStatement: Statement{VM: self, Incarnation: incarnation, Seq: 1, DataCentre: cfg.DataCentre, Capacity: cfg.Capacity},
	}
	for _, id := range seeds {
		if id == self {
			v.isSeed = true
			continue
		}
		v.seeds[id] = true
		v.memberOrAdd(now, id)
	}
	v.pendingSources[self] = ""
	return v
}

// memberOrAdd returns the member with an ID, and adds it if it doesn't exist.
func (v *View) memberOrAdd(now time.Time, id string) *member {
	m := v.members[id]
	if m == nil {
		m = &member{addedAt: now, ringPosition: xxhash.Sum64String(id)}
		v.members[id] = m
		i, _ := slices.BinarySearch(v.memberIDs, id)
		v.memberIDs = slices.Insert(v.memberIDs, i, id)
	}
	return m
}

// RecordMessage records that a message of another process has arrived on a link, which shows that the process ran at the
// given time. It reports whether the process counted as silent before.
func (v *View) RecordMessage(at time.Time, id string) (wasSilent bool) {
	if id == v.self || id == "" {
		return false
	}
	m := v.memberOrAdd(at, id)
	wasSilent = at.Sub(m.lastMessage) > v.cfg.SilenceTimeout
	if at.After(m.lastMessage) {
		m.lastMessage = at
	}
	m.suspectBackoff = 0
	return wasSilent
}

// RecordLinkClosed records that a peer has closed its link to this process on purpose. Unless this process dials the peer
// itself, no more messages are expected and the silence of the peer is no sign of a failure.
func (v *View) RecordLinkClosed(id string) {
	if m := v.members[id]; m != nil && v.dialledSince[id].IsZero() {
		m.lastMessage = time.Time{}
	}
}

// SetState sets the state that this process publishes. A change of busy is ignored within Config.LoadInterval of the previous
// one, so that the calling code must pass the state again later.
func (v *View) SetState(ready, leaving, busy bool) {
	if busy != v.ownStatement.Busy && v.lastTick.Sub(v.loadChangedAt) >= v.cfg.LoadInterval {
		v.loadChangedAt = v.lastTick
		v.ownStatement.Busy = busy
		v.markOwnChanged()
	}
	if v.ownStatement.Ready != ready || v.ownStatement.Leaving != leaving {
		v.ownStatement.Ready, v.ownStatement.Leaving = ready, leaving
		v.markOwnChanged()
	}
}

// markOwnChanged gives the statement of this process the next sequence number and marks it for sending.
func (v *View) markOwnChanged() {
	v.ownStatement.Seq++
	v.pendingSources[v.self] = ""
}

// MergeStatements merges statements that a peer has sent. Those that are newer than the known ones are passed on to the
// other peers.
func (v *View) MergeStatements(now time.Time, from string, statements []Statement) {
	for _, s := range statements {
		if !(s.Capacity >= 0 && s.Capacity < math.MaxInt16) {
			s.Capacity = 0 // treat an invalid capacity as unknown
		}
		switch {
		case s.VM == "" || s.Seq == 0:
		case s.VM == v.self:
			v.refute(s)
		case v.members[s.VM] == nil && s.Down:
			// The process isn't a member, so that there is nothing to record.
		default:
			m := v.memberOrAdd(now, s.VM)
			if m.statement.Seq > 0 && !s.version().newerThan(m.statement.version()) {
				continue
			}
			v.setStatement(now, m, s)
			v.pendingSources[s.VM] = from
		}
	}
}

// refute handles a statement about this process that a peer has sent. If the statement is a suspicion, or comes from an
// earlier run of this process, this process publishes a newer statement, which replaces it.
func (v *View) refute(s Statement) {
	switch {
	case s.Incarnation == v.ownStatement.Incarnation && s.Seq > v.ownStatement.Seq, s.Incarnation > v.ownStatement.Incarnation:
		v.ownStatement.Incarnation = s.Incarnation + 1
		v.markOwnChanged()
	case s.Incarnation == v.ownStatement.Incarnation && s.Seq == v.ownStatement.Seq && s.Down:
		v.markOwnChanged()
	}
}

// setStatement replaces the statement of a member and updates the digest.
func (v *View) setStatement(now time.Time, m *member, s Statement) {
	v.membersDigest ^= m.statement.digestPart() ^ s.digestPart()
	m.statement = s
	m.suspectedAt = time.Time{}
	if s.Down {
		m.suspectedAt = now
	}
	v.version++
}

// Digest returns a hash of all known statements except suspicions. It is equal in all processes that know the same statements.
func (v *View) Digest() uint64 { return v.membersDigest ^ v.ownStatement.digestPart() }

// NeedsSummary compares the digest of a peer with that of this process. It returns true if a summary must be sent to the
// peer, because the digests have differed for longer than statements take to spread.
func (v *View) NeedsSummary(now time.Time, id string, digest uint64) bool {
	if digest == v.Digest() {
		delete(v.digestDiffersSince, id)
		return false
	}
	since, ok := v.digestDiffersSince[id]
	switch {
	case !ok:
		v.digestDiffersSince[id] = now
	case now.Sub(since) >= minDigestDifferTime && now.Sub(v.lastDigestSummary) >= digestSummaryInterval:
		v.lastDigestSummary = now
		delete(v.digestDiffersSince, id)
		return true
	}
	return false
}

// RecordLinkOpened records that a link to a peer has just opened. If the next digest of the peer differs, NeedsSummary
// then returns true at once, since statements were missed while there was no link.
func (v *View) RecordLinkOpened(now time.Time, id string) {
	v.digestDiffersSince[id] = now.Add(-minDigestDifferTime)
}

// HasNewer reports whether the summary of a peer names statements that are newer than those known to this process.
func (v *View) HasNewer(summary []StatementVersion) bool {
	return slices.ContainsFunc(summary, func(s StatementVersion) bool {
		switch m := v.members[s.VM]; {
		case s.VM == v.self:
			return false
		case m == nil:
			return !s.Down
		default:
			return s.newerThan(m.statement.version())
		}
	})
}

// Summary returns the versions of all known statements, sorted by ID.
func (v *View) Summary() []StatementVersion {
	out := []StatementVersion{v.ownStatement.version()}
	for _, id := range v.memberIDs {
		if m := v.members[id]; m.statement.Seq > 0 {
			out = append(out, m.statement.version())
		}
	}
	slices.SortFunc(out, func(a, b StatementVersion) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// NewerStatements returns the statements that are missing from the summary of a peer, or newer than the summary says.
func (v *View) NewerStatements(summary []StatementVersion) []Statement {
	peerVersions := make(map[string]StatementVersion, len(summary))
	for _, s := range summary {
		peerVersions[s.VM] = s
	}
	var out []Statement
	for _, s := range v.Summary() {
		if peerVersion, ok := peerVersions[s.VM]; ok && s.newerThan(peerVersion) || !ok && !s.Down {
			out = append(out, v.statementOf(s.VM))
		}
	}
	return out
}

// statementOf returns the statement of this process or of a member.
func (v *View) statementOf(id string) Statement {
	if id == v.self {
		return v.ownStatement
	}
	return v.members[id].statement
}

// PendingStatement is a statement to be sent to peers.
type PendingStatement struct {
	Statement    Statement
	ReceivedFrom string // the peer that sent the statement, and doesn't need it again; empty if this process made it
}

// TakePending returns the statements that are to be sent, sorted by ID. Each is returned once. Until this process is settled
// it sends its own statement only, unless it is a seed, since the seeds pass on those of the others.
func (v *View) TakePending(now time.Time) []PendingStatement {
	out := make([]PendingStatement, 0, len(v.pendingSources))
	sendsOthers := v.isSeed || v.Settled(now)
	for id, from := range v.pendingSources {
		if id == v.self || sendsOthers && v.members[id] != nil {
			out = append(out, PendingStatement{v.statementOf(id), from})
		}
	}
	clear(v.pendingSources)
	slices.SortFunc(out, func(a, b PendingStatement) int { return cmp.Compare(a.Statement.VM, b.Statement.VM) })
	return out
}

// Recipients returns the processes to which the result of TakePending is to be sent, out of the peers with an open link in
// either direction. In a fleet larger than Config.MaxFullMesh, these are only the peers that this process dials.
func (v *View) Recipients(linked []string) []string {
	if len(v.members) < v.cfg.MaxFullMesh {
		return linked
	}
	return slices.DeleteFunc(slices.Clone(linked), func(id string) bool { return v.dialledSince[id].IsZero() })
}

// Tick recomputes which processes run, suspects silent peers, and removes members that haven't run for Config.RemoveAfter.
func (v *View) Tick(now time.Time) {
	if now.Sub(v.lastTick) > suspendedGap {
		v.activeSince = now
	}
	v.lastTick = now
	var reachable, running []string
	anyRemoved := false
	for _, id := range v.memberIDs {
		m := v.members[id]
		isReachable := now.Sub(m.lastMessage) <= v.cfg.SilenceTimeout
		if isReachable {
			reachable = append(reachable, id)
		} else {
			v.suspectOrVerify(now, id, m)
		}
		down := !m.suspectedAt.IsZero() && now.Sub(m.suspectedAt) >= v.cfg.RefuteTimeout
		if isReachable || m.statement.Seq > 0 && !down {
			running = append(running, id)
			m.lastRunning = now
		}
		lastSeen := m.lastRunning
		if lastSeen.IsZero() {
			lastSeen = m.addedAt
		}
		if !v.seeds[id] && now.Sub(lastSeen) > v.cfg.RemoveAfter {
			v.membersDigest ^= m.statement.digestPart()
			delete(v.members, id)
			v.version++
			anyRemoved = true
		}
	}
	if anyRemoved {
		v.memberIDs = slices.DeleteFunc(v.memberIDs, func(id string) bool { return v.members[id] == nil })
	}
	v.endVerifications(now)
	v.reachable = reachable
	if !slices.Equal(running, v.running) {
		v.version++
	}
	v.running = running
	newCallerList := v.computeCallerList(now)
	if !slices.Equal(newCallerList, v.callerList) {
		v.version++
	}
	v.callerList = newCallerList
}

// suspectOrVerify handles a silent member. If this process dials the member, it suspects the member. If only the member had
// dialled this process, the member is first dialled to verify that it is down.
func (v *View) suspectOrVerify(now time.Time, id string, m *member) {
	if m.statement.Seq == 0 || m.statement.Down || now.Sub(v.activeSince) <= v.cfg.SilenceTimeout {
		return
	}
	since := v.dialledSince[id]
	if since.IsZero() {
		if !m.lastMessage.IsZero() && v.verifyingSince[id].IsZero() && len(v.verifyingSince) < maxVerifying {
			v.verifyingSince[id] = now
		}
		return
	}
	if m.lastMessage.Before(since) && now.Sub(since) <= firstMessageTimeout || now.Before(m.suspectNotBefore) {
		return
	}
	m.suspectBackoff = min(max(2*m.suspectBackoff, v.cfg.SilenceTimeout), maxSuspectBackoff)
	m.suspectNotBefore = now.Add(m.suspectBackoff)
	s := m.statement
	s.Down = true
	v.setStatement(now, m, s)
	v.pendingSources[id] = ""
}

// endVerifications stops the verification of peers that are no longer silent, are suspected, or for which it has taken too
// long.
func (v *View) endVerifications(now time.Time) {
	for id, since := range v.verifyingSince {
		m := v.members[id]
		if m == nil || m.statement.Down || now.Sub(m.lastMessage) <= v.cfg.SilenceTimeout || now.Sub(since) > 2*firstMessageTimeout {
			delete(v.verifyingSince, id)
		}
	}
}

// Running returns the sorted IDs of the other processes that run, as of the last Tick.
func (v *View) Running() []string { return v.running }

// Reachable returns the sorted IDs of the processes from which messages arrive on a link, as of the last Tick.
func (v *View) Reachable() []string { return v.reachable }

// CallerList returns the sorted IDs of the other processes whose addresses callers may get, as of the last Tick.
func (v *View) CallerList() []string { return v.callerList }

// Version returns a number that changes whenever the statements of other processes, the set of running processes or the
// result of CallerList changes.
func (v *View) Version() uint64 { return v.version }

// computeCallerList returns the result of CallerList, and updates lastTrustedList and majorityLost.
func (v *View) computeCallerList(now time.Time) []string {
	accepts := func(id string) bool {
		m := v.members[id]
		return m != nil && m.statement.Ready && !m.statement.Leaving
	}
	callerList := slices.DeleteFunc(slices.Clone(v.running), func(id string) bool { return !accepts(id) })
	if 2*len(callerList) >= len(v.lastTrustedList) {
		v.lastTrustedList, v.lastTrustedListAt, v.majorityLost = callerList, now, false
		return callerList
	}
	v.majorityLost = true
	if now.Sub(v.lastTrustedListAt) > v.cfg.ListHoldTime {
		return callerList
	}
	return slices.DeleteFunc(slices.Clone(v.lastTrustedList), func(id string) bool { return !accepts(id) })
}

// Statement returns the last known statement of another process; the zero value if there is none.
func (v *View) Statement(id string) Statement {
	if m := v.members[id]; m != nil {
		return m.statement
	}
	return Statement{}
}

// MajorityLost reports whether more than half of the list for callers has disappeared at once. If so, CallerList still returns
// the last list for Config.ListHoldTime.
func (v *View) MajorityLost() bool { return v.majorityLost }

// Size returns the number of processes that share a fleet-wide limit, including this one.
func (v *View) Size(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if !m.lastRunning.IsZero() && now.Sub(m.lastRunning) <= v.cfg.ShrinkDelay {
			n++
		}
	}
	return n
}

// Settled reports whether Config.SettleTime has passed since the start of this process. In that time it learns of the others.
func (v *View) Settled(now time.Time) bool { return now.Sub(v.startedAt) >= v.cfg.SettleTime }

// Readers returns the processes that read the documents of the platform for the fleet: of the processes that run and are not
// leaving, the first n in an order by hash. All processes that know the same members get the same result. The slice must not
// be changed.
func (v *View) Readers(n int) []string {
	inputs := readersInputs{v.version, v.ownStatement.Leaving, n}
	if v.cachedReadersInputs != inputs {
		v.cachedReadersInputs, v.cachedReaders = inputs, v.chooseReaders(n)
	}
	return v.cachedReaders
}

// chooseReaders computes the result of Readers.
func (v *View) chooseReaders(n int) []string {
	var out []string
	if !v.ownStatement.Leaving {
		out = append(out, v.self)
	}
	for _, id := range v.running {
		if m := v.members[id]; m != nil && m.statement.Seq > 0 && !m.statement.Leaving {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, compareByHash("reader"))
	return out[:min(n, len(out))]
}

// compareByHash returns a comparison of IDs by the hash of salt and ID.
func compareByHash(salt string) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+a), xxhash.Sum64String(salt+b)), cmp.Compare(a, b))
	}
}

// Peers returns the sorted IDs of the processes to which this process must keep a link. The slice may be changed.
func (v *View) Peers(now time.Time) []string {
	out := v.linksToDial(now)
	for id := range v.verifyingSince {
		out = append(out, id)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	for id := range v.dialledSince {
		if _, wanted := slices.BinarySearch(out, id); !wanted {
			delete(v.dialledSince, id)
			if m := v.members[id]; m != nil {
				m.lastMessage = time.Time{}
			}
		}
	}
	for _, id := range out {
		if v.dialledSince[id].IsZero() {
			v.dialledSince[id] = now
		}
	}
	return out
}

// linksToDial returns the processes to dial, except those that are dialled only to verify that they are down.
func (v *View) linksToDial(now time.Time) []string {
	if !v.Settled(now) && len(v.seeds) > 0 {
		return sortedKeys(v.seeds)
	}
	if len(v.memberIDs) < v.cfg.MaxFullMesh {
		return slices.Clone(v.memberIDs)
	}
	isRunning := func(id string) bool {
		_, ok := slices.BinarySearch(v.running, id)
		return ok
	}
	anyNotRunning := slices.ContainsFunc(v.chosenLinks, func(id string) bool { return !isRunning(id) })
	if age := now.Sub(v.linksChosenAt); age < v.cfg.LinkChoiceInterval && (!anyNotRunning || age < v.cfg.LinkChoiceInterval/4) {
		return slices.Clone(v.chosenLinks)
	}
	v.chosenLinks, v.linksChosenAt = v.chooseLinks(now, slices.Clone(v.memberIDs), isRunning), now
	return slices.Clone(v.chosenLinks)
}

// sortedKeys returns the keys of a set in order.
func sortedKeys(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// chooseLinks returns the sorted IDs of the processes to dial in a fleet larger than Config.MaxFullMesh. The candidates are
// the IDs of all members; chooseLinks modifies the slice.
func (v *View) chooseLinks(now time.Time, candidates []string, isRunning func(id string) bool) []string {
	slices.SortFunc(candidates, compareByHash(v.self))
	running := slices.DeleteFunc(slices.Clone(candidates), func(id string) bool { return !isRunning(id) })
	out := v.successors(running)
	// The successors on the ring are mostly in the data centre of this process, so processes of other data centres come first.
	otherDataCentres := slices.DeleteFunc(slices.Clone(running), func(id string) bool { return v.members[id].statement.DataCentre == v.cfg.DataCentre })
	for _, id := range slices.Concat(otherDataCentres, running) {
		if len(out) >= v.cfg.RingLinks+v.cfg.HashLinks {
			break
		}
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	notRunning := slices.DeleteFunc(candidates, isRunning)
	rotation := int(now.Sub(v.startedAt) / retryRotation)
	for i := range min(v.cfg.RetryLinks, len(notRunning)) {
		out = append(out, notRunning[(rotation*v.cfg.RetryLinks+i)%len(notRunning)])
	}
	if len(running) < 2*v.cfg.HashLinks {
		for id := range v.seeds {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// successors returns the next Config.RingLinks processes on the ring, which is ordered by data centre and then by hash.
func (v *View) successors(running []string) []string {
	ring := slices.Clone(running)
	slices.SortFunc(ring, func(a, b string) int {
		x, y := v.members[a], v.members[b]
		return cmp.Or(cmp.Compare(x.statement.DataCentre, y.statement.DataCentre), cmp.Compare(x.ringPosition, y.ringPosition))
	})
	ownPosition := xxhash.Sum64String(v.self)
	nextIndex, _ := slices.BinarySearchFunc(ring, v.self, func(id, _ string) int {
		m := v.members[id]
		return cmp.Or(cmp.Compare(m.statement.DataCentre, v.cfg.DataCentre), cmp.Compare(m.ringPosition, ownPosition))
	})
	var out []string
	for i := range min(v.cfg.RingLinks, len(ring)) {
		out = append(out, ring[(nextIndex+i)%len(ring)])
	}
	return out
}
