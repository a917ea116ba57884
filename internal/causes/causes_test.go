package causes

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const log = `front-1 {"time":"2026-09-11T16:33:52.1Z","msg":"request","route":"search","outcome":"partial","reason":"goal","missed":["s1:no_reply_yet","s2:busy"]}
front-2 {"time":"2026-09-11T16:33:53.9Z","msg":"request","route":"search","outcome":"partial","reason":"goal","missed":["s1:no_reply_yet"],"suppressed":3}
{"time":"2026-09-11T16:33:50.0Z","msg":"request","route":"book","outcome":"overloaded","reason":"busy"}
{"time":"2026-09-11T16:33:52.0Z","msg":"target","route":"search"}
plain text
{"time":"2026-09-11T16:33:5
`

// Guards against requests that are missing from the counts, in a plain log and in a compressed one: lines of collectors, lines
// that are out of order, and lines that the log's rate limit has dropped.
func TestCountsByCause(t *testing.T) {
	var zipped bytes.Buffer
	w := gzip.NewWriter(&zipped)
	_, err := w.Write([]byte(log))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	for _, input := range []string{log, zipped.String(), strings.TrimSuffix(log, "\n")} {
		table := New(2 * time.Second)
		assert.NilError(t, table.Read(strings.NewReader(input)))
		rows := table.Rows()
		assert.Equal(t, len(rows), 2)
		assert.Equal(t, rows[0].Route, "book")
		assert.Equal(t, rows[1].Logged, 2)
		assert.Equal(t, rows[1].Suppressed, 3)
		assert.DeepEqual(t, rows[1].MostMissing(1), []string{"s1:no_reply_yet x2"})
		assert.Equal(t, table.Skipped, 1)
	}
}

// Guards against a line without end that fills the memory or ends the count.
func TestLongLine(t *testing.T) {
	table := New(2 * time.Second)
	assert.NilError(t, table.Read(strings.NewReader("{"+strings.Repeat("x", 3*maxLine)+"\n"+log)))
	assert.Equal(t, len(table.Rows()), 2)
	assert.Equal(t, table.Skipped, 2)
}
