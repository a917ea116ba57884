// Package crew decides which entry processes exist and run, without a published list. Each process states which others
// it hears, and the statements are flooded over the links; a process runs if it can be reached from this one through
// statements.
//
// # Usage
//
//	v := crew.New(crew.Config{}, self, incarnation, seeds, now)
//	v.Sign(sent, id)                              // a sign of life on a link, as old as the question
//	v.State(ready, leaving)                       // of this process
//	v.Take(now, statements)                       // of others; newer ones are passed on
//	v.Tick(now)
//	for _, s := range v.News() { ... }            // send to all neighbours, at once
//	hub.SetPeers(v.Peers(now))                    // keep links to these
//	for _, id := range v.Callable() { ... }    // what callers may be told
//	n := v.Size(now)                              // the divisor of shares of fleet-wide limits
//
// After a link has opened, each side sends v.Summary, and answers the other's with v.Newer.
//
// # Statements
//
// A statement is replaced by one of the same process with a higher incarnation, or the same and a higher sequence
// number. Incarnations come from the time of day, which may step back: a process that meets a statement of its own
// earlier life raises its incarnation above it. What nobody who runs hears is gone, whoever has said otherwise before.
//
// # Links
//
// For Config.Start, a new process has links to its seeds only; it learns of all others there, and most of what it would
// state of others in that time would change at once. Then, up to Config.Mesh processes have links to all others. In larger fleets, each dials Config.Links others, chosen by
// hash so that a change moves few links, and a few that are silent, in case they are back.
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
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the intervals and sizes. Zero fields take the defaults.
type Config struct {
	DataCentre string        // of this process
	Capacity   float64       // of its VM, in cores
	Silence    time.Duration // a process without a sign of life for this long isn't heard
	Doubt      time.Duration // how long the list stands when most disappear at once
	Shrink     time.Duration // Size counts a process for this long after it ran last
	Forget     time.Duration // what is known of a silent process is dropped after this long
	Start      time.Duration // a new process waits this long for its peers
	Restate    time.Duration // at least between two statements of a process on what it hears
	Rechoose   time.Duration // at least between two choices of links in a larger fleet
	Mesh       int           // processes up to which all have links to all
	Links      int           // that a process of a larger fleet dials
	Retries    int           // silent processes that a process of a larger fleet dials at a time
}

// Defaults of Config.
const (
	// DefaultSilence is three ping intervals of the peer hub.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultDoubt keeps the total under the 7 s for which callers may be told of a process that was killed.
	DefaultDoubt = 4 * time.Second
	// DefaultShrink is the longest window over which a fleet-wide limit is counted.
	DefaultShrink = 10 * time.Second
	// DefaultForget outlasts any partition that is healed on the same day.
	DefaultForget = 5 * time.Minute
	// DefaultStart covers the spread of process starts, 0.3 s, and the way of a statement through the seeds.
	DefaultStart = 1200 * time.Millisecond
	// DefaultRestate keeps the statements of a fleet that starts to a few for each process.
	DefaultRestate = 800 * time.Millisecond
	// DefaultRechoose lets the fleet be known before links are chosen for good.
	DefaultRechoose = 2 * time.Second
	// DefaultMesh is the size at which links to all cost as many pings as twice DefaultLinks.
	DefaultMesh = 14
	// DefaultLinks gives each process about ten neighbours, counting those that dial it; a random graph of that degree
	// stays connected when half of it disappears.
	DefaultLinks   = 5
	DefaultRetries = 2
	// retryRound is how long a silent process is dialled before another one is.
	retryRound = 4 * time.Second
)

// Statement is what a process says of itself and of its neighbours.
type Statement struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
	Ready       bool     `cbor:"ready"`
	Leaving     bool     `cbor:"leaving"`
	DataCentre  string   `cbor:"data_centre"`
	Hears       []string `cbor:"hears"`
	Capacity    float64  `cbor:"capacity"` // of its VM, in cores
	Busy        bool     `cbor:"busy"`     // has no room for more
}

// Stamp says which statement of a process is known.
type Stamp struct {
	_           struct{} `cbor:",toarray"`
	VM          string   `cbor:"vm"`
	Incarnation uint64   `cbor:"incarnation"`
	Seq         uint64   `cbor:"seq"`
}

func (s Stamp) newer(than Stamp) bool {
	return s.Incarnation > than.Incarnation || s.Incarnation == than.Incarnation && s.Seq > than.Seq
}

func (s Statement) stamp() Stamp { return Stamp{VM: s.VM, Incarnation: s.Incarnation, Seq: s.Seq} }

type member struct {
	statement Statement // Seq 0: none is known
	since     time.Time // first named
	sign      time.Time // last sign of life on a link of this process
	ran       time.Time // last time that it could be reached through statements
}

// View is the state of one process. Use New.
type View struct {
	cfg      Config
	self     string
	started  time.Time
	seeds    map[string]bool
	mine     Statement
	hears    []string  // now; what mine says may be a little older
	statedAt time.Time // last statement on what this process hears
	members  map[string]*member
	news     map[string]string // members whose statements are to be sent, and the neighbour that each came from
	running  []string          // at the last Tick, in order
	callable []string
	shown    []string // the last list for callers that was not in doubt
	shownAt  time.Time
	doubtful bool
	chosen   []string // links of a process of a larger fleet
	chosenAt time.Time
}

// New returns a view that knows the seeds. Self is the ID of this process; IDs are peer addresses.
func New(cfg Config, self string, incarnation uint64, seeds []string, now time.Time) *View {
	cfg.Silence = cmp.Or(cfg.Silence, DefaultSilence)
	cfg.Doubt = cmp.Or(cfg.Doubt, DefaultDoubt)
	cfg.Shrink = cmp.Or(cfg.Shrink, DefaultShrink)
	cfg.Forget = cmp.Or(cfg.Forget, DefaultForget)
	cfg.Start = cmp.Or(cfg.Start, DefaultStart)
	cfg.Restate = cmp.Or(cfg.Restate, DefaultRestate)
	cfg.Rechoose = cmp.Or(cfg.Rechoose, DefaultRechoose)
	cfg.Mesh = cmp.Or(cfg.Mesh, DefaultMesh)
	cfg.Links = cmp.Or(cfg.Links, DefaultLinks)
	cfg.Retries = cmp.Or(cfg.Retries, DefaultRetries)
	v := &View{
		cfg: cfg, self: self, started: now, seeds: map[string]bool{}, members: map[string]*member{}, news: map[string]string{},
		mine: Statement{VM: self, Incarnation: incarnation, Seq: 1, DataCentre: cfg.DataCentre, Capacity: cfg.Capacity},
	}
	for _, id := range seeds {
		if id != self {
			v.seeds[id] = true
			v.member(now, id)
		}
	}
	v.news[self] = ""
	return v
}

func (v *View) member(now time.Time, id string) *member {
	m := v.members[id]
	if m == nil {
		m = &member{since: now}
		v.members[id] = m
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
	return news
}

// State sets what this process says of itself.
func (v *View) State(ready, leaving, busy bool) {
	if v.mine.Ready != ready || v.mine.Leaving != leaving || v.mine.Busy != busy {
		v.mine.Ready, v.mine.Leaving, v.mine.Busy = ready, leaving, busy
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
		if s.VM == "" {
			continue
		}
		if s.VM == v.self {
			if s.stamp().newer(v.mine.stamp()) {
				v.mine.Incarnation = s.Incarnation + 1
				v.restate()
			}
			continue
		}
		m := v.member(now, s.VM)
		if m.statement.Seq == 0 || s.stamp().newer(m.statement.stamp()) {
			m.statement = s
			v.news[s.VM] = from
		}
	}
}

// Summary lists the statements that are known, in the order of IDs.
func (v *View) Summary() []Stamp {
	out := []Stamp{v.mine.stamp()}
	for _, m := range v.members {
		if m.statement.Seq > 0 {
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
		if old, ok := known[s.VM]; !ok || s.newer(old) {
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

// News returns the statements to send to all neighbours, once, in the order of IDs.
func (v *View) News() []Item {
	out := make([]Item, 0, len(v.news))
	for id, from := range v.news {
		if id == v.self || v.members[id] != nil {
			out = append(out, Item{v.statement(id), from})
		}
	}
	clear(v.news)
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Statement.VM, b.Statement.VM) })
	return out
}

// Tick works out who runs.
func (v *View) Tick(now time.Time) {
	var hears []string
	for id, m := range v.members {
		if now.Sub(m.sign) <= v.cfg.Silence {
			hears = append(hears, id)
		}
	}
	slices.Sort(hears)
	v.hears = hears
	if now.Sub(v.statedAt) >= v.cfg.Restate && !slices.Equal(hears, v.mine.Hears) {
		v.mine.Hears = hears
		v.statedAt = now
		v.restate()
	}
	v.running = v.reach()
	for _, id := range v.running {
		v.member(now, id).ran = now
	}
	v.callable = v.callers(now)
	for id, m := range v.members {
		last := m.ran
		if last.IsZero() {
			last = m.since
		}
		if !v.seeds[id] && now.Sub(last) > v.cfg.Forget {
			delete(v.members, id)
		}
	}
}

// reach returns the processes that can be reached through statements, in order, without this one.
func (v *View) reach() []string {
	seen := map[string]bool{v.self: true}
	queue := []string{v.self}
	for len(queue) > 0 {
		hears := v.hears
		if m := v.members[queue[0]]; m != nil {
			hears = m.statement.Hears
		}
		queue = queue[1:]
		for _, id := range hears {
			if !seen[id] {
				seen[id] = true
				queue = append(queue, id)
			}
		}
	}
	delete(seen, v.self)
	return sorted(seen)
}

// Running returns the IDs of the processes that run, in order, without this one.
func (v *View) Running() []string { return v.running }

// Hears returns the IDs of the processes that this one hears, in order.
func (v *View) Hears() []string { return v.hears }

// Callable returns the IDs of the other processes that take requests, in order, as of the last Tick.
func (v *View) Callable() []string { return v.callable }

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
// that know the same ones agree on them.
func (v *View) Readers(n int) []string {
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
	if !v.Settled(now) && len(v.seeds) > 0 {
		return sorted(v.seeds)
	}
	all := make([]string, 0, len(v.members))
	for id := range v.members {
		all = append(all, id)
	}
	if len(all) < v.cfg.Mesh {
		slices.Sort(all)
		return all
	}
	runs := make(map[string]bool, len(v.running))
	for _, id := range v.running {
		runs[id] = true
	}
	lost := slices.ContainsFunc(v.chosen, func(id string) bool { return !runs[id] })
	if age := now.Sub(v.chosenAt); age < v.cfg.Rechoose && (!lost || age < v.cfg.Rechoose/4) {
		return slices.Clone(v.chosen)
	}
	v.chosen, v.chosenAt = v.choose(now, all, runs), now
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
func (v *View) choose(now time.Time, all []string, runs map[string]bool) []string {
	slices.SortFunc(all, byHash(v.self))
	live := slices.DeleteFunc(slices.Clone(all), func(id string) bool { return !runs[id] })
	out := live[:min(v.cfg.Links, len(live))]
	silent := slices.DeleteFunc(all, func(id string) bool { return runs[id] })
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
