package entry

import (
	"net/http"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/quota"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// limitReportInterval is the time between two log lines on the sends to targets with a rate limit.
const limitReportInterval = time.Second

// recordRateLimit records what a reply says of the rate limit of its target. The request was sent at the given time.
func (e *Entry) recordRateLimit(t *table.Target, sent time.Time, h http.Header) {
	limit, named, err := quota.ParseLimit(h[e.Names.RateLimit])
	if err != nil {
		e.Log.Every("rate limit "+t.ID, time.Minute).Warn("cannot use the rate limit of a target", "target", t.ID, "error", err)
	}
	e.mu.Lock()
	changed := e.permits.RecordReply(t.ID, quota.Statement{Sent: sent, Received: time.Now(), Named: named, Limit: limit})
	e.mu.Unlock()
	if changed {
		e.Log.Every("limit "+t.ID, time.Second).Info("rate limit of a target changed", "target", t.ID, "service", t.Service, "named", named, "limit", limit)
	}
}

// TargetLimit describes a target with a rate limit, for metrics and logs.
type TargetLimit struct {
	Target string  `json:"target"`
	Limit  float64 `json:"limit"` // requests per second, of all processes together
	Sends  uint64  `json:"sends"` // by this process since the limit was named
}

// RateLimits returns the targets that have named a rate limit, in no particular order.
func (e *Entry) RateLimits() []TargetLimit {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []TargetLimit
	for id, n := range e.limitedSends {
		if limit, ok := e.permits.Limit(id); ok {
			out = append(out, TargetLimit{Target: id, Limit: limit, Sends: n})
		}
	}
	return out
}

// countLimitedSend counts a send to a target with a rate limit. The calling code holds mu.
func (e *Entry) countLimitedSend(target string) {
	if _, ok := e.permits.Limit(target); ok {
		e.limitedSends[target]++
	}
}

// reportLimits logs a summary of the sends to targets with a rate limit since the last call, every limitReportInterval.
func (c *control) reportLimits(now time.Time) {
	elapsed := now.Sub(c.lastLimitReport)
	if elapsed < limitReportInterval {
		return
	}
	c.lastLimitReport = now
	limited := c.entry.RateLimits()
	current := make(map[string]uint64, len(limited))
	var sends, mostSends uint64
	var most TargetLimit
	for _, l := range limited {
		current[l.Target] = l.Sends
		n := l.Sends - min(c.reportedSends[l.Target], l.Sends)
		sends += n
		if most.Target == "" || n > mostSends {
			most, mostSends = l, n
		}
	}
	c.reportedSends = current
	if len(limited) > 0 {
		c.entry.Log.Info("sends to targets with a rate limit", "targets", len(limited), "sends", sends, "most_used", most.Target, "limit", most.Limit, "sends_there", mostSends, "in_ms", elapsed.Milliseconds(), "processes", c.roster.Size(now))
	}
}
