package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/fanout"
	"github.com/fuchsiarelay/fuchsiarelay/internal/merge"
	"github.com/fuchsiarelay/fuchsiarelay/internal/poison"
	"github.com/fuchsiarelay/fuchsiarelay/internal/pool"
	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

const (
	// defaultTimeLeft is how long a caller is assumed to wait if its request doesn't state it.
	defaultTimeLeft    = 10 * time.Second
	stoppingRetryAfter = 10 * time.Millisecond  // Retry-After of requests that another process must serve
	startingRetryAfter = 300 * time.Millisecond // Retry-After of requests that arrive before a configuration is known
	// maxUnsafeIdle is how long a connection may have been idle to be used for a request of a route that isn't table.Safe.
	// It is below the shortest time after which targets drop idle connections.
	maxUnsafeIdle = 300 * time.Millisecond
	// requestLogInterval is the shortest time between two log lines on requests that were not served completely, for each
	// result code.
	requestLogInterval = 50 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	id                 string // value of the header HeaderNames.RequestID
	contentFingerprint uint64 // fingerprint of host, method, path, query and body; the same for all copies of a request
	began              time.Time
	caller             fanout.Caller
	request            pool.Request // request to targets, with the headers of the caller that are passed on
	view               *table.View  // routing table when the call began
	route              *table.Route // nil if the call was refused before a route was found
}

// result is the result of a call.
type result struct {
	finish  fanout.Finish
	replies []*pool.Reply // replies to the sends in finish.AttemptIDs
	sends   int           // number of sends that were started
}

// serveCall handles one request of a caller.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, status, ok := e.readCall(w, r)
	if !ok {
		e.refuse(w, c, status)
		return
	}
	res := e.runPlan(r.Context(), c)
	if r.Context().Err() != nil {
		e.recordResult(c, codes.Canceled, res)
		return
	}
	e.writeAnswer(w, c, res)
}

// readCall reads a request and selects its route. If it returns false, the request must be refused with the returned status.
func (e *Entry) readCall(w http.ResponseWriter, r *http.Request) (*call, wire.Status, bool) {
	c := &call{id: r.Header.Get(e.Names.RequestID), began: time.Now(), caller: fanout.Caller{TimeLeft: defaultTimeLeft}, view: e.view.Load()}
	fail := func(code codes.Code, text string) (*call, wire.Status, bool) {
		return c, wire.NewStatus(code, c.id, text), false
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(e.Names.Deadline), 64); err == nil && ms >= 0 && ms < math.MaxInt32 {
		c.caller.TimeLeft = time.Duration(ms * float64(time.Millisecond))
	}
	if c.view.Config == nil {
		_, status, _ := fail(codes.Starting, "no configuration is known yet")
		status.RetryAfterMS = startingRetryAfter.Milliseconds()
		return c, status, false
	}
	if c.id == "" {
		return fail(codes.BadRequest, "the request has no id")
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	host, _, _ := strings.Cut(r.Host, ":")
	route, ok := c.view.Match(host, path)
	if !ok {
		return fail(codes.UnknownService, "no route for this host and path")
	}
	c.route = route
	e.mu.Lock()
	c.caller.TimeSpent, c.caller.OneWayTime = e.delayEstimator.Record(route.Name, c.caller.TimeLeft)
	e.mu.Unlock()
	limit := c.view.Config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return fail(codes.TooLarge, "the body is larger than allowed")
	case err != nil:
		return fail(codes.BadRequest, "the body ended early")
	}
	if e.refusesWhileStopping(c) {
		_, status, _ := fail(codes.Stopping, "the process is stopping")
		status.RetryAfterMS = stoppingRetryAfter.Milliseconds()
		return c, status, false
	}
	c.contentFingerprint = poison.Fingerprint(host, r.Method+" "+r.RequestURI, body)
	c.request = pool.Request{Method: r.Method, Head: pool.Head(r.Method, r.RequestURI, r.Host, e.forwardedHeaders(r.Header), len(body)), Body: body}
	if route.Kind != table.Safe {
		c.request.MaxIdle = maxUnsafeIdle
	}
	id := c.id
	// A reply without a request ID is dropped too, since it may be a second copy of the reply to an earlier request.
	c.request.Accept = func(_ int, h http.Header) bool { return h.Get(e.Names.RequestID) == id }
	return c, wire.Status{}, true
}

// hopByHopHeaders are the headers that concern a single connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true, "Host": true,
}

// forwardedHeaders returns a copy of the headers without those that concern a single connection or are set for each send.
func (e *Entry) forwardedHeaders(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if !hopByHopHeaders[name] {
			out[name] = values
		}
	}
	delete(out, e.Names.Deadline)
	delete(out, e.Names.ExpectInstance)
	for _, list := range in["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	return out
}

// chooseServices returns the service of each part of a request. For a route that splits requests between services, it
// chooses one service at random by weight.
func (e *Entry) chooseServices(r *table.Route) []string {
	if len(r.Gather) > 0 {
		return r.Gather
	}
	var total float64
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total <= 0 {
		return nil
	}
	e.mu.Lock()
	x := e.random.Float64() * total
	e.mu.Unlock()
	for _, s := range r.Split {
		if x -= max(s.Weight, 0); x < 0 {
			return []string{s.Service}
		}
	}
	return []string{r.Split[len(r.Split)-1].Service}
}

// runPlan carries out the plan of a call until it is finished or the caller has disconnected.
func (e *Entry) runPlan(ctx context.Context, c *call) result {
	services := e.chooseServices(c.route)
	if len(services) == 0 {
		return result{finish: fanout.Finish{Code: codes.NoTarget, Reason: fanout.ReasonNoTargets, RetryAfter: fanout.DefaultDownRetryAfter}}
	}
	return newRunner(e, c, services).loop(ctx)
}

// writeAnswer writes the answer to a call whose plan is finished, and records the result.
func (e *Entry) writeAnswer(w http.ResponseWriter, c *call, res result) {
	code := res.finish.Code
	switch {
	case len(c.route.Gather) > 0 && code.OK():
		e.writeMerged(w, c, res)
	case len(res.replies) == 1:
		reply := res.replies[0]
		if impliesNotRun(reply.Status) {
			// Callers would take this status as proof that the request has not run, but the target may have run it.
			e.refuse(w, c, wire.NewStatus(codes.OutcomeUnknown, c.id, "the target failed with a status that would say not run"))
			return
		}
		copyHeaders(w.Header(), reply.Header)
		writeBody(w, reply.Status, reply.Body)
	default:
		status := wire.NewStatus(code, c.id, string(res.finish.Reason))
		status.RetryAfterMS = res.finish.RetryAfter.Milliseconds()
		e.writeStatus(w, status)
	}
	e.recordResult(c, code, res)
}

// impliesNotRun reports whether callers take an HTTP status as proof that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// copyHeaders copies the headers of a reply that don't concern a single connection.
func copyHeaders(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the caller has disconnected; the server then closes the connection
}

// writeMerged writes the merged parts of a gather request.
func (e *Entry) writeMerged(w http.ResponseWriter, c *call, res result) {
	m := merge.New(c.route.MaxRecords)
	digests := make([]string, 0, len(res.replies))
	for _, reply := range res.replies {
		m.Add(reply.Body)
		digests = append(digests, reply.Header.Get(e.Names.Digest))
	}
	h := w.Header()
	h.Set(e.Names.RequestID, c.id)
	h.Set(e.Names.PartDigests, strings.Join(digests, ", "))
	h.Set(e.Names.MissingParts, strconv.Itoa(res.finish.MissingCount))
	h.Set("Content-Type", "application/octet-stream")
	writeBody(w, http.StatusOK, m.Bytes())
}

// refuse answers a call with a status, and records the result without the details of a plan. The call was refused before a
// plan was run, or has a reply that must not be passed on.
func (e *Entry) refuse(w http.ResponseWriter, c *call, status wire.Status) {
	e.writeStatus(w, status)
	e.recordResult(c, status.Code, result{finish: fanout.Finish{Code: status.Code, Reason: fanout.Reason(status.Message)}})
}

// writeStatus writes a status as the answer to the caller.
func (e *Entry) writeStatus(w http.ResponseWriter, status wire.Status) {
	h := w.Header()
	if status.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(status.RetryAfterMS)/1000, 'f', 3, 64))
	}
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(status)
	if err != nil {
		e.Log.Error("cannot encode status", "error", err)
	}
	writeBody(w, httpStatus(status.Code), body)
}

// httpStatus returns the HTTP status for a result code. 503 says that the request has not run and never will; 502 and 504
// leave open whether it has run.
func httpStatus(c codes.Code) int {
	switch c {
	case codes.BadRequest:
		return http.StatusBadRequest
	case codes.UnknownService:
		return http.StatusNotFound
	case codes.TooLarge:
		return http.StatusRequestEntityTooLarge
	case codes.DeadlineRunning:
		return http.StatusGatewayTimeout
	}
	if c.Ran() == codes.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// recordResult counts a call, and logs it unless it was answered completely.
func (e *Entry) recordResult(c *call, code codes.Code, res result) {
	took := time.Since(c.began)
	name, parts := "", 1
	if c.route != nil {
		name = c.route.Name
		parts = max(len(c.route.Gather), 1)
	}
	coverage := float64(parts-res.finish.MissingCount) / float64(parts)
	e.Stats.ObserveQuery(name, "", code, took, coverage)
	if code == codes.Complete {
		return
	}
	if code == codes.Quarantined {
		e.crashCounts.requestsRefused.Add(1)
	}
	var version int64
	if c.view.Config != nil {
		version = c.view.Config.Version
	}
	e.Log.Every("request "+code.Name(), requestLogInterval).Info("request", "request", c.id, "content", hexFingerprint(c.contentFingerprint), "route", name, "code", int(code), "outcome", code.Name(),
		"reason", string(res.finish.Reason), "after", string(res.finish.LastFailure), "missing", res.finish.MissingCount, "missed", res.finish.MissingParts, "sends", res.sends, "denied", res.finish.BudgetDenials, "config", version,
		"took_ms", took.Milliseconds(), "patience_ms", c.caller.TimeLeft.Milliseconds(), "spent_ms", c.caller.TimeSpent.Milliseconds(), "way_us", c.caller.OneWayTime.Microseconds(), "retry_after_ms", res.finish.RetryAfter.Milliseconds())
}
