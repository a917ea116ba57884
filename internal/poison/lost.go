package poison

import (
	"slices"
	"time"
)

const (
	// maxPendingFingerprints bounds the fingerprints that are kept per target until it is known whether the target has ended.
	maxPendingFingerprints = 64
	// maxCheckDuration is longer than the code that calls RecordLostConnection needs to find out whether a target has ended. A
	// check without a result after this time is dropped.
	maxCheckDuration = 5 * time.Second
)

// pendingCheck holds the lost connections of a target while it isn't known yet whether the target has ended.
type pendingCheck struct {
	lostAt       time.Time // when the first connection was lost
	lastSent     time.Time // when the latest of the requests that lost their connection was sent
	fingerprints []uint64  // of the requests whose connections were lost
}

// RecordLostConnection records that a connection to a target was lost while a request with the given fingerprints, which was
// sent at sentAt, was running there. If it returns true, the calling code must find out whether the target has ended, and
// then call FinishCheck. It returns false if such a check of the target is already under way.
func (d *Detector) RecordLostConnection(now, sentAt time.Time, target string, fingerprints []uint64) (check bool) {
	d.advance(now)
	pending := d.pendingChecks[target]
	if pending == nil {
		pending = &pendingCheck{lostAt: d.now}
		d.pendingChecks[target] = pending
		check = true
	}
	if sentAt.After(pending.lastSent) && sentAt.Before(pending.lostAt) {
		pending.lastSent = sentAt
	}
	for _, fp := range fingerprints {
		if fp != 0 && len(pending.fingerprints) < maxPendingFingerprints && !slices.Contains(pending.fingerprints, fp) {
			pending.fingerprints = append(pending.fingerprints, fp)
		}
	}
	return check
}

// FinishCheck ends the check of a target that RecordLostConnection asked for. If the target has ended, FinishCheck returns
// the crash with the fingerprints that have not succeeded since the first connection was lost. It returns false if there is
// no crash to report: the target has not ended, or all the fingerprints have succeeded since.
func (d *Detector) FinishCheck(now time.Time, target string, ended bool) (c Crash, report bool) {
	d.advance(now)
	pending := d.pendingChecks[target]
	delete(d.pendingChecks, target)
	if pending == nil || !ended {
		return Crash{}, false
	}
	c = Crash{ID: d.newID(target, pending.lostAt), Target: target, At: pending.lostAt, LastSent: pending.lastSent}
	for _, fp := range pending.fingerprints {
		if pending.lostAt.After(d.lastSuccess(fp)) {
			c.Fingerprints = append(c.Fingerprints, fp)
		}
	}
	return c, len(c.Fingerprints) > 0
}
