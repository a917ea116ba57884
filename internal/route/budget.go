package route

import "sync"

// Budget bounds hedges and retries of one process to a share of its first attempts. It is safe for concurrent
// use, because plans of different queries share it.
type Budget struct {
	mu           sync.Mutex
	hedge, retry float64
	replan       float64
	hedgeShare   float64
	retryShare   float64
}

// Shares of first attempts that hedges and retries may reach, and the most that may be saved up.
const (
	DefaultHedgeShare = 0.05
	DefaultRetryShare = 0.10
	maxTokens         = 20
)

// NewBudget returns a budget with the given shares of first attempts.
func NewBudget(hedgeShare, retryShare float64) *Budget {
	return &Budget{hedge: 1, retry: maxTokens, replan: maxTokens, hedgeShare: hedgeShare, retryShare: retryShare}
}

// Sent records one attempt; only first attempts earn budget.
func (b *Budget) Sent(extra bool) {
	if !extra {
		b.credit(1)
	}
}

// credit records n first attempts at once, so that a plan takes the lock once.
func (b *Budget) credit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge = min(b.hedge+float64(n)*b.hedgeShare, maxTokens)
	b.retry = min(b.retry+float64(n)*b.retryShare, maxTokens)
	b.replan = min(b.replan+float64(n)*b.retryShare, maxTokens)
}

// AllowHedge takes one hedge from the budget if there is one.
func (b *Budget) AllowHedge() bool { return b.spend(&b.hedge, 1) }

// allowHedgeAbove is AllowHedge if at least reserve is left afterwards.
func (b *Budget) allowHedgeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hedge < 1+reserve {
		return false
	}
	b.hedge--
	return true
}

// AllowRetry takes one retry from the budget if there is one.
func (b *Budget) AllowRetry() bool { return b.spend(&b.retry, 1) }

// AllowReplan lets a plan move to another snapshot and throw away n attempts that may have run. The allowance earns the
// same share as retries but is kept apart: version refusals use up the retries first, and a plan could then never
// move. It may go into debt, because a plan of 150 attempts exceeds all that can be saved up.
func (b *Budget) AllowReplan(n int) bool { return b.spend(&b.replan, float64(n)) }

func (b *Budget) spend(v *float64, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *v < 1 {
		return false
	}
	*v -= n
	return true
}
