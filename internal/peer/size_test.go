package peer

import (
	"testing"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// BenchmarkEncode measures encoding and decoding of the most frequent messages, and reports their sizes.
func BenchmarkEncode(b *testing.B) {
	revisions := policy.Revisions{Rules: 120, VMs: 4000, Services: 900}
	for name, f := range map[string]Frame{
		"ping": {Ping: &Ping{Seq: 100000, Digest: revisions}},
		"pong": {Pong: &Pong{Seq: 100000, Digest: revisions, EvidenceAgeMS: 400, Incarnation: 1 << 62}},
		"note": {TargetStatus: &TargetStatus{
			Target: "counter-desk-01-t2", Incarnation: 1 << 62, State: target.Warm, Level: 2, Primary: true,
			Served: []target.Served{{Service: "counter-desk-01", Generation: 12, Version: 100}},
		}},
		"work": {Work: &WorkRequest{ID: 1 << 20, Target: "counter-desk-01-t2", DeadlineMS: 140, Fingerprint: 1 << 62, Sub: &target.Sub{
			RequestID: "0123456789abcdef", SubID: 1 << 20, Service: "counter-desk-01", Generation: 12, Version: 100, Shards: []uint32{1, 2, 3},
			Query: "mats of 1998 with a red border",
		}}},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				raw, err := Encode(f)
				if err != nil {
					b.Fatal(err)
				}
				n = len(raw)
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(n), "bytes")
		})
	}
}
