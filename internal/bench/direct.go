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
	directAddressTTL      = 5 * time.Second        // validity of the address list
	directReadRetry       = 100 * time.Millisecond // wait after a failed platform read
	directDefaultDeadline = time.Second            // deadline of a request that states none
)

// directProcess is the entry process of the direct baseline, which has no dispatchers, limits, hedges, retries or rules: it
// sends each sub-request of a query directly to the first replica of the shards. It reads the published documents once.
type directProcess struct {
	cfg        EntryConfig
	server     *http.Server
	serverDone sync.WaitGroup
	tokens     atomic.Uint64 // number of tokens issued
	cancel     context.CancelFunc
	readerDone sync.WaitGroup

	mu           sync.Mutex
	vms          []plat.VM
	services     map[string]plat.Service
	clients      map[netip.AddrPort]*target.HTTP
	closeClients []func()
}

// StartDirect is the Starter of the direct baseline.
func StartDirect(_ context.Context, cfg EntryConfig) (Process, error) {
	l, err := cfg.Listen(cfg.VM.Addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &directProcess{cfg: cfg, cancel: cancel, clients: map[netip.AddrPort]*target.HTTP{}}
	d.server = &http.Server{Handler: d.routes(), ReadHeaderTimeout: time.Second}
	d.serverDone.Go(func() { _ = d.server.Serve(l) })
	d.readerDone.Go(func() { d.readUntilSuccess(ctx) })
	return d, nil
}

// readUntilSuccess reads the published documents and retries until a read succeeds.
func (d *directProcess) readUntilSuccess(ctx context.Context) {
	r, closeReader := plat.NewHTTP(d.cfg.Platform, &http.Transport{DialContext: d.cfg.Dial})
	defer closeReader()
	for ctx.Err() == nil {
		if d.readDocuments(ctx, r) == nil {
			return
		}
		time.Sleep(directReadRetry)
	}
}

// readDocuments reads the documents of VMs and services once and stores their contents.
func (d *directProcess) readDocuments(ctx context.Context, r plat.Reader) error {
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
func (d *directProcess) Stop(ctx context.Context) error {
	err := d.server.Shutdown(ctx)
	d.Kill()
	return err
}

// Kill implements Process.
func (d *directProcess) Kill() {
	d.cancel()
	_ = d.server.Close()
	d.serverDone.Wait()
	d.readerDone.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.closeClients {
		c()
	}
}

// routes returns the handler of all paths that the process serves.
func (d *directProcess) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAddresses, d.serveAddresses)
	mux.HandleFunc("POST "+wire.PathQuery, d.serveQuery)
	mux.HandleFunc("POST "+wire.PathTokens, d.serveToken)
	mux.HandleFunc("POST "+wire.PathOrders, d.serveOrder)
	return mux
}

func (d *directProcess) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	out := wire.Addresses{ValidForMS: directAddressTTL.Milliseconds()}
	for _, vm := range d.vms {
		out.Addresses = append(out.Addresses, wire.Address{Addr: vm.Addr, DataCentre: vm.DataCentre})
	}
	d.mu.Unlock()
	writeReply(w, http.StatusOK, out)
}

func (d *directProcess) serveToken(w http.ResponseWriter, _ *http.Request) {
	id := fmt.Sprintf("%s-%d", d.cfg.VM.ID, d.tokens.Add(1))
	writeReply(w, http.StatusOK, wire.Token{Status: wire.NewStatus(codes.Complete, "", ""), Token: id, Addr: d.cfg.VM.Addr})
}

func (d *directProcess) serveQuery(w http.ResponseWriter, r *http.Request) {
	var q wire.Query
	if !decodeBody(w, r, &q) {
		return
	}
	svc, known := d.publishedService(q.Service)
	if !known {
		writeStatus(w, codes.UnknownService, q.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestDeadline(q.DeadlineMS))
	defer cancel()
	merge := cover.New(svc.Partitions[0])
	var mu sync.Mutex
	var wg sync.WaitGroup
	for addr, shards := range firstReplicas(svc) {
		wg.Go(func() {
			reply, err := d.targetClient(addr).Sub(ctx, target.Sub{
				RequestID: q.RequestID, Service: svc.Name, Generation: svc.Partitions[0].Generation,
				Version: svc.Partitions[0].Version, Shards: shards, Query: q.Text, DeadlineMS: requestDeadline(q.DeadlineMS).Milliseconds(),
			})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, p := range reply.Parts {
				merge.Add(cover.Part{Generation: reply.Generation, Version: reply.Version, Shard: p.Shard, Documents: p.Documents, Hits: p.Hits})
			}
		})
	}
	wg.Wait()
	coveredDocuments, totalDocuments := merge.Coverage()
	a := wire.Answer{
		Complete: coveredDocuments == totalDocuments, Coverage: float64(coveredDocuments) / float64(totalDocuments), DocumentsCovered: coveredDocuments, DocumentsTotal: totalDocuments,
		IndexVersion: svc.Partitions[0].Version, PartitionGeneration: svc.Partitions[0].Generation, Hits: merge.Hits(),
	}
	code := codes.Partial
	if a.Complete {
		code = codes.Complete
	}
	a.Status = wire.NewStatus(code, q.RequestID, "")
	writeReply(w, http.StatusOK, a)
}

func (d *directProcess) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if !decodeBody(w, r, &o) {
		return
	}
	svc, known := d.publishedService(o.Service)
	if !known {
		writeStatus(w, codes.UnknownService, o.RequestID)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestDeadline(o.DeadlineMS))
	defer cancel()
	reply, err := d.targetClient(svc.Targets[0].Addr).Order(ctx, target.Order{
		RequestID: o.RequestID, Token: o.Token, Service: o.Service, Key: o.Key, Body: o.Body, DeadlineMS: o.DeadlineMS,
	})
	if err != nil {
		writeStatus(w, codes.OutcomeUnknown, o.RequestID)
		return
	}
	writeReply(w, http.StatusOK, wire.OrderAnswer{Status: wire.NewStatus(codes.Executed, o.RequestID, ""), Result: reply.Result})
}

// publishedService returns the named service, and false if the service is unknown or has no partition.
func (d *directProcess) publishedService(name string) (plat.Service, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	svc, known := d.services[name]
	return svc, known && len(svc.Partitions) > 0
}

// targetClient returns the client of the target with the address. The first call creates the client.
func (d *directProcess) targetClient(addr netip.AddrPort) *target.HTTP {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.clients[addr]
	if c == nil {
		var closeClient func()
		c, closeClient = target.NewHTTP(addr, target.Options{DialContext: d.cfg.Dial})
		d.clients[addr] = c
		d.closeClients = append(d.closeClients, closeClient)
	}
	return c
}

// firstReplicas returns the shards of the first partition, grouped by the address of the first target that holds them.
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

// requestDeadline returns the deadline of a request, or the default if the request has none.
func requestDeadline(ms int64) time.Duration {
	if ms <= 0 {
		return directDefaultDeadline
	}
	return time.Duration(ms) * time.Millisecond
}

// decodeBody decodes the body of a request. If that fails, it answers with codes.BadRequest and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, wire.MaxBody)).Decode(into); err != nil {
		writeStatus(w, codes.BadRequest, "")
		return false
	}
	return true
}

// writeStatus answers with a body that contains only the status of a result code.
func writeStatus(w http.ResponseWriter, c codes.Code, id string) {
	writeReply(w, c.Status(), wire.NewStatus(c, id, ""))
}

// writeReply answers with a JSON body.
func writeReply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
