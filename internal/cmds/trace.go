package cmds

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/internal/causes"
)

// namedParts is the number of missing parts that trace prints for each cause.
const namedParts = 3

type traceCommand struct {
	app    *app
	Failed bool          `long:"failed" required:"true" description:"count the requests that were not answered completely, by cause"`
	Window time.Duration `long:"window" value-name:"DURATION" default:"2s" description:"length of the windows of time"`
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute(files []string) error {
	switch {
	case len(files) == 0:
		return usageError("trace needs at least one log file, or - for standard input")
	case c.Window <= 0:
		return usageError("--window: expected a positive duration, found %s", c.Window)
	}
	table := causes.New(c.Window)
	for _, name := range files {
		if err := readLog(table, name); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	w := tabwriter.NewWriter(c.app.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "window\troute\toutcome\treason\tafter\tlogged\tsuppressed\tmost missing")
	for _, r := range table.Rows() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.Window.Format("15:04:05.0"), r.Route, r.Outcome, r.Reason, r.After, r.Logged, r.Suppressed, strings.Join(r.MostMissing(namedParts), ", "))
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if table.Skipped > 0 {
		_, _ = fmt.Fprintf(c.app.stderr, "fuchsiarelay: %d lines skipped, since they are cut or too long\n", table.Skipped)
	}
	return nil
}

// readLog counts the lines of a log file, or of standard input if the name is "-".
func readLog(table *causes.Table, name string) error {
	if name == "-" {
		return table.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func(c io.Closer) { _ = c.Close() }(f)
	return table.Read(f)
}
