package peer

import "time"

// maxStatedMS is the upper bound of an age or a duration that a peer states, in milliseconds. Without the bound, the conversion
// to time.Duration could overflow. No age or duration in a valid message is longer.
const maxStatedMS = int64(time.Hour / time.Millisecond)

// AgeMS returns the age of t at now in milliseconds, as messages between peers state it; 0 if t is after now.
func AgeMS(now, t time.Time) int64 { return max(now.Sub(t).Milliseconds(), 0) }

// TimeFromAge returns the time of an event that a peer states to be ms milliseconds old at now.
func TimeFromAge(now time.Time, ms int64) time.Time { return now.Add(-BoundedDuration(ms)) }

// BoundedDuration converts a duration that a peer states in milliseconds, and limits it to the range from 0 to one hour.
func BoundedDuration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatedMS)) * time.Millisecond
}
