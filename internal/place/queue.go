package place

import (
	"math"
	"time"
)

// Load pattern: requests queue at the targets of an overloaded shard. A reply that has waited for five others looks like that of
// a target which is six times slower, and remains in the averages when the queue is gone. A plan that takes such a shard for slow
// leaves it out although its replies would be in time, and can't tell whether fewer requests would help.
//
// The load that a target reports with a reply says how many requests are there for each slot. A send has therefore queued for
// about as many service times, and only its own service time counts for the slowdown of the target and the mean of the route.
const (
	// queueHalfLife is several times the interval between two replies of a busy target to one of the processes that use it.
	queueHalfLife = 800 * time.Millisecond
	// A reply that has met a shorter queue counts more than one that has met a longer one: several replies that were held up by a
	// pause of the target look like a queue, but the next one doesn't.
	queueRiseDecay = 0.6 // weight of the past in the queue time of a target, if it rises
	queueFallDecay = 0.2 // if it falls
)

// Estimate is the predicted time of a send.
type Estimate struct {
	Time  time.Duration // until the reply, including Queue
	Queue time.Duration // part of Time for which the request waits at the target behind other requests
}

// serviceTimeOf returns the part of the latency of a reply that is not queue time, given the load that the reply reports.
func serviceTimeOf(latency, load float64) float64 { return latency / max(load, 1) }

// loadAt returns the load that the target has reported just now, and 0 if the last report is older.
func (s *targetState) loadAt(now time.Time) float64 {
	if !s.loadReportedAt.Equal(now) {
		return 0
	}
	return s.reportedLoad
}

// recordQueueTime records for how long the send of the last reply has queued, in seconds.
func (s *targetState) recordQueueTime(seconds float64) {
	decay := queueRiseDecay
	if seconds < s.queueTime {
		decay = queueFallDecay
	}
	s.queueTime = decay*s.queueTime + (1-decay)*seconds
	s.queueTimeAt = s.lastReply
}

// expectedQueueTime returns for how long a send is expected to queue at the target, in seconds. The queue that the last replies
// have met drains as time passes, and grows with the sends since.
func (s *targetState) expectedQueueTime(now time.Time, serviceTime float64) float64 {
	left := s.queueTime * math.Exp2(-now.Sub(s.queueTimeAt).Seconds()/queueHalfLife.Seconds())
	newSends := 0
	for _, began := range s.inFlight {
		if began.After(s.queueTimeAt) {
			newSends++
		}
	}
	return left + serviceTime*max(float64(newSends)/float64(s.slots)-1, 0)
}
