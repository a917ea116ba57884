// Package front answers callers over HTTP: addresses, queries, tokens and orders.
//
// # Usage
//
//	f, closeFront := front.New(front.Config{State: cell, Now: clk.Now, Remote: hub, Local: disp, ...})
//	defer closeFront()
//	server.Handler = f.Handler()
//
// A query is split into sub-requests by route.Plan. The sub-requests are sent to the dispatchers of the chosen targets,
// their results are merged, and the caller receives one answer.
package front

import (
	"cmp"
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/once"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/route"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/internal/trace"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Defaults of Config, and the shortest retry time that a refusal asks of the caller.
const (
	DefaultAddressTTL  = 2 * time.Second
	DefaultMaxDeadline = 30 * time.Second
	minRetryAfter      = 200 * time.Millisecond
	tokenKeyBytes      = 32 // length of the random Config.Once.Key
)

// PeerSender sends work and orders to other entry processes.
type PeerSender interface {
	Work(to string, w peer.WorkRequest, done func(peer.WorkReply)) (cancel func())
	Order(to string, o peer.Order, done func(peer.OrderReply))
}

// LocalDispatcher sends work to the targets that this process dispatches.
type LocalDispatcher interface {
	Submit(ctx context.Context, w peer.WorkRequest, done func(peer.WorkReply))
}

// Stats receives the measurements of a Front.
type Stats interface {
	ObserveQuery(tenant, class string, code codes.Code, latency time.Duration, coverage float64)
	ObserveOrder(tenant, class string, code codes.Code, latency time.Duration)
	ObserveSubRequest(target string, kind stats.SubRequestKind, code codes.Code, latency time.Duration)
	AddInFlight(tenant string, delta int64)
}

// Config configures a Front. State, Now, Remote, Local, Stats and Log are required.
type Config struct {
	State       *state.Cell
	Now         func() time.Time
	Remote      PeerSender
	Local       LocalDispatcher
	Stats       Stats
	Log         *logs.Logger
	Route       route.Config
	Budget      *route.Budget
	Once        once.Config
	Incarnation uint64
	VM          string
	AddressTTL  time.Duration
	MaxDeadline time.Duration
	MaxBody     int64 // of a request, in bytes
	Seed        uint64
	Trace       trace.Func
}

// Front serves the requests of callers.
type Front struct {
	cfg            Config
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	activeRequests atomic.Int64  // requests being served
	lastSerial     atomic.Uint64 // newest serial number of a random generator or sub-request
	loads          *targetLoads
	indexCache     indexCache

	tenantMu         sync.Mutex
	inFlightByTenant map[string]int // requests in flight, by tenant

	orderMu        sync.Mutex
	orderTable     *once.Table[wire.OrderAnswer]
	outcomeWaiters map[uint64]chan struct{} // by token sequence; closed when the outcome is stored
}

// New returns a front, and a function that ends the waits for the outcomes of running orders and returns when the goroutines
// of these orders have ended. Queries end with the contexts of their HTTP requests.
func New(cfg Config) (*Front, func()) {
	cfg.AddressTTL = cmp.Or(cfg.AddressTTL, DefaultAddressTTL)
	cfg.MaxDeadline = cmp.Or(cfg.MaxDeadline, DefaultMaxDeadline)
	cfg.MaxBody = cmp.Or(cfg.MaxBody, wire.MaxBody)
	if cfg.Budget == nil {
		cfg.Budget = route.NewBudget(route.DefaultHedgeShare, route.DefaultRetryShare)
	}
	cfg.Once.MaxDeadline = cfg.MaxDeadline
	if cfg.Once.Key == nil {
		cfg.Once.Key = make([]byte, tokenKeyBytes)
		_, _ = crand.Read(cfg.Once.Key) // never fails
	}
	f := &Front{
		cfg: cfg, loads: newTargetLoads(), inFlightByTenant: map[string]int{},
		orderTable:     once.New[wire.OrderAnswer](cfg.Once, cfg.VM, cfg.Incarnation),
		outcomeWaiters: map[uint64]chan struct{}{},
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return f, f.close
}

func (f *Front) close() {
	f.cancel()
	f.wg.Wait()
}

// Handler returns the HTTP handler for callers.
func (f *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAddresses, f.serveAddresses)
	mux.HandleFunc("POST "+wire.PathQuery, countRequests(f, f.serveQuery))
	mux.HandleFunc("POST "+wire.PathTokens, countRequests(f, f.serveToken))
	mux.HandleFunc("POST "+wire.PathOrders, countRequests(f, f.serveOrder))
	return mux
}

// InFlight returns the number of caller requests being served.
func (f *Front) InFlight() int { return int(f.activeRequests.Load()) }

// OpenTokens returns the number of issued tokens that callers may still use.
func (f *Front) OpenTokens() int {
	now := f.cfg.Now()
	f.orderMu.Lock()
	defer f.orderMu.Unlock()
	return f.orderTable.OpenCount(now)
}

// countRequests wraps a handler so that the requests being served are counted.
func countRequests(f *Front, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.activeRequests.Add(1)
		defer f.activeRequests.Add(-1)
		h(w, r)
	}
}

// newRand returns a random generator for one query, seeded with Config.Seed and a serial number.
func (f *Front) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(f.cfg.Seed, f.lastSerial.Add(1)))
}

// serveAddresses answers with the entry VMs that callers may use.
func (f *Front) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	f.cfg.Trace.Report(trace.AddressRequested, "")
	snap := f.cfg.State.Load()
	if len(snap.Addresses) == 0 {
		writeStatus(w, refusalStatus(codes.New(codes.Starting, "no address is known yet"), ""))
		return
	}
	writeJSON(w, http.StatusOK, wire.Addresses{Addresses: snap.Addresses, ValidForMS: f.cfg.AddressTTL.Milliseconds()})
}

// refusalLogInterval is the interval within which refusals with the same code are logged only once.
const refusalLogInterval = time.Second

// logRefusal logs a request whose code means failure, at most once per code and refusalLogInterval.
func (f *Front) logRefusal(kind string, status wire.Status, tenant, class string) {
	if status.Code.OK() {
		return
	}
	f.cfg.Log.Every("refused "+status.Name, refusalLogInterval).Warn("request refused or failed", "kind", kind, "request_id", status.RequestID,
		"tenant", tenant, "class", class, "code", int(status.Code), "name", status.Name, "ran", status.Ran, "rule_line", status.RuleLine,
		"message", status.Message)
}

// decodeBody reads and decodes a JSON body of at most Config.MaxBody bytes.
func decodeBody[T any](f *Front, w http.ResponseWriter, r *http.Request) (T, error) {
	var v T
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.cfg.MaxBody))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return v, codes.New(codes.TooLarge, "the body exceeds %d bytes", f.cfg.MaxBody)
		}
		return v, codes.New(codes.BadRequest, "read body: %v", err)
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		return v, codes.New(codes.BadRequest, "decode body: %v", err)
	}
	return v, nil
}

// refusalStatus returns the status of a request that was refused with err.
func refusalStatus(err error, requestID string) wire.Status {
	code := codes.Of(err)
	if code == 0 {
		code = codes.BadRequest
	}
	status := wire.NewStatus(code, requestID, codes.Message(err))
	status.RuleLine = codes.RuleLine(err)
	switch code {
	case codes.BadRequest, codes.TooLarge, codes.UnknownService, codes.UnknownClass, codes.TokenInvalid, codes.TokenExpired:
	default:
		status.RetryAfterMS = max(codes.RetryAfter(err), minRetryAfter).Milliseconds()
	}
	return status
}

// writeStatus answers a request that was refused before it ran.
func writeStatus(w http.ResponseWriter, status wire.Status) {
	setRetryAfterHeader(w, status)
	writeJSON(w, status.Code.Status(), status)
}

// setRetryAfterHeader sets the header Retry-After to the retry time of the status, rounded up to seconds.
func setRetryAfterHeader(w http.ResponseWriter, status wire.Status) {
	if status.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((status.RetryAfterMS+999)/1000, 10))
	}
}

// writeJSON writes v as JSON with the HTTP status code.
func writeJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// The length lets the caller detect an answer that was cut off.
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// admitTenant counts a request of the tenant as in flight until release is called. It fails if the rules limit the
// requests in flight of the tenant and the limit is reached.
func (f *Front) admitTenant(snap *state.Snapshot, tenant string) (release func(), err error) {
	limit, limited := snap.Rules.Limit(rules.Tenant, tenant)
	f.tenantMu.Lock()
	defer f.tenantMu.Unlock()
	if limited && limit.InFlight > 0 && f.inFlightByTenant[tenant] >= limit.InFlight {
		return nil, codes.NewByRule(codes.TenantLimit, limit.Line, "rule line %d (%s): at most %d requests in flight", limit.Line, limit.Who, limit.InFlight)
	}
	f.inFlightByTenant[tenant]++
	f.cfg.Stats.AddInFlight(tenant, 1)
	return func() {
		f.tenantMu.Lock()
		defer f.tenantMu.Unlock()
		f.inFlightByTenant[tenant]--
		f.cfg.Stats.AddInFlight(tenant, -1)
		if f.inFlightByTenant[tenant] == 0 {
			delete(f.inFlightByTenant, tenant)
		}
	}, nil
}
