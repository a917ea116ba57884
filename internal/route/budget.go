package route

import "sync"

// Budget limits the hedges, retries and snapshot changes of one process to a share of its first attempts. Each of the
// three is a token bucket that first attempts refill. A Budget is safe for concurrent use, because the plans of
// different queries share it.
type Budget struct {
	mu           sync.Mutex
	hedge, retry float64
	replan       float64
	hedgeShare   float64
	retryShare   float64
}

// Shares of the first attempts that hedges and retries may reach, and the most tokens that a bucket holds.
const (
	DefaultHedgeShare = 0.05
	DefaultRetryShare = 0.10
	maxTokens         = 20
)

// NewBudget returns a budget that allows hedges and retries for the given shares of the first attempts.
func NewBudget(hedgeShare, retryShare float64) *Budget {
	return &Budget{hedge: 1, retry: maxTokens, replan: maxTokens, hedgeShare: hedgeShare, retryShare: retryShare}
}

// RecordAttempt records one attempt. Only first attempts refill the budget; extra means a hedge or a retry.
func (b *Budget) RecordAttempt(extra bool) {
	if !extra {
		b.credit(1)
	}
}

// credit records n first attempts at once, so that a plan locks the budget only once.
func (b *Budget) credit(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedge = min(b.hedge+float64(n)*b.hedgeShare, maxTokens)
	b.retry = min(b.retry+float64(n)*b.retryShare, maxTokens)
	b.replan = min(b.replan+float64(n)*b.retryShare, maxTokens)
}

// AllowHedge takes one hedge from the budget and reports whether the budget had one.
func (b *Budget) AllowHedge() bool { return b.spend(&b.hedge, 1) }

// allowHedgeAbove takes one hedge from the budget if at least reserve hedges are left afterwards, and reports whether it
// took one.
func (b *Budget) allowHedgeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hedge < 1+reserve {
		return false
	}
	b.hedge--
	return true
}

// AllowRetry takes one retry from the budget and reports whether the budget had one.
func (b *Budget) AllowRetry() bool { return b.spend(&b.retry, 1) }

// AllowReplan reports whether a plan may move to another snapshot and discard n attempts that may have run, and takes the
// n attempts from the budget if so. The bucket refills at the rate of the retry bucket but is separate from it: version
// refusals use up the retries first, and with one bucket no plan could move afterwards. The bucket may become negative,
// because a plan of 150 attempts needs more tokens than a bucket holds.
func (b *Budget) AllowReplan(n int) bool { return b.spend(&b.replan, float64(n)) }

// spend takes n tokens from the bucket at v if it holds at least one token, and reports whether it did.
func (b *Budget) spend(v *float64, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *v < 1 {
		return false
	}
	*v -= n
	return true
}
