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

// addressTTL is how long callers may keep the answer to an address query. A planned stop is meant to leave callers that keep
// an answer for longer, up to three times addressTTL, enough time to stop using the address.
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
	if err := rejectArguments(args); err != nil {
		return err
	}
	path := c.Config
	if path == "" {
		path = platform.SettingsPath()
	}
	s, err := platform.LoadSettings(path)
	if err != nil || c.Check {
		return err
	}
	out, closeLog := logs.NewAsync(c.app.stdout)
	defer closeLog()
	logger, err := logs.New(out, s.Log.Level)
	if err != nil {
		return err
	}
	f := &forwarder{path: path, settings: s, log: logger, droppedLines: out.Dropped}
	return f.run()
}

// forwarder runs one entry process and its listeners on the platform.
type forwarder struct {
	path         string
	settings     platform.Settings
	log          *logs.Logger
	droppedLines func() uint64
	entry        *entry.Entry
	reloads      atomic.Int64
}

// run serves until a planned stop is complete. SIGTERM and SIGINT begin the stop; SIGHUP reloads the settings.
func (f *forwarder) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	n := f.settings.Node
	listeners := map[netip.AddrPort]net.Listener{}
	for _, addr := range []netip.AddrPort{n.CallerAddr, n.PeerAddr, n.ReadyAddr, n.AddressesAddr, n.MetricsAddr} {
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
		PeerAddr: n.PeerAddr, Seeds: n.Seeds, DataCentre: n.DataCentre, CallerPort: n.CallerAddr.Port(), Capacity: n.Capacity(), FirstOnVM: n.FirstStart,
		Names: platform.HeaderNames(), Source: store, Decode: platform.Decode,
		CallerListener: listeners[n.CallerAddr], PeerListener: listeners[n.PeerAddr], Log: f.log,
		Bounds: entry.Bounds{RetryRatio: b.RetryRatio, RetryReserve: b.RetryReserve, RetryWindow: b.RetryWindow, Grace: b.Grace, WarmupOverage: b.WarmupOverage, WarmupSlack: b.WarmupSlack},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for addr, h := range map[netip.AddrPort]http.Handler{
		n.ReadyAddr: platform.ReadyHandler(f.entry), n.AddressesAddr: platform.AddressesHandler(f.entry, min(addressTTL, b.AddressTTL)),
		n.MetricsAddr: http.HandlerFunc(f.metrics),
	} {
		srv := &http.Server{
			Handler: h, ReadHeaderTimeout: adminHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: maxAdminHeaderBytes,
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

// loop serves l until srv is closed. It logs an error if the server ends for another reason.
func (f *forwarder) loop(srv *http.Server, l net.Listener) {
	if err := srv.Serve(l); err != nil && err != http.ErrServerClosed {
		f.log.Error("listener failed", "addr", l.Addr(), "error", err)
	}
}

// reload reads the settings again and applies the log level, the only setting that can change while the process runs. A file
// with errors changes nothing.
func (f *forwarder) reload() {
	s, err := platform.LoadSettings(f.path)
	if err != nil {
		f.log.Error("cannot reload settings", "path", f.path, "error", err)
		return
	}
	if level, err := log.ParseLevel(s.Log.Level); err == nil {
		f.log.SetLevel(level)
	}
	f.log.Info("settings reloaded", "reloads", f.reloads.Add(1), "addresses_changed", s.Node.PeerAddr != f.settings.Node.PeerAddr)
}

// metrics answers a request with the counters and histograms as JSON.
func (f *forwarder) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{"requests": f.entry.Snapshot(), "crashes": f.entry.CrashTotals(), "log_lines_dropped": f.droppedLines(), "faults": f.entry.RecoveredPanics()})
	if err != nil {
		f.log.Every("metrics", time.Second).Warn("cannot write metrics", "error", err)
	}
}
