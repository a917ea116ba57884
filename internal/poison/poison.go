// Package poison detects requests that crash the targets which run them, and quarantines them.
//
// # Usage
//
//	d := poison.New(poison.Config{})
//	fp := poison.Fingerprint(service, tenant, text)
//	if until, blocked := d.Check(now, fp); blocked { ... refuse, not run, Retry-After until ... }
//	if !d.MayRun(now, fp, running) { ... wait or use another target ... }
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
// # Messages
//
// Times travel as ages in milliseconds, because clocks need not agree.
//
//	crash        target, incarnation, age_ms, fingerprints
//	success      fingerprint, age_ms
//	quarantine   fingerprint, until_ms, since_age_ms
//	survived     target, incarnation
package poison

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config holds the thresholds. Zero fields take the defaults.
type Config struct {
	Crashes    int           // different targets that must crash
	Window     time.Duration // within this time
	Duration   time.Duration // of a quarantine
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
	// maxEvidence bounds the crashes kept per fingerprint; a quarantine needs at most Crashes+1.
	maxEvidence = 8
	// successSlots bounds the memory of successes. A newer fingerprint overwrites an older one in its slot.
	successSlots = 4096
)

// Crash says that a target broke off while the given fingerprints were running there.
type Crash struct {
	Target       string
	Incarnation  uint64 // that crashed; 0 if unknown
	At           time.Time
	Fingerprints []uint64
}

// Success says that a fingerprint completed on a target.
type Success struct {
	Fingerprint uint64
	Ended       time.Time
}

// Quarantine blocks one fingerprint until a time.
type Quarantine struct {
	Fingerprint uint64
	Until       time.Time
	Since       time.Time // first crash that it rests on; a success that ended later refutes it
}

type evidence struct {
	target      string
	incarnation uint64
	at          time.Time
}

type record struct {
	crashes []evidence
	until   time.Time // end of the quarantine; zero if there is none
	since   time.Time
	local   bool // the quarantine rests on crashes kept here
}

// Detector counts suspicions per fingerprint.
type Detector struct {
	cfg       Config
	now       time.Time // latest time seen
	records   map[uint64]*record
	doubts    map[string]*doubt // by target
	successes [successSlots]Success
}

// New returns a detector without suspicions.
func New(cfg Config) *Detector {
	cfg.Crashes = cmp.Or(cfg.Crashes, DefaultCrashes)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	cfg.PriorFor = cmp.Or(cfg.PriorFor, DefaultPriorFor)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	return &Detector{cfg: cfg, records: map[uint64]*record{}, doubts: map[string]*doubt{}}
}

// Fingerprint identifies a request by its content. It is never 0, which stands for "no fingerprint".
func Fingerprint(service, tenant, text string) uint64 {
	// Lengths keep the fields apart whatever characters they hold.
	raw := binary.AppendUvarint(nil, uint64(len(service)))
	raw = append(raw, service...)
	raw = binary.AppendUvarint(raw, uint64(len(tenant)))
	raw = append(raw, tenant...)
	raw = append(raw, text...)
	return max(xxhash.Sum64(raw), 1)
}

// Crashed records a crash of an unknown incarnation that was seen here. It returns the new quarantines.
func (d *Detector) Crashed(now time.Time, target string, inFlight []uint64) []Quarantine {
	return d.Report(now, Crash{Target: target, At: now, Fingerprints: inFlight})
}

// Report records a crash that was seen here or by a peer. It returns the new quarantines.
func (d *Detector) Report(now time.Time, c Crash) []Quarantine {
	d.advance(now)
	c.At = d.past(c.At)
	if d.now.Sub(c.At) > d.cfg.Window {
		return nil
	}
	for _, fp := range c.Fingerprints {
		if fp != 0 {
			d.suspect(fp, evidence{c.Target, c.Incarnation, c.At})
		}
	}
	var out []Quarantine
	for _, fp := range d.choose(c.Fingerprints) {
		r := d.records[fp]
		r.until = d.now.Add(d.cfg.Duration)
		r.since = first(r.crashes)
		r.local = true
		out = append(out, Quarantine{fp, r.until, r.since})
	}
	return out
}

// suspect adds one crash to a fingerprint.
func (d *Detector) suspect(fp uint64, e evidence) {
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
	for i, known := range r.crashes {
		if known.target == e.target && known.incarnation == e.incarnation {
			if e.at.Before(known.at) {
				r.crashes[i].at = e.at
			}
			return
		}
	}
	r.crashes = append(r.crashes, e)
	if len(r.crashes) > maxEvidence {
		r.crashes = append([]evidence(nil), r.crashes[1:]...)
	}
}

// choose chooses which of the fingerprints in flight at a crash are to be quarantined.
func (d *Detector) choose(inFlight []uint64) []uint64 {
	var unsuccessful, successful []uint64
	explained := false
	seen := map[uint64]bool{}
	for _, fp := range inFlight {
		r := d.records[fp]
		if r == nil || seen[fp] {
			continue
		}
		seen[fp] = true
		switch {
		case d.inForce(r):
			explained = true
		case !d.enough(r):
		case d.prior(fp, r):
			successful = append(successful, fp)
		default:
			unsuccessful = append(unsuccessful, fp)
		}
	}
	switch {
	case explained:
		// A copy of a request that is already in quarantine was still running there.
		return nil
	case len(unsuccessful) > 0 || len(successful) > 1:
		// Of several suspects that all succeeded lately, none is chosen: they run alone from now on, and the
		// next crash tells.
		return unsuccessful
	}
	return successful
}

// enough reports whether the crashes of a fingerprint suffice for a quarantine. A target that crashes again after
// a restart counts too, but one more crash is needed, because the target itself may be at fault.
func (d *Detector) enough(r *record) bool {
	targets := map[string]bool{}
	restarts := 0
	for _, e := range r.crashes {
		targets[e.target] = true
		if e.incarnation != 0 {
			restarts++
		}
	}
	return len(targets) >= d.cfg.Crashes || restarts > d.cfg.Crashes
}

// prior reports whether a fingerprint succeeded shortly before its first crash.
func (d *Detector) prior(fp uint64, r *record) bool {
	last := d.lastSuccess(fp)
	return !last.IsZero() && first(r.crashes).Sub(last) <= d.cfg.PriorFor
}

func first(crashes []evidence) time.Time {
	var t time.Time
	for _, e := range crashes {
		if t.IsZero() || e.at.Before(t) {
			t = e.at
		}
	}
	return t
}

func (d *Detector) inForce(r *record) bool { return r.until.After(d.now) }

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
	s.Ended = d.past(s.Ended)
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
	if d.inForce(r) && !s.Ended.Before(r.since) {
		r.until = time.Time{}
		cleared = true
	}
	d.drop(s.Fingerprint, r)
	return cleared
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
		if changed && r.local && d.inForce(r) && !d.enough(r) {
			r.until = time.Time{}
			lifted = append(lifted, fp)
		}
		d.drop(fp, r)
	}
	return lifted
}

// Suspected reports whether the fingerprint was running at a crash within the window, without a success since.
func (d *Detector) Suspected(fp uint64) bool {
	r := d.records[fp]
	if r == nil {
		return false
	}
	d.prune(fp, r)
	return len(r.crashes) > 0
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
	if longest := d.now.Add(d.cfg.Duration); q.Until.After(longest) {
		q.Until = longest
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
	if !q.Until.After(r.until) {
		return false
	}
	r.until = q.Until
	r.since = q.Since
	return true
}

// Check reports whether the fingerprint is blocked, and until when.
func (d *Detector) Check(now time.Time, fp uint64) (until time.Time, blocked bool) {
	d.advance(now)
	r := d.records[fp]
	if r == nil || !d.inForce(r) {
		return time.Time{}, false
	}
	return r.until, true
}

// Quarantines lists what is blocked now.
func (d *Detector) Quarantines(now time.Time) []Quarantine {
	d.advance(now)
	var out []Quarantine
	for fp, r := range d.records {
		if d.inForce(r) {
			out = append(out, Quarantine{fp, r.until, r.since})
		}
	}
	return out
}

// Len returns the number of fingerprints held, at most MaxRecords.
func (d *Detector) Len() int { return len(d.records) }

// advance keeps the time from going back, since callers may read the clock in another order than they get here.
func (d *Detector) advance(now time.Time) {
	if now.After(d.now) {
		d.now = now
	}
}

// past bounds a time stated by a peer to the present.
func (d *Detector) past(t time.Time) time.Time {
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

// drop removes a record that says nothing any more.
func (d *Detector) drop(fp uint64, r *record) {
	if len(r.crashes) == 0 && !d.inForce(r) {
		delete(d.records, fp)
	}
}

// evict makes room for one record and reports whether it could. It drops what has expired, else the suspicion
// that has been quiet for longest; quarantines in force stay.
func (d *Detector) evict() bool {
	var oldest uint64
	var oldestAt time.Time
	for fp, r := range d.records {
		d.prune(fp, r)
		d.drop(fp, r)
		if d.inForce(r) || len(r.crashes) == 0 {
			continue
		}
		if at := r.crashes[len(r.crashes)-1].at; oldest == 0 || at.Before(oldestAt) {
			oldest, oldestAt = fp, at
		}
	}
	if len(d.records) >= d.cfg.MaxRecords {
		delete(d.records, oldest)
	}
	return len(d.records) < d.cfg.MaxRecords
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
	if r == nil || r.local && d.enough(r) {
		return
	}
	r.until = time.Time{}
	d.prune(fp, r)
	d.drop(fp, r)
}
