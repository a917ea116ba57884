package emul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// maxRequestBytes is the largest size of a request body that a target reads.
const maxRequestBytes = 1 << 20

// OverloadMode selects what a target does with work that would exceed its bound.
type OverloadMode string

// Overload modes of a target.
const (
	ModeShed     OverloadMode = "shed"     // refuse the work with status 503 and reason shed
	ModeCollapse OverloadMode = "collapse" // restart cold: all connections are reset and all running work is lost
)

// HeldSnapshot is one snapshot that a target serves. Documents is the number of documents that the target holds of each
// shard, which may be lower than the published number. A reply has no part for a shard that is absent from Documents.
type HeldSnapshot struct {
	Generation uint64            `json:"generation"`
	Version    uint64            `json:"version"`
	Documents  map[uint32]uint64 `json:"documents"`
}

// Target is a stand-in for one target. Exported fields are set before the first request. Where the comment of a field
// names a default, the zero value of the field means that default. If both WarmReplies and WarmTime are zero, every
// incarnation is warm from its start.
//
// MaxConns, ConnCost, Crash and DropOpenConns affect only connections that were accepted through Serve. A server that uses
// Target as its http.Handler keeps control of its own connections.
type Target struct {
	ID          string
	Service     string
	Slots       int                                // highest concurrency while warm; default 1
	ColdSlots   int                                // highest concurrency while cold, at most Slots; default 1
	WarmReplies int                                // successful replies that a cold target needs to become warm
	WarmTime    time.Duration                      // time that a cold target needs to become warm, besides WarmReplies
	StartWarm   bool                               // the first incarnation starts warm
	ServiceTime func(rnd *rand.Rand) time.Duration // default: uniform between Mean-Jitter and Mean+Jitter
	Mean        time.Duration
	Jitter      time.Duration
	ColdFactor  float64        // factor of the service time while cold; default 1
	ConnCost    time.Duration  // delay of the first request of a connection
	MaxConns    int            // connections above this number are recorded as overload and reset; 0: no limit
	IdleTimeout time.Duration  // time after which an idle connection is closed; 0: never
	RestartTime time.Duration  // time after a crash or collapse during which connections are reset
	Mode        OverloadMode   // default ModeShed
	Holdings    []HeldSnapshot // SetHoldings replaces them at run time
	Seed        uint64         // of the service times
	Incarnation uint64         // number of the first incarnation; each new incarnation adds 1; default 1

	mu             sync.Mutex
	initialized    bool
	rnd            *rand.Rand
	started        time.Time // start of this incarnation
	replies        int       // successful replies of this incarnation
	warm           bool
	draining       bool
	downUntil      time.Time     // new connections are reset until then
	incarnationEnd chan struct{} // closed when this incarnation ends
	running        map[*Execution]bool
	conns          map[*conn]bool
	lastConnID     uint64 // number of the newest connection, including those reset because of MaxConns
	faults         faults
	healthPages    []healthPage // oldest first
	log            targetLog
}

// faults holds the faults that are set on a target.
type faults struct {
	serviceTimeFactor float64
	truncateAfter     int             // bytes of each reply body that are sent; 0: all
	documentShare     float64         // share of the documents that replies report
	crashTexts        map[string]bool // texts of requests that crash the target
	wrongIDsLeft      int             // replies that still get a wrong request id
	reportedStamp     *target.Stamp   // stamp of the health page; nil: the true stamp
	healthLag         time.Duration
}

// healthPage is the content of the health page from the time at until the time of the next healthPage.
type healthPage struct {
	at    time.Time
	stamp target.Stamp
}

// applyDefaults sets the defaults and the initial state at the first call, and does nothing later. The caller holds mu.
func (t *Target) applyDefaults() {
	if t.initialized {
		return
	}
	t.initialized = true
	t.Slots = max(t.Slots, 1)
	t.ColdSlots = max(t.ColdSlots, 1)
	t.Incarnation = max(t.Incarnation, 1)
	if t.ColdFactor <= 0 {
		t.ColdFactor = 1
	}
	t.Mode = cmp.Or(t.Mode, ModeShed)
	t.rnd = rand.New(rand.NewPCG(t.Seed, 0))
	t.running = map[*Execution]bool{}
	t.conns = map[*conn]bool{}
	t.incarnationEnd = make(chan struct{})
	t.started = time.Now()
	t.warm = t.StartWarm || (t.WarmReplies == 0 && t.WarmTime == 0)
	t.faults.serviceTimeFactor = 1
	t.faults.documentShare = 1
	t.recordHealth()
}

// lock locks mu, applies the defaults, and makes a cold target warm if WarmReplies and WarmTime are reached.
func (t *Target) lock() {
	t.mu.Lock()
	t.applyDefaults()
	t.updateWarm()
}

// updateWarm makes a cold target warm once both WarmReplies and WarmTime are reached. The caller holds mu.
func (t *Target) updateWarm() {
	if t.warm || t.replies < t.WarmReplies || time.Since(t.started) < t.WarmTime {
		return
	}
	t.warm = true
	t.recordHealth()
}

// state returns the state that replies report. The caller holds mu.
func (t *Target) state() target.State {
	switch {
	case t.draining:
		return target.Draining
	case t.warm:
		return target.Warm
	default:
		return target.Cold
	}
}

// concurrencyBound returns the number of executions at the same time that the target allows now. The caller holds mu.
func (t *Target) concurrencyBound() int {
	if t.warm {
		return t.Slots
	}
	return min(t.ColdSlots, t.Slots)
}

// stamp returns the true incarnation, state and load. The caller holds mu.
func (t *Target) stamp() target.Stamp {
	return target.Stamp{
		Incarnation: t.Incarnation,
		State:       t.state(),
		Load:        target.Load{InFlight: len(t.running), Slots: t.Slots, Connections: len(t.conns)},
	}
}

// recordHealth records the health page after a change, and removes the recorded pages that are too old to be shown with the
// health lag. The caller holds mu.
func (t *Target) recordHealth() {
	now := time.Now()
	t.healthPages = append(t.healthPages, healthPage{at: now, stamp: t.stamp()})
	firstKept := 0
	for i, p := range t.healthPages {
		if now.Sub(p.at) >= t.faults.healthLag {
			firstKept = i
		}
	}
	t.healthPages = slices.Delete(t.healthPages, 0, firstKept)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c != nil && !c.requestReceived.Swap(true) && !sleep(t.ConnCost, r.Context().Done()) {
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Path == target.PathHealth:
		t.serveHealth(w)
	case r.Method == http.MethodPost && r.URL.Path == target.PathSub:
		t.serveSub(w, r, c)
	case r.Method == http.MethodPost && r.URL.Path == target.PathOrder:
		t.serveOrder(w, r, c)
	default:
		http.NotFound(w, r)
	}
}

// serveHealth answers with the health page, as the faults set by SetHealthLag and SetHealthStamp make it appear.
func (t *Target) serveHealth(w http.ResponseWriter) {
	t.lock()
	h := target.Health{Stamp: t.stamp(), Target: t.ID, Served: t.servedSnapshots()}
	if lag := t.faults.healthLag; lag > 0 {
		h.Stamp = t.healthPages[0].stamp
		for _, p := range t.healthPages {
			if time.Since(p.at) >= lag {
				h.Stamp = p.stamp
			}
		}
	}
	if t.faults.reportedStamp != nil {
		h.Stamp = *t.faults.reportedStamp
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, h)
}

// servedSnapshots returns the generation and version of every snapshot that the target serves. The caller holds mu.
func (t *Target) servedSnapshots() []target.Served {
	out := make([]target.Served, 0, len(t.Holdings))
	for _, h := range t.Holdings {
		out = append(out, target.Served{Service: t.Service, Generation: h.Generation, Version: h.Version})
	}
	return out
}

// serveSub runs a sub-request and answers it with one part for each requested shard that the target holds.
func (t *Target) serveSub(w http.ResponseWriter, r *http.Request, c *conn) {
	var sub target.Sub
	if !t.readRequest(w, r, &sub) {
		return
	}
	execution := &Execution{
		conn: c, Kind: KindSub, RequestID: sub.RequestID, SubID: sub.SubID, Query: sub.Query,
		Generation: sub.Generation, Version: sub.Version, Shards: sub.Shards, Conn: c.connID(),
	}
	snapshot, found := t.findHeldSnapshot(sub)
	if !found {
		t.writeRefusal(w, target.ReasonVersion)
		return
	}
	if !t.runInSlot(w, r, execution, sub.DeadlineMS) {
		return
	}
	reply := target.SubReply{RequestID: sub.RequestID, SubID: sub.SubID, Generation: sub.Generation, Version: sub.Version}
	t.lock()
	reply.Stamp = t.stamp()
	if t.takeWrongID() {
		reply.RequestID += "-other"
	}
	execution.Documents = map[uint32]uint64{}
	for _, id := range sub.Shards {
		if held, ok := snapshot.Documents[id]; ok {
			execution.Documents[id] = uint64(float64(held) * t.faults.documentShare)
			reply.Parts = append(reply.Parts, buildPart(sub, id, execution.Documents[id]))
		}
	}
	t.mu.Unlock()
	t.writeReply(w, execution, reply)
}

// buildPart returns the result for one shard. The id of its hit contains the generation and version, so that a test can
// detect an answer that mixes snapshots.
func buildPart(sub target.Sub, id uint32, documents uint64) target.Part {
	hit := wire.Hit{Shard: id, ID: fmt.Sprintf("g%d-v%d-s%d-d%d", sub.Generation, sub.Version, id, documents), Body: sub.Query}
	return target.Part{Shard: id, Documents: documents, Hits: []wire.Hit{hit}}
}

// serveOrder runs an order and answers it with its result.
func (t *Target) serveOrder(w http.ResponseWriter, r *http.Request, c *conn) {
	var order target.Order
	if !t.readRequest(w, r, &order) {
		return
	}
	execution := &Execution{conn: c, Kind: KindOrder, RequestID: order.RequestID, Token: order.Token, Query: order.Body, Conn: c.connID()}
	if !t.runInSlot(w, r, execution, order.DeadlineMS) {
		return
	}
	t.lock()
	reply := target.OrderReply{Stamp: t.stamp(), RequestID: order.RequestID, Token: order.Token, Result: "done " + order.Key}
	if t.takeWrongID() {
		reply.RequestID += "-other"
	}
	t.mu.Unlock()
	t.writeReply(w, execution, reply)
}

// takeWrongID reports whether the next reply must carry a wrong request id, and counts that reply. The caller holds mu.
func (t *Target) takeWrongID() bool {
	if t.faults.wrongIDsLeft == 0 {
		return false
	}
	t.faults.wrongIDsLeft--
	return true
}

// readRequest decodes the JSON body of a request. If that fails, it refuses the request and returns false.
func (t *Target) readRequest(w http.ResponseWriter, r *http.Request, into any) bool {
	// The HTTP server detects a closed connection only after the whole body has been read.
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(raw, into)
	}
	if err != nil {
		t.writeRefusal(w, target.ReasonBad)
		return false
	}
	return true
}

// findHeldSnapshot returns the snapshot that the sub-request asks for, or false if the target doesn't serve it.
func (t *Target) findHeldSnapshot(sub target.Sub) (HeldSnapshot, bool) {
	t.lock()
	defer t.mu.Unlock()
	for _, h := range t.Holdings {
		if h.Generation == sub.Generation && h.Version == sub.Version && (sub.Service == t.Service || t.Service == "") {
			return h, true
		}
	}
	return HeldSnapshot{}, false
}

// writeRefusal refuses a request that has not started.
func (t *Target) writeRefusal(w http.ResponseWriter, reason target.Reason) {
	t.lock()
	refusal := target.Refusal{Stamp: t.stamp(), Reason: reason, Served: t.servedSnapshots()}
	t.mu.Unlock()
	status := http.StatusServiceUnavailable
	switch reason {
	case target.ReasonVersion:
		status = http.StatusConflict
	case target.ReasonBad:
		status = http.StatusBadRequest
	}
	writeJSON(w, status, refusal)
}

// runInSlot takes a slot, waits for the service time and frees the slot. It reports whether the work was finished. If it was
// not, runInSlot has answered the request or breaks its connection by a panic with http.ErrAbortHandler.
func (t *Target) runInSlot(w http.ResponseWriter, r *http.Request, execution *Execution, deadlineMS int64) bool {
	if deadlineMS < 0 {
		t.writeRefusal(w, target.ReasonTooLate)
		return false
	}
	incarnationEnd, serviceTime, reason, breakConn := t.startExecution(execution)
	switch {
	case breakConn:
		panic(http.ErrAbortHandler)
	case reason != "":
		t.writeRefusal(w, reason)
		return false
	}
	if t.crashesOn(execution) {
		if outcome := t.awaitServiceTime(r, execution, incarnationEnd, serviceTime/2, 0); outcome == OutcomeDone {
			t.Crash()
		} else {
			t.finishExecution(execution, outcome)
		}
		panic(http.ErrAbortHandler)
	}
	outcome := t.awaitServiceTime(r, execution, incarnationEnd, serviceTime, time.Duration(deadlineMS)*time.Millisecond)
	switch t.finishExecution(execution, outcome) {
	case OutcomeDone:
		return true
	case OutcomeTimedOut:
		// A refusal would state that the work never started, so the answer is an error.
		http.Error(w, "deadline passed while running", http.StatusGatewayTimeout)
		return false
	default:
		panic(http.ErrAbortHandler)
	}
}

// startExecution starts the execution and returns the channel that is closed when the incarnation ends, and the service time.
// If the execution can't start, startExecution returns the reason for a refusal, or sets breakConn if the connection must be
// broken without an answer.
func (t *Target) startExecution(execution *Execution) (
	incarnationEnd chan struct{}, serviceTime time.Duration, reason target.Reason, breakConn bool,
) {
	t.lock()
	defer t.mu.Unlock()
	// If the target has crashed since the request was read, the request is lost: the crash has removed its connection.
	if execution.conn != nil && !t.conns[execution.conn] {
		return nil, 0, "", true
	}
	if t.draining {
		t.log.refusedDraining++
		return nil, 0, target.ReasonDraining, false
	}
	if bound := t.concurrencyBound(); len(t.running) >= bound {
		t.log.overloads = append(t.log.overloads, Overload{
			At: time.Now(), Kind: execution.Kind, RequestID: execution.RequestID, Conn: execution.Conn, Concurrency: len(t.running) + 1,
			Bound: bound, State: t.state(), Incarnation: t.Incarnation,
		})
		if t.Mode == ModeCollapse {
			t.restart(time.Now())
			return nil, 0, "", true
		}
		return nil, 0, target.ReasonShed, false
	}
	t.running[execution] = true
	execution.Start = time.Now()
	execution.Incarnation = t.Incarnation
	execution.State = t.state()
	execution.Concurrency = len(t.running)
	execution.Bound = t.concurrencyBound()
	execution.Outcome = OutcomeRunning
	t.log.addExecution(execution)
	t.recordHealth()
	return t.incarnationEnd, t.serviceTime(), "", false
}

// serviceTime returns the service time of the next execution, with the current faults. The caller holds mu.
func (t *Target) serviceTime() time.Duration {
	var d time.Duration
	switch {
	case t.ServiceTime != nil:
		d = t.ServiceTime(t.rnd)
	case t.Jitter > 0:
		d = t.Mean - t.Jitter + time.Duration(t.rnd.Int64N(int64(2*t.Jitter)+1))
	default:
		d = t.Mean
	}
	if !t.warm {
		d = time.Duration(float64(d) * t.ColdFactor)
	}
	return max(0, time.Duration(float64(d)*t.faults.serviceTimeFactor))
}

// awaitServiceTime waits until the service time or the deadline has passed or the incarnation has ended, and returns the
// outcome. A deadline of 0 means none. A sub-request also ends when its client disconnects. An order that has started
// continues without its client.
func (t *Target) awaitServiceTime(
	r *http.Request, execution *Execution, incarnationEnd chan struct{}, serviceTime, deadline time.Duration,
) Outcome {
	outcome := OutcomeDone
	if deadline > 0 && deadline < serviceTime {
		serviceTime = deadline
		outcome = OutcomeTimedOut
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	disconnected := r.Context().Done()
	if execution.Kind == KindOrder {
		disconnected = nil
	}
	select {
	case <-timer.C:
		return outcome
	case <-disconnected:
		return OutcomeCanceled
	case <-incarnationEnd:
		return OutcomeLost
	}
}

// finishExecution frees the slot, records the outcome and returns that outcome. If a restart has ended the execution already,
// finishExecution returns the recorded outcome OutcomeLost instead.
func (t *Target) finishExecution(execution *Execution, outcome Outcome) Outcome {
	t.lock()
	defer t.mu.Unlock()
	if !t.running[execution] {
		return execution.Outcome
	}
	delete(t.running, execution)
	execution.End = time.Now()
	execution.Outcome = outcome
	if outcome == OutcomeDone && execution.Incarnation == t.Incarnation {
		t.replies++
		t.updateWarm()
	}
	t.recordHealth()
	return outcome
}

// crashesOn reports whether the text of the execution makes the target crash.
func (t *Target) crashesOn(execution *Execution) bool {
	t.lock()
	defer t.mu.Unlock()
	return t.faults.crashTexts[execution.Query]
}

// stopRunning ends all running work with OutcomeLost. The clean-up function that Serve returns calls it.
func (t *Target) stopRunning() {
	t.lock()
	defer t.mu.Unlock()
	t.endRunningAsLost(time.Now())
}

// endRunningAsLost ends all running work with OutcomeLost. The caller holds mu.
func (t *Target) endRunningAsLost(now time.Time) {
	close(t.incarnationEnd)
	t.incarnationEnd = make(chan struct{})
	for execution := range t.running {
		execution.End = now
		execution.Outcome = OutcomeLost
	}
	clear(t.running)
}

// restart ends all running work with OutcomeLost, resets all connections and starts a new incarnation, which resets new
// connections until RestartTime has passed. The caller holds mu.
func (t *Target) restart(now time.Time) {
	t.endRunningAsLost(now)
	for c := range t.conns {
		c.reset()
	}
	clear(t.conns)
	t.Incarnation++
	t.log.restarts++
	t.started = now
	t.replies = 0
	t.warm = t.WarmReplies == 0 && t.WarmTime == 0
	t.draining = false
	t.downUntil = now.Add(t.RestartTime)
	t.recordHealth()
}

// writeReply sends the reply of an execution with a Content-Length header. While the fault of SetTruncateAfter is active, it
// sends only the first bytes of the body and breaks the connection.
func (t *Target) writeReply(w http.ResponseWriter, execution *Execution, reply any) {
	raw, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	t.lock()
	truncateAfter := t.faults.truncateAfter
	cut := truncateAfter > 0 && truncateAfter < len(raw)
	execution.ReplyCut = cut
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if cut {
		_, _ = w.Write(raw[:truncateAfter])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(raw)
}

// update runs f while it holds the lock, and records the health page that results.
func (t *Target) update(f func()) {
	t.lock()
	defer t.mu.Unlock()
	f()
	t.recordHealth()
}

// SetHoldings replaces the snapshots that the target serves. Running sub-requests are answered from the snapshot with which
// they started.
func (t *Target) SetHoldings(holdings ...HeldSnapshot) {
	t.update(func() { t.Holdings = slices.Clone(holdings) })
}

// SetDraining with the argument true makes the target refuse new work, while running work finishes. SetDraining(false) ends
// the fault.
func (t *Target) SetDraining(on bool) { t.update(func() { t.draining = on }) }

// StartColdIncarnation starts a new cold incarnation without a restart: running work continues and connections stay open.
// Running work above ColdSlots is not recorded as an overload.
func (t *Target) StartColdIncarnation() {
	t.update(func() {
		t.Incarnation++
		t.started = time.Now()
		t.replies = 0
		t.warm = t.WarmReplies == 0 && t.WarmTime == 0
	})
}

// Crash ends all running work with OutcomeLost, resets all connections and starts a new incarnation.
func (t *Target) Crash() { t.update(func() { t.restart(time.Now()) }) }

// SetServiceTimeFactor multiplies the service time of all work that starts from now on by factor. SetServiceTimeFactor(1)
// ends the fault.
func (t *Target) SetServiceTimeFactor(factor float64) {
	t.update(func() { t.faults.serviceTimeFactor = factor })
}

// DropOpenConns drops all bytes of the connections that are open now, in both directions and for the rest of their life. New
// connections work, and work that has started continues. The affected connections no longer count towards MaxConns.
func (t *Target) DropOpenConns() {
	t.update(func() {
		for c := range t.conns {
			c.dropBytes()
		}
		clear(t.conns)
	})
}

// SetTruncateAfter ends the body of every reply after n bytes and breaks the connection. SetTruncateAfter(0) ends the fault.
func (t *Target) SetTruncateAfter(n int) { t.update(func() { t.faults.truncateAfter = n }) }

// SetDocumentShare multiplies the number of documents of every part by share, 0..1. SetDocumentShare(1) ends the fault.
func (t *Target) SetDocumentShare(share float64) { t.update(func() { t.faults.documentShare = share }) }

// SetCrashTexts makes the target crash halfway through every sub-request or order with one of these texts. A call replaces
// the texts of the call before.
func (t *Target) SetCrashTexts(texts ...string) {
	t.update(func() {
		t.faults.crashTexts = map[string]bool{}
		for _, text := range texts {
			t.faults.crashTexts[text] = true
		}
	})
}

// SetWrongIDs makes the next n replies carry another request id.
func (t *Target) SetWrongIDs(n int) { t.update(func() { t.faults.wrongIDsLeft = n }) }

// SetHealthStamp makes the health page show the given stamp instead of the true one. Replies to requests still carry the true
// stamp. SetHealthStamp(nil) ends the fault.
func (t *Target) SetHealthStamp(stamp *target.Stamp) {
	t.update(func() { t.faults.reportedStamp = stamp })
}

// SetHealthLag makes the health page show the stamp from the time lag ago. SetHealthLag(0) ends the fault.
func (t *Target) SetHealthLag(lag time.Duration) { t.update(func() { t.faults.healthLag = lag }) }

// Stamp returns the true incarnation, state and load of the target.
func (t *Target) Stamp() target.Stamp {
	t.lock()
	defer t.mu.Unlock()
	return t.stamp()
}

// OrdersByToken returns the number of started orders by token.
func (t *Target) OrdersByToken() map[string]int {
	t.lock()
	defer t.mu.Unlock()
	return maps.Clone(t.log.orders)
}
