package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// queueLength is the largest number of messages that wait on one link; 1,024 messages take about 15 ms to write. A longer queue
// would cost memory: each queue allocates 8 bytes per message when its link opens, and a process may have a link to every peer.
const queueLength = 1024

// helloTimeout bounds the exchange of hello messages, and on the dialling side also the dial.
const helloTimeout = 2 * time.Second

// unlinkTimeout bounds the time for writing the Unlink message before a link is closed on purpose.
const unlinkTimeout = time.Second

// queuedMessage is a message in the queue of an outgoing link.
type queuedMessage struct {
	frame      Frame
	pending    *pendingCall // nil if the message needs no reply
	closeAfter bool         // the link is closed after this message
}

// outboundLink is the outgoing link to one peer. A link that breaks is dialled again for as long as Hub.SetPeers lists the peer.
type outboundLink struct {
	hub    *Hub
	peerID string
	addr   netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc

	mu           sync.Mutex
	queue        chan *queuedMessage     // nil while the link is down
	pingRequests chan struct{}           // an element makes the session send a ping before the next tick
	calls        map[uint64]*pendingCall // requests without a reply yet, by id
}

// newOutboundLink returns a link that is down; run dials it.
func newOutboundLink(h *Hub, id string, addr netip.AddrPort) *outboundLink {
	l := &outboundLink{hub: h, peerID: id, addr: addr, calls: map[uint64]*pendingCall{}, pingRequests: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	return l
}

// unlink closes the link permanently. If the link is open and its queue has room, Unlink is sent first, so that the peer does
// not treat the silence as a failure of this process.
func (l *outboundLink) unlink() {
	if !l.enqueue(queuedMessage{frame: Frame{Unlink: &Unlink{}}, closeAfter: true}) {
		l.cancel()
		return
	}
	time.AfterFunc(unlinkTimeout, l.cancel)
}

// requestPing makes the session send a ping before the next tick. Several requests before that ping cause only one ping.
func (l *outboundLink) requestPing() {
	select {
	case l.pingRequests <- struct{}{}:
	default:
	}
}

// enqueueResult states whether a message was queued, or why not.
type enqueueResult uint8

const (
	messageQueued enqueueResult = iota
	queueFull
	linkDown
)

// enqueue queues a message. It reports false if the link is down or its queue is full.
func (l *outboundLink) enqueue(m queuedMessage) bool { return l.tryEnqueue(m) == messageQueued }

// tryEnqueue queues a message without blocking, and records its pending call, if any.
func (l *outboundLink) tryEnqueue(m queuedMessage) enqueueResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return linkDown
	}
	select {
	case l.queue <- &m:
	default:
		return queueFull
	}
	if m.pending != nil {
		l.calls[m.pending.id] = m.pending
	}
	return messageQueued
}

// run dials and serves the link in a loop, until the link is closed permanently.
func (l *outboundLink) run() {
	for l.ctx.Err() == nil {
		if err := l.dialAndServe(); err != nil && l.ctx.Err() == nil {
			l.hub.cfg.Log.Debug("peer link down", "peer", l.peerID, "addr", l.addr, "error", err)
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(l.hub.cfg.RedialDelay):
		}
	}
}

// dialAndServe dials the peer once and serves the link until it breaks.
func (l *outboundLink) dialAndServe() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	c, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }()
	s := &session{link: l, conn: c, cancel: cancel, unansweredPings: map[uint64]time.Time{}, lastAnsweredPing: l.hub.cfg.Now()}
	queue := make(chan *queuedMessage, queueLength)
	l.mu.Lock()
	l.queue = queue
	l.mu.Unlock()
	l.hub.linksOpened.Add(1)
	l.hub.cfg.Handler.LinkOpened(l.peerID)
	var wg sync.WaitGroup
	wg.Go(func() { s.writeLoop(ctx, queue) })
	err = s.readLoop(ctx)
	cancel()
	_ = c.CloseNow()
	wg.Wait()
	l.markDown()
	return err
}

// dial opens a connection to the peer and exchanges hello messages.
func (l *outboundLink) dial(ctx context.Context) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s", l.hub.cfg.Scheme, l.addr, Path)
	c, resp, err := websocket.Dial(ctx, url, &websocket.DialOptions{HTTPClient: l.hub.client})
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("dial peer %s: %w", l.peerID, err)
	}
	c.SetReadLimit(l.hub.cfg.MaxMessage)
	if err := l.hub.writeFrame(ctx, c, Frame{Hello: &l.hub.cfg.Self}); err != nil {
		_ = c.CloseNow()
		return nil, fmt.Errorf("send hello message to peer: %w", err)
	}
	f, err := readFrame(ctx, c)
	if err == nil && (f.Hello == nil || f.Hello.VM != l.peerID) {
		err = fmt.Errorf("first message is not a hello of peer %s", l.peerID)
	}
	if err != nil {
		_ = c.CloseNow()
		return nil, err
	}
	return c, nil
}

// markDown marks the link as down and fails all requests that wait for a reply on this link.
func (l *outboundLink) markDown() {
	l.mu.Lock()
	calls := l.calls
	l.calls = map[uint64]*pendingCall{}
	l.queue = nil
	l.mu.Unlock()
	for _, p := range calls {
		p.fail()
	}
}

// removeCall returns the pending call with the id and removes the call from the link; nil if there is none.
func (l *outboundLink) removeCall(id uint64) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.calls[id]
	delete(l.calls, id)
	return p
}

// session is one open connection of a link.
type session struct {
	link   *outboundLink
	conn   *websocket.Conn
	cancel context.CancelFunc

	mu               sync.Mutex
	lastSeq          uint64               // sequence number of the newest ping
	unansweredPings  map[uint64]time.Time // time of each ping without a pong yet, by sequence number
	lastAnsweredPing time.Time            // time at which the newest answered ping was sent; initially the start of the session
}

// writeLoop writes queued messages and pings. It ends the session if a write fails or the newest answered ping is older than
// Config.PongTimeout.
func (s *session) writeLoop(ctx context.Context, queue <-chan *queuedMessage) {
	defer s.cancel()
	tick := time.NewTicker(s.link.hub.cfg.PingInterval)
	defer tick.Stop()
	if s.sendPing(ctx) != nil {
		return
	}
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			if m.pending != nil {
				m.pending.writeStarted.Store(true)
			}
			if err = s.writeFrame(ctx, m.frame); m.closeAfter {
				s.link.cancel()
			}
		case <-s.link.pingRequests:
			err = s.sendPing(ctx)
		case <-tick.C:
			if s.pongOverdue() {
				return
			}
			err = s.sendPing(ctx)
		}
		if err != nil {
			return
		}
	}
}

// writeFrame writes a message; a write that takes longer than Config.PongTimeout fails.
func (s *session) writeFrame(ctx context.Context, f Frame) error {
	ctx, cancel := context.WithTimeout(ctx, s.link.hub.cfg.PongTimeout)
	defer cancel()
	return s.link.hub.writeFrame(ctx, s.conn, f)
}

// sendPing sends a ping with the next sequence number.
func (s *session) sendPing(ctx context.Context) error {
	h := s.link.hub
	now := h.cfg.Now()
	s.mu.Lock()
	s.lastSeq++
	seq := s.lastSeq
	s.unansweredPings[seq] = now
	s.mu.Unlock()
	return s.writeFrame(ctx, Frame{Ping: &Ping{Seq: seq, Digest: h.cfg.Handler.Digest()}})
}

// pongOverdue reports whether the newest answered ping is older than Config.PongTimeout.
func (s *session) pongOverdue() bool {
	now := s.link.hub.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastAnsweredPing) > s.link.hub.cfg.PongTimeout
}

// readLoop passes each received message to the pending call or the handler that it is for, until the connection fails.
func (s *session) readLoop(ctx context.Context) error {
	for {
		f, err := readFrame(ctx, s.conn)
		if err != nil {
			return err
		}
		switch {
		case f.Pong != nil:
			s.handlePong(*f.Pong)
		case f.WorkReply != nil:
			if p := s.link.removeCall(f.WorkReply.ID); p != nil && p.work != nil {
				p.work(*f.WorkReply)
			}
		case f.OrderReply != nil:
			if p := s.link.removeCall(f.OrderReply.ID); p != nil && p.order != nil {
				p.order(*f.OrderReply)
			}
		case f.Membership != nil:
			s.link.hub.cfg.Handler.Membership(s.link.peerID, *f.Membership)
		case f.Pauses != nil:
			s.link.hub.cfg.Handler.Pauses(s.link.peerID, *f.Pauses)
		case f.PermitRequests != nil:
			s.link.hub.cfg.Handler.PermitRequests(s.link.peerID, *f.PermitRequests)
		case f.PermitGrants != nil:
			s.link.hub.cfg.Handler.PermitGrants(s.link.peerID, *f.PermitGrants)
		case f.Departures != nil:
			s.link.hub.cfg.Handler.Departures(s.link.peerID, *f.Departures)
		case f.SyncReply != nil:
			if p := s.link.removeCall(f.SyncReply.ID); p != nil && p.sync != nil {
				p.sync(*f.SyncReply)
			}
		}
	}
}

// handlePong records the pong and passes it to the handler, unless its ping or a newer ping was answered before.
func (s *session) handlePong(p Pong) {
	s.mu.Lock()
	pingTime, ok := s.unansweredPings[p.Seq]
	for seq := range s.unansweredPings {
		if seq <= p.Seq {
			delete(s.unansweredPings, seq)
		}
	}
	// lastAnsweredPing holds the time of the ping, not that of the pong: a pong may have waited in a buffer, so its arrival
	// doesn't prove that the peer is alive now.
	if ok && pingTime.After(s.lastAnsweredPing) {
		s.lastAnsweredPing = pingTime
	}
	s.mu.Unlock()
	if ok {
		s.link.hub.cfg.Handler.Pong(s.link.peerID, pingTime, p)
	}
}

// writeFrame encodes a message, counts it and writes it to the connection.
func (h *Hub) writeFrame(ctx context.Context, c *websocket.Conn, f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	kind := frameKind(f)
	h.traffic.frames[kind].Add(1)
	h.traffic.bytes[kind].Add(uint64(len(raw)))
	return c.Write(ctx, websocket.MessageBinary, raw)
}

// readFrame reads and decodes the next message of the connection.
func readFrame(ctx context.Context, c *websocket.Conn) (Frame, error) {
	_, raw, err := c.Read(ctx)
	if err != nil {
		return Frame{}, fmt.Errorf("read frame: %w", err)
	}
	f, err := Decode(raw)
	if err != nil {
		return Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}
