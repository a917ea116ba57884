package quota

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxAllocators bounds the number of processes that are allocators, so that a process exchanges messages with few others.
const maxAllocators = 8

// Allocator returns the process that issues the permits for a target, of the given processes; "" if there are none. All
// processes that know the same processes get the same result. It changes for few targets when a process is gone or added.
func Allocator(target string, processes []string) string {
	var best string
	var bestHash uint64
	for _, p := range Allocators(processes) {
		if h := xxhash.Sum64String(target + "|" + p); best == "" || h < bestHash || h == bestHash && p < best {
			best, bestHash = p, h
		}
	}
	return best
}

// Allocators returns the processes that are the allocators of the targets: at most maxAllocators of the given ones, which must be
// in the same order at all processes.
func Allocators(processes []string) []string {
	if len(processes) <= maxAllocators {
		return processes
	}
	type ranked struct {
		id   string
		hash uint64
	}
	best := make([]ranked, 0, maxAllocators+1) // in order of hash
	for _, id := range processes {
		r := ranked{id, xxhash.Sum64String("allocator|" + id)}
		i := len(best)
		for i > 0 && r.hash < best[i-1].hash {
			i--
		}
		if i < maxAllocators {
			best = slices.Insert(best, i, r)
			best = best[:min(len(best), maxAllocators)]
		}
	}
	ids := make([]string, len(best))
	for i, r := range best {
		ids[i] = r.id
	}
	return ids
}

// Pools issues the permits for the targets whose allocator this process is. Use NewPools. It is not safe for concurrent use.
type Pools struct {
	self      string
	processes []string          // as of the last call of SetProcesses
	history   []allocatorChange // the first one was in force TakeoverDelay ago, or is the first of all
	pools     map[string]*pool  // by target ID
}

// allocatorChange is a change of the processes among which the allocators are chosen.
type allocatorChange struct {
	at         time.Time
	allocators []string
}

// pool holds the permits for one target.
type pool struct {
	permits   float64 // that can be issued
	updatedAt time.Time
	users     map[string]*user // processes that have requested permits within demandLifetime
}

// user is what a pool knows of one process.
type user struct {
	limit       float64 // of the target, as stated by the process
	demand      float64
	requestedAt time.Time
	credit      float64 // permits that the process may get while the demand exceeds the limit
}

// NewPools returns the pools of the process with the given ID.
func NewPools(self string) *Pools { return &Pools{self: self, pools: map[string]*pool{}} }

// SetProcesses sets the processes among which the allocators are chosen.
func (p *Pools) SetProcesses(now time.Time, processes []string) {
	if len(p.history) == 0 || !slices.Equal(p.processes, processes) {
		p.processes = slices.Clone(processes)
		allocators := slices.Sorted(slices.Values(Allocators(processes)))
		if n := len(p.history); n == 0 || !slices.Equal(p.history[n-1].allocators, allocators) {
			p.history = append(p.history, allocatorChange{now, allocators})
		}
	}
	for len(p.history) > 1 && now.Sub(p.history[1].at) >= TakeoverDelay {
		p.history = p.history[1:]
	}
}

// Allocator returns the process that issues the permits for a target; "" if no process is known.
func (p *Pools) Allocator(target string) string {
	if len(p.history) == 0 {
		return ""
	}
	return Allocator(target, p.history[len(p.history)-1].allocators)
}

// isReady reports whether this process has been the allocator of a target for TakeoverDelay.
func (p *Pools) isReady(now time.Time, target string) bool {
	for _, change := range p.history {
		if Allocator(target, change.allocators) != p.self {
			return false
		}
	}
	return len(p.history) > 0 && now.Sub(p.history[0].at) >= TakeoverDelay
}

// Request answers a process that requests permits for a target.
func (p *Pools) Request(now time.Time, process string, r Request) Grant {
	if !p.isReady(now, r.Target) || !(r.Limit >= 0) || !(r.Demand >= 0) {
		return Grant{Target: r.Target, Wait: answerTimeout}
	}
	target := p.pools[r.Target]
	if target == nil {
		target = &pool{updatedAt: now, users: map[string]*user{}}
		p.pools[r.Target] = target
	}
	limit, total := target.record(now, process, r)
	wanted := min(max(r.Wanted, 0), maxWantedPerAsk)
	permits, wait := target.issue(process, limit, total, wanted)
	return Grant{Target: r.Target, Permits: permits, Wait: wait, Rate: limit * r.Demand / max(total, r.Demand), Ready: true}
}

// record records a request of a process, after it has added the permits and credits for the time since the last request. It
// returns the limit and the total demand of all processes.
func (p *pool) record(now time.Time, process string, r Request) (limit, total float64) {
	p.accrue(now)
	for id, other := range p.users {
		if now.Sub(other.requestedAt) > demandLifetime {
			delete(p.users, id)
		}
	}
	u := p.users[process]
	if u == nil {
		u = &user{}
		p.users[process] = u
	}
	u.limit, u.demand, u.requestedAt = r.Limit, r.Demand, now
	return p.limitAndDemand()
}

// limitAndDemand returns the limit and the total demand of all processes. If processes state different limits, the lowest one
// holds.
func (p *pool) limitAndDemand() (limit, total float64) {
	limit = math.Inf(1)
	for _, u := range p.users {
		limit = min(limit, u.limit)
		total += u.demand
	}
	return max(limit, MinRate), total
}

// accrue adds the permits for the time since the last request, and each process's share of them to its credit.
func (p *pool) accrue(now time.Time) {
	elapsed := max(now.Sub(p.updatedAt), 0).Seconds()
	p.updatedAt = now
	if len(p.users) == 0 {
		return
	}
	limit, total := p.limitAndDemand()
	p.permits = min(p.permits+limit*elapsed, maxPermits(limit))
	for _, u := range p.users {
		share := limit * u.demand / max(total, limit)
		u.credit = min(u.credit+share*elapsed, max(1, share*demandDecay.Seconds()))
	}
}

// maxPermits returns how many permits are kept for processes that will request them.
func maxPermits(limit float64) float64 { return limit*burstTime.Seconds() + burstPermits }

// issue issues up to the wanted number of permits to a process. While the demand exceeds the limit, the process gets its share
// only, unless others leave theirs. It returns the time until more can be expected if there are fewer than wanted.
func (p *pool) issue(process string, limit, total float64, wanted int) (permits int, wait time.Duration) {
	u := p.users[process]
	available := math.Floor(p.permits)
	isShared := total > limit && p.permits < maxPermits(limit)
	if isShared {
		available = min(available, math.Floor(u.credit))
	}
	permits = min(wanted, int(available))
	p.permits -= float64(permits)
	u.credit = max(u.credit-float64(permits), 0)
	if permits == wanted {
		return permits, 0
	}
	seconds := (1 - min(p.permits, 1)) / limit
	if share := limit * u.demand / max(total, limit); isShared && share > 0 {
		untilFull := (maxPermits(limit) - p.permits) / limit
		seconds = max(seconds, min((1-min(u.credit, 1))/share, untilFull))
	}
	return permits, min(time.Duration(seconds*float64(time.Second)), maxWait)
}

// Prune deletes the pools of targets for which nothing was requested for a while.
func (p *Pools) Prune(now time.Time) {
	for id, target := range p.pools {
		if now.Sub(target.updatedAt) > poolLifetime {
			delete(p.pools, id)
		}
	}
}
