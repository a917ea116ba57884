package peer

import "time"

// maxStatedMS bounds what a peer says before it is multiplied, in milliseconds. Nothing that is told is older or lasts longer.
const maxStatedMS = int64(time.Hour / time.Millisecond)

// AgeMS returns the age of t in milliseconds, as messages state it; 0 if t lies ahead.
func AgeMS(now, t time.Time) int64 { return max(now.Sub(t).Milliseconds(), 0) }

// AgedBy returns the time of something that a peer says is so many milliseconds old.
func AgedBy(now time.Time, ms int64) time.Time { return now.Add(-Milliseconds(ms)) }

// Milliseconds returns the duration that a peer states, from 0 to an hour.
func Milliseconds(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatedMS)) * time.Millisecond
}
