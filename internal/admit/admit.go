// Package admit holds the queue of work that waits at a dispatcher for one target, and refuses work that can't be served
// before its deadline.
//
// # Usage
//
//	q := admit.New[*work](admit.Config{Length: 64, Slots: 2})
//	refused := q.Offer(now, admit.Item[*work]{Priority: 0, Deadline: d, Value: w})
//	item, expired, ok := q.Next(now)      // when another item may start
//	q.ObserveLatency(now, latency)        // after each reply
//	q.SetSlots(share)                     // when this dispatcher may run another number of items
//	after := q.RetryAfter(now, item.Priority)
//
// Items are ordered by priority (0 first), then by deadline. An item is refused as soon as the time until its deadline
// is no longer than the expected wait at its position plus one service time. Offer and Next check this for all items,
// because an item can be overtaken by items of higher priority or earlier deadline. If the queue is full, the item that
// would be served last is refused. A refused item has not run.
//
// A priority is also called a class; a higher class is one with a lower number, which is served first.
package admit

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// Config holds the bounds of a queue. A Length of zero takes its default.
type Config struct {
	Length int // largest number of waiting items
	Slots  int // number of items that this dispatcher may have running; 0 counts as 1
}

const (
	// DefaultLength bounds the wait of the last item to about 32 service times if two items run at a time.
	DefaultLength = 64
	// MinRetryAfter is the shortest time after which a refused caller is told to retry.
	MinRetryAfter = 10 * time.Millisecond
	// MaxRetryAfter is the longest time after which a refused caller is told to retry.
	MaxRetryAfter = 5 * time.Second
)

const (
	// latencyWeight is the weight of a new latency in the moving average of the service time.
	latencyWeight = 1.0 / 8
	// maxLatencyFactor is the multiple of the expected service time to which a single latency is cut. One very slow reply
	// then causes no refusals, while a lasting change still doubles the expected service time within about three
	// replies.
	maxLatencyFactor = 4
	// halvingPeriod is the time without a reply after which a measured service time is halved, repeatedly. Otherwise a
	// slow phase could make the queue refuse everything for ever, because refused work yields no new latency.
	halvingPeriod = time.Second
	// rateWindow is the time constant of the exponential decay with which arrivals per class are counted.
	rateWindow = time.Second
	// minRateSpan is the shortest time by which the arrivals are divided to get their rate, so that the first arrivals
	// after the start don't appear as a high rate. With 500 ms, an overload in the first second was noticed so late
	// that 0.4% of the items of a lower class were refused after more than 100 ms.
	minRateSpan = 100 * time.Millisecond
	// countedClasses is the number of classes whose arrivals are counted separately. All lower classes are counted
	// with the last one.
	countedClasses = 16
	// minFreeFraction is the smallest fraction of the slots that higher classes are assumed to leave free.
	minFreeFraction = 0.02
)

// Item is one unit of waiting work.
type Item[T any] struct {
	Priority int       // 0 is served first
	Deadline time.Time // the item is useless if it isn't finished by then
	Value    T
}

// Queue holds the items that wait for one target. It isn't safe for concurrent use.
type Queue[T any] struct {
	cfg           Config
	serviceTime   time.Duration // expected service time
	measuredAt    time.Time     // when serviceTime was last measured; zero if it was set by SetServiceTime
	items         []Item[T]     // in the order in which they are served
	arrivalCounts arrivalCounts
}

// New returns an empty queue.
func New[T any](cfg Config) *Queue[T] {
	cfg.Length = cmp.Or(cfg.Length, DefaultLength)
	return &Queue[T]{cfg: cfg}
}

// SetServiceTime sets the expected service time of one item. The value stays in force until the next call of
// ObserveLatency.
func (q *Queue[T]) SetServiceTime(service time.Duration) {
	q.serviceTime = service
	q.measuredAt = time.Time{}
}

// ObserveLatency adds the latency of a served item to the moving average of the service time.
func (q *Queue[T]) ObserveLatency(now time.Time, latency time.Duration) {
	if latency <= 0 {
		return
	}
	current := q.ServiceTime(now)
	q.measuredAt = now
	if current == 0 {
		q.serviceTime = latency
		return
	}
	latency = min(latency, maxLatencyFactor*current)
	q.serviceTime = current + time.Duration(latencyWeight*float64(latency-current))
}

// ServiceTime returns the expected service time of one item, or 0 if none is known.
func (q *Queue[T]) ServiceTime(now time.Time) time.Duration {
	if q.measuredAt.IsZero() {
		return q.serviceTime
	}
	periods := min(max(now.Sub(q.measuredAt)/halvingPeriod, 0), 62)
	return q.serviceTime >> periods
}

// SetSlots sets the number of items that this dispatcher may have running.
func (q *Queue[T]) SetSlots(slots int) { q.cfg.Slots = slots }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Offer adds an item and returns the refused items: those that can no longer be served before their deadline, and the
// last ones of a queue that is too long. The offered item may be among them.
func (q *Queue[T]) Offer(now time.Time, item Item[T]) []Item[T] {
	refused := q.removeLate(now)
	i := sort.Search(len(q.items), func(i int) bool { return servedBefore(item, q.items[i]) })
	if q.isTooLate(now, item, i) {
		return append(refused, item)
	}
	q.items = slices.Insert(q.items, i, item)
	// An item that is refused at once isn't counted as an arrival, because it takes no service time from lower classes.
	q.arrivalCounts.add(now, item.Priority)
	refused = append(refused, q.removeLate(now)...)
	return append(refused, q.Truncate(q.cfg.Length)...)
}

// servedBefore reports whether a is served before b.
func servedBefore[T any](a, b Item[T]) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Deadline.Before(b.Deadline)
}

// Next removes and returns the item to serve now; ok is false if there is none. It also removes the items that can no
// longer be served before their deadline, and returns them as expired.
func (q *Queue[T]) Next(now time.Time) (item Item[T], expired []Item[T], ok bool) {
	expired = q.removeLate(now)
	if len(q.items) == 0 {
		return item, expired, false
	}
	item = q.items[0]
	q.items[0] = Item[T]{}
	q.items = q.items[1:]
	return item, expired, true
}

// removeLate removes and returns the items that can't be served before their deadline at their position.
func (q *Queue[T]) removeLate(now time.Time) []Item[T] {
	position := 0
	return q.removeIf(func(item Item[T]) bool {
		if q.isTooLate(now, item, position) {
			return true
		}
		position++
		return false
	})
}

// isTooLate reports whether an item at a position can't be served before its deadline.
func (q *Queue[T]) isTooLate(now time.Time, item Item[T], position int) bool {
	service := q.ServiceTime(now)
	return item.Deadline.Sub(now) <= q.expectedWait(now, item.Priority, position, service)+service
}

// expectedWait returns the expected wait of an item at a position. Items of higher classes that arrive later overtake the
// item, so the wait grows with their rate of arrival. Otherwise an item of a lower class would be held until its deadline
// is near, and only then be refused.
func (q *Queue[T]) expectedWait(now time.Time, priority, position int, service time.Duration) time.Duration {
	if position == 0 || service == 0 {
		return 0
	}
	slots := max(q.cfg.Slots, 1)
	higherClassLoad := q.arrivalCounts.rateAbove(now, priority) * service.Seconds() / float64(slots)
	wait := float64(position) / float64(slots) * float64(service) / max(1-higherClassLoad, minFreeFraction)
	return time.Duration(min(wait, math.MaxInt64/4))
}

// RetryAfter returns the time after which an item of the priority that was refused now is likely to be accepted.
func (q *Queue[T]) RetryAfter(now time.Time, priority int) time.Duration {
	service := q.ServiceTime(now)
	ahead := sort.Search(len(q.items), func(i int) bool { return q.items[i].Priority > priority })
	wait := q.expectedWait(now, priority, ahead, service) + service
	return min(max(wait, RetryAfter(ahead, q.cfg.Slots, service)), MaxRetryAfter)
}

// RetryAfter returns the time in which the slots finish the items that are ahead and one more, if each slot serves one
// item per service time. The result is at least MinRetryAfter and at most MaxRetryAfter.
func RetryAfter(ahead, slots int, service time.Duration) time.Duration {
	rounds := float64(max(ahead, 0))/float64(max(slots, 1)) + 1
	wait := min(rounds*float64(service), float64(MaxRetryAfter))
	return max(time.Duration(wait), MinRetryAfter)
}

// Truncate removes and returns all items except the first ones, as many as keep says. A negative keep counts as 0.
func (q *Queue[T]) Truncate(keep int) []Item[T] {
	keep = max(keep, 0)
	if len(q.items) <= keep {
		return nil
	}
	removed := append([]Item[T](nil), q.items[keep:]...)
	clear(q.items[keep:])
	q.items = q.items[:keep]
	return removed
}

// RemoveFunc removes and returns the items for whose value drop returns true.
func (q *Queue[T]) RemoveFunc(drop func(T) bool) []Item[T] {
	return q.removeIf(func(item Item[T]) bool { return drop(item.Value) })
}

// removeIf removes and returns the items for which drop returns true.
func (q *Queue[T]) removeIf(drop func(Item[T]) bool) []Item[T] {
	var removed []Item[T]
	kept := q.items[:0]
	for _, item := range q.items {
		if drop(item) {
			removed = append(removed, item)
		} else {
			kept = append(kept, item)
		}
	}
	// Otherwise the unused end of the array would keep the values of removed items in memory.
	clear(q.items[len(kept):])
	q.items = kept
	return removed
}

// arrivalCounts holds the number of accepted items per class. The numbers decay exponentially with rateWindow.
type arrivalCounts struct {
	byClass     [countedClasses]float64
	spanSeconds float64   // seconds to which byClass refers; approaches rateWindow
	decayedAt   time.Time // time of the last decay
}

// add counts one item.
func (a *arrivalCounts) add(now time.Time, priority int) {
	a.decay(now)
	a.byClass[min(max(priority, 0), countedClasses-1)]++
}

// decay reduces the numbers by the exponential decay since the last call.
func (a *arrivalCounts) decay(now time.Time) {
	elapsed := now.Sub(a.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(rateWindow))
	for i := range a.byClass {
		a.byClass[i] *= factor
	}
	if !a.decayedAt.IsZero() {
		a.spanSeconds = a.spanSeconds*factor + (1-factor)*rateWindow.Seconds()
	}
	a.decayedAt = now
}

// rateAbove returns the arrivals per second of all classes that are served before the class of the priority.
func (a *arrivalCounts) rateAbove(now time.Time, priority int) float64 {
	a.decay(now)
	sum := 0.0
	for _, n := range a.byClass[:min(max(priority, 0), countedClasses-1)] {
		sum += n
	}
	return sum / max(a.spanSeconds, minRateSpan.Seconds())
}
