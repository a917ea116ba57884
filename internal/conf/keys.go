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

// key describes one setting. Parse and Example both use the variable keys, which is the only list of settings.
type key struct {
	section, name string
	initial       string // default value; empty if there is none
	optional      bool   // may be missing although there is no default
	example       string // value that Example prints if there is no default
	doc           string // comment that Example prints
	kind          kind
}

// expected returns a description of the valid values.
func (k key) expected() string { return k.kind.expected }

// kind describes the valid values of a key. The function parse stores a value in its field of Config and reports whether
// the value is valid.
type kind struct {
	expected string
	parse    func(c *Config, value string) bool
}

// keys lists all settings, in the order in which Example prints them.
var keys = []key{
	{
		section: "node", name: "vm_id", example: "10.0.0.7",
		doc:  "Id of this VM in the published list of VMs.",
		kind: word(func(c *Config) *string { return &c.Node.VMID }),
	},
	{
		section: "node", name: "data_centre", example: "dc-a",
		doc:  "Data centre of this VM, as in the published list.",
		kind: word(func(c *Config) *string { return &c.Node.DataCentre }),
	},
	{
		section: "node", name: "caller_addr", example: "10.0.0.7:8080",
		doc:  "Address on which callers reach this process; callers receive exactly this address.",
		kind: address(func(c *Config) *netip.AddrPort { return &c.Node.CallerAddr }),
	},
	{
		section: "node", name: "peer_addr", example: "10.0.0.7:8081",
		doc:  "Address on which other entry processes reach this process.",
		kind: address(func(c *Config) *netip.AddrPort { return &c.Node.PeerAddr }),
	},
	{
		section: "node", name: "admin_addr", example: "10.0.0.7:8082",
		doc:  "Address of the read-only administration API.",
		kind: address(func(c *Config) *netip.AddrPort { return &c.Node.AdminAddr }),
	},
	{
		section: "platform", name: "addr", example: "10.0.0.2:8500",
		doc:  "Address of the platform's configuration service.",
		kind: address(func(c *Config) *netip.AddrPort { return &c.Platform.Addr }),
	},
	{
		section: "timing", name: "fresh_for", initial: "2s",
		doc:  "Requests are sent to targets only if the configuration was confirmed as the newest within this time. Bounds how long an exclusion may be missed.",
		kind: duration(100*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.FreshFor }),
	},
	{
		section: "timing", name: "grow_delay", initial: "6s",
		doc:  "A dispatcher's share of a target grows only after the published lists were unchanged for this time; at least twice (fresh_for + 1s).",
		kind: duration(time.Millisecond, 10*time.Minute, func(c *Config) *time.Duration { return &c.Timing.GrowDelay }),
	},
	{
		section: "timing", name: "ping_interval", initial: "300ms",
		doc:  "Interval of pings to each peer; at most half of fresh_for.",
		kind: duration(10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.PingInterval }),
	},
	{
		section: "timing", name: "watch_wait", initial: "500ms",
		doc:  "Longest wait of one watch at the platform; at most half of fresh_for.",
		kind: duration(10*time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Timing.WatchWait }),
	},
	{
		section: "timing", name: "address_ttl", initial: "2s",
		doc:  "Lifetime of an address answer. A graceful stop waits for at least this long.",
		kind: duration(100*time.Millisecond, maxAddressTTL, func(c *Config) *time.Duration { return &c.Timing.AddressTTL }),
	},
	{
		section: "timing", name: "token_ttl", initial: "10s",
		doc:  "Lifetime of an order token before its first use.",
		kind: duration(100*time.Millisecond, 10*time.Minute, func(c *Config) *time.Duration { return &c.Timing.TokenTTL }),
	},
	{
		section: "timing", name: "stop_limit", initial: "90s",
		doc:  "A graceful stop takes no longer than this; at least address_ttl + 1s + token_ttl + 2 * max_deadline.",
		kind: duration(time.Second, time.Hour, func(c *Config) *time.Duration { return &c.Timing.StopLimit }),
	},
	{
		section: "limits", name: "max_callers", initial: "1024",
		doc:  "Largest number of connections from callers.",
		kind: number(1, 1<<20, func(c *Config) *int { return &c.Limits.MaxCallers }),
	},
	{
		section: "limits", name: "max_body", initial: "262144",
		doc:  "Largest request body from a caller, in bytes.",
		kind: number(1024, 16<<20, func(c *Config) *int { return &c.Limits.MaxBody }),
	},
	{
		section: "limits", name: "max_deadline", initial: "30s",
		doc:  "Longest deadline of a request.",
		kind: duration(time.Millisecond, time.Minute, func(c *Config) *time.Duration { return &c.Limits.MaxDeadline }),
	},
	{
		section: "limits", name: "queue_length", initial: "64",
		doc:  "Largest number of entries in the queue of each target.",
		kind: number(1, 1<<16, func(c *Config) *int { return &c.Limits.QueueLength }),
	},
	{
		section: "limits", name: "max_peer_message", initial: "1572864",
		doc:  "Largest message between entry processes, in bytes; must hold a published document of 1 MiB, and at least twice max_body.",
		kind: number(minPeerMessage, 64<<20, func(c *Config) *int { return &c.Limits.MaxPeerMessage }),
	},
	{
		section: "tls", name: "peer_cert", optional: true, example: "/etc/fuchsiarelay/peer.crt",
		doc:  "Certificate for links between entry processes, as a file path. All three keys of [tls] are set, or none.",
		kind: path(func(c *Config) *string { return &c.TLS.PeerCert }),
	},
	{
		section: "tls", name: "peer_key", optional: true, example: "/etc/fuchsiarelay/peer.key",
		doc:  "Private key of peer_cert, as a file path.",
		kind: path(func(c *Config) *string { return &c.TLS.PeerKey }),
	},
	{
		section: "tls", name: "peer_ca", optional: true, example: "/etc/fuchsiarelay/peer-ca.crt",
		doc:  "Certificate authority that signs the certificates of all peers, as a file path.",
		kind: path(func(c *Config) *string { return &c.TLS.PeerCA }),
	},
	{
		section: "log", name: "level", initial: "info",
		doc:  "Least severe level that is logged: debug, info, warn or error.",
		kind: level,
	},
}

const maxText = 1024 // bytes of an ID or a path

// word returns the kind of an ID: visible characters without spaces.
func word(field func(*Config) *string) kind {
	return kind{"a word of at most 1024 bytes without spaces", func(c *Config, value string) bool {
		*field(c) = value
		bad := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsGraphic(r) || r == unicode.ReplacementChar }
		return value != "" && len(value) <= maxText && !strings.ContainsFunc(value, bad)
	}}
}

// path returns the kind of a file path. Whether the file exists isn't checked.
func path(field func(*Config) *string) kind {
	return kind{"a file path", func(c *Config, value string) bool {
		*field(c) = value
		return value != "" && len(value) <= maxText && !strings.ContainsFunc(value, unicode.IsControl)
	}}
}

// address returns the kind of an IP address with a port. The unspecified IP address (0.0.0.0 or ::) isn't valid, because
// callers and peers receive the address as it is written and connect to it.
func address(field func(*Config) *netip.AddrPort) kind {
	return kind{"an IP number with a port such as 10.0.0.7:8080", func(c *Config, value string) bool {
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

// duration returns the kind of a duration from low to high.
func duration(low, high time.Duration, field func(*Config) *time.Duration) kind {
	return kind{fmt.Sprintf("a duration from %v to %v", low, high), func(c *Config, value string) bool {
		d, err := time.ParseDuration(value)
		*field(c) = d
		return err == nil && d >= low && d <= high
	}}
}

// number returns the kind of an integer from low to high.
func number(low, high int, field func(*Config) *int) kind {
	return kind{fmt.Sprintf("a whole number from %d to %d", low, high), func(c *Config, value string) bool {
		n, err := strconv.Atoi(value)
		*field(c) = n
		return err == nil && n >= low && n <= high
	}}
}

// level is the kind of a log level.
var level = kind{"debug, info, warn or error", func(c *Config, value string) bool {
	c.Log.Level = value
	return slices.Contains([]string{"debug", "info", "warn", "error"}, value)
}}

// known reports whether the section has a key of this name.
func known(section, name string) bool {
	return slices.ContainsFunc(keys, func(k key) bool { return k.section == section && k.name == name })
}

// keysOf lists the keys of a section for an error message. The list is empty for an unknown section.
func keysOf(section string) string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return strings.Join(names, ", ")
}

// sections lists the sections for an error message.
func sections() string {
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
	section := ""
	for _, k := range keys {
		if k.section != section {
			section = k.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s\n# Value: %s.\n", k.doc, k.expected())
		switch {
		case k.initial != "":
			fmt.Fprintf(&b, "# Default:\n;%s = %s\n", k.name, k.initial)
		case k.optional:
			fmt.Fprintf(&b, "# Optional.\n;%s = %s\n", k.name, k.example)
		default:
			fmt.Fprintf(&b, "# Required.\n%s = %s\n", k.name, k.example)
		}
	}
	return strings.TrimPrefix(b.String(), "\n")
}

// maxAddressTTL bounds address_ttl, so that callers stop using the addresses of an excluded data centre within 3 s.
const maxAddressTTL = 2500 * time.Millisecond
