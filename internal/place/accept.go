package place

import (
	"math"
	"time"
)

// Load pattern: some targets refuse a large part of what they are sent, although they report a low load and a good health.
// Each refused send is repeated elsewhere, from a budget that allows one repetition for a few requests, and once the budget is
// used up, the requests fail.
//
// This process therefore estimates how often each target refuses, and prefers targets by the cost of a send with its expected
// repetitions. The estimate doesn't change the predicted time of a reply: a shard whose targets refuse isn't slow. It fades with
// time, so that a target that is avoided gets a few sends that show whether it accepts again.
const (
	refusalDecay    = 0.8         // weight of the past in the refusal rate, for each send that was accepted or refused
	refusalHalfLife = time.Second // time in which the refusal rate of a target without sends falls to a half
	maxRefusalRate  = 0.9
)

// refusals estimates how often a target refuses sends.
type refusals struct {
	rate      float64   // at updatedAt, 0..1
	updatedAt time.Time // time of the last send that was accepted or refused
}

// record records whether the target has refused a send.
func (r *refusals) record(now time.Time, refused bool) {
	r.rate = refusalDecay * r.at(now)
	if refused {
		r.rate += 1 - refusalDecay
	}
	r.updatedAt = now
}

// at returns the estimated refusal rate.
func (r *refusals) at(now time.Time) float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate * math.Exp2(-now.Sub(r.updatedAt).Seconds()/refusalHalfLife.Seconds())
}

// repetitions returns how many repetitions a send to the target is expected to need.
func (r *refusals) repetitions(now time.Time) float64 {
	rate := min(r.at(now), maxRefusalRate)
	return rate / (1 - rate)
}
