package rules

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Error is one fault in a rules file. Lines and columns start at 1, and a column counts characters. For a missing word,
// Column is the column after the last word of the rule.
type Error struct {
	Line, Column int
	Expected     string
	Found        string // the invalid word, cut to 40 characters; empty if a word is missing or the fault is not in one word
}

// Error implements error.
func (e *Error) Error() string {
	if e.Found == "" {
		return fmt.Sprintf("line %d, column %d: expected %s", e.Line, e.Column, e.Expected)
	}
	return fmt.Sprintf("line %d, column %d: expected %s, found %q", e.Line, e.Column, e.Expected, e.Found)
}

const (
	maxFound = 40 // characters of an invalid word in an error
	maxValue = 32 // bytes in the value of one setting
)

const byteOrderMark = "\ufeff"

// Parse parses a rules file. If the file has faults, the set is nil and the error joins one *Error for each fault, in
// line order, up to MaxErrors of them. Parse accepts a byte order mark at the start and CRLF line ends.
func Parse(text []byte) (*Set, error) {
	if len(text) > MaxText {
		return nil, &Error{Line: 1, Column: 1, Expected: fmt.Sprintf("at most %d bytes, the file has %d", MaxText, len(text))}
	}
	p := &parser{set: Empty(), lines: map[subject]int{}}
	rest := strings.TrimPrefix(string(text), byteOrderMark)
	for more := true; more; {
		var s string
		s, rest, more = strings.Cut(rest, "\n")
		p.num++
		p.text = strings.TrimSuffix(s, "\r")
		p.line()
	}
	if p.omitted > 0 {
		p.errs = append(p.errs, fmt.Errorf("%d further errors are not listed", p.omitted))
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.set, nil
}

// parser holds the state of one call of Parse.
type parser struct {
	set     *Set
	errs    []error
	omitted int             // errors beyond MaxErrors
	lines   map[subject]int // line of the first rule for each verb and subject
	rules   int             // rules in the lines so far, valid or not
	num     int             // number of the current line
	text    string          // current line, without its line end
	end     int             // byte offset after the last word of the rule
	failed  bool            // the current line has an error
}

// word is one word of a rule.
type word struct {
	text string
	at   int // byte offset in the line
}

// fail adds an error at a byte offset of the current line, or counts the error if there are MaxErrors already.
func (p *parser) fail(at int, found, expected string, args ...any) {
	p.failed = true
	if len(p.errs) >= MaxErrors {
		p.omitted++
		return
	}
	if r := []rune(found); len(r) > maxFound {
		found = string(r[:maxFound]) + "..."
	}
	p.errs = append(p.errs, &Error{
		Line:     p.num,
		Column:   utf8.RuneCountInString(p.text[:at]) + 1,
		Expected: fmt.Sprintf(expected, args...),
		Found:    found,
	})
}

// failWord adds an error for an invalid word.
func (p *parser) failWord(w word, expected string, args ...any) {
	p.fail(w.at, w.text, expected, args...)
}

// failMissing adds an error for a word that is missing at the end of the rule.
func (p *parser) failMissing(expected string) { p.fail(p.end, "", "%s", expected) }

// line parses the current line and adds its rule to the set if the line has no fault.
func (p *parser) line() {
	p.failed = false
	if !p.checkText() {
		return
	}
	body, comment, commented := strings.Cut(p.text, "#")
	words := split(body)
	if len(words) == 0 {
		return
	}
	p.rules++
	if p.rules == MaxRules+1 { // this error is reported for the first rule above the bound only
		p.failWord(words[0], "at most %d rules", MaxRules)
	}
	last := words[len(words)-1]
	p.end = last.at + len(last.text)
	r := p.rule(words)
	r.origin = p.origin(len(body), comment, commented)
	if !p.failed {
		p.set.add(r)
	}
}

// checkText checks the length and the characters of the current line. It adds an error and returns false for the first
// fault.
func (p *parser) checkText() bool {
	if len(p.text) > MaxLine {
		at := MaxLine
		for at > 0 && !utf8.RuneStart(p.text[at]) {
			at--
		}
		p.fail(at, "", "at most %d bytes in a line, this one has %d", MaxLine, len(p.text))
		return false
	}
	for i, r := range p.text {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(p.text[i:]); size == 1 {
				p.fail(i, "", "valid UTF-8, found byte 0x%02x", p.text[i])
				return false
			}
		}
		if r != '\t' && unicode.IsControl(r) {
			p.fail(i, "", "no control character, found %U", r)
			return false
		}
	}
	return true
}

// split splits a rule into words at spaces and tabs. Other Unicode spaces look like spaces in an editor; split leaves
// them in the words, so that the checks of names and values reject them.
func split(s string) []word {
	var out []word
	start := -1
	for i := 0; i <= len(s); i++ {
		blank := i == len(s) || s[i] == ' ' || s[i] == '\t'
		switch {
		case blank && start >= 0:
			out = append(out, word{s[start:i], start})
			start = -1
		case !blank && start < 0:
			start = i
		}
	}
	return out
}

// origin parses the comment of a rule. The parameter body is the byte offset of the "#" in the line; found is false if
// the line has no comment.
func (p *parser) origin(body int, comment string, found bool) Origin {
	const expected = `a comment "# who: why"`
	if !found {
		p.failMissing(expected)
		return Origin{}
	}
	who, why, ok := strings.Cut(comment, ":")
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	switch {
	case !ok || who == "" || why == "":
		p.fail(body, "#"+comment, "%s", expected)
	case len(who) > MaxWho:
		p.fail(body, "", "at most %d bytes for who", MaxWho)
	case len(why) > MaxWhy:
		p.fail(body, "", "at most %d bytes for why", MaxWhy)
	}
	return Origin{Line: p.num, Who: strings.Clone(who), Why: strings.Clone(why)}
}

// rule parses the words of one rule.
func (p *parser) rule(words []word) rule {
	verb, rest := words[0], words[1:]
	switch verb.text {
	case verbExclude:
		return p.exclude(rest)
	case verbLimit:
		return p.limit(rest)
	case verbClass:
		return p.class(rest)
	}
	p.failWord(verb, "exclude, limit or class")
	return rule{}
}

// exclude parses the words after the verb exclude.
func (p *parser) exclude(words []word) rule {
	kinds := []Subject{DataCentre, VM, Target, Service, Fingerprint}
	sub, rest := p.subject(verbExclude, kinds, words)
	for _, w := range rest {
		p.failWord(w, "nothing after the name")
	}
	return rule{verb: verbExclude, kind: sub.kind, name: sub.name}
}

// limit parses the words after the verb limit.
func (p *parser) limit(words []word) rule {
	sub, rest := p.subject(verbLimit, []Subject{Target, Service, Tenant}, words)
	r := rule{verb: verbLimit, kind: sub.kind, name: sub.name}
	if sub.kind == "" {
		return r
	}
	valid := []setting{
		{"slots", count(&r.limit.Slots)},
		{"connections", count(&r.limit.Connections)},
	}
	if sub.kind == Tenant {
		valid = []setting{{"in_flight", count(&r.limit.InFlight)}}
	}
	p.settings(rest, valid)
	if len(rest) == 0 {
		p.failMissing(keysOf(valid) + " for a " + string(sub.kind))
	}
	return r
}

// class parses the words after the verb class.
func (p *parser) class(words []word) rule {
	r := rule{verb: verbClass, class: Class{Prefer: Latency, Priority: MaxPriority}}
	if len(words) == 0 {
		p.failMissing("the name of a class")
		return r
	}
	r.name = p.name(words[0])
	r.class.Name = r.name
	p.once(verbClass, words[0], r.name)
	given := p.settings(words[1:], []setting{
		{"deadline", r.class.setDeadline},
		{"min_coverage", r.class.setMinCoverage},
		{"prefer", r.class.setPrefer},
		{"priority", r.class.setPriority},
	})
	if !slices.Contains(given, "deadline") {
		p.failMissing("deadline=<duration>")
	}
	return r
}

// subject parses "<kind> <name>" and returns the remaining words. The subject is empty if the kind is not one of kinds or
// a word is missing.
func (p *parser) subject(verb string, kinds []Subject, words []word) (subject, []word) {
	list := ""
	for i, k := range kinds {
		switch {
		case i == len(kinds)-1:
			list += " or "
		case i > 0:
			list += ", "
		}
		list += string(k)
	}
	if len(words) == 0 {
		p.failMissing(list)
		return subject{}, nil
	}
	i := slices.Index(kinds, Subject(words[0].text))
	if i < 0 {
		p.failWord(words[0], "%s after %s", list, verb)
		return subject{}, nil
	}
	kind := kinds[i]
	if len(words) == 1 {
		p.failMissing("the name of a " + string(kind))
		return subject{}, nil
	}
	name := p.name(words[1])
	if kind == Fingerprint {
		name = strings.ToLower(name)
		if _, ok := parseFingerprint(name); !ok {
			p.failWord(words[1], "16 hex digits that are not all zero")
		}
	}
	p.once(verb+" "+string(kind), words[1], name)
	return subject{kind, name}, words[2:]
}

// name checks a name and returns a copy. Without the copy, the set would keep the whole text of the file in memory.
func (p *parser) name(w word) string {
	bad := func(r rune) bool { return r == '=' || !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	if len(w.text) > MaxName || strings.ContainsFunc(w.text, bad) {
		p.failWord(w, `a name of at most %d bytes without "=" or invisible characters`, MaxName)
	}
	return strings.Clone(w.text)
}

// once adds an error if an earlier line has a rule for the same name. The parameter what is the verb and the kind of the
// subject, or only the verb for a class.
func (p *parser) once(what string, w word, name string) {
	key := subject{Subject(what), name}
	if first := p.lines[key]; first != 0 {
		p.failWord(w, "one rule for %s %s, the first is on line %d", what, name, first)
		return
	}
	p.lines[key] = p.num
}

// setting describes the values of one key in "key=value". The function parse stores a valid value; for any other value it
// returns a description of the values that are valid.
type setting struct {
	key   string
	parse func(value string) (expected string)
}

// keysOf lists the keys for an error message.
func keysOf(valid []setting) string {
	keys := make([]string, len(valid))
	for i, s := range valid {
		keys[i] = s.key + "=<value>"
	}
	return strings.Join(keys, " or ")
}

// settings parses "key=value" words and returns their keys, also those whose values are not valid.
func (p *parser) settings(words []word, valid []setting) (given []string) {
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		i := slices.IndexFunc(valid, func(s setting) bool { return s.key == key })
		if !ok || i < 0 {
			p.failWord(w, "%s", keysOf(valid))
			continue
		}
		if slices.Contains(given, key) {
			p.failWord(w, "%s only once", key)
			continue
		}
		given = append(given, key)
		if len(value) > maxValue {
			p.failWord(w, "a value of at most %d bytes for %s", maxValue, key)
			continue
		}
		if expected := valid[i].parse(value); expected != "" {
			p.failWord(w, "%s=%s", key, expected)
		}
	}
	return given
}

// digits reports whether the value starts with a digit and consists only of digits and the extra characters. strconv
// also accepts signs, exponents and NaN, which are not valid in a rules file.
func digits(value, extra string) bool {
	return value != "" && value[0] >= '0' && value[0] <= '9' && strings.Trim(value, "0123456789"+extra) == ""
}

// number parses a decimal integer and reports whether it is valid and from low to high.
func number(value string, low, high int) (int, bool) {
	n, err := strconv.Atoi(value)
	return n, digits(value, "") && err == nil && n >= low && n <= high
}

// count returns a parse function for an integer from 1 to MaxLimit, which is stored in dst.
func count(dst *int) func(string) string {
	return func(value string) string {
		n, ok := number(value, 1, MaxLimit)
		if !ok {
			return fmt.Sprintf("a whole number from 1 to %d", MaxLimit)
		}
		*dst = n
		return ""
	}
}

// setDeadline is the parse function of the key deadline.
func (c *Class) setDeadline(value string) string {
	d, err := time.ParseDuration(value)
	if err != nil || d < MinDeadline || d > MaxDeadline {
		return fmt.Sprintf("a duration from %v to %v such as 300ms", MinDeadline, MaxDeadline)
	}
	c.Deadline = d
	return ""
}

// setMinCoverage is the parse function of the key min_coverage.
func (c *Class) setMinCoverage(value string) string {
	f, err := strconv.ParseFloat(value, 64)
	if !digits(value, ".") || err != nil || f > 1 {
		return "a decimal number from 0 to 1"
	}
	c.MinCoverage = f
	return ""
}

// setPrefer is the parse function of the key prefer.
func (c *Class) setPrefer(value string) string {
	switch Prefer(value) {
	case Latency:
		c.Prefer = Latency
	case Coverage:
		c.Prefer = Coverage
	default:
		return "latency or prefer=coverage"
	}
	return ""
}

// setPriority is the parse function of the key priority.
func (c *Class) setPriority(value string) string {
	n, ok := number(value, 0, MaxPriority)
	if !ok {
		return fmt.Sprintf("a whole number from 0 to %d", MaxPriority)
	}
	c.Priority = n
	return ""
}
