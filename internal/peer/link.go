package peer

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// queueLength bounds the messages that wait on one link. A queue holds its places from the start, 8 bytes each, and
// a front may have a link to every node; 1,024 messages are about 15 ms of writing.
const queueLength = 1024

// helloTimeout bounds dialling and the exchange of hello messages.
const helloTimeout = 2 * time.Second

// unlinkTimeout bounds the last message of a link that isn't wanted any more.
const unlinkTimeout = time.Second

type outgoing struct {
	frame   Frame
	pending *pendingCall
	last    bool // the link ends once it is written
}

// link is the outgoing link to one peer. It is dialled again for as long as the peer is listed.
type link struct {
	hub    *Hub
	peerID string
	addr   netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	queue   chan *outgoing // nil while the link is down
	pingNow chan struct{}  // asks for a ping at once
	calls   map[uint64]*pendingCall
}

func newLink(h *Hub, id string, addr netip.AddrPort) *link {
	l := &link{hub: h, peerID: id, addr: addr, calls: map[uint64]*pendingCall{}, pingNow: make(chan struct{}, 1)}
	l.ctx, l.cancel = context.WithCancel(h.ctx)
	return l
}

// unlink ends the link, after it has told the peer so if it is open.
func (l *link) unlink() {
	if !l.enqueue(outgoing{frame: Frame{Unlink: &Unlink{}}, last: true}) {
		l.cancel()
		return
	}
	time.AfterFunc(unlinkTimeout, l.cancel)
}

// requestPing asks the session for a ping; one request that is open already is enough.
func (l *link) requestPing() {
	select {
	case l.pingNow <- struct{}{}:
	default:
	}
}

// enqueueResult says what became of a message.
type enqueueResult uint8

const (
	enqueued enqueueResult = iota
	queueFull
	linkDown // the link is down
)

// enqueue queues a message; it reports false if the link is down or its queue is full.
func (l *link) enqueue(o outgoing) bool { return l.tryEnqueue(o) == enqueued }

func (l *link) tryEnqueue(o outgoing) enqueueResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return linkDown
	}
	select {
	case l.queue <- &o:
	default:
		return queueFull
	}
	if o.pending != nil {
		l.calls[o.pending.id] = o.pending
	}
	return enqueued
}

// run keeps the link open until the peer is no longer listed.
func (l *link) run() {
	for l.ctx.Err() == nil {
		if err := l.dialAndServe(); err != nil && l.ctx.Err() == nil {
			l.hub.cfg.Log.Debug("peer link down", "peer", l.peerID, "addr", l.addr, "error", err)
		}
		select {
		case <-l.ctx.Done():
		case <-time.After(l.hub.cfg.Redial):
		}
	}
}

// dialAndServe dials once and serves the link until it breaks.
func (l *link) dialAndServe() error {
	ctx, cancel := context.WithCancel(l.ctx)
	defer cancel()
	c, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = c.CloseNow() }()
	s := &session{link: l, conn: c, cancel: cancel, pingsSent: map[uint64]time.Time{}, lastPong: l.hub.cfg.Now()}
	queue := make(chan *outgoing, queueLength)
	l.mu.Lock()
	l.queue = queue
	l.mu.Unlock()
	l.hub.linksOpened.Add(1)
	l.hub.cfg.Handler.Opened(l.peerID)
	var wg sync.WaitGroup
	wg.Go(func() { s.writeLoop(ctx, queue) })
	err = s.readLoop(ctx)
	cancel()
	_ = c.CloseNow()
	wg.Wait()
	l.markDown()
	return err
}

func (l *link) dial(ctx context.Context) (*websocket.Conn, error) {
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
		return nil, fmt.Errorf("send hello: %w", err)
	}
	f, err := readFrame(ctx, c)
	if err == nil && (f.Hello == nil || f.Hello.VM != l.peerID) {
		err = fmt.Errorf("expected hello of %s", l.peerID)
	}
	if err != nil {
		_ = c.CloseNow()
		return nil, err
	}
	return c, nil
}

// markDown fails everything that waits for a reply on this link.
func (l *link) markDown() {
	l.mu.Lock()
	calls := l.calls
	l.calls = map[uint64]*pendingCall{}
	l.queue = nil
	l.mu.Unlock()
	for _, p := range calls {
		p.fail()
	}
}

func (l *link) removeCall(id uint64) *pendingCall {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.calls[id]
	delete(l.calls, id)
	return p
}

// session is one open connection of a link.
type session struct {
	link   *link
	conn   *websocket.Conn
	cancel context.CancelFunc

	mu        sync.Mutex
	seq       uint64
	pingsSent map[uint64]time.Time // pings without a pong yet
	lastPong  time.Time
}

// writeLoop writes queued messages and pings, and closes a link that makes no progress.
func (s *session) writeLoop(ctx context.Context, queue <-chan *outgoing) {
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
		case o := <-queue:
			if o.pending != nil {
				o.pending.written.Store(true)
			}
			if err = s.writeFrame(ctx, o.frame); o.last {
				s.link.cancel()
			}
		case <-s.link.pingNow:
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

func (s *session) writeFrame(ctx context.Context, f Frame) error {
	ctx, cancel := context.WithTimeout(ctx, s.link.hub.cfg.Silence)
	defer cancel()
	return s.link.hub.writeFrame(ctx, s.conn, f)
}

func (s *session) sendPing(ctx context.Context) error {
	h := s.link.hub
	now := h.cfg.Now()
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.pingsSent[seq] = now
	s.mu.Unlock()
	return s.writeFrame(ctx, Frame{Ping: &Ping{Seq: seq, Digest: h.cfg.Handler.Digest()}})
}

func (s *session) pongOverdue() bool {
	now := s.link.hub.cfg.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastPong) > s.link.hub.cfg.Silence
}

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
		case f.Crew != nil:
			s.link.hub.cfg.Handler.Crew(s.link.peerID, *f.Crew)
		case f.Pauses != nil:
			s.link.hub.cfg.Handler.Pauses(s.link.peerID, *f.Pauses)
		case f.Departures != nil:
			s.link.hub.cfg.Handler.Departures(s.link.peerID, *f.Departures)
		case f.SyncReply != nil:
			if p := s.link.removeCall(f.SyncReply.ID); p != nil && p.sync != nil {
				p.sync(*f.SyncReply)
			}
		}
	}
}

func (s *session) handlePong(p Pong) {
	s.mu.Lock()
	sent, ok := s.pingsSent[p.Seq]
	for seq := range s.pingsSent {
		if seq <= p.Seq {
			delete(s.pingsSent, seq)
		}
	}
	// Progress is dated by the ping: a pong that waited in a buffer proves nothing about now.
	if ok && sent.After(s.lastPong) {
		s.lastPong = sent
	}
	s.mu.Unlock()
	if ok {
		s.link.hub.cfg.Handler.Pong(s.link.peerID, sent, p)
	}
}

func (h *Hub) writeFrame(ctx context.Context, c *websocket.Conn, f Frame) error {
	raw, err := Encode(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	kind := kindOf(f)
	h.traffic.frames[kind].Add(1)
	h.traffic.bytes[kind].Add(uint64(len(raw)))
	return c.Write(ctx, websocket.MessageBinary, raw)
}

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
