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
	DefaultPongTimeout  = time.Second
	DefaultRedialDelay  = 200 * time.Millisecond
)

// Handler receives the messages of peers and the events of links. Its methods must not block. The parameter from is the VM
// id of the peer that sent the message.
type Handler interface {
	// Ping returns the reply to a ping of a peer.
	Ping(from string, p Ping) Pong
	// Pong receives the reply to a ping. The parameter sent is the time at which this process sent the ping.
	Pong(from string, sent time.Time, p Pong)
	// Document receives a document that a peer forwards.
	Document(from string, d plat.Document)
	// DocumentRequest receives a peer's request for a document. The handler sends the document in a separate message.
	DocumentRequest(from string, r DocumentRequest)
	// TargetStatus receives what a dispatcher knows about a target.
	TargetStatus(from string, s TargetStatus)
	// Crash receives the report that a target crashed while the listed requests were running on the target.
	Crash(from string, c Crash)
	// Success receives the report that a suspected request has completed on a target.
	Success(from string, s Success)
	// CrashRetraction receives the retraction of a Crash.
	CrashRetraction(from string, r CrashRetraction)
	// Quarantine receives the report that a quarantine has begun or must be lifted.
	Quarantine(from string, q Quarantine)
	// StopNotice receives the announcement of a planned stop.
	StopNotice(from string, n StopNotice)
	// Work runs the work and calls reply exactly once. The context ends when the requesting peer cancels the work or its
	// link breaks.
	Work(ctx context.Context, from string, w WorkRequest, reply func(WorkReply))
	// Order runs a forwarded order and calls reply exactly once.
	Order(from string, o Order, reply func(OrderReply))
	// Membership receives statements about the membership of entry processes, or a summary of the statements that a peer knows.
	Membership(from string, m Membership)
	// Pauses receives pauses of targets that a peer reports.
	Pauses(from string, p Pauses)
	// Departures receives the targets that have announced in their own replies that they are leaving.
	Departures(from string, d Departures)
	// PermitRequests receives the requests of a peer for permits.
	PermitRequests(from string, m PermitRequests)
	// PermitGrants receives the answer to permit requests.
	PermitGrants(from string, m PermitGrants)
	// Unlink is called when a peer announces that it closes its link to this process on purpose.
	Unlink(from string)
	// LinkOpened is called when a link to or from a peer has opened.
	LinkOpened(peer string)
	// Sync calls reply exactly once, when there are newer documents than requested or the requested wait is over.
	Sync(from string, s SyncRequest, reply func(SyncReply))
	// Digest returns the revisions of the documents that this process uses. Each ping holds them.
	Digest() policy.Revisions
}

// Config configures a Hub. Self, Handler, Now and Log are required; other zero fields take the defaults.
type Config struct {
	Self         Hello
	Handler      Handler
	Now          func() time.Time
	Log          *log.Logger
	DialContext  func(ctx context.Context, network, addr string) (net.Conn, error)
	Scheme       string // "ws", or "wss" with Transport's TLS settings
	Transport    *http.Transport
	PingInterval time.Duration
	PongTimeout  time.Duration // an outgoing link is closed when its newest answered ping is older than this; also bounds each write
	RedialDelay  time.Duration // delay between the end of an outgoing link, or a failed dial, and the next dial
	MaxMessage   int64         // upper bound on the size of a received message, in bytes
}

// Hub holds the links of one process to and from its peers.
type Hub struct {
	cfg         Config
	client      *http.Client
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	lastID      atomic.Uint64 // id of the newest WorkRequest, Order or SyncRequest
	linksOpened atomic.Uint64 // number of outgoing links opened; a link that is opened again counts again

	traffic trafficCounters

	mu            sync.Mutex
	outboundLinks map[string]*outboundLink // by VM id of the peer
	acceptedConns map[*websocket.Conn]bool
	inboundLinks  map[string]*inboundLink // the newest accepted link of each peer, by VM id
}

// New returns a hub without links, and a function that closes the hub and waits until its goroutines have ended.
func New(cfg Config) (*Hub, func()) {
	cfg.PingInterval = cmp.Or(cfg.PingInterval, DefaultPingInterval)
	cfg.PongTimeout = cmp.Or(cfg.PongTimeout, DefaultPongTimeout)
	cfg.RedialDelay = cmp.Or(cfg.RedialDelay, DefaultRedialDelay)
	cfg.MaxMessage = cmp.Or(cfg.MaxMessage, MaxMessage)
	cfg.Scheme = cmp.Or(cfg.Scheme, "ws")
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{}
	}
	if cfg.DialContext != nil {
		transport.DialContext = cfg.DialContext
	}
	h := &Hub{cfg: cfg, client: &http.Client{Transport: transport}, outboundLinks: map[string]*outboundLink{}, acceptedConns: map[*websocket.Conn]bool{}, inboundLinks: map[string]*inboundLink{}}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	return h, h.close
}

// close closes all links and waits until the goroutines of the hub have ended.
func (h *Hub) close() {
	h.cancel()
	h.mu.Lock()
	for c := range h.acceptedConns {
		_ = c.CloseNow()
	}
	h.mu.Unlock()
	h.wg.Wait()
	h.client.CloseIdleConnections()
}

// SetPeers sets the VMs to which the hub keeps outgoing links, and closes the outgoing links to all others. The link to a VM
// whose address has changed is replaced. A VM with the id of this process is skipped.
func (h *Hub) SetPeers(vms []plat.VM) {
	wantedAddrs := make(map[string]netip.AddrPort, len(vms))
	for _, vm := range vms {
		if vm.ID != h.cfg.Self.VM {
			wantedAddrs[vm.ID] = vm.PeerAddr
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, l := range h.outboundLinks {
		if wantedAddrs[id] != l.addr {
			l.unlink()
			delete(h.outboundLinks, id)
		}
	}
	for id, addr := range wantedAddrs {
		if h.outboundLinks[id] == nil && h.ctx.Err() == nil {
			l := newOutboundLink(h, id, addr)
			h.outboundLinks[id] = l
			h.wg.Go(l.run)
		}
	}
}

// linkTo returns the outgoing link to a peer, open or not; nil if the peer is not listed.
func (h *Hub) linkTo(id string) *outboundLink {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outboundLinks[id]
}

// Send queues a message that needs no reply on the outgoing link to a peer. It reports false if that link is not open or its
// queue is full.
func (h *Hub) Send(to string, f Frame) bool {
	l := h.linkTo(to)
	return l != nil && l.enqueue(queuedMessage{frame: f})
}

// Ping requests a ping without waiting for the ping interval, so that the peer learns the revisions of this process.
func (h *Hub) Ping(to string) {
	if l := h.linkTo(to); l != nil {
		l.requestPing()
	}
}

// Broadcast queues the message on every open outgoing link. It reports false if a queue was full.
func (h *Hub) Broadcast(f Frame) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	noneFull := true
	for _, l := range h.outboundLinks {
		if l.tryEnqueue(queuedMessage{frame: f}) == queueFull {
			noneFull = false
		}
	}
	return noneFull
}

// SendOnAnyLink queues a message for a peer on the outgoing link if that is open, else on the link that the peer has
// dialled. It reports false if neither takes the message.
func (h *Hub) SendOnAnyLink(to string, f Frame) bool {
	if h.Send(to, f) {
		return true
	}
	h.mu.Lock()
	in := h.inboundLinks[to]
	h.mu.Unlock()
	return in != nil && in.enqueue(f)
}

// Peers returns the VM ids of the listed peers and of the peers with an accepted link, in no particular order. The outgoing
// link to a listed peer may be down.
func (h *Hub) Peers() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]string, 0, len(h.outboundLinks)+len(h.inboundLinks))
	for id := range h.outboundLinks {
		peers = append(peers, id)
	}
	for id := range h.inboundLinks {
		if h.outboundLinks[id] == nil {
			peers = append(peers, id)
		}
	}
	return peers
}

// LinksOpened returns how often an outgoing link was opened. When the number has grown, callers send again the state that every
// peer must know, because messages may have been lost with the previous link.
func (h *Hub) LinksOpened() uint64 { return h.linksOpened.Load() }

// Work sends work to a dispatcher. It calls done exactly once, on another goroutine. If the link is down, breaks or has a
// full queue, the code of the reply is NotConnected if the hub had not begun to write the message, else OutcomeUnknown. The
// returned function cancels the work.
func (h *Hub) Work(to string, w WorkRequest, done func(WorkReply)) (cancel func()) {
	w.ID = h.lastID.Add(1)
	p := &pendingCall{work: done, id: w.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(queuedMessage{frame: Frame{Work: &w}, pending: p}) {
		go p.fail()
		return func() {}
	}
	return func() { l.enqueue(queuedMessage{frame: Frame{Cancel: &Cancel{ID: w.ID}}}) }
}

// Order forwards an order to the process that issued the token of the order. It calls done exactly once, on another
// goroutine. If the link is down, breaks or has a full queue, the code of the reply is chosen as for Work.
func (h *Hub) Order(to string, o Order, done func(OrderReply)) {
	o.ID = h.lastID.Add(1)
	p := &pendingCall{order: done, id: o.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(queuedMessage{frame: Frame{Order: &o}, pending: p}) {
		go p.fail()
	}
}

// Sync asks a peer for documents. It calls done exactly once, on another goroutine, with LinkDown set if the link is down,
// breaks or has a full queue.
func (h *Hub) Sync(to string, s SyncRequest, done func(SyncReply)) {
	s.ID = h.lastID.Add(1)
	p := &pendingCall{sync: done, id: s.ID}
	l := h.linkTo(to)
	if l == nil || !l.enqueue(queuedMessage{frame: Frame{Sync: &s}, pending: p}) {
		go p.fail()
	}
}

// pendingCall is a request that waits for its reply. Exactly one of work, order and sync is set.
type pendingCall struct {
	id           uint64
	work         func(WorkReply)
	order        func(OrderReply)
	sync         func(SyncReply)
	writeStarted atomic.Bool // set before the first byte of the message is written; the peer may have received the message then
}

// fail passes a reply that states that the link is down to the callback.
func (p *pendingCall) fail() {
	code := codes.NotConnected
	if p.writeStarted.Load() {
		code = codes.OutcomeUnknown
	}
	const text = "the link to the peer is down"
	switch {
	case p.work != nil:
		p.work(WorkReply{ID: p.id, Code: code, Message: text})
	case p.order != nil:
		p.order(OrderReply{ID: p.id, Answer: wire.OrderAnswer{Status: wire.NewStatus(code, "", text)}})
	default:
		p.sync(SyncReply{ID: p.id, AgeMS: -1, LinkDown: true})
	}
}

// ServeHTTP accepts a link that another process dials, and serves the link until it breaks.
func (h *Hub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		h.cfg.Log.Warn("peer link refused", "remote", r.RemoteAddr, "error", err)
		return
	}
	c.SetReadLimit(h.cfg.MaxMessage)
	h.mu.Lock()
	hubClosed := h.ctx.Err() != nil
	if !hubClosed {
		h.acceptedConns[c] = true
		h.wg.Add(1)
	}
	h.mu.Unlock()
	if hubClosed {
		_ = c.CloseNow()
		return
	}
	defer h.wg.Done()
	in := newInboundLink(h, c)
	in.run()
	h.mu.Lock()
	delete(h.acceptedConns, c)
	if h.inboundLinks[in.peerID] == in {
		delete(h.inboundLinks, in.peerID)
	}
	h.mu.Unlock()
}

// registerInbound records an accepted link as the newest link of its peer, after the exchange of hello messages.
func (h *Hub) registerInbound(in *inboundLink) {
	h.mu.Lock()
	h.inboundLinks[in.peerID] = in
	h.mu.Unlock()
	h.cfg.Handler.LinkOpened(in.peerID)
}
