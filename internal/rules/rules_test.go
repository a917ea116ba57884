package rules_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
)

// sampleRules is a rules file with a byte order mark, CRLF line ends, blank lines and rules of all three verbs.
const sampleRules = "\ufeff# Rules of the franchise head office.\r\n" +
	"exclude data_centre dc-b            # Ann Lee: power work 4 May\r\n" +
	"\n" +
	"exclude fingerprint 9F3AC1D200B7E611 # Bo: crashes desk targets\n" +
	"limit target d1-t1 slots=1          # Cy: repair\n" +
	"limit service d1 slots=2 connections=25 # Cy: new disks\n" +
	"limit tenant head-office in_flight=50 # Di: bulk export\n" +
	"class inspector deadline=2s min_coverage=1.0 prefer=coverage priority=0 # Ed: permits\n" +
	"class counter deadline=300ms # Ed: counter"

// mustParse parses a rules file, and fails the test if the file has a fault.
func mustParse(t testing.TB, text string) *rules.Set {
	t.Helper()
	set, err := rules.Parse([]byte(text))
	assert.NilError(t, err)
	return set
}

// Guards against a rule that is parsed but not found by the lookups that enforce rules.
func TestLookups(t *testing.T) {
	s := mustParse(t, sampleRules)
	o, ok := s.Excluded(rules.DataCentre, "dc-b")
	assert.Assert(t, ok)
	assert.Equal(t, o, rules.Origin{Line: 2, Who: "Ann Lee", Why: "power work 4 May"})
	_, ok = s.ExcludedFingerprint(0x9f3ac1d200b7e611)
	assert.Assert(t, ok)
	_, ok = s.Excluded(rules.Fingerprint, "9f3ac1d200b7e611")
	assert.Assert(t, ok)
	tenant, _ := s.Limit(rules.Tenant, "head-office")
	assert.Equal(t, tenant.InFlight, 50)
	assert.Equal(t, tenant.Who, "Di")
	c, _ := s.Class("counter")
	assert.Equal(t, c.Deadline, 300*time.Millisecond)
	assert.Equal(t, c.Priority, rules.MaxPriority)
	c, _ = s.Class("inspector")
	assert.Equal(t, c.MinCoverage, 1.0)
	assert.Equal(t, c.Preference, rules.PreferCoverage)
}

// Guards against applying the larger bound if a target and its service both have a limit, and against treating a bound that is
// not set as zero.
func TestEffectiveLimit(t *testing.T) {
	s := mustParse(t, sampleRules)
	l, ok := s.EffectiveLimit("d1", "d1-t1")
	assert.Assert(t, ok)
	assert.Equal(t, l.Slots, 1)
	assert.Equal(t, l.Connections, 25)
	assert.Equal(t, l.Line, 5)
	l, _ = s.EffectiveLimit("d1", "d1-t2")
	assert.Equal(t, l.Slots, 2)
	_, ok = s.EffectiveLimit("d2", "d2-t1")
	assert.Assert(t, !ok)
	s = mustParse(t, "limit target t slots=3 # a: b\nlimit service s slots=2 # a: b")
	l, _ = s.EffectiveLimit("s", "t")
	assert.Equal(t, l.Slots, 2)
	assert.Equal(t, l.Line, 2)
}

// Guards against a line with a fault that is accepted, or whose error has the wrong line, column or description of what was
// expected.
func TestErrors(t *testing.T) {
	longName := strings.Repeat("x", rules.MaxNameBytes+1)
	for _, c := range []struct {
		line   string
		column int
		want   string
	}{
		{"drop vm a # w: y", 1, "exclude, limit or class"},
		{"exclude rack a # w: y", 9, "data_centre, vm, target, service or fingerprint"},
		{"exclude tenant a # w: y", 9, "data_centre"},
		{"exclude vm # w: y", 11, "the name of a vm"},
		{"exclude # w: y", 8, "data_centre"},
		{"exclude vm a b # w: y", 14, "nothing after"},
		{"exclude vm a=b # w: y", 12, "a name"},
		{"exclude vm a\u00a0b # w: y", 12, "a name"},
		{"exclude vm " + longName + " # w: y", 12, "a name"},
		{"exclude fingerprint 9f3a # w: y", 21, "16 hex digits"},
		{"exclude fingerprint 0000000000000000 # w: y", 21, "not all zero"},
		{"exclude vm a", 13, `"# who: why"`},
		{"exclude vm a # because", 14, `"# who: why"`},
		{"exclude vm a # : y", 14, `"# who: why"`},
		{"exclude vm ä # w:", 14, `"# who: why"`},
		{"exclude vm a # w" + strings.Repeat("w", rules.MaxWhoBytes) + ": y", 14, "for who"},
		{"limit target t # w: y", 15, "slots=<value> or connections=<value>"},
		{"limit target t in_flight=1 # w: y", 16, "slots=<value>"},
		{"limit tenant t slots=1 # w: y", 16, "in_flight=<value>"},
		{"limit service t slots=0 # w: y", 17, "from 1 to"},
		{"limit service t slots=+1 # w: y", 17, "from 1 to"},
		{"limit service t slots=99999999999999999999 # w: y", 17, "from 1 to"},
		{"limit service t slots=1 slots=2 # w: y", 25, "only once"},
		{"limit vm t slots=1 # w: y", 7, "target, service or tenant"},
		{"class c # w: y", 8, "deadline="},
		{"class # w: y", 6, "the name of a class"},
		{"class c deadline=61s # w: y", 9, "from 1ms to 1m0s"},
		{"class c deadline=1us # w: y", 9, "from 1ms"},
		{"class c deadline=1s min_coverage=NaN # w: y", 21, "from 0 to 1"},
		{"class c deadline=1s min_coverage=1.01 # w: y", 21, "from 0 to 1"},
		{"class c deadline=1s min_coverage=-0 # w: y", 21, "from 0 to 1"},
		{"class c deadline=1s prefer=speed # w: y", 21, "latency or prefer=coverage"},
		{"class c deadline=1s priority=100 # w: y", 21, "from 0 to 99"},
		{"class c deadline=1s colour=red # w: y", 21, "min_coverage=<value>"},
		{"exclude vm \xff # w: y", 12, "valid UTF-8"},
		{"exclude vm a\r # w: y", 13, "no control character"},
		{"# " + strings.Repeat("é", rules.MaxLineBytes/2), 514, "at most 1024 bytes"},
	} {
		set, err := rules.Parse([]byte("# first\n" + c.line + "\n"))
		var e *rules.Error
		assert.Assert(t, errors.As(err, &e), c.line)
		assert.Assert(t, set == nil, c.line)
		assert.Equal(t, e.Line, 2, c.line)
		assert.Equal(t, e.Column, c.column, "%s: %v", c.line, err)
		assert.ErrorContains(t, err, c.want)
	}
}

// Parse must report all faults of a file at once, so that operators don't have to publish the file again for each fault,
// and must not return the valid rules of a file with faults.
func TestAllErrorsTogether(t *testing.T) {
	set, err := rules.Parse([]byte("exclude vm a # w: y\nexclude vm a # w: z\nlimit tenant b slots=1 in_flight=x\n" +
		"class c deadline=1s # w: y\nlimit target c slots=1 # w: y\n"))
	assert.Assert(t, set == nil)
	assert.Error(t, err, "line 2, column 12: expected one rule for exclude vm a, the first is on line 1, found \"a\"\n"+
		"line 3, column 16: expected in_flight=<value>, found \"slots=1\"\n"+
		"line 3, column 24: expected in_flight=a whole number from 1 to 1000000, found \"in_flight=x\"\n"+
		"line 3, column 35: expected a comment \"# who: why\"")
}

// The number of reported errors is bounded, because a file of another format could fill the log. The number of rules and
// the size of the file are bounded too.
func TestBounds(t *testing.T) {
	_, err := rules.Parse([]byte(strings.Repeat("x\n", 1000)))
	// Each line has two errors, an unknown verb and a missing comment, and MaxErrors of all errors are listed.
	assert.ErrorContains(t, err, "1900 further errors are not listed")
	var tooManyRules strings.Builder
	for i := range rules.MaxRules + 2 {
		tooManyRules.WriteString("exclude vm v" + string(rune('0'+i%10)) + strings.Repeat("a", i/1000) + "-" +
			time.Duration(i).String() + " # w: y\n")
	}
	_, err = rules.Parse([]byte(tooManyRules.String()))
	assert.Error(t, err, `line 8193, column 1: expected at most 8192 rules, found "exclude"`)
	_, err = rules.Parse(make([]byte, rules.MaxFileBytes+1))
	assert.ErrorContains(t, err, "at most 1048576 bytes")
}

// Guards against an explanation that lacks a rule that applies, or the person who asked for that rule.
func TestExplain(t *testing.T) {
	s := mustParse(t, sampleRules)
	got := s.Explain(rules.ExplainFilter{Tenant: "head-office", Service: "d1", Target: "d1-t1", DataCentre: "dc-b", Class: "counter"})
	want := []struct{ who, rule, effect string }{
		{"Ann Lee", "exclude data_centre dc-b", "no request is sent to its targets"},
		{"Cy", "limit target d1-t1 slots=1", "at most 1 slots fleet-wide"},
		{"Cy", "limit service d1 slots=2 connections=25", "a tighter rule decides, slots 1"},
		{"Di", "limit tenant head-office in_flight=50", "at most 50 requests"},
		{"Ed", "class counter deadline=300ms min_coverage=0 prefer=latency priority=99", "deadline 300ms"},
	}
	assert.Equal(t, len(got), len(want))
	for i, w := range want {
		assert.Equal(t, got[i].Who, w.who)
		assert.Equal(t, got[i].Rule, w.rule)
		assert.Assert(t, strings.Contains(got[i].Effect, w.effect), got[i].Effect)
	}
	assert.Equal(t, len(s.Explain(rules.ExplainFilter{Fingerprint: "9f3ac1d200b7e611"})), 1)
	assert.Equal(t, len(s.Explain(rules.ExplainFilter{})), 0)
}

// The text that String returns must parse to an equal set, errors must have a position, and Parse must not panic.
func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte(sampleRules))
	f.Fuzz(func(t *testing.T, text []byte) {
		set, err := rules.Parse(text)
		if err != nil {
			var e *rules.Error
			assert.Assert(t, errors.As(err, &e) && e.Line > 0 && e.Column > 0, "%v", err)
			return
		}
		reparsed, err := rules.Parse([]byte(set.String()))
		assert.NilError(t, err)
		assert.Assert(t, set.Equal(reparsed), "%q", set.String())
	})
}

// Lookups run for each request and must not allocate memory.
func TestLookupsDoNotAllocate(t *testing.T) {
	s := mustParse(t, sampleRules)
	assert.Equal(t, testing.AllocsPerRun(100, func() { runLookups(s) }), 0.0)
}

// runLookups calls the lookups that run for each request.
func runLookups(s *rules.Set) {
	s.Excluded(rules.DataCentre, "dc-a")
	s.ExcludedFingerprint(1)
	s.EffectiveLimit("d1", "d1-t1")
	s.Limit(rules.Tenant, "head-office")
	s.Class("inspector")
}

func BenchmarkLookups(b *testing.B) {
	s := mustParse(b, sampleRules)
	b.ReportAllocs()
	for b.Loop() {
		runLookups(s)
	}
}

func BenchmarkParse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		mustParse(b, sampleRules)
	}
}
