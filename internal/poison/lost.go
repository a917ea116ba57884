package poison

import (
	"slices"
	"time"
)

const (
	// maxLost bounds the fingerprints that are kept of one target until it is known whether it has ended.
	maxLost = 64
	// maxCheck is above the time that a caller needs to find out. What has taken longer never comes.
	maxCheck = 5 * time.Second
)

// doubt is a target of which it isn't known yet whether it has ended.
type doubt struct {
	at           time.Time // the first connection was lost
	began        time.Time // of the latest request whose connection was lost
	fingerprints []uint64
}

// Lost takes that a connection to a target was lost while the fingerprints of a request that was sent at began ran there.
// If it reports true, the caller must find out whether the target has ended, and then call Checked; false means that a
// caller already does.
func (d *Detector) Lost(now, began time.Time, target string, fingerprints []uint64) (check bool) {
	d.advance(now)
	at := d.doubts[target]
	if at == nil {
		at = &doubt{at: d.now}
		d.doubts[target] = at
		check = true
	}
	if began.After(at.began) && began.Before(at.at) {
		at.began = began
	}
	for _, fp := range fingerprints {
		if fp != 0 && len(at.fingerprints) < maxLost && !slices.Contains(at.fingerprints, fp) {
			at.fingerprints = append(at.fingerprints, fp)
		}
	}
	return check
}

// Checked takes whether a target has ended, after Lost. If it has, it returns the crash to report, with the fingerprints
// that have not succeeded since; there is none to report if all have.
func (d *Detector) Checked(now time.Time, target string, ended bool) (c Crash, report bool) {
	d.advance(now)
	at := d.doubts[target]
	delete(d.doubts, target)
	if at == nil || !ended {
		return Crash{}, false
	}
	c = Crash{ID: d.newID(target, at.at), Target: target, At: at.at, Began: at.began}
	for _, fp := range at.fingerprints {
		if at.at.After(d.lastSuccess(fp)) {
			c.Fingerprints = append(c.Fingerprints, fp)
		}
	}
	return c, len(c.Fingerprints) > 0
}
