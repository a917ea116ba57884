// Package crew tracks which entry processes exist and run, without a published list. It is a gossip membership protocol in
// the manner of SWIM: each process publishes a statement about itself, which stays valid until it is replaced. Processes
// that are joined by a link monitor each other, and a process that no longer answers is reported as down (an accusation).
//
// # Usage
//
//	v := crew.New(crew.Config{}, self, incarnation, seeds, now)
//	v.Sign(sent, id)                              // a message from peer id arrived; a pong counts from its ping
//	v.Released(id)                                // peer id has closed its link on purpose
//	v.State(ready, leaving, busy)                 // the state of this process has changed
//	v.Take(now, from, statements)                 // statements arrived from a peer; newer ones are passed on
//	v.Tick(now)                                   // recompute which processes run
//	for _, item := range v.News(now) { ... }      // send each at once to v.Audience(linked)
//	hub.SetPeers(v.Peers(now))                    // keep links to these processes
//	if v.Differs(now, id, digest) { ... }         // on a pong of peer id: send the peer v.Summary
//	for _, id := range v.Callable() { ... }       // processes whose addresses callers may get
//	n := v.Size(now)                              // number of processes that share a fleet-wide limit
//
// After a link has opened, a process that is not yet settled sends v.Summary. A settled process calls v.Fresh instead, so
// that the digest of the first pong is compared without delay. A process that receives a summary replies with v.Newer, and
// also with its own summary if v.Lacks returns true.
//
// # Statements
//
// A statement is replaced by a statement about the same process that has a higher incarnation, or the same incarnation and
// a higher sequence number, or the same two numbers and the accusation Down. Incarnations come from the wall clock, which
// may step back between two starts: a process that receives a statement of its own earlier run raises its incarnation above
// the incarnation of that statement.
//
// # Accusations
//
// A linked process that has sent nothing for Config.Silence is accused. An accusation is passed on like any other
// statement. It takes effect after Config.Refute, unless the accused process has published a statement with a higher
// sequence number by then. A process that was itself suspended accuses no other process for Config.Silence. If the silent
// peer had dialled this process, and not the other way round, this process dials the peer first and accuses it only if
// that fails. A process that receives messages from a peer counts that peer as running, even if others accuse the peer.
//
// # Links
//
// For Config.Start, a new process has links to its seeds only. After that, in a fleet of up to Config.Mesh processes each
// process dials all others. In a larger fleet each process dials three groups:
//
//   - the next Config.Ring processes on a ring, whose order is the same for all processes, so that each process is
//     monitored as long as any other one runs;
//   - Config.Links others, most of them in other data centres, chosen by hash so that a change of the fleet moves few links;
//   - Config.Retries silent processes, to detect those that have come back.
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
// cause. The last list for callers is then kept for Config.Doubt, so that callers are not all sent to the few processes
// from which messages still arrive.
//
// # Shares of fleet-wide limits
//
// Size grows at once and shrinks with a delay: the share of each process, limit/Size, doesn't grow until a process that has
// disappeared can no longer be using its own share.
package crew

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
	DataCentre string        // data centre of this process
	Capacity   float64       // capacity of the VM of this process, in cores
	Silence    time.Duration // a peer counts as silent when nothing has arrived from it for this long
	Refute     time.Duration // time that an accused process has to refute the accusation
	Doubt      time.Duration // time for which the list for callers is kept when more than half of it disappears
	Shrink     time.Duration // Size counts a process until this long after it was last seen running
	Forget     time.Duration // a process that is not running is removed from the members after this long
	Start      time.Duration // time after the start of this process until the members count as known
	Restate    time.Duration // minimum interval between two statements for a change of the load
	Rechoose   time.Duration // minimum interval between two choices of links in a larger fleet
	Mesh       int           // size of the largest fleet in which every process dials all others
	Ring       int           // number of successors on the ring that a process of a larger fleet dials
	Links      int           // number of other running processes that it dials
	Retries    int           // number of silent processes that it dials at a time
}

// Defaults of Config.
const (
	// DefaultSilence is three intervals of the pings between peers.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultRefute is the time in which an accusation reaches the accused process and the refutation returns, at four hops
	// of 100 ms each way.
	DefaultRefute = 800 * time.Millisecond
	// DefaultDoubt keeps the time for which callers may be given the address of a killed process below 7 s in total.
	DefaultDoubt = 4 * time.Second
	// DefaultShrink is the longest window over which a fleet-wide limit is counted.
	DefaultShrink = 10 * time.Second
	// DefaultForget is longer than any network partition that is healed on the same day.
	DefaultForget = 5 * time.Minute
	// DefaultStart covers the 0.3 s within which the processes of a fleet start, and the time that a statement takes to
	// spread through the seeds.
	DefaultStart = 1200 * time.Millisecond
	// DefaultRestate limits the statements of a fleet near its capacity, whose processes change between busy and not busy.
	DefaultRestate = 2 * time.Second
	// DefaultRechoose gives a process time to learn of the others, so that its choice of links doesn't change afterwards.
	DefaultRechoose = 2 * time.Second
	// DefaultMesh is the fleet size at which links to all others cost twice as many pings as the links of a larger fleet.
	DefaultMesh = 14
	// DefaultRing has each process monitored by two others, so that its failure is detected even if one of them fails with it.
	DefaultRing = 2
	// DefaultLinks connects the data centres. Together with the links that others dial, a process has about ten neighbours,
	// and a random graph of that degree stays connected when half of its nodes disappear.
	DefaultLinks   = 3
	DefaultRetries = 2
	// retryRound is the time for which a silent process is dialled before the next silent process is dialled instead.
	retryRound = 4 * time.Second
	// linkTime is the time within which the first message must arrive on a new link.
	linkTime = 2 * time.Second
	// awakeGap is the interval between two ticks above which this process was suspended or had no processor time.
	awakeGap = 700 * time.Millisecond
	// maxChecks bounds how many silent peers are dialled at the same time to verify that they are down.
	maxChecks = 8
	// maxAccuse is the longest interval between two accusations of a process that refutes them.
	maxAccuse = 30 * time.Second
	// differFor is the time for which the digest of a peer must differ before a summary is sent. It is longer than a
	// statement takes to spread through the fleet.
	differFor = 800 * time.Millisecond
	// differEvery is the minimum interval between two summaries that this process sends because a digest differs.
	differEvery = time.Second
)

// Statement is the published state of a process. The process itself publishes it; other processes only set Down.
type Statement struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Down        bool     `cbor:"down"` // accusation: a peer receives nothing from the process any more
	Ready       bool     `cbor:"ready"`
	Leaving     bool     `cbor:"leaving"`
	Busy        bool     `cbor:"busy"` // the process has no capacity for more requests
	DataCentre  string   `cbor:"data_centre"`
	Capacity    float64  `cbor:"capacity"` // capacity of the VM of the process, in cores
}

// Stamp identifies one version of the statement of a process.
type Stamp struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Down        bool     `cbor:"down"`
}

func (s Stamp) newer(than Stamp) bool {
	if s.Incarnation != than.Incarnation {
		return s.Incarnation > than.Incarnation
	}
	if s.Seq != than.Seq {
		return s.Seq > than.Seq
	}
	return s.Down && !than.Down
}

func (s Statement) stamp() Stamp {
	return Stamp{VM: s.VM, Incarnation: s.Incarnation, Seq: s.Seq, Down: s.Down}
}

// hash returns the contribution of a statement to the digest. It is 0 for an accusation, since processes that are down are
// removed from the members at different times in different processes.
func (s Statement) hash() uint64 {
	if s.Seq == 0 || s.Down {
		return 0
	}
	raw := binary.LittleEndian.AppendUint64([]byte(s.VM), s.Incarnation)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, s.Seq))
}

type member struct {
	statement Statement     // Seq is 0 while no statement is known
	since     time.Time     // when the member was added
	sign      time.Time     // last message that arrived from it on a link of this process; zero if none is expected
	ran       time.Time     // last tick at which it counted as running; zero if never
	accused   time.Time     // when the current accusation arrived; zero if there is none
	pause     time.Duration // backoff before this process accuses it again
	hold      time.Time     // this process doesn't accuse it before this time
	place     uint64        // position on the ring
}

// View holds the members of the fleet as this process knows them. Use New.
type View struct {
	cfg      Config
	self     string
	started  time.Time
	seed     bool // whether this process is a seed
	seeds    map[string]bool
	mine     Statement // statement of this process
	busyAt   time.Time // when the load in the own statement was last changed
	members  map[string]*member
	order    []string          // sorted IDs of the members
	news     map[string]string // processes whose statements are to be sent; the value is the peer that each came from
	digest   uint64            // XOR of the hashes of the members' statements
	version  uint64            // changes with the members' statements and with the set of those that run
	hears    []string          // members from which messages arrive, as of the last Tick, sorted
	running  []string          // members that run, as of the last Tick, sorted
	callable []string          // members that callers may be told of, as of the last Tick, sorted
	shown    []string          // last list for callers that hadn't lost more than half of its entries
	shownAt  time.Time         // when shown was last updated
	doubtful bool              // whether more than half of shown has disappeared
	readers  []string          // last result of Readers
	chosen   []string          // links that were chosen last in a larger fleet
	chosenAt time.Time
	linked   map[string]time.Time // processes that this process dials, and since when
	checks   map[string]time.Time // silent peers that are dialled to verify that they are down, and since when
	ticked   time.Time            // last Tick
	awake    time.Time            // since when the ticks of this process have come without a gap
	differs  map[string]time.Time // peers whose digest differs, and since when
	askedAt  time.Time            // when a summary was last sent because a digest differs

	readersOf readerBasis // inputs that readers was computed from
}

// readerBasis holds the inputs on which the choice of readers depends.
type readerBasis struct {
	version uint64
	leaving bool
	n       int
}

// New returns a view whose members are the seeds. The ID of a process is its peer address; self is the ID of this process.
func New(cfg Config, self string, incarnation uint64, seeds []string, now time.Time) *View {
	cfg.Silence = cmp.Or(cfg.Silence, DefaultSilence)
	cfg.Refute = cmp.Or(cfg.Refute, DefaultRefute)
	cfg.Doubt = cmp.Or(cfg.Doubt, DefaultDoubt)
	cfg.Shrink = cmp.Or(cfg.Shrink, DefaultShrink)
	cfg.Forget = cmp.Or(cfg.Forget, DefaultForget)
	cfg.Start = cmp.Or(cfg.Start, DefaultStart)
	cfg.Restate = cmp.Or(cfg.Restate, DefaultRestate)
	cfg.Rechoose = cmp.Or(cfg.Rechoose, DefaultRechoose)
	cfg.Mesh = cmp.Or(cfg.Mesh, DefaultMesh)
	cfg.Ring = cmp.Or(cfg.Ring, DefaultRing)
	cfg.Links = cmp.Or(cfg.Links, DefaultLinks)
	cfg.Retries = cmp.Or(cfg.Retries, DefaultRetries)
	v := &View{
		cfg: cfg, self: self, started: now, awake: now, seeds: map[string]bool{}, members: map[string]*member{}, news: map[string]string{},
		linked: map[string]time.Time{}, checks: map[string]time.Time{}, differs: map[string]time.Time{},
		mine: Statement{VM: self, Incarnation: incarnation, Seq: 1, DataCentre: cfg.DataCentre, Capacity: cfg.Capacity},
	}
	for _, id := range seeds {
		if id == self {
			v.seed = true
			continue
		}
		v.seeds[id] = true
		v.member(now, id)
	}
	v.news[self] = ""
	return v
}

// member returns the member with an ID, and adds it if it doesn't exist.
func (v *View) member(now time.Time, id string) *member {
	m := v.members[id]
	if m == nil {
		m = &member{since: now, place: xxhash.Sum64String(id)}
		v.members[id] = m
		i, _ := slices.BinarySearch(v.order, id)
		v.order = slices.Insert(v.order, i, id)
	}
	return m
}

// Sign records that a message of a process has arrived on a link. It reports whether the process counted as silent before.
func (v *View) Sign(at time.Time, id string) (news bool) {
	if id == v.self || id == "" {
		return false
	}
	m := v.member(at, id)
	news = at.Sub(m.sign) > v.cfg.Silence
	if at.After(m.sign) {
		m.sign = at
	}
	m.pause = 0
	return news
}

// Released records that a peer has closed its link to this process on purpose. Unless this process dials the peer itself,
// no more messages are expected and the silence of the peer is no sign of a failure.
func (v *View) Released(id string) {
	if m := v.members[id]; m != nil && v.linked[id].IsZero() {
		m.sign = time.Time{}
	}
}

// State sets the state that this process publishes. A change of busy is published at most once in Config.Restate.
func (v *View) State(ready, leaving, busy bool) {
	if busy != v.mine.Busy && v.ticked.Sub(v.busyAt) >= v.cfg.Restate {
		v.busyAt = v.ticked
		v.mine.Busy = busy
		v.restate()
	}
	if v.mine.Ready != ready || v.mine.Leaving != leaving {
		v.mine.Ready, v.mine.Leaving = ready, leaving
		v.restate()
	}
}

// restate marks the changed statement of this process for sending.
func (v *View) restate() {
	v.mine.Seq++
	v.news[v.self] = ""
}

// Take merges statements that a peer has sent. Those that are newer than the known ones are passed on to the other peers.
func (v *View) Take(now time.Time, from string, statements []Statement) {
	for _, s := range statements {
		if !(s.Capacity >= 0 && s.Capacity < math.MaxInt16) {
			s.Capacity = 0 // treat an invalid capacity as unknown
		}
		switch {
		case s.VM == "" || s.Seq == 0:
		case s.VM == v.self:
			v.answer(s)
		case v.members[s.VM] == nil && s.Down:
			// The process isn't a member, so that there is nothing to accuse.
		default:
			m := v.member(now, s.VM)
			if m.statement.Seq > 0 && !s.stamp().newer(m.statement.stamp()) {
				continue
			}
			v.set(now, m, s)
			v.news[s.VM] = from
		}
	}
}

// answer handles a statement of another process about this one. If it is an accusation, or comes from an earlier run of this
// process, this process publishes a newer statement, which replaces it.
func (v *View) answer(s Statement) {
	switch {
	case s.Incarnation == v.mine.Incarnation && s.Seq > v.mine.Seq, s.Incarnation > v.mine.Incarnation:
		v.mine.Incarnation = s.Incarnation + 1
		v.restate()
	case s.Incarnation == v.mine.Incarnation && s.Seq == v.mine.Seq && s.Down:
		v.restate()
	}
}

// set replaces the statement of a member and updates the digest.
func (v *View) set(now time.Time, m *member, s Statement) {
	v.digest ^= m.statement.hash() ^ s.hash()
	m.statement = s
	m.accused = time.Time{}
	if s.Down {
		m.accused = now
	}
	v.version++
}

// Digest returns a hash of all known statements. It is equal in all processes that know the same statements.
func (v *View) Digest() uint64 { return v.digest ^ v.mine.hash() }

// Differs compares the digest of a peer with that of this process. It reports whether to send the peer a summary, because the
// digests have differed for longer than statements take to spread.
func (v *View) Differs(now time.Time, id string, digest uint64) bool {
	if digest == v.Digest() {
		delete(v.differs, id)
		return false
	}
	since, ok := v.differs[id]
	switch {
	case !ok:
		v.differs[id] = now
	case now.Sub(since) >= differFor && now.Sub(v.askedAt) >= differEvery:
		v.askedAt = now
		delete(v.differs, id)
		return true
	}
	return false
}

// Fresh records that a link to a peer has just opened. If the next digest of the peer differs, statements were missed while
// there was no link, and Differs returns true without a delay.
func (v *View) Fresh(now time.Time, id string) { v.differs[id] = now.Add(-differFor) }

// Lacks reports whether the summary of a peer names statements that are newer than those known to this process.
func (v *View) Lacks(theirs []Stamp) bool {
	return slices.ContainsFunc(theirs, func(s Stamp) bool {
		switch m := v.members[s.VM]; {
		case s.VM == v.self:
			return false
		case m == nil:
			return !s.Down
		default:
			return s.newer(m.statement.stamp())
		}
	})
}

// Summary returns the stamps of all known statements, sorted by ID.
func (v *View) Summary() []Stamp {
	out := []Stamp{v.mine.stamp()}
	for _, id := range v.order {
		if m := v.members[id]; m.statement.Seq > 0 {
			out = append(out, m.statement.stamp())
		}
	}
	slices.SortFunc(out, func(a, b Stamp) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Newer returns the statements that are missing from the summary of a peer, or newer than the summary says.
func (v *View) Newer(theirs []Stamp) []Statement {
	known := make(map[string]Stamp, len(theirs))
	for _, s := range theirs {
		known[s.VM] = s
	}
	var out []Statement
	for _, s := range v.Summary() {
		if old, ok := known[s.VM]; ok && s.newer(old) || !ok && !s.Down {
			out = append(out, v.statement(s.VM))
		}
	}
	return out
}

func (v *View) statement(id string) Statement {
	if id == v.self {
		return v.mine
	}
	return v.members[id].statement
}

// Item is a statement to be sent to peers.
type Item struct {
	Statement Statement
	From      string // the peer that sent the statement, and doesn't need it again; empty if this process made it
}

// News returns the statements that are to be sent, sorted by ID. Each is returned once. A process that has just started and
// is no seed sends its own statement only, since its seeds pass on those of the others.
func (v *View) News(now time.Time) []Item {
	out := make([]Item, 0, len(v.news))
	relays := v.seed || v.Settled(now)
	for id, from := range v.news {
		if id == v.self || relays && v.members[id] != nil {
			out = append(out, Item{v.statement(id), from})
		}
	}
	clear(v.news)
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Statement.VM, b.Statement.VM) })
	return out
}

// Audience returns the processes to which the result of News is to be sent. The argument lists the peers with an open link
// in either direction. In a larger fleet only those that this process dials are returned.
func (v *View) Audience(linked []string) []string {
	if len(v.members) < v.cfg.Mesh {
		return linked
	}
	return slices.DeleteFunc(slices.Clone(linked), func(id string) bool { return v.linked[id].IsZero() })
}

// Tick recomputes which processes run, accuses silent peers, and removes members that haven't run for Config.Forget.
func (v *View) Tick(now time.Time) {
	if now.Sub(v.ticked) > awakeGap {
		v.awake = now
	}
	v.ticked = now
	var hears, running []string
	forget := false
	for _, id := range v.order {
		m := v.members[id]
		heard := now.Sub(m.sign) <= v.cfg.Silence
		if heard {
			hears = append(hears, id)
		} else {
			v.watch(now, id, m)
		}
		down := !m.accused.IsZero() && now.Sub(m.accused) >= v.cfg.Refute
		if heard || m.statement.Seq > 0 && !down {
			running = append(running, id)
			m.ran = now
		}
		last := m.ran
		if last.IsZero() {
			last = m.since
		}
		if !v.seeds[id] && now.Sub(last) > v.cfg.Forget {
			v.digest ^= m.statement.hash()
			delete(v.members, id)
			v.version++
			forget = true
		}
	}
	if forget {
		v.order = slices.DeleteFunc(v.order, func(id string) bool { return v.members[id] == nil })
	}
	v.endChecks(now)
	v.hears = hears
	if !slices.Equal(running, v.running) {
		v.version++
	}
	v.running = running
	callable := v.callers(now)
	if !slices.Equal(callable, v.callable) {
		v.version++
	}
	v.callable = callable
}

// watch handles a silent member. If this process dials the member, it accuses the member; if only the member had dialled this
// process, it has the member dialled first.
func (v *View) watch(now time.Time, id string, m *member) {
	if m.statement.Seq == 0 || m.statement.Down || now.Sub(v.awake) <= v.cfg.Silence {
		return
	}
	since := v.linked[id]
	if since.IsZero() {
		if !m.sign.IsZero() && v.checks[id].IsZero() && len(v.checks) < maxChecks {
			v.checks[id] = now
		}
		return
	}
	if m.sign.Before(since) && now.Sub(since) <= linkTime || now.Before(m.hold) {
		return
	}
	m.pause = min(max(2*m.pause, v.cfg.Silence), maxAccuse)
	m.hold = now.Add(m.pause)
	s := m.statement
	s.Down = true
	v.set(now, m, s)
	v.news[id] = ""
}

// endChecks stops the verification of peers that are no longer silent, have been accused, or couldn't be decided in time.
func (v *View) endChecks(now time.Time) {
	for id, since := range v.checks {
		m := v.members[id]
		if m == nil || m.statement.Down || now.Sub(m.sign) <= v.cfg.Silence || now.Sub(since) > 2*linkTime {
			delete(v.checks, id)
		}
	}
}

// Running returns the sorted IDs of the other processes that run, as of the last Tick.
func (v *View) Running() []string { return v.running }

// Hears returns the sorted IDs of the processes from which messages arrive on a link, as of the last Tick.
func (v *View) Hears() []string { return v.hears }

// Callable returns the sorted IDs of the other processes that accept requests, as of the last Tick.
func (v *View) Callable() []string { return v.callable }

// Version returns a number that changes whenever the statements of other processes, the set of running processes or the
// result of Callable changes.
func (v *View) Version() uint64 { return v.version }

// callers computes the result of Callable.
func (v *View) callers(now time.Time) []string {
	takes := func(id string) bool {
		m := v.members[id]
		return m != nil && m.statement.Ready && !m.statement.Leaving
	}
	out := slices.DeleteFunc(slices.Clone(v.running), func(id string) bool { return !takes(id) })
	if 2*len(out) >= len(v.shown) {
		v.shown, v.shownAt, v.doubtful = out, now, false
		return out
	}
	v.doubtful = true
	if now.Sub(v.shownAt) > v.cfg.Doubt {
		return out
	}
	return slices.DeleteFunc(slices.Clone(v.shown), func(id string) bool { return !takes(id) })
}

// Statement returns the last known statement of another process; the zero value if there is none.
func (v *View) Statement(id string) Statement {
	if m := v.members[id]; m != nil {
		return m.statement
	}
	return Statement{}
}

// Doubtful reports whether more than half of the list for callers has disappeared at once. For Config.Doubt, Callable then
// still returns the last list.
func (v *View) Doubtful() bool { return v.doubtful }

// Size returns the number of processes that share a fleet-wide limit, including this one.
func (v *View) Size(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if !m.ran.IsZero() && now.Sub(m.ran) <= v.cfg.Shrink {
			n++
		}
	}
	return n
}

// Settled reports whether Config.Start has passed since the start, in which this process learns of the other processes.
func (v *View) Settled(now time.Time) bool { return now.Sub(v.started) >= v.cfg.Start }

// Readers returns the processes that read the documents of the platform for the fleet: the first n in an order by hash among
// those that run and are not leaving. All processes that know the same members get the same result. The slice must not be
// changed.
func (v *View) Readers(n int) []string {
	basis := readerBasis{v.version, v.mine.Leaving, n}
	if v.readersOf != basis {
		v.readersOf, v.readers = basis, v.chooseReaders(n)
	}
	return v.readers
}

func (v *View) chooseReaders(n int) []string {
	var out []string
	if !v.mine.Leaving {
		out = append(out, v.self)
	}
	for _, id := range v.running {
		if m := v.members[id]; m != nil && m.statement.Seq > 0 && !m.statement.Leaving {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, byHash("reader"))
	return out[:min(n, len(out))]
}

// byHash returns a comparison of IDs by the hash of salt and ID.
func byHash(salt string) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+a), xxhash.Sum64String(salt+b)), cmp.Compare(a, b))
	}
}

// Peers returns the sorted IDs of the processes to which this process must keep a link. The slice may be changed.
func (v *View) Peers(now time.Time) []string {
	out := v.wanted(now)
	for id := range v.checks {
		out = append(out, id)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	for id := range v.linked {
		if _, wanted := slices.BinarySearch(out, id); !wanted {
			delete(v.linked, id)
			if m := v.members[id]; m != nil {
				m.sign = time.Time{}
			}
		}
	}
	for _, id := range out {
		if v.linked[id].IsZero() {
			v.linked[id] = now
		}
	}
	return out
}

// wanted returns the processes to dial, apart from those that are dialled to verify that they are down.
func (v *View) wanted(now time.Time) []string {
	if !v.Settled(now) && len(v.seeds) > 0 {
		return sorted(v.seeds)
	}
	if len(v.order) < v.cfg.Mesh {
		return slices.Clone(v.order)
	}
	runs := func(id string) bool {
		_, ok := slices.BinarySearch(v.running, id)
		return ok
	}
	lost := slices.ContainsFunc(v.chosen, func(id string) bool { return !runs(id) })
	if age := now.Sub(v.chosenAt); age < v.cfg.Rechoose && (!lost || age < v.cfg.Rechoose/4) {
		return slices.Clone(v.chosen)
	}
	v.chosen, v.chosenAt = v.choose(now, slices.Clone(v.order), runs), now
	return slices.Clone(v.chosen)
}

// sorted returns the keys of a set in order.
func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// choose returns the sorted IDs of the processes to dial in a larger fleet.
func (v *View) choose(now time.Time, all []string, runs func(id string) bool) []string {
	slices.SortFunc(all, byHash(v.self))
	live := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return !runs(id) })
	out := v.successors(live)
	// The successors on the ring are mostly in the same data centre, so that processes of other data centres come first here.
	far := slices.DeleteFunc(slices.Clone(live), func(id string) bool { return v.members[id].statement.DataCentre == v.cfg.DataCentre })
	for _, id := range slices.Concat(far, live) {
		if len(out) >= v.cfg.Ring+v.cfg.Links {
			break
		}
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	silent := slices.DeleteFunc(all, runs)
	round := int(now.Sub(v.started) / retryRound)
	for i := range min(v.cfg.Retries, len(silent)) {
		out = append(out, silent[(round*v.cfg.Retries+i)%len(silent)])
	}
	if len(live) < 2*v.cfg.Links {
		for id := range v.seeds {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// successors returns the next Config.Ring processes on the ring, which is ordered by data centre and then by hash.
func (v *View) successors(live []string) []string {
	circle := slices.Clone(live)
	slices.SortFunc(circle, func(a, b string) int {
		x, y := v.members[a], v.members[b]
		return cmp.Or(cmp.Compare(x.statement.DataCentre, y.statement.DataCentre), cmp.Compare(x.place, y.place))
	})
	own := xxhash.Sum64String(v.self)
	next, _ := slices.BinarySearchFunc(circle, v.self, func(id, _ string) int {
		m := v.members[id]
		return cmp.Or(cmp.Compare(m.statement.DataCentre, v.cfg.DataCentre), cmp.Compare(m.place, own))
	})
	var out []string
	for i := range min(v.cfg.Ring, len(circle)) {
		out = append(out, circle[(next+i)%len(circle)])
	}
	return out
}
