package policy

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const vmJSON = `{"id":"%s","data_centre":"a","addr":"127.0.0.1:1","peer_addr":"127.0.0.1:2","state":"live"}`

// sampleValues returns values of documents of all keys, valid and invalid ones.
func sampleValues() [][]byte {
	vm := fmt.Sprintf(vmJSON, "vm-1")
	values := []string{
		"", "exclude vm x # Ann: test\n", "exclude vm x # Ann: test\nlimit", `{}`, `null`, `[]`,
		`{"vms":[` + vm + `]}`, `{"vms":[` + vm + `,` + fmt.Sprintf(vmJSON, "vm-2") + `]}`, `{"vms":[` + vm + `,` + vm + `]}`,
		`{"vms":[` + vm + `,{"id":1}]}`, `{"vms":[` + vm, `{"services":[{"name":"s"}]}`, `{"services":[{"name":"s"},{"name":""}]}`,
	}
	var out [][]byte
	for _, t := range values {
		out = append(out, []byte(t))
	}
	return out
}

// storeState returns all documents and parsed values in force as a text.
func storeState(s *Store) string {
	return fmt.Sprintf("%v %v %v %v %v", s.Revisions(), s.Rules(), s.VMs(), s.Services(), s.docs)
}

// offerAndCheck offers a document. If it is rejected, the store must be unchanged. If it is accepted, the parsed value must
// be the same as in a new store that gets only this document, and the revisions of the other keys must be unchanged.
func offerAndCheck(t assert.TestingT, s *Store, d plat.Document) {
	stateBefore, revisionsBefore := storeState(s), s.Revisions()
	accepted, err := s.Offer(d)
	if !accepted {
		assert.Equal(t, storeState(s), stateBefore)
		return
	}
	assert.NilError(t, err)
	assert.Assert(t, s.Revisions().Covers(revisionsBefore) && s.Revisions().Revision(d.Key) == d.Revision && d.Revision > revisionsBefore.Revision(d.Key))
	reference := New()
	ok, err := reference.Offer(d)
	assert.Assert(t, ok, err)
	for _, key := range plat.Keys {
		if key != d.Key {
			assert.Equal(t, s.Revisions().Revision(key), revisionsBefore.Revision(key))
		}
	}
	switch d.Key {
	case plat.KeyRules:
		assert.DeepEqual(t, fmt.Sprint(s.Rules()), fmt.Sprint(reference.Rules()))
	case plat.KeyVMs:
		assert.DeepEqual(t, fmt.Sprint(s.VMs()), fmt.Sprint(reference.VMs()))
	case plat.KeyServices:
		assert.DeepEqual(t, fmt.Sprint(s.Services()), fmt.Sprint(reference.Services()))
	}
}

// A store must never return to an older revision, and never apply a part of an invalid document.
func TestOfferNeverRevertsOrAppliesPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		for range rapid.IntRange(1, 40).Draw(t, "offers") {
			offerAndCheck(t, s, plat.Document{
				Key:      rapid.SampledFrom(append([]string{"other"}, plat.Keys...)).Draw(t, "key"),
				Revision: rapid.Uint64Range(0, 12).Draw(t, "revision"),
				Value:    rapid.SampledFrom(sampleValues()).Draw(t, "value"),
			})
		}
	})
}

// No value may cause a panic in a parser or be applied in part.
func FuzzOffer(f *testing.F) {
	for i, v := range sampleValues() {
		f.Add(uint8(i), uint64(i), v)
	}
	f.Fuzz(func(t *testing.T, key uint8, revision uint64, value []byte) {
		s := New()
		for _, k := range plat.Keys {
			offerAndCheck(t, s, plat.Document{Key: k, Revision: 3, Value: []byte(`{}`)})
		}
		offerAndCheck(t, s, plat.Document{Key: plat.Keys[int(key)%len(plat.Keys)], Revision: revision, Value: value})
	})
}

// After a damaged document, a valid one of the same revision must be accepted. A list without VMs must be rejected, errors
// must give line and column, and the store must not share the buffer of an accepted value with the caller of Offer.
func TestRejectedDocuments(t *testing.T) {
	s := New()
	validValue := []byte(`{"vms":[` + fmt.Sprintf(vmJSON, "vm-1") + `]}`)
	damagedDocument := plat.Document{Key: plat.KeyVMs, Revision: 7, Value: []byte("{\n \"vms\": [x]}")}
	_, err := s.Offer(damagedDocument)
	assert.ErrorContains(t, err, "refuse vms revision 7: line 2, column 10: ")
	_, err = s.Offer(damagedDocument)
	assert.NilError(t, err)
	_, err = s.Offer(plat.Document{Key: plat.KeyVMs, Revision: 7, Value: []byte(`{"vms":[]}`)})
	assert.ErrorContains(t, err, "expected at least one entry VM")
	accepted, err := s.Offer(plat.Document{Key: plat.KeyVMs, Revision: 7, Value: validValue})
	assert.Assert(t, accepted, err)
	validValue[0] = 'x'
	doc, _ := s.Document(plat.KeyVMs)
	assert.Equal(t, doc.Value[0], byte('{'))
	assert.Assert(t, !s.Confirms(plat.Document{Key: plat.KeyVMs, Revision: 6}))
	assert.Assert(t, s.Confirms(plat.Document{Key: plat.KeyVMs, Revision: 8}))
}
