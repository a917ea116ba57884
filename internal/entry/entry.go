// Package entry implements an entry process for a platform that publishes routes and targets. Callers send plain HTTP
// requests to the process, which forwards each request to targets directly, within its share of the limits of the fleet.
//
// # Usage
//
//	e := &entry.Entry{
//		PeerAddr: addr, Seeds: seeds, DataCentre: "dc-a", CallerPort: 8080, Names: names, Source: store, Decode: decode,
//		CallerListener: l1, PeerListener: l2, Log: logger, Bounds: bounds,
//	}
//	go func() { <-sigterm; e.Stop() }()
//	err := e.Run(ctx)
//
// # Parts
//
// Decisions are made in packages without I/O: table (routes), docset (published documents), roster (which processes run),
// place (choice of targets), pauses (regular pauses of targets), budget (limit of retries and hedges), poison (detection of
// requests that crash targets), fanout (plan of one request). The goroutine of control.loop owns the table, the documents
// and the roster view, and publishes what request handling reads through atomic pointers. Entry.mu guards the balancer, the
// predictor, the budget, the delay estimator and the poison detector; each request holds it for microseconds.
//
// # Terms
//
// The fleet is all entry processes together; the other processes of the fleet are the peers of this one. The chosen
// processes are those whose addresses callers get (package subset). A document is what the platform publishes under one
// key: a configuration, a target or an excluded data centre. A reader is a process that reads documents from the platform
// itself; the other processes are followers: each gets the documents from a reader. A statement describes whether and in
// which state one entry process runs (package roster). A target is cold while it warms up after its start. A call is one
// request of a caller, and a send is one attempt to have it served by a target. A target replies to a send; this process
// answers a call.
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

	"github.com/fuchsiarelay/fuchsiarelay/internal/budget"
	"github.com/fuchsiarelay/fuchsiarelay/internal/delay"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pauses"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/place"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/quota"
	"github.com/fuchsiarelay/fuchsiarelay/internal/roster"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// HeaderNames holds the names of the platform's HTTP headers. The comment on each field describes the value of the header.
type HeaderNames struct {
	RequestID      string // ID of a request, which the caller changes when it retries; targets repeat the ID in their replies
	Deadline       string // milliseconds for which the sender waits
	Digest         string // digest of a target's reply
	ExpectInstance string // ID of the target that a request is meant for
	NotExecuted    string // set by a target that didn't run the request
	Load           string // load of a target: "running,waiting,slots"
	Instance       string // ID of the target that replies
	Warmup         string // milliseconds for which a target stays cold; in replies to health checks
	Leaving        string // "1" in the replies of a target that is leaving
	RateLimit      string // requests per second that a target takes from the whole fleet; in canonical form
	PartDigests    string // digests of the merged parts of an answer
	MissingParts   string // number of parts that an answer lacks
}

// ErrHistoryDropped is returned by Source.Watch if the platform no longer has the changes after the revision.
var ErrHistoryDropped = errors.New("the platform no longer has the changes after this revision")

// Source reads the published documents.
type Source interface {
	// Range returns all existing documents, and the revision up to which they are complete.
	Range(ctx context.Context) (docs []plat.Document, asOf uint64, err error)
	// Watch waits for changes after a revision. It returns the changed documents, and the revision up to which the changes are
	// complete. It returns no documents if nothing has changed when the wait is over.
	Watch(ctx context.Context, after uint64, wait time.Duration) (docs []plat.Document, asOf uint64, err error)
}

// Change is the decoded content of one document. At most one field is set; none is set for a document that has no meaning
// for entry processes.
type Change struct {
	Config        *table.Config
	Target        *table.Target
	RemovedTarget string // ID of a target whose document was removed
	// ExcludedDataCentre is a data centre whose targets get no requests any more; IncludedDataCentre is one whose targets
	// get requests again.
	ExcludedDataCentre, IncludedDataCentre string
}

// Decode translates a document. An error means that the document can't be decoded. The Change returned with an error still
// applies: it is empty for a configuration, so that the previous configuration stays in force, and has RemovedTarget set for
// a target, so that the previous state of the target is dropped.
type Decode func(d plat.Document) (Change, error)

// Bounds holds the limits that the platform sets for the fleet.
type Bounds struct {
	RetryRatio   float64       // see budget.Config.Ratio
	RetryReserve float64       // see budget.Config.Reserve
	RetryWindow  time.Duration // see budget.Config.Window
	Grace        time.Duration // from the signal to stop until the process is killed
	// In any second, a cold target accepts table.Service.WarmupRequestsPerSecond x WarmupOverage + WarmupSlack requests.
	WarmupOverage, WarmupSlack float64
}

// pingInterval leaves time for three pings before a silent process is considered lost.
const pingInterval = roster.DefaultSilenceTimeout / 3

// Limits of the HTTP servers. The configuration may state another limit for the bodies of callers' requests.
const (
	maxHeaderBytes      = 64 << 10
	headerTimeout       = 10 * time.Second
	defaultMaxBodyBytes = 1 << 20
	idleTimeout         = 90 * time.Second
)

// Entry is one entry process. All exported fields are set before Run. PeerAddr, CallerPort, Names, Source, Decode and the
// listeners are required; without Log, nothing is logged.
type Entry struct {
	PeerAddr       netip.AddrPort // address of PeerListener, which identifies this process
	Seeds          []netip.AddrPort
	DataCentre     string
	Capacity       float64 // of the VM, in cores
	CallerPort     uint16  // of every entry process
	Names          HeaderNames
	Source         Source
	Decode         Decode
	CallerListener net.Listener
	PeerListener   net.Listener
	Log            *logs.Logger
	Stats          *stats.Registry
	Bounds         Bounds
	Seed           uint64 // of random choices; 0: a random seed
	FirstOnVM      bool   // no entry process has run on this VM before; if false, the shares of connections and retries may be smaller at first

	hub       *peer.Hub
	pool      *pool.Pool
	control   *control
	conns     connTracker // of callers
	view      atomic.Pointer[table.View]
	directory atomic.Pointer[directory]
	ready     atomic.Bool
	stopping  atomic.Bool
	stopBegan atomic.Pointer[time.Time] // nil unless a planned stop has begun
	inFlight  atomic.Int64
	asOf      atomic.Uint64 // platform revision of the documents in force

	statementsDigest atomic.Uint64 // of the membership statements that this process knows
	panics           atomic.Uint64 // recovered by recoverPanic
	crashCounts      crashCounts

	mu             sync.Mutex // guards the fields up to random
	balancer       *place.Balancer
	predictor      *pauses.Predictor
	budget         *budget.Budget
	delayEstimator *delay.Estimator
	detector       *poison.Detector
	runningSends   map[uint64]int // sends that have not ended, by fingerprint
	permits        *quota.Client
	permitsArrived chan struct{}     // closed and replaced when permits arrive
	limitedSends   map[string]uint64 // sends to targets with a rate limit, by target ID
	random         *rand.Rand

	incarnation uint64                 // start time of this process, in Unix milliseconds
	shares      atomic.Pointer[shares] // the map allowedTargets is guarded by mu
	stop        chan struct{}
	initOnce    sync.Once
	stopOnce    sync.Once
}

// shares holds the values from which this process's shares of the limits of the fleet are computed.
type shares struct {
	fleetSize      int              // number of processes
	recentStart    bool             // connections of the previous process on this VM may still be open
	self           netip.AddrPort   // address at which this process accepts requests
	chosen         []netip.AddrPort // addresses of the chosen processes
	selfChosen     bool             // this process is one of chosen
	senders        []netip.AddrPort // chosen processes, and those that were chosen shortly before and may still send requests
	settled        bool             // this process has had time to learn of its peers
	view           *table.View
	allowedTargets map[string]bool // by target ID: whether this process gets a connection if there are too few for all; computed on first use
	since          time.Time       // when these shares came into force
	previous       *shares         // shares that were in force before these
}

const (
	// connectionFraction is the fraction of a target's connections that the fleet uses. The rest is for connections that are
	// being replaced.
	connectionFraction = 0.85
	// After a power failure, the connections of the lost processes remain open at the targets until their idle timeout, in
	// addition to those of the restarted processes. If a target accepts fewer than two connections for each process, the
	// fleet therefore uses only steadyConnectionFraction of them, and processes younger than predecessorIdleTimeout use only
	// the rest, recentStartConnectionFraction. predecessorIdleTimeout is the idle timeout of the targets.
	steadyConnectionFraction      = 0.58
	recentStartConnectionFraction = 0.42
	predecessorIdleTimeout        = 10 * time.Second
	// defaultConnections is the limit of one process for a target whose service has no limit. It is more than the gather
	// requests of one process use.
	defaultConnections = 8
)

func newShares(size int, recentStart bool, self netip.AddrPort, chosen []netip.AddrPort, view *table.View) *shares {
	return &shares{fleetSize: size, recentStart: recentStart, self: self, chosen: chosen, senders: chosen, settled: true, selfChosen: slices.Contains(chosen, self), view: view, allowedTargets: map[string]bool{}}
}

// connections returns how many sends to a target this process may have open at a time. In a fleet that is too large for the
// connections of its targets, only the chosen processes get connections. If there are too few even for these, those that
// rank first for the target get one each, and the others none; see ranksWithin. A target with the result 0 is unassigned, see
// place.Balancer.SetSendLimit.
func (s *shares) connections(t *table.Target) int {
	limit := s.view.Service(t.Service).MaxConnections
	if limit <= 0 {
		return defaultConnections
	}
	if 2*s.fleetSize <= limit {
		return int(float64(limit)*connectionFraction) / s.fleetSize
	}
	fraction := steadyConnectionFraction
	if s.recentStart {
		fraction = recentStartConnectionFraction
	}
	usable := max(int(float64(limit)*fraction), 1)
	if !s.selfChosen {
		return 0
	}
	if n := usable / len(s.chosen); n > 0 {
		return min(n, defaultConnections)
	}
	allowed, computed := s.allowedTargets[t.ID]
	if !computed {
		allowed = s.ranksWithin(t.ID, usable, s.chosen)
		s.allowedTargets[t.ID] = allowed
	}
	if allowed {
		return 1
	}
	return 0
}

// ranksWithin reports whether this process is among the first n of the given processes for a target. The rank is that of
// rendezvous hashing: each target orders the processes by the hash of its own ID and their address, so all processes come
// to the same result, and different targets rank different processes first.
func (s *shares) ranksWithin(target string, n int, processes []netip.AddrPort) bool {
	ownHash := xxhash.Sum64String(target + s.self.String())
	lower := 0
	for _, addr := range processes {
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
		e.predictor = pauses.New(pauses.Config{})
		repetitionCost := 0.0 // the default
		if e.Bounds.RetryRatio > 0 {
			repetitionCost = 1 / e.Bounds.RetryRatio
		}
		e.balancer = place.New(place.Config{
			DataCentre: e.DataCentre, HasIdle: func(id string) bool { return e.pool.HasIdle(id) }, IsDialing: func(id string) bool { return e.pool.IsDialing(id) }, PauseDelay: e.predictor.PredictedWait, RepetitionCost: repetitionCost,
		})
		e.delayEstimator = delay.New()
		e.detector = e.newDetector()
		e.runningSends = map[uint64]int{}
		e.limitedSends = map[string]uint64{}
		e.permits = quota.NewClient()
		e.permitsArrived = make(chan struct{})
		e.budget = budget.New(budget.Config{Ratio: e.Bounds.RetryRatio, Reserve: e.Bounds.RetryReserve, Window: e.Bounds.RetryWindow})
		e.view.Store(table.New().View())
		e.shares.Store(newShares(1, false, e.callerAddr(), nil, e.view.Load()))
		e.directory.Store(&directory{})
		e.balancer.SetSendLimit(func(t *table.Target) int { return e.shares.Load().connections(t) })
		e.balancer.SetColdLimit(e.coldLimit)
		e.balancer.SetRateLimiter(e.permits)
	})
}

// Stop begins a planned stop. Run returns when the stop is complete.
func (e *Entry) Stop() {
	e.init()
	e.stopOnce.Do(func() {
		now := time.Now()
		e.stopBegan.Store(&now)
		e.stopping.Store(true)
		close(e.stop)
	})
}

// Ready reports whether this process accepts requests of callers.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.stopping.Load() }

// callerAddr returns the address at which this process accepts requests of callers.
func (e *Entry) callerAddr() netip.AddrPort {
	return netip.AddrPortFrom(e.PeerAddr.Addr(), e.CallerPort)
}

// Addresses returns the addresses to which callers in a data centre may send requests, in no particular order. It is empty
// if no process is known to be ready.
func (e *Entry) Addresses(dataCentre string) []netip.AddrPort {
	d := e.directory.Load()
	if d == nil {
		return nil // Run hasn't begun
	}
	return d.addresses(dataCentre)
}

// Snapshot returns the current metrics.
func (e *Entry) Snapshot() any { return e.Stats.Snapshot() }

// Run serves requests until a planned stop is complete, ctx is canceled or one of the servers fails.
func (e *Entry) Run(ctx context.Context) error {
	e.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var closePool, closeHub func()
	e.pool, closePool = pool.New(pool.Config{})
	defer closePool()
	e.hub, closeHub = peer.New(peer.Config{
		Self:    peer.Hello{Version: peer.Version, VM: e.PeerAddr.String(), DataCentre: e.DataCentre, Incarnation: e.incarnation},
		Handler: &peerHandler{entry: e}, Now: time.Now, Log: e.Log.Logger, PingInterval: pingInterval,
	})
	defer closeHub()
	e.control = newControl(e, time.Now())

	callerServer := e.newServer(http.HandlerFunc(e.serveCall))
	callerServer.ConnState = e.conns.setState
	mux := http.NewServeMux()
	mux.Handle(peer.Path, e.hub)
	peerServer := e.newServer(mux)
	failed := make(chan error, 2)
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := callerServer.Serve(callerListener{e.CallerListener}); !e.stopping.Load() {
			failed <- err
		}
	})
	wg.Go(func() { failed <- peerServer.Serve(e.PeerListener) })
	wg.Go(func() { e.control.loop(ctx) })
	wg.Go(func() {
		for ctx.Err() == nil {
			e.recoverPanic("follower", func() { e.control.follower.loop(ctx) })
		}
	})
	e.Log.Info("entry process started", "vm", e.PeerAddr, "data_centre", e.DataCentre, "incarnation", e.incarnation, "first", e.FirstOnVM, "seeds", e.Seeds)

	var err error
	select {
	case <-e.stop:
		e.drain(ctx)
	case <-ctx.Done():
	case err = <-failed:
	}
	e.Log.Info("entry process stopped", "planned", e.stopping.Load(), "in_flight", e.inFlight.Load(), "error", err)
	cancel()
	_ = callerServer.Close()
	_ = peerServer.Close()
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

// Phases of a planned stop, as fractions of the time between the signal to stop and the kill.
const (
	// servingFraction is the fraction of the time in which requests are still served as before. In this time, callers that
	// cache the addresses of entry processes stop using this one; see the section on planned stops in docs/design.md.
	servingFraction = 0.72
	// onceFraction is the fraction of the time after which a request that must not be repeated is taken only if its whole time
	// fits into the stop. It may still be running at the target when the stop ends, and nobody could tell whether it has run.
	onceFraction = 0.4
	// answerFraction is the fraction of the time by which every request that was read gets its final answer.
	answerFraction = 0.8
	// finishFraction is the fraction of the time after which the stop ends even if connections are still in use. A sixth of the
	// time remains unused.
	finishFraction = 0.83
	defaultGrace   = 6 * time.Second
	// finishPollInterval is the pause between two checks for connections that are still in use.
	finishPollInterval = 20 * time.Millisecond
)

// grace returns the time from the signal to stop until the process is killed.
func (e *Entry) grace() time.Duration { return cmp.Or(e.Bounds.Grace, defaultGrace) }

// stopTime returns the time at which the given fraction of a planned stop has passed, if one has begun.
func (e *Entry) stopTime(fraction float64) time.Time {
	return e.stopBegan.Load().Add(time.Duration(fraction * float64(e.grace())))
}

// refusesWhileStopping reports whether a request comes too late in a planned stop: one that must not be repeated and may take
// longer than the stop, or any that could only be answered with a failure. Another process can serve it.
func (e *Entry) refusesWhileStopping(c *call) bool {
	if !e.stopping.Load() {
		return false
	}
	now := time.Now()
	timeLeft := c.caller.TimeLeft
	if c.route.Timeout > 0 {
		timeLeft = min(timeLeft, c.route.Timeout)
	}
	left := e.stopTime(answerFraction).Sub(now)
	if c.route.Kind != table.Safe {
		return now.After(e.stopTime(onceFraction)) && timeLeft > left
	}
	e.mu.Lock()
	_, high := e.balancer.RouteTimes(c.route.Name)
	e.mu.Unlock()
	return left < high
}

// drain carries out a planned stop. It announces the stop to peers and callers at once, and serves requests until callers
// have had time to switch to other processes. Then it accepts no more connections, and waits until every request that was
// read has been answered, which is at answerFraction of the time at the latest.
func (e *Entry) drain(ctx context.Context) {
	e.control.post(func(c *control, now time.Time) {
		c.publish(now)
		c.sendStatements()
	})
	e.Log.Info("planned stop began", "in_flight", e.inFlight.Load(), "grace", e.grace())
	servingTimer := time.NewTimer(time.Until(e.stopTime(servingFraction)))
	defer servingTimer.Stop()
	select {
	case <-servingTimer.C:
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithDeadline(ctx, e.stopTime(finishFraction))
	defer cancel()
	_ = e.CallerListener.Close() // makes Serve return
	for busy := e.conns.closeIdle(); busy > 0; busy = e.conns.closeIdle() {
		if ctx.Err() != nil {
			e.Log.Warn("planned stop ended with connections in use", "connections", busy, "in_flight", e.inFlight.Load())
			return
		}
		sleep(ctx, finishPollInterval)
	}
}

// InFlight returns the number of requests of callers that have not been answered yet.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }
