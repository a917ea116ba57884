// Package relay is one entry process: it wires the decision packages to the network.
//
// # Usage
//
//	r := &relay.Relay{
//		VM: "vm-1", DataCentre: "dc-a", CallerListener: l1, PeerListener: l2,
//		Platform: reader, Now: clk.Now, Log: logger,
//	}
//	go func() { <-sigterm; r.Stop() }()   // planned stop: serves on until nobody can depend on this process
//	err := r.Run(ctx)                     // canceling ctx ends it at once
//
// One goroutine, Relay.loop, owns all control state and publishes immutable snapshots to the others.
package relay

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/assign"
	"github.com/fuchsiarelay/fuchsiarelay/internal/disp"
	"github.com/fuchsiarelay/fuchsiarelay/internal/drain"
	"github.com/fuchsiarelay/fuchsiarelay/internal/front"
	"github.com/fuchsiarelay/fuchsiarelay/internal/gossip"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/once"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Bounds of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	closeTimeout   = 5 * time.Second
	flushDelay     = 100 * time.Millisecond
)

// Timing holds the intervals of a process. Zero fields take the defaults of the packages they are for.
type Timing struct {
	Tick       time.Duration // of the control loop
	WatchWait  time.Duration // of one long poll at the platform
	StartWait  time.Duration // a new process waits this long for its peers
	Ping       time.Duration
	AddressTTL time.Duration
	ProbeEvery time.Duration
	Member     member.Config
	Assign     assign.Config
	Drain      drain.Config
	Once       once.Config
	Poison     poison.Config
	Route      route.Config
	Gossip     gossip.Config
}

// Defaults of Timing.
const (
	DefaultTick      = 50 * time.Millisecond
	DefaultWatchWait = 500 * time.Millisecond
	DefaultStartWait = 2 * time.Second
)

// Relay is one entry process. VM, DataCentre, the listeners, Platform and Log are required; all fields are set
// before Run.
type Relay struct {
	VM             string
	DataCentre     string
	CallerListener net.Listener
	PeerListener   net.Listener
	Platform       plat.Reader
	Now            func() time.Time
	Log            *log.Logger
	Stats          front.Stats
	Timing         Timing
	Budget         *route.Budget
	Incarnation    uint64 // 0: random
	Seed           uint64 // 0: random
	MaxDeadline    time.Duration
	QueueLength    int
	MaxBody        int64 // of a caller request, in bytes
	MaxPeerMessage int64 // bytes
	// DialPeer and NewClient replace the network, for tests.
	DialPeer  func(ctx context.Context, network, addr string) (net.Conn, error)
	NewClient func(t plat.Target, opt target.Options) (target.Client, func())
	// PeerTransport holds the TLS settings of outgoing links; PeerScheme is then "wss".
	PeerTransport *http.Transport
	PeerScheme    string
	Trace         trace.Func

	cell     state.Cell
	control  *control
	hub      *peer.Hub
	disp     *disp.Disp
	front    *front.Front
	stop     chan struct{}
	stopOnce sync.Once
	initOnce sync.Once
}

func (r *Relay) setDefaults() {
	if r.Now == nil {
		r.Now = time.Now
	}
	if r.Log == nil {
		r.Log = log.New(io.Discard)
	}
	if r.Stats == nil {
		r.Stats = stats.New()
	}
	if r.Incarnation == 0 {
		r.Incarnation = randomUint64()
	}
	if r.Seed == 0 {
		r.Seed = randomUint64()
	}
	if r.NewClient == nil {
		r.NewClient = func(t plat.Target, opt target.Options) (target.Client, func()) {
			return target.NewHTTP(t.Addr, opt)
		}
	}
	t := &r.Timing
	t.Tick = cmp.Or(t.Tick, DefaultTick)
	t.WatchWait = cmp.Or(t.WatchWait, DefaultWatchWait)
	t.StartWait = cmp.Or(t.StartWait, DefaultStartWait)
	t.Member.StartWait = cmp.Or(t.Member.StartWait, t.StartWait)
	t.WatchWait = min(t.WatchWait, member.PollEvery)
	t.AddressTTL = cmp.Or(t.AddressTTL, front.DefaultAddressTTL)
	t.Drain.AddressTTL = cmp.Or(t.Drain.AddressTTL, t.AddressTTL)
	r.MaxDeadline = cmp.Or(r.MaxDeadline, front.DefaultMaxDeadline)
	t.Drain.Finish = cmp.Or(t.Drain.Finish, r.MaxDeadline)
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

func (r *Relay) init() {
	r.initOnce.Do(func() { r.stop = make(chan struct{}) })
}

// Stop begins a planned stop; Run returns when it is complete.
func (r *Relay) Stop() {
	r.init()
	r.stopOnce.Do(func() { close(r.stop) })
}

// Snapshot returns the newest control state.
func (r *Relay) Snapshot() *state.Snapshot { return r.cell.Load() }

// InFlight returns the number of caller requests and dispatched work items.
func (r *Relay) InFlight() int {
	if r.front == nil || r.disp == nil {
		return 0
	}
	return r.front.InFlight() + r.disp.InFlight()
}

// Lanes describes the targets that this process dispatches.
func (r *Relay) Lanes() []disp.Status {
	if r.disp == nil {
		return nil
	}
	return r.disp.Status()
}

// Run serves until a planned stop is complete or ctx is canceled.
func (r *Relay) Run(ctx context.Context) error {
	r.init()
	r.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.control = newControl(r)
	var closers []func()
	defer func() {
		for i := len(closers) - 1; i >= 0; i-- {
			closers[i]()
		}
	}()
	closers = append(closers, r.createParts()...)

	callers := r.newServer(r.front.Handler())
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.hub)
	peers := r.newServer(mux)
	var wg sync.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() { failed <- callers.Serve(r.CallerListener) })
	wg.Go(func() { failed <- peers.Serve(r.PeerListener) })
	r.control.watcher = &watcher{relay: r, ctx: ctx}
	done := make(chan struct{})
	wg.Go(func() {
		defer close(done)
		r.control.loop(ctx)
	})
	r.Log.Info("entry process started", "vm", r.VM, "data_centre", r.DataCentre, "incarnation", r.Incarnation)
	var err error
	select {
	case <-done:
	case err = <-failed:
	}
	r.shutdown(callers, peers, ctx.Err() == nil && err == nil)
	cancel()
	wg.Wait()
	r.control.watcher.wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// createParts creates the drivers and returns their clean-up functions.
func (r *Relay) createParts() []func() {
	var closers []func()
	hub, closeHub := peer.New(peer.Config{
		Self:    peer.Hello{Version: peer.Version, VM: r.VM, DataCentre: r.DataCentre, Incarnation: r.Incarnation},
		Handler: (*peerEvents)(r), Now: r.Now, Log: r.Log, DialContext: r.DialPeer, PingInterval: r.Timing.Ping,
		Transport: r.PeerTransport, Scheme: r.PeerScheme, MaxMessage: r.MaxPeerMessage,
	})
	r.hub = hub
	closers = append(closers, closeHub)
	d, closeDisp := disp.New(disp.Config{
		State: &r.cell, Now: r.Now, NewClient: r.NewClient, Events: (*targetEvents)(r), Log: r.Log,
		ProbeInterval: r.Timing.ProbeEvery, QueueLength: r.QueueLength, Trace: r.Trace,
	})
	r.disp = d
	closers = append(closers, closeDisp)
	f, closeFront := front.New(front.Config{
		State: &r.cell, Now: r.Now, Remote: hub, Local: d, Stats: r.Stats, Log: logs.Wrap(r.Log), MaxBody: r.MaxBody, Once: r.Timing.Once, Route: r.Timing.Route,
		Incarnation: r.Incarnation, VM: r.VM, AddressTTL: r.Timing.AddressTTL, MaxDeadline: r.MaxDeadline, Seed: r.Seed, Budget: r.Budget, Trace: r.Trace,
	})
	r.front = f
	return append(closers, closeFront)
}

func (r *Relay) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: r.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// shutdown closes the servers; a planned stop lets open requests finish.
func (r *Relay) shutdown(callers, peers *http.Server, planned bool) {
	if planned {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = callers.Shutdown(ctx)
		// The last replies to peers may still be queued on their links.
		time.Sleep(flushDelay)
	}
	_ = callers.Close()
	_ = peers.Close()
	r.Log.Info("entry process stopped", "vm", r.VM, "planned", planned)
}
