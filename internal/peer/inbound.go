package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coder/websocket"
)

// inboundIdle closes an accepted link on which the peer sends nothing, not even pings.
const inboundIdle = 5 * time.Second

// inbound is a link that another process has dialled.
type inbound struct {
	hub    *Hub
	conn   *websocket.Conn
	from   string
	ctx    context.Context
	cancel context.CancelFunc
	out    chan *Frame

	mu      sync.Mutex
	working map[uint64]context.CancelFunc
}

func newInbound(h *Hub, c *websocket.Conn) *inbound {
	in := &inbound{hub: h, conn: c, out: make(chan *Frame, queueLength), working: map[uint64]context.CancelFunc{}}
	in.ctx, in.cancel = context.WithCancel(h.ctx)
	return in
}

// run serves the link until it breaks.
func (in *inbound) run() {
	defer func() { _ = in.conn.CloseNow() }()
	defer in.cancel()
	if err := in.greet(); err != nil {
		in.hub.cfg.Log.Warn("peer link refused", "error", err)
		return
	}
	var wg sync.WaitGroup
	wg.Go(in.writeLoop)
	in.hub.greeted(in)
	err := in.readLoop()
	if in.ctx.Err() == nil {
		in.hub.cfg.Log.Info("peer link closed", "peer", in.from, "reason", err)
	}
	in.cancel()
	_ = in.conn.CloseNow()
	wg.Wait()
}

func (in *inbound) greet() error {
	ctx, cancel := context.WithTimeout(in.ctx, helloTimeout)
	defer cancel()
	f, err := read(ctx, in.conn)
	if err != nil {
		return err
	}
	if f.Hello == nil || f.Hello.Version != Version || f.Hello.VM == "" {
		return fmt.Errorf("expected hello of version %d", Version)
	}
	in.from = f.Hello.VM
	return in.hub.write(ctx, in.conn, Frame{Hello: &in.hub.cfg.Self})
}

func (in *inbound) writeLoop() {
	defer in.cancel()
	for {
		select {
		case <-in.ctx.Done():
			return
		case f := <-in.out:
			ctx, cancel := context.WithTimeout(in.ctx, in.hub.cfg.Silence)
			err := in.hub.write(ctx, in.conn, *f)
			cancel()
			if err != nil {
				_ = in.conn.CloseNow()
				return
			}
		}
	}
}

// reply queues a reply. A peer that does not read loses its link, so that it can't hold up others.
func (in *inbound) reply(f Frame) bool {
	select {
	case in.out <- &f:
		return true
	case <-in.ctx.Done():
	default:
		in.cancel()
	}
	return false
}

func (in *inbound) readLoop() error {
	for {
		ctx, cancel := context.WithTimeout(in.ctx, inboundIdle)
		f, err := read(ctx, in.conn)
		cancel()
		if err != nil {
			return err
		}
		in.handle(f)
	}
}

func (in *inbound) handle(f Frame) {
	h := in.hub.cfg.Handler
	switch {
	case f.Ping != nil:
		p := h.Ping(in.from, *f.Ping)
		in.reply(Frame{Pong: &p})
	case f.Work != nil:
		in.work(*f.Work)
	case f.Cancel != nil:
		in.stop(f.Cancel.ID)
	case f.Order != nil:
		id := f.Order.ID
		h.Order(in.from, *f.Order, func(r OrderReply) {
			r.ID = id
			in.reply(Frame{OrderReply: &r})
		})
	case f.Document != nil:
		h.Document(in.from, *f.Document)
	case f.Request != nil:
		h.Request(in.from, *f.Request)
	case f.TargetNote != nil:
		h.TargetNote(in.from, *f.TargetNote)
	case f.Crash != nil:
		h.Crash(in.from, *f.Crash)
	case f.Success != nil:
		h.Success(in.from, *f.Success)
	case f.Survived != nil:
		h.Survived(in.from, *f.Survived)
	case f.Quarantine != nil:
		h.Quarantine(in.from, *f.Quarantine)
	case f.Leaving != nil:
		h.Leaving(in.from, *f.Leaving)
	case f.Crew != nil:
		h.Crew(in.from, *f.Crew)
	case f.Pauses != nil:
		h.Pauses(in.from, *f.Pauses)
	case f.Unlink != nil:
		h.Unlinked(in.from)
	case f.Departures != nil:
		h.Departures(in.from, *f.Departures)
	case f.Sync != nil:
		id := f.Sync.ID
		h.Sync(in.from, *f.Sync, func(r SyncReply) {
			r.ID = id
			in.reply(Frame{SyncReply: &r})
		})
	}
}

func (in *inbound) work(w Work) {
	ctx, cancel := context.WithCancel(in.ctx)
	in.mu.Lock()
	in.working[w.ID] = cancel
	in.mu.Unlock()
	in.hub.cfg.Handler.Work(ctx, in.from, w, func(r WorkReply) {
		in.stop(w.ID)
		r.ID = w.ID
		in.reply(Frame{WorkReply: &r})
	})
}

func (in *inbound) stop(id uint64) {
	in.mu.Lock()
	cancel := in.working[id]
	delete(in.working, id)
	in.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
