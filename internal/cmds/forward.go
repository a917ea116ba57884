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

// addressTTL is how long callers may use a list of addresses. A planned stop is meant to last long enough for callers that use
// a list for up to three times addressTTL.
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
	droppedLines func() uint64 // number of log lines dropped since the start
	entry        *entry.Entry
	reloads      atomic.Int64 // number of times that the settings were reloaded
}

// run serves until a planned stop is complete. SIGTERM and SIGINT begin the stop; SIGHUP reloads the settings.
func (f *forwarder) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	node := f.settings.Node
	listeners := map[netip.AddrPort]net.Listener{}
	for _, addr := range []netip.AddrPort{node.CallerAddr, node.PeerAddr, node.ReadyAddr, node.AddressesAddr, node.MetricsAddr} {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
		if err != nil {
			return fmt.Errorf("listen on %s: %w", addr, err)
		}
		defer func() { _ = l.Close() }()
		listeners[addr] = l
	}
	store, closeStore := platform.NewStore(f.settings.Platform.Addr)
	defer closeStore()
	bounds := f.settings.Bounds
	f.entry = &entry.Entry{
		PeerAddr: node.PeerAddr, Seeds: node.Seeds, DataCentre: node.DataCentre, CallerPort: node.CallerAddr.Port(), Capacity: node.Capacity(), FirstOnVM: node.FirstStart,
		Names: platform.HeaderNames(), Source: store, Decode: platform.Decode,
		CallerListener: listeners[node.CallerAddr], PeerListener: listeners[node.PeerAddr], Log: f.log,
		Bounds: entry.Bounds{RetryRatio: bounds.RetryRatio, RetryReserve: bounds.RetryReserve, RetryWindow: bounds.RetryWindow, Grace: bounds.Grace, WarmupOverage: bounds.WarmupOverage, WarmupSlack: bounds.WarmupSlack},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for addr, h := range map[netip.AddrPort]http.Handler{
		node.ReadyAddr: platform.ReadyHandler(f.entry), node.AddressesAddr: platform.AddressesHandler(f.entry, min(addressTTL, bounds.AddressTTL)),
		node.MetricsAddr: http.HandlerFunc(f.writeMetrics),
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
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				f.reload()
				continue
			}
			f.log.Info("signal received", "signal", sig.String())
			f.entry.Stop()
		}
	}
}

// loop accepts connections on l until srv is closed. It logs an error if the server ends for another reason.
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

// writeMetrics is the handler of the metrics listener. It answers with the counters and histograms as JSON.
func (f *forwarder) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	err := json.NewEncoder(w).Encode(map[string]any{"requests": f.entry.Snapshot(), "crashes": f.entry.CrashTotals(), "rate_limits": f.entry.RateLimits(), "log_lines_dropped": f.droppedLines(), "faults": f.entry.RecoveredPanics()})
	if err != nil {
		f.log.Every("metrics", time.Second).Warn("cannot write metrics", "error", err)
	}
}
