package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait to be written: 1,024 lines of 300 bytes take 300 KB.
const maxQueuedLines = 1024

// flushTimeout bounds the time that the close function waits for the queued lines to be written.
const flushTimeout = 200 * time.Millisecond

// Async is a writer that never blocks on its output: writes are queued, or dropped if the queue is full. NewAsync returns
// one.
type Async struct {
	out        io.Writer
	lines      chan []byte
	writerDone chan struct{}
	dropped    atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

// NewAsync returns a writer that passes each write to out on another goroutine, and a close function that waits up to
// flushTimeout until the queued writes are done.
func NewAsync(out io.Writer) (*Async, func()) {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), writerDone: make(chan struct{})}
	go a.loop()
	return a, a.close
}

// Write queues a copy of p, or drops p if the queue is full or the writer is closed. It never returns an error.
func (a *Async) Write(p []byte) (int, error) {
	a.mu.RLock()
	defer a.mu.RUnlock()
	if a.closed {
		a.dropped.Add(1)
		return len(p), nil
	}
	select {
	case a.lines <- append([]byte(nil), p...):
	default:
		a.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of writes that were dropped because the queue was full, the writer was closed or the output
// failed.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

// loop writes queued lines to the output until the queue is closed and empty.
func (a *Async) loop() {
	defer close(a.writerDone)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			// The error can't be logged, since the output is the log itself.
			a.dropped.Add(1)
		}
	}
}

// close closes the queue and waits up to flushTimeout until the queued lines are written.
func (a *Async) close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.writerDone:
	case <-time.After(flushTimeout):
	}
}
