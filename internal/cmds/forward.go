package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/entry"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/platform"
)

// addressTTL is how long callers keep an address answer. Three times this, for callers that keep it longer, is
// within the time that a planned stop leaves them.
const addressTTL = 1500 * time.Millisecond

const forwardHelp = `Runs one entry process on the users' platform: it forwards the requests of callers to targets, by the routes and
targets that the platform publishes. The settings file is the one that the platform has written; --check only reads it.
SIGTERM begins a planned stop, SIGHUP reads the settings again.`

type forwardCommand struct {
	app    *app
	Config string `long:"config" value-name:"FILE" description:"settings file; left out, the one that the platform names"`
	Check  bool   `long:"check" description:"check the settings and exit"`
}

// Execute implements flags.Commander.
func (c *forwardCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.Load(path)
	if err != nil || c.Check {
		return err
	}
	out, closeLog := logs.NewAsync(c.app.stdout)
	defer closeLog()
	logger, err := logs.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	f := &forwarder{path: path, settings: s, log: logger, dropped: out.Dropped}
	return f.run()
}

// forwarder is one entry process with its listeners.
type forwarder struct {
	path     string
	settings platform.Settings
	log      *logs.Logger
	dropped  func() uint64
	entry    *entry.Entry
	reloads  atomic.Int64
}

func (f *forwarder) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	n := f.settings.Node
	listeners := map[netip.AddrPort]net.Listener{}
	for _, addr := range []netip.AddrPort{n.CallersAddr, n.PeersAddr, n.ReadyAddr, n.AddressesAddr, n.MetricsAddr} {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", addr, err)
		}
		defer func() { _ = l.Close() }()
		listeners[addr] = l
	}
	store, closeStore := platform.NewStore(f.settings.Platform.Addr)
	defer closeStore()
	b := f.settings.Bounds
	f.entry = &entry.Entry{
		PeerAddr: n.PeersAddr, Seeds: n.Seeds, DataCentre: n.DataCentre, CallerPort: n.CallersAddr.Port(), Capacity: n.Capacity(), FirstOnVM: n.FirstStart,
		Names: platform.Names(), Source: store, Decode: platform.Decode,
		CallerListener: listeners[n.CallersAddr], PeerListener: listeners[n.PeersAddr], Log: f.log,
		Bounds: entry.Bounds{RetryRatio: b.RetryRatio, RetryReserve: b.RetryReserve, RetryWindow: b.RetryWindow, Grace: b.Grace, WarmupOverage: b.WarmupOver, WarmupSlack: b.WarmupSlack},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for addr, h := range map[netip.AddrPort]http.Handler{
		n.ReadyAddr: platform.Ready(f.entry), n.AddressesAddr: platform.Addresses(f.entry, min(addressTTL, b.AddressTTL)),
		n.MetricsAddr: http.HandlerFunc(f.metrics),
	} {
		srv := &http.Server{
			Handler: h, ReadHeaderTimeout: adminHeaderTime, IdleTimeout: adminIdleTime, MaxHeaderBytes: adminHeaderBytes,
			ErrorLog: f.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		}
		go f.loop(srv, listeners[addr])
		defer func() { _ = srv.Close() }()
	}
	done := make(chan error, 1)
	go func() { done <- f.entry.Run(ctx) }()
	for {
		select {
		case err := <-done:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.Info("signal received", "signal", s.String())
			f.entry.Stop()
		}
	}
}

// loop serves one listener until its server is closed.
func (f *forwarder) loop(srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); err != nil && err != http.ErrServerClosed {
		f.log.Error("listener ended", "addr", l.Addr(), "error", err)
	}
}

// reload reads the settings again. Addresses can't change while the process runs; a file with faults changes nothing.
func (f *forwarder) reload() {
	s, err := platform.Load(f.path)
	if err != nil {
		f.log.Error("settings not reloaded", "path", f.path, "error", err)
		return
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		f.log.SetLevel(level)
	}
	f.log.Info("settings reloaded", "reloads", f.reloads.Add(1), "addresses_changed", s.Node.PeersAddr != f.settings.Node.PeersAddr)
}

// metrics serves the counters and histograms as JSON.
func (f *forwarder) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{"requests": f.entry.Snapshot(), "crashes": f.entry.CrashTotals(), "log_lines_dropped": f.dropped(), "faults": f.entry.RecoveredPanics()})
	if err != nil {
		f.log.Every("metrics", time.Second).Warn("metrics not written", "error", err)
	}
}
