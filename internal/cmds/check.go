package cmds

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
)

type checkCommand struct {
	app    *app
	Config string `long:"config" value-name:"FILE" description:"settings file of an entry process"`
	Rules  string `long:"rules" value-name:"FILE" description:"rules file"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	if c.Config == "" && c.Rules == "" {
		return usageError("check needs --config or --rules")
	}
	var faults []fault
	if c.Config != "" {
		_, found := loadSettings(c.Config)
		faults = append(faults, found...)
	}
	if c.Rules != "" {
		_, found := loadRules(c.Rules)
		faults = append(faults, found...)
	}
	return c.app.printFaults(faults)
}

// fault is one error in a settings file or rules file. Lines and columns count from 1; line 0 means the whole file.
type fault struct {
	path         string
	line, column int
	text         string
}

// String returns the fault in the form path:line:column: text, or path: text if it concerns the whole file.
func (f fault) String() string {
	if f.line == 0 {
		return f.path + ": " + f.text
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.path, f.line, f.column, f.text)
}

// printFaults prints the faults to standard error. If there are any, the returned error carries ExitFailure and no text.
func (a *app) printFaults(faults []fault) error {
	for _, f := range faults {
		_, _ = fmt.Fprintln(a.stderr, f)
	}
	if len(faults) > 0 {
		return &exitError{code: ExitFailure}
	}
	return nil
}

// expectedText returns the part of the message of a conf.Error or rules.Error that follows the position: what was expected and
// what was found.
func expectedText(want, found string) string {
	if found == "" {
		return "expected " + want
	}
	return fmt.Sprintf("expected %s, found %q", want, found)
}

// joinedErrors returns the errors that errors.Join has combined into err, or a list of only err if it is a single error.
func joinedErrors(err error) []error {
	if joinedErr, ok := err.(interface{ Unwrap() []error }); ok {
		return joinedErr.Unwrap()
	}
	return []error{err}
}

// loadSettings reads and parses a settings file and returns every fault in it.
func loadSettings(path string) (conf.Config, []fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return conf.Config{}, []fault{{path: path, text: err.Error()}}
	}
	cfg, err := conf.Parse(text)
	if err == nil {
		return cfg, nil
	}
	var faults []fault
	for _, e := range joinedErrors(err) {
		f := fault{path: path, text: e.Error()}
		var settingErr *conf.Error
		if errors.As(e, &settingErr) {
			f.line, f.column = settingPosition(string(text), settingErr.Section, settingErr.Key)
			// The text names the section and the key, because the position of a missing key is only that of its section.
			f.text = "[" + strings.TrimSpace(settingErr.Section+"] "+settingErr.Key) + ": " + expectedText(settingErr.Expected, settingErr.Found)
		}
		faults = append(faults, f)
	}
	return conf.Config{}, faults
}

// settingPosition returns the position of the last line that sets the key. If there is none, it returns the position of the
// first header of the section, or the start of the file if the section is missing too.
func settingPosition(text, section, key string) (line, column int) {
	line, column = 1, 1
	currentSection := "DEFAULT" // the ini package's name for the part before the first section
	headerSeen := false
	for i, lineText := range strings.Split(text, "\n") {
		trimmed := strings.TrimSpace(lineText)
		space := len(lineText) - len(strings.TrimLeftFunc(lineText, unicode.IsSpace))
		indent := utf8.RuneCountInString(lineText[:space]) + 1
		if strings.HasPrefix(trimmed, "[") {
			currentSection = strings.TrimSpace(strings.Trim(trimmed, "[]"))
			if currentSection == section && !headerSeen {
				line, column, headerSeen = i+1, indent, true
			}
			continue
		}
		name, _, ok := strings.Cut(trimmed, "=")
		if ok && key != "" && currentSection == section && strings.TrimSpace(name) == key {
			line, column = i+1, indent
		}
	}
	return line, column
}

// loadRules reads and parses a rules file. If the file has faults, it returns nil and all of them.
func loadRules(path string) (*rules.Set, []fault) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, []fault{{path: path, text: err.Error()}}
	}
	set, err := rules.Parse(text)
	if err == nil {
		return set, nil
	}
	var faults []fault
	for _, e := range joinedErrors(err) {
		f := fault{path: path, text: e.Error()}
		var ruleErr *rules.Error
		if errors.As(e, &ruleErr) {
			f.line, f.column, f.text = ruleErr.Line, ruleErr.Column, expectedText(ruleErr.Expected, ruleErr.Found)
		}
		faults = append(faults, f)
	}
	return nil, faults
}
