// Package plat is the adapter to the platform: the documents that operators publish and the reader for
// the configuration service, which can only be read and watched.
//
// # Usage
//
//	r := plat.NewHTTP(addr, nil)
//	doc, err := r.Read(ctx, plat.KeyRules)
//	doc, changed, err := r.Watch(ctx, plat.KeyRules, doc.Revision, 500*time.Millisecond)
//
// A Reader may return an older revision than one seen before; callers decide what to accept.
package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Keys of the published documents.
const (
	KeyRules    = "rules"
	KeyVMs      = "vms"
	KeyServices = "services"
)

// Keys lists every published key.
var Keys = []string{KeyRules, KeyVMs, KeyServices}

// MaxValue is the largest value of the configuration service, in bytes.
const MaxValue = 1 << 20

// Document is one published value. Revision grows with each publication of the key.
type Document struct {
	Key      string `json:"key" cbor:"key"`
	Revision uint64 `json:"revision" cbor:"revision"`
	Value    []byte `json:"value" cbor:"value"`
	// Removed says that the key no longer exists; Revision is then that of the removal.
	Removed bool `json:"removed,omitempty" cbor:"removed,omitempty"`
	// Packed says that Value is compressed; only between entry processes.
	Packed bool `json:"-" cbor:"packed,omitempty"`
}

// Reader reads the configuration service.
type Reader interface {
	// Read returns the current document of the key.
	Read(ctx context.Context, key string) (Document, error)
	// Watch waits up to wait for a revision other than after. It reports false if there was none.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Document, bool, error)
}

// State is the life-cycle state of a VM or target as published.
type State string

// Published life-cycle states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry VM. It runs one entry process.
type VM struct {
	ID         string         `json:"id"`
	DataCentre string         `json:"data_centre"`
	Addr       netip.AddrPort `json:"addr"`      // for callers
	PeerAddr   netip.AddrPort `json:"peer_addr"` // for other entry processes
	State      State          `json:"state"`
}

// VMs is the document under KeyVMs.
type VMs struct {
	VMs []VM `json:"vms"`
}

// Target is one back end. Slots and Connections bound the whole fleet, not one process.
type Target struct {
	ID          string         `json:"id"`
	VM          string         `json:"vm"`
	DataCentre  string         `json:"data_centre"`
	Addr        netip.AddrPort `json:"addr"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       State          `json:"state"`
}

// Shard is one part of the index with the ids of the targets that hold it.
type Shard struct {
	ID        uint32   `json:"id"`
	Documents uint64   `json:"documents"`
	Targets   []string `json:"targets"`
}

// Partition is one generation of the shard layout for one index version.
type Partition struct {
	Generation uint64  `json:"generation"`
	Version    uint64  `json:"version"`
	Shards     []Shard `json:"shards"`
}

// Service is one index with its targets. More than one partition is listed while an index version or a
// shard layout is being rolled out.
type Service struct {
	Name       string      `json:"name"`
	Targets    []Target    `json:"targets"`
	Partitions []Partition `json:"partitions"`
}

// Services is the document under KeyServices.
type Services struct {
	Services []Service `json:"services"`
}

// ParseVMs decodes and checks the document under KeyVMs.
func ParseVMs(value []byte) (VMs, error) {
	var doc VMs
	if err := json.Unmarshal(value, &doc); err != nil {
		return VMs{}, fmt.Errorf("decode vms: %w", err)
	}
	seen := make(map[string]bool, len(doc.VMs))
	for i, vm := range doc.VMs {
		switch {
		case vm.ID == "":
			return VMs{}, fmt.Errorf("vms[%d]: id is empty", i)
		case seen[vm.ID]:
			return VMs{}, fmt.Errorf("vms[%d]: id %q is listed twice", i, vm.ID)
		case !vm.PeerAddr.IsValid() || !vm.Addr.IsValid():
			return VMs{}, fmt.Errorf("vms[%d]: %q lacks addr or peer_addr", i, vm.ID)
		case vm.State != Live && vm.State != Leaving:
			return VMs{}, fmt.Errorf("vms[%d]: %q has state %q, expected live or leaving", i, vm.ID, vm.State)
		}
		seen[vm.ID] = true
	}
	return doc, nil
}

// ParseServices decodes and checks the document under KeyServices.
func ParseServices(value []byte) (Services, error) {
	var doc Services
	if err := json.Unmarshal(value, &doc); err != nil {
		return Services{}, fmt.Errorf("decode services: %w", err)
	}
	names := make(map[string]bool, len(doc.Services))
	ids := map[string]bool{}
	for _, svc := range doc.Services {
		if svc.Name == "" || names[svc.Name] {
			return Services{}, fmt.Errorf("service %q: name is empty or listed twice", svc.Name)
		}
		names[svc.Name] = true
		if err := checkService(svc, ids); err != nil {
			return Services{}, fmt.Errorf("service %q: %w", svc.Name, err)
		}
	}
	return doc, nil
}

func checkService(svc Service, ids map[string]bool) error {
	local := make(map[string]bool, len(svc.Targets))
	for _, t := range svc.Targets {
		switch {
		case t.ID == "" || ids[t.ID]:
			return fmt.Errorf("target %q: id is empty or listed twice", t.ID)
		case !t.Addr.IsValid():
			return fmt.Errorf("target %q: addr is missing", t.ID)
		case t.Slots < 1 || t.Connections < 1:
			return fmt.Errorf("target %q: slots and connections must be at least 1", t.ID)
		}
		ids[t.ID] = true
		local[t.ID] = true
	}
	for _, p := range svc.Partitions {
		if err := checkPartition(p, local); err != nil {
			return fmt.Errorf("generation %d version %d: %w", p.Generation, p.Version, err)
		}
	}
	return nil
}

func checkPartition(p Partition, targets map[string]bool) error {
	seen := make(map[uint32]bool, len(p.Shards))
	for _, s := range p.Shards {
		if seen[s.ID] {
			return fmt.Errorf("shard %d is listed twice", s.ID)
		}
		seen[s.ID] = true
		for _, id := range s.Targets {
			if !targets[id] {
				return fmt.Errorf("shard %d names unknown target %q", s.ID, id)
			}
		}
	}
	return nil
}
