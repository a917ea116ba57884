// Package table holds what the operator has configured and which targets exist, and selects the route of a request.
//
// # Usage
//
//	b := table.New()
//	b.SetConfig(cfg)                // ignored unless it is newer
//	b.SetTarget(t); b.RemoveTarget(id)
//	b.Exclude("dc-a", true)         // the operator has evacuated a data centre
//	b.Depart(d)                     // a target says that it leaves, whatever its entry says
//	view := b.View()                // immutable, for traffic
//	route, ok := view.Match("desk.example", "/stock/7")
//	for _, t := range view.Targets("desk-01") { ... }
//
// A target that leaves by its own word stays out until an entry of a later start replaces it, also if its entry disappears
// and comes back in between.
//
// A Book is not safe for concurrent use; its owner publishes a new View after each change.
package table

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Kind says whether a request may run more than once.
type Kind uint8

// Kinds of routes.
const (
	Unsafe Kind = iota // may run at most once for each request
	Safe               // may run again
)

// Share is one service of a weighted split.
type Share struct {
	Service string
	Weight  float64
}

// Route says where the requests of a host and path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Kind     Kind
	Timeout  time.Duration // a request has its final answer by then; 0: unbounded
	Goal     time.Duration // an answer by then has its full value; 0: none
	Attempts int           // targets of one service that one request may be sent to
	Priority int           // 0 is the most urgent
	Split    []Share       // one entry for an undivided route; empty for a gather route
	Gather   []string      // the services that each hold one shard; empty for other routes
	Top      int           // records in the answer of a gather route
	Least    float64       // share of the shards below which a gather answer is a failure, 0..1
}

// Service is a group of targets that answer alike.
type Service struct {
	Name            string
	HealthPath      string
	Connections     int // that each target bears from the whole fleet
	WarmupFor       time.Duration
	WarmupPerSecond float64 // requests that a cold target bears from the whole fleet; 0: no bound
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int64
	BodyBytes   int64
	HeaderWait  time.Duration
	Idle        time.Duration // a kept connection may be idle for this long
}

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Target is one back end, in one incarnation.
type Target struct {
	ID         string
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	Leaving    bool          // finishes what it has and takes nothing new
	ColdFor    time.Duration // left of its warm-up when the entry was written
	Started    time.Time     // zero if unknown
}

// Departure says that a target leaves, in one incarnation.
type Departure struct {
	Target  string
	Started time.Time // zero if unknown
}

// maxDepartures bounds the departures of targets that aren't listed; a fleet of 11,000 targets replaces fewer in an hour.
const maxDepartures = 4096

// Book is the mutable state. Use New.
type Book struct {
	config   *Config
	targets  map[string]Target
	excluded map[string]bool
	departs  map[string]time.Time // start of the incarnation that leaves, by target
	view     *View
}

// New returns a book without configuration.
func New() *Book {
	return &Book{targets: map[string]Target{}, excluded: map[string]bool{}, departs: map[string]time.Time{}}
}

// SetConfig takes a configuration. It reports false if the version isn't newer than the one in force.
func (b *Book) SetConfig(c Config) bool {
	if b.config != nil && c.Version <= b.config.Version {
		return false
	}
	b.config = &c
	b.view = nil
	return true
}

// SetTarget adds a target or replaces the one with the same ID.
func (b *Book) SetTarget(t Target) {
	b.targets[t.ID] = t
	b.view = nil
}

// RemoveTarget forgets a target.
func (b *Book) RemoveTarget(id string) {
	delete(b.targets, id)
	b.view = nil
}

// Target returns a target by its ID.
func (b *Book) Target(id string) (Target, bool) {
	t, ok := b.targets[id]
	return t, ok
}

// Depart takes a target out. It reports false if that was known, or if a later start of the target is listed.
func (b *Book) Depart(d Departure) bool {
	if since, ok := b.departs[d.Target]; ok && !d.Started.After(since) {
		return false
	}
	if t, ok := b.targets[d.Target]; ok && t.Started.After(d.Started) {
		return false
	}
	if len(b.departs) >= maxDepartures {
		maps.DeleteFunc(b.departs, func(id string, _ time.Time) bool {
			_, listed := b.targets[id]
			return !listed
		})
	}
	b.departs[d.Target] = d.Started
	b.view = nil
	return true
}

// Departs reports whether a target leaves by its own word.
func (b *Book) Departs(t Target) bool { return departs(b.departs, &t) }

func departs(known map[string]time.Time, t *Target) bool {
	since, ok := known[t.ID]
	return ok && !t.Started.After(since)
}

// Departures returns the targets that leave by their own word, in no order.
func (b *Book) Departures() []Departure {
	out := make([]Departure, 0, len(b.departs))
	for id, started := range b.departs {
		out = append(out, Departure{id, started})
	}
	return out
}

// Exclude takes a data centre out, or back in.
func (b *Book) Exclude(dataCentre string, out bool) {
	if out {
		b.excluded[dataCentre] = true
	} else {
		delete(b.excluded, dataCentre)
	}
	b.view = nil
}

// View returns an immutable copy, the same one until something changes.
func (b *Book) View() *View {
	if b.view != nil {
		return b.view
	}
	v := &View{hosts: map[string][]*Route{}, services: map[string]Service{}, targets: map[string][]*Target{}, known: map[string]bool{}, routes: map[string]bool{}, departs: maps.Clone(b.departs)}
	for _, t := range b.targets {
		if b.Departs(t) {
			continue
		}
		v.known[t.ID] = true
		if t.Leaving || b.excluded[t.DataCentre] {
			continue
		}
		v.targets[t.Service] = append(v.targets[t.Service], &t)
	}
	for _, list := range v.targets {
		slices.SortFunc(list, func(x, y *Target) int { return strings.Compare(x.ID, y.ID) })
	}
	if b.config != nil {
		v.Config = b.config
		for i := range b.config.Routes {
			r := &b.config.Routes[i]
			v.hosts[r.Host] = append(v.hosts[r.Host], r)
			v.routes[r.Name] = true
		}
		for _, routes := range v.hosts {
			slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Prefix) - len(x.Prefix) })
		}
		for _, s := range b.config.Services {
			v.services[s.Name] = s
		}
		v.shardConnections = v.fewestConnections()
		v.shardCount = v.countShards()
	}
	b.view = v
	return v
}

// View is an immutable state of a Book.
type View struct {
	Config   *Config // nil: none is known yet
	hosts    map[string][]*Route
	services map[string]Service
	targets  map[string][]*Target
	known    map[string]bool
	routes   map[string]bool
	departs  map[string]time.Time // as in Book

	shardConnections int // least that the targets of any shard bear
	shardCount       int // services of gather routes
}

// Match returns the route with the longest prefix of the path among those of the host.
func (v *View) Match(host, path string) (*Route, bool) {
	for _, r := range v.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the settings of a service; the zero value if there are none.
func (v *View) Service(name string) Service { return v.services[name] }

// ShardConnections returns the least that the targets of any shard of a gather route bear from the fleet; 0 for no bound.
func (v *View) ShardConnections() int { return v.shardConnections }

// Shards returns the number of services that gather routes name.
func (v *View) Shards() int { return v.shardCount }

func (v *View) countShards() int {
	services := map[string]bool{}
	for i := range v.Config.Routes {
		for _, service := range v.Config.Routes[i].Gather {
			services[service] = true
		}
	}
	return len(services)
}

func (v *View) fewestConnections() int {
	fewest := 0
	for i := range v.Config.Routes {
		for _, service := range v.Config.Routes[i].Gather {
			if n := v.services[service].Connections; n > 0 && (fewest == 0 || n < fewest) {
				fewest = n
			}
		}
	}
	return fewest
}

// Targets returns the targets of a service that take new requests, by ID. The slice must not be changed.
func (v *View) Targets(service string) []*Target { return v.targets[service] }

// Departs reports whether a target leaves by its own word, whether it is listed or not.
func (v *View) Departs(t *Target) bool { return departs(v.departs, t) }

// HasRoute reports whether a route of this name is in force.
func (v *View) HasRoute(name string) bool { return v.routes[name] }

// Known reports whether the target is listed in any state, and doesn't leave by its own word.
func (v *View) Known(id string) bool { return v.known[id] }
