package entry

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	// minCompressedBytes is the size from which the value of a document is compressed for peers. Without compression, a
	// reader with a slow link would need seconds to send a large configuration to all its followers.
	minCompressedBytes = 4 << 10
	// maxDecompressedBytes limits the size of a decompressed value. It is above the largest value that the platform stores,
	// 1 MiB.
	maxDecompressedBytes = 2 << 20
)

// compressionCache holds the latest compressed revision of each large document, by key, so that each revision is compressed
// only once.
type compressionCache map[string]plat.Document

// compress returns a copy of docs in which large values are compressed and marked as Packed.
func (c compressionCache) compress(docs []plat.Document) ([]plat.Document, error) {
	out := make([]plat.Document, len(docs))
	for i, d := range docs {
		out[i] = d
		if len(d.Value) < minCompressedBytes {
			continue
		}
		if cached := c[d.Key]; cached.Revision == d.Revision {
			out[i] = cached
			continue
		}
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			return nil, fmt.Errorf("compress %s: %w", d.Key, err)
		}
		_, _ = w.Write(d.Value) // writing to a bytes.Buffer doesn't fail
		if err := w.Close(); err != nil {
			return nil, fmt.Errorf("compress %s: %w", d.Key, err)
		}
		out[i].Value, out[i].Packed = b.Bytes(), true
		c[d.Key] = out[i]
	}
	return out, nil
}

// decompress replaces the compressed values in docs by the original ones.
func decompress(docs []plat.Document) error {
	for i := range docs {
		if !docs[i].Packed {
			continue
		}
		value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(docs[i].Value)), maxDecompressedBytes))
		if err != nil {
			return fmt.Errorf("decompress %s: %w", docs[i].Key, err)
		}
		docs[i].Value, docs[i].Packed = value, false
	}
	return nil
}
