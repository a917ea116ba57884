// Package causes counts by cause the requests that entry processes have logged because they were not answered completely.
//
// # Usage
//
//	table := causes.New(2 * time.Second)
//	for _, file := range logs {
//		if err := table.Read(file); err != nil { ... }
//	}
//	for _, row := range table.Rows() { ... }
//
// The input is the JSON log of one or more processes, plain or compressed with gzip. Text before the first brace of a line,
// such as the name of a process that a log collector adds, is ignored, and so are lines that aren't JSON. Files may be read in
// any order, and the lines of a file need not be in the order of time.
package causes

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// maxLine is the largest line that is read, in bytes. Longer lines are skipped.
const maxLine = 1 << 20

// Cause is what the rows of a Table are grouped by. Reason says why a request ended, After how the last send before that ended;
// the names are those of package fanout.
type Cause struct {
	Window                        time.Time // start
	Route, Outcome, Reason, After string
}

// Row counts the requests of one cause.
type Row struct {
	Cause
	Logged     int            // requests with a log line
	Suppressed int            // lines of the same result code that the rate limit of the log has dropped before these
	Missing    map[string]int // missing parts that the lines name, as "shard:reason"; a line names the first few only
}

// Table counts log lines. Use New.
type Table struct {
	window  time.Duration
	rows    map[Cause]*Row
	Skipped int // lines that are too long, or begin a JSON object that can't be decoded
}

// New returns a table without rows, whose windows have the given length.
func New(window time.Duration) *Table { return &Table{window: window, rows: map[Cause]*Row{}} }

// line holds the fields of a log line that are counted.
type line struct {
	Time       time.Time `json:"time"`
	Message    string    `json:"msg"`
	Route      string    `json:"route"`
	Outcome    string    `json:"outcome"`
	Reason     string    `json:"reason"`
	After      string    `json:"after"`
	Missed     []string  `json:"missed"`
	Suppressed int       `json:"suppressed"`
}

// requestMessage is the message of a line about one request.
const requestMessage = "request"

// Read counts the lines of one log.
func (t *Table) Read(log io.Reader) error {
	reader := bufio.NewReaderSize(log, maxLine)
	if magic, err := reader.Peek(2); err == nil && magic[0] == 0x1f && magic[1] == 0x8b {
		unzipped, err := gzip.NewReader(reader)
		if err != nil {
			return fmt.Errorf("decompress log: %w", err)
		}
		reader = bufio.NewReaderSize(unzipped, maxLine)
	}
	for {
		raw, err := reader.ReadSlice('\n')
		tooLong := errors.Is(err, bufio.ErrBufferFull)
		for errors.Is(err, bufio.ErrBufferFull) {
			_, err = reader.ReadSlice('\n')
		}
		if tooLong {
			t.Skipped++
		} else {
			t.add(raw)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// add counts one line.
func (t *Table) add(raw []byte) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return
	}
	var l line
	if err := json.Unmarshal(raw[start:], &l); err != nil {
		t.Skipped++
		return
	}
	if l.Message != requestMessage {
		return
	}
	cause := Cause{l.Time.Truncate(t.window), l.Route, l.Outcome, l.Reason, l.After}
	row := t.rows[cause]
	if row == nil {
		row = &Row{Cause: cause, Missing: map[string]int{}}
		t.rows[cause] = row
	}
	row.Logged++
	row.Suppressed += max(l.Suppressed, 0)
	for _, part := range l.Missed {
		row.Missing[part]++
	}
}

// Rows returns the rows by time, and those of a window by their number of requests.
func (t *Table) Rows() []*Row {
	return slices.SortedFunc(maps.Values(t.rows), func(a, b *Row) int {
		return cmp.Or(a.Window.Compare(b.Window), cmp.Compare(b.Logged+b.Suppressed, a.Logged+a.Suppressed),
			strings.Compare(a.Route, b.Route), strings.Compare(a.Outcome, b.Outcome), strings.Compare(a.Reason, b.Reason), strings.Compare(a.After, b.After))
	})
}

// MostMissing returns the n missing parts that are named most often, with their numbers.
func (r *Row) MostMissing(n int) (parts []string) {
	names := slices.SortedFunc(maps.Keys(r.Missing), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Missing[b], r.Missing[a]), strings.Compare(a, b))
	})
	for _, name := range names[:min(n, len(names))] {
		parts = append(parts, fmt.Sprintf("%s x%d", name, r.Missing[name]))
	}
	return parts
}
