// Package crew decides which entry processes exist and run, without a published list: each process learns of others
// from a few seed addresses and from its peers, and believes only what it hears from a process itself.
//
// # Usage
//
//	v := crew.New(crew.Config{}, self, seeds)
//	v.Heard(ids)                                  // a peer, or the hello of a new link, names processes
//	v.Pong(now, id, crew.Sign{Ready: true})       // a sign of life
//	v.Leaving(id)                                 // a planned stop
//	hub.SetPeers(v.Peers(now))                    // keep links to these
//	for _, id := range v.Callable(now) { ... }    // what callers may be told
//	n := v.Size(now)                              // the divisor of shares of fleet-wide limits
//
// # Answers to callers
//
// A process that is silent for Config.Silence is left out. If more than half fall silent at the same time, the own
// links are the likelier cause: the last known list stands for Config.Doubt more, so that callers aren't all sent to
// the few that this process still hears.
//
// # Shares
//
// Size shrinks late and grows at once: the share of each process, limit/Size, never grows before the others have had
// time to learn of a newcomer. A process that has just started has no share before it has heard its peers.
package crew

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the intervals. Zero fields take the defaults.
type Config struct {
	Silence time.Duration // a process without a sign of life for this long isn't named to callers
	Doubt   time.Duration // how long the list stands when most are silent at once
	Shrink  time.Duration // Size counts a process for this long after its last sign of life
	Forget  time.Duration // no more links are dialled to a process that has been silent for this long
	Start   time.Duration // a new process waits this long for its peers
}

// Defaults of Config.
const (
	// DefaultSilence is five ping intervals of the peer hub.
	DefaultSilence = 1500 * time.Millisecond
	// DefaultDoubt keeps the total under the 7 s for which callers may be told of a process that was killed.
	DefaultDoubt = 4 * time.Second
	// DefaultShrink is the longest window over which a fleet-wide limit is counted.
	DefaultShrink = 10 * time.Second
	// DefaultForget outlasts any partition that is healed on the same day.
	DefaultForget = 5 * time.Minute
	// DefaultStart covers the spread of process starts, 0.3 s, and a round of pings.
	DefaultStart = time.Second
)

// Sign is what a process says of itself.
type Sign struct {
	Incarnation uint64
	Ready       bool
	Leaving     bool
	AsOf        uint64        // platform revision of its documents
	Age         time.Duration // since the platform confirmed them; negative: never
}

type member struct {
	id     string
	seed   bool
	since  time.Time // first named
	last   time.Time // last sign of life; zero: none yet
	sign   Sign
	left   bool // announced a planned stop
	leftAs uint64
}

// View is the state of one process. Use New.
type View struct {
	cfg     Config
	self    string
	started time.Time
	members map[string]*member
}

// New returns a view that knows the seeds. Self is the ID of this process; IDs are peer addresses.
func New(cfg Config, self string, seeds []string, now time.Time) *View {
	cfg.Silence = cmp.Or(cfg.Silence, DefaultSilence)
	cfg.Doubt = cmp.Or(cfg.Doubt, DefaultDoubt)
	cfg.Shrink = cmp.Or(cfg.Shrink, DefaultShrink)
	cfg.Forget = cmp.Or(cfg.Forget, DefaultForget)
	cfg.Start = cmp.Or(cfg.Start, DefaultStart)
	v := &View{cfg: cfg, self: self, started: now, members: map[string]*member{}}
	for _, id := range seeds {
		if id != self {
			v.members[id] = &member{id: id, seed: true, since: now}
		}
	}
	return v
}

// Heard takes names from a peer. It reports whether any of them was new.
func (v *View) Heard(now time.Time, ids []string) (news bool) {
	for _, id := range ids {
		if id == "" || id == v.self || v.members[id] != nil {
			continue
		}
		v.members[id] = &member{id: id, since: now}
		news = true
	}
	return news
}

// Pong takes a sign of life. It reports whether what callers may be told has changed.
func (v *View) Pong(now time.Time, id string, s Sign) (changed bool) {
	m := v.members[id]
	if m == nil {
		m = &member{id: id, since: now}
		v.members[id] = m
	}
	before := v.callable(now, m)
	m.last = now
	m.sign = s
	if m.left && s.Incarnation != m.leftAs {
		m.left = false
	}
	return v.callable(now, m) != before
}

// Leaving takes the announcement of a planned stop.
func (v *View) Leaving(id string) {
	if m := v.members[id]; m != nil {
		m.left = true
		m.leftAs = m.sign.Incarnation
	}
}

func (v *View) callable(now time.Time, m *member) bool {
	return v.heard(now, m) && m.sign.Ready && !m.sign.Leaving && !m.left
}

func (v *View) heard(now time.Time, m *member) bool {
	return !m.last.IsZero() && now.Sub(m.last) <= v.cfg.Silence
}

// Peers returns the IDs of the processes to keep links to, in order.
func (v *View) Peers(now time.Time) []string {
	var out []string
	for id, m := range v.members {
		last := m.last
		if last.IsZero() {
			last = m.since
		}
		if !m.seed && now.Sub(last) > v.cfg.Forget {
			delete(v.members, id)
			continue
		}
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Callable returns the IDs of the other processes that take requests, in order.
func (v *View) Callable(now time.Time) []string {
	var out []string
	heard, known := 0, 0
	for _, m := range v.members {
		if m.last.IsZero() || m.left || now.Sub(m.last) > v.cfg.Silence+v.cfg.Doubt {
			continue
		}
		known++
		if v.heard(now, m) {
			heard++
		}
	}
	trustOld := known > 2 && heard*2 < known
	for id, m := range v.members {
		recent := !m.last.IsZero() && now.Sub(m.last) <= v.cfg.Silence+v.cfg.Doubt
		stands := trustOld && recent && m.sign.Ready && !m.sign.Leaving && !m.left
		if stands || v.callable(now, m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Running returns the IDs of the processes heard lately, in order, without this one.
func (v *View) Running(now time.Time) []string {
	var out []string
	for id, m := range v.members {
		if v.heard(now, m) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Sign returns the last sign of life of a process.
func (v *View) Sign(id string) (Sign, bool) {
	m := v.members[id]
	if m == nil || m.last.IsZero() {
		return Sign{}, false
	}
	return m.sign, true
}

// Size returns the number of processes that share a fleet-wide limit, this one included.
func (v *View) Size(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if !m.last.IsZero() && now.Sub(m.last) <= v.cfg.Shrink {
			n++
		}
	}
	return n
}

// Settled reports whether this process has had time to hear its peers.
func (v *View) Settled(now time.Time) bool { return now.Sub(v.started) >= v.cfg.Start }

// Rank returns the position of this process among those heard lately by ID; 0 is the first.
func (v *View) Rank(now time.Time) int {
	rank := 0
	for id, m := range v.members {
		if v.heard(now, m) && id < v.self {
			rank++
		}
	}
	return rank
}
