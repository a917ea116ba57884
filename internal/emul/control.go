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
	PathControl = "/control" // POST Command
	PathCounts  = "/counts"  // GET -> CountsReport
	PathRuns    = "/runs"    // GET ?target= -> RunsReport
)

// maxCommandBytes is the largest command body, in bytes: a value of the platform in JSON.
const maxCommandBytes = 2 * plat.MaxValue

// Action names what a Command does.
type Action string

// Actions on targets. All but Publish, PlatformDown and PlatformStale apply to the target that the command
// names, or to every target if it names none.
const (
	ActDrain         Action = "drain"          // on
	ActFallCold      Action = "fall_cold"      //
	ActCrash         Action = "crash"          //
	ActStraggle      Action = "straggle"       // factor
	ActSilence       Action = "silence"        //
	ActTruncate      Action = "truncate"       // n bytes
	ActPartialParts  Action = "partial_parts"  // factor 0..1
	ActPoison        Action = "poison"         // texts
	ActWrongIDs      Action = "wrong_ids"      // n replies
	ActLieHealth     Action = "lie_health"     // stamp, absent: tell the truth
	ActLagHealth     Action = "lag_health"     // n milliseconds
	ActHoldings      Action = "holdings"       // holdings
	ActPublish       Action = "publish"        // key, value
	ActPlatformDown  Action = "platform_down"  // on
	ActPlatformStale Action = "platform_stale" // n revisions
)

// Command is the body of POST /control.
type Command struct {
	Action   Action        `json:"action"`
	Target   string        `json:"target,omitempty"`
	On       bool          `json:"on,omitempty"`
	N        int           `json:"n,omitempty"`
	Factor   float64       `json:"factor,omitempty"`
	Texts    []string      `json:"texts,omitempty"`
	Stamp    *target.Stamp `json:"stamp,omitempty"`
	Holdings []Holding     `json:"holdings,omitempty"`
	Key      string        `json:"key,omitempty"`
	Value    string        `json:"value,omitempty"`
}

// CountsReport answers GET /counts.
type CountsReport struct {
	Platform *PlatformCounts   `json:"platform,omitempty"`
	Targets  map[string]Counts `json:"targets"`
}

// RunsReport answers GET /runs.
type RunsReport struct {
	Runs      []Run          `json:"runs"`
	Overloads []Overload     `json:"overloads"`
	Orders    map[string]int `json:"orders"` // runs by token
}

// Control is the handler of the control listener. Platform may be nil.
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
		if err := c.Do(cmd); err != nil {
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

// Do executes one command.
func (c *Control) Do(cmd Command) error {
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

func (c *Control) executePlatform(cmd Command) error {
	switch {
	case c.Platform == nil:
		return fmt.Errorf("%s: this process runs no platform", cmd.Action)
	case cmd.N < 0:
		return fmt.Errorf("%s: n is negative", cmd.Action)
	case cmd.Action == ActPlatformDown:
		c.Platform.SetDown(cmd.On)
	case cmd.Action == ActPlatformStale:
		c.Platform.SetStale(uint64(cmd.N))
	case !slices.Contains(plat.Keys, cmd.Key):
		return fmt.Errorf("publish: key %q, expected one of %v", cmd.Key, plat.Keys)
	default:
		_, err := c.Platform.Publish(cmd.Key, []byte(cmd.Value))
		return err
	}
	return nil
}

func (t *Target) execute(cmd Command) error {
	switch cmd.Action {
	case ActDrain:
		t.Drain(cmd.On)
	case ActFallCold:
		t.FallCold()
	case ActCrash:
		t.Crash()
	case ActStraggle:
		t.Straggle(cmd.Factor)
	case ActSilence:
		t.Silence()
	case ActTruncate:
		t.Truncate(cmd.N)
	case ActPartialParts:
		t.PartialParts(cmd.Factor)
	case ActPoison:
		t.Poison(cmd.Texts...)
	case ActWrongIDs:
		t.WrongIDs(max(cmd.N, 0))
	case ActLieHealth:
		t.LieHealth(cmd.Stamp)
	case ActLagHealth:
		t.LagHealth(time.Duration(cmd.N) * time.Millisecond)
	case ActHoldings:
		t.SetHoldings(cmd.Holdings...)
	default:
		return fmt.Errorf("unknown action %q", cmd.Action)
	}
	return nil
}
