package docset

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

var start = time.Unix(1000, 0)

func doc(key string, rev uint64) plat.Document { return plat.Document{Key: key, Revision: rev} }

func removal(key string, rev uint64) plat.Document {
	return plat.Document{Key: key, Revision: rev, Removed: true}
}

func keys(docs []plat.Document) (out []string) {
	for _, d := range docs {
		out = append(out, d.Key)
	}
	return out
}

// All documents are read from the platform in pages, which are not one snapshot. A document that was written after the first
// page was read must not be removed when the list is applied.
func TestApplyAllKeepsNewerDocuments(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 1), doc("b", 2)}, 2)
	s.ApplyChanges(start, []plat.Document{doc("c", 7)}, 7)
	changed := s.ApplyAll(start, []plat.Document{doc("a", 1)}, 5)
	assert.DeepEqual(t, keys(changed), []string{"b"})
	assert.Assert(t, changed[0].Removed)
	b := s.ChangesSince(0)
	assert.Assert(t, b.Complete)
	assert.Equal(t, b.AsOf, uint64(7))
	assert.DeepEqual(t, keys(b.Documents), []string{"a", "c"})
}

// Changes from peers and from the platform arrive in any order. An older change must not replace a newer one.
func TestHigherRevisionWins(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 5)}, 5)
	assert.Equal(t, len(s.ApplyChanges(start, []plat.Document{removal("a", 3), doc("a", 4)}, 5)), 0)
	assert.DeepEqual(t, keys(s.ApplyChanges(start, []plat.Document{removal("a", 6)}, 6)), []string{"a"})
	assert.Equal(t, len(s.ApplyChanges(start, []plat.Document{doc("a", 5)}, 6)), 0)
}

// While the platform is available, the removal of a target takes effect at once, since the time that a target has to drain
// counts from the removal.
func TestRemovalIsImmediateWhilePlatformIsAvailable(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 1)}, 1)
	assert.DeepEqual(t, keys(s.ApplyChanges(start, []plat.Document{removal("a", 2)}, 2)), []string{"a"})
}

// A document that expired while the platform was unavailable is kept until its target has had time to write it again.
func TestLapsedDocumentIsRemovedAfterGrace(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("lives", 1), doc("dead", 2)}, 2)
	s.RecordReadFailure(start.Add(time.Second))
	recovered := start.Add(3 * time.Second)
	assert.Equal(t, len(s.ApplyChanges(recovered, []plat.Document{removal("lives", 3), removal("dead", 4)}, 4)), 0)
	assert.Equal(t, s.LapsedCount(), 2)
	assert.DeepEqual(t, keys(s.ApplyChanges(recovered.Add(time.Second), []plat.Document{doc("lives", 5)}, 5)), []string{"lives"})
	assert.Equal(t, len(s.Tick(recovered.Add(DefaultRenewalGrace-time.Millisecond))), 0)
	assert.DeepEqual(t, keys(s.Tick(recovered.Add(DefaultRenewalGrace))), []string{"dead"})
	assert.Equal(t, s.LapsedCount(), 0)
	assert.DeepEqual(t, keys(s.ChangesSince(0).Documents), []string{"lives"})
}

// Lapsed documents must be kept for as long as the platform stays unavailable, since no target can renew its document then.
func TestLapsedDocumentIsKeptWhilePlatformIsUnavailable(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 1)}, 1)
	s.RecordReadFailure(start)
	s.ApplyChanges(start.Add(time.Second), []plat.Document{removal("a", 2)}, 2)
	s.RecordReadFailure(start.Add(2 * time.Second))
	assert.Equal(t, len(s.Tick(start.Add(time.Minute))), 0)
	s.ApplyChanges(start.Add(time.Minute), nil, 2)
	assert.Equal(t, len(s.Tick(start.Add(time.Minute+DefaultRenewalGrace))), 1)
}

// A peer that was unreachable for longer than removals are kept must get all documents. With the changes alone it would keep
// targets that have been removed.
func TestChangesSinceReturnsAllDocumentsAfterSweep(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 1), doc("b", 2)}, 2)
	s.ApplyChanges(start, []plat.Document{removal("a", 3)}, 3)
	b := s.ChangesSince(2)
	assert.Assert(t, !b.Complete)
	assert.DeepEqual(t, b.Documents, []plat.Document{removal("a", 3)})
	s.Tick(start.Add(2 * time.Minute))
	b = s.ChangesSince(2)
	assert.Assert(t, b.Complete)
	assert.DeepEqual(t, keys(b.Documents), []string{"b"})
}

// A process that gets its documents from a peer doesn't notice that the platform is unavailable. Documents that have lapsed
// at the peer must be kept as lapsed by this process too, and not be removed.
func TestPeerKeepsLapsedDocuments(t *testing.T) {
	for _, complete := range []bool{false, true} {
		reader, peer := New(Config{}), New(Config{})
		for _, s := range []*Set{reader, peer} {
			s.ApplyAll(start, []plat.Document{doc("lives", 1), doc("dead", 2)}, 2)
		}
		reader.RecordReadFailure(start)
		reader.ApplyChanges(start.Add(time.Second), []plat.Document{removal("lives", 3), removal("dead", 4)}, 4)
		after := uint64(2)
		if complete {
			after = 0
		}
		b := reader.ChangesSince(after)
		assert.Equal(t, b.Complete, complete)
		for _, d := range peer.Merge(start.Add(time.Second), b) {
			assert.Assert(t, !d.Removed, d.Key)
		}
		assert.Equal(t, peer.LapsedCount(), 2)
		reader.ApplyChanges(start.Add(2*time.Second), []plat.Document{doc("lives", 5)}, 5)
		peer.Merge(start.Add(2*time.Second), reader.ChangesSince(4))
		assert.Equal(t, peer.LapsedCount(), 1)
		assert.DeepEqual(t, keys(peer.Tick(start.Add(4*time.Second))), []string{"dead"})
	}
}

// The complete batch of a peer with an older revision must not cause the removal of documents that this process already
// knows.
func TestOldCompleteBatchIsIgnored(t *testing.T) {
	s := New(Config{})
	s.ApplyAll(start, []plat.Document{doc("a", 5)}, 5)
	assert.Equal(t, len(s.Merge(start, Batch{Documents: []plat.Document{doc("b", 1)}, AsOf: 4, Complete: true})), 0)
	assert.DeepEqual(t, keys(s.ChangesSince(0).Documents), []string{"a"})
}
