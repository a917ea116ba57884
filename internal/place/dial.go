package place

import "time"

// Load pattern: all processes restart after a power failure. The connections of the lost processes still count at the targets
// until their idle timeout, and all new processes open connections to all targets in the same moment. A target resets the
// connections beyond its bound, and each new one takes a slot of it for a moment.
//
// A reset of a new connection is therefore not a sign that the target is down: the target serves the connections that it has
// accepted. This process opens one connection to a target at a time, and none for a pause after such a reset, which doubles
// with each further one. Meanwhile it sends to the target only over the connections that it has. A target that goes on
// resetting after the longest pause, and has replied to nothing since, is down until its health page answers.
const (
	minDialPause = 50 * time.Millisecond
	maxDialPause = 800 * time.Millisecond
)

// hasIdle reports whether an idle connection to the target is known to exist.
func (b *Balancer) hasIdle(id string) bool { return b.cfg.HasIdle != nil && b.cfg.HasIdle(id) }

// mayDial reports whether a connection to the target may be opened now.
func (b *Balancer) mayDial(now time.Time, id string) bool {
	if s := b.targets[id]; s != nil && now.Before(s.noDialUntil) {
		return false
	}
	return b.cfg.IsDialing == nil || !b.cfg.IsDialing(id)
}

// RecordConnReset records that a target has reset a new connection that carried no request.
func (b *Balancer) RecordConnReset(now time.Time, id string) { b.stateOf(id).pauseDialing(now) }

// ResetsNewConns reports whether the target has reset a new connection of this process, and has not replied since.
func (b *Balancer) ResetsNewConns(id string) bool {
	s := b.targets[id]
	return s != nil && s.dialPause > 0
}

// pauseDialing makes this process open no new connections to the target for a while. A reset of a second connection that was
// opened before the pause began doesn't lengthen it. It reports whether the longest pause has passed without a reply from the
// target.
func (s *targetState) pauseDialing(now time.Time) (silent bool) {
	if now.Before(s.noDialUntil) {
		return false
	}
	silent = s.dialPause == maxDialPause
	s.dialPause = min(max(2*s.dialPause, minDialPause), maxDialPause)
	s.noDialUntil = now.Add(s.dialPause)
	return silent
}
