// Package merge keeps the greatest records of many parts.
//
// # Usage
//
//	m := merge.New(50)
//	m.Add(body)            // records of merge.Size bytes in any order
//	answer := m.Bytes()    // the greatest 50, falling
//
// Equal records all count. Bytes after the last whole record of a part are not a record.
package merge

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// Size is the length of a record, in bytes.
const Size = 16

// record holds the two halves of a record in big-endian order, which compares like its bytes.
type record struct{ high, low uint64 }

func compare(a, b record) int {
	if c := cmp.Compare(a.high, b.high); c != 0 {
		return c
	}
	return cmp.Compare(a.low, b.low)
}

// Merge is the state of one answer. Use New.
type Merge struct {
	top  int
	heap []record // the least record first
}

// New returns a merge that keeps the greatest top records.
func New(top int) *Merge { return &Merge{top: max(top, 0)} }

// Add takes the records of one part.
func (m *Merge) Add(body []byte) {
	for ; len(body) >= Size; body = body[Size:] {
		r := record{binary.BigEndian.Uint64(body), binary.BigEndian.Uint64(body[8:])}
		switch {
		case len(m.heap) < m.top:
			m.heap = append(m.heap, r)
			m.up(len(m.heap) - 1)
		case m.top > 0 && compare(r, m.heap[0]) > 0:
			m.heap[0] = r
			m.down()
		}
	}
}

func (m *Merge) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if compare(m.heap[parent], m.heap[i]) <= 0 {
			return
		}
		m.heap[parent], m.heap[i] = m.heap[i], m.heap[parent]
		i = parent
	}
}

func (m *Merge) down() {
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

// Bytes returns the records that were kept, the greatest first.
func (m *Merge) Bytes() []byte {
	sorted := slices.Clone(m.heap)
	slices.SortFunc(sorted, func(a, b record) int { return compare(b, a) })
	out := make([]byte, 0, len(sorted)*Size)
	for _, r := range sorted {
		out = binary.BigEndian.AppendUint64(out, r.high)
		out = binary.BigEndian.AppendUint64(out, r.low)
	}
	return out
}
