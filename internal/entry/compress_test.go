package entry

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

func TestCompressLargeValues(t *testing.T) {
	large := bytes.Repeat([]byte(`{"name":"r","host":"h","prefix":"/p/"},`), 9000)
	docs := []plat.Document{{Key: "small", Revision: 1, Value: []byte("x")}, {Key: "large", Revision: 2, Value: large}, {Key: "gone", Revision: 3, Removed: true}}
	cache := compressionCache{}
	compressed, err := cache.compress(docs)
	assert.NilError(t, err)
	assert.Assert(t, len(compressed[1].Value) < len(large)/10)
	assert.Assert(t, !docs[1].Packed) // the input is not changed
	again, err := cache.compress(docs[1:2])
	assert.NilError(t, err)
	assert.Assert(t, &again[0].Value[0] == &compressed[1].Value[0])
	assert.NilError(t, decompress(compressed))
	assert.DeepEqual(t, compressed, docs)
}

func TestDecompressInvalidValue(t *testing.T) {
	err := decompress([]plat.Document{{Key: "k", Value: []byte("not compressed"), Packed: true}})
	assert.ErrorContains(t, err, "decompress k")
}
