// Package budget limits retries and hedges: a Budget is one process's share of the retry budget of the whole fleet. The first
// attempt of a request is its first send to a service. Every further send of the request to the service is a retry, if an
// earlier attempt has failed, or a hedge, if it is only late.
//
// # Usage
//
//	b := budget.New(budget.Config{Ratio: 0.2, Reserve: 56, Window: 10 * time.Second})
//	b.SetShare(1.0 / 8)                      // this process's share of the reserve
//	b.RecordFirstAttempt(now, "desk-01")     // the first attempt of a request at a service
//	if b.Take(now, "desk-01", false) { ... } // a hedge may be sent to the service
//
// The budget of a service is Ratio times the number of first attempts in the sliding window, plus this process's share of
// Reserve. The fleet keeps to the ratio if each process does, but the reserve must be divided among the processes
// (subset.ReserveShare). Each process leaves the fraction UnusedFraction of its budget unused, because its window, which moves
// in steps, differs from other windows of the same length.
//
// # Load pattern
//
// When some targets crash while others are slow, hedges of late attempts could use up the budget that retries of failed
// attempts need. The last part of the budget, the fraction FailureFraction, may therefore be used only by retries of failed
// attempts.
package budget

import (
	"cmp"
	"time"
)

// Config configures a Budget. Zero fields take the defaults.
type Config struct {
	Ratio           float64       // retries and hedges allowed for each first attempt
	Reserve         float64       // retries and hedges allowed to the whole fleet in a window, in addition to those allowed by Ratio
	Window          time.Duration // length of the sliding window in which attempts are counted
	UnusedFraction  float64       // fraction of the budget that stays unused, 0..1
	FailureFraction float64       // fraction of the budget that only retries of failed attempts may use, 0..1
}

// Defaults of Config.
const (
	DefaultWindow = 10 * time.Second
	// DefaultUnusedFraction covers the resolution of the window, which is one step, and requests whose first attempt has left
	// the window before the retry is sent.
	DefaultUnusedFraction = 0.15
	// DefaultFailureFraction covers one retry for every first attempt that is sent within a second to a third of the targets,
	// at a Ratio of one in five.
	DefaultFailureFraction = 0.3
)

// windowSteps is the number of steps into which a window is divided. Attempts are counted by step.
const windowSteps = 20

// windowCounts counts the attempts at one service in the steps of the window, as a ring indexed by step number modulo
// windowSteps.
type windowCounts struct {
	firstAttempts, retries [windowSteps]float64 // retries include hedges
	newestStep             int64                // number of the newest step
}

// Budget is the retry budget of one process. Use New. It is not safe for concurrent use.
type Budget struct {
	cfg    Config
	share  float64                  // this process's share of the reserve, 0..1
	counts map[string]*windowCounts // by service
	epoch  time.Time                // time of the first use; start of step 0
}

// New returns a budget without any recorded attempts.
func New(cfg Config) *Budget {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.UnusedFraction = cmp.Or(cfg.UnusedFraction, DefaultUnusedFraction)
	cfg.FailureFraction = cmp.Or(cfg.FailureFraction, DefaultFailureFraction)
	return &Budget{cfg: cfg, share: 1, counts: map[string]*windowCounts{}}
}

// SetShare sets this process's share of the reserve, 0..1.
func (b *Budget) SetShare(share float64) { b.share = share }

// countsAt clears the steps of a service that have left the window by now, and returns the counts of the service.
func (b *Budget) countsAt(now time.Time, service string) *windowCounts {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	c := b.counts[service]
	if c == nil {
		c = &windowCounts{}
		b.counts[service] = c
	}
	step := int64(now.Sub(b.epoch) / (b.cfg.Window / windowSteps))
	for ; c.newestStep < step && step-c.newestStep <= windowSteps; c.newestStep++ {
		c.firstAttempts[(c.newestStep+1)%windowSteps] = 0
		c.retries[(c.newestStep+1)%windowSteps] = 0
	}
	if c.newestStep < step {
		*c = windowCounts{newestStep: step}
	}
	return c
}

// RecordFirstAttempt records the first attempt of a request at a service.
func (b *Budget) RecordFirstAttempt(now time.Time, service string) {
	c := b.countsAt(now, service)
	c.firstAttempts[c.newestStep%windowSteps]++
}

// HasRecentRequests reports whether a first attempt at the service was recorded in the window.
func (b *Budget) HasRecentRequests(now time.Time, service string) bool {
	if b.counts[service] == nil {
		return false
	}
	c := b.countsAt(now, service)
	for _, n := range c.firstAttempts {
		if n > 0 {
			return true
		}
	}
	return false
}

// limitAndUsed returns how many retries and hedges the budget allows in the window, and how many were taken in it.
func (b *Budget) limitAndUsed(c *windowCounts) (limit, used float64) {
	var firstAttempts float64
	for i := range windowSteps {
		firstAttempts += c.firstAttempts[i]
		used += c.retries[i]
	}
	return (b.cfg.Ratio*firstAttempts + b.cfg.Reserve*b.share) * (1 - b.cfg.UnusedFraction), used
}

// Take takes one retry or hedge from the budget of a service. It returns false, and takes nothing, if none is left. The
// argument failed is true for a retry of a failed attempt, and false for a hedge.
func (b *Budget) Take(now time.Time, service string, failed bool) bool {
	c := b.countsAt(now, service)
	limit, used := b.limitAndUsed(c)
	if !failed {
		limit *= 1 - b.cfg.FailureFraction
	}
	if used+1 > limit {
		return false
	}
	c.retries[c.newestStep%windowSteps]++
	return true
}

// Return undoes Take for a retry or hedge that was not sent.
func (b *Budget) Return(now time.Time, service string) {
	c := b.countsAt(now, service)
	c.retries[c.newestStep%windowSteps]--
}
