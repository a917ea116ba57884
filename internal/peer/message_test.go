package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/policy"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/target"
)

// sampleFrames returns frames for the round-trip test and as seeds of the fuzz test, among them the kinds with nested data.
func sampleFrames() []Frame {
	return []Frame{
		{Hello: &Hello{Version: Version, VM: "vm-1", DataCentre: "dc-a", Incarnation: 7}},
		{Ping: &Ping{Seq: 1, Digest: policy.Revisions{Rules: 3}}},
		{Document: &plat.Document{Key: plat.KeyRules, Revision: 4, Value: []byte("exclude vm a # b: c")}},
		{Work: &WorkRequest{ID: 5, Target: "t1", Sub: &target.Sub{RequestID: "r", Shards: []uint32{1, 2}}, DeadlineMS: 20}},
		{WorkReply: &WorkReply{ID: 5, Code: 1000, Sub: &target.SubReply{Parts: []target.Part{{Shard: 1, Documents: 9}}}}},
		{Crash: &Crash{Target: "t1", Incarnation: 2, Fingerprints: []uint64{11}}},
	}
}

// Guards against a field that is lost by encoding and decoding, for example because two fields have the same CBOR name.
func TestRoundTrip(t *testing.T) {
	for _, f := range sampleFrames() {
		raw, err := Encode(f)
		assert.NilError(t, err)
		got, err := Decode(raw)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, f)
	}
}

// Guards against refusing messages of a newer version because they have fields that this version doesn't know.
func TestUnknownFieldIsIgnored(t *testing.T) {
	// {"ping": {"seq": 9, "new": true}, "later": 1}
	raw := []byte("\xa2\x64ping\xa2\x63seq\x09\x63new\xf5\x65later\x01")
	f, err := Decode(raw)
	assert.NilError(t, err)
	assert.Equal(t, f.Ping.Seq, uint64(9))
}

// Guards against input from a peer that makes Decode panic, or that decodes to a frame which can't be encoded.
func FuzzDecode(f *testing.F) {
	for _, frame := range sampleFrames() {
		raw, err := Encode(frame)
		assert.NilError(f, err)
		f.Add(raw)
	}
	f.Add([]byte("\xff\xff\xff"))
	f.Add([]byte("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := Decode(raw)
		if err != nil {
			return
		}
		_, err = Encode(frame)
		assert.NilError(t, err)
	})
}
