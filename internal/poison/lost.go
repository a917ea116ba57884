package poison

import (
	"slices"
	"time"
)

const (
	// maxPendingFingerprints bounds the fingerprints that are kept of one target until it is known whether it has ended.
	maxPendingFingerprints = 64
	// maxCheckDuration is above the time that a caller needs to find out. What has taken longer never comes.
	maxCheckDuration = 5 * time.Second
)

// pendingCheck is a target of which it isn't known yet whether it has ended.
type pendingCheck struct {
	lostAt       time.Time // the first connection was lost
	lastSent     time.Time // of the latest request whose connection was lost
	fingerprints []uint64
}

// Lost takes that a connection to a target was lost while the fingerprints of a request that was sent at began ran there.
// If it reports true, the caller must find out whether the target has ended, and then call Checked; false means that a
// caller already does.
func (d *Detector) Lost(now, began time.Time, target string, fingerprints []uint64) (check bool) {
	d.advance(now)
	pending := d.pendingChecks[target]
	if pending == nil {
		pending = &pendingCheck{lostAt: d.now}
		d.pendingChecks[target] = pending
		check = true
	}
	if began.After(pending.lastSent) && began.Before(pending.lostAt) {
		pending.lastSent = began
	}
	for _, fp := range fingerprints {
		if fp != 0 && len(pending.fingerprints) < maxPendingFingerprints && !slices.Contains(pending.fingerprints, fp) {
			pending.fingerprints = append(pending.fingerprints, fp)
		}
	}
	return check
}

// Checked takes whether a target has ended, after Lost. If it has, it returns the crash to report, with the fingerprints
// that have not succeeded since; there is none to report if all have.
func (d *Detector) Checked(now time.Time, target string, ended bool) (c Crash, report bool) {
	d.advance(now)
	pending := d.pendingChecks[target]
	delete(d.pendingChecks, target)
	if pending == nil || !ended {
		return Crash{}, false
	}
	c = Crash{ID: d.newID(target, pending.lostAt), Target: target, At: pending.lostAt, Began: pending.lastSent}
	for _, fp := range pending.fingerprints {
		if pending.lostAt.After(d.lastSuccess(fp)) {
			c.Fingerprints = append(c.Fingerprints, fp)
		}
	}
	return c, len(c.Fingerprints) > 0
}
