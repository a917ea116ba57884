// Package plat is the client of the platform's configuration service. It defines the documents that operators publish
// there, and reads and watches them; it never writes.
//
// # Usage
//
//	r, closeReader := plat.NewHTTP(addr, nil)
//	defer closeReader()
//	doc, err := r.Read(ctx, plat.KeyRules)
//	doc, changed, err := r.Watch(ctx, plat.KeyRules, doc.Revision, 500*time.Millisecond)
//
// A Reader may return a revision that is older than one that it returned before. The code that uses the Reader decides which
// revisions to accept.
package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"time"
)

// Keys of the documents that operators publish.
const (
	KeyRules    = "rules"
	KeyVMs      = "vms"
	KeyServices = "services"
)

// Keys lists the keys of all documents that operators publish.
var Keys = []string{KeyRules, KeyVMs, KeyServices}

// MaxValue is the largest size of a document's value in the configuration service, in bytes.
const MaxValue = 1 << 20

// Document is one revision of a published document. Revision is greater each time the document is published.
type Document struct {
	Key      string `json:"key" cbor:"key"`
	Revision uint64 `json:"revision" cbor:"revision"`
	Value    []byte `json:"value" cbor:"value"`
	// Removed is set if the document was deleted. Revision is then that of the deletion.
	Removed bool `json:"removed,omitempty" cbor:"removed,omitempty"`
	// Packed is set if Value is compressed, which happens only in messages between entry processes.
	Packed bool `json:"-" cbor:"packed,omitempty"`
}

// Reader reads documents from the configuration service.
type Reader interface {
	// Read returns the document under the key.
	Read(ctx context.Context, key string) (Document, error)
	// Watch returns the document under the key as soon as its revision differs from after. It reports false if the
	// revision still equals after when the time wait is over.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Document, bool, error)
}

// State is the published life-cycle state of a VM or a target.
type State string

// Values of State. A VM or a target that is Leaving gets no new work.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM holds the published data of one VM, on which one entry process runs.
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

// Target is one back end that executes requests. Slots is the number of requests that all entry processes together may have
// running on the target at the same time, and Connections the number of connections that they may have open to it.
type Target struct {
	ID          string         `json:"id"`
	VM          string         `json:"vm"`
	DataCentre  string         `json:"data_centre"`
	Addr        netip.AddrPort `json:"addr"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	State       State          `json:"state"`
}

// Shard is one part of an index. Documents is the number of its documents, and Targets lists the ids of the targets that
// hold a copy of the shard.
type Shard struct {
	ID        uint32   `json:"id"`
	Documents uint64   `json:"documents"`
	Targets   []string `json:"targets"`
}

// Partition is the division of one index version into shards. Generation is the number of the shard layout.
type Partition struct {
	Generation uint64  `json:"generation"`
	Version    uint64  `json:"version"`
	Shards     []Shard `json:"shards"`
}

// Service is one index and the targets that serve it. It has more than one partition while a new index version or a new
// shard layout is rolled out.
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
	seenIDs := make(map[string]bool, len(doc.VMs))
	for i, vm := range doc.VMs {
		switch {
		case vm.ID == "":
			return VMs{}, fmt.Errorf("vms[%d]: id is empty", i)
		case seenIDs[vm.ID]:
			return VMs{}, fmt.Errorf("vms[%d]: id %q is listed twice", i, vm.ID)
		case !vm.PeerAddr.IsValid() || !vm.Addr.IsValid():
			return VMs{}, fmt.Errorf("vms[%d]: %q lacks addr or peer_addr", i, vm.ID)
		case vm.State != Live && vm.State != Leaving:
			return VMs{}, fmt.Errorf("vms[%d]: %q has state %q, expected live or leaving", i, vm.ID, vm.State)
		}
		seenIDs[vm.ID] = true
	}
	return doc, nil
}

// ParseServices decodes and checks the document under KeyServices.
func ParseServices(value []byte) (Services, error) {
	var doc Services
	if err := json.Unmarshal(value, &doc); err != nil {
		return Services{}, fmt.Errorf("decode services: %w", err)
	}
	seenNames := make(map[string]bool, len(doc.Services))
	targetIDs := map[string]bool{}
	for _, svc := range doc.Services {
		if svc.Name == "" || seenNames[svc.Name] {
			return Services{}, fmt.Errorf("service %q: name is empty or listed twice", svc.Name)
		}
		seenNames[svc.Name] = true
		if err := checkService(svc, targetIDs); err != nil {
			return Services{}, fmt.Errorf("service %q: %w", svc.Name, err)
		}
	}
	return doc, nil
}

// checkService checks one service. The id of a target must be unique over all services: targetIDs holds the target ids of the
// services that were checked before, and checkService adds those of this service.
func checkService(svc Service, targetIDs map[string]bool) error {
	serviceTargetIDs := make(map[string]bool, len(svc.Targets))
	for _, t := range svc.Targets {
		switch {
		case t.ID == "" || targetIDs[t.ID]:
			return fmt.Errorf("target %q: id is empty or listed twice", t.ID)
		case !t.Addr.IsValid():
			return fmt.Errorf("target %q: addr is missing", t.ID)
		case t.Slots < 1 || t.Connections < 1:
			return fmt.Errorf("target %q: slots and connections must be at least 1", t.ID)
		}
		targetIDs[t.ID] = true
		serviceTargetIDs[t.ID] = true
	}
	for _, p := range svc.Partitions {
		if err := checkPartition(p, serviceTargetIDs); err != nil {
			return fmt.Errorf("generation %d version %d: %w", p.Generation, p.Version, err)
		}
	}
	return nil
}

// checkPartition checks the shards of one partition. targetIDs holds the ids of the targets of the service.
func checkPartition(p Partition, targetIDs map[string]bool) error {
	seenIDs := make(map[uint32]bool, len(p.Shards))
	for _, s := range p.Shards {
		if seenIDs[s.ID] {
			return fmt.Errorf("shard %d is listed twice", s.ID)
		}
		seenIDs[s.ID] = true
		for _, id := range s.Targets {
			if !targetIDs[id] {
				return fmt.Errorf("shard %d names unknown target %q", s.ID, id)
			}
		}
	}
	return nil
}
