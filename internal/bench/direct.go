package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cover"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Settings of the direct baseline.
const (
	directValid   = 5 * time.Second        // validity of the address list
	directRetry   = 100 * time.Millisecond // after a failed platform read
	directDefault = time.Second            // deadline of a request that has none
)

// direct is the baseline without dispatchers, limits, hedges, retries or rules: each process sends the sub-requests of a
// query to the first replica of each shard itself. A process reads the published documents once.
type direct struct {
	cfg     EntryConfig
	server  *http.Server
	servers sync.WaitGroup
	tokens  atomic.Uint64
	cancel  context.CancelFunc
	loop    sync.WaitGroup

	mu       sync.Mutex
	vms      []plat.VM
	services map[string]plat.Service
	clients  map[netip.AddrPort]*target.HTTP
	closers  []func()
}

// StartDirect is the Starter of the direct baseline.
func StartDirect(_ context.Context, cfg EntryConfig) (Process, error) {
	l, err := cfg.Listen(cfg.VM.Addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &direct{cfg: cfg, cancel: cancel, clients: map[netip.AddrPort]*target.HTTP{}}
	d.server = &http.Server{Handler: d.routes(), ReadHeaderTimeout: time.Second}
	d.servers.Go(func() { _ = d.server.Serve(l) })
	d.loop.Go(func() { d.load(ctx) })
	return d, nil
}

// load reads the published documents and retries until a read succeeds.
func (d *direct) load(ctx context.Context) {
	r, closeReader := plat.NewHTTP(d.cfg.Platform, &http.Transport{DialContext: d.cfg.Dial})
	defer closeReader()
	for ctx.Err() == nil {
		if d.read(ctx, r) == nil {
			return
		}
		time.Sleep(directRetry)
	}
}

// read reads the documents of VMs and services once and stores their contents.
func (d *direct) read(ctx context.Context, r plat.Reader) error {
	rawVMs, err := r.Read(ctx, plat.KeyVMs)
	if err != nil {
		return err
	}
	rawServices, err := r.Read(ctx, plat.KeyServices)
	if err != nil {
		return err
	}
	vms, err := plat.ParseVMs(rawVMs.Value)
	if err != nil {
		return err
	}
	services, err := plat.ParseServices(rawServices.Value)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.vms = vms.VMs
	d.services = map[string]plat.Service{}
	for _, svc := range services.Services {
		d.services[svc.Name] = svc
	}
	return nil
}

// Stop implements Process.
func (d *direct) Stop(ctx context.Context) error {
	err := d.server.Shutdown(ctx)
	d.Kill()
	return err
}

// Kill implements Process.
func (d *direct) Kill() {
	d.cancel()
	_ = d.server.Close()
	d.servers.Wait()
	d.loop.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.closers {
		c()
	}
}

func (d *direct) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAddresses, d.addresses)
	mux.HandleFunc("POST "+wire.PathQuery, d.query)
	mux.HandleFunc("POST "+wire.PathTokens, d.token)
	mux.HandleFunc("POST "+wire.PathOrders, d.order)
	return mux
}

func (d *direct) addresses(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	out := wire.Addresses{ValidForMS: directValid.Milliseconds()}
	for _, vm := range d.vms {
		out.Addresses = append(out.Addresses, wire.Address{Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	d.mu.Unlock()
	reply(w, http.StatusOK, out)
}

func (d *direct) token(w http.ResponseWriter, _ *http.Request) {
	id := fmt.Sprintf("%s-%d", d.cfg.VM.ID, d.tokens.Add(1))
	reply(w, http.StatusOK, wire.Token{Status: wire.NewStatus(codes.Complete, "", ""), Token: id, Addr: d.cfg.VM.Addr})
}

func (d *direct) query(w http.ResponseWriter, r *http.Request) {
	var q wire.Query
	if !readBody(w, r, &q) {
		return
	}
	svc, known := d.service(q.Service)
	if !known {
		fail(w, codes.UnknownService, q.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(q.DeadlineMS))
	defer cancel()
	merge := cover.New(svc.Partitions[0])
	var mu sync.Mutex
	var wg sync.WaitGroup
	for t, shards := range firstReplicas(svc) {
		wg.Go(func() {
			sub, err := d.client(t).Sub(ctx, target.Sub{
				RequestID: q.RequestID, Service: svc.Name, Generation: svc.Partitions[0].Generation,
				Version: svc.Partitions[0].Version, Shards: shards, Query: q.Text, DeadlineMS: deadline(q.DeadlineMS).Milliseconds(),
			})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, p := range sub.Parts {
				merge.Add(cover.Part{Generation: sub.Generation, Version: sub.Version, Shard: p.Shard, Documents: p.Documents, Hits: p.Hits})
			}
		})
	}
	wg.Wait()
	covered, total := merge.Coverage()
	a := wire.Answer{
		Complete: covered == total, Coverage: float64(covered) / float64(total), DocumentsCovered: covered, DocumentsTotal: total,
		IndexVersion: svc.Partitions[0].Version, PartitionGeneration: svc.Partitions[0].Generation, Hits: merge.Hits(),
	}
	code := codes.Partial
	if a.Complete {
		code = codes.Complete
	}
	a.Status = wire.NewStatus(code, q.RequestID, "")
	reply(w, http.StatusOK, a)
}

func (d *direct) order(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if !readBody(w, r, &o) {
		return
	}
	svc, known := d.service(o.Service)
	if !known {
		fail(w, codes.UnknownService, o.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(o.DeadlineMS))
	defer cancel()
	out, err := d.client(svc.Targets[0].Addr).Order(ctx, target.Order{
		RequestID: o.RequestID, Token: o.Token, Service: o.Service, Key: o.Key, Body: o.Body, DeadlineMS: o.DeadlineMS,
	})
	if err != nil {
		fail(w, codes.OutcomeUnknown, o.RequestID)
		return
	}
	reply(w, http.StatusOK, wire.OrderAnswer{Status: wire.NewStatus(codes.Executed, o.RequestID, ""), Result: out.Result})
}

// service returns the named service; false if the service is unknown or has no partition.
func (d *direct) service(name string) (plat.Service, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	svc, known := d.services[name]
	return svc, known && len(svc.Partitions) > 0
}

// client returns the client of a target, which is created on first use.
func (d *direct) client(addr netip.AddrPort) *target.HTTP {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil {
		var closeClient func()
		c, closeClient = target.NewHTTP(addr, target.Options{DialContext: d.cfg.Dial})
		d.clients[addr] = c
		d.closers = append(d.closers, closeClient)
	}
	return c
}

// firstReplicas returns the shards by the address of the first target that holds them.
func firstReplicas(svc plat.Service) map[netip.AddrPort][]uint32 {
	addrs := map[string]netip.AddrPort{}
	for _, t := range svc.Targets {
		addrs[t.ID] = t.Addr
	}
	out := map[netip.AddrPort][]uint32{}
	for _, s := range svc.Partitions[0].Shards {
		if len(s.Targets) > 0 {
			addr := addrs[s.Targets[0]]
			out[addr] = append(out[addr], s.ID)
		}
	}
	return out
}

// deadline converts the deadline of a request.
func deadline(ms int64) time.Duration {
	if ms <= 0 {
		return directDefault
	}
	return time.Duration(ms) * time.Millisecond
}

// readBody decodes the body of a request, and answers with BadRequest and returns false if that fails.
func readBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(into); err != nil {
		fail(w, codes.BadRequest, "")
		return false
	}
	return true
}

// fail answers with the status of a result code.
func fail(w http.ResponseWriter, c codes.Code, id string) {
	reply(w, c.Status(), wire.NewStatus(c, id, ""))
}

// reply answers with a JSON body.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
