package conf

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// settingKey describes one setting. The variable keys is the only list of settings; Parse and Example both use it.
type settingKey struct {
	section, name string
	defaultValue  string // empty if there is none
	optional      bool   // may be missing although there is no default
	example       string // value that Example prints if there is no default
	doc           string // comment that Example prints
	kind          valueKind
}

// expected returns a description of the valid values.
func (k settingKey) expected() string { return k.kind.expected }

// valueKind describes and checks the valid values of a key. The function parse stores a value in its field of Config and
// reports whether the value is valid.
type valueKind struct {
	expected string
	parse    func(c *Config, value string) bool
}

// keys lists all settings, in the order in which Example prints them.
var keys = []settingKey{
	{
		section: "node", name: "vm_id", example: "10.0.0.7",
		doc:  "Id of this VM in the published list of VMs.",
		kind: idKind(func(c *Config) *string { return &c.Node.VMID }),
	},
	{
		section: "node", name: "data_centre", example: "dc-a",
		doc:  "Data centre of this VM, as in the published list.",
		kind: idKind(func(c *Config) *string { return &c.Node.DataCentre }),
	},
	{
		section: "node", name: "caller_addr", example: "10.0.0.7:8080",
		doc:  "Address on which callers reach this process; callers receive exactly this address.",
		kind: addressKind(func(c *Config) *netip.AddrPort { return &c.Node.CallerAddr }),
	},
	{
		section: "node", name: "peer_addr", example: "10.0.0.7:8081",
		doc:  "Address on which other entry processes reach this process.",
		kind: addressKind(func(c *Config) *netip.AddrPort { return &c.Node.PeerAddr }),
	},
	{
		section: "node", name: "admin_addr", example: "10.0.0.7:8082",
		doc:  "Address of the read-only administration API.",
		kind: addressKind(func(c *Config) *netip.AddrPort { return &c.Node.AdminAddr }),
	},
	{
		section: "platform", name: "addr", example: "10.0.0.2:8500",
		doc:  "Address of the platform's configuration service.",
		kind: addressKind(func(c *Config) *netip.AddrPort { return &c.Platform.Addr }),
	},
	{
		section: "timing", name: "fresh_for", defaultValue: "2s",
		doc:  "Requests are sent to targets only if the configuration was confirmed as the newest within this time. Bounds how long an exclusion may be missed.",
		kind: durationKind(100*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.FreshFor }),
	},
	{
		section: "timing", name: "grow_delay", defaultValue: "6s",
		doc:  "A dispatcher's share of a target grows only after the published lists were unchanged for this time; at least twice (fresh_for + 1s).",
		kind: durationKind(time.Millisecond, 10*time.Minute, func(c *Config) *time.Duration { return &c.Timing.GrowDelay }),
	},
	{
		section: "timing", name: "ping_interval", defaultValue: "300ms",
		doc:  "Interval of pings to each peer; at most half of fresh_for.",
		kind: durationKind(10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.PingInterval }),
	},
	{
		section: "timing", name: "watch_wait", defaultValue: "500ms",
		doc:  "Longest wait of one watch at the platform; at most half of fresh_for.",
		kind: durationKind(10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.WatchWait }),
	},
	{
		section: "timing", name: "address_ttl", defaultValue: "2s",
		doc:  "Lifetime of an address answer. A graceful stop waits for at least this long.",
		kind: durationKind(100*time.Millisecond, maxAddressTTL, func(c *Config) *time.Duration { return &c.Timing.AddressTTL }),
	},
	{
		section: "timing", name: "token_ttl", defaultValue: "10s",
		doc:  "Lifetime of an order token before its first use.",
		kind: durationKind(100*time.Millisecond, 10*time.Minute, func(c *Config) *time.Duration { return &c.Timing.TokenTTL }),
	},
	{
		section: "timing", name: "stop_limit", defaultValue: "90s",
		doc:  "A graceful stop takes no longer than this; at least address_ttl + 1s + token_ttl + 2 * max_deadline.",
		kind: durationKind(time.Second, time.Hour, func(c *Config) *time.Duration { return &c.Timing.StopLimit }),
	},
	{
		section: "limits", name: "max_callers", defaultValue: "1024",
		doc:  "Largest number of connections from callers.",
		kind: integerKind(1, 1<<20, func(c *Config) *int { return &c.Limits.MaxCallers }),
	},
	{
		section: "limits", name: "max_body", defaultValue: "262144",
		doc:  "Largest request body from a caller, in bytes.",
		kind: integerKind(1024, 16<<20, func(c *Config) *int { return &c.Limits.MaxBody }),
	},
	{
		section: "limits", name: "max_deadline", defaultValue: "30s",
		doc:  "Longest deadline of a request.",
		kind: durationKind(time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Limits.MaxDeadline }),
	},
	{
		section: "limits", name: "queue_length", defaultValue: "64",
		doc:  "Largest number of entries in the queue of each target.",
		kind: integerKind(1, 1<<16, func(c *Config) *int { return &c.Limits.QueueLength }),
	},
	{
		section: "limits", name: "max_peer_message", defaultValue: "1572864",
		doc:  "Largest message between entry processes, in bytes; must hold a published document of 1 MiB, and at least twice max_body.",
		kind: integerKind(minPeerMessageBytes, 64<<20, func(c *Config) *int { return &c.Limits.MaxPeerMessage }),
	},
	{
		section: "tls", name: "peer_cert", optional: true, example: "/etc/fuchsiarelay/peer.crt",
		doc:  "Certificate for links between entry processes, as a file path. All three keys of [tls] are set, or none.",
		kind: pathKind(func(c *Config) *string { return &c.TLS.PeerCert }),
	},
	{
		section: "tls", name: "peer_key", optional: true, example: "/etc/fuchsiarelay/peer.key",
		doc:  "Private key of peer_cert, as a file path.",
		kind: pathKind(func(c *Config) *string { return &c.TLS.PeerKey }),
	},
	{
		section: "tls", name: "peer_ca", optional: true, example: "/etc/fuchsiarelay/peer-ca.crt",
		doc:  "Certificate authority that signs the certificates of all peers, as a file path.",
		kind: pathKind(func(c *Config) *string { return &c.TLS.PeerCA }),
	},
	{
		section: "log", name: "level", defaultValue: "info",
		doc:  "Least severe level that is logged: debug, info, warn or error.",
		kind: logLevelKind,
	},
}

const maxTextBytes = 1024 // largest length of an ID or a path, in bytes

// idKind returns the kind of an ID: visible characters without spaces.
func idKind(field func(*Config) *string) valueKind {
	return valueKind{"a word of at most 1024 bytes without spaces", func(c *Config, value string) bool {
		*field(c) = value
		invalid := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsGraphic(r) || r == unicode.ReplacementChar }
		return value != "" && len(value) <= maxTextBytes && !strings.ContainsFunc(value, invalid)
	}}
}

// pathKind returns the kind of a file path. The check doesn't open the file.
func pathKind(field func(*Config) *string) valueKind {
	return valueKind{"a file path", func(c *Config, value string) bool {
		*field(c) = value
		return value != "" && len(value) <= maxTextBytes && !strings.ContainsFunc(value, unicode.IsControl)
	}}
}

// addressKind returns the kind of an IP address with a port. The unspecified IP address (0.0.0.0 or ::) isn't valid, because
// callers and peers receive the address as it is in the settings file, and connect to it.
func addressKind(field func(*Config) *netip.AddrPort) valueKind {
	return valueKind{"an IP number with a port such as 10.0.0.7:8080", func(c *Config, value string) bool {
		a, err := netip.ParseAddrPort(value)
		if err != nil || a.Port() == 0 {
			return false
		}
		// An IPv4-mapped IPv6 address is stored as the IPv4 address, so that both compare equal.
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		*field(c) = a
		return !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
	}}
}

// durationKind returns the kind of a duration in the range from low to high.
func durationKind(low, high time.Duration, field func(*Config) *time.Duration) valueKind {
	return valueKind{fmt.Sprintf("a duration from %v to %v", low, high), func(c *Config, value string) bool {
		d, err := time.ParseDuration(value)
		*field(c) = d
		return err == nil && d >= low && d <= high
	}}
}

// integerKind returns the kind of an integer in the range from low to high.
func integerKind(low, high int, field func(*Config) *int) valueKind {
	return valueKind{fmt.Sprintf("a whole number from %d to %d", low, high), func(c *Config, value string) bool {
		n, err := strconv.Atoi(value)
		*field(c) = n
		return err == nil && n >= low && n <= high
	}}
}

// logLevelKind is the kind of the least severe level that is logged.
var logLevelKind = valueKind{"debug, info, warn or error", func(c *Config, value string) bool {
	c.Log.Level = value
	return slices.Contains([]string{"debug", "info", "warn", "error"}, value)
}}

// isKnownKey reports whether the section has a key of this name.
func isKnownKey(section, name string) bool {
	return slices.ContainsFunc(keys, func(k settingKey) bool { return k.section == section && k.name == name })
}

// sectionKeys lists the keys of a section for an error message. The list is empty for an unknown section.
func sectionKeys(section string) string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return strings.Join(names, ", ")
}

// sectionNames lists the sections for an error message.
func sectionNames() string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return strings.Join(names, ", ")
}

// Example returns a valid settings file that lists every key with its meaning. Keys with a default and optional keys are
// commented out.
func Example() string {
	var b strings.Builder
	currentSection := ""
	for _, key := range keys {
		if key.section != currentSection {
			currentSection = key.section
			fmt.Fprintf(&b, "\n[%s]\n", currentSection)
		}
		fmt.Fprintf(&b, "# %s\n# Value: %s.\n", key.doc, key.expected())
		switch {
		case key.defaultValue != "":
			fmt.Fprintf(&b, "# Default:\n;%s = %s\n", key.name, key.defaultValue)
		case key.optional:
			fmt.Fprintf(&b, "# Optional.\n;%s = %s\n", key.name, key.example)
		default:
			fmt.Fprintf(&b, "# Required.\n%s = %s\n", key.name, key.example)
		}
	}
	return strings.TrimPrefix(b.String(), "\n")
}

// maxAddressTTL is the upper bound of address_ttl. It ensures that callers stop using the addresses of an excluded data centre
// within 3 s.
const maxAddressTTL = 2500 * time.Millisecond
