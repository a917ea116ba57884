package peer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/coder/websocket"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// Defaults of Config.
const (
	DefaultPingInterval = 300 * time.Millisecond
	DefaultSilence      = time.Second // a link without a pong for this long is closed
	DefaultRedial       = 200 * time.Millisecond
)

// Handler takes what peers say. Its methods must not block.
type Handler interface {
	// Ping returns the pong to a peer's ping.
	Ping(from string, p Ping) Pong
	// Pong takes the answer to a ping that was sent at sent.
	Pong(from string, sent time.Time, p Pong)
	Document(from string, d plat.Document)
	Request(from string, r Request)
	TargetNote(from string, n TargetNote)
	Crash(from string, c Crash)
	Success(from string, s Success)
	Survived(from string, s Survived)
	Quarantine(from string, q Quarantine)
	Leaving(from string, l Leaving)
	// Work runs the work and calls reply once. The context ends when the asker cancels or its link breaks.
	Work(ctx context.Context, from string, w Work, reply func(WorkReply))
	// Order runs a forwarded order and calls reply once.
	Order(from string, o Order, reply func(OrderReply))
	// Crew takes statements, or a summary of those that a peer knows.
	Crew(from string, c Crew)
	Pauses(from string, p Pauses)
	// Departures takes targets that leave by their own word.
	Departures(from string, d Departures)
	// Unlinked says that a peer closes its link to this process on purpose.
	Unlinked(from string)
	// Opened says that a link to or from a peer is open.
	Opened(peer string)
	// Sync calls reply once, when there is something newer or the time is over.
	Sync(from string, s Sync, reply func(SyncReply))
	// Digest returns the revisions in force, for pings.
	Digest() policy.Digest
}

// Config configures a Hub. Self, Handler, Now and Log are required.
type Config struct {
	Self         Hello
	Handler      Handler
	Now          func() time.Time
	Log          *log.Logger
	DialContext  func(ctx context.Context, network, addr string) (net.Conn, error)
	Scheme       string // "ws", or "wss" with Transport's TLS settings
	Transport    *http.Transport
	PingInterval time.Duration
	Silence      time.Duration
	Redial       time.Duration
	MaxMessage   int64 // bytes
}

// Hub keeps the links of one process.
type Hub struct {
	cfg         Config
	client      *http.Client
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	lastID      atomic.Uint64
	linksOpened atomic.Uint64

	traffic trafficCounters

	mu       sync.Mutex
	links    map[string]*link // outgoing, by VM id
	accepted map[*websocket.Conn]bool
	inbound  map[string]*inbound // the newest accepted link of each peer
}

// New returns a hub without links, and a function that closes it.
func New(cfg Config) (*Hub, func()) {
	cfg.PingInterval = cmp.Or(cfg.PingInterval, DefaultPingInterval)
	cfg.Silence = cmp.Or(cfg.Silence, DefaultSilence)
	cfg.Redial = cmp.Or(cfg.Redial, DefaultRedial)
	cfg.MaxMessage = cmp.Or(cfg.MaxMessage, MaxMessage)
	cfg.Scheme = cmp.Or(cfg.Scheme, "ws")
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{}
	}
	if cfg.DialContext != nil {
		transport.DialContext = cfg.DialContext
	}
	h := &Hub{cfg: cfg, client: &http.Client{Transport: transport}, links: map[string]*link{}, accepted: map[*websocket.Conn]bool{}, inbound: map[string]*inbound{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h, h.close
}

func (h *Hub) close() {
	h.cancel()
	h.mu.Lock()
	for c := range h.accepted {
		_ = c.CloseNow()
	}
	h.mu.Unlock()
	h.wg.Wait()
	h.client.CloseIdleConnections()
}

// SetPeers keeps a link to each of the VMs and closes links to all others.
func (h *Hub) SetPeers(vms []plat.VM) {
	want := make(map[string]netip.AddrPort, len(vms))
	for _, vm := range vms {
		if vm.ID != h.cfg.Self.VM {
			want[vm.ID] = vm.PeerAddr
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, l := range h.links {
		if want[id] != l.addr {
			l.unlink()
			delete(h.links, id)
		}
	}
	for id, addr := range want {
		if h.links[id] == nil && h.ctx.Err() == nil {
			l := newLink(h, id, addr)
			h.links[id] = l
			h.wg.Go(l.run)
		}
	}
}

func (h *Hub) linkTo(id string) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.links[id]
}

// Send queues a message that needs no reply. It reports false if there is no open link.
func (h *Hub) Send(to string, f Frame) bool {
	l := h.linkTo(to)
	return l != nil && l.enqueue(outgoing{frame: f})
}

// Ping sends a ping at once, so that the peer learns the digest of this process.
func (h *Hub) Ping(to string) {
	if l := h.linkTo(to); l != nil {
		l.requestPing()
	}
}

// Broadcast queues the message for every open link. It reports false if a queue was full.
func (h *Hub) Broadcast(f Frame) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	noneFull := true
	for _, l := range h.links {
		if l.tryEnqueue(outgoing{frame: f}) == queueFull {
			noneFull = false
		}
	}
	return noneFull
}

// Tell queues a message for a peer on its own link or on that of this process, whichever is open.
func (h *Hub) Tell(to string, f Frame) bool {
	if h.Send(to, f) {
		return true
	}
	h.mu.Lock()
	in := h.inbound[to]
	h.mu.Unlock()
	return in != nil && in.enqueue(f)
}

// Peers returns the peers with a link, whoever dialled it, in no order.
func (h *Hub) Peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]string, 0, len(h.links)+len(h.inbound))
	for id := range h.links {
		peers = append(peers, id)
	}
	for id := range h.inbound {
		if h.links[id] == nil {
			peers = append(peers, id)
		}
	}
	return peers
}

// Opened returns how often an outgoing link was opened. What a peer must know is sent again after each.
func (h *Hub) Opened() uint64 { return h.linksOpened.Load() }

// Work sends work to a dispatcher. Done is called once, never before Work returns. If the link breaks, the code says whether the
// message may have been written: NotConnected if not, OutcomeUnknown if so. The returned function cancels the work.
func (h *Hub) Work(to string, w Work, done func(WorkReply)) (cancel func()) {
	w.ID = h.lastID.Add(1)
	p := &pendingCall{work: done, id: w.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(outgoing{frame: Frame{Work: &w}, pending: p}) {
		go p.fail()
		return func() {}
	}
	return func() { l.enqueue(outgoing{frame: Frame{Cancel: &Cancel{ID: w.ID}}}) }
}

// Order forwards an order to the issuer of its token. Done is called once.
func (h *Hub) Order(to string, o Order, done func(OrderReply)) {
	o.ID = h.lastID.Add(1)
	p := &pendingCall{order: done, id: o.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(outgoing{frame: Frame{Order: &o}, pending: p}) {
		go p.fail()
	}
}

// Sync asks a peer for documents. Done is called once, with Down set if there is no link or it breaks.
func (h *Hub) Sync(to string, s Sync, done func(SyncReply)) {
	s.ID = h.lastID.Add(1)
	p := &pendingCall{sync: done, id: s.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(outgoing{frame: Frame{Sync: &s}, pending: p}) {
		go p.fail()
	}
}

// pendingCall is a request that waits for its reply. Exactly one of work, order and sync is set.
type pendingCall struct {
	id      uint64
	work    func(WorkReply)
	order   func(OrderReply)
	sync    func(SyncReply)
	written atomic.Bool // set before the first byte is written
}

func (p *pendingCall) fail() {
	code := codes.NotConnected
	if p.written.Load() {
		code = codes.OutcomeUnknown
	}
	const text = "the link to the peer is down"
	switch {
	case p.work != nil:
		p.work(WorkReply{ID: p.id, Code: code, Message: text})
	case p.order != nil:
		p.order(OrderReply{ID: p.id, Answer: wire.OrderAnswer{Status: wire.NewStatus(code, "", text)}})
	default:
		p.sync(SyncReply{ID: p.id, AgeMS: -1, Down: true})
	}
}

// ServeHTTP accepts a link of another process.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.cfg.Log.Warn("peer link refused", "remote", r.RemoteAddr, "error", err)
		return
	}
	c.SetReadLimit(h.cfg.MaxMessage)
	h.mu.Lock()
	closed := h.ctx.Err() != nil
	if !closed {
		h.accepted[c] = true
		h.wg.Add(1)
	}
	h.mu.Unlock()
	if closed {
		_ = c.CloseNow()
		return
	}
	defer h.wg.Done()
	in := newInbound(h, c)
	in.run()
	h.mu.Lock()
	delete(h.accepted, c)
	if h.inbound[in.peerID] == in {
		delete(h.inbound, in.peerID)
	}
	h.mu.Unlock()
}

// registerInbound makes an accepted link known by the name of its peer.
func (h *Hub) registerInbound(in *inbound) {
	h.mu.Lock()
	h.inbound[in.peerID] = in
	h.mu.Unlock()
	h.cfg.Handler.Opened(in.peerID)
}
