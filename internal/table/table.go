// Package table is the routing table: it holds the operator's configuration and the known targets, and selects the route of
// a request.
//
// # Usage
//
//	rt := table.New()
//	rt.SetConfig(cfg)                // ignored unless its version is newer
//	rt.SetTarget(t)                  // the published document of a target has been read
//	rt.RemoveTarget(id)              // the published document of a target has been removed
//	rt.SetExcluded("dc-a", true)     // the operator has evacuated a data centre
//	rt.RecordDeparture(d)            // a target has announced in a reply that it is leaving
//	view := rt.View()                // immutable, for the goroutines that serve requests
//	route, ok := view.Match("desk.example", "/stock/7")
//	for _, t := range view.Targets("desk-01") { ... }
//
// Each target publishes a document about itself. A target that has announced in a reply that it is leaving has departed: it
// gets no new requests, whatever its document says, and even if the document is removed and written again. A document with a
// later start time describes a new incarnation of the target, which gets requests again. A target is listed if its document
// is known.
//
// A Table is not safe for concurrent use. Its owner publishes a new View after each change.
package table

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind tells whether a request of a route may run more than once.
type Kind uint8

// Kinds of routes.
const (
	Unsafe Kind = iota // a request may run at most once
	Safe               // a request may run more than once
)

// WeightedService is one service of a weighted traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Route defines how requests with a host and path prefix are forwarded.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration     // time within which a request must have its final response; 0 for no limit
	LatencyGoal time.Duration     // latency goal: a response within this time has its full value to the caller; 0 for none
	MaxAttempts int               // maximum number of targets of one service to which one request is sent
	Priority    int               // 0 is the most urgent
	Split       []WeightedService // services that share the requests, one if they aren't split; empty for a gather route
	Gather      []string          // services of a gather route, each of which holds one shard; empty for other routes
	MaxRecords  int               // maximum number of records in the response of a gather route
	MinCoverage float64           // minimum share of the shards, from 0 to 1, that a successful response of a gather route covers
}

// Service is a group of interchangeable targets.
type Service struct {
	Name                    string
	HealthPath              string
	MaxConnections          int           // maximum number of connections to each target from the whole fleet; 0 if not set
	WarmupDuration          time.Duration // time for which a target warms up after its start
	WarmupRequestsPerSecond float64       // maximum rate of requests to each cold target from the whole fleet; 0 if not set
}

// Limits holds the limits for the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration // time in which the header of a request must arrive
	IdleTimeout    time.Duration // time for which a connection may stay open without a request
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Target is one incarnation of a target, as described by its published document.
type Target struct {
	ID         string
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool          // whether the target only finishes its running requests and accepts no new ones
	WarmupLeft time.Duration // remaining warm-up time when the document was written
	Started    time.Time     // start of the incarnation; zero if unknown
}

// Departure records that one incarnation of a target has announced in a reply that it is leaving.
type Departure struct {
	Target  string
	Started time.Time // start of the incarnation; zero if unknown
}

// maxDepartures is the number of departures above which those of unlisted targets are deleted. A fleet of 11,000 targets
// replaces fewer targets in an hour.
const maxDepartures = 4096

// Table is the mutable routing table. Use New.
type Table struct {
	config         *Config
	targets        map[string]Target
	excluded       map[string]bool      // data centres whose targets get no new requests
	departedStarts map[string]time.Time // start of the latest incarnation that has departed, by target ID
	view           *View                // last result of View; nil if the table has changed since
}

// New returns an empty routing table without a configuration.
func New() *Table {
	return &Table{targets: map[string]Target{}, excluded: map[string]bool{}, departedStarts: map[string]time.Time{}}
}

// SetConfig replaces the configuration. It does nothing and returns false unless the version is newer than the current one.
func (rt *Table) SetConfig(c Config) bool {
	if rt.config != nil && c.Version <= rt.config.Version {
		return false
	}
	rt.config = &c
	rt.view = nil
	return true
}

// SetTarget adds a target or replaces the one with the same ID.
func (rt *Table) SetTarget(t Target) {
	rt.targets[t.ID] = t
	rt.view = nil
}

// RemoveTarget removes the target with an ID.
func (rt *Table) RemoveTarget(id string) {
	delete(rt.targets, id)
	rt.view = nil
}

// Target returns the target with an ID.
func (rt *Table) Target(id string) (Target, bool) {
	t, ok := rt.targets[id]
	return t, ok
}

// RecordDeparture records a departure, after which the target gets no new requests. It does nothing and returns false if the
// departure of this or a later incarnation is already recorded, or if a later incarnation of the target is listed.
func (rt *Table) RecordDeparture(d Departure) bool {
	if started, ok := rt.departedStarts[d.Target]; ok && !d.Started.After(started) {
		return false
	}
	if t, ok := rt.targets[d.Target]; ok && t.Started.After(d.Started) {
		return false
	}
	if len(rt.departedStarts) >= maxDepartures {
		maps.DeleteFunc(rt.departedStarts, func(id string, _ time.Time) bool {
			_, listed := rt.targets[id]
			return !listed
		})
	}
	rt.departedStarts[d.Target] = d.Started
	rt.view = nil
	return true
}

// HasDeparted reports whether this or a later incarnation of a target has departed.
func (rt *Table) HasDeparted(t Target) bool { return hasDeparted(rt.departedStarts, &t) }

// hasDeparted reports whether departedStarts holds the departure of this or a later incarnation of a target.
func hasDeparted(departedStarts map[string]time.Time, t *Target) bool {
	started, ok := departedStarts[t.ID]
	return ok && !t.Started.After(started)
}

// Departures returns all recorded departures in no particular order.
func (rt *Table) Departures() []Departure {
	out := make([]Departure, 0, len(rt.departedStarts))
	for id, started := range rt.departedStarts {
		out = append(out, Departure{id, started})
	}
	return out
}

// SetExcluded excludes the targets of a data centre from new requests if excluded is true, and includes them again otherwise.
func (rt *Table) SetExcluded(dataCentre string, excluded bool) {
	if excluded {
		rt.excluded[dataCentre] = true
	} else {
		delete(rt.excluded, dataCentre)
	}
	rt.view = nil
}

// View returns an immutable snapshot of the table. It returns the same snapshot until the table changes.
func (rt *Table) View() *View {
	if rt.view != nil {
		return rt.view
	}
	v := &View{routesByHost: map[string][]*Route{}, services: map[string]Service{}, targets: map[string][]*Target{}, knownIDs: map[string]bool{}, routeNames: map[string]bool{}, departedStarts: maps.Clone(rt.departedStarts)}
	for _, t := range rt.targets {
		if rt.HasDeparted(t) {
			continue
		}
		v.knownIDs[t.ID] = true
		if t.Leaving || rt.excluded[t.DataCentre] {
			continue
		}
		v.targets[t.Service] = append(v.targets[t.Service], &t)
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(x, y *Target) int { return strings.Compare(x.ID, y.ID) })
	}
	if rt.config != nil {
		v.Config = rt.config
		for i := range rt.config.Routes {
			r := &rt.config.Routes[i]
			v.routesByHost[r.Host] = append(v.routesByHost[r.Host], r)
			v.routeNames[r.Name] = true
		}
		for _, routes := range v.routesByHost {
			slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
		}
		for _, s := range rt.config.Services {
			v.services[s.Name] = s
		}
		v.minShardConnections = v.findMinShardConnections()
		v.shardCount = v.countShards()
	}
	rt.view = v
	return v
}

// View is an immutable snapshot of a Table.
type View struct {
	Config         *Config             // nil while there is no configuration
	routesByHost   map[string][]*Route // routes by host, longest prefix first
	services       map[string]Service
	targets        map[string][]*Target // targets that accept new requests, by service
	knownIDs       map[string]bool      // IDs of all listed targets that haven't departed
	routeNames     map[string]bool      // names of all routes
	departedStarts map[string]time.Time // copy of Table.departedStarts

	minShardConnections int // see MinShardConnections
	shardCount          int // see ShardCount
}

// Match returns the route of the host whose prefix is the longest prefix of the path.
func (v *View) Match(host, path string) (*Route, bool) {
	for _, r := range v.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the configuration of a service; the zero value if there is none.
func (v *View) Service(name string) Service { return v.services[name] }

// MinShardConnections returns the lowest Service.MaxConnections among the services of gather routes that have such a limit;
// 0 if none has one.
func (v *View) MinShardConnections() int { return v.minShardConnections }

// ShardCount returns the number of different services of all gather routes.
func (v *View) ShardCount() int { return v.shardCount }

// countShards computes the result of ShardCount.
func (v *View) countShards() int {
	services := map[string]bool{}
	for i := range v.Config.Routes {
		for _, service := range v.Config.Routes[i].Gather {
			services[service] = true
		}
	}
	return len(services)
}

// findMinShardConnections computes the result of MinShardConnections.
func (v *View) findMinShardConnections() int {
	lowest := 0
	for i := range v.Config.Routes {
		for _, service := range v.Config.Routes[i].Gather {
			if n := v.services[service].MaxConnections; n > 0 && (lowest == 0 || n < lowest) {
				lowest = n
			}
		}
	}
	return lowest
}

// Targets returns the targets of a service that accept new requests, sorted by ID. The slice must not be changed.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// HasDeparted reports whether this or a later incarnation of a target has departed. The target need not be listed.
func (v *View) HasDeparted(t *Target) bool { return hasDeparted(v.departedStarts, t) }

// HasRoute reports whether the current configuration has a route with this name.
func (v *View) HasRoute(name string) bool { return v.routeNames[name] }

// HasTarget reports whether the target is listed and hasn't departed. Its document may say that it is leaving, and its data
// centre may be excluded.
func (v *View) HasTarget(id string) bool { return v.knownIDs[id] }
