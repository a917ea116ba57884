// Package conf reads and checks the settings of one entry process, which are in an INI file.
//
// # Usage
//
//	cfg, err := conf.Load("/etc/fuchsiarelay.ini")   // err wraps one *conf.Error for each fault
//	cfg, err = conf.Parse(text)
//	os.Stdout.WriteString(conf.Example())            // every key with its meaning and default
//
// Names of sections and keys are in snake_case. Unknown sections and keys, repeated keys, and keys outside a section are errors;
// otherwise a misspelt key would be ignored, and the default of the intended key would apply unnoticed. A comment is a line that
// starts with "#" or ";", or the rest of a line after a space and one of these characters. Durations are written as 300ms, 2s or
// 1m; sizes are in bytes.
//
// The package doesn't read the clock and keeps no state between calls. Only Load does I/O: it reads the settings file.
package conf

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"gopkg.in/ini.v1"
)

// Config holds all settings of one entry process.
type Config struct {
	Node     Node
	Platform Platform
	Timing   Timing
	Limits   Limits
	TLS      TLS
	Log      Log
}

// Node holds the VM and the data centre of the process, and the addresses on which the process listens.
type Node struct {
	VMID       string
	DataCentre string
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	AdminAddr  netip.AddrPort
}

// Platform holds the address of the platform's configuration service.
type Platform struct {
	Addr netip.AddrPort
}

// Timing holds intervals and lifetimes. The output of Example describes each of them. Sections 2.1, 2.7 and 2.9 of
// docs/design.md give the reasons for the values.
type Timing struct {
	FreshFor     time.Duration
	GrowDelay    time.Duration
	PingInterval time.Duration
	WatchWait    time.Duration
	AddressTTL   time.Duration
	TokenTTL     time.Duration
	StopLimit    time.Duration
}

// Limits holds the bounds on connections, requests and messages of one process.
type Limits struct {
	MaxCallers     int // connections from callers
	MaxBody        int // size of a request body, in bytes
	MaxDeadline    time.Duration
	QueueLength    int // entries in the queue of each target
	MaxPeerMessage int // size of a message between entry processes, in bytes
}

// TLS holds the file paths for mutual TLS between entry processes. Either all are set or none.
type TLS struct {
	PeerCert string
	PeerKey  string
	PeerCA   string
}

// Enabled reports whether connections between entry processes use TLS.
func (t TLS) Enabled() bool { return t.PeerCert != "" }

// Log holds the log settings.
type Log struct {
	Level string // debug, info, warn or error
}

// Error is one fault in the settings.
type Error struct {
	Section, Key string // Key is empty if the section itself is unknown
	Expected     string
	Found        string // the invalid value, cut to 80 characters; may be empty
}

// Error implements error.
func (e *Error) Error() string {
	location := "[" + e.Section + "]"
	if e.Key != "" {
		location += " " + e.Key
	}
	if e.Found == "" {
		return fmt.Sprintf("%s: expected %s", location, e.Expected)
	}
	return fmt.Sprintf("%s: expected %s, found %q", location, e.Expected, e.Found)
}

const maxFoundChars = 80 // largest number of characters of an invalid value in an error

// PropagationTime is the time within which a change reaches every peer. docs/design.md, section 2.1, calls it the dissemination
// bound.
const PropagationTime = time.Second

// minPeerMessageBytes is the lower bound of max_peer_message: the largest published document (1 MiB) and room for the
// other fields of the CBOR message that holds the document.
const minPeerMessageBytes = 1<<20 + 1<<16

// Load reads the settings file and parses it with Parse.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read settings: %w", err)
	}
	cfg, err := Parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return cfg, nil
}

// Parse parses and checks the text of a settings file. If settings are wrong, the Config is zero and the error joins one
// *Error for each fault. If the text isn't valid INI, the error is the one of package ini.
func Parse(text []byte) (Config, error) {
	// Parse reports repeated keys. Package ini keeps the values of repeated keys only as shadows, and keeps equal or empty
	// values only with the three options for shadows.
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		return Config{}, fmt.Errorf("decode INI: %w", err)
	}
	p := &parser{rawValues: map[string]string{}}
	for _, section := range file.Sections() {
		p.collectSection(section)
	}
	for _, k := range keys {
		p.parseKey(k)
	}
	if len(p.errs) == 0 {
		// With an invalid value, checkRelations would report a second error for the same fault.
		p.checkRelations()
	}
	if len(p.errs) > 0 {
		return Config{}, errors.Join(p.errs...)
	}
	return p.cfg, nil
}

// parser holds the state of one call of Parse.
type parser struct {
	cfg       Config
	rawValues map[string]string // text of the values in the file, by "section.key"
	errs      []error
}

// addError adds an error for a setting. The text found is cut to maxFoundChars characters.
func (p *parser) addError(section, key, found, expected string, args ...any) {
	if runes := []rune(found); len(runes) > maxFoundChars {
		found = string(runes[:maxFoundChars]) + "..."
	}
	p.errs = append(p.errs, &Error{Section: section, Key: key, Expected: fmt.Sprintf(expected, args...), Found: found})
}

// collectSection collects the values of a section. It adds an error for each section or key that is not in keys, and for
// each repeated key.
func (p *parser) collectSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			p.addError(s.Name(), k.Name(), "", "no key outside a section")
		}
		return
	}
	validKeys := sectionKeys(s.Name())
	if validKeys == "" {
		p.addError(s.Name(), "", "", "one of the sections %s", sectionNames())
		return
	}
	for _, k := range s.Keys() {
		name := s.Name() + "." + k.Name()
		switch values := k.ValueWithShadows(); {
		case !isKnownKey(s.Name(), k.Name()):
			p.addError(s.Name(), k.Name(), "", "one of the keys %s", validKeys)
		case len(values) > 1:
			p.addError(s.Name(), k.Name(), "", "one value, %d are given", len(values))
			p.rawValues[name] = values[0]
		default:
			p.rawValues[name] = k.Value()
		}
	}
}

// parseKey parses the value of one key, or the default if the file has no value.
func (p *parser) parseKey(k settingKey) {
	value, isGiven := p.rawValues[k.section+"."+k.name]
	switch {
	case isGiven && value == "" && k.optional:
		return
	case !isGiven && k.defaultValue == "":
		if !k.optional {
			p.addError(k.section, k.name, "", "%s; the key has no default", k.expected())
		}
		return
	}
	if !isGiven {
		value = k.defaultValue
	}
	if !k.kind.parse(&p.cfg, value) {
		p.addError(k.section, k.name, cmp.Or(value, "an empty value"), "%s", k.expected())
	}
}

// checkRelations checks the conditions that involve several settings.
func (p *parser) checkRelations() {
	timing, limits, node := p.cfg.Timing, p.cfg.Limits, p.cfg.Node
	if low := 2 * (timing.FreshFor + PropagationTime); timing.GrowDelay < low {
		p.addError("timing", "grow_delay", timing.GrowDelay.String(), "at least twice (fresh_for + %v) = %v", PropagationTime, low)
	}
	if high := timing.FreshFor / 2; timing.PingInterval > high {
		p.addError("timing", "ping_interval", timing.PingInterval.String(), "at most half of fresh_for, %v", high)
	}
	if high := timing.FreshFor / 2; timing.WatchWait > high {
		p.addError("timing", "watch_wait", timing.WatchWait.String(), "at most half of fresh_for, %v", high)
	}
	// Callers use this process until its last address answer has expired. A token issued just before that may start an order at
	// the end of the token's lifetime, and the order may run for max_deadline. Afterwards, the work that this process dispatches
	// for peers may run for another max_deadline.
	if low := timing.AddressTTL + PropagationTime + timing.TokenTTL + 2*limits.MaxDeadline; timing.StopLimit < low {
		p.addError("timing", "stop_limit", timing.StopLimit.String(),
			"at least address_ttl + %v + token_ttl + 2 * max_deadline = %v, else a stop cuts off orders", PropagationTime, low)
	}
	if limits.MaxPeerMessage < 2*limits.MaxBody {
		p.addError("limits", "max_peer_message", fmt.Sprint(limits.MaxPeerMessage), "at least twice max_body, %d", 2*limits.MaxBody)
	}
	if node.PeerAddr == node.CallerAddr {
		p.addError("node", "peer_addr", node.PeerAddr.String(), "an address other than caller_addr")
	}
	if node.AdminAddr == node.CallerAddr || node.AdminAddr == node.PeerAddr {
		p.addError("node", "admin_addr", node.AdminAddr.String(), "an address other than caller_addr and peer_addr")
	}
	tlsFiles := p.cfg.TLS
	for _, file := range []struct{ name, path string }{
		{"peer_cert", tlsFiles.PeerCert},
		{"peer_key", tlsFiles.PeerKey},
		{"peer_ca", tlsFiles.PeerCA},
	} {
		if file.path == "" && tlsFiles != (TLS{}) {
			p.addError("tls", file.name, "", "a file path, since another key of [tls] is set")
		}
	}
}
