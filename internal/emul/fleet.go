package emul

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// ServiceSpec describes Count services of the same shape. With Count above 1, their names end in -01, -02 and so on.
// Targets, Shards and Replicas are numbers for one service; Slots, Connections and ConnCost apply to each target.
type ServiceSpec struct {
	Name              string
	Count             int
	Targets           int
	Slots             int
	Connections       int
	ConnCost          time.Duration
	Mean, Jitter      time.Duration // service time
	Shards            int
	DocumentsPerShard uint64
	Replicas          int // number of targets that hold each shard
}

// FleetSpec describes the size of a fleet. Build makes a Fleet from a FleetSpec.
type FleetSpec struct {
	DataCentres int
	EntryVMs    int
	Services    []ServiceSpec
}

// Fleet holds the entry VMs and the services that operators publish, with their addresses, and the address of the platform.
// VMs and Services may be changed before Publish, which encodes them.
type Fleet struct {
	VMs      []plat.VM
	Services []plat.Service
	Platform netip.AddrPort
	specs    map[string]ServiceSpec // by service name
}

// Sizes that the services of all presets have in common. As a service has at least three targets and each shard is on two of
// them, no target holds all shards, and every query needs several targets. docs/design.md states no numbers of shards and
// documents.
const (
	presetShards    = 12
	presetDocuments = 1000
	presetMean      = 8 * time.Millisecond
	presetJitter    = 3 * time.Millisecond
)

// presetService returns the spec of count services. The spec has the sizes that all presets have in common.
func presetService(name string, count, targets, slots, conns int, connCost time.Duration) ServiceSpec {
	return ServiceSpec{
		Name: name, Count: count, Targets: targets, Slots: slots, Connections: conns, ConnCost: connCost,
		Mean: presetMean, Jitter: presetJitter, Shards: presetShards, DocumentsPerShard: presetDocuments, Replicas: 2,
	}
}

// HeadOffice returns the spec of the fleet of the franchise head office.
func HeadOffice() FleetSpec {
	return FleetSpec{DataCentres: 4, EntryVMs: 9, Services: []ServiceSpec{
		presetService("counter-desk", 10, 3, 2, 25, 6*time.Millisecond),
		presetService("franchise-ledger", 15, 3, 2, 25, 6*time.Millisecond),
		presetService("van-planner", 1, 4, 6, 100, time.Millisecond),
		presetService("supplier-portal", 1, 4, 6, 100, time.Millisecond),
		presetService("billing", 1, 4, 6, 50, time.Millisecond),
		presetService("permit-file", 1, 4, 6, 50, time.Millisecond),
	}}
}

// Dredger returns the spec of the fleet of the dredging company.
func Dredger() FleetSpec {
	return FleetSpec{DataCentres: 4, EntryVMs: 8, Services: []ServiceSpec{
		presetService("scow-desk", 10, 3, 2, 25, 6*time.Millisecond),
		presetService("dredge-log", 15, 3, 2, 25, 6*time.Millisecond),
		presetService("van-planner", 1, 4, 6, 100, time.Millisecond),
		presetService("supplier-portal", 1, 4, 6, 100, time.Millisecond),
		presetService("billing", 1, 4, 6, 50, time.Millisecond),
		presetService("permit-file", 1, 4, 6, 50, time.Millisecond),
	}}
}

// Small returns the spec of a fleet for tests: one service "ledger" of three targets with two slots each, in two data
// centres with two entry VMs each.
func Small() FleetSpec {
	return FleetSpec{DataCentres: 2, EntryVMs: 4, Services: []ServiceSpec{presetService("ledger", 1, 3, 2, 25, 6*time.Millisecond)}}
}

// DataCentre returns the name of the data centre with index i: dc-a, dc-b and so on.
func DataCentre(i int) string { return "dc-" + string(rune('a'+i)) }

// memberAddr returns an address whose IP is unique in the fleet. The IP encodes the kind of the member (0: entry VM,
// 1: target, 2: platform), the index of its data centre and its number n.
func memberAddr(kind, dc, n int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind*16 + dc), byte(n / 250), byte(n%250 + 1)}), port)
}

// Build returns the fleet that the spec describes. Targets and entry VMs are assigned to the data centres in turn, and
// shard s of a service with n targets is held by the targets s, s+1 and so on, modulo n. The generation and the version
// are 1.
func (s FleetSpec) Build() *Fleet {
	f := &Fleet{Platform: memberAddr(2, 0, 0, 7000), specs: map[string]ServiceSpec{}}
	for i := range s.EntryVMs {
		dc := i % s.DataCentres
		f.VMs = append(f.VMs, plat.VM{
			ID: fmt.Sprintf("entry-%02d", i+1), DataCentre: DataCentre(dc), State: plat.Live,
			Addr: memberAddr(0, dc, i, 8000), PeerAddr: memberAddr(0, dc, i, 8001),
		})
	}
	targetCount := 0
	for _, spec := range s.Services {
		for i := range max(spec.Count, 1) {
			name := spec.Name
			if spec.Count > 1 {
				name = fmt.Sprintf("%s-%02d", spec.Name, i+1)
			}
			f.specs[name] = spec
			svc := plat.Service{Name: name}
			for j := range spec.Targets {
				dc := (targetCount + j) % s.DataCentres
				id := fmt.Sprintf("%s-t%d", name, j+1)
				svc.Targets = append(svc.Targets, plat.Target{
					ID: id, VM: "vm-" + id, DataCentre: DataCentre(dc), Addr: memberAddr(1, dc, targetCount+j, 9000),
					Slots: spec.Slots, Connections: spec.Connections, State: plat.Live,
				})
			}
			targetCount += spec.Targets
			svc.Partitions = []plat.Partition{NewPartition(svc.Targets, 1, 1, spec.Shards, spec.DocumentsPerShard, spec.Replicas)}
			f.Services = append(f.Services, svc)
		}
	}
	return f
}

// SetLoopbackAddrs sets the addresses of the entry VMs to 127.0.0.1. VM i listens for callers on port+2i and for peers on the
// port after it.
func (f *Fleet) SetLoopbackAddrs(port uint16) {
	ip := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	for i := range f.VMs {
		f.VMs[i].Addr = netip.AddrPortFrom(ip, port+uint16(2*i))
		f.VMs[i].PeerAddr = netip.AddrPortFrom(ip, port+uint16(2*i)+1)
	}
}

// NewPartition returns a partition that spreads the shards over the targets. Each shard is assigned to as many targets as
// replicas states, but to at least one and at most all.
func NewPartition(targets []plat.Target, generation, version uint64, shards int, documents uint64, replicas int) plat.Partition {
	p := plat.Partition{Generation: generation, Version: version}
	for s := range shards {
		shard := plat.Shard{ID: uint32(s), Documents: documents}
		for r := range min(max(replicas, 1), len(targets)) {
			shard.Targets = append(shard.Targets, targets[(s+r)%len(targets)].ID)
		}
		p.Shards = append(p.Shards, shard)
	}
	return p
}

// Holdings returns the snapshots that the target with this id serves if it holds every document that the partitions assign
// to the target.
func Holdings(partitions []plat.Partition, id string) []HeldSnapshot {
	var out []HeldSnapshot
	for _, p := range partitions {
		h := HeldSnapshot{Generation: p.Generation, Version: p.Version, Documents: map[uint32]uint64{}}
		for _, s := range p.Shards {
			if slices.Contains(s.Targets, id) {
				h.Documents[s.ID] = s.Documents
			}
		}
		if len(h.Documents) > 0 {
			out = append(out, h)
		}
	}
	return out
}

// VMsJSON returns the entry VMs as the document that is published under plat.KeyVMs.
func (f *Fleet) VMsJSON() ([]byte, error) { return json.Marshal(plat.VMs{VMs: f.VMs}) }

// ServicesJSON returns the services as the document that is published under plat.KeyServices.
func (f *Fleet) ServicesJSON() ([]byte, error) {
	return json.Marshal(plat.Services{Services: f.Services})
}

// Service returns a pointer to the service with this name, so that the caller can change it in place, or nil if there is
// none.
func (f *Fleet) Service(name string) *plat.Service {
	i := slices.IndexFunc(f.Services, func(s plat.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &f.Services[i]
}

// Publish publishes the entry VMs, the services and the rules on the platform.
func (f *Fleet) Publish(p *Platform, rules string) error {
	vms, errVMs := f.VMsJSON()
	if errVMs != nil {
		return fmt.Errorf("encode vms: %w", errVMs)
	}
	services, errServices := f.ServicesJSON()
	if errServices != nil {
		return fmt.Errorf("encode services: %w", errServices)
	}
	docs := map[string][]byte{plat.KeyVMs: vms, plat.KeyServices: services, plat.KeyRules: []byte(rules)}
	for _, key := range plat.Keys {
		if _, err := p.Publish(key, docs[key]); err != nil {
			return err
		}
	}
	return nil
}

// RunningFleet is a fleet whose targets and platform accept connections.
type RunningFleet struct {
	Fleet    *Fleet
	Platform *Platform
	Targets  map[string]*Target // by id
}

// Start serves every target and the platform, and sets their addresses in the fleet to those of the listeners that listen
// returns. The function configure may be nil; Start calls it for each target before the target is served. Start publishes
// nothing. The returned function stops the targets and the platform.
func (f *Fleet) Start(listen ListenFunc, configure func(*Target)) (*RunningFleet, func(), error) {
	rf := &RunningFleet{Fleet: f, Platform: &Platform{Latency: 2 * time.Millisecond}, Targets: map[string]*Target{}}
	var stops []func()
	stop := func() {
		for _, s := range slices.Backward(stops) {
			s()
		}
	}
	l, err := listen(f.Platform)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for platform: %w", err)
	}
	f.Platform = addrPort(l.Addr())
	stops = append(stops, rf.Platform.Serve(l))
	for i := range f.Services {
		svc := &f.Services[i]
		for j := range svc.Targets {
			publishedTarget := &svc.Targets[j]
			l, err := listen(publishedTarget.Addr)
			if err != nil {
				stop()
				return nil, nil, fmt.Errorf("listen for target %s: %w", publishedTarget.ID, err)
			}
			publishedTarget.Addr = addrPort(l.Addr())
			t := f.newTarget(*svc, *publishedTarget)
			t.Seed = uint64(i*100 + j)
			if configure != nil {
				configure(t)
			}
			rf.Targets[publishedTarget.ID] = t
			stops = append(stops, t.Serve(l))
		}
	}
	return rf, stop, nil
}

// newTarget returns a stand-in for a published target of the service.
func (f *Fleet) newTarget(svc plat.Service, publishedTarget plat.Target) *Target {
	spec := f.specs[svc.Name]
	return &Target{
		ID: publishedTarget.ID, Service: svc.Name, Slots: publishedTarget.Slots, MaxConns: publishedTarget.Connections, ConnCost: spec.ConnCost,
		Mean: spec.Mean, Jitter: spec.Jitter, ColdSlots: 1, ColdFactor: 3, WarmReplies: 20, StartWarm: true,
		Holdings: Holdings(svc.Partitions, publishedTarget.ID),
	}
}

// IDs returns the ids of all targets in ascending order.
func (rf *RunningFleet) IDs() []string { return slices.Sorted(maps.Keys(rf.Targets)) }
