package emul

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// Paths of the control listener.
const (
	PathControl = "/control" // POST with a Command as body
	PathCounts  = "/counts"  // GET, answered with a CountsReport
	PathRuns    = "/runs"    // GET with ?target=ID, answered with a RunsReport
)

// maxCommandBytes is the largest size of a command body. The largest command publishes a value of plat.MaxValue bytes, which
// takes more bytes as a JSON string.
const maxCommandBytes = 2 * plat.MaxValue

// Action is what a Command does: it sets or ends a fault, or publishes a document.
type Action string

// Actions of a Command. The comment after each action names the fields of Command that the action reads. ActPublish,
// ActPlatformDown and ActPlatformStale apply to the platform. All others apply to the target that the command names, or to
// every target of the process if the command names none.
const (
	ActDrain                Action = "drain"          // On
	ActStartColdIncarnation Action = "fall_cold"      // none
	ActCrash                Action = "crash"          // none
	ActServiceTimeFactor    Action = "straggle"       // Factor
	ActDropOpenConns        Action = "silence"        // none
	ActTruncate             Action = "truncate"       // N, in bytes
	ActDocumentShare        Action = "partial_parts"  // Factor, 0..1
	ActCrashTexts           Action = "poison"         // Texts
	ActWrongIDs             Action = "wrong_ids"      // N, a number of replies
	ActHealthStamp          Action = "lie_health"     // Stamp; without it, the health page shows the true stamp
	ActHealthLag            Action = "lag_health"     // N, in milliseconds
	ActHoldings             Action = "holdings"       // Holdings
	ActPublish              Action = "publish"        // Key, Value
	ActPlatformDown         Action = "platform_down"  // On
	ActPlatformStale        Action = "platform_stale" // N, a number of revisions
)

// Command is the body of POST /control. Each action reads only the fields that the comment after its constant names, and
// Target.
type Command struct {
	Action   Action         `json:"action"`
	Target   string         `json:"target,omitempty"`
	On       bool           `json:"on,omitempty"`
	N        int            `json:"n,omitempty"`
	Factor   float64        `json:"factor,omitempty"`
	Texts    []string       `json:"texts,omitempty"`
	Stamp    *target.Stamp  `json:"stamp,omitempty"`
	Holdings []HeldSnapshot `json:"holdings,omitempty"`
	Key      string         `json:"key,omitempty"`
	Value    string         `json:"value,omitempty"`
}

// CountsReport is the answer to GET /counts. Targets holds the totals by target id.
type CountsReport struct {
	Platform *PlatformCounts   `json:"platform,omitempty"`
	Targets  map[string]Counts `json:"targets"`
}

// RunsReport is the answer to GET /runs: the log of one target.
type RunsReport struct {
	Runs      []Execution    `json:"runs"`
	Overloads []Overload     `json:"overloads"`
	Orders    map[string]int `json:"orders"` // started orders by token
}

// Control is the HTTP handler of the control listener. Platform may be nil; Targets holds the targets by id.
type Control struct {
	Platform *Platform
	Targets  map[string]*Target
}

// ServeHTTP implements http.Handler.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == PathControl:
		var cmd Command
		if err := json.NewDecoder(io.LimitReader(r.Body, maxCommandBytes)).Decode(&cmd); err != nil {
			http.Error(w, fmt.Sprintf("decode command: %v", err), http.StatusBadRequest)
			return
		}
		if err := c.Execute(cmd); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodGet && r.URL.Path == PathCounts:
		writeJSON(w, http.StatusOK, c.countsReport())
	case r.Method == http.MethodGet && r.URL.Path == PathRuns:
		t := c.Targets[r.URL.Query().Get("target")]
		if t == nil {
			http.Error(w, "no such target", http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, RunsReport{Runs: t.Runs(), Overloads: t.Overloads(), Orders: t.OrdersByToken()})
	default:
		http.NotFound(w, r)
	}
}

// countsReport returns the totals of the platform and of all targets.
func (c *Control) countsReport() CountsReport {
	report := CountsReport{Targets: make(map[string]Counts, len(c.Targets))}
	if c.Platform != nil {
		counts := c.Platform.Counts()
		report.Platform = &counts
	}
	for id, t := range c.Targets {
		report.Targets[id] = t.Counts()
	}
	return report
}

// Execute executes one command. It stops at the first target that returns an error.
func (c *Control) Execute(cmd Command) error {
	switch cmd.Action {
	case ActPublish, ActPlatformDown, ActPlatformStale:
		return c.executePlatform(cmd)
	}
	ids := []string{cmd.Target}
	if cmd.Target == "" {
		ids = slices.Sorted(maps.Keys(c.Targets))
	}
	for _, id := range ids {
		t := c.Targets[id]
		if t == nil {
			return fmt.Errorf("no target %q", id)
		}
		if err := t.execute(cmd); err != nil {
			return err
		}
	}
	return nil
}

// executePlatform executes a command whose action applies to the platform.
func (c *Control) executePlatform(cmd Command) error {
	switch {
	case c.Platform == nil:
		return fmt.Errorf("%s: this process runs no platform", cmd.Action)
	case cmd.N < 0:
		return fmt.Errorf("%s: n is negative", cmd.Action)
	case cmd.Action == ActPlatformDown:
		c.Platform.SetDown(cmd.On)
	case cmd.Action == ActPlatformStale:
		c.Platform.SetRevisionsBehind(uint64(cmd.N))
	case !slices.Contains(plat.Keys, cmd.Key):
		return fmt.Errorf("publish: key %q, expected one of %v", cmd.Key, plat.Keys)
	default:
		_, err := c.Platform.Publish(cmd.Key, []byte(cmd.Value))
		return err
	}
	return nil
}

// execute executes a command whose action applies to targets.
func (t *Target) execute(cmd Command) error {
	switch cmd.Action {
	case ActDrain:
		t.SetDraining(cmd.On)
	case ActStartColdIncarnation:
		t.StartColdIncarnation()
	case ActCrash:
		t.Crash()
	case ActServiceTimeFactor:
		t.SetServiceTimeFactor(cmd.Factor)
	case ActDropOpenConns:
		t.DropOpenConns()
	case ActTruncate:
		t.SetTruncateAfter(cmd.N)
	case ActDocumentShare:
		t.SetDocumentShare(cmd.Factor)
	case ActCrashTexts:
		t.SetCrashTexts(cmd.Texts...)
	case ActWrongIDs:
		t.SetWrongIDs(max(cmd.N, 0))
	case ActHealthStamp:
		t.SetHealthStamp(cmd.Stamp)
	case ActHealthLag:
		t.SetHealthLag(time.Duration(cmd.N) * time.Millisecond)
	case ActHoldings:
		t.SetHoldings(cmd.Holdings...)
	default:
		return fmt.Errorf("unknown action %q", cmd.Action)
	}
	return nil
}
