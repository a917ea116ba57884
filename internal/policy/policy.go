// Package policy holds the published documents that are in force in this process: the rules, the entry VMs and the
// services. A Store accepts a document only if all of it parses and if its revision is higher than the one in force, so a
// Store never returns to an older revision.
//
// # Usage
//
//	s := policy.New()
//	accepted, err := s.Offer(doc)
//	s.Rules(), s.VMs(), s.Services()
//	s.Revisions()          // revisions in force in this process, which are sent to peers
//	s.Confirms(doc)        // whether the platform's answer is no older than the document in force
//	mine.Covers(theirs)    // whether the peer has no newer document than this process, so that its observations apply here
//
// # Rejected documents
//
// If a document is rejected, the one in force stays. The error states the line and the column of a fault in the rules or in
// the JSON syntax and types. The Store recognizes an invalid document that is offered again by its revision and the hash of
// its value, so that a valid copy of the same revision is still accepted after a damaged one.
package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiarelay/fuchsiarelay/internal/rules"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// Revisions holds the revision in force of the document of each key. 0 means that no document of the key is in force.
type Revisions struct {
	Rules    uint64 `cbor:"rules" json:"rules"`
	VMs      uint64 `cbor:"vms" json:"vms"`
	Services uint64 `cbor:"services" json:"services"`
}

// Revision returns the revision of one key, and 0 for an unknown key.
func (r Revisions) Revision(key string) uint64 {
	switch key {
	case plat.KeyRules:
		return r.Rules
	case plat.KeyVMs:
		return r.VMs
	case plat.KeyServices:
		return r.Services
	}
	return 0
}

// Covers reports whether the revision of each key is equal to or higher than that in other.
func (r Revisions) Covers(other Revisions) bool {
	return r.Rules >= other.Rules && r.VMs >= other.VMs && r.Services >= other.Services
}

// setRevision sets the revision of one key.
func (r *Revisions) setRevision(key string, rev uint64) {
	switch key {
	case plat.KeyRules:
		r.Rules = rev
	case plat.KeyVMs:
		r.VMs = rev
	case plat.KeyServices:
		r.Services = rev
	}
}

// invalidDocument identifies a document whose value is invalid.
type invalidDocument struct {
	revision  uint64
	valueHash uint64 // xxHash of the value
}

// errNoVMs is returned for a list without entry VMs. With such a list, the fleet would have no members, and no majority
// could be computed.
var errNoVMs = errors.New("line 1, column 1: expected at least one entry VM")

// Store holds the documents in force and their parsed values.
type Store struct {
	revisions   Revisions
	docs        map[string]plat.Document
	lastInvalid map[string]invalidDocument // last invalid document of each key
	rules       *rules.Set
	vms         plat.VMs
	services    plat.Services
}

// New returns a store without documents. Its set of rules is empty.
func New() *Store {
	return &Store{docs: map[string]plat.Document{}, lastInvalid: map[string]invalidDocument{}, rules: rules.Empty()}
}

// Offer puts the document in force if its value is valid and its revision is higher than the one in force. The error says
// why a newer document, or one of an unknown key, was rejected. If the same invalid document is offered again and no other
// invalid document of its key came in between, Offer returns no error, so that the calling code logs the error once. The
// store keeps its own copy of the value.
func (s *Store) Offer(d plat.Document) (accepted bool, err error) {
	if !slices.Contains(plat.Keys, d.Key) {
		return false, fmt.Errorf("refuse document: unknown key %q", d.Key)
	}
	if d.Revision <= s.revisions.Revision(d.Key) {
		return false, nil
	}
	if len(d.Value) > plat.MaxValue {
		return false, fmt.Errorf("refuse %s revision %d: value has %d bytes, at most %d are allowed",
			d.Key, d.Revision, len(d.Value), plat.MaxValue)
	}
	candidate := invalidDocument{d.Revision, xxhash.Sum64(d.Value)}
	if candidate == s.lastInvalid[d.Key] {
		return false, nil
	}
	if err := s.apply(d); err != nil {
		s.lastInvalid[d.Key] = candidate
		return false, fmt.Errorf("refuse %s revision %d: %w", d.Key, d.Revision, withPosition(d.Value, err))
	}
	d.Value = bytes.Clone(d.Value)
	s.docs[d.Key] = d
	s.revisions.setRevision(d.Key, d.Revision)
	return true, nil
}

// Confirms reports whether a document that the platform returned has at least the revision in force, which confirms that the
// document in force is the newest valid one. An older revision shows that the platform's data is stale, so that the answer
// confirms nothing. A newer revision counts even if its value is invalid, because the last valid document then stays in
// force.
func (s *Store) Confirms(d plat.Document) bool {
	return d.Revision > 0 && d.Revision >= s.revisions.Revision(d.Key)
}

// apply parses the value of the document, and puts the result in force only if all of the value is valid.
func (s *Store) apply(d plat.Document) error {
	switch d.Key {
	case plat.KeyRules:
		set, err := rules.Parse(d.Value)
		if err != nil {
			return err
		}
		s.rules = set
	case plat.KeyVMs:
		vms, err := plat.ParseVMs(d.Value)
		if err != nil {
			return err
		}
		if len(vms.VMs) == 0 {
			return errNoVMs
		}
		s.vms = vms
	case plat.KeyServices:
		services, err := plat.ParseServices(d.Value)
		if err != nil {
			return err
		}
		s.services = services
	}
	return nil
}

// withPosition adds the line and the column to an error of package json, which holds only a byte offset. It returns other
// errors unchanged.
func withPosition(value []byte, err error) error {
	var offset int64
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		offset = syntaxErr.Offset
	case errors.As(err, &typeErr):
		offset = typeErr.Offset
	default:
		return err
	}
	before := value[:min(max(offset-1, 0), int64(len(value)))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

// Revisions returns the revision in force for each key.
func (s *Store) Revisions() Revisions { return s.revisions }

// Document returns the document of the key that is in force, as it was published.
func (s *Store) Document(key string) (plat.Document, bool) {
	d, ok := s.docs[key]
	return d, ok
}

// Rules returns the rules in force. The set is never nil.
func (s *Store) Rules() *rules.Set { return s.rules }

// VMs returns the entry VMs of the document in force.
func (s *Store) VMs() []plat.VM { return s.vms.VMs }

// Services returns the services of the document in force.
func (s *Store) Services() []plat.Service { return s.services.Services }
