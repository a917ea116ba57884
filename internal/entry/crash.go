package entry

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/fanout"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// crashCheckTimeout limits how long it takes to find out whether a target has ended. The check may need two dials that
	// stay unanswered.
	crashCheckTimeout = 2*pool.DefaultDialTimeout + 100*time.Millisecond
	// After maxCrashes targets have ended while they ran a request, the request isn't sent again. The users of the system
	// require this number.
	maxCrashes = 3
	// crashWindow is how long a crash counts against a request, unless a success refutes it. It is longer than the pauses
	// between copies of a request; nothing calls for a shorter time.
	crashWindow = 10 * time.Minute
	// sameCrashWithin is the time within which two reports on the same target count as one crash. It is shorter than a
	// target needs to start again, and longer than messages and crash checks take.
	sameCrashWithin = 500 * time.Millisecond
	// doubtfulDuration is the length of the first quarantine of a request that may not be the cause of the crashes. It is
	// longer than callers pause before a second attempt, and a small part of the time for which they wait in total.
	doubtfulDuration = time.Second
	// priorSuccessWindow is how long before the first crash a success counts in favour of a request. Within this time, each of
	// the copies that callers send repeatedly has been served once.
	priorSuccessWindow = time.Minute
	// Up to maxSampledConnections connections to other targets that were in use within sampledUseWithin are checked. They
	// show whether targets end for a cause other than the request.
	maxSampledConnections = 16
	sampledUseWithin      = time.Second
	// sampleTimeout limits the check of these connections. It covers a round trip within a region on a busy machine.
	sampleTimeout = 50 * time.Millisecond
)

// newDetector returns the detector of requests that crash targets.
func (e *Entry) newDetector() *poison.Detector {
	return poison.New(poison.Config{
		MinTargets: maxCrashes, MinCrashes: maxCrashes, Window: crashWindow, DoubtfulDuration: doubtfulDuration, MinCrashGap: sameCrashWithin, PriorSuccessWindow: priorSuccessWindow,
		Stagger: float64(xxhash.Sum64String(e.PeerAddr.String())) / math.MaxUint64,
	})
}

// crashCounts counts lost connections to targets, the results of the checks that followed, quarantines, and the requests
// that were refused because of them.
type crashCounts struct {
	connectionsLost, targetsEnded, targetsUnreachable, quarantines, requestsRefused atomic.Uint64
}

// CrashTotals holds the totals of crashCounts since the start of the process.
type CrashTotals struct {
	ConnectionsLost uint64 `json:"connections_lost"` // while a request was running
	TargetsEnded    uint64 `json:"targets_ended"`    // found after a lost connection
	Unreachable     uint64 `json:"unsure"`           // targets that could not be reached after a lost connection
	Quarantined     uint64 `json:"quarantined"`      // quarantines that began in this process or were reported by a peer
	Refused         uint64 `json:"refused"`          // requests that were not served because of a quarantine
}

// CrashTotals returns the totals since the start of the process.
func (e *Entry) CrashTotals() CrashTotals {
	n := &e.crashCounts
	return CrashTotals{
		ConnectionsLost: n.connectionsLost.Load(), TargetsEnded: n.targetsEnded.Load(), Unreachable: n.targetsUnreachable.Load(),
		Quarantined: n.quarantines.Load(), Refused: n.requestsRefused.Load(),
	}
}

// hexFingerprint returns a fingerprint in hexadecimal, as log lines show it.
func hexFingerprint(fp uint64) string { return strconv.FormatUint(fp, 16) }

// usesSeveralServices reports whether the requests of a route go to more than one service.
func usesSeveralServices(r *table.Route) bool { return len(r.Gather) > 1 || len(r.Split) > 1 }

// fingerprints returns the fingerprints under which a send of this call to a target of a service is recorded. The first one
// identifies the content of the request, regardless of its caller and ID. If the route uses several services, the second
// one identifies the content at this service only, because a request may crash the targets of one service and be served by
// those of another.
func (c *call) fingerprints(service string) []uint64 {
	if !usesSeveralServices(c.route) {
		return []uint64{c.contentFingerprint}
	}
	return []uint64{c.contentFingerprint, c.serviceFingerprint(service)}
}

// serviceFingerprint returns the fingerprint of the content at one service.
func (c *call) serviceFingerprint(service string) uint64 {
	return poison.Fingerprint(service, "", hexFingerprint(c.contentFingerprint))
}

// Suspicion implements fanout.Picker.
func (p *picker) Suspicion(now time.Time, service string) fanout.Suspicion {
	e, c := p.entry, p.call
	if e.detector.IsEmpty() {
		return fanout.Suspicion{}
	}
	status, until := e.detector.Status(now, c.contentFingerprint)
	requestSuspicion := fanout.Suspicion{Status: status, WholeRequest: true, Running: e.runningSends[c.contentFingerprint] > 0, QuarantineEnd: until}
	if status == poison.Quarantined || !usesSeveralServices(c.route) {
		return requestSuspicion
	}
	fp := c.serviceFingerprint(service)
	if status, until = e.detector.Status(now, fp); status > requestSuspicion.Status {
		return fanout.Suspicion{Status: status, Running: e.runningSends[fp] > 0, QuarantineEnd: until}
	}
	return requestSuspicion
}

// addRunning counts a send as running under its fingerprints. The caller holds mu.
func (e *Entry) addRunning(fingerprints []uint64) {
	for _, fp := range fingerprints {
		e.runningSends[fp]++
	}
}

// removeRunning undoes addRunning when the send has ended.
func (a *attempt) removeRunning() {
	e := a.runner.entry
	if a.connectionLost {
		// This runs after mu is unlocked. The report of a crash may be waiting for the end of this send.
		defer e.control.post(func(c *control, now time.Time) { c.sendCrashes(now) })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, fp := range a.send.Fingerprints {
		if e.runningSends[fp]--; e.runningSends[fp] <= 0 {
			delete(e.runningSends, fp)
		}
	}
}

// updateDetector tells the crash detector what the outcome of the send shows about the request. The caller holds mu.
func (a *attempt) updateDetector(now time.Time, outcome place.Outcome, err error) {
	e := a.runner.entry
	switch {
	case outcome == place.Answered:
		for i, fp := range a.send.Fingerprints {
			// A success of the whole request is always recorded, since it may count in favour of the request later. That of a
			// single service is recorded only if it matters now, to save space.
			if i > 0 && !e.detector.SuccessMatters(fp) {
				continue
			}
			if knownToPeers := e.detector.IsKnownToPeers(fp); e.detector.RecordSuccess(now, fp) && knownToPeers {
				a.clearedFingerprints = append(a.clearedFingerprints, fp)
			}
		}
	case pool.IsRefused(err):
		e.detector.RecordTargetEnd(now, a.send.Target.ID)
	}
}

// sendSuccesses tells peers that the request has succeeded although targets had ended while they ran it.
func (a *attempt) sendSuccesses() {
	e := a.runner.entry
	for _, fp := range a.clearedFingerprints {
		e.Log.Every("cleared", time.Second).Info("request succeeded after targets had ended under it", "request", a.runner.call.id, "content", hexFingerprint(fp), "target", a.send.Target.ID)
		e.control.post(func(c *control, _ time.Time) { c.broadcast(peer.Frame{Success: &peer.Success{Fingerprint: fp}}, "") })
	}
}

// handleConnectionLost records that a target closed the connection of the send, which had begun at the given time, before
// the reply was complete. It starts a check whether the target has ended, unless such a check is running.
func (a *attempt) handleConnectionLost(began time.Time) {
	e := a.runner.entry
	e.crashCounts.connectionsLost.Add(1)
	a.connectionLost = true
	e.mu.Lock()
	check := e.detector.RecordLostConnection(time.Now(), began, a.send.Target.ID, a.send.Fingerprints)
	e.mu.Unlock()
	if check {
		c := &crashCheck{entry: e, target: a.send.Target, request: a.runner.call.id}
		go c.run()
	}
}

// crashCheck finds out whether a target has ended or only a connection to it was lost.
type crashCheck struct {
	entry   *Entry
	target  *table.Target
	request string // ID of the request that was running when the first connection was lost
}

func (c *crashCheck) run() { c.entry.recoverPanic("crash check", c.check) }

func (c *crashCheck) check() {
	e, t := c.entry, c.target
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	ended, err := e.pool.HasEnded(ctx, pool.Target{ID: t.ID, Addr: t.Addr})
	var others []string
	if ended {
		others = c.otherEndedTargets(ctx)
	}
	crash, isNew, quarantines := c.finish(ended, others)
	switch {
	case err != nil:
		e.crashCounts.targetsUnreachable.Add(1)
		e.Log.Every("unsure "+t.ID, time.Second).Info("connection lost, target can't be reached", "target", t.ID, "service", t.Service, "request", c.request, "error", err)
	case !ended:
		e.Log.Every("lives "+t.ID, time.Second).Info("connection lost, target still running", "target", t.ID, "service", t.Service, "request", c.request)
	default:
		e.crashCounts.targetsEnded.Add(1)
		contents := make([]string, len(crash.Fingerprints))
		for i, fp := range crash.Fingerprints {
			contents[i] = hexFingerprint(fp)
		}
		e.Log.Every("ended "+t.ID, time.Second).Warn("target ended under requests", "target", t.ID, "service", t.Service, "request", c.request, "contents", contents, "others_ended", len(others))
	}
	if isNew || len(quarantines) > 0 {
		e.control.post(func(c *control, now time.Time) { c.reportCrash(now, crash, isNew, quarantines) })
	}
}

// otherEndedTargets returns the IDs of recently used targets that have ended too.
func (c *crashCheck) otherEndedTargets(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	return c.entry.pool.EndedTargets(ctx, sampledUseWithin, maxSampledConnections)
}

// finish passes the result of the check to the detector. It returns the crash, whether peers may not know of the crash, and
// the quarantines that begin with it. It holds mu throughout, so that no copy of the request is sent after the check has
// ended and before the request is suspect.
func (c *crashCheck) finish(ended bool, others []string) (crash poison.Crash, isNew bool, quarantines []poison.Quarantine) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, id := range others {
		e.detector.RecordTargetEnd(now, id)
	}
	crash, report := e.detector.FinishCheck(now, c.target.ID, ended)
	if !report {
		return crash, false, nil
	}
	isNew = e.detector.IsNewCrash(now, crash)
	return crash, isNew, e.detector.Report(now, crash)
}

// broadcast sends a frame to all linked peers except the one that it came from; from is empty for none.
func (c *control) broadcast(f peer.Frame, from string) {
	for _, id := range c.entry.hub.Peers() {
		if id != from {
			c.entry.hub.SendOnAnyLink(id, f)
		}
	}
}

// reportIDs holds the IDs of reports that were sent or received, so that each report is passed on only once. An ID is
// dropped after one to two periods of reportRetention, or earlier if a period holds maxReportIDs.
type reportIDs struct {
	current, previous map[uint64]bool
	since             time.Time
}

const (
	reportRetention = time.Minute // longer than a report can be on its way
	maxReportIDs    = 4096        // in each period
)

// addIfNew adds an ID and reports whether it was new.
func (r *reportIDs) addIfNew(now time.Time, id uint64) bool {
	if r.current == nil || now.Sub(r.since) > reportRetention || len(r.current) >= maxReportIDs {
		r.previous, r.current, r.since = r.current, map[uint64]bool{}, now
	}
	if r.current[id] || r.previous[id] {
		return false
	}
	r.current[id] = true
	return true
}

// reportCrash tells peers of a crash that this process has found, and of the quarantines that begin with it.
func (c *control) reportCrash(now time.Time, crash poison.Crash, isNew bool, quarantines []poison.Quarantine) {
	c.seenReports.addIfNew(now, crash.ID)
	if isNew {
		c.pendingCrashes = append(c.pendingCrashes, crash)
		c.sendCrashes(now)
	}
	for _, q := range quarantines {
		c.seenReports.addIfNew(now, q.ID)
		c.recordQuarantine(now, q, "")
		c.broadcast(peer.Frame{Quarantine: quarantineMessage(now, q)}, "")
	}
}

// receiveCrash records a crash that a peer reports. If the crash is new, it passes the report on, and tells the peer of
// recent successes of the requests. Otherwise it tells the peer of quarantines of the requests that are in force already.
func (c *control) receiveCrash(now time.Time, crash poison.Crash, from string) {
	e := c.entry
	if !c.seenReports.addIfNew(now, crash.ID) {
		return
	}
	var successes []poison.Success
	var inForce []poison.Quarantine
	e.mu.Lock()
	isNew := e.detector.IsNewCrash(now, crash)
	quarantines := e.detector.Report(now, crash)
	if isNew {
		successes = e.detector.RecentSuccesses(now, crash)
	} else {
		inForce = e.detector.QuarantinesOf(now, crash)
	}
	e.mu.Unlock()
	if isNew {
		c.broadcast(peer.Frame{Crash: crashMessage(now, crash)}, from)
	}
	for _, q := range quarantines {
		c.recordQuarantine(now, q, from)
	}
	for _, q := range inForce {
		e.hub.SendOnAnyLink(from, peer.Frame{Quarantine: quarantineMessage(now, q)})
	}
	for _, s := range successes {
		e.hub.SendOnAnyLink(from, peer.Frame{Success: &peer.Success{Fingerprint: s.Fingerprint, AgeMS: peer.AgeMS(now, s.Ended)}})
	}
}

// sendCrashes tells peers of the crashes that this process has found and that still count against a request, because the
// request has not succeeded since. A crash is held back while each of its requests is running in other sends of this
// process, whose success would refute the crash. It is held back no longer than fanout.DefaultSuspectWait, and not at all if
// one of the requests is already suspect.
func (c *control) sendCrashes(now time.Time) {
	e := c.entry
	var ready []poison.Crash
	e.mu.Lock()
	c.pendingCrashes = slices.DeleteFunc(c.pendingCrashes, func(crash poison.Crash) bool {
		crash.Fingerprints = e.detector.CountedFingerprints(now, crash)
		due := now.Sub(crash.At) >= fanout.DefaultSuspectWait || slices.ContainsFunc(crash.Fingerprints, func(fp uint64) bool {
			status, _ := e.detector.Status(now, fp)
			return status != poison.Clear || e.runningSends[fp] == 0
		})
		if due && len(crash.Fingerprints) > 0 {
			e.detector.MarkKnownToPeers(crash)
			ready = append(ready, crash)
		}
		return due || len(crash.Fingerprints) == 0
	})
	e.mu.Unlock()
	for _, crash := range ready {
		c.broadcast(peer.Frame{Crash: crashMessage(now, crash)}, "")
	}
}

// recordQuarantine counts and logs a quarantine. The peer from has reported the quarantine, or a crash with which the
// quarantine began; from is empty if this process has found the crash.
func (c *control) recordQuarantine(now time.Time, q poison.Quarantine, from string) {
	c.entry.crashCounts.quarantines.Add(1)
	c.entry.Log.Every("quarantine", 100*time.Millisecond).Warn("request quarantined", "content", hexFingerprint(q.Fingerprint), "for_ms", q.Until.Sub(now).Milliseconds(),
		"first_end_ms", peer.AgeMS(now, q.FirstCrash), "told_by", from)
}

// sendCrashState tells a peer which requests are suspect or in quarantine, since the peer may have just started or been cut
// off.
func (c *control) sendCrashState(now time.Time, id string) {
	e := c.entry
	e.mu.Lock()
	quarantines, crashes := e.detector.Quarantines(now), e.detector.UnresolvedCrashes(now)
	e.mu.Unlock()
	for _, q := range quarantines {
		e.hub.SendOnAnyLink(id, peer.Frame{Quarantine: quarantineMessage(now, q)})
	}
	for _, crash := range crashes {
		e.hub.SendOnAnyLink(id, peer.Frame{Crash: crashMessage(now, crash)})
	}
}

// Crash implements peer.Handler.
func (p *peerHandler) Crash(from string, m peer.Crash) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.receiveCrash(now, poison.Crash{
			ID: m.ID, Target: m.Target, Incarnation: m.Incarnation, At: peer.TimeFromAge(now, m.AgeMS), Fingerprints: m.Fingerprints, FromPeer: true,
		}, from)
	})
}

// Success implements peer.Handler.
func (p *peerHandler) Success(from string, m peer.Success) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.entry.mu.Lock()
		isNew := c.entry.detector.ApplySuccess(now, poison.Success{Fingerprint: m.Fingerprint, Ended: peer.TimeFromAge(now, m.AgeMS)})
		c.entry.mu.Unlock()
		if isNew {
			c.broadcast(peer.Frame{Success: &m}, from)
		}
	})
}

// Quarantine implements peer.Handler.
func (p *peerHandler) Quarantine(from string, m peer.Quarantine) {
	if m.RemainingMS <= 0 {
		return // entry processes lift a quarantine only by a success
	}
	p.entry.control.post(func(c *control, now time.Time) {
		if !c.seenReports.addIfNew(now, m.ID) {
			return
		}
		q := poison.Quarantine{
			ID: m.ID, Fingerprint: m.Fingerprint, FirstCrash: peer.TimeFromAge(now, m.SinceAgeMS), Until: now.Add(peer.BoundedDuration(m.RemainingMS)),
		}
		c.entry.mu.Lock()
		isNew := c.entry.detector.ApplyQuarantine(now, q)
		c.entry.mu.Unlock()
		if isNew {
			c.recordQuarantine(now, q, from)
			c.broadcast(peer.Frame{Quarantine: quarantineMessage(now, q)}, from)
		}
	})
}

func crashMessage(now time.Time, c poison.Crash) *peer.Crash {
	return &peer.Crash{ID: c.ID, Target: c.Target, Incarnation: c.Incarnation, AgeMS: peer.AgeMS(now, c.At), Fingerprints: c.Fingerprints}
}

func quarantineMessage(now time.Time, q poison.Quarantine) *peer.Quarantine {
	return &peer.Quarantine{ID: q.ID, Fingerprint: q.Fingerprint, RemainingMS: peer.AgeMS(q.Until, now), SinceAgeMS: peer.AgeMS(now, q.FirstCrash)}
}
