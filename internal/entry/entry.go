// Package entry is one entry process on a platform that publishes routes and targets: callers send plain HTTP requests,
// and the process sends them to targets itself, within its share of what the fleet may send.
//
// # Usage
//
//	e := &entry.Entry{
//		Self: addr, Seeds: seeds, DataCentre: "dc-a", Names: names, Source: store, Decode: decode,
//		Callers: l1, Peers: l2, Log: logger, Bounds: bounds,
//	}
//	go func() { <-sigterm; e.Stop() }()
//	err := e.Run(ctx)
//
// # Parts
//
// The decisions are in pure packages: table (routes), facts (published documents), crew (which processes run), place
// (targets), rhythm (pauses of targets), spend (repeats), poison (requests under which targets end), quest (one request).
// Control.loop owns table, facts and crew and publishes what traffic reads through atomic pointers. One mutex guards place,
// spend and poison, which each request uses for microseconds.
package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/crew"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rhythm"
	"github.com/fuchsiarelay/fuchsiarelay/internal/spend"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/internal/travel"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Names are the HTTP header names of the platform. Their values are described where they are used.
type Names struct {
	RequestID string // of one attempt of a caller; targets repeat it
	Patience  string // milliseconds that the sender waits
	Digest    string // of a target's answer
	Expect    string // ID of the target that a request is meant for
	NotRun    string // set by a target that didn't run the request
	Load      string // "running,waiting,slots"
	Instance  string // ID of the target that answers
	Warmup    string // milliseconds for which a target stays cold, on its health page
	Leaving   string // "1" in the answers of a target that leaves
	Parts     string // digests of the parts of an answer
	Missing   string // number of parts left out
}

// ErrHistory says that the platform no longer has the changes after a revision.
var ErrHistory = errors.New("the platform has dropped this part of its history")

// Source reads the published documents.
type Source interface {
	// Range returns everything that exists, and the revision that it is complete up to.
	Range(ctx context.Context) (docs []plat.Document, asOf uint64, err error)
	// Watch waits for changes after a revision; none are returned when the time is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (docs []plat.Document, asOf uint64, err error)
}

// Change is what one document says. At most one field is set; none is for a document without meaning here.
type Change struct {
	Config *table.Config
	Target *table.Target
	Gone   string // ID of a target whose document was removed
	// Exclude is a data centre that takes no requests; Include takes it back.
	Exclude, Include string
}

// Decode translates a document. An error means that the document can't be read. The change that comes with it applies all
// the same: none for a configuration, so that the last one stands, and Gone for a target, whose old entry is replaced.
type Decode func(d plat.Document) (Change, error)

// Bounds are the limits of the fleet and the time limits that the platform states.
type Bounds struct {
	RetryRatio   float64
	RetryReserve float64
	RetryWindow  time.Duration
	Grace        time.Duration // between the signal to stop and a kill
	// A cold target bears Service.WarmupPerSecond x WarmupOverage + WarmupSlack requests in any second.
	WarmupOverage, WarmupSlack float64
}

// pingInterval lets three pings fit into the silence after which a process isn't heard any more.
const pingInterval = crew.DefaultSilence / 3

// Bounds of the HTTP server. The limits in force for callers come from the configuration.
const (
	maxHeaderBytes      = 64 << 10
	headerTimeout       = 10 * time.Second
	defaultMaxBodyBytes = 1 << 20
	idleTimeout         = 90 * time.Second
)

// Entry is one entry process. All fields are set before Run; Names, Source, Decode, the listeners and Log are required.
type Entry struct {
	Self       netip.AddrPort // address of Peers, which identifies this process
	Seeds      []netip.AddrPort
	DataCentre string
	Capacity   float64 // of the VM, in cores
	CallerPort uint16  // of every entry process
	Names      Names
	Source     Source
	Decode     Decode
	Callers    net.Listener
	Peers      net.Listener
	Log        *logs.Logger
	Stats      *stats.Registry
	Bounds     Bounds
	Seed       uint64 // of random choices; 0: random
	First      bool   // no process has run on this VM before; its successors say false

	hub       *peer.Hub
	pool      *pool.Pool
	control   *control
	conns     connTracker // of callers
	view      atomic.Pointer[table.View]
	directory atomic.Pointer[directory]
	ready     atomic.Bool
	stopping  atomic.Bool
	inFlight  atomic.Int64
	asOf      atomic.Uint64 // platform revision of the documents in force

	statementsDigest atomic.Uint64 // of the statements that this process knows
	panics           atomic.Uint64 // of the program, caught by guard
	crashCounts      crashCounts

	mu           sync.Mutex // guards the rest
	board        *place.Board
	rhythm       *rhythm.Board
	budget       *spend.Budget
	travel       *travel.Board
	detector     *poison.Detector
	runningSends map[uint64]int // sends that have not ended, by fingerprint
	random       *rand.Rand

	incarnation uint64
	shares      atomic.Pointer[shares] // its map is guarded by mu
	stop        chan struct{}
	initOnce    sync.Once
	stopOnce    sync.Once
}

// shares are this process's parts of the limits of the fleet.
type shares struct {
	size        int // processes
	recentStart bool
	self        netip.AddrPort   // where this process takes requests
	chosen      []netip.AddrPort // the processes that callers are told of
	selfChosen  bool             // this is one of them
	view        *table.View
	ownTargets  map[string]bool // targets of a large fleet that this process uses; filled as they are asked for
	since       time.Time       // in force
	previous    *shares         // in force before
}

const (
	// connectionShare is the part of a target's connections that the fleet uses; the rest is for connections that are
	// being replaced.
	connectionShare = 0.85
	// After a loss of power, the connections of the lost processes stand at the targets until their idle time is over, and
	// those of their successors come on top. Where a target doesn't bear two for each process, the fleet keeps
	// steadyConnectionShare of them, and processes younger than predecessorFor, the idle time, keep only what that leaves.
	steadyConnectionShare      = 0.58
	recentStartConnectionShare = 0.42
	predecessorConnectionsFor  = 10 * time.Second
	// defaultConnections is for a service without a bound, and more than the searches of one process use.
	defaultConnections = 8
)

func newShares(size int, recentStart bool, self netip.AddrPort, chosen []netip.AddrPort, view *table.View) *shares {
	return &shares{size: size, recentStart: recentStart, self: self, chosen: chosen, selfChosen: slices.Contains(chosen, self), view: view, ownTargets: map[string]bool{}}
}

// connections returns how many sends to a target this process may have open at a time. In a fleet that is larger than
// the connections of its targets, the processes that callers are told of have them all. If there are too few even for
// these, those that come first in an order of the target's own have one each, and the others 0.
func (s *shares) connections(t *table.Target) int {
	limit := s.view.Service(t.Service).Connections
	if limit <= 0 {
		return defaultConnections
	}
	if 2*s.size <= limit {
		return int(float64(limit)*connectionShare) / s.size
	}
	share := steadyConnectionShare
	if s.recentStart {
		share = recentStartConnectionShare
	}
	used := max(int(float64(limit)*share), 1)
	if !s.selfChosen {
		return 0
	}
	if n := used / len(s.chosen); n > 0 {
		return min(n, defaultConnections)
	}
	owned, known := s.ownTargets[t.ID]
	if !known {
		owned = s.ranksWithin(t.ID, used)
		s.ownTargets[t.ID] = owned
	}
	if owned {
		return 1
	}
	return 0
}

// ranksWithin reports whether this process is among the ranksWithin n of the chosen ones in the order of a target.
func (s *shares) ranksWithin(target string, n int) bool {
	ownHash := xxhash.Sum64String(target + s.self.String())
	lower := 0
	for _, addr := range s.chosen {
		if xxhash.Sum64String(target+addr.String()) < ownHash {
			lower++
		}
	}
	return lower < n
}

func (e *Entry) init() {
	e.initOnce.Do(func() {
		e.stop = make(chan struct{})
		if e.Log == nil {
			e.Log = logs.Wrap(log.New(io.Discard))
		}
		if e.Stats == nil {
			e.Stats = stats.New()
		}
		e.incarnation = uint64(time.Now().UnixMilli())
		seed := cmp.Or(e.Seed, rand.Uint64())
		e.random = rand.New(rand.NewPCG(seed, seed))
		e.rhythm = rhythm.New(rhythm.Config{})
		e.board = place.New(place.Config{
			DataCentre: e.DataCentre, Open: func(id string) bool { return e.pool.Open(id) }, Wait: e.rhythm.Wait,
		})
		e.travel = travel.New()
		e.detector = e.newDetector()
		e.runningSends = map[uint64]int{}
		e.budget = spend.New(spend.Config{Ratio: e.Bounds.RetryRatio, Reserve: e.Bounds.RetryReserve, Window: e.Bounds.RetryWindow})
		e.view.Store(table.New().View())
		e.shares.Store(newShares(1, false, e.callersAddr(), nil, e.view.Load()))
		e.directory.Store(&directory{})
		e.board.SetLimits(func(t *table.Target) int { return e.shares.Load().connections(t) })
		e.board.SetCold(e.coldLimit)
	})
}

// Stop begins a planned stop; Run returns when it is complete.
func (e *Entry) Stop() {
	e.init()
	e.stopOnce.Do(func() {
		e.stopping.Store(true)
		close(e.stop)
	})
}

// Ready reports whether this process takes requests of callers.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.stopping.Load() }

// callersAddr returns where this process takes requests.
func (e *Entry) callersAddr() netip.AddrPort { return netip.AddrPortFrom(e.Self.Addr(), e.CallerPort) }

// Addresses returns where callers of a data centre may send requests, in no order. It is empty if no process is known to
// be ready.
func (e *Entry) Addresses(dataCentre string) []netip.AddrPort {
	d := e.directory.Load()
	if d == nil {
		return nil // Run hasn't begun
	}
	return d.addresses(dataCentre)
}

// Snapshot returns the metrics.
func (e *Entry) Snapshot() any { return e.Stats.Snapshot() }

// Run serves until a planned stop is complete or ctx is canceled.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var closePool, closeHub func()
	e.pool, closePool = pool.New(pool.Config{})
	defer closePool()
	e.hub, closeHub = peer.New(peer.Config{
		Self:    peer.Hello{Version: peer.Version, VM: e.Self.String(), DataCentre: e.DataCentre, Incarnation: e.incarnation},
		Handler: &peerHandler{entry: e}, Now: time.Now, Log: e.Log.Logger, PingInterval: pingInterval,
	})
	defer closeHub()
	e.control = newControl(e, time.Now())

	callers := e.newServer(http.HandlerFunc(e.serve))
	callers.ConnState = e.conns.setState
	mux := http.NewServeMux()
	mux.Handle(peer.Path, e.hub)
	peers := e.newServer(mux)
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := callers.Serve(callersListener{e.Callers}); !e.stopping.Load() {
			failed <- err
		}
	})
	wg.Go(func() { failed <- peers.Serve(e.Peers) })
	wg.Go(func() { e.control.loop(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			e.recoverPanic("follower", func() { e.control.follow.loop(ctx) })
		}
	})
	e.Log.Info("entry process started", "vm", e.Self, "data_centre", e.DataCentre, "incarnation", e.incarnation, "first", e.First, "seeds", e.Seeds)

	var err error
	select {
	case <-e.stop:
		e.drain(ctx)
	case <-ctx.Done():
	case err = <-failed:
	}
	e.Log.Info("entry process stopped", "planned", e.stopping.Load(), "in_flight", e.inFlight.Load(), "error", err)
	cancel()
	_ = callers.Close()
	_ = peers.Close()
	wg.Wait()
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

func (e *Entry) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: e.Log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
}

// Parts of the time between the signal to stop and the kill.
const (
	// servingShare lets callers that keep old address answers use them up; see docs/design.md on planned stops.
	servingShare = 0.72
	// finishShare leaves a sixth of the time unused.
	finishShare  = 0.83
	defaultGrace = 6 * time.Second
	// finishPollInterval is the pause between two looks at what is left.
	finishPollInterval = 20 * time.Millisecond
)

// drain ends a planned stop: peers and callers are told at once, requests are served until callers have had time to
// leave, and the rest is finished: no connection is accepted any more, and each accepted one gets its answer.
func (e *Entry) drain(ctx context.Context) {
	start := time.Now()
	grace := cmp.Or(e.Bounds.Grace, defaultGrace)
	e.control.post(func(c *control, now time.Time) {
		c.publish(now)
		c.sendStatements()
	})
	e.Log.Info("planned stop began", "in_flight", e.inFlight.Load(), "grace", grace)
	servingTimer := time.NewTimer(time.Duration(servingShare * float64(grace)))
	defer servingTimer.Stop()
	select {
	case <-servingTimer.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithDeadline(ctx, start.Add(time.Duration(finishShare*float64(grace))))
	defer cancel()
	_ = e.Callers.Close() // Serve ends with the error
	for busy := e.conns.closeIdle(); busy > 0; busy = e.conns.closeIdle() {
		if ctx.Err() != nil {
			e.Log.Warn("planned stop ended with connections in use", "connections", busy, "in_flight", e.inFlight.Load())
			return
		}
		sleep(ctx, finishPollInterval)
	}
}

// InFlight returns the number of requests of callers that have no answer yet.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }
