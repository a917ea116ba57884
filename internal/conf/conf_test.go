package conf_test

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
)

// requiredSettings is a settings file with only the keys that have no default.
const requiredSettings = `[node]
vm_id = 10.0.0.7
data_centre = dc-a
caller_addr = 10.0.0.7:8080
peer_addr = 10.0.0.7:8081
admin_addr = [::1]:8082 ; local only
[platform]
addr = 10.0.0.2:8500
`

// Guards against a default that differs from the documented one.
func TestDefaults(t *testing.T) {
	got, err := conf.Parse([]byte(requiredSettings))
	assert.NilError(t, err)
	assert.Equal(t, got, conf.Config{
		Node: conf.Node{
			VMID:       "10.0.0.7",
			DataCentre: "dc-a",
			CallerAddr: netip.MustParseAddrPort("10.0.0.7:8080"),
			PeerAddr:   netip.MustParseAddrPort("10.0.0.7:8081"),
			AdminAddr:  netip.MustParseAddrPort("[::1]:8082"),
		},
		Platform: conf.Platform{Addr: netip.MustParseAddrPort("10.0.0.2:8500")},
		Timing: conf.Timing{
			FreshFor: 2 * time.Second, GrowDelay: 6 * time.Second, PingInterval: 300 * time.Millisecond,
			WatchWait: 500 * time.Millisecond, AddressTTL: 2 * time.Second, TokenTTL: 10 * time.Second,
			StopLimit: 90 * time.Second,
		},
		Limits: conf.Limits{
			MaxCallers: 1024, MaxBody: 262144, MaxDeadline: 30 * time.Second, QueueLength: 64, MaxPeerMessage: 1572864,
		},
		Log: conf.Log{Level: "info"},
	})
	assert.Assert(t, !got.TLS.Enabled())
}

// Guards against an output of Example that isn't a valid settings file, as printed or with the commented-out keys enabled.
func TestExampleParses(t *testing.T) {
	_, err := conf.Parse([]byte(conf.Example()))
	assert.NilError(t, err)
	got, err := conf.Parse([]byte(strings.ReplaceAll(conf.Example(), "\n;", "\n")))
	assert.NilError(t, err)
	assert.Assert(t, got.TLS.Enabled())
}

// Guards against a process that starts with an invalid setting: Parse must return an error that names the section and the key.
func TestErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[tuning]\nx = 1", "[tuning]: expected one of the sections node, platform, timing"},
		{"[timing]\nfresh = 1s", "[timing] fresh: expected one of the keys fresh_for"},
		{"[timing]\nfresh_for = 2s\nfresh_for = 2s", "[timing] fresh_for: expected one value, 2 are given"},
		{"[timing]\nfresh_for = 2s\n[timing]\nfresh_for = 3s", "[timing] fresh_for: expected one value"},
		{"[timing]\nfresh_for =\nfresh_for = 2s", "[timing] fresh_for: expected one value, 2 are given"},
		{"[timing]\nfresh_for = 2", `[timing] fresh_for: expected a duration from 100ms to 1m0s, found "2"`},
		{"[timing]\nfresh_for =", "found \"an empty value\""},
		{"[timing]\nfresh_for = -2s", "[timing] fresh_for"},
		{"[timing]\ngrow_delay = 5s", "[timing] grow_delay: expected at least twice (fresh_for + 1s) = 6s"},
		{"[timing]\nping_interval = 1500ms", "[timing] ping_interval: expected at most half of fresh_for"},
		{"[timing]\nwatch_wait = 1500ms", "[timing] watch_wait"},
		{"[timing]\naddress_ttl = 3s", "[timing] address_ttl: expected a duration from 100ms to 2.5s"},
		{"[timing]\nstop_limit = 72s", "[timing] stop_limit: expected at least"},
		{"[limits]\nmax_body = 1e5", "[limits] max_body: expected a whole number"},
		{"[limits]\nmax_body = 1048576", "[limits] max_peer_message: expected at least twice max_body"},
		{"[limits]\nmax_peer_message = 1048576", "[limits] max_peer_message: expected a whole number from 1114112"},
		{"[tls]\npeer_cert = /a\npeer_cert =", "[tls] peer_cert: expected one value, 2 are given"},
		{"[tls]\npeer_cert = /a", "[tls] peer_key: expected a file path"},
		{"[log]\nlevel = loud", "[log] level: expected debug, info, warn or error, found \"loud\""},
	} {
		_, err := conf.Parse([]byte(requiredSettings + c.text))
		assert.ErrorContains(t, err, c.want)
		var e *conf.Error
		assert.Assert(t, errors.As(err, &e), c.text)
	}
	for _, c := range []struct{ old, new, want string }{
		{"addr = 10.0.0.2:8500", "addr = 10.0.0.2:0", "[platform] addr: expected an IP number with a port"},
		{"addr = 10.0.0.2:8500", "addr = localhost:8500", "[platform] addr"},
		{"caller_addr = 10.0.0.7", "caller_addr = 0.0.0.0", "[node] caller_addr"},
		{"peer_addr = 10.0.0.7:8081", "peer_addr = 10.0.0.7:8080", "[node] peer_addr: expected an address other than"},
		{"[::1]:8082", "[::ffff:10.0.0.7]:8080", "[node] admin_addr: expected an address other than"},
		{"vm_id = 10.0.0.7", "vm_id = a b", "[node] vm_id: expected a word"},
		{"vm_id = 10.0.0.7", "", "[node] vm_id: expected a word of at most 1024 bytes without spaces; the key has no default"},
		{"[node]", "stray = 1\n[node]", "stray: expected no key outside a section"},
	} {
		_, err := conf.Parse([]byte(strings.Replace(requiredSettings, c.old, c.new, 1)))
		assert.ErrorContains(t, err, c.want)
	}
}

// Parse must report all faults at once, so that operators don't have to start the process again for each fault.
func TestAllErrorsTogether(t *testing.T) {
	_, err := conf.Parse([]byte("[node]\nvm_id = a\n[log]\nlevel = loud\n[x]\n"))
	// Four keys of [node] and one of [platform] are missing, the level is invalid, and [x] is unknown.
	assert.Equal(t, len(strings.Split(err.Error(), "\n")), 7, "%v", err)
}

// Load must name the file in its errors, and must return the same settings as Parse does for the text of the file.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "relay.ini")
	_, err := conf.Load(path)
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
	assert.NilError(t, os.WriteFile(path, []byte(requiredSettings+"[log]\nlevel=loud"), 0o600))
	_, err = conf.Load(path)
	assert.ErrorContains(t, err, "relay.ini")
	assert.NilError(t, os.WriteFile(path, []byte(requiredSettings), 0o600))
	got, err := conf.Load(path)
	assert.NilError(t, err)
	assert.Equal(t, got.Node.VMID, "10.0.0.7")
}

// Parse must not panic, and settings that it accepts must meet the conditions that checkRelations checks.
func FuzzParse(f *testing.F) {
	f.Add([]byte(requiredSettings))
	f.Add([]byte(conf.Example()))
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := conf.Parse(text)
		if err != nil {
			assert.Equal(t, got, conf.Config{})
			return
		}
		assert.Assert(t, got.Timing.GrowDelay >= 2*(got.Timing.FreshFor+conf.PropagationTime))
		assert.Assert(t, got.Node.CallerAddr.Port() != 0 && got.Node.CallerAddr != got.Node.PeerAddr)
		assert.Assert(t, (got.TLS.PeerCert == "") == (got.TLS.PeerKey == ""))
	})
}
