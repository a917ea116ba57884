// Package travel estimates how long a caller has waited before its request arrives, and how long an answer travels. It is
// pure.
//
// # Usage
//
//	b := travel.New()
//	spent, way := b.Arrived("search", patience)   // for each request of the route
//	b.Keep(listed)                                // now and then
//
// Callers state how long they still wait, and begin to count when they look for an address. What is missing from the
// longest time that callers of a route have stated lately was spent on asking for addresses and on connecting; the least
// that is missing, above zero, is a connection, which takes two ways.
//
// # Load pattern
//
// Callers 3 ms away that connect anew for each request: of a goal of 50 ms, 7 to 15 are spent when the request arrives, and
// the answer takes 3 more. An answer with the parts that there are must leave so much earlier, or it is late for nothing.
package travel

import "time"

const (
	// window is the number of requests after which what was learnt is renewed.
	window = 256
	// mostSpent bounds what counts as spent. More is an attempt after another one, or a caller with a time of its own.
	mostSpent = 100 * time.Millisecond
	// leastSpent is the step in which callers state their time.
	leastSpent = time.Millisecond
	// mostWay bounds the way: of a continent.
	mostWay = 40 * time.Millisecond
	// enoughSpent requests show the least time. The first few of a process that has just started meet busy VMs; what they
	// show is bounded by fewWay, the way between regions that are near each other.
	enoughSpent = 12
	fewWay      = 5 * time.Millisecond
)

// seen is what a number of requests of a route have shown.
type seen struct {
	n     int
	spent int           // requests whose callers had spent some time
	full  time.Duration // longest time stated
	least time.Duration // least that was spent, above zero; zero if nothing was
}

type route struct{ last, now seen }

// Board is the state of one process. Use New. It is not safe for concurrent use.
type Board struct{ routes map[string]*route }

// New returns a board without requests.
func New() *Board { return &Board{routes: map[string]*route{}} }

// Arrived takes the time that the caller of a request still waits. It returns the time that the caller had spent before it
// sent the request, and the time of one way; zero for what isn't known.
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

// way returns half of the least time that was spent.
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

// Keep forgets routes that aren't listed any more.
func (b *Board) Keep(listed func(name string) bool) {
	for name := range b.routes {
		if !listed(name) {
			delete(b.routes, name)
		}
	}
}
