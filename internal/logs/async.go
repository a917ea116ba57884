package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines bounds the lines that wait for the output; with lines of 300 bytes they take 300 KB.
const maxQueuedLines = 1024

// flushTimeout bounds how long closing waits for an output that doesn't take anything.
const flushTimeout = 200 * time.Millisecond

// Async is a writer that never blocks. Use NewAsync.
type Async struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64

	mu     sync.RWMutex
	closed bool
}

// NewAsync returns a writer that hands whole writes to out in the background, and a function that writes what is
// left.
func NewAsync(out io.Writer) (*Async, func()) {
	a := &Async{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go a.writeLoop()
	return a, a.close
}

// Write queues a copy of p, or drops it if the queue is full. It never fails.
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

// Dropped returns the number of writes that found the queue full.
func (a *Async) Dropped() uint64 { return a.dropped.Load() }

func (a *Async) writeLoop() {
	defer close(a.done)
	for line := range a.lines {
		if _, err := a.out.Write(line); err != nil {
			// Nobody reads the output any more; there is no place left to say so.
			a.dropped.Add(1)
		}
	}
}

func (a *Async) close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
