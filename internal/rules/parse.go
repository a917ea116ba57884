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

// Error is one fault in a rules file. Lines and columns count from 1, and columns count characters, not bytes. If a word is
// missing, Column is the column after the last word of the rule.
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
	maxFoundChars = 40 // characters of an invalid word in an error
	maxValueBytes = 32 // bytes in the value of one setting
)

const byteOrderMark = "\ufeff"

// Parse parses a rules file. If the file has faults, the set is nil and the error joins one *Error for each fault, in
// line order, up to MaxErrors of them. Parse accepts a byte order mark at the start and CRLF line ends.
func Parse(text []byte) (*Set, error) {
	if len(text) > MaxFileBytes {
		return nil, &Error{Line: 1, Column: 1, Expected: fmt.Sprintf("at most %d bytes, the file has %d", MaxFileBytes, len(text))}
	}
	p := &parser{set: Empty(), firstLines: map[subject]int{}}
	rest := strings.TrimPrefix(string(text), byteOrderMark)
	for more := true; more; {
		var s string
		s, rest, more = strings.Cut(rest, "\n")
		p.lineNumber++
		p.lineText = strings.TrimSuffix(s, "\r")
		p.parseLine()
	}
	if p.omittedErrors > 0 {
		p.errs = append(p.errs, fmt.Errorf("%d further errors are not listed", p.omittedErrors))
	}
	if len(p.errs) > 0 {
		return nil, errors.Join(p.errs...)
	}
	return p.set, nil
}

// parser holds the state of one call of Parse.
type parser struct {
	set           *Set
	errs          []error
	omittedErrors int             // number of errors beyond MaxErrors
	firstLines    map[subject]int // line of the first rule for each verb and subject
	ruleCount     int             // number of rules in the lines up to the current one, valid or not
	lineNumber    int             // number of the current line
	lineText      string          // current line, without its line end
	ruleEnd       int             // byte offset after the last word of the current rule
	lineFailed    bool            // the current line has an error
}

// word is one word of a rule and its position in the line.
type word struct {
	text   string
	offset int // byte offset in the line
}

// addError adds an error at a byte offset of the current line, or counts the error if there are MaxErrors already.
func (p *parser) addError(offset int, found, expected string, args ...any) {
	p.lineFailed = true
	if len(p.errs) >= MaxErrors {
		p.omittedErrors++
		return
	}
	if r := []rune(found); len(r) > maxFoundChars {
		found = string(r[:maxFoundChars]) + "..."
	}
	p.errs = append(p.errs, &Error{
		Line:     p.lineNumber,
		Column:   utf8.RuneCountInString(p.lineText[:offset]) + 1,
		Expected: fmt.Sprintf(expected, args...),
		Found:    found,
	})
}

// addWordError adds an error for an invalid word.
func (p *parser) addWordError(w word, expected string, args ...any) {
	p.addError(w.offset, w.text, expected, args...)
}

// addMissingError adds an error for a word that is missing at the end of the rule.
func (p *parser) addMissingError(expected string) { p.addError(p.ruleEnd, "", "%s", expected) }

// parseLine parses the current line and adds its rule to the set if the line has no fault.
func (p *parser) parseLine() {
	p.lineFailed = false
	if !p.checkText() {
		return
	}
	ruleText, comment, hasComment := strings.Cut(p.lineText, "#")
	words := splitWords(ruleText)
	if len(words) == 0 {
		return
	}
	p.ruleCount++
	if p.ruleCount == MaxRules+1 { // only the first rule above the bound is reported
		p.addWordError(words[0], "at most %d rules", MaxRules)
	}
	last := words[len(words)-1]
	p.ruleEnd = last.offset + len(last.text)
	r := p.parseRule(words)
	r.origin = p.parseOrigin(len(ruleText), comment, hasComment)
	if !p.lineFailed {
		p.set.add(r)
	}
}

// checkText checks the length and the characters of the current line. It adds an error and returns false for the first
// fault.
func (p *parser) checkText() bool {
	if len(p.lineText) > MaxLineBytes {
		cutOffset := MaxLineBytes
		for cutOffset > 0 && !utf8.RuneStart(p.lineText[cutOffset]) {
			cutOffset--
		}
		p.addError(cutOffset, "", "at most %d bytes in a line, this one has %d", MaxLineBytes, len(p.lineText))
		return false
	}
	for i, r := range p.lineText {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(p.lineText[i:]); size == 1 {
				p.addError(i, "", "valid UTF-8, found byte 0x%02x", p.lineText[i])
				return false
			}
		}
		if r != '\t' && unicode.IsControl(r) {
			p.addError(i, "", "no control character, found %U", r)
			return false
		}
	}
	return true
}

// splitWords splits a rule into words at spaces and tabs. Other Unicode spaces look like spaces in an editor; they stay in
// the words, so that the checks of names and values reject them.
func splitWords(s string) []word {
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

// parseOrigin parses the comment of a rule. The parameter hashOffset is the byte offset of the "#" in the line; hasComment is
// false if the line has no comment.
func (p *parser) parseOrigin(hashOffset int, comment string, hasComment bool) Origin {
	const expected = `a comment "# who: why"`
	if !hasComment {
		p.addMissingError(expected)
		return Origin{}
	}
	who, why, hasColon := strings.Cut(comment, ":")
	who, why = strings.TrimSpace(who), strings.TrimSpace(why)
	switch {
	case !hasColon || who == "" || why == "":
		p.addError(hashOffset, "#"+comment, "%s", expected)
	case len(who) > MaxWhoBytes:
		p.addError(hashOffset, "", "at most %d bytes for who", MaxWhoBytes)
	case len(why) > MaxWhyBytes:
		p.addError(hashOffset, "", "at most %d bytes for why", MaxWhyBytes)
	}
	return Origin{Line: p.lineNumber, Who: strings.Clone(who), Why: strings.Clone(why)}
}

// parseRule parses the words of one rule.
func (p *parser) parseRule(words []word) rule {
	verb, rest := words[0], words[1:]
	switch verb.text {
	case verbExclude:
		return p.parseExclude(rest)
	case verbLimit:
		return p.parseLimit(rest)
	case verbClass:
		return p.parseClass(rest)
	}
	p.addWordError(verb, "exclude, limit or class")
	return rule{}
}

// parseExclude parses the words after the verb exclude.
func (p *parser) parseExclude(words []word) rule {
	kinds := []SubjectKind{DataCentre, VM, Target, Service, Fingerprint}
	excludedSubject, rest := p.parseSubject(verbExclude, kinds, words)
	for _, w := range rest {
		p.addWordError(w, "nothing after the name")
	}
	return rule{verb: verbExclude, kind: excludedSubject.kind, name: excludedSubject.name}
}

// parseLimit parses the words after the verb limit.
func (p *parser) parseLimit(words []word) rule {
	limitedSubject, rest := p.parseSubject(verbLimit, []SubjectKind{Target, Service, Tenant}, words)
	r := rule{verb: verbLimit, kind: limitedSubject.kind, name: limitedSubject.name}
	if limitedSubject.kind == "" {
		return r
	}
	validSettings := []setting{
		{"slots", limitParser(&r.limit.Slots)},
		{"connections", limitParser(&r.limit.Connections)},
	}
	if limitedSubject.kind == Tenant {
		validSettings = []setting{{"in_flight", limitParser(&r.limit.InFlight)}}
	}
	p.parseSettings(rest, validSettings)
	if len(rest) == 0 {
		p.addMissingError(describeKeys(validSettings) + " for a " + string(limitedSubject.kind))
	}
	return r
}

// parseClass parses the words after the verb class.
func (p *parser) parseClass(words []word) rule {
	r := rule{verb: verbClass, class: Class{Preference: PreferLatency, Priority: MaxPriority}}
	if len(words) == 0 {
		p.addMissingError("the name of a class")
		return r
	}
	r.name = p.parseName(words[0])
	r.class.Name = r.name
	p.rejectDuplicate(verbClass, words[0], r.name)
	givenKeys := p.parseSettings(words[1:], []setting{
		{"deadline", r.class.setDeadline},
		{"min_coverage", r.class.setMinCoverage},
		{"prefer", r.class.setPrefer},
		{"priority", r.class.setPriority},
	})
	if !slices.Contains(givenKeys, "deadline") {
		p.addMissingError("deadline=<duration>")
	}
	return r
}

// parseSubject parses "<kind> <name>" and returns the remaining words. The subject is empty if the kind is not one of kinds
// or a word is missing.
func (p *parser) parseSubject(verb string, kinds []SubjectKind, words []word) (subject, []word) {
	kindList := ""
	for i, k := range kinds {
		switch {
		case i == len(kinds)-1:
			kindList += " or "
		case i > 0:
			kindList += ", "
		}
		kindList += string(k)
	}
	if len(words) == 0 {
		p.addMissingError(kindList)
		return subject{}, nil
	}
	i := slices.Index(kinds, SubjectKind(words[0].text))
	if i < 0 {
		p.addWordError(words[0], "%s after %s", kindList, verb)
		return subject{}, nil
	}
	kind := kinds[i]
	if len(words) == 1 {
		p.addMissingError("the name of a " + string(kind))
		return subject{}, nil
	}
	name := p.parseName(words[1])
	if kind == Fingerprint {
		name = strings.ToLower(name)
		if _, ok := parseFingerprint(name); !ok {
			p.addWordError(words[1], "16 hex digits that are not all zero")
		}
	}
	p.rejectDuplicate(verb+" "+string(kind), words[1], name)
	return subject{kind, name}, words[2:]
}

// parseName checks a name and returns a copy. Without the copy, the set would keep the whole text of the file in memory.
func (p *parser) parseName(w word) string {
	invalid := func(r rune) bool { return r == '=' || !unicode.IsGraphic(r) || unicode.IsSpace(r) }
	if len(w.text) > MaxNameBytes || strings.ContainsFunc(w.text, invalid) {
		p.addWordError(w, `a name of at most %d bytes without "=" or invisible characters`, MaxNameBytes)
	}
	return strings.Clone(w.text)
}

// rejectDuplicate adds an error if an earlier line has a rule for the same name. The parameter ruleKind is the verb and the
// kind of the subject, or only the verb for a class.
func (p *parser) rejectDuplicate(ruleKind string, w word, name string) {
	key := subject{SubjectKind(ruleKind), name}
	if firstLine := p.firstLines[key]; firstLine != 0 {
		p.addWordError(w, "one rule for %s %s, the first is on line %d", ruleKind, name, firstLine)
		return
	}
	p.firstLines[key] = p.lineNumber
}

// setting is one key of "key=value" words and the parser of its values. The function parse stores a valid value and returns an
// empty text; for an invalid value it returns a description of the valid values.
type setting struct {
	key   string
	parse func(value string) (expected string)
}

// describeKeys lists the keys of the settings, as an error message states what was expected.
func describeKeys(validSettings []setting) string {
	keys := make([]string, len(validSettings))
	for i, s := range validSettings {
		keys[i] = s.key + "=<value>"
	}
	return strings.Join(keys, " or ")
}

// parseSettings parses "key=value" words and returns their keys, also those whose values are not valid.
func (p *parser) parseSettings(words []word, validSettings []setting) (givenKeys []string) {
	for _, w := range words {
		key, value, ok := strings.Cut(w.text, "=")
		i := slices.IndexFunc(validSettings, func(s setting) bool { return s.key == key })
		if !ok || i < 0 {
			p.addWordError(w, "%s", describeKeys(validSettings))
			continue
		}
		if slices.Contains(givenKeys, key) {
			p.addWordError(w, "%s only once", key)
			continue
		}
		givenKeys = append(givenKeys, key)
		if len(value) > maxValueBytes {
			p.addWordError(w, "a value of at most %d bytes for %s", maxValueBytes, key)
			continue
		}
		if expected := validSettings[i].parse(value); expected != "" {
			p.addWordError(w, "%s=%s", key, expected)
		}
	}
	return givenKeys
}

// hasOnlyDigits reports whether the value starts with a digit and consists only of digits and the characters in extra. This
// check is needed because strconv also accepts signs, exponents and NaN, which are not valid in a rules file.
func hasOnlyDigits(value, extra string) bool {
	return value != "" && value[0] >= '0' && value[0] <= '9' && strings.Trim(value, "0123456789"+extra) == ""
}

// parseInt parses a decimal integer, and reports whether it is valid and in the range from low to high.
func parseInt(value string, low, high int) (int, bool) {
	n, err := strconv.Atoi(value)
	return n, hasOnlyDigits(value, "") && err == nil && n >= low && n <= high
}

// limitParser returns a parse function for an integer from 1 to MaxLimit, which is stored in dst.
func limitParser(dst *int) func(string) string {
	return func(value string) string {
		n, ok := parseInt(value, 1, MaxLimit)
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
	if !hasOnlyDigits(value, ".") || err != nil || f > 1 {
		return "a decimal number from 0 to 1"
	}
	c.MinCoverage = f
	return ""
}

// setPrefer is the parse function of the key prefer.
func (c *Class) setPrefer(value string) string {
	switch Preference(value) {
	case PreferLatency:
		c.Preference = PreferLatency
	case PreferCoverage:
		c.Preference = PreferCoverage
	default:
		return "latency or prefer=coverage"
	}
	return ""
}

// setPriority is the parse function of the key priority.
func (c *Class) setPriority(value string) string {
	n, ok := parseInt(value, 0, MaxPriority)
	if !ok {
		return fmt.Sprintf("a whole number from 0 to %d", MaxPriority)
	}
	c.Priority = n
	return ""
}
