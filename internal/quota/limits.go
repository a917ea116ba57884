package quota

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"time"
)

// maxLimit bounds the values that ParseLimit accepts, in requests per second.
const maxLimit = 1e9

// decimal matches the decimal numbers that ParseLimit accepts. A sign, an exponent and the names of special values don't match.
var decimal = regexp.MustCompile(`^[0-9]{1,18}(\.[0-9]{1,18})?$`)

// ParseLimit parses the values of a header that names a rate limit in requests per second. It returns named = false if there is
// no value, and an error if the values aren't one decimal number up to maxLimit.
func ParseLimit(values []string) (limit float64, named bool, err error) {
	switch {
	case len(values) == 0:
		return 0, false, nil
	case len(values) > 1:
		return 0, false, fmt.Errorf("rate limit is named %d times", len(values))
	case !decimal.MatchString(values[0]):
		return 0, false, fmt.Errorf("rate limit %.40q is not a decimal number", values[0])
	}
	limit, err = strconv.ParseFloat(values[0], 64)
	if err != nil || math.IsNaN(limit) || limit > maxLimit {
		return 0, false, fmt.Errorf("rate limit %.40q is out of range", values[0])
	}
	return limit, true, nil
}

// Statement is what one reply of a target says of the target's rate limit.
type Statement struct {
	Sent, Received time.Time // when the request was sent, and when its reply was received
	Named          bool      // the reply names a limit
	Limit          float64   // in requests per second, from all processes together
}

// supersedes reports whether the statement s takes the place of the statement old. A target makes a statement at some moment
// between the request and the reply. If it can't be known which of two statements is newer, the lower limit holds.
func (s Statement) supersedes(old Statement) bool {
	if !s.Sent.Before(old.Received) {
		return true
	}
	return s.Named && (!old.Named || s.Limit <= old.Limit)
}

// Limits holds the latest statement of each target. The zero value is ready for use. It is not safe for concurrent use.
type Limits struct {
	statements map[string]Statement // by target ID; only of targets that have named a limit
}

// Record records a statement of a target. It reports whether the limit of the target has changed.
func (l *Limits) Record(target string, s Statement) (changed bool) {
	old, known := l.statements[target]
	if !known && !s.Named || !s.supersedes(old) {
		return false
	}
	if l.statements == nil {
		l.statements = map[string]Statement{}
	}
	l.statements[target] = s
	return old.Named != s.Named || s.Named && old.Limit != s.Limit
}

// Limit returns the limit of a target in requests per second, and false if it has none.
func (l *Limits) Limit(target string) (float64, bool) {
	s := l.statements[target]
	return s.Limit, s.Named
}

// Forget deletes what is known of a target, because it has restarted.
func (l *Limits) Forget(target string) { delete(l.statements, target) }

// Prune deletes the targets that are no longer listed.
func (l *Limits) Prune(isListed func(target string) bool) {
	for id := range l.statements {
		if !isListed(id) {
			delete(l.statements, id)
		}
	}
}
