package slope

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/gossip"
	"github.com/fuchsiarelay/fuchsiarelay/internal/relay"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// traffic counts the bytes and writes on a group of connections. The number of writes is taken as the number of messages,
// because the WebSocket library flushes each message separately.
type traffic struct{ bytes, writes atomic.Int64 }

// countedConn is a connection whose writes are counted.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.bytes.Add(int64(n))
	c.traffic.writes.Add(1)
	return n, err
}

// countedListener counts the writes on the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.traffic}, nil
}

// dial opens a connection whose writes are counted.
func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{c, t}, nil
}

// idleTarget is a target client that answers health checks and fails every sub-request and order.
type idleTarget struct{ slots int }

func (t idleTarget) stamp() target.Stamp {
	return target.Stamp{Incarnation: 1, State: target.Warm, Load: target.Load{Slots: t.slots}}
}

// errIdle is the error of every sub-request and order of an idleTarget.
var errIdle = errors.New("the idle target runs no work")

func (t idleTarget) Sub(context.Context, target.Sub) (target.SubReply, error) {
	return target.SubReply{}, errIdle
}

func (t idleTarget) Order(context.Context, target.Order) (target.OrderReply, error) {
	return target.OrderReply{}, errIdle
}

func (t idleTarget) Health(context.Context) (target.Health, error) {
	return target.Health{Stamp: t.stamp(), Served: []target.Served{{Service: "s-01", Generation: 1, Version: 1}}}, nil
}

func (t idleTarget) Reset() {}

// fleet is a set of running entry processes with a stand-in platform on loopback.
type fleet struct {
	platform     *emul.Platform
	relays       []*relay.Relay
	peerTraffic  traffic // on the links between the processes
	wg           sync.WaitGroup
	cancel       context.CancelFunc
	listeners    []net.Listener
	closeReaders []func() // each closes one platform reader
}

// fleetDocuments returns the published documents of a fleet with n entry VMs in 12 data centres and targetsPerNode targets
// for each entry VM. No target listens on its published address: the entry processes use an idleTarget as target client.
func fleetDocuments(n, targetsPerNode int) *emul.Fleet {
	const targetsPerService = 6
	return emul.FleetSpec{DataCentres: dataCentres, EntryVMs: n, Services: []emul.ServiceSpec{{
		Name: "s", Count: max(n*targetsPerNode/targetsPerService, 1), Targets: targetsPerService, Slots: 2, Connections: 25, Shards: 12,
		DocumentsPerShard: 1000, Replicas: 2,
	}}}.Build()
}

// dataCentres is the number of data centres of the measured fleets.
const dataCentres = 12

// rulesText is the text of the rules that the platform publishes.
const rulesText = "class c deadline=300ms min_coverage=0.9 prefer=latency priority=1 # Ann Lee: measurement\n"

// close stops the entry processes and closes their listeners and platform readers.
func (f *fleet) close() {
	f.cancel()
	f.wg.Wait()
	for _, l := range f.listeners {
		_ = l.Close()
	}
	for _, c := range f.closeReaders {
		c()
	}
}

// listen opens a listener on a free loopback port and stores its address in addr.
func (f *fleet) listen(addr *netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.listeners = append(f.listeners, l)
	if a, ok := l.Addr().(*net.TCPAddr); ok {
		*addr = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	return l, nil
}

// startFleet starts a fleet of n entry processes and returns the fleet and a function that stops it. If n is at most
// fullMeshLimit, every process is a neighbour of every other.
func startFleet(ctx context.Context, n, targetsPerNode, fullMeshLimit int) (*fleet, func(), error) {
	f := &fleet{platform: &emul.Platform{Latency: 2 * time.Millisecond}}
	ctx, f.cancel = context.WithCancel(ctx)
	documents := fleetDocuments(n, targetsPerNode)
	platformListener, err := f.listen(&documents.Platform)
	if err != nil {
		f.close()
		return nil, nil, err
	}
	stopPlatform := f.platform.Serve(platformListener)
	closeAll := func() {
		f.close()
		stopPlatform()
	}
	for i := range documents.VMs {
		r, err := f.newRelay(&documents.VMs[i], documents.Platform, fullMeshLimit)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		f.relays = append(f.relays, r)
	}
	if err := documents.Publish(f.platform, rulesText); err != nil {
		closeAll()
		return nil, nil, err
	}
	for _, r := range f.relays {
		f.wg.Go(func() { _ = r.Run(ctx) })
	}
	return f, closeAll, nil
}

// newRelay opens the listeners of a VM and returns the entry process of the VM, which is not running yet.
func (f *fleet) newRelay(vm *plat.VM, platform netip.AddrPort, fullMeshLimit int) (*relay.Relay, error) {
	callers, err := f.listen(&vm.Addr)
	if err != nil {
		return nil, err
	}
	peerListener, err := f.listen(&vm.PeerAddr)
	if err != nil {
		return nil, err
	}
	reader, closeReader := plat.NewHTTP(platform, nil)
	f.closeReaders = append(f.closeReaders, closeReader)
	return &relay.Relay{
		VM: vm.ID, DataCentre: vm.DataCentre, CallerListener: callers, PeerListener: countedListener{peerListener, &f.peerTraffic},
		Platform: reader, DialPeer: f.peerTraffic.dial,
		NewClient: func(t plat.Target, _ target.Options) (target.Client, func()) { return idleTarget{t.Slots}, func() {} },
		Timing:    relay.Timing{Gossip: gossip.Config{FullMeshLimit: fullMeshLimit}},
	}, nil
}

// awaitRevision waits until every process holds the revision of the rules, or a newer one, and any revision of the documents
// of VMs and services. It returns how long that took.
func (f *fleet) awaitRevision(ctx context.Context, revision uint64, limit time.Duration) (time.Duration, error) {
	start := time.Now()
	for {
		processesBehind := 0
		for _, r := range f.relays {
			if d := r.Snapshot().Digest; d.Rules < revision || d.VMs == 0 || d.Services == 0 {
				processesBehind++
			}
		}
		elapsed := time.Since(start)
		switch {
		case processesBehind == 0:
			return elapsed, nil
		case elapsed > limit:
			return elapsed, fmt.Errorf("rules revision %d or a document of VMs or services is missing at %d of %d processes after %v", revision, processesBehind, len(f.relays), limit)
		case ctx.Err() != nil:
			return elapsed, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}
