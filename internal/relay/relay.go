// Package relay implements one entry process. It connects the packages that make decisions to the network.
//
// # Usage
//
//	r := &relay.Relay{
//		VM: "vm-1", DataCentre: "dc-a", CallerListener: l1, PeerListener: l2,
//		Platform: reader, Now: clk.Now, Log: logger,
//	}
//	go func() { <-sigterm; r.Stop() }()   // planned stop: serves until no caller or peer can depend on this process
//	err := r.Run(ctx)                     // canceling ctx ends the process at once
//
// One goroutine, which runs control.loop, owns the control state: documents, membership, assignment of targets and crash
// reports. It publishes immutable snapshots, which the goroutines that serve requests read.
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

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	readTimeout    = 15 * time.Second // for a whole request, header and body
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
	closeTimeout   = 5 * time.Second        // longest wait for open requests of callers in a planned stop
	flushDelay     = 100 * time.Millisecond // wait before the links to peers are closed in a planned stop
)

// Timing holds the intervals of a process. Zero fields take the defaults of the packages that use them.
type Timing struct {
	TickInterval  time.Duration // of the control loop
	WatchTimeout  time.Duration // longest duration of one watch request to the platform; at most member.PollInterval
	StartWait     time.Duration // a new process sends after this time, or earlier after contact with a majority of its peers
	PingInterval  time.Duration
	AddressTTL    time.Duration
	ProbeInterval time.Duration
	Member        member.Config
	Assign        assign.Config
	Drain         drain.Config
	Once          once.Config
	Poison        poison.Config
	Route         route.Config
	Gossip        gossip.Config
}

// Defaults of Timing.
const (
	DefaultTickInterval = 50 * time.Millisecond
	DefaultWatchTimeout = 500 * time.Millisecond
	DefaultStartWait    = 2 * time.Second
)

// Relay is one entry process. VM, DataCentre, the listeners and Platform are required; all fields are set before Run.
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
	Incarnation    uint64 // 0 means random
	Seed           uint64 // 0 means random
	MaxDeadline    time.Duration
	QueueLength    int
	MaxBody        int64 // of a caller request, in bytes
	MaxPeerMessage int64 // of a message between entry processes, in bytes
	// DialPeer and NewClient replace the network, for tests.
	DialPeer  func(ctx context.Context, network, addr string) (net.Conn, error)
	NewClient func(t plat.Target, opt target.Options) (target.Client, func())
	// PeerTransport holds the TLS settings of outgoing links to peers. If it is set, PeerScheme must be "wss".
	PeerTransport *http.Transport
	PeerScheme    string
	Trace         trace.Func

	snapshotCell  state.Cell
	control       *control
	hub           *peer.Hub
	disp          *disp.Dispatcher
	front         *front.Front
	stopRequested chan struct{}
	stopOnce      sync.Once
	initOnce      sync.Once
}

// setDefaults replaces the zero values of optional fields by defaults, and limits WatchTimeout to member.PollInterval.
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
	t.TickInterval = cmp.Or(t.TickInterval, DefaultTickInterval)
	t.WatchTimeout = cmp.Or(t.WatchTimeout, DefaultWatchTimeout)
	t.StartWait = cmp.Or(t.StartWait, DefaultStartWait)
	t.Member.StartWait = cmp.Or(t.Member.StartWait, t.StartWait)
	t.WatchTimeout = min(t.WatchTimeout, member.PollInterval)
	t.AddressTTL = cmp.Or(t.AddressTTL, front.DefaultAddressTTL)
	t.Drain.AddressTTL = cmp.Or(t.Drain.AddressTTL, t.AddressTTL)
	r.MaxDeadline = cmp.Or(r.MaxDeadline, front.DefaultMaxDeadline)
	t.Drain.MaxDeadline = cmp.Or(t.Drain.MaxDeadline, r.MaxDeadline)
}

// randomUint64 returns a random odd number, so that the result is never 0.
func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// initStopChannel creates the channel that Stop closes, unless it exists. Stop may be called before Run.
func (r *Relay) initStopChannel() {
	r.initOnce.Do(func() { r.stopRequested = make(chan struct{}) })
}

// Stop begins a planned stop and returns at once. Run returns when the planned stop is complete.
func (r *Relay) Stop() {
	r.initStopChannel()
	r.stopOnce.Do(func() { close(r.stopRequested) })
}

// Snapshot returns the newest control state.
func (r *Relay) Snapshot() *state.Snapshot { return r.snapshotCell.Load() }

// InFlight returns the number of caller requests being served plus the number of running and waiting work items of the
// dispatcher. It is 0 before Run.
func (r *Relay) InFlight() int {
	if r.front == nil || r.disp == nil {
		return 0
	}
	return r.front.InFlight() + r.disp.InFlight()
}

// LaneStatuses returns the status of each target that this process dispatches.
func (r *Relay) LaneStatuses() []disp.LaneStatus {
	if r.disp == nil {
		return nil
	}
	return r.disp.LaneStatuses()
}

// Run serves until a planned stop is complete, ctx is canceled or a listener fails.
func (r *Relay) Run(ctx context.Context) error {
	r.initStopChannel()
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
	closers = append(closers, r.createComponents()...)

	callerServer := r.newServer(r.front.Handler())
	mux := http.NewServeMux()
	mux.Handle(peer.Path, r.hub)
	peerServer := r.newServer(mux)
	var wg sync.WaitGroup
	serveErrs := make(chan error, 2)
	wg.Go(func() { serveErrs <- callerServer.Serve(r.CallerListener) })
	wg.Go(func() { serveErrs <- peerServer.Serve(r.PeerListener) })
	r.control.watcher = &watcher{relay: r, ctx: ctx}
	loopEnded := make(chan struct{})
	wg.Go(func() {
		defer close(loopEnded)
		r.control.loop(ctx)
	})
	r.Log.Info("entry process started", "vm", r.VM, "data_centre", r.DataCentre, "incarnation", r.Incarnation)
	var err error
	select {
	case <-loopEnded:
	case err = <-serveErrs:
	}
	r.shutdown(callerServer, peerServer, ctx.Err() == nil && err == nil)
	cancel()
	wg.Wait()
	r.control.watcher.wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		err = nil
	}
	if err != nil {
		return fmt.Errorf("serve callers or peers: %w", err)
	}
	return nil
}

// createComponents creates the hub, the dispatcher and the front, and returns their clean-up functions in the order of
// creation.
func (r *Relay) createComponents() []func() {
	var closers []func()
	hub, closeHub := peer.New(peer.Config{
		Self:    peer.Hello{Version: peer.Version, VM: r.VM, DataCentre: r.DataCentre, Incarnation: r.Incarnation},
		Handler: (*peerEvents)(r), Now: r.Now, Log: r.Log, DialContext: r.DialPeer, PingInterval: r.Timing.PingInterval,
		Transport: r.PeerTransport, Scheme: r.PeerScheme, MaxMessage: r.MaxPeerMessage,
	})
	r.hub = hub
	closers = append(closers, closeHub)
	d, closeDisp := disp.New(disp.Config{
		State: &r.snapshotCell, Now: r.Now, NewClient: r.NewClient, Events: (*targetEvents)(r), Log: r.Log,
		ProbeInterval: r.Timing.ProbeInterval, QueueLength: r.QueueLength, Trace: r.Trace,
	})
	r.disp = d
	closers = append(closers, closeDisp)
	f, closeFront := front.New(front.Config{
		State: &r.snapshotCell, Now: r.Now, Remote: hub, Local: d, Stats: r.Stats, Log: logs.Wrap(r.Log), MaxBody: r.MaxBody, Once: r.Timing.Once, Route: r.Timing.Route,
		Incarnation: r.Incarnation, VM: r.VM, AddressTTL: r.Timing.AddressTTL, MaxDeadline: r.MaxDeadline, Seed: r.Seed, Budget: r.Budget, Trace: r.Trace,
	})
	r.front = f
	return append(closers, closeFront)
}

// newServer returns an HTTP server for the handler, with the time and size limits defined above.
func (r *Relay) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: r.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// shutdown closes the servers. In a planned stop, requests that are still open may finish first.
func (r *Relay) shutdown(callerServer, peerServer *http.Server, planned bool) {
	if planned {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		_ = callerServer.Shutdown(ctx)
		// The last replies to peers may still be queued for sending.
		time.Sleep(flushDelay)
	}
	_ = callerServer.Close()
	_ = peerServer.Close()
	r.Log.Info("entry process stopped", "vm", r.VM, "planned", planned)
}
