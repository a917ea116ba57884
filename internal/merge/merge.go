// Package merge merges the bodies of several replies into one answer with the greatest records of all replies.
//
// # Usage
//
//	m := merge.New(50)
//	m.Add(body)            // records of merge.RecordSize bytes in any order
//	answer := m.Bytes()    // the greatest 50, in descending order
//
// Equal records are kept as separate records. Bytes after the last whole record of a body are ignored.
package merge

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// record holds the two halves of a record, read as big-endian numbers so that they compare like the bytes of the record.
type record struct{ high, low uint64 }

// compare returns the order of two records, as cmp.Compare does.
func compare(a, b record) int {
	if c := cmp.Compare(a.high, b.high); c != 0 {
		return c
	}
	return cmp.Compare(a.low, b.low)
}

// TopRecords collects the greatest records of one answer. Use New.
type TopRecords struct {
	maxRecords int      // number of records to keep
	heap       []record // binary heap of the kept records, the least one first
}

// New returns a TopRecords that keeps the maxRecords greatest records.
func New(maxRecords int) *TopRecords { return &TopRecords{maxRecords: max(maxRecords, 0)} }

// Add adds the records in the body of one reply.
func (t *TopRecords) Add(body []byte) {
	for ; len(body) >= RecordSize; body = body[RecordSize:] {
		r := record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])}
		switch {
		case len(t.heap) < t.maxRecords:
			t.heap = append(t.heap, r)
			t.siftUp(len(t.heap) - 1)
		case t.maxRecords > 0 && compare(r, t.heap[0]) > 0:
			t.heap[0] = r
			t.siftDown()
		}
	}
}

// siftUp moves record i towards the root of the heap until its parent is not greater.
func (t *TopRecords) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(t.heap[parent], t.heap[i]) <= 0 {
			return
		}
		t.heap[parent], t.heap[i] = t.heap[i], t.heap[parent]
		i = parent
	}
}

// siftDown moves the root of the heap towards the leaves until no child is less.
func (t *TopRecords) siftDown() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(t.heap); child++ {
			if compare(t.heap[child], t.heap[least]) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		t.heap[i], t.heap[least] = t.heap[least], t.heap[i]
		i = least
	}
}

// Bytes returns the kept records, the greatest first.
func (t *TopRecords) Bytes() []byte {
	sorted := slices.Clone(t.heap)
	slices.SortFunc(sorted, func(a, b record) int { return compare(b, a) })
	out := make([]byte, 0, len(sorted)*RecordSize)
	for _, r := range sorted {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
