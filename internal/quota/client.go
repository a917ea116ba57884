package quota

import (
	"math"
	"slices"
	"time"
)

// Client holds the permits of one process. Use NewClient. It is not safe for concurrent use.
type Client struct {
	limits  Limits
	targets map[string]*clientTarget // targets with a limit
	share   float64                  // equal share of a limit, for the fallback, 0..1
}

// clientTarget holds the permits and the demand of a process for one target.
type clientTarget struct {
	expiries     []time.Time // of the permits, in order
	demand       eventRate   // sends, and sends that were denied
	unansweredAt time.Time   // time of the first request for permits that has not been answered; zero: none
	askedAt      time.Time   // time of the last request for permits
	nextAsk      time.Time   // no permits are requested before
	nextPermit   time.Time   // when the allocator expects to have a permit
	lastPromise  time.Time   // latest time that Promise has told a caller
	perSecond    float64     // permits per second that can be expected; 0: unknown
	fallback     float64     // requests that may be sent without a permit
	fallbackAt   time.Time   // time to which fallback applies; zero while the allocator answers
}

// eventRate is a moving average of the number of events per second.
type eventRate struct {
	value float64
	at    time.Time
}

// perSecond returns the average at the given time.
func (r *eventRate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/demandDecay.Seconds())
}

// add records n events.
func (r *eventRate) add(now time.Time, n int) {
	r.value = r.perSecond(now) + float64(n)/demandDecay.Seconds()
	r.at = now
}

// NewClient returns a Client that knows of no limits.
func NewClient() *Client { return &Client{targets: map[string]*clientTarget{}} }

// SetShare sets the equal share of a limit that this process may use while an allocator doesn't answer, 0..1.
func (c *Client) SetShare(share float64) { c.share = share }

// RecordReply records what a reply says of the limit of its target. It reports whether the limit has changed.
func (c *Client) RecordReply(target string, s Statement) (changed bool) {
	if !c.limits.Record(target, s) {
		return false
	}
	if !s.Named {
		delete(c.targets, target)
	} else if c.targets[target] == nil {
		c.targets[target] = &clientTarget{}
	}
	return true
}

// Limit returns the limit of a target in requests per second, and false if it has none.
func (c *Client) Limit(target string) (float64, bool) { return c.limits.Limit(target) }

// Targets returns the sorted IDs of the targets with a limit.
func (c *Client) Targets() []string {
	out := make([]string, 0, len(c.targets))
	for id := range c.targets {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// Forget deletes what is known of a target, because it has restarted.
func (c *Client) Forget(target string) {
	c.limits.Forget(target)
	delete(c.targets, target)
}

// Prune deletes the targets that are no longer listed.
func (c *Client) Prune(isListed func(target string) bool) {
	c.limits.Prune(isListed)
	for id := range c.targets {
		if !isListed(id) {
			delete(c.targets, id)
		}
	}
}

// Blocked reports whether a target has a limit and this process has no permit for it.
func (c *Client) Blocked(now time.Time, target string) bool {
	t := c.targets[target]
	return t != nil && t.held(now) == 0 && t.fallbackAllowed(now, c.fallbackRate(target)) < 1
}

// fallbackRate returns the rate at which this process may send to a target whose allocator doesn't answer.
func (c *Client) fallbackRate(target string) float64 {
	limit, _ := c.limits.Limit(target)
	return max(limit, MinRate) * FallbackFraction * c.share
}

// held drops the expired permits, and returns the number of the others.
func (t *clientTarget) held(now time.Time) int {
	for len(t.expiries) > 0 && !now.Before(t.expiries[0]) {
		t.expiries = t.expiries[1:]
	}
	return len(t.expiries)
}

// fallbackAllowed returns how many requests may be sent without a permit: 0 while the allocator answers.
func (t *clientTarget) fallbackAllowed(now time.Time, perSecond float64) float64 {
	if t.unansweredAt.IsZero() || now.Sub(t.unansweredAt) < answerTimeout {
		t.fallback, t.fallbackAt = 0, time.Time{}
		return 0
	}
	if t.fallbackAt.IsZero() {
		t.fallbackAt = t.unansweredAt.Add(answerTimeout)
	}
	t.fallback = min(t.fallback+perSecond*now.Sub(t.fallbackAt).Seconds(), max(1, perSecond))
	t.fallbackAt = now
	return t.fallback
}

// RecordSend records a send to a target, and uses up a permit if the target has a limit.
func (c *Client) RecordSend(now time.Time, target string) {
	t := c.targets[target]
	if t == nil {
		return
	}
	t.demand.add(now, 1)
	if t.held(now) > 0 {
		t.expiries = t.expiries[1:]
		return
	}
	t.fallback--
}

// RecordDenied records that a send to a target would have been the best choice, but for the lack of a permit.
func (c *Client) RecordDenied(now time.Time, target string) {
	if t := c.targets[target]; t != nil {
		t.demand.add(now, 1)
	}
}

// CanAsk reports whether a request for permits of a target is worthwhile: none is unanswered, and the allocator has not stated a
// later time at which permits can be expected.
func (c *Client) CanAsk(now time.Time, target string) bool {
	t := c.targets[target]
	return t != nil && !now.Before(t.nextAsk) && (t.unansweredAt.IsZero() || now.Sub(t.askedAt) >= answerTimeout)
}

// DueRequests returns the requests for the permits that this process is expected to need soon.
func (c *Client) DueRequests(now time.Time) (out []Request) {
	for _, id := range c.Targets() {
		t := c.targets[id]
		if wanted := t.expectedSends(now) - t.held(now); wanted > 0 && c.CanAsk(now, id) {
			out = append(out, c.request(now, id, wanted))
		}
	}
	return out
}

// expectedSends returns for how many sends permits are requested in advance: none if a permit would probably expire unused.
func (t *clientTarget) expectedSends(now time.Time) int {
	demand := t.demand.perSecond(now)
	if 1-math.Exp(-demand*PermitLifetime.Seconds()) < minUseChance {
		return 0
	}
	return int(math.Ceil(demand * prefetchTime.Seconds()))
}

// RequestNow returns a request for permits of a target, for a request that waits for one.
func (c *Client) RequestNow(now time.Time, target string) Request {
	return c.request(now, target, max(c.targets[target].expectedSends(now), 1))
}

// request returns a request for permits and records that it is unanswered.
func (c *Client) request(now time.Time, target string, wanted int) Request {
	t := c.targets[target]
	if t.unansweredAt.IsZero() {
		t.unansweredAt = now
	}
	t.askedAt = now
	limit, _ := c.limits.Limit(target)
	return Request{Target: target, Limit: limit, Demand: max(t.demand.perSecond(now), minDemand), Wanted: min(wanted, maxWantedPerAsk)}
}

// RecordGrant records the answer to a request for permits.
func (c *Client) RecordGrant(now time.Time, g Grant) {
	t := c.targets[g.Target]
	if t == nil {
		return // the limit is over
	}
	t.nextAsk = now
	if g.Wait > 0 {
		t.nextAsk = now.Add(min(max(g.Wait, minWait), maxAskDelay))
		t.nextPermit = now.Add(min(g.Wait, maxWait))
	}
	if !g.Ready {
		return
	}
	t.unansweredAt = time.Time{}
	for range min(max(g.Permits, 0), maxWantedPerAsk) {
		t.expiries = append(t.expiries, t.askedAt.Add(PermitLifetime)) // the allocator issued it later than that
	}
	if g.Rate > 0 {
		t.perSecond = g.Rate
	}
}

// Wait returns the time until this process can expect a permit for a target.
func (c *Client) Wait(now time.Time, target string) time.Duration {
	t := c.targets[target]
	switch {
	case t == nil:
		return 0
	case t.nextPermit.After(now):
		return t.nextPermit.Sub(now)
	}
	return t.interval(c.fallbackRate(target))
}

// interval returns the time between two permits.
func (t *clientTarget) interval(fallbackRate float64) time.Duration {
	perSecond := t.perSecond
	if perSecond <= 0 {
		perSecond = max(fallbackRate, 1/maxWait.Seconds())
	}
	return min(time.Duration(float64(time.Second)/perSecond), maxWait)
}

// Promise returns the time after which a caller that is refused for the lack of permits should come back. Each call gets the time
// of another permit, so that callers come back at the rate at which they can be served.
func (c *Client) Promise(now time.Time, targets []string) time.Duration {
	var best *clientTarget
	wait := time.Duration(math.MaxInt64)
	for _, id := range targets {
		t := c.targets[id]
		if t == nil {
			continue
		}
		next := c.Wait(now, id)
		if after := t.lastPromise.Add(t.interval(c.fallbackRate(id))).Sub(now); !t.lastPromise.IsZero() && after > next {
			next = after
		}
		if next < wait {
			best, wait = t, next
		}
	}
	if best == nil {
		return 0
	}
	if wait <= maxPromise {
		best.lastPromise = now.Add(wait)
	}
	return wait
}

// HasTargets reports whether any target has a limit.
func (c *Client) HasTargets() bool { return len(c.targets) > 0 }

// IsWaiting reports whether the answer to a request for permits of a target may arrive soon.
func (c *Client) IsWaiting(now time.Time, target string) bool {
	t := c.targets[target]
	return t != nil && !t.unansweredAt.IsZero() && now.Sub(t.unansweredAt) < answerTimeout
}
