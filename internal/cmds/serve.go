package cmds

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/admin"
	"github.com/fuchsiarelay/fuchsiarelay/internal/assign"
	"github.com/fuchsiarelay/fuchsiarelay/internal/clock"
	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
	"github.com/fuchsiarelay/fuchsiarelay/internal/drain"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/once"
	"github.com/fuchsiarelay/fuchsiarelay/internal/relay"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Limits of the administration API, which is used by a few operators and one metrics collector, and limits of an abort by signal.
// The command forward uses some of these limits for its listeners that don't serve callers or peers.
const (
	maxAdminConns       = 16
	adminHeaderTimeout  = 2 * time.Second
	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 10 * time.Second
	adminIdleTimeout    = 30 * time.Second
	maxAdminHeaderBytes = 8 << 10
	abortTimeout        = time.Second // longest time between a second signal and the end of the process
	signalsUntilAbort   = 2           // the first signal begins a planned stop, the second one ends the process
)

type serveCommand struct {
	app    *app
	Config string `long:"config" value-name:"FILE" required:"true" description:"settings file; example-config prints one"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	cfg, faults := loadSettings(c.Config)
	if len(faults) > 0 {
		return c.app.printFaults(faults)
	}
	logger, err := logs.New(c.app.stderr, cfg.Log.Level)
	if err != nil {
		return err
	}
	p, err := openProcess(cfg, logger)
	if err != nil {
		return err
	}
	return p.run()
}

// process is one entry process with its listeners and its administration API.
type process struct {
	log           *logs.Logger
	relay         *relay.Relay
	admin         *http.Server
	adminListener net.Listener
	closeAll      func() // closes the listeners and the idle connections to the platform
}

// openProcess opens the listeners and creates the entry process. If a step fails, it closes everything that it has opened.
func openProcess(cfg conf.Config, logger *logs.Logger) (*process, error) {
	var closers []func()
	p := &process{log: logger, closeAll: func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}}
	listeners := make([]net.Listener, 0, 3)
	for _, l := range []struct {
		key  string
		addr netip.AddrPort
	}{{"caller_addr", cfg.Node.CallerAddr}, {"peer_addr", cfg.Node.PeerAddr}, {"admin_addr", cfg.Node.AdminAddr}} {
		listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(l.addr))
		if err != nil {
			p.closeAll()
			return nil, fmt.Errorf("[node] %s: %w", l.key, err)
		}
		closers = append(closers, func() { _ = listener.Close() })
		listeners = append(listeners, listener)
	}
	reader, closeReader := plat.NewHTTP(cfg.Platform.Addr, nil)
	closers = append(closers, closeReader)
	processClock := clock.New()
	registry := stats.New()
	p.relay = &relay.Relay{
		VM: cfg.Node.VMID, DataCentre: cfg.Node.DataCentre,
		CallerListener: limitListener(listeners[0], "callers", cfg.Limits.MaxCallers, logger), PeerListener: listeners[1],
		Platform: reader, Now: processClock.Now, Log: logger.Logger, Stats: registry, Timing: relayTiming(cfg),
		MaxDeadline: cfg.Limits.MaxDeadline, QueueLength: cfg.Limits.QueueLength,
		MaxBody: int64(cfg.Limits.MaxBody), MaxPeerMessage: int64(cfg.Limits.MaxPeerMessage),
	}
	if cfg.TLS.Enabled() {
		tlsConfig, err := peerTLS(cfg.TLS)
		if err != nil {
			p.closeAll()
			return nil, err
		}
		p.relay.PeerListener = tls.NewListener(listeners[1], tlsConfig)
		p.relay.PeerTransport = peerTransport(tlsConfig)
		p.relay.PeerScheme = "wss"
	}
	p.adminListener = limitListener(listeners[2], "admin", maxAdminConns, logger)
	p.admin = &http.Server{
		Handler: admin.Handler(admin.Config{
			Source: p.relay, Now: processClock.Now, Stats: func() any { return registry.Snapshot() },
		}),
		ReadHeaderTimeout: adminHeaderTimeout, ReadTimeout: adminReadTimeout, WriteTimeout: adminWriteTimeout, IdleTimeout: adminIdleTimeout,
		MaxHeaderBytes: maxAdminHeaderBytes, ErrorLog: logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return p, nil
}

// relayTiming converts the intervals of the settings to the configurations of the packages that use them.
func relayTiming(cfg conf.Config) relay.Timing {
	timing := cfg.Timing
	return relay.Timing{
		WatchTimeout: timing.WatchWait, PingInterval: timing.PingInterval, AddressTTL: timing.AddressTTL,
		Member: member.Config{FreshFor: timing.FreshFor},
		Assign: assign.Config{GrowDelay: timing.GrowDelay},
		Drain:  drain.Config{AddressTTL: timing.AddressTTL, PropagationTime: conf.PropagationTime, MaxDuration: timing.StopLimit, MaxDeadline: cfg.Limits.MaxDeadline},
		Once:   once.Config{TokenTTL: timing.TokenTTL},
	}
}

// run serves until a planned stop, which the first signal begins, is complete or a second signal arrives.
func (p *process) run() error {
	defer p.closeAll()
	// Notify is called before anything is served, so that a signal during the start also begins a planned stop.
	signals := make(chan os.Signal, signalsUntilAbort)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// By default SIGHUP ends a process at once; closing the terminal must not interrupt requests.
	signal.Ignore(syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	adminDone := make(chan error, 1)
	go func() { adminDone <- p.admin.Serve(p.adminListener) }()
	defer func() { _ = p.admin.Close() }()
	done := make(chan error, 1)
	go func() { done <- p.relay.Run(ctx) }()
	stopping := false
	for {
		select {
		case err := <-done:
			return err
		case err := <-adminDone:
			// Serving callers is more important than the administration API, so the process goes on without it.
			p.log.Error("administration API failed", "error", err)
			adminDone = nil
		case sig := <-signals:
			if !stopping {
				stopping = true
				p.log.Info("signal received; a second one ends the process at once", "signal", sig.String())
				p.relay.Stop()
				continue
			}
			cancel()
			select {
			case <-time.After(abortTimeout):
			case err := <-done:
				p.log.Warn("entry process ended before its planned stop was complete", "error", err)
			}
			return errors.New("entry process ended by a second signal; running requests may have been interrupted")
		}
	}
}
