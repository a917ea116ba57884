// Package spend is one process's part of the fleet-wide budget for sending a request to a second target.
//
// # Usage
//
//	b := spend.New(spend.Config{Ratio: 0.2, Reserve: 56, Window: 10 * time.Second})
//	b.SetPart(1.0 / 8)                 // this process's part of the reserve
//	b.Sent(now, "desk-01")             // the first send of a request to a service
//	if b.Take(now, "desk-01", false) { ... }  // one more send to it
//
// The budget of a service is Ratio times the first sends in the window, plus a share of Reserve. The ratio needs no
// agreement, since the sums of all processes keep it if each does; the reserve is divided among the processes (lineup.Reserve).
// Each process keeps Margin of its part back for the differences between its window and any other.
//
// # Load pattern
//
// When targets crash while others are slow, sends that back up late ones would use up what sends that replace failed
// ones need. Only the latter may use the last part, Kept, of the budget.
package spend

import (
	"cmp"
	"time"
)

// Config configures a Budget. Zero fields take the defaults.
type Config struct {
	Ratio   float64
	Reserve float64 // of the whole fleet
	Window  time.Duration
	Margin  float64 // 0..1
	Kept    float64 // 0..1; part of the budget for sends that replace failed ones
}

// Defaults of Config.
const (
	DefaultWindow = 10 * time.Second
	// DefaultMargin covers a step of the window and requests whose window ends between a send and its repeat.
	DefaultMargin = 0.15
	// DefaultKept covers the first sends of a second to a third of the targets, at one in five.
	DefaultKept = 0.3
)

const steps = 20 // of a window

type account struct {
	first, more [steps]float64
	at          int64 // step number of the newest entry
}

// Budget is the state of one process. Use New. It is not safe for concurrent use.
type Budget struct {
	cfg      Config
	part     float64 // of the reserve
	accounts map[string]*account
	epoch    time.Time
}

// New returns a budget without any sends.
func New(cfg Config) *Budget {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	cfg.Margin = cmp.Or(cfg.Margin, DefaultMargin)
	cfg.Kept = cmp.Or(cfg.Kept, DefaultKept)
	return &Budget{cfg: cfg, part: 1, accounts: map[string]*account{}}
}

// SetPart sets this process's part of the reserve, 0..1.
func (b *Budget) SetPart(part float64) { b.part = part }

func (b *Budget) account(now time.Time, service string) *account {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	a := b.accounts[service]
	if a == nil {
		a = &account{}
		b.accounts[service] = a
	}
	step := int64(now.Sub(b.epoch) / (b.cfg.Window / steps))
	for ; a.at < step && step-a.at <= steps; a.at++ {
		a.first[(a.at+1)%steps] = 0
		a.more[(a.at+1)%steps] = 0
	}
	if a.at < step {
		*a = account{at: step}
	}
	return a
}

// Sent counts the first send of a request to a service.
func (b *Budget) Sent(now time.Time, service string) {
	a := b.account(now, service)
	a.first[a.at%steps]++
}

// Busy reports whether requests were sent to a service in the window.
func (b *Budget) Busy(now time.Time, service string) bool {
	if b.accounts[service] == nil {
		return false
	}
	a := b.account(now, service)
	for _, n := range a.first {
		if n > 0 {
			return true
		}
	}
	return false
}

// total returns the budget of the window, and what of it was used.
func (b *Budget) total(a *account) (whole, used float64) {
	var first float64
	for i := range steps {
		first += a.first[i]
		used += a.more[i]
	}
	return (b.cfg.Ratio*first + b.cfg.Reserve*b.part) * (1 - b.cfg.Margin), used
}

// Take takes one more send from the budget; it reports false if none is left. Failed says that the send replaces one
// that has failed.
func (b *Budget) Take(now time.Time, service string, failed bool) bool {
	a := b.account(now, service)
	whole, used := b.total(a)
	if !failed {
		whole *= 1 - b.cfg.Kept
	}
	if used+1 > whole {
		return false
	}
	a.more[a.at%steps]++
	return true
}

// Return gives back a send that was taken and not made.
func (b *Budget) Return(now time.Time, service string) {
	a := b.account(now, service)
	a.more[a.at%steps]--
}
