package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// decodeLines decodes the lines that were written since the last call.
func decodeLines(t *testing.T, out *bytes.Buffer) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for dec := json.NewDecoder(out); dec.More(); {
		var line map[string]any
		assert.NilError(t, dec.Decode(&line))
		lines = append(lines, line)
	}
	return lines
}

// newTestLogger returns a logger, the buffer to which it writes, and the time that its rate limits use.
func newTestLogger(t *testing.T, level string) (*Logger, *bytes.Buffer, *time.Time) {
	t.Helper()
	var out bytes.Buffer
	l, err := New(&out, level)
	assert.NilError(t, err)
	now := time.Unix(1_000_000, 0)
	l.limiter.now = func() time.Time { return now }
	return l, &out, &now
}

// Guards against lines that are not JSON, and against levels that are wrong or invalid but accepted.
func TestJSON(t *testing.T) {
	l, out, _ := newTestLogger(t, "warn")
	l.Info("hidden")
	l.With("vm", "a").Warn("shown\n", "n", 1)
	got := decodeLines(t, out)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0]["vm"], "a")
	assert.Equal(t, got[0]["level"], "warn")
	_, err := time.Parse(time.RFC3339Nano, got[0]["time"].(string))
	assert.NilError(t, err)
	for _, bad := range []string{"", "loud", "fatal"} {
		_, err = New(out, bad)
		assert.ErrorContains(t, err, "expected debug, info, warn or error")
	}
}

// Guards against a repeated line that floods the log, and against suppressed lines that are not counted.
func TestEvery(t *testing.T) {
	l, out, now := newTestLogger(t, "info")
	for range 5 {
		l.Every("a", time.Second).Warn("again")
		l.With("x", 1).Every("a", time.Second).Warn("again")
		l.Every("a", time.Second).Debug("below the level")
	}
	l.Every("b", time.Second).Error("another key")
	got := decodeLines(t, out)
	assert.Equal(t, len(got), 2)
	*now = now.Add(999 * time.Millisecond)
	l.Every("a", time.Second).Warn("again")
	assert.Equal(t, len(decodeLines(t, out)), 0)
	*now = now.Add(time.Millisecond)
	l.Every("a", time.Second).Warn("again", "k", "v")
	got = decodeLines(t, out)
	assert.Equal(t, got[0]["suppressed"], 10.0)
	assert.Equal(t, got[0]["k"], "v")
	*now = now.Add(time.Second)
	l.Every("a", time.Second).Warn("again")
	_, found := decodeLines(t, out)[0]["suppressed"]
	assert.Assert(t, !found)
}

// Guards against keys made from input that exhaust memory, and against data races between goroutines that log.
func TestKeysAreBounded(t *testing.T) {
	l, _, _ := newTestLogger(t, "info")
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				l.Every(fmt.Sprint(g, " ", i), time.Hour).Info("x")
			}
		})
	}
	wg.Wait()
	assert.Equal(t, len(l.limiter.buckets), MaxKeys+1)
}

func BenchmarkSuppressed(b *testing.B) {
	l, err := New(&bytes.Buffer{}, "info")
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		l.Every("key", time.Hour).Warn("again")
	}
}
