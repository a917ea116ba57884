package slope

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/disp"
	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/front"
	"github.com/fuchsiarelay/fuchsiarelay/internal/logs"
	"github.com/fuchsiarelay/fuchsiarelay/internal/member"
	"github.com/fuchsiarelay/fuchsiarelay/internal/peer"
	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/internal/stats"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Values of CostRow.Part.
const (
	partFront        = "front"
	partLink         = "link"
	partLane         = "lane"
	partTargetClient = "target client"
	partAddressList  = "address"
)

// Names and sizes in the control state of newControlState.
const (
	serviceName  = "s"
	selfVM       = "vm-1" // VM of the measured part
	dispatcherVM = "vm-2" // VM of a peer
	slots        = 8      // of each target
)

// servedSnapshots lists the snapshot that every target serves.
var servedSnapshots = []target.Served{{Service: serviceName, Generation: 1, Version: 1}}

// newControlState returns the control state of a serving process with one service of n targets, which hold one shard each.
// The parameter dispatcher is the id of the VM that dispatches all targets.
func newControlState(n int, dispatcher string) (*state.Cell, error) {
	set, err := rules.Parse([]byte(rulesText))
	if err != nil {
		return nil, fmt.Errorf("parse rules: %w", err)
	}
	s := &state.Snapshot{
		Self: selfVM, Serving: true, Rules: set, Reachable: map[string]bool{selfVM: true, dispatcherVM: true},
		Permission: member.Permission{SendUntil: time.Now().Add(time.Hour)}, Services: map[string]*state.Service{}, Targets: map[string]*state.Target{},
	}
	svc := &state.Service{Service: plat.Service{Name: serviceName}}
	for i := range n {
		t := plat.Target{ID: fmt.Sprintf("%s-t%03d", serviceName, i), Slots: slots, Connections: slots, State: plat.Live}
		svc.Targets = append(svc.Targets, t)
		stateTarget := &state.Target{
			Target: t, Service: serviceName, Dispatchers: []string{dispatcher}, Connections: slots,
			Status: state.TargetStatus{State: target.Warm, Level: slots, Served: servedSnapshots},
		}
		for level := range slots + 1 {
			stateTarget.Shares = append(stateTarget.Shares, level)
		}
		s.Targets[t.ID] = stateTarget
		s.DispatchedTargets = append(s.DispatchedTargets, t.ID)
	}
	svc.Partitions = []plat.Partition{emul.NewPartition(svc.Targets, 1, 1, n, 1000, 1)}
	s.Services[serviceName] = svc
	cell := &state.Cell{}
	cell.Store(s)
	return cell, nil
}

// subReply returns the reply of a target to a sub-request, with one hit for each shard.
func subReply(s target.Sub) *target.SubReply {
	r := &target.SubReply{
		Stamp: idleTarget{slots}.stamp(), RequestID: s.RequestID, SubID: s.SubID, Generation: s.Generation, Version: s.Version,
	}
	for _, shard := range s.Shards {
		r.Parts = append(r.Parts, target.Part{Shard: shard, Documents: 1000, Hits: []wire.Hit{{Shard: shard, ID: "document-0001", Body: "facing 3, border red"}}})
	}
	return r
}

// stubPeerSender is a front.PeerSender that answers work at once or, if release is not nil, when release is closed. It never
// answers orders.
type stubPeerSender struct{ release chan struct{} }

func (r stubPeerSender) Work(_ string, w peer.WorkRequest, done func(peer.WorkReply)) func() {
	go func() {
		if r.release != nil {
			<-r.release
		}
		done(peer.WorkReply{Code: codes.Complete, Sub: subReply(*w.Sub), Level: slots})
	}()
	return func() {}
}

func (r stubPeerSender) Order(string, peer.Order, func(peer.OrderReply)) {}

// countingWriter is an http.ResponseWriter that records the status, and counts the bytes of the body and discards them.
type countingWriter struct {
	header http.Header
	code   int
	n      int
}

func (r *countingWriter) Header() http.Header { return r.header }
func (r *countingWriter) WriteHeader(c int)   { r.code = c }
func (r *countingWriter) Write(p []byte) (int, error) {
	r.n += len(p)
	return len(p), nil
}

// errUnitFailed is wrapped by the errors of units of work that were answered with a failure, not answered, or not possible
// because the link didn't open.
var errUnitFailed = errors.New("a unit of work failed")

// newFront returns the handler of a front whose service has n targets.
func newFront(n int, sender stubPeerSender) (http.Handler, func(), error) {
	cell, err := newControlState(n, dispatcherVM)
	if err != nil {
		return nil, nil, err
	}
	f, closeFront := front.New(front.Config{State: cell, Now: time.Now, Remote: sender, Stats: stats.New(), Log: logs.Wrap(log.New(io.Discard)), VM: selfVM})
	return f.Handler(), closeFront, nil
}

// sendQuery sends one query to the handler of a front and returns an error unless the query succeeds.
func sendQuery(ctx context.Context, h http.Handler) error {
	body, err := json.Marshal(wire.Query{RequestID: "0123456789abcdef", Service: serviceName, Class: "c", Tenant: "t", DeadlineMS: 20000, Text: "mats of 1998 with a red border"})
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, wire.PathQuery, bytes.NewReader(body))
	if err != nil {
		return err
	}
	w := &countingWriter{header: http.Header{}}
	h.ServeHTTP(w, r)
	if w.code >= http.StatusBadRequest || w.n == 0 {
		return fmt.Errorf("%w: query answered with status %d", errUnitFailed, w.code)
	}
	return nil
}

// measureFront measures a query with a fan-out of n on the front.
func measureFront(ctx context.Context, n int, d time.Duration) (CostRow, error) {
	h, closeFront, err := newFront(n, stubPeerSender{})
	if err != nil {
		return CostRow{}, err
	}
	row, err := measureUnit(d, 2, func(int) error { return sendQuery(ctx, h) })
	closeFront()
	if err != nil {
		return row, err
	}
	row.Part, row.Unit, row.FanOut = partFront, "query", n
	row.HeldBytes, err = heapPerOpenQuery(ctx, n)
	return row, err
}

// heapPerOpenQuery returns the live heap bytes of one open query with a fan-out of n, including those of the stubPeerSender.
func heapPerOpenQuery(ctx context.Context, n int) (float64, error) {
	release := make(chan struct{})
	h, closeFront, err := newFront(n, stubPeerSender{release})
	if err != nil {
		return 0, err
	}
	defer closeFront()
	before := liveHeap()
	var wg sync.WaitGroup
	for range openQueries {
		wg.Go(func() { _ = sendQuery(ctx, h) })
	}
	time.Sleep(500 * time.Millisecond)
	heldBytes := (liveHeap() - before) / openQueries
	close(release)
	wg.Wait()
	return heldBytes, nil
}

// instantHandler is a peer.Handler that answers work at once and ignores all other messages.
type instantHandler struct{ peer.NopHandler }

// Work implements peer.Handler.
func (instantHandler) Work(_ context.Context, _ string, w peer.WorkRequest, reply func(peer.WorkReply)) {
	reply(peer.WorkReply{Code: codes.Complete, Sub: subReply(*w.Sub), Level: slots})
}

// listenLoopback serves HTTP on a free loopback port with the handler. It returns the address and a function that closes the
// server. The writes of the server are counted in t.
func listenLoopback(ctx context.Context, h http.Handler, t *traffic) (netip.AddrPort, func(), error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(countedListener{l, t}) }()
	addr, err := netip.ParseAddrPort(l.Addr().String())
	return addr, func() { _ = srv.Close() }, err
}

// newWorkRequest returns a message with a sub-request for the target, as a front sends it to a dispatcher.
func newWorkRequest(id string) peer.WorkRequest {
	return peer.WorkRequest{Target: id, DeadlineMS: 5000, Fingerprint: 1 << 62, Sub: &target.Sub{
		RequestID: "0123456789abcdef", SubID: 1 << 20, Service: serviceName, Generation: 1, Version: 1, Shards: []uint32{1},
		Query: "mats of 1998 with a red border",
	}}
}

// linkInFlight is the number of sub-requests in flight on the link that measureLink measures.
const linkInFlight = 64

// measureLink measures a sub-request and its reply on the link between two peers.
func measureLink(ctx context.Context, d time.Duration) (CostRow, error) {
	var linkTraffic traffic
	newHub := func(vm string) (*peer.Hub, func()) {
		return peer.New(peer.Config{Self: peer.Hello{Version: peer.Version, VM: vm}, Handler: instantHandler{}, Now: time.Now, Log: log.New(io.Discard), DialContext: linkTraffic.dial})
	}
	server, closeServer := newHub(dispatcherVM)
	defer closeServer()
	addr, stop, err := listenLoopback(ctx, server, &linkTraffic)
	if err != nil {
		return CostRow{}, err
	}
	defer stop()
	client, closeClient := newHub(selfVM)
	defer closeClient()
	client.SetPeers([]plat.VM{{ID: dispatcherVM, PeerAddr: addr}})
	for end := time.Now().Add(time.Second); client.LinksOpened() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return CostRow{}, fmt.Errorf("%w: the link did not open", errUnitFailed)
		}
	}
	var before int64
	row, err := measureUnit(d, linkInFlight, func(int) error {
		if before == 0 {
			before = linkTraffic.bytes.Load()
		}
		done := make(chan codes.Code, 1)
		client.Work(dispatcherVM, newWorkRequest("s-t001"), func(r peer.WorkReply) { done <- r.Code })
		if c := <-done; c != codes.Complete {
			return fmt.Errorf("%w: code %d", errUnitFailed, c)
		}
		return nil
	})
	row.Part, row.Unit = partLink, "sub-request"
	// The traffic includes the 20 units per worker with which measureUnit starts.
	row.SentBytes = float64(linkTraffic.bytes.Load()-before) / float64(row.Count+20*linkInFlight)
	return row, err
}

// instantTarget is a target client that answers at once.
type instantTarget struct{ idleTarget }

// Sub implements target.Client.
func (c instantTarget) Sub(_ context.Context, s target.Sub) (target.SubReply, error) {
	return *subReply(s), nil
}

// noEvents implements disp.Events and ignores all events.
type noEvents struct{}

func (noEvents) TargetChanged(peer.TargetStatus) {}
func (noEvents) TargetCrashed(peer.Crash)        {}
func (noEvents) FingerprintCompleted(uint64)     {}
func (noEvents) TargetSurvived(string, uint64)   {}

// laneTargets is the number of targets that a node dispatches at full size.
const laneTargets = 12

// measureLane measures a sub-request on the lane of a dispatcher, without HTTP.
func measureLane(ctx context.Context, d time.Duration) (CostRow, error) {
	cell, err := newControlState(laneTargets, selfVM)
	if err != nil {
		return CostRow{}, err
	}
	dispatcher, closeDispatcher := disp.New(disp.Config{
		State: cell, Now: time.Now, Events: noEvents{}, Log: log.New(io.Discard),
		NewClient: func(plat.Target, target.Options) (target.Client, func()) {
			return instantTarget{idleTarget{slots}}, func() {}
		},
	})
	defer closeDispatcher()
	dispatcher.Update()
	ids := cell.Load().DispatchedTargets
	row, err := measureUnit(d, laneTargets, func(worker int) error {
		done := make(chan codes.Code, 1)
		dispatcher.Submit(ctx, newWorkRequest(ids[worker]), func(r peer.WorkReply) { done <- r.Code })
		if got := <-done; got != codes.Complete {
			return fmt.Errorf("%w: code %d", errUnitFailed, got)
		}
		return nil
	})
	row.Part, row.Unit = partLane, "sub-request"
	return row, err
}

// measureTargetClient measures a sub-request on the HTTP client of a target, and the heap of an open connection. The stand-in
// server runs in the same process, so the results are upper bounds.
func measureTargetClient(ctx context.Context, d time.Duration) (CostRow, error) {
	raw, err := json.Marshal(subReply(*newWorkRequest("s-t001").Sub))
	if err != nil {
		return CostRow{}, err
	}
	var serverTraffic traffic
	var healthReceived sync.WaitGroup
	releaseHealth := make(chan struct{})
	addr, stop, err := listenLoopback(ctx, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == target.PathHealth {
			healthReceived.Done()
			<-releaseHealth
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
	}), &serverTraffic)
	if err != nil {
		return CostRow{}, err
	}
	defer stop()
	client, closeClient := target.NewHTTP(addr, target.Options{MaxConns: openConns})
	defer closeClient()
	row, err := measureUnit(d, slots, func(int) error {
		_, err := client.Sub(ctx, *newWorkRequest("s-t001").Sub)
		return err
	})
	if err != nil {
		return row, err
	}
	row.Part, row.Unit = partTargetClient, "sub-request"
	client.Reset()
	before := liveHeap()
	healthReceived.Add(openConns)
	var calls sync.WaitGroup
	for range openConns {
		calls.Go(func() { _, _ = client.Health(ctx) })
	}
	healthReceived.Wait()
	close(releaseHealth)
	calls.Wait()
	row.HeldBytes = (liveHeap() - before) / openConns
	return row, nil
}

// measureAddresses measures a response to a caller that contains an address list of n entries.
func measureAddresses(ctx context.Context, n int, d time.Duration) (CostRow, error) {
	cell, err := newControlState(1, dispatcherVM)
	if err != nil {
		return CostRow{}, err
	}
	for _, vm := range fleetDocuments(n, 0).VMs {
		cell.Load().Addresses = append(cell.Load().Addresses, wire.Address{Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	f, closeFront := front.New(front.Config{State: cell, Now: time.Now, Remote: stubPeerSender{}, Stats: stats.New(), Log: logs.Wrap(log.New(io.Discard)), VM: selfVM})
	defer closeFront()
	h := f.Handler()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, wire.PathAddresses, http.NoBody)
	if err != nil {
		return CostRow{}, err
	}
	sentBytes := 0
	row, err := measureUnit(d, 1, func(int) error {
		w := &countingWriter{header: http.Header{}}
		h.ServeHTTP(w, r)
		sentBytes = w.n
		return nil
	})
	row.Part, row.Unit, row.SentBytes = partAddressList, fmt.Sprintf("answer of %d", n), float64(sentBytes)
	return row, err
}
