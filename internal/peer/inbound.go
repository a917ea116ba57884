package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// inboundIdleTimeout is the time after which an accepted link is closed if the peer sends nothing, not even pings.
const inboundIdleTimeout = 5 * time.Second

// inboundLink is an accepted link: one that another process has dialled.
type inboundLink struct {
	hub    *Hub
	conn   *websocket.Conn
	peerID string // VM id, known after the exchange of hello messages
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan *Frame

	mu          sync.Mutex
	workCancels map[uint64]context.CancelFunc // cancel functions of the running work, by id
}

// newInboundLink returns a link for an accepted connection; run serves it.
func newInboundLink(h *Hub, c *websocket.Conn) *inboundLink {
	in := &inboundLink{hub: h, conn: c, queue: make(chan *Frame, queueLength), workCancels: map[uint64]context.CancelFunc{}}
	in.ctx, in.cancel = context.WithCancel(h.ctx)
	return in
}

// run serves the link until it breaks.
func (in *inboundLink) run() {
	defer func() { _ = in.conn.CloseNow() }()
	defer in.cancel()
	if err := in.exchangeHello(); err != nil {
		in.hub.cfg.Log.Warn("peer link refused", "error", err)
		return
	}
	var wg sync.WaitGroup
	wg.Go(in.writeLoop)
	in.hub.registerInbound(in)
	err := in.readLoop()
	if in.ctx.Err() == nil {
		in.hub.cfg.Log.Info("peer link closed", "peer", in.peerID, "reason", err)
	}
	in.cancel()
	_ = in.conn.CloseNow()
	wg.Wait()
}

// exchangeHello reads the hello message of the peer and answers with that of this process.
func (in *inboundLink) exchangeHello() error {
	ctx, cancel := context.WithTimeout(in.ctx, helloTimeout)
	defer cancel()
	f, err := readFrame(ctx, in.conn)
	if err != nil {
		return err
	}
	if f.Hello == nil || f.Hello.Version != Version || f.Hello.VM == "" {
		return fmt.Errorf("first message of the peer is not a hello of protocol version %d with a VM id", Version)
	}
	in.peerID = f.Hello.VM
	return in.hub.writeFrame(ctx, in.conn, Frame{Hello: &in.hub.cfg.Self})
}

// writeLoop writes queued messages. If a write fails, it closes the link.
func (in *inboundLink) writeLoop() {
	defer in.cancel()
	for {
		select {
		case <-in.ctx.Done():
			return
		case f := <-in.queue:
			ctx, cancel := context.WithTimeout(in.ctx, in.hub.cfg.PongTimeout)
			err := in.hub.writeFrame(ctx, in.conn, *f)
			cancel()
			if err != nil {
				_ = in.conn.CloseNow()
				return
			}
		}
	}
}

// enqueue queues a message, and reports whether it was queued. If the queue is full because the peer doesn't read, enqueue
// closes the link, so that a slow peer doesn't block the senders.
func (in *inboundLink) enqueue(f Frame) bool {
	select {
	case in.queue <- &f:
		return true
	case <-in.ctx.Done():
	default:
		in.cancel()
	}
	return false
}

// readLoop handles received messages until the connection fails or the peer sends nothing for inboundIdleTimeout.
func (in *inboundLink) readLoop() error {
	for {
		ctx, cancel := context.WithTimeout(in.ctx, inboundIdleTimeout)
		f, err := readFrame(ctx, in.conn)
		cancel()
		if err != nil {
			return err
		}
		in.handle(f)
	}
}

// handle passes a message to the handler, and queues the reply to a message that asks for one.
func (in *inboundLink) handle(f Frame) {
	h := in.hub.cfg.Handler
	switch {
	case f.Ping != nil:
		p := h.Ping(in.peerID, *f.Ping)
		in.enqueue(Frame{Pong: &p})
	case f.Work != nil:
		in.startWork(*f.Work)
	case f.Cancel != nil:
		in.cancelWork(f.Cancel.ID)
	case f.Order != nil:
		id := f.Order.ID
		h.Order(in.peerID, *f.Order, func(r OrderReply) {
			r.ID = id
			in.enqueue(Frame{OrderReply: &r})
		})
	case f.Document != nil:
		h.Document(in.peerID, *f.Document)
	case f.DocumentRequest != nil:
		h.DocumentRequest(in.peerID, *f.DocumentRequest)
	case f.TargetStatus != nil:
		h.TargetStatus(in.peerID, *f.TargetStatus)
	case f.Crash != nil:
		h.Crash(in.peerID, *f.Crash)
	case f.Success != nil:
		h.Success(in.peerID, *f.Success)
	case f.CrashRetraction != nil:
		h.CrashRetraction(in.peerID, *f.CrashRetraction)
	case f.Quarantine != nil:
		h.Quarantine(in.peerID, *f.Quarantine)
	case f.StopNotice != nil:
		h.StopNotice(in.peerID, *f.StopNotice)
	case f.Membership != nil:
		h.Membership(in.peerID, *f.Membership)
	case f.Pauses != nil:
		h.Pauses(in.peerID, *f.Pauses)
	case f.Unlink != nil:
		h.Unlink(in.peerID)
	case f.PermitRequests != nil:
		h.PermitRequests(in.peerID, *f.PermitRequests)
	case f.PermitGrants != nil:
		h.PermitGrants(in.peerID, *f.PermitGrants)
	case f.Departures != nil:
		h.Departures(in.peerID, *f.Departures)
	case f.Sync != nil:
		id := f.Sync.ID
		h.Sync(in.peerID, *f.Sync, func(r SyncReply) {
			r.ID = id
			in.enqueue(Frame{SyncReply: &r})
		})
	}
}

// startWork passes work to the handler with a context that ends when the peer cancels the work or the link breaks.
func (in *inboundLink) startWork(w WorkRequest) {
	ctx, cancel := context.WithCancel(in.ctx)
	in.mu.Lock()
	in.workCancels[w.ID] = cancel
	in.mu.Unlock()
	in.hub.cfg.Handler.Work(ctx, in.peerID, w, func(r WorkReply) {
		in.cancelWork(w.ID)
		r.ID = w.ID
		in.enqueue(Frame{WorkReply: &r})
	})
}

// cancelWork ends the context of the work, if the work is still running.
func (in *inboundLink) cancelWork(id uint64) {
	in.mu.Lock()
	cancel := in.workCancels[id]
	delete(in.workCancels, id)
	in.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
