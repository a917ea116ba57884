package emul

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// defaultCallsPerSecond is the default of Platform.Budget.
const defaultCallsPerSecond = 2000

// Platform is a stand-in for the configuration service of the platform. Exported fields are set before the first request.
type Platform struct {
	Latency time.Duration // delay of every call within the budget, in addition to the wait of a watch
	Budget  int           // calls per second of all readers together, above which calls get status 429; 0: 2000

	mu              sync.Mutex
	initialized     bool
	limiter         *rate.Limiter
	docs            map[string][]plat.Document // by key; revision n is at index n-1
	changed         chan struct{}              // closed and replaced at every change
	down            bool
	revisionsBehind uint64 // set by SetRevisionsBehind
	counts          PlatformCounts
	currentSecond   time.Time // start of the clock second in which the newest call arrived
	callsInSecond   int       // calls that have arrived since currentSecond
}

// PlatformCounts holds the totals of the calls to a Platform. A watch counts as one call, however long it waits. Reads,
// Watches and PeakCallsPerSecond include calls that were rejected or failed.
type PlatformCounts struct {
	Reads              int `json:"reads"`
	Watches            int `json:"watches"`
	Rejected           int `json:"rejected"`     // calls above the budget
	Failed             int `json:"failed"`       // calls that arrived while the platform was down
	PeakCallsPerSecond int `json:"peak_second"`  // most calls that arrived within one clock second
	Published          int `json:"publications"` // published revisions of all keys
}

// lock locks mu and sets the defaults at the first call.
func (p *Platform) lock() {
	p.mu.Lock()
	if p.initialized {
		return
	}
	p.initialized = true
	if p.Budget <= 0 {
		p.Budget = defaultCallsPerSecond
	}
	p.limiter = rate.NewLimiter(rate.Limit(p.Budget), p.Budget)
	p.docs = map[string][]plat.Document{}
	p.changed = make(chan struct{})
}

// notifyWatches makes all waiting watches check the state of the platform again. The caller holds mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish stores the value as the next revision of the key and returns that revision.
func (p *Platform) Publish(key string, value []byte) (uint64, error) {
	if len(value) > plat.MaxValue {
		return 0, fmt.Errorf("publish %s: %d bytes exceed the limit of %d", key, len(value), plat.MaxValue)
	}
	p.lock()
	defer p.mu.Unlock()
	revision := uint64(len(p.docs[key])) + 1
	p.docs[key] = append(p.docs[key], plat.Document{Key: key, Revision: revision, Value: slices.Clone(value)})
	p.counts.Published++
	p.notifyWatches()
	return revision, nil
}

// History returns all revisions of the key, the oldest first.
func (p *Platform) History(key string) []plat.Document {
	p.lock()
	defer p.mu.Unlock()
	return slices.Clone(p.docs[key])
}

// SetDown with the argument true breaks the connection of every call, including waiting watches, until SetDown(false).
func (p *Platform) SetDown(down bool) {
	p.lock()
	defer p.mu.Unlock()
	p.down = down
	p.notifyWatches()
}

// SetRevisionsBehind makes all calls return an older revision than the newest one, by the given number of revisions, but at
// least the first revision. SetRevisionsBehind(0) ends the fault.
func (p *Platform) SetRevisionsBehind(behind uint64) {
	p.lock()
	defer p.mu.Unlock()
	p.revisionsBehind = behind
	p.notifyWatches()
}

// Counts returns the totals of all calls.
func (p *Platform) Counts() PlatformCounts {
	p.lock()
	defer p.mu.Unlock()
	return p.counts
}

// Serve accepts connections from l until the returned function is called. The returned function closes all connections.
func (p *Platform) Serve(l net.Listener) func() { return serve(&http.Server{Handler: p}, l) }

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Path == plat.PathWatch
	if r.Method != http.MethodGet || !watch && r.URL.Path != plat.PathRead {
		http.NotFound(w, r)
		return
	}
	if !p.admit(watch) {
		http.Error(w, "read budget exhausted", http.StatusTooManyRequests)
		return
	}
	if !sleep(p.Latency, r.Context().Done()) {
		return
	}
	q := r.URL.Query()
	key := q.Get("key")
	if !watch {
		doc, found, _ := p.currentDocument(key)
		p.writeDocument(w, doc, found, http.StatusNotFound)
		return
	}
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, errWait := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	doc, found := p.awaitRevision(r, key, after, time.Duration(waitMS)*time.Millisecond)
	p.writeDocument(w, doc, found, http.StatusNoContent)
}

// admit counts the call and reports whether the call is within the budget. While the platform is down, admit breaks the
// connection of the call by a panic with http.ErrAbortHandler.
func (p *Platform) admit(watch bool) bool {
	p.lock()
	defer p.mu.Unlock()
	now := time.Now()
	if second := now.Truncate(time.Second); !second.Equal(p.currentSecond) {
		p.currentSecond, p.callsInSecond = second, 0
	}
	p.callsInSecond++
	p.counts.PeakCallsPerSecond = max(p.counts.PeakCallsPerSecond, p.callsInSecond)
	if watch {
		p.counts.Watches++
	} else {
		p.counts.Reads++
	}
	if p.down {
		p.counts.Failed++
		panic(http.ErrAbortHandler)
	}
	if !p.limiter.AllowN(now, 1) {
		p.counts.Rejected++
		return false
	}
	return true
}

// currentDocument returns the revision of the document that calls get now, and a channel that is closed at the next change.
// While the platform is down, currentDocument breaks the connection of the call by a panic with http.ErrAbortHandler.
func (p *Platform) currentDocument(key string) (doc plat.Document, found bool, changed chan struct{}) {
	p.lock()
	defer p.mu.Unlock()
	if p.down {
		panic(http.ErrAbortHandler)
	}
	all := p.docs[key]
	if len(all) == 0 {
		return plat.Document{}, false, p.changed
	}
	behind := min(p.revisionsBehind, uint64(len(all))-1)
	return all[uint64(len(all))-1-behind], true, p.changed
}

// awaitRevision waits until the current revision of the key differs from after, and returns the document in that revision. It
// returns false when the wait time has passed or the client has disconnected.
func (p *Platform) awaitRevision(r *http.Request, key string, after uint64, wait time.Duration) (plat.Document, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		doc, found, changed := p.currentDocument(key)
		if found && doc.Revision != after {
			return doc, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return plat.Document{}, false
		case <-r.Context().Done():
			return plat.Document{}, false
		}
	}
}

// writeDocument sends the document, or the status missingStatus if there is none.
func (p *Platform) writeDocument(w http.ResponseWriter, doc plat.Document, found bool, missingStatus int) {
	if !found {
		w.WriteHeader(missingStatus)
		return
	}
	writeJSON(w, http.StatusOK, doc)
}
