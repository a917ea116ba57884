package route

import "sync"

// Budget limits the hedges, retries and snapshot changes of one process to a share of its first attempts. Each of the
// three is a token bucket that first attempts refill. A Budget is safe for concurrent use, because the plans of
// different queries share it.
type Budget struct {
	mu                       sync.Mutex
	hedgeTokens, retryTokens float64
	replanTokens             float64
	hedgeShare               float64
	retryShare               float64
}

// Shares of the first attempts that hedges and retries may reach, and the most tokens that a bucket holds.
const (
	DefaultHedgeShare = 0.05
	DefaultRetryShare = 0.10
	maxTokens         = 20
)

// NewBudget returns a budget that allows hedges and retries for the given shares of the first attempts.
func NewBudget(hedgeShare, retryShare float64) *Budget {
	return &Budget{hedgeTokens: 1, retryTokens: maxTokens, replanTokens: maxTokens, hedgeShare: hedgeShare, retryShare: retryShare}
}

// RecordAttempt records one attempt. Only first attempts refill the budget; extra means a hedge or a retry.
func (b *Budget) RecordAttempt(extra bool) {
	if !extra {
		b.recordFirstAttempts(1)
	}
}

// recordFirstAttempts records n first attempts at once, so that a plan locks the budget only once.
func (b *Budget) recordFirstAttempts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedgeTokens = min(b.hedgeTokens+float64(n)*b.hedgeShare, maxTokens)
	b.retryTokens = min(b.retryTokens+float64(n)*b.retryShare, maxTokens)
	b.replanTokens = min(b.replanTokens+float64(n)*b.retryShare, maxTokens)
}

// AllowHedge takes one hedge from the budget and reports whether the budget had one.
func (b *Budget) AllowHedge() bool { return b.takeTokens(&b.hedgeTokens, 1) }

// allowHedgeAbove takes one hedge from the budget if at least reserve hedges are left afterwards, and reports whether it
// took one.
func (b *Budget) allowHedgeAbove(reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hedgeTokens < 1+reserve {
		return false
	}
	b.hedgeTokens--
	return true
}

// AllowRetry takes one retry from the budget and reports whether the budget had one.
func (b *Budget) AllowRetry() bool { return b.takeTokens(&b.retryTokens, 1) }

// AllowReplan reports whether a plan may move to another snapshot and discard n attempts that may have run, and takes the
// n attempts from the budget if so. The bucket refills at the rate of the retry bucket but is separate from it: version
// refusals use up the retries first, and with one bucket no plan could move afterwards. The bucket may become negative,
// because a plan of 150 attempts needs more tokens than a bucket holds.
func (b *Budget) AllowReplan(n int) bool { return b.takeTokens(&b.replanTokens, float64(n)) }

// takeTokens takes n tokens from the bucket if it holds at least one token, and reports whether it did.
func (b *Budget) takeTokens(bucket *float64, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if *bucket < 1 {
		return false
	}
	*bucket -= n
	return true
}
