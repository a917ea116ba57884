package codes_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Guards against a code whose Ran value contradicts the thousands digit of its number.
func TestRanFollowsNumber(t *testing.T) {
	assert.Equal(t, codes.Overloaded.Ran(), codes.NotRun)
	assert.Equal(t, codes.TargetFailed.Ran(), codes.Did)
	assert.Equal(t, codes.OutcomeUnknown.Ran(), codes.Unknown)
	assert.Equal(t, codes.Code(0).Ran(), codes.Unknown)
}

// Guards against codes that are listed twice or out of order in All.
func TestTableAscends(t *testing.T) {
	for i := 1; i < len(codes.All); i++ {
		assert.Assert(t, codes.All[i-1].Code < codes.All[i].Code, codes.All[i].Name)
	}
}

// Guards against a result code that can't be read back from the error that carries it.
func TestOf(t *testing.T) {
	assert.Equal(t, codes.Of(codes.New(codes.Excluded, "target %s", "t1")), codes.Excluded)
	assert.Equal(t, codes.Of(errors.New("plain")), codes.Code(0))
}
