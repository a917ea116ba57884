package cmds

import (
	"os"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fuchsiarelay": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against a command line that accepts bad input, doesn't report a fault, or exits with another code than
// the documented one. The first lines of each script name the failure that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": checkExitCode,
		},
	})
}

// checkExitCode implements the script command exits, which runs a command and compares its exit code, as in
// "exits 2 fuchsiarelay serve".
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE COMMAND [ARG...]")
	}
	code := "0"
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		code = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if code != args[0] {
		ts.Fatalf("exit code is %s, want %s", code, args[0])
	}
}
