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

// traffic counts what was written to the connections of one kind. A message is one write, as the WebSocket library
// flushes each message by itself.
type traffic struct{ bytes, writes atomic.Int64 }

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

func (t *traffic) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return countedConn{c, t}, nil
}

// idleTarget is a target client that answers health checks and nothing else.
type idleTarget struct{ slots int }

func (t idleTarget) stamp() target.Stamp {
	return target.Stamp{Incarnation: 1, State: target.Warm, Load: target.Load{Slots: t.slots}}
}

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

// fleet is a running fleet on loopback.
type fleet struct {
	platform *emul.Platform
	relays   []*relay.Relay
	peers    traffic
	wg       sync.WaitGroup
	cancel   context.CancelFunc
	held     []net.Listener
	closers  []func()
}

// spec lays out n entry VMs in 12 data centres with the published number of targets for each. Only the entry VMs
// and the platform listen; targets are stand-ins inside the process.
func spec(n, targetsPerNode int) *emul.Fleet {
	const perService = 6
	return emul.Spec{DataCentres: dataCentres, EntryVMs: n, Services: []emul.ServiceSpec{{
		Name: "s", Count: max(n*targetsPerNode/perService, 1), Targets: perService, Slots: 2, Connections: 25, Shards: 12,
		DocumentsPerShard: 1000, Replicas: 2,
	}}}.Build()
}

const dataCentres = 12

const rulesText = "class c deadline=300ms min_coverage=0.9 prefer=latency priority=1 # Ann Lee: measurement\n"

func (f *fleet) close() {
	f.cancel()
	f.wg.Wait()
	for _, l := range f.held {
		_ = l.Close()
	}
	for _, c := range f.closers {
		c()
	}
}

// listen opens a loopback port and stores its address.
func (f *fleet) listen(addr *netip.AddrPort) (net.Listener, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	f.held = append(f.held, l)
	if a, ok := l.Addr().(*net.TCPAddr); ok {
		*addr = netip.AddrPortFrom(a.AddrPort().Addr().Unmap(), a.AddrPort().Port())
	}
	return l, nil
}

// start runs n entry processes; full is the size up to which all are neighbours.
func start(ctx context.Context, n, targetsPerNode, full int) (*fleet, func(), error) {
	f := &fleet{platform: &emul.Platform{Latency: 2 * time.Millisecond}}
	ctx, f.cancel = context.WithCancel(ctx)
	doc := spec(n, targetsPerNode)
	lp, err := f.listen(&doc.Platform)
	if err != nil {
		f.close()
		return nil, nil, err
	}
	stop := f.platform.Serve(lp)
	closeAll := func() {
		f.close()
		stop()
	}
	for i := range doc.VMs {
		r, err := f.relay(&doc.VMs[i], doc.Platform, full)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		f.relays = append(f.relays, r)
	}
	if err := doc.Publish(f.platform, rulesText); err != nil {
		closeAll()
		return nil, nil, err
	}
	for _, r := range f.relays {
		f.wg.Go(func() { _ = r.Run(ctx) })
	}
	return f, closeAll, nil
}

func (f *fleet) relay(vm *plat.VM, platform netip.AddrPort, full int) (*relay.Relay, error) {
	callers, err := f.listen(&vm.Addr)
	if err != nil {
		return nil, err
	}
	peers, err := f.listen(&vm.PeerAddr)
	if err != nil {
		return nil, err
	}
	reader, closeReader := plat.NewHTTP(platform, nil)
	f.closers = append(f.closers, closeReader)
	return &relay.Relay{
		VM: vm.ID, DataCentre: vm.DataCentre, CallerListener: callers, PeerListener: countedListener{peers, &f.peers},
		Platform: reader, DialPeer: f.peers.dial,
		NewClient: func(t plat.Target, _ target.Options) (target.Client, func()) { return idleTarget{t.Slots}, func() {} },
		Timing:    relay.Timing{Gossip: gossip.Config{FullMeshLimit: full}},
	}, nil
}

// await waits until every process holds the rules revision and returns how long that took.
func (f *fleet) await(ctx context.Context, revision uint64, limit time.Duration) (time.Duration, error) {
	began := time.Now()
	for {
		missing := 0
		for _, r := range f.relays {
			if d := r.Snapshot().Digest; d.Rules < revision || d.VMs == 0 || d.Services == 0 {
				missing++
			}
		}
		took := time.Since(began)
		switch {
		case missing == 0:
			return took, nil
		case took > limit:
			return took, fmt.Errorf("rules revision %d is missing at %d of %d processes after %v", revision, missing, len(f.relays), limit)
		case ctx.Err() != nil:
			return took, ctx.Err()
		}
		time.Sleep(time.Millisecond)
	}
}
