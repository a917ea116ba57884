// Package merge merges the bodies of many replies into one answer that holds the greatest records of all.
//
// # Usage
//
//	m := merge.New(50)
//	m.Add(body)            // records of merge.RecordSize bytes in any order
//	answer := m.Bytes()    // the greatest 50, in descending order
//
// Equal records are kept as separate records. Bytes after the last whole record of a part are ignored.
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

// New returns a TopRecords that keeps the greatest top records.
func New(maxRecords int) *TopRecords { return &TopRecords{maxRecords: max(maxRecords, 0)} }

// Add adds the records of one part.
func (m *TopRecords) Add(body []byte) {
	for ; len(body) >= RecordSize; body = body[RecordSize:] {
		r := record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])}
		switch {
		case len(m.heap) < m.maxRecords:
			m.heap = append(m.heap, r)
			m.siftUp(len(m.heap) - 1)
		case m.maxRecords > 0 && compare(r, m.heap[0]) > 0:
			m.heap[0] = r
			m.siftDown()
		}
	}
}

// siftUp moves record i towards the root of the heap until its parent is not greater.
func (m *TopRecords) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(m.heap[parent], m.heap[i]) <= 0 {
			return
		}
		m.heap[parent], m.heap[i] = m.heap[i], m.heap[parent]
		i = parent
	}
}

// siftDown moves the root of the heap towards the leaves until no child is less.
func (m *TopRecords) siftDown() {
	i := 0
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(m.heap); child++ {
			if compare(m.heap[child], m.heap[least]) < 0 {
				least = child
			}
		}
		if least == i {
			return
		}
		m.heap[i], m.heap[least] = m.heap[least], m.heap[i]
		i = least
	}
}

// Bytes returns the kept records, the greatest first.
func (m *TopRecords) Bytes() []byte {
	sorted := slices.Clone(m.heap)
	slices.SortFunc(sorted, func(a, b record) int { return compare(b, a) })
	out := make([]byte, 0, len(sorted)*RecordSize)
	for _, r := range sorted {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
