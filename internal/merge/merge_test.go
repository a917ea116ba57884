package merge

import (
	"bytes"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// For random parts, the answer equals the result of sorting all records bytewise in descending order, equal ones included.
func TestBytesEqualsSortedRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		top := rapid.IntRange(0, 12).Draw(rt, "top")
		m := New(top)
		var all [][]byte
		for range rapid.IntRange(0, 6).Draw(rt, "parts") {
			// Few different bytes make equal records likely.
			body := rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 255}), 0, 100).Draw(rt, "body")
			m.Add(body)
			for ; len(body) >= RecordSize; body = body[RecordSize:] {
				all = append(all, body[:RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(top, len(all))], nil)
		if !bytes.Equal(m.Bytes(), want) {
			rt.Fatalf("got %x, want %x", m.Bytes(), want)
		}
	})
}

func TestIncompleteRecordIsIgnored(t *testing.T) {
	m := New(3)
	m.Add(make([]byte, RecordSize+5))
	assert.Equal(t, len(m.Bytes()), RecordSize)
}
