package peer

import (
	"sync/atomic"
)

// Kinds of frames, for counting.
const (
	kindOther = iota
	kindPing
	kindCrew
	kindPauses
	kindSync
	kindWork
	kindCrash
	numKinds
)

var kindNames = [numKinds]string{"other", "ping", "crew", "pauses", "sync", "work", "crash"}

func kindOf(f Frame) int {
	switch {
	case f.Ping != nil || f.Pong != nil:
		return kindPing
	case f.Crew != nil:
		return kindCrew
	case f.Pauses != nil:
		return kindPauses
	case f.Sync != nil || f.SyncReply != nil:
		return kindSync
	case f.Work != nil || f.WorkReply != nil || f.Order != nil || f.OrderReply != nil:
		return kindWork
	case f.Crash != nil || f.Success != nil || f.Survived != nil || f.Quarantine != nil:
		return kindCrash
	}
	return kindOther
}

// trafficCounters count what a hub has written.
type trafficCounters struct {
	frames, bytes [numKinds]atomic.Uint64
}

// Traffic is what a hub has written, by kind of frame: crew, ping, pauses, sync, work, crash or other.
type Traffic map[string]struct{ Frames, Bytes uint64 }

// Traffic returns the totals since the start.
func (h *Hub) Traffic() Traffic {
	t := Traffic{}
	for k, name := range kindNames {
		t[name] = struct{ Frames, Bytes uint64 }{h.traffic.frames[k].Load(), h.traffic.bytes[k].Load()}
	}
	return t
}
