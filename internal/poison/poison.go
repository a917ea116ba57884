// Package poison detects requests that crash the targets on which they run, and quarantines these requests.
//
// A request is identified by a fingerprint, a hash of its content. All copies of a request have the same fingerprint. A
// request is a suspect if it was running on a target that crashed (Detector.Suspected); Detector.Status returns Suspect only
// if one more crash would start a quarantine. A request in quarantine is refused until the quarantine ends. A target has
// ended when its process is gone, by a crash or for another reason.
//
// # Usage
//
//	d := poison.New(poison.Config{})
//	fp := poison.Fingerprint(service, tenant, text)
//	if until, quarantined := d.QuarantineEnd(now, fp); quarantined { ... refuse the request, with Retry-After set to until ... }
//	if !d.MayRun(now, fp, running) { ... wait or use another target ... }
//	status, until := d.Status(now, fp)  // instead of QuarantineEnd and MayRun if the requests that run on a target aren't known
//
//	// A connection to a target was lost and the target has ended (see RecordLostConnection and FinishCheck): report the
//	// crash and send it to all peers.
//	c := poison.Crash{Target: "desk-1-t1", Incarnation: 7, At: now, Fingerprints: inFlight}
//	quarantines := d.Report(now, c)         // send the quarantines to all peers as well
//	if d.RecordSuccess(now, fp) { ... send poison.Success{fp, now} to all peers ... }
//
//	// A peer sent a crash, a success, a quarantine, or the retraction of a crash:
//	d.Report(now, c); known := d.RecentSuccesses(now, c)  // send known to all peers
//	d.ApplySuccess(now, success)
//	d.ApplyQuarantine(now, quarantine)
//	d.RetractCrash(now, target, incarnation)
//
// # Evidence
//
// A crash makes every fingerprint that was in flight on the target a suspect. If a request with the fingerprint succeeds
// after the crash, the crash no longer counts against the fingerprint, whenever the request started, because the requests
// to be detected crash every target on which they run. Crashes of different targets add up, no matter which process observed
// them. Two reports of one crash (same target and incarnation) count once. A suspect runs alone on a target, so that a
// second crash has only one possible cause. If several suspects were nevertheless running together, a suspect that succeeded
// shortly before the crash is not quarantined as long as another one can be the cause.
//
// If a request in quarantine was running on a target that crashed, the crash is attributed to that request, and doesn't make
// the other requests that were running there suspects.
//
// # After a quarantine
//
// A request stays a suspect after its quarantine has ended: it runs alone, and one more crash starts a new quarantine. The
// first quarantine is short (Config.DoubtfulDuration) if the crashes may have another cause: the request succeeded shortly
// before them, targets on which it wasn't running ended at the same time, or a peer reported the crash that started the
// quarantine. If targets on which it wasn't running end at the same time again, each further quarantine lasts twice as long
// as the one before, up to Config.Duration.
//
// # Messages
//
// Messages between processes state times as ages in milliseconds, because the clocks of the processes may differ.
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
	MinTargets         int           // number of different targets that must crash within Window for a quarantine
	MinCrashes         int           // number of crashes that suffices for a quarantine even if they are of fewer targets; 0: one more than MinTargets
	Window             time.Duration // age after which a crash no longer counts
	Duration           time.Duration // length of a quarantine
	DoubtfulDuration   time.Duration // length of the first quarantine of a request that may be harmless; 0: Duration
	MinCrashGap        time.Duration // crashes of a target of unknown incarnation that are closer together count once; 0: all count once
	Stagger            float64       // 0..1, different in each process; lengthens quarantines in this process by up to a half, so that processes retry one after another
	PriorSuccessWindow time.Duration // a success at most this long before the first crash counts in favour of a request
	MaxRecords         int           // maximum number of fingerprints that are suspects or in quarantine
}

// Defaults of Config.
const (
	DefaultMinTargets = 2
	DefaultWindow     = time.Minute
	DefaultDuration   = time.Minute
	// DefaultPriorSuccessWindow is short because a new index version can make a harmless request crash its targets.
	DefaultPriorSuccessWindow = 10 * time.Second
	DefaultMaxRecords         = 4096
)

const (
	// maxCrashesKept bounds the crashes kept per fingerprint. With the default of Config.MinCrashes, a quarantine needs at most
	// Config.MinTargets+1.
	maxCrashesKept = 8
	// successSlots is the size of the table of latest successes. A fingerprint overwrites another one in the same slot.
	successSlots = 4096
	// quarantineMemory is the time after the end of a quarantine during which one crash starts a new one. Callers stop retrying a
	// request long before.
	quarantineMemory = 10 * time.Minute
	// maxDoublings keeps the shift of Config.DoubtfulDuration from overflowing. Config.Duration limits the result long before.
	maxDoublings = 16
	// recentEndWindow is the time within which the ends of several targets may have a common cause.
	recentEndWindow = time.Second
	// maxRecentEnds bounds Detector.recentEnds.
	maxRecentEnds = 256
	// maxFingerprints bounds the fingerprints that are processed of one report, which may come from a peer.
	maxFingerprints = 64
)

// Crash states that a target crashed while requests with the given fingerprints were running on it.
type Crash struct {
	ID           uint64 // identifies the report where processes forward it to each other; 0: none
	Target       string
	Incarnation  uint64 // incarnation of the target that crashed; 0 if unknown
	At           time.Time
	Fingerprints []uint64
	// LastSent is when the latest of the requests was sent, if this process sent it. The target was alive then, so a crash
	// before LastSent is a different one.
	LastSent time.Time
	// FromPeer is true if a peer reported the crash. A first quarantine that begins with such a report lasts for
	// Config.DoubtfulDuration only, because the peers that observed the crashes know more about them.
	FromPeer bool
}

// Success states that a request with the fingerprint completed on a target.
type Success struct {
	Fingerprint uint64
	Ended       time.Time // when the request completed
}

// Quarantine blocks the requests with one fingerprint until a given time.
type Quarantine struct {
	ID          uint64 // identifies the quarantine where processes forward it to each other; 0: none
	Fingerprint uint64
	Until       time.Time
	FirstCrash  time.Time // time of the first crash behind the quarantine; a later success ends the quarantine
}

// recordedCrash is a Crash as it is recorded for each fingerprint against which it counts.
type recordedCrash struct {
	id          uint64
	target      string
	incarnation uint64
	at          time.Time
	lastSent    time.Time // see Crash.LastSent
}

// record holds what is known of a fingerprint that is a suspect or in quarantine.
type record struct {
	quarantineID       uint64 // ID of the latest quarantine
	crashes            []recordedCrash
	quarantineEnd      time.Time // end of the latest quarantine as sent to peers; zero if there was none
	localQuarantineEnd time.Time // end of the latest quarantine in this process, later than quarantineEnd by Config.Stagger
	firstCrash         time.Time // see Quarantine.FirstCrash
	decidedLocally     bool      // this process decided the quarantine, from the crashes that it has recorded
	quarantines        int       // number of quarantines since the last success
	knownToPeers       bool      // peers know of one of the crashes or of the quarantine
}

// targetEnd records that a target was found to have ended, whatever requests were running there.
type targetEnd struct {
	target       string
	at           time.Time
	fingerprints []uint64 // of requests that are known to have been running there
}

// Detector records crashes and successes per fingerprint, and decides on quarantines. It is not safe for concurrent use.
type Detector struct {
	cfg           Config
	now           time.Time // latest time passed to a method
	records       map[uint64]*record
	pendingChecks map[string]*pendingCheck // by target
	recentEnds    []targetEnd              // ends within recentEndWindow, one for each target
	successes     [successSlots]Success    // latest successes, indexed by the fingerprint modulo successSlots
}

// New returns a detector that has no suspects.
func New(cfg Config) *Detector {
	cfg.MinTargets = cmp.Or(cfg.MinTargets, DefaultMinTargets)
	cfg.MinCrashes = cmp.Or(cfg.MinCrashes, cfg.MinTargets+1)
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	cfg.DoubtfulDuration = cmp.Or(cfg.DoubtfulDuration, cfg.Duration)
	cfg.PriorSuccessWindow = cmp.Or(cfg.PriorSuccessWindow, DefaultPriorSuccessWindow)
	cfg.MaxRecords = cmp.Or(cfg.MaxRecords, DefaultMaxRecords)
	return &Detector{cfg: cfg, records: map[uint64]*record{}, pendingChecks: map[string]*pendingCheck{}}
}

// Fingerprint identifies a request by its content. It is never 0, which stands for "no fingerprint".
func Fingerprint[T string | []byte](service, tenant string, text T) uint64 {
	// The length prefixes separate the fields, whatever characters the fields contain.
	var length [binary.MaxVarintLen64]byte
	h := xxhash.New()
	for _, field := range []string{service, tenant} {
		_, _ = h.Write(length[:binary.PutUvarint(length[:], uint64(len(field)))])
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write([]byte(text)) // writing to a hash never fails
	return max(h.Sum64(), 1)
}

// ReportNow records that a target of unknown incarnation crashed now, as observed by this process. It returns the
// quarantines that begin.
func (d *Detector) ReportNow(now time.Time, target string, inFlight []uint64) []Quarantine {
	return d.Report(now, Crash{Target: target, At: now, Fingerprints: inFlight})
}

// Report records a crash that this process or a peer observed. It returns the quarantines that begin with the crash.
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
		if r := d.records[fp]; fp != 0 && (!causeQuarantined || r != nil && d.inQuarantine(r)) {
			d.addCrash(fp, recordedCrash{c.ID, c.Target, c.Incarnation, c.At, c.LastSent})
		}
	}
	if c.FromPeer {
		d.MarkKnownToPeers(c)
	}
	var out []Quarantine
	for _, fp := range d.selectForQuarantine(c.Fingerprints) {
		r := d.records[fp]
		r.firstCrash = earliestCrash(r.crashes)
		d.setQuarantine(r, d.now.Add(d.quarantineDuration(fp, r, c.FromPeer)))
		r.quarantines++
		r.decidedLocally, r.knownToPeers = true, true
		r.quarantineID = d.newID(strconv.FormatUint(fp, 16), r.quarantineEnd)
		out = append(out, r.quarantine(fp))
	}
	for _, q := range out {
		d.removeExplainedCrashes(q.Fingerprint)
	}
	return out
}

// involvesQuarantined reports whether a request that is in quarantine was running at a crash.
func (d *Detector) involvesQuarantined(c Crash) bool {
	return slices.ContainsFunc(c.Fingerprints, func(fp uint64) bool {
		r := d.records[fp]
		return r != nil && d.inQuarantine(r)
	})
}

// removeExplainedCrashes removes the crashes of a fingerprint that is in quarantine from the records of the fingerprints that
// aren't, since the crashes are attributed to the one in quarantine.
func (d *Detector) removeExplainedCrashes(fp uint64) {
	cause := d.records[fp]
	for otherFP, r := range d.records {
		if len(r.crashes) == 0 || d.inQuarantine(r) {
			continue
		}
		r.crashes = slices.DeleteFunc(r.crashes, func(crash recordedCrash) bool { return d.indexOfCrash(cause, crash) >= 0 })
		d.removeIfEmpty(otherFP, r)
	}
}

// quarantineDuration returns the length of a quarantine that begins now. It is Config.DoubtfulDuration, doubled for each
// earlier quarantine up to Config.Duration, if unrelated targets have ended too. It is Config.DoubtfulDuration for a first
// quarantine that begins with a peer's report or follows a recent success, and Config.Duration otherwise.
func (d *Detector) quarantineDuration(fp uint64, r *record, fromPeer bool) time.Duration {
	switch {
	case d.hasUnrelatedEnds(fp, r):
		return min(d.cfg.DoubtfulDuration<<min(r.quarantines, maxDoublings), d.cfg.Duration)
	case r.quarantines == 0 && (fromPeer || d.hasPriorSuccess(fp, r)):
		return d.cfg.DoubtfulDuration
	}
	return d.cfg.Duration
}

// quarantine returns the latest quarantine of the fingerprint fp, to which the record belongs.
func (r *record) quarantine(fp uint64) Quarantine {
	return Quarantine{ID: r.quarantineID, Fingerprint: fp, Until: r.quarantineEnd, FirstCrash: r.firstCrash}
}

// newID returns an ID for a report by this process about the subject, a target or a fingerprint. IDs of different processes
// differ because Config.Stagger does.
func (d *Detector) newID(subject string, at time.Time) uint64 {
	input := binary.LittleEndian.AppendUint64(nil, math.Float64bits(d.cfg.Stagger))
	input = binary.LittleEndian.AppendUint64(input, uint64(at.UnixNano()))
	return max(xxhash.Sum64(append(input, subject...)), 1)
}

// setQuarantine begins a quarantine or lengthens the present one. In this process it ends later than at the given time, by
// Config.Stagger.
func (d *Detector) setQuarantine(r *record, until time.Time) {
	r.quarantineEnd = until
	r.localQuarantineEnd = until.Add(time.Duration(d.cfg.Stagger / 2 * float64(until.Sub(d.now))))
}

// IsNewCrash reports whether a crash is unknown to this detector and can matter for a quarantine, so that peers must receive
// it. It returns false if a request that is in quarantine was running at the crash, or if all the requests have succeeded
// since.
func (d *Detector) IsNewCrash(now time.Time, c Crash) bool {
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
		case d.indexOfCrash(r, recordedCrash{c.ID, c.Target, c.Incarnation, c.At, c.LastSent}) < 0:
			return true
		}
	}
	return false
}

// addCrash adds a crash to the record of a fingerprint, unless the fingerprint has succeeded since or the record has the
// crash already.
func (d *Detector) addCrash(fp uint64, crash recordedCrash) {
	if !crash.at.After(d.lastSuccess(fp)) {
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
	if i := d.indexOfCrash(r, crash); i >= 0 {
		if crash.at.Before(r.crashes[i].at) {
			r.crashes[i].at = crash.at
		}
		return
	}
	r.crashes = append(r.crashes, crash)
	if len(r.crashes) > maxCrashesKept {
		r.crashes = append([]recordedCrash(nil), r.crashes[1:]...)
	}
}

// indexOfCrash returns the index of the recorded crash that is the same as the given one; -1 if there is none. Without an
// incarnation, crashes of a target that are less than Config.MinCrashGap apart are the same, unless a request was sent to
// the target in between; if MinCrashGap is 0, all of them are the same.
func (d *Detector) indexOfCrash(r *record, crash recordedCrash) int {
	return slices.IndexFunc(r.crashes, func(recorded recordedCrash) bool {
		if recorded.target != crash.target || recorded.incarnation != crash.incarnation {
			return false
		}
		if crash.incarnation != 0 || d.cfg.MinCrashGap == 0 {
			return true
		}
		return crash.at.Sub(recorded.at).Abs() < d.cfg.MinCrashGap && !crash.lastSent.After(recorded.at)
	})
}

// selectForQuarantine returns those of the fingerprints in flight at a crash that are to be quarantined.
func (d *Detector) selectForQuarantine(inFlight []uint64) []uint64 {
	var withoutSuccess, withSuccess []uint64
	seen := map[uint64]bool{}
	for _, fp := range inFlight {
		r := d.records[fp]
		if r == nil || seen[fp] {
			continue
		}
		seen[fp] = true
		switch {
		case d.inQuarantine(r):
			// Another copy of a request that is already in quarantine was still running on the target, and is the cause.
			return nil
		case !d.hasEnoughCrashes(r):
		case d.hasPriorSuccess(fp, r):
			withSuccess = append(withSuccess, fp)
		default:
			withoutSuccess = append(withoutSuccess, fp)
		}
	}
	if len(withoutSuccess) > 0 || len(withSuccess) > 1 {
		// If several suspects all succeeded recently, none is quarantined: each runs alone from now on, so that the next
		// crash shows which of them is the cause.
		return withoutSuccess
	}
	return withSuccess
}

// hasEnoughCrashes reports whether the crashes of a fingerprint suffice for a quarantine: crashes of Config.MinTargets
// different targets, or Config.MinCrashes crashes in all if a target crashed again after a restart. More crashes may be
// required in the latter case, because the target itself may be at fault. After an earlier quarantine, one crash since its
// end suffices.
func (d *Detector) hasEnoughCrashes(r *record) bool {
	if r.quarantines > 0 {
		return slices.ContainsFunc(r.crashes, func(crash recordedCrash) bool { return !crash.at.Before(r.quarantineEnd) })
	}
	targets := map[string]bool{}
	distinctCrashes := 0
	for _, crash := range r.crashes {
		targets[crash.target] = true
		if crash.incarnation != 0 || d.cfg.MinCrashGap > 0 {
			distinctCrashes++
		}
	}
	return len(targets) >= d.cfg.MinTargets || distinctCrashes >= d.cfg.MinCrashes
}

// isJustified reports whether the recorded crashes still suffice for the quarantine in force.
func (d *Detector) isJustified(r *record) bool {
	if r.quarantines > 1 {
		return len(r.crashes) > 0
	}
	initial := *r
	initial.quarantines = 0
	return d.hasEnoughCrashes(&initial)
}

// hasPriorSuccess reports whether the last success of a fingerprint was at most Config.PriorSuccessWindow before its first
// crash.
func (d *Detector) hasPriorSuccess(fp uint64, r *record) bool {
	lastSuccess := d.lastSuccess(fp)
	return !lastSuccess.IsZero() && earliestCrash(r.crashes).Sub(lastSuccess) <= d.cfg.PriorSuccessWindow
}

// RecordTargetEnd records that a target was found to have ended, whatever requests were running there.
func (d *Detector) RecordTargetEnd(now time.Time, target string) { d.recordEnd(now, target, nil) }

// recordEnd records that a target has ended now, and the fingerprints that are known to have been running there.
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

// hasUnrelatedEnds reports whether many of the targets that ended within recentEndWindow weren't running the fingerprint: at
// least half as many as those that were. Another cause is likely then. A target that was running a request that has been in
// quarantine before isn't counted, because that request is the likely cause there.
func (d *Detector) hasUnrelatedEnds(fp uint64, r *record) bool {
	related, unrelated := 0, 0
	for _, end := range d.recentEnds {
		fingerprints := slices.Clone(end.fingerprints)
		if pending := d.pendingChecks[end.target]; pending != nil {
			fingerprints = append(fingerprints, pending.fingerprints...)
		}
		switch {
		case d.now.Sub(end.at) > recentEndWindow:
		case slices.Contains(fingerprints, fp) || slices.ContainsFunc(r.crashes, func(crash recordedCrash) bool { return crash.target == end.target }):
			related++
		case slices.ContainsFunc(fingerprints, func(otherFP uint64) bool { return d.records[otherFP] != nil && d.records[otherFP].quarantines > 0 }):
		default:
			unrelated++
		}
	}
	return unrelated > 0 && 2*unrelated >= related
}

// earliestCrash returns the time of the earliest crash; zero if there is none.
func earliestCrash(crashes []recordedCrash) time.Time {
	var t time.Time
	for _, crash := range crashes {
		if t.IsZero() || crash.at.Before(t) {
			t = crash.at
		}
	}
	return t
}

func (d *Detector) inQuarantine(r *record) bool { return r.localQuarantineEnd.After(d.now) }

// RecordSuccessNow calls RecordSuccess with the latest time that was passed to the detector.
func (d *Detector) RecordSuccessNow(fp uint64) { d.RecordSuccess(d.now, fp) }

// RecordSuccess records that a request with the fingerprint completed on a target now. It reports whether this removed
// crashes or ended a quarantine, in which case all peers must receive the success.
func (d *Detector) RecordSuccess(now time.Time, fp uint64) (cleared bool) {
	return d.ApplySuccess(now, Success{fp, now})
}

// ApplySuccess records a success that this process or a peer observed. It removes the earlier crashes of the fingerprint,
// and ends a quarantine whose first crash wasn't later. It reports whether it removed crashes or ended a quarantine.
func (d *Detector) ApplySuccess(now time.Time, s Success) (cleared bool) {
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
	crashesBefore := len(r.crashes)
	d.prune(s.Fingerprint, r)
	cleared = len(r.crashes) < crashesBefore
	if r.quarantines > 0 && !s.Ended.Before(r.firstCrash) {
		r.clearQuarantine()
		cleared = true
	}
	d.removeIfEmpty(s.Fingerprint, r)
	return cleared
}

// clearQuarantine ends the quarantine, and resets the number of quarantines so that earlier ones no longer count.
func (r *record) clearQuarantine() {
	r.quarantineEnd, r.localQuarantineEnd = time.Time{}, time.Time{}
	r.quarantines = 0
}

// lastSuccess returns when the fingerprint last succeeded; zero if that isn't known.
func (d *Detector) lastSuccess(fp uint64) time.Time {
	if s := d.successes[fp%successSlots]; s.Fingerprint == fp {
		return s.Ended
	}
	return time.Time{}
}

// RecentSuccesses returns the latest successes of the fingerprints of a crash that a peer reported, as far as they count in
// favour of these fingerprints.
func (d *Detector) RecentSuccesses(now time.Time, c Crash) []Success {
	d.advance(now)
	var out []Success
	for _, fp := range c.Fingerprints {
		lastSuccess := d.lastSuccess(fp)
		if fp != 0 && !lastSuccess.IsZero() && c.At.Sub(lastSuccess) <= d.cfg.PriorSuccessWindow {
			out = append(out, Success{fp, lastSuccess})
		}
	}
	return out
}

// RetractCrash removes a reported crash: the target has answered again under the same incarnation, so only its connections
// had failed. The answer must be to a request that was sent after the report. RetractCrash returns the fingerprints whose
// quarantine ends because of this.
func (d *Detector) RetractCrash(now time.Time, target string, incarnation uint64) (liftedFingerprints []uint64) {
	d.advance(now)
	if incarnation == 0 {
		return nil
	}
	for fp, r := range d.records {
		kept := r.crashes[:0]
		for _, crash := range r.crashes {
			if crash.target != target || crash.incarnation != incarnation {
				kept = append(kept, crash)
			}
		}
		changed := len(kept) < len(r.crashes)
		r.crashes = kept
		if changed && r.decidedLocally && d.inQuarantine(r) && !d.isJustified(r) {
			r.clearQuarantine()
			liftedFingerprints = append(liftedFingerprints, fp)
		}
		d.removeIfEmpty(fp, r)
	}
	return liftedFingerprints
}

// Suspected reports whether the fingerprint was running at a crash within Config.Window, or was in quarantine, and has not
// succeeded since.
func (d *Detector) Suspected(fp uint64) bool {
	r := d.records[fp]
	if r == nil {
		return false
	}
	d.prune(fp, r)
	return len(r.crashes) > 0 || r.quarantines > 0
}

// MayRun reports whether a request with the fingerprint may start on a target where the given fingerprints are running. A
// suspect runs alone on a target: if any requests are running there, neither they nor the new one may be suspects.
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

// ApplyQuarantine records a quarantine that a peer decided. It reports whether the quarantine was unknown or lengthens the
// known one, in which case other peers may not know of it either.
func (d *Detector) ApplyQuarantine(now time.Time, q Quarantine) (isNew bool) {
	d.advance(now)
	if q.FirstCrash.IsZero() {
		q.FirstCrash = d.now
	}
	q.FirstCrash = d.clampToNow(q.FirstCrash)
	if latestUntil := d.now.Add(d.cfg.Duration); q.Until.After(latestUntil) {
		q.Until = latestUntil
	}
	lastSuccess := d.lastSuccess(q.Fingerprint)
	if q.Fingerprint == 0 || !q.Until.After(d.now) || !lastSuccess.IsZero() && !lastSuccess.Before(q.FirstCrash) {
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
	if r.quarantines <= 1 && !lastSuccess.IsZero() && q.FirstCrash.Sub(lastSuccess) <= d.cfg.PriorSuccessWindow {
		// The peer that decided the quarantine may not know of the success.
		if doubtfulUntil := d.now.Add(d.cfg.DoubtfulDuration); q.Until.After(doubtfulUntil) {
			q.Until = doubtfulUntil
		}
	}
	if !q.Until.After(r.quarantineEnd) {
		return false
	}
	d.setQuarantine(r, q.Until)
	r.quarantineID = q.ID
	r.firstCrash = q.FirstCrash
	r.quarantines = max(r.quarantines, 1)
	r.knownToPeers = true
	return true
}

// Status states whether and how a request may run.
type Status uint8

// Values of Status, in order of severity.
const (
	Clear        Status = iota // no restriction
	Suspect                    // one more crash starts a quarantine; one copy may run at a time
	CheckPending               // must wait until it is known whether a target that was running the request has ended
	Quarantined                // may not run, because the request is in quarantine
)

// Status returns whether and how a request with the fingerprint may run, and the end of its quarantine if it is Quarantined.
func (d *Detector) Status(now time.Time, fp uint64) (Status, time.Time) {
	d.advance(now)
	r := d.records[fp]
	if r == nil && len(d.pendingChecks) == 0 {
		return Clear, time.Time{}
	}
	crashCount, checkCount := 0, 0
	if r != nil {
		if d.inQuarantine(r) {
			return Quarantined, r.localQuarantineEnd
		}
		d.prune(fp, r)
		crashCount = len(r.crashes)
		if r.quarantines > 0 {
			crashCount = max(crashCount, d.cfg.MinTargets-1)
		}
	}
	lastSuccess := d.lastSuccess(fp)
	for _, pending := range d.pendingChecks {
		if pending.lostAt.After(lastSuccess) && slices.Contains(pending.fingerprints, fp) {
			checkCount++
		}
	}
	switch {
	case crashCount+checkCount < d.cfg.MinTargets-1:
		return Clear, time.Time{}
	case checkCount > 0:
		return CheckPending, time.Time{}
	}
	return Suspect, time.Time{}
}

// Bounds of the number of crashes that UnresolvedCrashes returns. maxOtherCrashes bounds the crashes of fingerprints that
// need more than one further crash for a quarantine. The sum of both bounds all crashes, so that at least maxSuspectCrashes
// remain for fingerprints that one more crash would put in quarantine.
const (
	maxSuspectCrashes = 64
	maxOtherCrashes   = 16
)

// UnresolvedCrashes returns recorded crashes of fingerprints that aren't in quarantine, for a peer that has just started or
// was disconnected.
func (d *Detector) UnresolvedCrashes(now time.Time) (out []Crash) {
	d.advance(now)
	otherCrashes := 0
	for fp, r := range d.records {
		d.prune(fp, r)
		if d.inQuarantine(r) {
			continue
		}
		if len(r.crashes) < d.cfg.MinTargets-1 {
			if otherCrashes += len(r.crashes); otherCrashes > maxOtherCrashes {
				continue
			}
		}
		for _, crash := range r.crashes {
			if len(out) == maxSuspectCrashes+maxOtherCrashes {
				return out
			}
			out = append(out, Crash{ID: crash.id, Target: crash.target, Incarnation: crash.incarnation, At: crash.at, Fingerprints: []uint64{fp}})
		}
	}
	return out
}

// QuarantineEnd returns when the quarantine of the fingerprint ends, and whether the fingerprint is in quarantine.
func (d *Detector) QuarantineEnd(now time.Time, fp uint64) (until time.Time, quarantined bool) {
	d.advance(now)
	r := d.records[fp]
	if r == nil || !d.inQuarantine(r) {
		return time.Time{}, false
	}
	return r.localQuarantineEnd, true
}

// Quarantines returns the quarantines that are in force in this process.
func (d *Detector) Quarantines(now time.Time) []Quarantine {
	d.advance(now)
	var out []Quarantine
	for fp, r := range d.records {
		if d.inQuarantine(r) {
			out = append(out, r.quarantine(fp))
		}
	}
	return out
}

// QuarantinesOf returns the quarantines that are in force for the fingerprints of a crash. The peer that reported the crash
// may not know of these quarantines.
func (d *Detector) QuarantinesOf(now time.Time, c Crash) (out []Quarantine) {
	d.advance(now)
	for _, fp := range c.Fingerprints[:min(len(c.Fingerprints), maxFingerprints)] {
		if r := d.records[fp]; r != nil && d.inQuarantine(r) && r.quarantineEnd.After(d.now) {
			out = append(out, r.quarantine(fp))
		}
	}
	return out
}

// MarkKnownToPeers records that peers know of a crash.
func (d *Detector) MarkKnownToPeers(c Crash) {
	for _, fp := range c.Fingerprints {
		if r := d.records[fp]; r != nil {
			r.knownToPeers = true
		}
	}
}

// IsKnownToPeers reports whether peers know of a crash that counts against the fingerprint, or of its quarantine.
func (d *Detector) IsKnownToPeers(fp uint64) bool {
	r := d.records[fp]
	return r != nil && r.knownToPeers
}

// CountedFingerprints returns those fingerprints of a crash against which the crash still counts, without those in
// quarantine.
func (d *Detector) CountedFingerprints(now time.Time, c Crash) (fps []uint64) {
	d.advance(now)
	for _, fp := range c.Fingerprints {
		r := d.records[fp]
		if r == nil || d.inQuarantine(r) {
			continue
		}
		d.prune(fp, r)
		if slices.ContainsFunc(r.crashes, func(recorded recordedCrash) bool { return recorded.id == c.ID }) {
			fps = append(fps, fp)
		}
	}
	return fps
}

// SuccessMatters reports whether a success of the fingerprint can matter: the fingerprint has a record, or was running on a
// target of which it isn't known yet whether it has ended.
func (d *Detector) SuccessMatters(fp uint64) bool {
	if d.records[fp] != nil {
		return true
	}
	for _, pending := range d.pendingChecks {
		if slices.Contains(pending.fingerprints, fp) {
			return true
		}
	}
	return false
}

// IsEmpty reports whether the detector has no records of fingerprints and no pending checks of targets.
func (d *Detector) IsEmpty() bool { return len(d.records) == 0 && len(d.pendingChecks) == 0 }

// Len returns the number of recorded fingerprints, at most Config.MaxRecords.
func (d *Detector) Len() int { return len(d.records) }

// advance sets the time of the detector, which never goes back: the calling code may read the clock for two method calls in
// one order and make the calls in the other.
func (d *Detector) advance(now time.Time) {
	if now.After(d.now) {
		d.now = now
	}
}

// clampToNow returns t, or the present time if t is later, since a peer may state a time in the future.
func (d *Detector) clampToNow(t time.Time) time.Time {
	if t.After(d.now) {
		return d.now
	}
	return t
}

// prune removes crashes that are older than Config.Window or refuted by a later success.
func (d *Detector) prune(fp uint64, r *record) {
	lastSuccess := d.lastSuccess(fp)
	kept := r.crashes[:0]
	for _, crash := range r.crashes {
		if d.now.Sub(crash.at) <= d.cfg.Window && crash.at.After(lastSuccess) {
			kept = append(kept, crash)
		}
	}
	r.crashes = kept
}

// removeIfEmpty removes a record without crashes whose quarantine, if there was one, ended more than quarantineMemory ago.
func (d *Detector) removeIfEmpty(fp uint64, r *record) {
	if len(r.crashes) == 0 && !d.inQuarantine(r) && (r.quarantines == 0 || d.now.Sub(r.quarantineEnd) > quarantineMemory) {
		delete(d.records, fp)
	}
}

// evictDivisor determines for how many records evict makes room at once: Config.MaxRecords/evictDivisor. Making room for a
// single record would cost a scan of all records for each new one.
const evictDivisor = 8

// evict removes records to make room for new ones, and reports whether there is room. It removes expired records, and as
// many others as needed, those whose latest crash or quarantine is oldest first. Records with a quarantine in force stay.
func (d *Detector) evict() bool {
	type candidate struct {
		fp        uint64
		lastEvent time.Time
	}
	var evictable []candidate
	for fp, r := range d.records {
		d.prune(fp, r)
		d.removeIfEmpty(fp, r)
		if d.records[fp] == nil || d.inQuarantine(r) {
			continue
		}
		lastEvent := r.quarantineEnd
		if n := len(r.crashes); n > 0 && r.crashes[n-1].at.After(lastEvent) {
			lastEvent = r.crashes[n-1].at
		}
		evictable = append(evictable, candidate{fp, lastEvent})
	}
	slices.SortFunc(evictable, func(a, b candidate) int { return a.lastEvent.Compare(b.lastEvent) })
	for _, oldest := range evictable {
		if len(d.records) < d.cfg.MaxRecords-d.cfg.MaxRecords/evictDivisor {
			break
		}
		delete(d.records, oldest.fp)
	}
	return len(d.records) < d.cfg.MaxRecords
}

// Sweep removes expired crashes, records and pending checks. It is to be called about once a second.
func (d *Detector) Sweep(now time.Time) {
	d.advance(now)
	maps.DeleteFunc(d.pendingChecks, func(_ string, pending *pendingCheck) bool { return d.now.Sub(pending.lostAt) > maxCheckDuration })
	for fp, r := range d.records {
		d.prune(fp, r)
		d.removeIfEmpty(fp, r)
	}
}

// Suspects returns the set of fingerprints for which Suspected returns true.
func (d *Detector) Suspects() map[uint64]bool {
	out := make(map[uint64]bool, len(d.records))
	for fp := range d.records {
		if d.Suspected(fp) {
			out[fp] = true
		}
	}
	return out
}

// EndQuarantine ends a quarantine after a peer has found that only connections had failed. The quarantine stays if this
// process decided it from crashes that still suffice. The recorded crashes stay in either case.
func (d *Detector) EndQuarantine(now time.Time, fp uint64) {
	d.advance(now)
	r := d.records[fp]
	if r == nil || r.decidedLocally && d.isJustified(r) {
		return
	}
	r.clearQuarantine()
	d.prune(fp, r)
	d.removeIfEmpty(fp, r)
}
