// Package delay estimates how much of its time a caller had spent when it sent its request, and how long a message travels
// one way between the caller and this process. The package does no I/O and reads no clock.
//
// # Usage
//
//	e := delay.New()
//	spent, oneWay := e.Record("search", timeLeft)   // for each request of the route "search"
//	e.Prune(listed)                                 // from time to time
//
// Each request states its caller's time left: how long the caller still waits. A caller's time begins when it asks for the
// address of an entry process, so the longest recent time left on a route is taken for the whole time that its callers wait.
// The caller of a request with a shorter time left had spent the difference on asking for addresses and on connecting. The
// shortest time spent, apart from zero, is the time to open a connection, which is two one-way times.
//
// # Load pattern
//
// Callers that are 3 ms away open a connection for each request. Of a latency goal of 50 ms, 7 to 15 ms are spent when the
// request arrives, and the answer travels for 3 ms more. If this process answers without the parts that are late, it must
// answer earlier by these times; otherwise the answer would be both incomplete and late.
package delay

import "time"

const (
	// requestsPerSet is the number of requests of a route in one set of observations. Estimates use the current and the
	// previous set.
	requestsPerSet = 256
	// maxSpent is the longest time that counts as spent. If more time is missing, the request is a retry by the caller, or the
	// caller waits for a shorter time than the others.
	maxSpent = 100 * time.Millisecond
	// minSpent is the resolution at which callers state their time left.
	minSpent = time.Millisecond
	// maxOneWay is the upper limit of the one-way time, enough to cross a continent.
	maxOneWay = 40 * time.Millisecond
	// minSpentSamples is the number of requests with time spent that is needed to trust the shortest of these times. VMs are
	// busy when a process has just started and serves its first requests. Until there are enough requests, the one-way time is
	// therefore limited to maxOneWayFewSamples, the time between neighbouring regions.
	minSpentSamples     = 12
	maxOneWayFewSamples = 5 * time.Millisecond
)

// observations summarizes up to requestsPerSet requests of a route.
type observations struct {
	requests        int           // number of requests
	spentRequests   int           // requests whose callers had spent at least minSpent
	longestTimeLeft time.Duration // longest time left that a request stated
	shortestSpent   time.Duration // shortest time spent of at least minSpent; zero if there is none
}

// routeObservations holds the previous and the current observations of one route.
type routeObservations struct{ previous, current observations }

// Estimator estimates the times of the callers of one process. Use New. It is not safe for concurrent use.
type Estimator struct{ routes map[string]*routeObservations } // by route name

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{routes: map[string]*routeObservations{}} }

// Record records the time left that a request of a route states. It returns the time that the caller had spent before it sent
// the request, and the one-way time between the caller and this process. A value that isn't known is zero.
func (e *Estimator) Record(route string, timeLeft time.Duration) (spent, oneWay time.Duration) {
	r := e.routes[route]
	if r == nil {
		r = &routeObservations{}
		e.routes[route] = r
	}
	if r.current.requests >= requestsPerSet {
		r.previous, r.current = r.current, observations{}
	}
	r.current.requests++
	r.current.longestTimeLeft = max(r.current.longestTimeLeft, timeLeft)
	spent = max(r.current.longestTimeLeft, r.previous.longestTimeLeft) - timeLeft
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

// oneWay returns the one-way time: half of the shortest time spent, limited to maxOneWay, or to maxOneWayFewSamples while
// fewer than minSpentSamples requests had time spent.
func (r *routeObservations) oneWay() time.Duration {
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
func (e *Estimator) Prune(listed func(route string) bool) {
	for route := range e.routes {
		if !listed(route) {
			delete(e.routes, route)
		}
	}
}
