// Package delay estimates how long a caller had waited when it sent its request, and how long a message travels between the
// caller and this process. The package does no I/O and reads no clock.
//
// # Usage
//
//	b := delay.New()
//	spent, oneWay := b.Record("search", timeLeft)   // for each request of the route
//	b.Prune(listed)                                 // from time to time
//
// Each request states how long its caller still waits. A caller's time begins when it asks for the address of a process, so
// the longest time that callers of a route have stated lately is their whole waiting time. The difference between it and the
// time that a request states was spent on asking for addresses and on connecting. The least such difference above zero is
// the time to open a connection, which is two one-way times.
//
// # Load pattern
//
// Callers that are 3 ms away and open a connection for each request: of a goal of 50 ms, 7 to 15 ms are spent when the
// request arrives, and the answer travels for 3 ms more. An answer without the late parts must leave earlier by these times,
// or it is incomplete and still late.
package delay

import "time"

const (
	// setSize is the number of requests of a route in one set of observations. Estimates use the current and the previous set.
	setSize = 256
	// maxSpent is the longest time that counts as spent. A longer one means that the request is a retry by the caller, or that
	// the caller waits for a shorter time than the others.
	maxSpent = 100 * time.Millisecond
	// minSpent is the resolution at which callers state their time.
	minSpent = time.Millisecond
	// maxOneWay is the upper limit of the one-way time, enough to cross a continent.
	maxOneWay = 40 * time.Millisecond
	// minSpentSamples is the number of requests with time spent from which the shortest time is trusted. The first requests
	// to a process that has just started meet busy VMs, so the one-way time is limited to maxOneWayFewSamples until then,
	// which is the time between neighbouring regions.
	minSpentSamples     = 12
	maxOneWayFewSamples = 5 * time.Millisecond
)

// observations holds what up to setSize requests of a route have shown.
type observations struct {
	requests      int           // requests
	spentRequests int           // requests whose callers had spent at least minSpent
	longestStated time.Duration // longest time that a request stated
	shortestSpent time.Duration // shortest time spent of at least minSpent; zero if there is none
}

// route holds the previous and the current observations of a route.
type route struct{ previous, current observations }

// Estimator estimates the times of the callers of one process. Use New. It is not safe for concurrent use.
type Estimator struct{ routes map[string]*route }

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{routes: map[string]*route{}} }

// Record records a request of a route and the time that its caller still waits. It returns the time that the caller had
// spent before it sent the request, and the one-way time between the caller and this process. A value that isn't known is
// zero.
func (b *Estimator) Record(name string, timeLeft time.Duration) (spent, oneWay time.Duration) {
	r := b.routes[name]
	if r == nil {
		r = &route{}
		b.routes[name] = r
	}
	if r.current.requests >= setSize {
		r.previous, r.current = r.current, observations{}
	}
	r.current.requests++
	r.current.longestStated = max(r.current.longestStated, timeLeft)
	spent = max(r.current.longestStated, r.previous.longestStated) - timeLeft
	if spent > maxSpent {
		spent = 0
	}
	if spent >= minSpent {
		r.current.spentRequests++
	}
	if spent >= minSpent && (r.current.shortestSpent == 0 || spent < r.current.shortestSpent) {
		r.current.shortestSpent = spent
	}
	return spent, r.oneWay()
}

// oneWay returns the one-way time: half of the shortest time spent, within the limits.
func (r *route) oneWay() time.Duration {
	shortest := r.current.shortestSpent
	if r.previous.shortestSpent > 0 && (shortest == 0 || r.previous.shortestSpent < shortest) {
		shortest = r.previous.shortestSpent
	}
	if r.current.spentRequests+r.previous.spentRequests < minSpentSamples {
		return min(shortest/2, maxOneWayFewSamples)
	}
	return min(shortest/2, maxOneWay)
}

// Prune removes the observations of routes for which listed returns false.
func (b *Estimator) Prune(listed func(name string) bool) {
	for name := range b.routes {
		if !listed(name) {
			delete(b.routes, name)
		}
	}
}
