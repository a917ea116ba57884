// Package quota keeps a fleet of processes within the rate limits that targets name in their replies. A limit is the number of
// requests per second that a target takes from all processes together. The package does no I/O and reads no clock.
//
// # Usage
//
//	limit, named, err := quota.ParseLimit(header.Values("Server-Limit"))
//	client.RecordReply("target-1", quota.Statement{Sent: sent, Received: now, Named: named, Limit: limit})
//	if client.Blocked(now, "target-1") { client.RecordDenied(now, "target-1") } // choose another target
//	client.RecordSend(now, "target-1")
//	for _, r := range client.DueRequests(now) { ... }     // send each to quota.Allocator(r.Target, processes)
//	grant := pools.Request(now, "process-2", r)           // at the allocator of the target
//	client.RecordGrant(now, grant)
//
// # Permits
//
// For each target with a limit, one process of the fleet is the allocator: all processes that know the same members agree on it.
// It issues permits at the rate of the limit, and every process sends a request to the target only with a permit. A permit expires
// after PermitLifetime. In any window of length w, the target thus gets at most limit x (w + PermitLifetime + burstTime) +
// burstPermits requests, whatever the number of processes and however the demand is spread over them.
//
// A limit holds until a newer reply of the same target names another one or none. Replies may arrive out of order.
//
// # Disagreement
//
// While an allocator doesn't answer, each process sends at FallbackFraction of an equal share of the limit. A process that has
// become the allocator of a target begins to issue permits after TakeoverDelay, so that the permits of its predecessor have
// expired. If some processes reach an allocator and others don't, the target gets at most 1 + FallbackFraction times its limit.
//
// # Load pattern
//
// Processes use the same target at rates that differ by more than ten times, since each prefers other targets, and the rates
// change within a second. Equal shares would leave most of the limit unused, or would have to add up to several times the limit.
// If the demand exceeds a limit, permits are divided in proportion to the demand of each process, so that callers are served alike
// wherever they are connected. In a large fleet a share is less than one request a second: permits are whole, so that the shares
// of idle processes aren't lost.
package quota

import "time"

const (
	// PermitLifetime is how long a permit may be used.
	PermitLifetime = 700 * time.Millisecond
	// FallbackFraction is the fraction of the limit that all processes together use if their allocators don't answer.
	FallbackFraction = 0.4
	// TakeoverDelay is how long a new allocator waits until it issues permits.
	TakeoverDelay = PermitLifetime
	// MinRate is the lowest rate at which permits are issued, in requests per second. Only a request shows that a limit is over.
	MinRate = 0.25
)

const (
	// Permits that nobody has requested are kept up to burstTime x limit + burstPermits, since requests come at irregular times.
	burstTime       = 500 * time.Millisecond
	burstPermits    = 2
	answerTimeout   = 250 * time.Millisecond // an allocator that takes longer counts as unreachable
	prefetchTime    = 300 * time.Millisecond // permits are requested for the expected sends of this time
	minUseChance    = 0.9                    // least probability with which a permit that is requested in advance must be used
	demandDecay     = 2 * time.Second        // time constant of the demand of a process
	demandLifetime  = 2 * time.Second        // an allocator forgets the demand of a process that requests nothing for this long
	poolLifetime    = 10 * time.Second       // an allocator forgets a target for which nothing is requested for this long
	maxAskDelay     = time.Second            // longest time until a process requests permits again
	maxWait         = time.Hour              // bound of Grant.Wait
	maxPromise      = 10 * time.Second       // a caller that is told a longer time isn't expected back
	minWait         = 10 * time.Millisecond  // shortest time until a process that got fewer permits than it requested asks again
	minDemand       = 0.2                    // requests per second that a process which asks for permits has at least
	maxWantedPerAsk = 10_000
)

// Request asks for permits. A Request of a peer may hold any values.
type Request struct {
	Target string
	Limit  float64 // of the target, as the process knows it
	Demand float64 // requests per second that the process would send to the target without a limit
	Wanted int     // permits
}

// Grant answers a Request.
type Grant struct {
	Target  string
	Permits int
	Wait    time.Duration // time until the next permit, if there are fewer than requested
	Rate    float64       // permits per second that the process can expect at its present demand
	Ready   bool          // false if the process issues no permits for the target at present
}
