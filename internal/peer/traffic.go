package peer

import (
	"sync/atomic"
)

// Kinds of frames. Written frames and bytes are counted separately for each kind.
const (
	kindOther = iota
	kindPing
	kindMembership
	kindPauses
	kindSync
	kindWork
	kindCrash
	kindPermits
	numKinds
)

// kindNames holds the name of each kind, which is its key in Traffic.
var kindNames = [numKinds]string{"other", "ping", "crew", "pauses", "sync", "work", "crash", "permits"}

// frameKind returns the kind under which the frame is counted.
func frameKind(f Frame) int {
	switch {
	case f.Ping != nil || f.Pong != nil:
		return kindPing
	case f.Membership != nil:
		return kindMembership
	case f.Pauses != nil:
		return kindPauses
	case f.Sync != nil || f.SyncReply != nil:
		return kindSync
	case f.Work != nil || f.WorkReply != nil || f.Order != nil || f.OrderReply != nil:
		return kindWork
	case f.Crash != nil || f.Success != nil || f.CrashRetraction != nil || f.Quarantine != nil:
		return kindCrash
	case f.PermitRequests != nil || f.PermitGrants != nil:
		return kindPermits
	}
	return kindOther
}

// trafficCounters holds the number of frames and bytes that a hub has written, by kind of frame.
type trafficCounters struct {
	frames, bytes [numKinds]atomic.Uint64
}

// Traffic holds the number of frames and bytes that a hub has written, by kind of frame: crew (membership
// statements), ping, pauses, sync, work, crash, permits or other.
type Traffic map[string]struct{ Frames, Bytes uint64 }

// Traffic returns the totals since the hub was created.
func (h *Hub) Traffic() Traffic {
	t := Traffic{}
	for k, name := range kindNames {
		t[name] = struct{ Frames, Bytes uint64 }{h.traffic.frames[k].Load(), h.traffic.bytes[k].Load()}
	}
	return t
}
