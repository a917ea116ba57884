package entry

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/quest"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

const (
	// checkTime bounds how long it takes to find out whether a target has ended: a dial that stays unanswered, twice.
	checkTime = 2*pool.DefaultDialTimeout + 100*time.Millisecond
	// crashesBorne is the users' bound: a request under which so many targets have ended isn't sent on.
	crashesBorne = 3
	// crashWindow is above the pauses between copies of a request; there is no reason to forget an end that no success refutes.
	crashWindow = 10 * time.Minute
	// crashApart is below the time that a target needs to start again, and above what links and checks take.
	crashApart = 500 * time.Millisecond
	// crashDoubted is above the pause of callers before a second attempt, and a small part of their patience.
	crashDoubted = time.Second
	// crashPrior is the time in which the copies of a request that callers send again and again are served once.
	crashPrior = time.Minute
	// othersSampled connections to other targets, in use within othersWithin, show whether targets end for another cause.
	othersSampled = 16
	othersWithin  = time.Second
	// othersTime is a round trip within a region, on a busy machine.
	othersTime = 50 * time.Millisecond
)

// newDetector returns the detector of requests under which targets end.
func (e *Entry) newDetector() *poison.Detector {
	return poison.New(poison.Config{
		Crashes: crashesBorne, Repeated: crashesBorne, Window: crashWindow, Doubted: crashDoubted, Apart: crashApart, PriorFor: crashPrior,
		Stagger: float64(xxhash.Sum64String(e.Self.String())) / math.MaxUint64,
	})
}

// crashCounts counts what was found after connections to targets were lost, and what followed.
type crashCounts struct {
	lost, ended, unsure, quarantined, refused atomic.Uint64
}

// Crashes are totals since the start of the process.
type Crashes struct {
	ConnectionsLost uint64 `json:"connections_lost"` // while a request ran
	TargetsEnded    uint64 `json:"targets_ended"`    // found after a lost connection
	Unsure          uint64 `json:"unsure"`           // targets that could not be reached after a lost connection
	Quarantined     uint64 `json:"quarantined"`      // quarantines that began, also those that peers told of
	Refused         uint64 `json:"refused"`          // requests that ended unserved because of a quarantine
}

// Crashes returns the totals.
func (e *Entry) Crashes() Crashes {
	n := &e.crashCounts
	return Crashes{
		ConnectionsLost: n.lost.Load(), TargetsEnded: n.ended.Load(), Unsure: n.unsure.Load(),
		Quarantined: n.quarantined.Load(), Refused: n.refused.Load(),
	}
}

// hexContent is a fingerprint in log lines.
func hexContent(fp uint64) string { return strconv.FormatUint(fp, 16) }

// divided reports whether the requests of a route go to more than one service.
func divided(r *table.Route) bool { return len(r.Gather) > 1 || len(r.Split) > 1 }

// fingerprints identify what a send of this call runs at a target of a service: the content of the request, whoever sends it
// under whatever ID, and the same at this service only, since it may end the targets of one service and be served by others.
func (c *call) fingerprints(service string) []uint64 {
	if !divided(c.route) {
		return []uint64{c.content}
	}
	return []uint64{c.content, c.contentAt(service)}
}

func (c *call) contentAt(service string) uint64 {
	return poison.Fingerprint(service, "", hexContent(c.content))
}

// Suspicion implements quest.Picker.
func (p *picker) Suspicion(now time.Time, service string) quest.Suspicion {
	e, c := p.entry, p.call
	if e.crashes.Quiet() {
		return quest.Suspicion{}
	}
	standing, until := e.crashes.Standing(now, c.content)
	whole := quest.Suspicion{Standing: standing, Whole: true, Running: e.running[c.content] > 0, Until: until}
	if standing == poison.Blocked || !divided(c.route) {
		return whole
	}
	at := c.contentAt(service)
	if standing, until = e.crashes.Standing(now, at); standing > whole.Standing {
		return quest.Suspicion{Standing: standing, Running: e.running[at] > 0, Until: until}
	}
	return whole
}

// sentOff counts a send that begins. The caller holds mu.
func (e *Entry) sentOff(fingerprints []uint64) {
	for _, fp := range fingerprints {
		e.running[fp]++
	}
}

// landed counts a send that has ended.
func (d *delivery) landed() {
	e := d.runner.entry
	if d.lost {
		// After the unlock: an end may wait for this.
		defer e.control.post(func(c *control, now time.Time) { c.tellEnds(now) })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, fp := range d.send.Fingerprints {
		if e.running[fp]--; e.running[fp] <= 0 {
			delete(e.running, fp)
		}
	}
}

// settle takes what the end of a send says of the request. The caller holds mu.
func (d *delivery) settle(now time.Time, outcome place.Outcome, err error) {
	e := d.runner.entry
	switch {
	case outcome == place.Good:
		for i, fp := range d.send.Fingerprints {
			// The success of the whole request is kept in its favour; there is no room for that of each part.
			if i > 0 && !e.crashes.Concerns(fp) {
				continue
			}
			if shared := e.crashes.Shared(fp); e.crashes.SucceededAt(now, fp) && shared {
				d.cleared = append(d.cleared, fp)
			}
		}
	case pool.IsRefused(err):
		e.crashes.Ended(now, d.send.Target.ID)
	}
}

// tellCleared tells peers that the request has succeeded though targets had ended under it.
func (d *delivery) tellCleared() {
	e := d.runner.entry
	for _, fp := range d.cleared {
		e.Log.Every("cleared", time.Second).Info("request succeeded after targets had ended under it", "request", d.runner.call.id, "content", hexContent(fp), "target", d.send.Target.ID)
		e.control.post(func(c *control, _ time.Time) { c.pass(peer.Frame{Success: &peer.Success{Fingerprint: fp}}, "") })
	}
}

// connectionLost is told that a target closed the connection of a send that began at a time, before its reply was whole.
func (d *delivery) connectionLost(began time.Time) {
	e := d.runner.entry
	e.crashCounts.lost.Add(1)
	d.lost = true
	e.mu.Lock()
	check := e.crashes.Lost(time.Now(), began, d.send.Target.ID, d.send.Fingerprints)
	e.mu.Unlock()
	if check {
		c := &crashCheck{entry: e, target: d.send.Target, request: d.runner.call.id}
		go c.run()
	}
}

// crashCheck finds out whether a target has ended, or only a connection to it.
type crashCheck struct {
	entry   *Entry
	target  *table.Target
	request string // that ran when the first connection was lost
}

func (c *crashCheck) run() { c.entry.guard("crash check", c.find) }

func (c *crashCheck) find() {
	e, t := c.entry, c.target
	ctx, cancel := context.WithTimeout(context.Background(), checkTime)
	defer cancel()
	ended, err := e.pool.Ended(ctx, pool.Peer{ID: t.ID, Addr: t.Addr})
	var others []string
	if ended {
		others = c.others(ctx)
	}
	crash, news, begun := c.report(ended, others)
	switch {
	case err != nil:
		e.crashCounts.unsure.Add(1)
		e.Log.Every("unsure "+t.ID, time.Second).Info("connection lost, target can't be reached", "target", t.ID, "service", t.Service, "request", c.request, "error", err)
	case !ended:
		e.Log.Every("lives "+t.ID, time.Second).Info("connection lost, target lives", "target", t.ID, "service", t.Service, "request", c.request)
	default:
		e.crashCounts.ended.Add(1)
		contents := make([]string, len(crash.Fingerprints))
		for i, fp := range crash.Fingerprints {
			contents[i] = hexContent(fp)
		}
		e.Log.Every("ended "+t.ID, time.Second).Warn("target ended under requests", "target", t.ID, "service", t.Service, "request", c.request, "contents", contents, "others_ended", len(others))
	}
	if news || len(begun) > 0 {
		e.control.post(func(c *control, now time.Time) { c.sawCrash(now, crash, news, begun) })
	}
}

// others returns other targets that have ended as well.
func (c *crashCheck) others(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, othersTime)
	defer cancel()
	return c.entry.pool.OthersEnded(ctx, othersWithin, othersSampled)
}

// report hands what was found to the detector, in one step, so that no copy slips through between doubt and suspicion.
func (c *crashCheck) report(ended bool, others []string) (crash poison.Crash, news bool, begun []poison.Quarantine) {
	e := c.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, id := range others {
		e.crashes.Ended(now, id)
	}
	crash, report := e.crashes.Checked(now, c.target.ID, ended)
	if !report {
		return crash, false, nil
	}
	news = e.crashes.News(now, crash)
	return crash, news, e.crashes.Report(now, crash)
}

// pass tells all peers with a link, except the one that told.
func (c *control) pass(f peer.Frame, from string) {
	for _, id := range c.entry.hub.Peers() {
		if id != from {
			c.entry.hub.Tell(id, f)
		}
	}
}

// reports remembers the IDs of what was passed on, so that it comes round once. What is older than two spans of reportsFor is
// forgotten.
type reports struct {
	newer, older map[uint64]bool
	since        time.Time
}

const (
	reportsFor  = time.Minute // above the time that a report can be on its way
	reportsMost = 4096        // of each span
)

// first reports whether an ID is seen for the first time.
func (r *reports) first(now time.Time, id uint64) bool {
	if r.newer == nil || now.Sub(r.since) > reportsFor || len(r.newer) >= reportsMost {
		r.older, r.newer, r.since = r.newer, map[uint64]bool{}, now
	}
	if r.newer[id] || r.older[id] {
		return false
	}
	r.newer[id] = true
	return true
}

// sawCrash tells peers of the end of a target that was reported here.
func (c *control) sawCrash(now time.Time, crash poison.Crash, news bool, begun []poison.Quarantine) {
	c.reports.first(now, crash.ID)
	if news {
		c.untold = append(c.untold, crash)
		c.tellEnds(now)
	}
	for _, q := range begun {
		c.reports.first(now, q.ID)
		c.quarantined(now, q, "")
		c.pass(peer.Frame{Quarantine: wireQuarantine(now, q)}, "")
	}
}

// heardCrash takes the end of a target that a peer tells of, and passes it on if it is news.
func (c *control) heardCrash(now time.Time, crash poison.Crash, from string) {
	e := c.entry
	if !c.reports.first(now, crash.ID) {
		return
	}
	var known []poison.Success
	var untold []poison.Quarantine
	e.mu.Lock()
	news := e.crashes.News(now, crash)
	begun := e.crashes.Report(now, crash)
	if news {
		known = e.crashes.RecentSuccesses(now, crash)
	} else {
		untold = e.crashes.InForce(now, crash)
	}
	e.mu.Unlock()
	if news {
		c.pass(peer.Frame{Crash: wireCrash(now, crash)}, from)
	}
	for _, q := range begun {
		c.quarantined(now, q, from)
	}
	for _, q := range untold {
		e.hub.Tell(from, peer.Frame{Quarantine: wireQuarantine(now, q)})
	}
	for _, s := range known {
		e.hub.Tell(from, peer.Frame{Success: &peer.Success{Fingerprint: s.Fingerprint, AgeMS: peer.AgeMS(now, s.Ended)}})
	}
}

// tellEnds tells peers of the ends that this process has seen, and that count against requests which have not succeeded since.
// One waits while other sends of these requests are running here, whose success would take it back, unless a request is suspect
// already.
func (c *control) tellEnds(now time.Time) {
	e := c.entry
	var tell []poison.Crash
	e.mu.Lock()
	c.untold = slices.DeleteFunc(c.untold, func(crash poison.Crash) bool {
		crash.Fingerprints = e.crashes.Held(now, crash)
		due := now.Sub(crash.At) >= quest.DefaultHoldFor || slices.ContainsFunc(crash.Fingerprints, func(fp uint64) bool {
			standing, _ := e.crashes.Standing(now, fp)
			return standing != poison.Clear || e.running[fp] == 0
		})
		if due && len(crash.Fingerprints) > 0 {
			e.crashes.Told(crash)
			tell = append(tell, crash)
		}
		return due || len(crash.Fingerprints) == 0
	})
	e.mu.Unlock()
	for _, crash := range tell {
		c.pass(peer.Frame{Crash: wireCrash(now, crash)}, "")
	}
}

func (c *control) quarantined(now time.Time, q poison.Quarantine, from string) {
	c.entry.crashCounts.quarantined.Add(1)
	c.entry.Log.Every("quarantine", 100*time.Millisecond).Warn("request quarantined", "content", hexContent(q.Fingerprint), "for_ms", q.Until.Sub(now).Milliseconds(),
		"first_end_ms", peer.AgeMS(now, q.Since), "told_by", from)
}

// tellCrashes tells a peer what requests to hold back, since it may have just started or been cut off.
func (c *control) tellCrashes(now time.Time, id string) {
	e := c.entry
	e.mu.Lock()
	quarantines, crashes := e.crashes.Quarantines(now), e.crashes.Open(now)
	e.mu.Unlock()
	for _, q := range quarantines {
		e.hub.Tell(id, peer.Frame{Quarantine: wireQuarantine(now, q)})
	}
	for _, crash := range crashes {
		e.hub.Tell(id, peer.Frame{Crash: wireCrash(now, crash)})
	}
}

// Crash implements peer.Handler.
func (p *peerEvents) Crash(from string, m peer.Crash) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.heardCrash(now, poison.Crash{
			ID: m.ID, Target: m.Target, Incarnation: m.Incarnation, At: peer.AgedBy(now, m.AgeMS), Fingerprints: m.Fingerprints, Heard: true,
		}, from)
	})
}

// Success implements peer.Handler.
func (p *peerEvents) Success(from string, m peer.Success) {
	p.entry.control.post(func(c *control, now time.Time) {
		c.entry.mu.Lock()
		news := c.entry.crashes.Exonerate(now, poison.Success{Fingerprint: m.Fingerprint, Ended: peer.AgedBy(now, m.AgeMS)})
		c.entry.mu.Unlock()
		if news {
			c.pass(peer.Frame{Success: &m}, from)
		}
	})
}

// Quarantine implements peer.Handler.
func (p *peerEvents) Quarantine(from string, m peer.Quarantine) {
	if m.RemainingMS <= 0 {
		return // this path lifts quarantines by successes only
	}
	p.entry.control.post(func(c *control, now time.Time) {
		if !c.reports.first(now, m.ID) {
			return
		}
		q := poison.Quarantine{
			ID: m.ID, Fingerprint: m.Fingerprint, Since: peer.AgedBy(now, m.SinceAgeMS), Until: now.Add(peer.Milliseconds(m.RemainingMS)),
		}
		c.entry.mu.Lock()
		news := c.entry.crashes.Learn(now, q)
		c.entry.mu.Unlock()
		if news {
			c.quarantined(now, q, from)
			c.pass(peer.Frame{Quarantine: wireQuarantine(now, q)}, from)
		}
	})
}

func wireCrash(now time.Time, c poison.Crash) *peer.Crash {
	return &peer.Crash{ID: c.ID, Target: c.Target, Incarnation: c.Incarnation, AgeMS: peer.AgeMS(now, c.At), Fingerprints: c.Fingerprints}
}

func wireQuarantine(now time.Time, q poison.Quarantine) *peer.Quarantine {
	return &peer.Quarantine{ID: q.ID, Fingerprint: q.Fingerprint, RemainingMS: peer.AgeMS(q.Until, now), SinceAgeMS: peer.AgeMS(now, q.Since)}
}
