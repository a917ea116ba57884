package slope

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/bits"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Overlay is the rule by which an entry process chooses its neighbours for gossip.
type Overlay string

// Overlays.
const (
	Mesh    Overlay = "mesh"    // every process is a neighbour of every other
	Bounded Overlay = "bounded" // about log2(n)+2 neighbours in a fleet of n processes
)

// Durations and limits of MeasureControl.
const (
	// defaultIdleTime is the interval at which processes repeat an unchanged target status to their peers, so that the idle
	// phase contains these repetitions.
	defaultIdleTime    = 10 * time.Second
	startLimit         = 20 * time.Second // limit of the time until every process holds the first rules
	propagationLimit   = 10 * time.Second // limit of the time until every process holds a new revision of the rules
	propagationRepeats = 5                // revisions published one after the other
	settleTime         = 3 * time.Second  // wait between the start and the idle phase
	meshLimit          = 1 << 20          // FullMeshLimit for the overlay Mesh, larger than any fleet that is measured
)

// Budgets for the control traffic of one entry process at full size, from docs/design.md section 1.7.
const (
	fullSizeNodes     = 1800      // entry processes of the fleet at full size
	budgetCore        = 0.043     // of a core
	budgetHeap        = 128 << 20 // bytes
	budgetBytes       = 9000      // per second, sent
	budgetPropagation = 3.0       // seconds
	budgetCalls       = 200.0     // platform calls per second of the whole fleet
)

// ControlOptions configures MeasureControl. A zero IdleTime takes its default.
type ControlOptions struct {
	Sizes          []int // numbers of entry processes
	Overlay        Overlay
	TargetsPerNode int
	IdleTime       time.Duration // length of the idle phase
}

// ControlRow holds the figures of one fleet size, which are means per node unless stated otherwise. A node is an entry
// process.
type ControlRow struct {
	Overlay            Overlay
	Nodes              int
	Targets            int     // of the whole fleet
	CPU                float64 // processor time per second
	Bytes              float64 // sent on peer links per second
	Messages           float64 // sent on peer links per second
	Heap               float64 // bytes of live heap
	Goroutines         float64
	PlatformCalls      float64   // platform calls per second of the whole fleet
	UsableTargets      float64   // share of the targets that have a dispatcher which the node can reach
	MayGrow            float64   // share of the nodes whose capacity shares may grow
	Addresses          float64   // entries of the address list that a node gives to callers
	PropagationSeconds []float64 // seconds from publishing a revision of the rules until every node holds it, sorted
}

// MeasureControl measures the control traffic of idle fleets of the given sizes, one after the other.
func MeasureControl(ctx context.Context, opt ControlOptions) ([]ControlRow, error) {
	opt.IdleTime = cmp.Or(opt.IdleTime, defaultIdleTime)
	var rows []ControlRow
	for _, n := range opt.Sizes {
		row, err := measureFleet(ctx, n, opt)
		if err != nil {
			return rows, fmt.Errorf("%s with %d nodes: %w", opt.Overlay, n, err)
		}
		rows = append(rows, row)
	}
	return rows, nil
}

// measureFleet starts and measures an idle fleet of n entry processes. It then publishes new revisions of the rules and
// measures how long each takes to reach all processes.
func measureFleet(ctx context.Context, n int, opt ControlOptions) (ControlRow, error) {
	fullMeshLimit := meshLimit
	if opt.Overlay == Bounded {
		fullMeshLimit = 1
	}
	heapBefore, goroutinesBefore := liveHeap(), runtime.NumGoroutine()
	f, stop, err := startFleet(ctx, n, opt.TargetsPerNode, fullMeshLimit)
	if err != nil {
		return ControlRow{}, err
	}
	defer stop()
	if _, err := f.awaitRevision(ctx, 1, startLimit); err != nil {
		return ControlRow{}, err
	}
	time.Sleep(settleTime)
	row := ControlRow{Overlay: opt.Overlay, Nodes: n, Targets: n * opt.TargetsPerNode}
	if err := f.measureIdle(opt.IdleTime, &row); err != nil {
		return row, err
	}
	f.measureSnapshots(&row)
	row.Heap = (liveHeap() - heapBefore) / float64(n)
	row.Goroutines = float64(runtime.NumGoroutine()-goroutinesBefore) / float64(n)
	for range propagationRepeats {
		revision, err := f.platform.Publish(plat.KeyRules, []byte(rulesText))
		if err != nil {
			return row, err
		}
		propagationTime, err := f.awaitRevision(ctx, revision, propagationLimit)
		if err != nil {
			return row, err
		}
		row.PropagationSeconds = append(row.PropagationSeconds, propagationTime.Seconds())
		time.Sleep(200 * time.Millisecond)
	}
	slices.Sort(row.PropagationSeconds)
	return row, nil
}

// measureIdle waits for the time d and stores in row the processor time, the peer traffic and the platform calls per second
// of that time.
func (f *fleet) measureIdle(d time.Duration, row *ControlRow) error {
	before, err := usageNow()
	if err != nil {
		return err
	}
	bytes, writes, counts := f.peerTraffic.bytes.Load(), f.peerTraffic.writes.Load(), f.platform.Counts()
	time.Sleep(d)
	after, err := usageNow()
	if err != nil {
		return err
	}
	sec := after.wall.Sub(before.wall).Seconds()
	nodeSeconds := sec * float64(len(f.relays))
	row.CPU = (after.cpu - before.cpu).Seconds() / nodeSeconds
	row.Bytes = float64(f.peerTraffic.bytes.Load()-bytes) / nodeSeconds
	row.Messages = float64(f.peerTraffic.writes.Load()-writes) / nodeSeconds
	now := f.platform.Counts()
	row.PlatformCalls = float64(now.Reads+now.Watches-counts.Reads-counts.Watches) / sec
	return nil
}

// measureSnapshots stores in row the figures that it reads from the snapshots of the nodes: the share of usable targets, the
// number of addresses and the share of the nodes whose capacity shares may grow.
func (f *fleet) measureSnapshots(row *ControlRow) {
	n := float64(len(f.relays))
	for _, r := range f.relays {
		s := r.Snapshot()
		usableTargets := 0
		for _, t := range s.Targets {
			if slices.ContainsFunc(t.Dispatchers, func(id string) bool { return s.Reachable[id] }) {
				usableTargets++
			}
		}
		row.UsableTargets += float64(usableTargets) / float64(max(len(s.Targets), 1)) / n
		row.Addresses += float64(len(s.Addresses)) / n
		if time.Now().Before(s.Permission.GrowUntil) {
			row.MayGrow += 1 / n
		}
	}
}

// neighbourCount returns the number of neighbours of a node in a fleet of n nodes. In the overlay Bounded a node has 2
// neighbours on each cycle of gossip.Gossip.
func neighbourCount(o Overlay, n int) float64 {
	if o == Mesh {
		return float64(n - 1)
	}
	return float64(min(n-1, (bits.Len(uint(n-1))+3)/2*2))
}

// readerCount returns the number of nodes of a fleet of n nodes that read the platform: two in each data centre.
func readerCount(_ Overlay, n int) float64 { return float64(min(n, 2*dataCentres)) }

// WriteControl writes the rows, and for each figure the fitted line, the value of the line at full size and the budget. The
// line is a function of the number of neighbours of a node, except that of the platform calls, which is a function of the
// number of readers. The time until every node holds a revision (spread) has no line, as it grows with the number of hops.
func WriteControl(w io.Writer, rows []ControlRow) error {
	var t strings.Builder
	fmt.Fprintln(&t, "overlay\tnodes\ttargets\tcore/node\tsent B/s/node\tmsg/s/node\theap KB/node\tgoroutines/node\tplatform calls/s\tspread median s\tspread most s\tusable targets\tmay grow\taddresses")
	for _, r := range rows {
		fmt.Fprintf(&t, "%s\t%d\t%d\t%.4f\t%.0f\t%.1f\t%.0f\t%.0f\t%.1f\t%.3f\t%.3f\t%.2f\t%.2f\t%.1f\n", r.Overlay, r.Nodes, r.Targets, r.CPU, r.Bytes,
			r.Messages, r.Heap/1024, r.Goroutines, r.PlatformCalls, r.PropagationSeconds[len(r.PropagationSeconds)/2], r.PropagationSeconds[len(r.PropagationSeconds)-1], r.UsableTargets, r.MayGrow, r.Addresses)
	}
	fmt.Fprintln(&t, "\nfigure\tbase\tslope\tper\tat 1800\tbudget\treaches budget at")
	for _, figure := range []struct {
		name   string
		value  func(ControlRow) float64
		budget float64
		xUnit  string
		x      func(Overlay, int) float64 // position on the x axis for an overlay and a fleet size
	}{
		{"core/node", func(r ControlRow) float64 { return r.CPU }, budgetCore, "neighbour", neighbourCount},
		{"sent B/s/node", func(r ControlRow) float64 { return r.Bytes }, budgetBytes, "neighbour", neighbourCount},
		{"heap B/node", func(r ControlRow) float64 { return r.Heap }, budgetHeap, "neighbour", neighbourCount},
		{"platform calls/s", func(r ControlRow) float64 { return r.PlatformCalls }, budgetCalls, "reader", readerCount},
	} {
		var xs, ys []float64
		for _, r := range rows {
			xs, ys = append(xs, figure.x(r.Overlay, r.Nodes)), append(ys, figure.value(r))
		}
		line := Fit(xs, ys)
		reachedAt := "never"
		if n, ok := line.Reaches(figure.budget); ok {
			reachedAt = fmt.Sprintf("%.0f", n)
		}
		fmt.Fprintf(&t, "%s\t%.4g\t%.4g\t%s\t%.4g\t%.4g\t%s\n", figure.name, line.Base, line.Slope, figure.xUnit, line.At(figure.x(rows[0].Overlay, fullSizeNodes)), figure.budget, reachedAt)
	}
	return writeAligned(w, t.String())
}
