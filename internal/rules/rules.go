// Package rules parses the rules file that operators publish, and looks up the rules that apply to a request: exclusions,
// limits and classes.
//
// # Usage
//
//	set, err := rules.Parse(text)      // errors.Join of *rules.Error, one for each fault in the file
//	set.Excluded(rules.DataCentre, "dc-b")
//	set.ExcludedFingerprint(fp)
//	limit, ok := set.EffectiveLimit("counter-desk-01", "counter-desk-01-t1")
//	class, ok := set.Class("inspector")
//	set.Explain(rules.ExplainFilter{Tenant: "head-office", DataCentre: "dc-b"})
//	set.String()                       // canonical text; parses to an equal set
//
// Each rule is one line that ends with a comment "# who: why". The first "#" of a line starts its comment, so no
// name or value can contain that character. Blank lines and lines with only a comment are ignored. Words are separated by
// spaces or tabs. This is the grammar of a rule (docs/design.md, section 6):
//
//	exclude data_centre|vm|target|service NAME          # who: why
//	exclude fingerprint 16-HEX-DIGITS                   # who: why
//	limit target|service NAME [slots=N] [connections=N] # who: why
//	limit tenant NAME in_flight=N                       # who: why
//	class NAME deadline=D [min_coverage=F] [prefer=latency|coverage] [priority=N] # who: why
//
// A limit on a service applies to each target of the service separately. A class without min_coverage accepts any
// coverage, a class without prefer prefers latency, and a class without priority has the lowest priority (MaxPriority).
//
// A Set is immutable and safe for concurrent use. Lookups do not allocate memory, because they run for each request.
package rules

import (
	"slices"
	"time"
)

// SubjectKind is the kind of object that an exclude or limit rule names.
type SubjectKind string

// Kinds of objects that exclude and limit rules name.
const (
	DataCentre  SubjectKind = "data_centre"
	VM          SubjectKind = "vm"
	Target      SubjectKind = "target"
	Service     SubjectKind = "service"
	Tenant      SubjectKind = "tenant"
	Fingerprint SubjectKind = "fingerprint"
)

// Bounds of a rules file. The bounds of names and comments are so low that no rule in canonical form, as written by
// Set.String, is longer than MaxLineBytes.
const (
	MaxFileBytes = 1 << 20 // bytes; the configuration service stores no larger value
	MaxRules     = 8192
	MaxLineBytes = 1024 // bytes, without the line end
	MaxNameBytes = 128  // bytes
	MaxWhoBytes  = 128  // bytes
	MaxWhyBytes  = 512  // bytes

	MaxLimit    = 1_000_000
	MaxPriority = 99
	MinDeadline = time.Millisecond
	MaxDeadline = 60 * time.Second
)

// MaxErrors is the largest number of errors that Parse reports for one file. Without this bound, a file of another
// format could fill the logs. The last error gives the number of errors that are not listed.
const MaxErrors = 100

// Origin holds the line number of a rule, the person who asked for the rule, and the reason that this person gave.
type Origin struct {
	Line int    `json:"line"`
	Who  string `json:"who"`
	Why  string `json:"why"`
}

// Preference states whether answers to the requests of a class favour latency or coverage. With PreferLatency, a request that
// has reached its MinCoverage is answered without the shards whose answers are late. With PreferCoverage, a request waits for
// all shards until its deadline.
type Preference string

// Values of Preference.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// Class holds the settings that a class rule gives to one class of requests.
type Class struct {
	Origin
	Name        string
	Deadline    time.Duration
	MinCoverage float64 // fraction of the documents, from 0 to 1
	Preference  Preference
	Priority    int // 0 is served first
}

// Limit holds the bounds that a limit rule sets for a target, for each target of a service, or for a tenant. A field
// that is zero sets no bound.
type Limit struct {
	Origin
	Slots       int
	Connections int
	InFlight    int
}

// subject identifies one object by its kind and name.
type subject struct {
	kind SubjectKind
	name string
}

// Set holds the rules of one parsed rules file. It is immutable: only Parse adds rules, before it returns the set.
type Set struct {
	rules        []rule // in line order
	excluded     map[subject]Origin
	fingerprints map[uint64]Origin
	limits       map[subject]Limit
	classes      map[string]Class
}

// Empty returns a set without rules.
func Empty() *Set {
	return &Set{
		excluded:     map[subject]Origin{},
		fingerprints: map[uint64]Origin{},
		limits:       map[subject]Limit{},
		classes:      map[string]Class{},
	}
}

// add appends a valid rule, and adds it to the map that the lookups for its kind of rule read.
func (s *Set) add(r rule) {
	s.rules = append(s.rules, r)
	switch {
	case r.verb == verbClass:
		r.class.Origin = r.origin
		s.classes[r.name] = r.class
	case r.verb == verbLimit:
		r.limit.Origin = r.origin
		s.limits[subject{r.kind, r.name}] = r.limit
	case r.kind == Fingerprint:
		fp, _ := parseFingerprint(r.name)
		s.fingerprints[fp] = r.origin
	default:
		s.excluded[subject{r.kind, r.name}] = r.origin
	}
}

// Len returns the number of rules.
func (s *Set) Len() int { return len(s.rules) }

// Equal reports whether both sets hold the same rules on the same lines with the same comments.
func (s *Set) Equal(other *Set) bool { return slices.Equal(s.rules, other.rules) }

// Excluded reports whether a rule excludes the subject, and returns the origin of that rule. The name of a fingerprint
// is its 16 hex digits; ExcludedFingerprint takes the fingerprint as a number.
func (s *Set) Excluded(kind SubjectKind, name string) (Origin, bool) {
	if kind == Fingerprint {
		fp, ok := parseFingerprint(name)
		if !ok {
			return Origin{}, false
		}
		return s.ExcludedFingerprint(fp)
	}
	o, ok := s.excluded[subject{kind, name}]
	return o, ok
}

// ExcludedFingerprint reports whether a rule excludes requests with this fingerprint, and returns the origin of that rule.
func (s *Set) ExcludedFingerprint(fp uint64) (Origin, bool) {
	o, ok := s.fingerprints[fp]
	return o, ok
}

// Limit returns the limit that a rule sets for the subject, and false if there is no such rule.
func (s *Set) Limit(kind SubjectKind, name string) (Limit, bool) {
	l, ok := s.limits[subject{kind, name}]
	return l, ok
}

// EffectiveLimit combines the limits of a target and of its service: Slots and Connections each have the smaller of the
// two bounds. The Origin of the result is that of the rule whose bound on slots applies, or on connections if no rule
// bounds the slots. If both rules set the same bound, the Origin is that of the rule for the target. EffectiveLimit
// returns false if there is neither rule.
func (s *Set) EffectiveLimit(service, target string) (Limit, bool) {
	targetLimit, hasTargetLimit := s.limits[subject{Target, target}]
	serviceLimit, hasServiceLimit := s.limits[subject{Service, service}]
	if !hasServiceLimit {
		return targetLimit, hasTargetLimit
	}
	if !hasTargetLimit {
		return serviceLimit, true
	}
	out := Limit{
		Origin:      targetLimit.Origin,
		Slots:       minBound(targetLimit.Slots, serviceLimit.Slots),
		Connections: minBound(targetLimit.Connections, serviceLimit.Connections),
	}
	switch {
	case out.Slots != targetLimit.Slots:
		out.Origin = serviceLimit.Origin
	case out.Slots == 0 && out.Connections != targetLimit.Connections:
		out.Origin = serviceLimit.Origin
	}
	return out, true
}

// minBound returns the smaller of two bounds, where 0 means no bound.
func minBound(a, b int) int {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// Class returns the settings of a class, and false if no rule defines the class.
func (s *Set) Class(name string) (Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// parseFingerprint decodes 16 hex digits without allocating memory. It reports false for zero, because the fingerprint
// zero means that a request has no fingerprint.
func parseFingerprint(s string) (uint64, bool) {
	if len(s) != 16 {
		return 0, false
	}
	var fp uint64
	for i := range len(s) {
		c := s[i]
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c >= 'a' && c <= 'f':
			c -= 'a' - 10
		case c >= 'A' && c <= 'F':
			c -= 'A' - 10
		default:
			return 0, false
		}
		fp = fp<<4 | uint64(c)
	}
	return fp, fp != 0
}
