// Package admin is the read-only administration API of one entry process.
//
// # Usage
//
//	server.Handler = admin.Handler(admin.Config{Source: relay, Now: clk.Now, Stats: func() any { return registry.Snapshot() }})
//
// The handler answers GET requests with JSON for status, rules, members, targets and stats under /v1/admin/, and for
// /healthz. The API can't change anything: operators control the process only through the rules file.
package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/disp"
	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/internal/state"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Paths of the administration API.
const (
	PathStatus  = "/v1/admin/status"
	PathRules   = "/v1/admin/rules"
	PathMembers = "/v1/admin/members"
	PathTargets = "/v1/admin/targets"
	PathStats   = "/v1/admin/stats"
	PathHealth  = "/healthz"
)

// Source is the entry process that the API describes.
type Source interface {
	Snapshot() *state.Snapshot
	LaneStatuses() []disp.LaneStatus
	InFlight() int
}

// Config configures the handler. All fields are required.
type Config struct {
	Source Source
	Now    func() time.Time
	Stats  func() any // returns the measurements, which are encoded as JSON
}

// Status is the answer to PathStatus and PathHealth.
type Status struct {
	VM            string           `json:"vm"`
	DataCentre    string           `json:"data_centre"`
	Incarnation   uint64           `json:"incarnation"`
	Serving       bool             `json:"serving"`
	Stopping      bool             `json:"stopping"`
	MaySend       bool             `json:"may_send"`
	Reason        string           `json:"reason,omitempty"`
	EvidenceAgeMS int64            `json:"evidence_age_ms"` // -1 if there is no evidence
	Revisions     policy.Revisions `json:"revisions"`
	InFlight      int              `json:"in_flight"`
	Quarantined   []string         `json:"quarantined"`
	PrimaryOf     int              `json:"primary_of"`    // number of targets of which this process is the primary dispatcher
	WithoutShare  int              `json:"without_share"` // number of those targets that this process may not send to yet, because its share is still 0
}

// Rules is the answer to PathRules.
type Rules struct {
	Revision uint64 `json:"revision"`
	Text     string `json:"text"`
}

// Member is one entry VM in the answer to PathMembers.
type Member struct {
	VM         string     `json:"vm"`
	DataCentre string     `json:"data_centre"`
	Published  plat.State `json:"published"`
	Reachable  bool       `json:"reachable"`
	Self       bool       `json:"self"`
}

// Target is one target in the answer to PathTargets.
type Target struct {
	ID          string             `json:"id"`
	Service     string             `json:"service"`
	DataCentre  string             `json:"data_centre"`
	Slots       int                `json:"slots"`
	Dispatchers []string           `json:"dispatchers"`
	Status      state.TargetStatus `json:"note"`
	Blocked     string             `json:"blocked,omitempty"`
	RuleLine    int                `json:"rule_line,omitempty"`
	Lane        *disp.LaneStatus   `json:"lane,omitempty"` // set if this process is a dispatcher of the target
}

// Handler returns the HTTP handler of the administration API.
func Handler(cfg Config) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, currentStatus(cfg)) })
	mux.HandleFunc("GET "+PathRules, func(w http.ResponseWriter, _ *http.Request) {
		snap := cfg.Source.Snapshot()
		writeJSON(w, http.StatusOK, Rules{Revision: snap.Digest.Rules, Text: snap.Rules.String()})
	})
	mux.HandleFunc("GET "+PathMembers, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, memberList(cfg)) })
	mux.HandleFunc("GET "+PathTargets, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, targetList(cfg)) })
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, cfg.Stats()) })
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		status := currentStatus(cfg)
		code := http.StatusOK
		if !status.MaySend {
			code = http.StatusServiceUnavailable
		}
		writeJSON(w, code, status)
	})
	return mux
}

// currentStatus returns the answer to PathStatus and PathHealth.
func currentStatus(cfg Config) Status {
	snap := cfg.Source.Snapshot()
	status := Status{
		VM: snap.Self, DataCentre: snap.DataCentre, Incarnation: snap.Incarnation, Serving: snap.Serving,
		Stopping: snap.Stopping, EvidenceAgeMS: -1, Revisions: snap.Digest, InFlight: cfg.Source.InFlight(), Quarantined: []string{},
	}
	if snap.Permission.EvidenceAge >= 0 {
		status.EvidenceAgeMS = snap.Permission.EvidenceAge.Milliseconds()
	}
	if err := snap.CheckSend(cfg.Now()); err != nil {
		status.Reason = codes.Message(err)
	} else {
		status.MaySend = true
	}
	for fp := range snap.Quarantined {
		status.Quarantined = append(status.Quarantined, fmt.Sprintf("%016x", fp))
	}
	sort.Strings(status.Quarantined)
	for _, l := range cfg.Source.LaneStatuses() {
		if l.Rank != 0 {
			continue
		}
		status.PrimaryOf++
		// A level of 0 means that the target accepts no work from any process, so a share of 0 is correct.
		if l.Share == 0 && l.Level > 0 {
			status.WithoutShare++
		}
	}
	return status
}

// memberList returns the answer to PathMembers.
func memberList(cfg Config) []Member {
	snap := cfg.Source.Snapshot()
	out := []Member{}
	for _, vm := range snap.VMs {
		out = append(out, Member{
			VM: vm.ID, DataCentre: vm.DataCentre, Published: vm.State, Reachable: snap.Reachable[vm.ID], Self: vm.ID == snap.Self,
		})
	}
	return out
}

// targetList returns the answer to PathTargets, in the order of the target ids.
func targetList(cfg Config) []Target {
	snap := cfg.Source.Snapshot()
	lanes := map[string]*disp.LaneStatus{}
	for _, l := range cfg.Source.LaneStatuses() {
		lanes[l.Target] = &l
	}
	out := []Target{}
	for id, t := range snap.Targets {
		entry := Target{
			ID: id, Service: t.Service, DataCentre: t.DataCentre, Slots: t.Slots, Dispatchers: t.Dispatchers, Status: t.Status, Lane: lanes[id],
		}
		if t.Block != nil {
			entry.Blocked, entry.RuleLine = t.Block.Text, t.Block.RuleLine
		}
		out = append(out, entry)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// writeJSON writes v as indented JSON with the HTTP status code.
func writeJSON(w http.ResponseWriter, code int, v any) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, "encode answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(raw, '\n'))
}
