// Package poison detects requests that crash the targets which run them, and quarantines them.
//
// # Usage
//
//	d := poison.New(poison.Config{})
//	fp := poison.Fingerprint(service, tenant, text)
//	if until, blocked := d.Check(now, fp); blocked { ... refuse, not run, Retry-After until ... }
//	if !d.MayRun(now, fp, running) { ... wait or use another target ... }
//	standing, until := d.Standing(now, fp)  // the same, where it isn't known what else runs at a target
//
//	// A connection to a target broke: report the crash and send it to all peers.
//	c := poison.Crash{Target: "desk-1-t1", Incarnation: 7, At: now, Fingerprints: inFlight}
//	quarantines := d.Report(now, c)         // send these to all peers as well
//	if d.SucceededAt(now, fp) { ... send Success{fp, now} to all peers ... }
//
//	// A peer sent one of these:
//	d.Report(now, c); known := d.RecentSuccesses(now, c)  // send known to all peers
//	d.Exonerate(now, success)
//	d.Learn(now, quarantine)
//	d.Survived(now, target, incarnation)
//
// # Evidence
//
// Each crash makes the fingerprints in flight there suspects. A success that ended after a crash refutes that
// suspicion, whenever it started, because the requests looked for crash each target which runs them. Suspicions
// by different targets add up, whoever saw them; two reports of one crash (same target and incarnation) count once.
// Suspects run alone, so that a second crash has one explanation. If suspects did run side by side, one that
// succeeded shortly before is not quarantined as long as another explains the crash.
//
// What ran beside a request that is in quarantine isn't suspected for crashes which that explains.
//
// # After a quarantine
//
// A request stays suspect after its quarantine: it runs alone, and the next crash is enough. The first quarantine may be
// short (Config.Doubted) where the evidence leaves room for another cause: the request has succeeded lately, targets have
// ended at the same time where it wasn't running, or only peers have seen the crashes.
//
// # Messages
//
// Times travel as ages in milliseconds, because clocks need not agree.
//
//	crash        id, target, incarnation, age_ms, fingerprints
//	success      fingerprint, age_ms
//	quarantine   id, fingerprint, remaining_ms, since_age_ms
//	survived     target, incarnation
package poison

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the thresholds. Zero fields take the defaults.
type Config struct {
	Crashes    int           // different targets that must crash
	Repeated   int           // crashes that are enough if they are of fewer targets; 0: one more than Crashes
	Window     time.Duration // within this time
	Duration   time.Duration // of a quarantine
	Doubted    time.Duration // of the first quarantine of a request that may be innocent; 0: Duration
	Apart      time.Duration // reports on a target of unknown incarnation that are closer count once; 0: all count once
	Stagger    float64       // 0..1; lengthens the quarantines of this process by up to a half, so that processes try again in turn
	PriorFor   time.Duration // a success this long before the first crash counts in favour of a request
	MaxRecords int           // fingerprints under suspicion or in quarantine
}

// Defaults of Config.
const (
	DefaultCrashes  = 2
	DefaultWindow   = time.Minute
	DefaultDuration = time.Minute
	// DefaultPriorFor is short because a new index version can turn a harmless request into a crashing one.
	DefaultPriorFor   = 10 * time.Second
	DefaultMaxRecords = 4096
)

const (
	// maxCrashesKept bounds the crashes kept per fingerprint; a quarantine needs at most Crashes+1.
	maxCrashesKept = 8
	// successSlots bounds the memory of successes. A newer fingerprint overwrites an older one in its slot.
	successSlots = 4096
	// quarantineMemory is how long a quarantine that has ended makes one more crash enough. Callers have given up long before.
	quarantineMemory = 10 * time.Minute
	// maxDoublings keeps Doubted from overflowing; Duration bounds it long before.
	maxDoublings = 16
	// recentEndWindow is the time in which the ends of targets may have one cause.
	recentEndWindow = time.Second
	maxRecentEnds   = 256
	// maxFingerprints bounds what is taken of one report of a peer.
	maxFingerprints = 64
)

// Crash says that a target broke off while the given fingerprints were running there.
type Crash struct {
	ID           uint64 // of the report, for a fleet that passes it on; 0: none
	Target       string
	Incarnation  uint64 // that crashed; 0 if unknown
	At           time.Time
	Fingerprints []uint64
	// Began is when the latest of the requests was sent, if that was seen here: the target lived then, so that an earlier
	// crash is another one.
	Began time.Time
	// Heard says that a peer has told. If the peers that saw the crashes judge them better, a quarantine that rests on
	// hearsay lasts for Config.Doubted only.
	Heard bool
}

// Success says that a fingerprint completed on a target.
type Success struct {
	Fingerprint uint64
	Ended       time.Time
}

// Quarantine blocks one fingerprint until a time.
type Quarantine struct {
	ID          uint64 // as in Crash
	Fingerprint uint64
	Until       time.Time
	Since       time.Time // first crash that it rests on; a success that ended later refutes it
}

type evidence struct {
	id          uint64
	target      string
	incarnation uint64
	at          time.Time
	lastSent    time.Time // of the latest request, if the crash was seen here
}

type record struct {
	id             uint64 // of the quarantine
	crashes        []evidence
	until          time.Time // end of the latest quarantine, as peers are told; zero if there was none
	localUntil     time.Time // end of it here
	firstCrash     time.Time
	decidedLocally bool // the quarantine rests on crashes kept here
	quarantines    int  // quarantines without a success since
	shared         bool // peers know of some of it
}

// targetEnd is a target that was found to have ended, under whatever request.
type targetEnd struct {
	target       string
	at           time.Time
	fingerprints []uint64 // that are known to have run there
}

// Detector counts suspicions per fingerprint.
type Detector struct {
	cfg           Config
	now           time.Time // latest time seen
	records       map[uint64]*record
	pendingChecks map[string]*pendingCheck // by target
	recentEnds    []targetEnd              // of the last endsFor, one for each target
	successes     [successSlots]Success
}

// New returns a detector without suspicions.
func New(cfg Config) *Detector {
	cfg.Crashes = cmp.Or(cfg.Crashes, DefaultCrashes)
	cfg.Repeated = cmp.Or(cfg.Repeated, cfg.Crashes+1)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	cfg.Doubted = cmp.Or(cfg.Doubted, cfg.Duration)
	cfg.PriorFor = cmp.Or(cfg.PriorFor, DefaultPriorFor)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	return &Detector{cfg: cfg, records: map[uint64]*record{}, pendingChecks: map[string]*pendingCheck{}}
}

// Fingerprint identifies a request by its content. It is never 0, which stands for "no fingerprint".
func Fingerprint[T string | []byte](service, tenant string, text T) uint64 {
	// Lengths keep the fields apart whatever characters they hold.
	var length [binary.MaxVarintLen64]byte
	h := xxhash.New()
	for _, field := range []string{service, tenant} {
		_, _ = h.Write(length[:binary.PutUvarint(length[:], uint64(len(field)))])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write([]byte(text)) // a hash doesn't fail
	return max(h.Sum64(), 1)
}

// Crashed records a crash of an unknown incarnation that was seen here. It returns the new quarantines.
func (d *Detector) Crashed(now time.Time, target string, inFlight []uint64) []Quarantine {
	return d.Report(now, Crash{Target: target, At: now, Fingerprints: inFlight})
}

// Report records a crash that was seen here or by a peer. It returns the new quarantines.
func (d *Detector) Report(now time.Time, c Crash) []Quarantine {
	d.advance(now)
	c.At = d.clampToNow(c.At)
	if d.now.Sub(c.At) > d.cfg.Window {
		return nil
	}
	c.Fingerprints = c.Fingerprints[:min(len(c.Fingerprints), maxFingerprints)]
	d.recordEnd(now, c.Target, c.Fingerprints)
	causeQuarantined := d.involvesQuarantined(c)
	for _, fp := range c.Fingerprints {
		if r := d.records[fp]; fp != 0 && (!causeQuarantined || r != nil && d.inForce(r)) {
			d.addCrash(fp, evidence{c.ID, c.Target, c.Incarnation, c.At, c.Began})
		}
	}
	if c.Heard {
		d.Told(c)
	}
	var out []Quarantine
	for _, fp := range d.selectForQuarantine(c.Fingerprints) {
		r := d.records[fp]
		r.firstCrash = earliestCrash(r.crashes)
		d.setQuarantine(r, d.now.Add(d.quarantineDuration(fp, r, c.Heard)))
		r.quarantines++
		r.decidedLocally, r.shared = true, true
		r.id = d.newID(strconv.FormatUint(fp, 16), r.until)
		out = append(out, r.quarantine(fp))
	}
	for _, q := range out {
		d.removeExplainedCrashes(q.Fingerprint)
	}
	return out
}

// involvesQuarantined reports whether a request that is in quarantine already was running at a crash.
func (d *Detector) involvesQuarantined(c Crash) bool {
	return slices.ContainsFunc(c.Fingerprints, func(fp uint64) bool {
		r := d.records[fp]
		return r != nil && d.inForce(r)
	})
}

// removeExplainedCrashes takes back the suspicions of what ran beside a request at the crashes that it is in quarantine for.
func (d *Detector) removeExplainedCrashes(fp uint64) {
	cause := d.records[fp]
	for other, r := range d.records {
		if len(r.crashes) == 0 || d.inForce(r) {
			continue
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(e evidence) bool { return d.indexOfCrash(cause, e) >= 0 })
		d.removeIfEmpty(other, r)
	}
}

// quarantineDuration returns how long a quarantine that begins now lasts.
func (d *Detector) quarantineDuration(fp uint64, r *record, fromPeer bool) time.Duration {
	switch {
	case d.hasUnrelatedEnds(fp, r):
		return min(d.cfg.Doubted<<min(r.quarantines, maxDoublings), d.cfg.Duration)
	case r.quarantines == 0 && (fromPeer || d.hasPriorSuccess(fp, r)):
		return d.cfg.Doubted
	}
	return d.cfg.Duration
}

func (r *record) quarantine(fp uint64) Quarantine {
	return Quarantine{ID: r.id, Fingerprint: fp, Until: r.until, Since: r.firstCrash}
}

// newID returns an ID for what this process has found out of a subject. Stagger stands for the process.
func (d *Detector) newID(subject string, at time.Time) uint64 {
	raw := binary.LittleEndian.AppendUint64(nil, math.Float64bits(d.cfg.Stagger))
	raw = binary.LittleEndian.AppendUint64(raw, uint64(at.UnixNano()))
	return max(xxhash.Sum64(append(raw, subject...)), 1)
}

// setQuarantine begins a quarantine, or lengthens it.
func (d *Detector) setQuarantine(r *record, until time.Time) {
	r.until = until
	r.localUntil = until.Add(time.Duration(d.cfg.Stagger / 2 * float64(until.Sub(d.now))))
}

// News reports whether a crash says anything that this detector doesn't know and that decides anything: peers needn't be
// told of one that only concerns requests that are in quarantine, or that have succeeded since.
func (d *Detector) News(now time.Time, c Crash) bool {
	d.advance(now)
	c.At = d.clampToNow(c.At)
	if d.now.Sub(c.At) > d.cfg.Window || d.involvesQuarantined(c) {
		return false
	}
	for _, fp := range c.Fingerprints[:min(len(c.Fingerprints), maxFingerprints)] {
		r := d.records[fp]
		switch {
		case fp == 0 || !c.At.After(d.lastSuccess(fp)):
		case r == nil:
			return true
		case d.indexOfCrash(r, evidence{c.ID, c.Target, c.Incarnation, c.At, c.Began}) < 0:
			return true
		}
	}
	return false
}

// addCrash adds one crash to a fingerprint.
func (d *Detector) addCrash(fp uint64, e evidence) {
	if !e.at.After(d.lastSuccess(fp)) {
		return
	}
	r := d.records[fp]
	if r == nil {
		if len(d.records) >= d.cfg.MaxRecords && !d.evict() {
			return
		}
		r = &record{}
		d.records[fp] = r
	}
	d.prune(fp, r)
	if i := d.indexOfCrash(r, e); i >= 0 {
		if e.at.Before(r.crashes[i].at) {
			r.crashes[i].at = e.at
		}
		return
	}
	r.crashes = append(r.crashes, e)
	if len(r.crashes) > maxCrashesKept {
		r.crashes = append([]evidence(nil), r.crashes[1:]...)
	}
}

// indexOfCrash returns the index of the report that is of the same crash; -1 if there is none.
func (d *Detector) indexOfCrash(r *record, e evidence) int {
	return slices.IndexFunc(r.crashes, func(known evidence) bool {
		if known.target != e.target || known.incarnation != e.incarnation {
			return false
		}
		if e.incarnation != 0 || d.cfg.Apart == 0 {
			return true
		}
		return e.at.Sub(known.at).Abs() < d.cfg.Apart && !e.lastSent.After(known.at)
	})
}

// selectForQuarantine chooses which of the fingerprints in flight at a crash are to be quarantined.
func (d *Detector) selectForQuarantine(inFlight []uint64) []uint64 {
	var unsuccessful, successful []uint64
	seen := map[uint64]bool{}
	for _, fp := range inFlight {
		r := d.records[fp]
		if r == nil || seen[fp] {
			continue
		}
		seen[fp] = true
		switch {
		case d.inForce(r):
			// A copy of a request that is already in quarantine was still running there.
			return nil
		case !d.hasEnoughCrashes(r):
		case d.hasPriorSuccess(fp, r):
			successful = append(successful, fp)
		default:
			unsuccessful = append(unsuccessful, fp)
		}
	}
	if len(unsuccessful) > 0 || len(successful) > 1 {
		// Of several suspects that all succeeded lately, none is chosen: they run alone from now on, and the
		// next crash tells.
		return unsuccessful
	}
	return successful
}

// hasEnoughCrashes reports whether the crashes of a fingerprint suffice for a quarantine. A target that crashes again after
// a restart counts too, but more crashes are needed then, because the target itself may be at fault. One is hasEnoughCrashes after an
// earlier quarantine.
func (d *Detector) hasEnoughCrashes(r *record) bool {
	if r.quarantines > 0 {
		return slices.ContainsFunc(r.crashes, func(e evidence) bool { return !e.at.Before(r.until) })
	}
	targets := map[string]bool{}
	distinctCrashes := 0
	for _, e := range r.crashes {
		targets[e.target] = true
		if e.incarnation != 0 || d.cfg.Apart > 0 {
			distinctCrashes++
		}
	}
	return len(targets) >= d.cfg.Crashes || distinctCrashes >= d.cfg.Repeated
}

// isJustified reports whether the crashes that are kept still bear out a quarantine in force.
func (d *Detector) isJustified(r *record) bool {
	if r.quarantines > 1 {
		return len(r.crashes) > 0
	}
	initial := *r
	initial.quarantines = 0
	return d.hasEnoughCrashes(&initial)
}

// hasPriorSuccess reports whether a fingerprint succeeded shortly before its first crash.
func (d *Detector) hasPriorSuccess(fp uint64, r *record) bool {
	last := d.lastSuccess(fp)
	return !last.IsZero() && earliestCrash(r.crashes).Sub(last) <= d.cfg.PriorFor
}

// Ended takes that a target was found to have ended, under whatever request.
func (d *Detector) Ended(now time.Time, target string) { d.recordEnd(now, target, nil) }

func (d *Detector) recordEnd(now time.Time, target string, fingerprints []uint64) {
	d.advance(now)
	d.recentEnds = slices.DeleteFunc(d.recentEnds, func(e targetEnd) bool { return d.now.Sub(e.at) > recentEndWindow })
	i := slices.IndexFunc(d.recentEnds, func(e targetEnd) bool { return e.target == target })
	if i < 0 {
		if len(d.recentEnds) == maxRecentEnds {
			return
		}
		d.recentEnds = append(d.recentEnds, targetEnd{target: target})
		i = len(d.recentEnds) - 1
	}
	d.recentEnds[i].at = d.now
	d.recentEnds[i].fingerprints = append(d.recentEnds[i].fingerprints, fingerprints...)
}

// hasUnrelatedEnds reports whether so many targets have ended in the last moment where the fingerprint wasn't running that it
// doesn't explain the ends of the others. Ends under a request that has been in quarantine before are explained by that.
func (d *Detector) hasUnrelatedEnds(fp uint64, r *record) bool {
	related, unrelated := 0, 0
	for _, e := range d.recentEnds {
		ran := slices.Clone(e.fingerprints)
		if pending := d.pendingChecks[e.target]; pending != nil {
			ran = append(ran, pending.fingerprints...)
		}
		switch {
		case d.now.Sub(e.at) > recentEndWindow:
		case slices.Contains(ran, fp) || slices.ContainsFunc(r.crashes, func(c evidence) bool { return c.target == e.target }):
			related++
		case slices.ContainsFunc(ran, func(other uint64) bool { return d.records[other] != nil && d.records[other].quarantines > 0 }):
		default:
			unrelated++
		}
	}
	return unrelated > 0 && 2*unrelated >= related
}

func earliestCrash(crashes []evidence) time.Time {
	var t time.Time
	for _, e := range crashes {
		if t.IsZero() || e.at.Before(t) {
			t = e.at
		}
	}
	return t
}

func (d *Detector) inForce(r *record) bool { return r.localUntil.After(d.now) }

// Succeeded is SucceededAt at the latest time seen.
func (d *Detector) Succeeded(fp uint64) { d.SucceededAt(d.now, fp) }

// SucceededAt clears the suspicions and the quarantine of a fingerprint that completed on a target now. It
// reports whether there were any, in which case all peers must learn of the success.
func (d *Detector) SucceededAt(now time.Time, fp uint64) (cleared bool) {
	return d.Exonerate(now, Success{fp, now})
}

// Exonerate takes a success seen here or by a peer and reports whether it refuted a suspicion or a quarantine.
func (d *Detector) Exonerate(now time.Time, s Success) (cleared bool) {
	d.advance(now)
	s.Ended = d.clampToNow(s.Ended)
	if s.Fingerprint == 0 || s.Ended.Before(d.lastSuccess(s.Fingerprint)) {
		return false
	}
	d.successes[s.Fingerprint%successSlots] = s
	r := d.records[s.Fingerprint]
	if r == nil {
		return false
	}
	before := len(r.crashes)
	d.prune(s.Fingerprint, r)
	cleared = len(r.crashes) < before
	if r.quarantines > 0 && !s.Ended.Before(r.firstCrash) {
		r.clearQuarantine()
		cleared = true
	}
	d.removeIfEmpty(s.Fingerprint, r)
	return cleared
}

// clearQuarantine ends a quarantine, and forgets that there was one.
func (r *record) clearQuarantine() {
	r.until, r.localUntil = time.Time{}, time.Time{}
	r.quarantines = 0
}

func (d *Detector) lastSuccess(fp uint64) time.Time {
	if s := d.successes[fp%successSlots]; s.Fingerprint == fp {
		return s.Ended
	}
	return time.Time{}
}

// RecentSuccesses returns the successes known here that count in favour of the fingerprints of a crash that a
// peer reported.
func (d *Detector) RecentSuccesses(now time.Time, c Crash) []Success {
	d.advance(now)
	var out []Success
	for _, fp := range c.Fingerprints {
		last := d.lastSuccess(fp)
		if fp != 0 && !last.IsZero() && c.At.Sub(last) <= d.cfg.PriorFor {
			out = append(out, Success{fp, last})
		}
	}
	return out
}

// Survived takes back a reported crash: the target answered again under the same incarnation, so only its
// connections had failed. Only replies to requests sent after the report prove that. It returns the fingerprints
// whose quarantine is lifted.
func (d *Detector) Survived(now time.Time, target string, incarnation uint64) (lifted []uint64) {
	d.advance(now)
	if incarnation == 0 {
		return nil
	}
	for fp, r := range d.records {
		kept := r.crashes[:0]
		for _, e := range r.crashes {
			if e.target != target || e.incarnation != incarnation {
				kept = append(kept, e)
			}
		}
		changed := len(kept) < len(r.crashes)
		r.crashes = kept
		if changed && r.decidedLocally && d.inForce(r) && !d.isJustified(r) {
			r.clearQuarantine()
			lifted = append(lifted, fp)
		}
		d.removeIfEmpty(fp, r)
	}
	return lifted
}

// Suspected reports whether the fingerprint was running at a crash within the window, or was in quarantine, without a
// success since.
func (d *Detector) Suspected(fp uint64) bool {
	r := d.records[fp]
	if r == nil {
		return false
	}
	d.prune(fp, r)
	return len(r.crashes) > 0 || r.quarantines > 0
}

// MayRun reports whether a fingerprint may start on a target where the given ones are running. Suspects run alone.
func (d *Detector) MayRun(now time.Time, fp uint64, running []uint64) bool {
	d.advance(now)
	if len(running) > 0 && d.Suspected(fp) {
		return false
	}
	for _, other := range running {
		if d.Suspected(other) {
			return false
		}
	}
	return true
}

// Learn takes a quarantine found by a peer. It reports whether it is news that other peers may lack.
func (d *Detector) Learn(now time.Time, q Quarantine) (isNew bool) {
	d.advance(now)
	if q.Since.IsZero() {
		q.Since = d.now
	}
	q.Since = d.clampToNow(q.Since)
	if latestUntil := d.now.Add(d.cfg.Duration); q.Until.After(latestUntil) {
		q.Until = latestUntil
	}
	last := d.lastSuccess(q.Fingerprint)
	if q.Fingerprint == 0 || !q.Until.After(d.now) || !last.IsZero() && !last.Before(q.Since) {
		return false
	}
	r := d.records[q.Fingerprint]
	if r == nil {
		if len(d.records) >= d.cfg.MaxRecords && !d.evict() {
			return false
		}
		r = &record{}
		d.records[q.Fingerprint] = r
	}
	if r.quarantines <= 1 && !last.IsZero() && q.Since.Sub(last) <= d.cfg.PriorFor {
		// The peer may not know of the success.
		if doubtedUntil := d.now.Add(d.cfg.Doubted); q.Until.After(doubtedUntil) {
			q.Until = doubtedUntil
		}
	}
	if !q.Until.After(r.until) {
		return false
	}
	d.setQuarantine(r, q.Until)
	r.id = q.ID
	r.firstCrash = q.Since
	r.quarantines = max(r.quarantines, 1)
	r.shared = true
	return true
}

// Standing says how a request may run.
type Standing uint8

// Standings.
const (
	Clear     Standing = iota
	Suspect            // one more crash would be enough: one copy at a time
	Unsettled          // the same, and it isn't known yet whether targets have ended under it: not now
	Blocked            // in quarantine
)

// Standing returns how a fingerprint may run, and the end of its quarantine if it is blocked.
func (d *Detector) Standing(now time.Time, fp uint64) (Standing, time.Time) {
	d.advance(now)
	r := d.records[fp]
	if r == nil && len(d.pendingChecks) == 0 {
		return Clear, time.Time{}
	}
	crashes, doubts := 0, 0
	if r != nil {
		if d.inForce(r) {
			return Blocked, r.localUntil
		}
		d.prune(fp, r)
		crashes = len(r.crashes)
		if r.quarantines > 0 {
			crashes = max(crashes, d.cfg.Crashes-1)
		}
	}
	last := d.lastSuccess(fp)
	for _, pending := range d.pendingChecks {
		if pending.lostAt.After(last) && slices.Contains(pending.fingerprints, fp) {
			doubts++
		}
	}
	switch {
	case crashes+doubts < d.cfg.Crashes-1:
		return Clear, time.Time{}
	case doubts > 0:
		return Unsettled, time.Time{}
	}
	return Suspect, time.Time{}
}

// Bounds of what Open returns: crashes of fingerprints that one more would put in quarantine, and of others.
const (
	maxOpenCrashes = 64
	maxWeakCrashes = 16
)

// Open returns crashes of fingerprints that aren't in quarantine, for a peer that has just started or was cut off.
func (d *Detector) Open(now time.Time) (out []Crash) {
	d.advance(now)
	weak := 0
	for fp, r := range d.records {
		d.prune(fp, r)
		if d.inForce(r) {
			continue
		}
		if len(r.crashes) < d.cfg.Crashes-1 {
			if weak += len(r.crashes); weak > maxWeakCrashes {
				continue
			}
		}
		for _, e := range r.crashes {
			if len(out) == maxOpenCrashes+maxWeakCrashes {
				return out
			}
			out = append(out, Crash{ID: e.id, Target: e.target, Incarnation: e.incarnation, At: e.at, Fingerprints: []uint64{fp}})
		}
	}
	return out
}

// Check reports whether the fingerprint is blocked, and until when.
func (d *Detector) Check(now time.Time, fp uint64) (until time.Time, blocked bool) {
	d.advance(now)
	r := d.records[fp]
	if r == nil || !d.inForce(r) {
		return time.Time{}, false
	}
	return r.localUntil, true
}

// Quarantines lists what is blocked now.
func (d *Detector) Quarantines(now time.Time) []Quarantine {
	d.advance(now)
	var out []Quarantine
	for fp, r := range d.records {
		if d.inForce(r) {
			out = append(out, r.quarantine(fp))
		}
	}
	return out
}

// InForce returns the quarantines of the fingerprints of a crash. A peer that reports it may not know of them.
func (d *Detector) InForce(now time.Time, c Crash) (out []Quarantine) {
	d.advance(now)
	for _, fp := range c.Fingerprints[:min(len(c.Fingerprints), maxFingerprints)] {
		if r := d.records[fp]; r != nil && d.inForce(r) && r.until.After(d.now) {
			out = append(out, r.quarantine(fp))
		}
	}
	return out
}

// Told takes that peers know of a crash.
func (d *Detector) Told(c Crash) {
	for _, fp := range c.Fingerprints {
		if r := d.records[fp]; r != nil {
			r.shared = true
		}
	}
}

// Shared reports whether peers know of a suspicion of the fingerprint, or of its quarantine.
func (d *Detector) Shared(fp uint64) bool {
	r := d.records[fp]
	return r != nil && r.shared
}

// Held returns the fingerprints that a crash which was reported here still counts against.
func (d *Detector) Held(now time.Time, c Crash) (fps []uint64) {
	d.advance(now)
	for _, fp := range c.Fingerprints {
		r := d.records[fp]
		if r == nil || d.inForce(r) {
			continue
		}
		d.prune(fp, r)
		if slices.ContainsFunc(r.crashes, func(e evidence) bool { return e.id == c.ID }) {
			fps = append(fps, fp)
		}
	}
	return fps
}

// Concerns reports whether a success of the fingerprint would clear it of anything.
func (d *Detector) Concerns(fp uint64) bool {
	if d.records[fp] != nil {
		return true
	}
	for _, at := range d.pendingChecks {
		if slices.Contains(at.fingerprints, fp) {
			return true
		}
	}
	return false
}

// Quiet reports whether no request is suspected or in quarantine.
func (d *Detector) Quiet() bool { return len(d.records) == 0 && len(d.pendingChecks) == 0 }

// Len returns the number of fingerprints held, at most MaxRecords.
func (d *Detector) Len() int { return len(d.records) }

// advance keeps the time from going back, since callers may read the clock in another order than they get here.
func (d *Detector) advance(now time.Time) {
	if now.After(d.now) {
		d.now = now
	}
}

// clampToNow bounds a time stated by a peer to the present.
func (d *Detector) clampToNow(t time.Time) time.Time {
	if t.After(d.now) {
		return d.now
	}
	return t
}

// prune drops crashes that are too old or refuted by a success.
func (d *Detector) prune(fp uint64, r *record) {
	last := d.lastSuccess(fp)
	kept := r.crashes[:0]
	for _, e := range r.crashes {
		if d.now.Sub(e.at) <= d.cfg.Window && e.at.After(last) {
			kept = append(kept, e)
		}
	}
	r.crashes = kept
}

// removeIfEmpty removes a record that says nothing any more.
func (d *Detector) removeIfEmpty(fp uint64, r *record) {
	if len(r.crashes) == 0 && !d.inForce(r) && (r.quarantines == 0 || d.now.Sub(r.until) > quarantineMemory) {
		delete(d.records, fp)
	}
}

// evictDivisor is the part of the records that is dropped when there are too many, so that each isn't paid for with a look
// through all of them.
const evictDivisor = 8

// evict makes room and reports whether it could. It drops what has expired, and the suspicions that have been quiet for
// longest; quarantines in force stay.
func (d *Detector) evict() bool {
	type idle struct {
		fp    uint64
		since time.Time
	}
	var evictable []idle
	for fp, r := range d.records {
		d.prune(fp, r)
		d.removeIfEmpty(fp, r)
		if d.records[fp] == nil || d.inForce(r) {
			continue
		}
		since := r.until
		if n := len(r.crashes); n > 0 && r.crashes[n-1].at.After(since) {
			since = r.crashes[n-1].at
		}
		evictable = append(evictable, idle{fp, since})
	}
	slices.SortFunc(evictable, func(a, b idle) int { return a.since.Compare(b.since) })
	for _, x := range evictable {
		if len(d.records) < d.cfg.MaxRecords-d.cfg.MaxRecords/evictDivisor {
			break
		}
		delete(d.records, x.fp)
	}
	return len(d.records) < d.cfg.MaxRecords
}

// Sweep forgets what has expired. It is to be called every second or so.
func (d *Detector) Sweep(now time.Time) {
	d.advance(now)
	maps.DeleteFunc(d.pendingChecks, func(_ string, pending *pendingCheck) bool { return d.now.Sub(pending.lostAt) > maxCheckDuration })
	for fp, r := range d.records {
		d.prune(fp, r)
		d.removeIfEmpty(fp, r)
	}
}

// Suspects lists the fingerprints that were running at a crash lately.
func (d *Detector) Suspects() map[uint64]bool {
	out := make(map[uint64]bool, len(d.records))
	for fp := range d.records {
		if d.Suspected(fp) {
			out[fp] = true
		}
	}
	return out
}

// Lift ends a quarantine that a peer has found to rest on broken connections only. Suspicions seen here stay.
func (d *Detector) Lift(now time.Time, fp uint64) {
	d.advance(now)
	r := d.records[fp]
	if r == nil || r.decidedLocally && d.isJustified(r) {
		return
	}
	r.clearQuarantine()
	d.prune(fp, r)
	d.removeIfEmpty(fp, r)
}
