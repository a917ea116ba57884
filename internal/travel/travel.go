// Package travel estimates how long a caller had waited when it sent its request, and how long a message travels between the
// caller and this process. The package does no I/O and reads no clock.
//
// # Usage
//
//	b := travel.New()
//	spent, way := b.Arrived("search", patience)   // for each request of the route
//	b.Keep(listed)                                // from time to time
//
// Each request states how long its caller still waits. A caller's time begins when it asks for the address of a process, so the
// longest time that callers of a route have stated lately is their whole waiting time. The difference between it and the time
// that a request states was spent on asking for addresses and on connecting. The least such difference above zero is the time to
// open a connection, which is two one-way times.
//
// # Load pattern
//
// Callers that are 3 ms away and open a connection for each request: of a goal of 50 ms, 7 to 15 ms are spent when the request
// arrives, and the answer travels for 3 ms more. An answer without the late parts must leave earlier by these times, or it is
// incomplete and still late.
package travel

import "time"

const (
	// window is the number of requests of a route in one set of observations. Estimates use the current and the previous set.
	window = 256
	// mostSpent is the longest time that counts as spent. A longer one means that the request is a retry by the caller, or that
	// the caller waits for a shorter time than the others.
	mostSpent = 100 * time.Millisecond
	// leastSpent is the resolution at which callers state their time.
	leastSpent = time.Millisecond
	// mostWay is the upper limit of the one-way time, enough to cross a continent.
	mostWay = 40 * time.Millisecond
	// enoughSpent is the number of requests with time spent from which the least time is trusted. The first requests to a process
	// that has just started meet busy VMs, so the one-way time is limited to fewWay until then, which is the time between
	// neighbouring regions.
	enoughSpent = 12
	fewWay      = 5 * time.Millisecond
)

// seen holds the observations from up to window requests of a route.
type seen struct {
	n     int           // requests
	spent int           // requests whose callers had spent at least leastSpent
	full  time.Duration // longest time that a request stated
	least time.Duration // shortest time spent of at least leastSpent; zero if there is none
}

// route holds the previous and the current observations of a route.
type route struct{ last, now seen }

// Board estimates the times of the callers of one process. Use New. It is not safe for concurrent use.
type Board struct{ routes map[string]*route }

// New returns a board without observations.
func New() *Board { return &Board{routes: map[string]*route{}} }

// Arrived records a request of a route and the time that its caller still waits. It returns the time that the caller had spent
// before it sent the request, and the one-way time between the caller and this process. A value that isn't known is zero.
func (b *Board) Arrived(name string, patience time.Duration) (spent, way time.Duration) {
	r := b.routes[name]
	if r == nil {
		r = &route{}
		b.routes[name] = r
	}
	if r.now.n >= window {
		r.last, r.now = r.now, seen{}
	}
	r.now.n++
	r.now.full = max(r.now.full, patience)
	spent = max(r.now.full, r.last.full) - patience
	if spent > mostSpent {
		spent = 0
	}
	if spent >= leastSpent {
		r.now.spent++
	}
	if spent >= leastSpent && (r.now.least == 0 || spent < r.now.least) {
		r.now.least = spent
	}
	return spent, r.way()
}

// way returns the one-way time: half of the shortest time spent, within the limits.
func (r *route) way() time.Duration {
	least := r.now.least
	if r.last.least > 0 && (least == 0 || r.last.least < least) {
		least = r.last.least
	}
	if r.now.spent+r.last.spent < enoughSpent {
		return min(least/2, fewWay)
	}
	return min(least/2, mostWay)
}

// Keep removes the observations of routes for which listed returns false.
func (b *Board) Keep(listed func(name string) bool) {
	for name := range b.routes {
		if !listed(name) {
			delete(b.routes, name)
		}
	}
}
