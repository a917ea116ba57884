package rules

import (
	"fmt"
	"strconv"
	"strings"
)

// Verbs: the first word of a rule is one of them.
const (
	verbExclude = "exclude"
	verbLimit   = "limit"
	verbClass   = "class"
)

// rule is one rule of the rules file. The field limit is set only for the verb limit, class only for the verb class, and kind
// for all verbs except class.
type rule struct {
	origin Origin
	verb   string
	kind   SubjectKind
	name   string
	limit  Limit
	class  Class
}

// canonicalText returns the rule in canonical form, without its comment.
func (r rule) canonicalText() string {
	switch r.verb {
	case verbClass:
		c := r.class
		return fmt.Sprintf("class %s deadline=%s min_coverage=%s prefer=%s priority=%d", c.Name, c.Deadline,
			strconv.FormatFloat(c.MinCoverage, 'f', -1, 64), c.Preference, c.Priority)
	case verbLimit:
		return fmt.Sprintf("limit %s %s%s", r.kind, r.name, r.limit.formatBounds(" %s=%d"))
	}
	return fmt.Sprintf("exclude %s %s", r.kind, r.name)
}

// formatBounds formats each bound that is set, and joins the results. The arguments of the format are the key and the value
// of the bound.
func (l Limit) formatBounds(format string) string {
	var b strings.Builder
	for _, bound := range []struct {
		key   string
		value int
	}{{"slots", l.Slots}, {"connections", l.Connections}, {"in_flight", l.InFlight}} {
		if bound.value > 0 {
			fmt.Fprintf(&b, format, bound.key, bound.value)
		}
	}
	return b.String()
}

// String returns the rules in canonical form, each on the line number that it has in the parsed file. Therefore Parse of
// this text returns an equal set, and line numbers in answers and logs apply to this text too. Lines that hold no rule in
// the parsed file are blank.
func (s *Set) String() string {
	var b strings.Builder
	lineNumber := 1
	for _, r := range s.rules {
		for ; lineNumber < r.origin.Line; lineNumber++ {
			b.WriteByte('\n')
		}
		fmt.Fprintf(&b, "%s # %s: %s\n", r.canonicalText(), r.origin.Who, r.origin.Why)
		lineNumber++
	}
	return b.String()
}

// ExplainFilter names the objects whose rules Explain returns. Explain ignores fields that are empty.
type ExplainFilter struct {
	Tenant      string
	Service     string
	Target      string
	VM          string
	DataCentre  string
	Class       string
	Fingerprint string // 16 hex digits
}

// ExplainedRule describes one rule that applies to an object of an ExplainFilter.
type ExplainedRule struct {
	Origin
	Rule   string `json:"rule"`   // the rule in canonical form, without its comment
	Effect string `json:"effect"` // description of what the rule does
}

// Explain returns the rules that apply to the objects of the filter, in line order.
func (s *Set) Explain(filter ExplainFilter) []ExplainedRule {
	var out []ExplainedRule
	effective, _ := s.EffectiveLimit(filter.Service, filter.Target)
	for _, r := range s.rules {
		if !filter.matches(r) {
			continue
		}
		out = append(out, ExplainedRule{Origin: r.origin, Rule: r.canonicalText(), Effect: r.effect(effective)})
	}
	return out
}

// matches reports whether the rule names an object of the filter.
func (filter ExplainFilter) matches(r rule) bool {
	if r.verb == verbClass {
		return r.name == filter.Class
	}
	switch r.kind {
	case Tenant:
		return r.name == filter.Tenant
	case Service:
		return r.name == filter.Service
	case Target:
		return r.name == filter.Target
	case VM:
		return r.name == filter.VM
	case DataCentre:
		return r.name == filter.DataCentre
	case Fingerprint:
		return r.name == strings.ToLower(filter.Fingerprint)
	}
	return false
}

// effect describes what the rule does. The parameter effective is the limit of the target after the limits of the target
// and of its service are combined.
func (r rule) effect(effective Limit) string {
	switch r.verb {
	case verbClass:
		return r.class.effect()
	case verbLimit:
		return r.limitEffect(effective)
	}
	switch r.kind {
	case DataCentre:
		return "no request is sent to its targets, and its entry processes are left out of address answers"
	case VM:
		return "it is left out of address answers, and no request is sent to targets on it"
	case Fingerprint:
		return "requests with this fingerprint are refused, not run"
	case Service:
		return "no request is sent to its targets"
	}
	return "no request is sent to it"
}

// limitEffect describes a limit rule. If a smaller bound applies to the target because of another rule, the description
// gives that bound too.
func (r rule) limitEffect(effective Limit) string {
	if r.kind == Tenant {
		return fmt.Sprintf("at most %d requests in flight", r.limit.InFlight)
	}
	bounds := r.limit.formatBounds(", at most %[2]d %[1]s")
	description := strings.TrimPrefix(bounds, ", ") + " fleet-wide"
	if r.kind == Service {
		description += " for each target"
	}
	tighterBounds := Limit{}
	if r.limit.Slots > effective.Slots {
		tighterBounds.Slots = effective.Slots
	}
	if r.limit.Connections > effective.Connections {
		tighterBounds.Connections = effective.Connections
	}
	if tighterText := tighterBounds.formatBounds(", %s %d"); tighterText != "" {
		description += "; a tighter rule decides" + tighterText
	}
	return description
}

// effect describes what a class rule does.
func (c Class) effect() string {
	completion := "a partial answer is given once the rest would be late"
	if c.Preference == PreferCoverage {
		completion = "waits for all shards until the deadline"
	}
	return fmt.Sprintf("deadline %s, coverage at least %s, priority %d; %s", c.Deadline,
		strconv.FormatFloat(c.MinCoverage, 'f', -1, 64), c.Priority, completion)
}
