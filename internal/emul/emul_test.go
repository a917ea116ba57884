package emul_test

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

const second = time.Second

var targetAddr = netip.MustParseAddrPort("10.0.0.1:9000")

// targetEnv holds one target, the network to the target, and one client.
type targetEnv struct {
	net    *emul.Network
	target *emul.Target
	client *target.HTTP
	ctx    context.Context // of the test in the synctest bubble
}

// runWithTarget runs f against tg inside a synctest bubble.
func runWithTarget(t *testing.T, tg *emul.Target, f func(env targetEnv)) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		l, err := nw.Listen(targetAddr)
		assert.NilError(t, err)
		tg.Service = "ledger"
		tg.Holdings = []emul.HeldSnapshot{{Generation: 1, Version: 1, Documents: map[uint32]uint64{0: 100, 1: 100}}}
		defer tg.Serve(l)()
		client, closeClient := target.NewHTTP(targetAddr, target.Options{DialContext: nw.Dialer("entry")})
		defer closeClient()
		f(targetEnv{net: nw, target: tg, client: client, ctx: t.Context()})
	})
}

// sub sends a sub-request with this text for the shards 0 and 1.
func (env targetEnv) sub(ctx context.Context, text string) (target.SubReply, error) {
	return env.client.Sub(ctx, target.Sub{
		RequestID: "r", Service: "ledger", Generation: 1, Version: 1, Shards: []uint32{0, 1}, Query: text, DeadlineMS: 5000,
	})
}

// concurrentSubs sends n sub-requests at the same time and returns their errors.
func (env targetEnv) concurrentSubs(n int) []error {
	out := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { _, out[i] = env.sub(env.ctx, "q") })
	}
	wg.Wait()
	return out
}

// kindOf returns the kind of a target.Error, or "" for nil and other errors.
func kindOf(err error) target.Kind {
	var targetErr *target.Error
	if errors.As(err, &targetErr) {
		return targetErr.Kind
	}
	return ""
}

// countKind returns the number of errors of this kind.
func countKind(errs []error, kind target.Kind) int {
	n := 0
	for _, err := range errs {
		if kindOf(err) == kind {
			n++
		}
	}
	return n
}

// Guards against a target that runs more work at the same time than its Slots, or doesn't record an overload in its log.
func TestSlotsAndShed(t *testing.T) {
	runWithTarget(t, &emul.Target{Slots: 2, Mean: second}, func(env targetEnv) {
		errs := env.concurrentSubs(5)
		assert.Equal(t, countKind(errs, ""), 2)
		assert.Equal(t, countKind(errs, target.Refused), 3)
		assert.Equal(t, env.target.PeakInFlight(), 2)
		assert.Equal(t, len(env.target.Overloads()), 3)
		assert.Equal(t, len(env.target.Runs()), 2)
	})
}

// Guards against a cold target that accepts as much concurrency as a warm one, and against a collapse that doesn't record
// the lost work.
func TestColdCollapse(t *testing.T) {
	tg := &emul.Target{Slots: 2, Mean: second, Mode: emul.ModeCollapse, WarmReplies: 2, StartWarm: true}
	runWithTarget(t, tg, func(env targetEnv) {
		assert.Equal(t, countKind(env.concurrentSubs(2), ""), 2)
		tg.StartColdIncarnation()
		errs := env.concurrentSubs(2)
		assert.Equal(t, countKind(errs, target.Broken), 2)
		assert.Equal(t, len(tg.Overloads()), 1)
		runs := tg.Runs()
		assert.Equal(t, runs[2].Outcome, emul.OutcomeLost)
		assert.Equal(t, runs[2].State, target.Cold)
		assert.Equal(t, tg.Stamp().Incarnation, uint64(3))
		for range 2 {
			_, err := env.sub(env.ctx, "q")
			assert.NilError(t, err)
		}
		assert.Equal(t, tg.Stamp().State, target.Warm)
	})
}

// Guards against a slot that stays taken after its client has disconnected, and against a deadline that is not obeyed.
func TestCancelAndDeadline(t *testing.T) {
	runWithTarget(t, &emul.Target{Mean: 10 * second}, func(env targetEnv) {
		ctx, cancel := context.WithTimeout(env.ctx, second)
		defer cancel()
		_, err := env.sub(ctx, "q")
		assert.Equal(t, kindOf(err), target.TimedOut)
		synctest.Wait()
		_, err = env.sub(env.ctx, "q")
		assert.Equal(t, kindOf(err), target.Failed)
		runs := env.target.Runs()
		assert.Equal(t, len(runs), 2)
		assert.Equal(t, runs[0].Outcome, emul.OutcomeCanceled)
		assert.Equal(t, runs[0].End.Sub(runs[0].Start), second)
		assert.Equal(t, runs[1].Outcome, emul.OutcomeTimedOut)
		assert.Equal(t, runs[1].End.Sub(runs[1].Start), 5*second)
	})
}

// Guards against an order whose execution is missing from the log because its client saw an error.
func TestOrderCountsFromStart(t *testing.T) {
	runWithTarget(t, &emul.Target{Mean: second}, func(env targetEnv) {
		ctx, cancel := context.WithTimeout(env.ctx, second/2)
		defer cancel()
		_, err := env.client.Order(ctx, target.Order{Token: "t1", RequestID: "r"})
		assert.Equal(t, kindOf(err), target.TimedOut)
		assert.Equal(t, env.target.OrdersByToken()["t1"], 1)
		time.Sleep(second)
		assert.Equal(t, env.target.Runs()[0].Outcome, emul.OutcomeDone)
	})
}

// Guards against faults of a target that have no effect, or that a client takes for a successful reply.
func TestTargetFaults(t *testing.T) {
	tg := &emul.Target{Mean: second}
	runWithTarget(t, tg, func(env targetEnv) {
		expectKind := func(want target.Kind) {
			t.Helper()
			_, err := env.sub(env.ctx, "q")
			assert.Equal(t, kindOf(err), want)
		}
		tg.SetTruncateAfter(20)
		expectKind(target.Broken)
		tg.SetTruncateAfter(0)
		tg.SetWrongIDs(1)
		expectKind(target.Garbled)
		expectKind("")
		tg.SetDocumentShare(0.5)
		reply, err := env.sub(env.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, reply.Parts[0].Documents, uint64(50))
		tg.SetDraining(true)
		expectKind(target.Refused)
		tg.SetDraining(false)
		tg.SetCrashTexts("bad")
		_, err = env.sub(env.ctx, "bad")
		assert.Equal(t, kindOf(err), target.Broken)
		expectKind("")
		tg.SetHealthStamp(&target.Stamp{State: target.Draining})
		h, err := env.client.Health(env.ctx)
		assert.NilError(t, err)
		assert.Equal(t, h.State, target.Draining)
		tg.SetHoldings()
		expectKind(target.Refused)
		ctx, cancel := context.WithTimeout(env.ctx, second)
		defer cancel()
		tg.DropOpenConns()
		_, err = env.sub(ctx, "q")
		assert.Equal(t, kindOf(err), target.TimedOut)
		expectKind(target.Refused)
	})
}

// Guards against a health page that shows the current state although SetHealthLag delays it.
func TestHealthLag(t *testing.T) {
	tg := &emul.Target{Mean: second}
	runWithTarget(t, tg, func(env targetEnv) {
		tg.SetHealthLag(3 * second)
		time.Sleep(5 * second)
		tg.SetDraining(true)
		time.Sleep(2 * second)
		h, err := env.client.Health(env.ctx)
		assert.NilError(t, err)
		assert.Equal(t, h.State, target.Warm)
		time.Sleep(2 * second)
		h, err = env.client.Health(env.ctx)
		assert.NilError(t, err)
		assert.Equal(t, h.State, target.Draining)
	})
}

// Guards against new connections that ignore ConnCost or MaxConns, or are missing from PeakConns.
func TestConnCostAndMaxConns(t *testing.T) {
	tg := &emul.Target{Slots: 9, Mean: second, ConnCost: 6 * time.Millisecond, MaxConns: 2}
	runWithTarget(t, tg, func(env targetEnv) {
		start := time.Now()
		errs := env.concurrentSubs(3)
		assert.Equal(t, time.Since(start), second+6*time.Millisecond)
		assert.Equal(t, countKind(errs, ""), 2)
		assert.Equal(t, tg.PeakConns(), 3)
		assert.Equal(t, tg.Overloads()[0].Kind, emul.KindConn)
	})
}

// Guards against a platform that serves more calls than its budget allows, or whose watch continues to wait after a change.
func TestPlatformWatchAndBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, closeNetwork := emul.NewNetwork()
		defer closeNetwork()
		l, err := nw.Listen(targetAddr)
		assert.NilError(t, err)
		p := &emul.Platform{Budget: 5, Latency: 2 * time.Millisecond}
		defer p.Serve(l)()
		tr := &http.Transport{DialContext: nw.Dialer("entry")}
		r, closeReader := plat.NewHTTP(targetAddr, tr)
		defer closeReader()
		publish := func(value string) {
			_, err := p.Publish(plat.KeyRules, []byte(value))
			assert.NilError(t, err)
		}
		publish("one")
		time.AfterFunc(300*time.Millisecond, func() { publish("two") })
		start := time.Now()
		doc, changed, err := r.Watch(t.Context(), plat.KeyRules, 1, second)
		assert.NilError(t, err)
		assert.Assert(t, changed)
		assert.Equal(t, string(doc.Value), "two")
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
		_, changed, err = r.Watch(t.Context(), plat.KeyRules, 2, second)
		assert.NilError(t, err)
		assert.Assert(t, !changed)
		p.SetRevisionsBehind(1)
		doc, err = r.Read(t.Context(), plat.KeyRules)
		assert.NilError(t, err)
		assert.Equal(t, doc.Revision, uint64(1))
		p.SetDown(true)
		_, err = r.Read(t.Context(), plat.KeyRules)
		assert.Assert(t, err != nil)
		p.SetDown(false)
		// The Read that returned revision 1 has used one of the five calls that the budget allows at once, so four of these nine
		// succeed.
		for range 9 {
			_, _ = r.Read(t.Context(), plat.KeyRules)
		}
		assert.Equal(t, p.Counts().Rejected, 5)
	})
}

// Guards against a preset whose documents can't be parsed, or whose numbers of services and targets are wrong.
func TestFleetPresets(t *testing.T) {
	for _, spec := range []emul.FleetSpec{emul.HeadOffice(), emul.Dredger()} {
		f := spec.Build()
		raw, err := f.ServicesJSON()
		assert.NilError(t, err)
		_, err = plat.ParseServices(raw)
		assert.NilError(t, err)
		vms, err := f.VMsJSON()
		assert.NilError(t, err)
		_, err = plat.ParseVMs(vms)
		assert.NilError(t, err)
		assert.Equal(t, len(f.Services), 29)
		addrs := map[netip.AddrPort]bool{}
		for _, svc := range f.Services {
			for _, tg := range svc.Targets {
				addrs[tg.Addr] = true
			}
		}
		assert.Equal(t, len(addrs), 25*3+4*4)
	}
}

// Guards against control commands that are applied to the wrong target, and against invalid commands that return no error.
func TestControl(t *testing.T) {
	a, b := &emul.Target{ID: "a"}, &emul.Target{ID: "b"}
	c := &emul.Control{Targets: map[string]*emul.Target{"a": a, "b": b}, Platform: &emul.Platform{}}
	assert.NilError(t, c.Execute(emul.Command{Action: emul.ActDrain, Target: "a", On: true}))
	assert.Equal(t, a.Stamp().State, target.Draining)
	assert.Equal(t, b.Stamp().State, target.Warm)
	assert.NilError(t, c.Execute(emul.Command{Action: emul.ActCrash}))
	assert.Equal(t, b.Counts().Restarts, 1)
	assert.ErrorContains(t, c.Execute(emul.Command{Action: emul.ActCrash, Target: "x"}), `no target "x"`)
	assert.ErrorContains(t, c.Execute(emul.Command{Action: "crush"}), "unknown action")
	assert.ErrorContains(t, c.Execute(emul.Command{Action: emul.ActPublish, Key: "rulez"}), "expected one of")
}

// Guards against connections that count towards MaxConns after DropOpenConns, so that new connections are reset.
func TestDroppedConnectionsDoNotCount(t *testing.T) {
	tg := &emul.Target{Mean: 10 * time.Millisecond, MaxConns: 1}
	runWithTarget(t, tg, func(env targetEnv) {
		for range 3 {
			_, err := env.sub(env.ctx, "q")
			assert.NilError(t, err)
			tg.DropOpenConns()
			ctx, cancel := context.WithTimeout(env.ctx, second)
			_, err = env.sub(ctx, "q")
			cancel()
			assert.Equal(t, kindOf(err), target.TimedOut)
			env.client.Reset()
		}
		assert.Equal(t, len(tg.Overloads()), 0)
	})
}

// Guards against a crash that a TCP client sees as an orderly close, and against a request that starts although the
// target has crashed since the request was received.
func TestCrashOverTCP(t *testing.T) {
	tg := &emul.Target{
		Service: "ledger", Mean: 10 * second, ConnCost: 50 * time.Millisecond,
		Holdings: []emul.HeldSnapshot{{Generation: 1, Version: 1, Documents: map[uint32]uint64{0: 1}}},
	}
	l, err := emul.Loopback(targetAddr)
	assert.NilError(t, err)
	defer tg.Serve(l)()
	c, closeClient := target.NewHTTP(netip.MustParseAddrPort(l.Addr().String()), target.Options{})
	defer closeClient()
	crashAfter := func(after time.Duration) {
		timer := time.AfterFunc(after, tg.Crash)
		defer timer.Stop()
		_, err := c.Order(t.Context(), target.Order{RequestID: "r", Token: "t"})
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
	crashAfter(20 * time.Millisecond) // during the ConnCost of 50 ms, before the order starts
	time.Sleep(60 * time.Millisecond)
	assert.Equal(t, tg.OrdersByToken()["t"], 0)
	crashAfter(150 * time.Millisecond)
	assert.Equal(t, tg.OrdersByToken()["t"], 1)
	assert.Equal(t, tg.Runs()[0].Outcome, emul.OutcomeLost)
}

// Guards against a request with a crash text that keeps its slot or crashes the target after its client has disconnected, and
// against a request with a crash text that crashes the next incarnation although a crash of the target has ended the request.
func TestCrashTextIsCanceled(t *testing.T) {
	tg := &emul.Target{Mean: second}
	runWithTarget(t, tg, func(env targetEnv) {
		_, err := env.sub(env.ctx, "q")
		assert.NilError(t, err)
		tg.SetCrashTexts("bad")
		ctx, cancel := context.WithTimeout(env.ctx, second/10)
		defer cancel()
		_, err = env.sub(ctx, "bad")
		assert.Equal(t, kindOf(err), target.TimedOut)
		time.Sleep(time.Millisecond)
		_, err = env.sub(env.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, len(tg.Overloads()), 0)
		assert.Equal(t, tg.Stamp().Incarnation, uint64(1))

		go func() { _, _ = env.sub(env.ctx, "bad") }()
		time.Sleep(second / 10)
		tg.Crash()
		time.Sleep(second)
		assert.Equal(t, tg.Stamp().Incarnation, uint64(2))
		_, err = env.sub(env.ctx, "bad")
		assert.Equal(t, kindOf(err), target.Broken)
		assert.Equal(t, tg.Stamp().Incarnation, uint64(3))
	})
}
