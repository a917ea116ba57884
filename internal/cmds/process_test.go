package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/caller"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

const (
	classRules = "class counter deadline=2s min_coverage=0.5 prefer=coverage priority=1 # Test: traffic\n"
	// exclusionBound is the longest time until an excluded data centre receives no new work. It is property P4 in section 1.2 of
	// docs/design.md, which also defines the properties P6, P7 and P9 that the tests below name.
	exclusionBound = 3 * time.Second
	// tokenTTL is half of the default token_ttl, so that a planned stop takes less time.
	tokenTTL = 5 * time.Second
	// stopBound is the longest duration of a planned stop: address_ttl, the time until every peer knows of the stop, token_ttl,
	// and two seconds of reserve for a busy machine.
	stopBound = 2*time.Second + conf.PropagationTime + tokenTTL + 2*time.Second
)

// testFleet consists of an emulated platform and emulated targets, which run in the test process, and of entry processes, which
// run the program as separate processes.
type testFleet struct {
	t          *testing.T
	emulated   *emul.Fleet
	running    *emul.RunningFleet
	tls        conf.TLS
	commands   map[string]*exec.Cmd
	adminAddrs map[string]string
}

// freePortRange returns the first port of a range of free ports. The ranges lie below the usual ephemeral ports. The search
// starts at a place that depends on the process id, so that tests of several working copies can run at the same time.
func freePortRange(t *testing.T) uint16 {
	t.Helper()
	const firstPort, rangeSize, rangeCount = 20000, 12, 1000
	for i := range rangeCount {
		rangeStart := firstPort + (os.Getpid()*7+i)%rangeCount*rangeSize
		free := true
		for port := rangeStart; port < rangeStart+rangeSize; port++ {
			l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return uint16(rangeStart)
		}
	}
	t.Fatal("no range of free ports found")
	return 0
}

// startFleet starts the fleet emul.Small with its four entry processes, with TLS between them if files are given, and waits
// until each process takes new work and may send to the targets of which it is the primary dispatcher.
func startFleet(t *testing.T, files conf.TLS) *testFleet {
	t.Helper()
	basePort := freePortRange(t)
	f := &testFleet{t: t, tls: files, emulated: emul.Small().Build(), commands: map[string]*exec.Cmd{}, adminAddrs: map[string]string{}}
	f.emulated.SetLoopbackAddrs(basePort)
	running, stop, err := f.emulated.Start(emul.Loopback, nil)
	assert.NilError(t, err)
	t.Cleanup(stop)
	f.running = running
	assert.NilError(t, f.emulated.Publish(running.Platform, classRules))
	for i, vm := range f.emulated.VMs {
		admin := fmt.Sprintf("127.0.0.1:%d", int(basePort)+2*len(f.emulated.VMs)+i)
		f.adminAddrs[vm.ID] = admin
		f.startProcess(vm, admin)
	}
	for _, admin := range f.adminAddrs {
		assert.Equal(t, Run([]string{"status", "--addr", admin, "--wait", "15s"}, t.Output(), t.Output()), ExitOK)
	}
	return f
}

// startProcess starts the entry process of a VM, with its administration API at the address admin.
func (f *testFleet) startProcess(vm plat.VM, admin string) {
	f.t.Helper()
	config := filepath.Join(f.t.TempDir(), vm.ID+".ini")
	text := fmt.Sprintf("[node]\nvm_id = %s\ndata_centre = %s\ncaller_addr = %s\npeer_addr = %s\nadmin_addr = %s\n[platform]\naddr = %s\n[timing]\ntoken_ttl = %s\n",
		vm.ID, vm.DataCentre, vm.Addr, vm.PeerAddr, admin, f.emulated.Platform, tokenTTL)
	if f.tls.Enabled() {
		text += fmt.Sprintf("[tls]\npeer_cert = %s\npeer_key = %s\npeer_ca = %s\n", f.tls.PeerCert, f.tls.PeerKey, f.tls.PeerCA)
	}
	assert.NilError(f.t, os.WriteFile(config, []byte(text), 0o600))
	cmd := exec.CommandContext(context.Background(), "fuchsiarelay", "serve", "--config", config)
	cmd.Stderr = f.t.Output()
	// The process has its own process group, so that it doesn't receive SIGHUP while suspended when the shell that started the
	// test ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	assert.NilError(f.t, cmd.Start())
	f.commands[vm.ID] = cmd
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
}

// signal sends a signal to the entry process of a VM.
func (f *testFleet) signal(vm string, s syscall.Signal) {
	f.t.Helper()
	assert.NilError(f.t, f.commands[vm].Process.Signal(s))
}

// addr returns the caller address of the entry process with index i.
func (f *testFleet) addr(i int) string { return f.emulated.VMs[i].Addr.String() }

// orderRuns returns the number of runs of each order at all targets, by request id.
func (f *testFleet) orderRuns() map[string]int {
	runs := map[string]int{}
	for _, target := range f.running.Targets {
		for _, r := range target.Runs() {
			if r.Kind == emul.KindOrder {
				runs[r.RequestID]++
			}
		}
	}
	return runs
}

// callResult is the outcome of one request as its caller received it.
type callResult struct {
	id         string
	isOrder    bool
	code       codes.Code
	err        error
	finishedAt time.Time // time at which the answer or the error arrived
}

// testTraffic sends requests from several callers at the same time until stop is called, and collects the results.
type testTraffic struct {
	stopRequested atomic.Bool
	wg            sync.WaitGroup
	mu            sync.Mutex
	results       []callResult
}

// startLoop starts a goroutine that calls call in a loop, with a new request id each time, until the traffic is stopped.
func (tr *testTraffic) startLoop(name string, call func(id string) callResult) {
	tr.wg.Go(func() {
		for n := 0; !tr.stopRequested.Load(); n++ {
			r := call(fmt.Sprintf("%s-%d", name, n))
			r.finishedAt = time.Now()
			tr.mu.Lock()
			tr.results = append(tr.results, r)
			tr.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// stop ends the traffic, logs the number of results of each kind, and returns all results.
func (tr *testTraffic) stop(t *testing.T) []callResult {
	t.Helper()
	tr.stopRequested.Store(true)
	tr.wg.Wait()
	counts := map[string]int{}
	for _, r := range tr.results {
		key := fmt.Sprintf("order=%v code=%d error=%v", r.isOrder, r.code, r.err != nil)
		if counts[key] == 0 && r.err != nil {
			t.Log(r.id, r.err)
		}
		counts[key]++
	}
	t.Log(counts)
	return tr.results
}

// countFinishedAfter returns the number of results with the given code whose request finished after the time after.
func countFinishedAfter(results []callResult, after time.Time, code codes.Code) int {
	n := 0
	for _, r := range results {
		if r.finishedAt.After(after) && r.code == code {
			n++
		}
	}
	return n
}

// directCaller is a caller that sends every request once and to one address. It shows interrupted requests that the client of
// package caller would hide by sending them again. It uses an address answer for as long as the answer is valid.
type directCaller struct {
	http.Client
	addr       string
	validUntil time.Time // end of the validity of the address answer
}

// renewAddress requests a new address answer if the present one has expired.
func (d *directCaller) renewAddress() error {
	if time.Now().Before(d.validUntil) {
		return nil
	}
	requestedAt := time.Now()
	var list wire.Addresses
	if err := d.call(http.MethodGet, wire.PathAddresses, nil, &list); err != nil {
		return err
	}
	d.addr = list.Addresses[0].Addr.String()
	// The last 200 ms of the validity aren't used, so that no request is in transit when the answer expires.
	d.validUntil = requestedAt.Add(time.Duration(list.ValidForMS)*time.Millisecond - 200*time.Millisecond)
	return nil
}

// call sends one request with a JSON body to the caller's present address, and decodes the answer.
func (d *directCaller) call(method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.addr+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := d.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(answer)
}

// query sends a query and returns its result.
func (d *directCaller) query(id string) callResult {
	var a wire.Answer
	err := d.renewAddress()
	if err == nil {
		err = d.call(http.MethodPost, wire.PathQuery, newQuery(id), &a)
	}
	return callResult{id: id, code: a.Code, err: err}
}

// order requests a token, sends an order with it, and returns the result.
func (d *directCaller) order(id string) callResult {
	var tok wire.Token
	var a wire.OrderAnswer
	err := d.renewAddress()
	if err == nil {
		err = d.call(http.MethodPost, wire.PathTokens, wire.TokenRequest{Tenant: "t"}, &tok)
	}
	if err == nil && tok.Code.OK() {
		o := newOrder(id)
		o.Token = tok.Token
		err = d.call(http.MethodPost, wire.PathOrders, o, &a)
	} else {
		a.Code = tok.Code
	}
	return callResult{id: id, isOrder: true, code: a.Code, err: err}
}

// newQuery returns a query for the service ledger, whose text is its request id.
func newQuery(id string) wire.Query {
	return wire.Query{RequestID: id, Service: "ledger", Class: "counter", Tenant: "t", Text: id}
}

// newOrder returns an order for the service ledger, whose key is its request id.
func newOrder(id string) wire.Order {
	return wire.Order{RequestID: id, Service: "ledger", Class: "counter", Tenant: "t", Key: id, Body: "b"}
}

// TestKill guards against three failures when an entry process is killed: an order runs although its answer says that it
// didn't (P6), an order runs twice (P7), or the remaining processes complete no requests. The connections between entry
// processes use mutual TLS.
func TestKill(t *testing.T) {
	f := startFleet(t, writeCertificates(t, "127.0.0.1"))
	var tr testTraffic
	for i := range 4 {
		c, stop := caller.New([]netip.AddrPort{f.emulated.VMs[i].Addr, f.emulated.VMs[(i+1)%4].Addr})
		t.Cleanup(stop)
		tr.startLoop(fmt.Sprintf("query-%d", i), func(id string) callResult {
			a, err := c.Query(t.Context(), newQuery(id))
			return callResult{id: id, code: a.Code, err: err}
		})
		for j := range 2 {
			tr.startLoop(fmt.Sprintf("order-%d-%d", i, j), func(id string) callResult {
				a, err := c.Order(t.Context(), newOrder(id))
				return callResult{id: id, isOrder: true, code: a.Code, err: err}
			})
		}
	}
	time.Sleep(time.Second)
	killedAt := time.Now()
	f.signal("entry-01", syscall.SIGKILL)
	time.Sleep(5 * time.Second)
	results := tr.stop(t)

	runs := f.orderRuns()
	for id, n := range runs {
		assert.Equal(t, n, 1, "order %s ran %d times", id, n)
	}
	for _, r := range results {
		switch {
		case !r.isOrder:
		case r.code == codes.Executed:
			assert.Equal(t, runs[r.id], 1, "order %s was answered as executed", r.id)
		case r.code.Ran() == codes.NotRun:
			assert.Equal(t, runs[r.id], 0, "order %s was answered %d", r.id, r.code)
		}
	}
	assert.Assert(t, countFinishedAfter(results, time.Time{}, codes.Executed) > countFinishedAfter(results, killedAt, codes.Executed), "no order ran before the entry process was killed")
	assert.Assert(t, countFinishedAfter(results, killedAt.Add(time.Second), codes.Executed) > 0, "no order ran after the entry process was killed")
	assert.Assert(t, countFinishedAfter(results, killedAt.Add(time.Second), codes.Complete) > 0, "no query was complete after the entry process was killed")
}

// TestFreeze guards against a process that is resumed after a suspension and then sends requests of its callers or peers to a
// data centre that a rule has excluded in the meantime. An excluded data centre must receive no new work after exclusionBound
// (P4).
func TestFreeze(t *testing.T) {
	f := startFleet(t, conf.TLS{})
	const suspendedIndex = 1 // entry-02, a dispatcher of ledger-t2, because both are in dc-b
	var tr testTraffic
	for i := range 4 {
		// The pinned caller keeps using the address of the suspended process after that address would have expired. The other
		// caller uses another process.
		pinned, other := &directCaller{addr: f.addr(suspendedIndex), validUntil: time.Now().Add(time.Hour)}, &directCaller{addr: f.addr(0)}
		tr.startLoop(fmt.Sprintf("kept-%d", i), pinned.query)
		tr.startLoop(fmt.Sprintf("other-%d", i), other.query)
	}
	time.Sleep(500 * time.Millisecond)
	f.signal("entry-02", syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	_, err := f.running.Platform.Publish(plat.KeyRules, []byte(classRules+"exclude data_centre dc-b # Test: taken out\n"))
	assert.NilError(t, err)
	excludedAt := time.Now()
	time.Sleep(8 * time.Second)
	resumedAt := time.Now()
	f.signal("entry-02", syscall.SIGCONT)
	time.Sleep(1500 * time.Millisecond)
	results := tr.stop(t)

	runsBeforeExclusion := 0
	for _, r := range f.running.Targets["ledger-t2"].Runs() {
		if r.Start.Before(excludedAt) {
			runsBeforeExclusion++
		}
		late := r.Start.Sub(excludedAt) - exclusionBound
		assert.Assert(t, late <= 0, "%s %s started at the excluded target %s after the bound", r.Kind, r.RequestID, late)
	}
	assert.Assert(t, runsBeforeExclusion > 0, "the target in dc-b had no work before its data centre was excluded")
	answerCount := 0
	for _, r := range results {
		if r.finishedAt.After(resumedAt) && r.err == nil && strings.HasPrefix(r.id, "kept") {
			answerCount++
		}
	}
	assert.Assert(t, answerCount >= 4, "the resumed process answered %d requests", answerCount)
	assert.Assert(t, countFinishedAfter(results, excludedAt, codes.Complete) > 0, "no query was complete after the data centre was excluded")
}

// TestPlannedStop guards against a planned stop that interrupts a request or leaves the outcome of an order unknown (P9),
// that exceeds its longest duration, or that ends with an exit code other than 0.
func TestPlannedStop(t *testing.T) {
	f := startFleet(t, conf.TLS{})
	var tr testTraffic
	for i := range 4 {
		queries, orders := &directCaller{addr: f.addr(i % 2)}, &directCaller{addr: f.addr(i % 2)}
		tr.startLoop(fmt.Sprintf("query-%d", i), queries.query)
		tr.startLoop(fmt.Sprintf("order-%d", i), orders.order)
	}
	time.Sleep(time.Second)
	f.signal("entry-01", syscall.SIGHUP) // as sent when the terminal is closed; the process must ignore the signal
	stopStart := time.Now()
	f.signal("entry-01", syscall.SIGTERM)
	err := f.commands["entry-01"].Wait()
	elapsed := time.Since(stopStart)
	time.Sleep(time.Second)
	results := tr.stop(t)

	assert.NilError(t, err)
	assert.Assert(t, elapsed < stopBound, "the stop took %s", elapsed)
	t.Log("the stop took", elapsed)
	for _, r := range results {
		assert.NilError(t, r.err, "request %s was interrupted", r.id)
		assert.Assert(t, r.code.Ran() != codes.Unknown, "request %s: %d", r.id, r.code)
	}
	assert.Assert(t, countFinishedAfter(results, stopStart, codes.Complete) > 0 && countFinishedAfter(results, stopStart, codes.Executed) > 0, "no traffic during the stop")
}
