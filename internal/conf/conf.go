// Package conf reads the settings of one entry process from an INI file.
//
// # Usage
//
//	cfg, err := conf.Load("/etc/fuchsiarelay.ini")   // errors.Join of *conf.Error, one for each fault
//	cfg, err := conf.Parse(text)
//	os.Stdout.WriteString(conf.Example())            // every key with its meaning and default
//
// Names of sections and keys are in snake_case. Unknown sections and keys, repeated keys, and keys outside a section are
// errors; otherwise a misspelt key would be ignored and its default would apply unnoticed. A comment is a line that starts
// with "#" or ";", or the rest of a line after a space and one of these characters. Durations are written as 300ms, 2s or
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

// Timing holds intervals and lifetimes. The text that Example prints for each key says what the key means; the reasons for
// the values are in docs/design.md, sections 2.1, 2.7 and 2.9.
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
	MaxCallers     int // connections
	MaxBody        int // bytes
	MaxDeadline    time.Duration
	QueueLength    int // entries for each target
	MaxPeerMessage int // bytes
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

const maxFoundChars = 80 // characters of an invalid value in an error

// PropagationTime is the time within which a change reaches every peer (the dissemination bound in docs/design.md,
// section 2.1).
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
// *Error for each fault.
func Parse(text []byte) (Config, error) {
	// Package ini keeps the values of repeated keys only as shadows, and equal or empty ones only with these options. They
	// are needed to report repeated keys.
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
	p := &parser{values: map[string]string{}}
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
	cfg    Config
	values map[string]string // values in the file by "section.key"
	errs   []error
}

// addError adds an error.
func (p *parser) addError(section, key, found, expected string, args ...any) {
	if r := []rune(found); len(r) > maxFoundChars {
		found = string(r[:maxFoundChars]) + "..."
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
	valid := sectionKeys(s.Name())
	if valid == "" {
		p.addError(s.Name(), "", "", "one of the sections %s", sectionNames())
		return
	}
	for _, k := range s.Keys() {
		name := s.Name() + "." + k.Name()
		switch values := k.ValueWithShadows(); {
		case !isKnownKey(s.Name(), k.Name()):
			p.addError(s.Name(), k.Name(), "", "one of the keys %s", valid)
		case len(values) > 1:
			p.addError(s.Name(), k.Name(), "", "one value, %d are given", len(values))
			p.values[name] = values[0]
		default:
			p.values[name] = k.Value()
		}
	}
}

// parseKey parses the value of one key, or the default if the file has no value.
func (p *parser) parseKey(k key) {
	value, given := p.values[k.section+"."+k.name]
	switch {
	case given && value == "" && k.optional:
		return
	case !given && k.defaultValue == "":
		if !k.optional {
			p.addError(k.section, k.name, "", "%s; the key has no default", k.expected())
		}
		return
	}
	if !given {
		value = k.defaultValue
	}
	if !k.kind.parse(&p.cfg, value) {
		p.addError(k.section, k.name, cmp.Or(value, "an empty value"), "%s", k.expected())
	}
}

// checkRelations checks the conditions that relate several settings to each other.
func (p *parser) checkRelations() {
	t, l, n := p.cfg.Timing, p.cfg.Limits, p.cfg.Node
	if low := 2 * (t.FreshFor + PropagationTime); t.GrowDelay < low {
		p.addError("timing", "grow_delay", t.GrowDelay.String(), "at least twice (fresh_for + %v) = %v", PropagationTime, low)
	}
	if high := t.FreshFor / 2; t.PingInterval > high {
		p.addError("timing", "ping_interval", t.PingInterval.String(), "at most half of fresh_for, %v", high)
	}
	if high := t.FreshFor / 2; t.WatchWait > high {
		p.addError("timing", "watch_wait", t.WatchWait.String(), "at most half of fresh_for, %v", high)
	}
	// Callers use this process until its last address answer has expired. A token issued just before that may start an order
	// at the end of the token's lifetime, and the order may run for max_deadline. After that, the work that this process
	// dispatches for peers may run for max_deadline too.
	if low := t.AddressTTL + PropagationTime + t.TokenTTL + 2*l.MaxDeadline; t.StopLimit < low {
		p.addError("timing", "stop_limit", t.StopLimit.String(),
			"at least address_ttl + %v + token_ttl + 2 * max_deadline = %v, else a stop cuts off orders", PropagationTime, low)
	}
	if l.MaxPeerMessage < 2*l.MaxBody {
		p.addError("limits", "max_peer_message", fmt.Sprint(l.MaxPeerMessage), "at least twice max_body, %d", 2*l.MaxBody)
	}
	if n.PeerAddr == n.CallerAddr {
		p.addError("node", "peer_addr", n.PeerAddr.String(), "an address other than caller_addr")
	}
	if n.AdminAddr == n.CallerAddr || n.AdminAddr == n.PeerAddr {
		p.addError("node", "admin_addr", n.AdminAddr.String(), "an address other than caller_addr and peer_addr")
	}
	tls := p.cfg.TLS
	for _, f := range []struct{ name, path string }{
		{"peer_cert", tls.PeerCert},
		{"peer_key", tls.PeerKey},
		{"peer_ca", tls.PeerCA},
	} {
		if f.path == "" && tls != (TLS{}) {
			p.addError("tls", f.name, "", "a file path, since another key of [tls] is set")
		}
	}
}
