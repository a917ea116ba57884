// Package crew decides which entry processes exist and run, without a published list. Each process states what it is; a
// statement that nobody contradicts stands. Neighbours on links watch each other, and accuse one that has fallen silent.
//
// # Usage
//
//	v := crew.New(crew.Config{}, self, incarnation, seeds, now)
//	v.Sign(sent, id)                              // a sign of life on a link, as old as the question
//	v.Released(id)                                // a peer has closed its link on purpose
//	v.State(ready, leaving, busy)                 // of this process
//	v.Take(now, from, statements)                 // of others; newer ones are passed on
//	v.Tick(now)
//	for _, item := range v.News(now) { ... }      // send to v.Audience(now, linked), at once
//	hub.SetPeers(v.Peers(now))                    // keep links to these
//	if v.Differs(now, id, digest) { ... }         // with a pong of id: send it v.Summary
//	for _, id := range v.Callable() { ... }       // what callers may be told
//	n := v.Size(now)                              // the divisor of shares of fleet-wide limits
//
// After a link has opened, a process that is not yet settled sends v.Summary; the others call v.Fresh, so that the first
// pong is compared. A summary is answered with v.Newer, and with a summary if v.Lacks says so.
//
// # Statements
//
// A statement is replaced by one of the same process with a higher incarnation, or the same and a higher sequence
// number, or by the same one with the accusation Down. Incarnations come from the time of day, which may step back: a
// process that meets a statement of its own earlier life raises its incarnation above it.
//
// # Accusations
//
// A neighbour that is silent for Config.Silence is accused. An accusation travels like a statement, and takes effect after
// Config.Refute unless the accused has answered it with a higher sequence number by then. A process that was itself
// suspended accuses nobody for Config.Silence. A peer that had dialled this process and fell silent is dialled first; only
// if that fails is it accused. Who hears a process directly counts it as running, whatever others say.
//
// # Links
//
// For Config.Start, a new process has links to its seeds only. Then, up to Config.Mesh processes have links to all others.
// In larger fleets each dials the next Config.Ring processes in a circle that is the same for all, so that each process
// is watched as long as any other runs, and Config.Links others, most in other data centres, chosen by hash so that a
// change moves few links; and a few that are silent, in case they are back. News are sent along the dialled links only.
// What is lost on the way shows in the digests of pongs.
//
// # Load pattern
//
// Hundreds of processes that start within a third of a second, or lose a third of their number at once. A statement is
// about 45 bytes, whatever the size of the fleet, and is made when a process starts, becomes ready, stops or changes its
// load, not when its neighbours change. Each process sends it on once along its links: bytes grow with the number of
// events, and between events only with the links.
//
// # Answers to callers
//
// If more than half disappear at the same time, the own links are the likelier cause: the last list stands for
// Config.Doubt more, so that callers aren't all sent to the few that this process still hears.
//
// # Shares
//
// Size grows at once and shrinks late: the share of each process, limit/Size, never grows before one that has fallen
// silent has stopped using its own.
package crew

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the intervals and sizes. Zero fields take the defaults.
type Config struct {
	DataCentre string        // of this process
	Capacity   float64       // of its VM, in cores
	Silence    time.Duration // a process without a sign of life for this long isn't heard
	Refute     time.Duration // an accused process has this long to answer
	Doubt      time.Duration // how long the list stands when most disappear at once
	Shrink     time.Duration // Size counts a process for this long after it ran last
	Forget     time.Duration // what is known of a silent process is dropped after this long
	Start      time.Duration // a new process waits this long for its peers
	Restate    time.Duration // at least between two statements of a process on its load
	Rechoose   time.Duration // at least between two choices of links in a larger fleet
	Mesh       int           // processes up to which all have links to all
	Ring       int           // next processes in the circle that a process of a larger fleet dials
	Links      int           // others that it dials
	Retries    int           // silent processes that it dials at a time
}

// Defaults of Config.
const (
	// DefaultSilence is three ping intervals of the peer hub.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultRefute is the way of an accusation through a fleet and back, at four hops of 100 ms each way.
	DefaultRefute = 800 * time.Millisecond
	// DefaultDoubt keeps the total under the 7 s for which callers may be told of a process that was killed.
	DefaultDoubt = 4 * time.Second
	// DefaultShrink is the longest window over which a fleet-wide limit is counted.
	DefaultShrink = 10 * time.Second
	// DefaultForget outlasts any partition that is healed on the same day.
	DefaultForget = 5 * time.Minute
	// DefaultStart covers the spread of process starts, 0.3 s, and the way of a statement through the seeds.
	DefaultStart = 1200 * time.Millisecond
	// DefaultRestate bounds what a fleet at the edge of its capacity says of it.
	DefaultRestate = 2 * time.Second
	// DefaultRechoose lets the fleet be known before links are chosen for good.
	DefaultRechoose = 2 * time.Second
	// DefaultMesh is the size at which links to all cost as many pings as twice those of a larger fleet.
	DefaultMesh = 14
	// DefaultRing watches each process twice, so that one that disappears with its watcher is noticed by the next.
	DefaultRing = 2
	// DefaultLinks joins the data centres: with those that dial it, a process has about ten neighbours, and a random graph
	// of that degree stays connected when half of it disappears.
	DefaultLinks   = 3
	DefaultRetries = 2
	// retryRound is how long a silent process is dialled before another one is.
	retryRound = 4 * time.Second
	// linkTime is what a new link may take until the first sign of life.
	linkTime = 2 * time.Second
	// awakeGap between two ticks says that this process was suspended, or had no processor.
	awakeGap = 700 * time.Millisecond
	// maxChecks bounds the silent peers that are dialled at a time before they are accused.
	maxChecks = 8
	// maxAccuse is the longest pause between two accusations of a process that others hear.
	maxAccuse = 30 * time.Second
	// differFor is how long a digest must differ: longer than news need.
	differFor = 800 * time.Millisecond
	// differEvery bounds the summaries that this process sends for it.
	differEvery = time.Second
)

// Statement is what a process says of itself, or, with Down, what others say of it.
type Statement struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Down        bool     `cbor:"down"` // a neighbour doesn't hear it any more
	Ready       bool     `cbor:"ready"`
	Leaving     bool     `cbor:"leaving"`
	Busy        bool     `cbor:"busy"` // has no room for more
	DataCentre  string   `cbor:"data_centre"`
	Capacity    float64  `cbor:"capacity"` // of its VM, in cores
}

// Stamp says which statement of a process is known.
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

// hash is the part of a statement in the digest. Those that are down have none, since they are forgotten at different
// times.
func (s Statement) hash() uint64 {
	if s.Seq == 0 || s.Down {
		return 0
	}
	raw := binary.LittleEndian.AppendUint64([]byte(s.VM), s.Incarnation)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(raw, s.Seq))
}

type member struct {
	statement Statement     // Seq 0: none is known
	since     time.Time     // first named
	sign      time.Time     // last sign of life on a link of this process; zero: none is expected
	ran       time.Time     // last time that it ran
	accused   time.Time     // since when it is said to be down
	pause     time.Duration // before this process accuses it again
	hold      time.Time     // this process doesn't accuse it until then
	place     uint64        // in the circle
}

// View is the state of one process. Use New.
type View struct {
	cfg      Config
	self     string
	started  time.Time
	seed     bool // this process is one
	seeds    map[string]bool
	mine     Statement
	busyAt   time.Time // last statement on the load
	members  map[string]*member
	order    []string          // IDs of the members
	news     map[string]string // members whose statements are to be sent, and the neighbour that each came from
	digest   uint64            // of the statements of the others
	version  uint64            // of what the other processes are and whether they run
	hears    []string
	running  []string // at the last Tick, in order
	callable []string
	shown    []string // the last list for callers that was not in doubt
	shownAt  time.Time
	doubtful bool
	readers  []string
	chosen   []string // links of a process of a larger fleet
	chosenAt time.Time
	linked   map[string]time.Time // links that this process keeps, and since when
	checks   map[string]time.Time // silent peers that are dialled before they are accused, and since when
	ticked   time.Time
	awake    time.Time // since when this process has run without a gap
	differs  map[string]time.Time
	askedAt  time.Time // last summary for a digest that differs

	readersOf readerBasis
}

// readerBasis is what the choice of readers depends on.
type readerBasis struct {
	version uint64
	leaving bool
	n       int
}

// New returns a view that knows the seeds. Self is the ID of this process; IDs are peer addresses.
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

// Sign takes a sign of life on a link. It reports whether the process wasn't heard before.
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

// Released says that a peer has closed its link to this process on purpose: its silence means nothing.
func (v *View) Released(id string) {
	if m := v.members[id]; m != nil && v.linked[id].IsZero() {
		m.sign = time.Time{}
	}
}

// State sets what this process says of itself. Changes of the load alone wait for Config.Restate.
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

func (v *View) restate() {
	v.mine.Seq++
	v.news[v.self] = ""
}

// Take takes statements of other processes from a neighbour. Newer ones become news for all others.
func (v *View) Take(now time.Time, from string, statements []Statement) {
	for _, s := range statements {
		if !(s.Capacity >= 0 && s.Capacity < math.MaxInt16) {
			s.Capacity = 0 // as if it weren't stated
		}
		switch {
		case s.VM == "" || s.Seq == 0:
		case s.VM == v.self:
			v.answer(s)
		case v.members[s.VM] == nil && s.Down:
			// Its absence is no news here.
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

// answer takes what others hold of this process: of an earlier life, or an accusation.
func (v *View) answer(s Statement) {
	switch {
	case s.Incarnation == v.mine.Incarnation && s.Seq > v.mine.Seq, s.Incarnation > v.mine.Incarnation:
		v.mine.Incarnation = s.Incarnation + 1
		v.restate()
	case s.Incarnation == v.mine.Incarnation && s.Seq == v.mine.Seq && s.Down:
		v.restate()
	}
}

// set replaces the statement of a member.
func (v *View) set(now time.Time, m *member, s Statement) {
	v.digest ^= m.statement.hash() ^ s.hash()
	m.statement = s
	m.accused = time.Time{}
	if s.Down {
		m.accused = now
	}
	v.version++
}

// Digest returns a number that is the same for all processes that know the same statements.
func (v *View) Digest() uint64 { return v.digest ^ v.mine.hash() }

// Differs takes the digest of a peer, and reports whether to send it a summary: it has differed for longer than news need.
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

// Fresh says that a link to a peer has just opened: if its next digest differs, something was missed meanwhile.
func (v *View) Fresh(now time.Time, id string) { v.differs[id] = now.Add(-differFor) }

// Lacks reports whether a summary names statements that aren't known here.
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

// Summary lists the statements that are known, in the order of IDs.
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

// Newer returns the statements that the sender of a summary lacks.
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

// Item is a statement to pass on.
type Item struct {
	Statement Statement
	From      string // the neighbour that it came from, which need not get it; empty for none
}

// News returns the statements to send, once, in the order of IDs. A process that has just started speaks for itself only:
// its seeds know the others.
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

// Audience returns which of the linked processes, whoever dialled, get the news: in a larger fleet, those that this process
// has dialled.
func (v *View) Audience(linked []string) []string {
	if len(v.members) < v.cfg.Mesh {
		return linked
	}
	return slices.DeleteFunc(slices.Clone(linked), func(id string) bool { return v.linked[id].IsZero() })
}

// Tick works out who runs.
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

// watch accuses a member that isn't heard, if this process has a link that should tell.
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

// endChecks gives up links to peers that turned out to be heard, or were accused.
func (v *View) endChecks(now time.Time) {
	for id, since := range v.checks {
		m := v.members[id]
		if m == nil || m.statement.Down || now.Sub(m.sign) <= v.cfg.Silence || now.Sub(since) > 2*linkTime {
			delete(v.checks, id)
		}
	}
}

// Running returns the IDs of the processes that run, in order, without this one.
func (v *View) Running() []string { return v.running }

// Hears returns the IDs of the processes that this one hears, in order.
func (v *View) Hears() []string { return v.hears }

// Callable returns the IDs of the other processes that take requests, in order, as of the last Tick.
func (v *View) Callable() []string { return v.callable }

// Version changes whenever the statements or the running processes have changed.
func (v *View) Version() uint64 { return v.version }

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

// Statement returns what a process says of itself; the zero value if it isn't known.
func (v *View) Statement(id string) Statement {
	if m := v.members[id]; m != nil {
		return m.statement
	}
	return Statement{}
}

// Doubtful reports whether the list of callers' addresses stands although most of it has disappeared.
func (v *View) Doubtful() bool { return v.doubtful }

// Size returns the number of processes that share a fleet-wide limit, this one included.
func (v *View) Size(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if !m.ran.IsZero() && now.Sub(m.ran) <= v.cfg.Shrink {
			n++
		}
	}
	return n
}

// Settled reports whether this process has had time to hear its peers.
func (v *View) Settled(now time.Time) bool { return now.Sub(v.started) >= v.cfg.Start }

// Readers returns the n processes that are first in a fixed order, among those that run and don't stop; all processes
// that know the same ones agree on them. The caller must not change the slice.
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

// byHash orders IDs by their hash with a salt.
func byHash(salt string) func(a, b string) int {
	return func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(salt+a), xxhash.Sum64String(salt+b)), cmp.Compare(a, b))
	}
}

// Peers returns the IDs of the processes to keep links to, in order. The caller may change the slice.
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

// wanted returns the links that this process keeps besides checks.
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

func sorted(set map[string]bool) []string {
	out := make([]string, 0, len(set))
	for id := range set {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// choose returns the links of a process of a larger fleet, in order.
func (v *View) choose(now time.Time, all []string, runs func(id string) bool) []string {
	slices.SortFunc(all, byHash(v.self))
	live := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return !runs(id) })
	out := v.successors(live)
	// Neighbours in the circle are mostly of this data centre; the others are of all.
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

// successors returns the next processes in the circle, which goes through one data centre after the other.
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
