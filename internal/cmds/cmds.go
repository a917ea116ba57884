// Package cmds implements the command line of fuchsiarelay.
//
// # Usage
//
//	os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr))
//
// Commands:
//
//	serve --config FILE                  run one entry process
//	forward [--config FILE] [--check]    run one entry process on the users' platform
//	check [--config FILE] [--rules FILE] list every error in a settings file and a rules file
//	explain --rules FILE --tenant NAME   list the rules that apply to a request, who asked for them, and why
//	query --addr ADDR ... TEXT           send one query as a caller
//	order --addr ADDR ... BODY           place one order as a caller
//	status --addr ADDR                   describe a running entry process
//	trace --failed FILE...               count logged requests by cause
//	example-config                       print a settings file with every key
//	completion                           print the completion script for bash
//	version                              print the version
//
// Results go to standard output, errors and logs to standard error, except that forward logs to standard output. The exit
// codes are the constants whose names begin with Exit.
package cmds

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Exit codes of the program. Only the commands query and order return 3 to 6.
const (
	ExitOK      = 0 // done; the answer is complete or the order was executed
	ExitFailure = 1 // the command failed, or check found errors in a file
	ExitUsage   = 2 // the command line is wrong
	ExitPartial = 3 // the answer is partial
	ExitNotRun  = 4 // the request certainly did not run: it was refused or never sent
	ExitFailed  = 5 // the request ran and failed
	ExitUnknown = 6 // the request may or may not have run
)

// app holds the output streams that all commands share.
type app struct {
	stdout, stderr io.Writer
}

// exitError is an error together with the exit code of the program. If err is nil, Run prints no message, because the command
// has already printed its result.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string {
	if e.err == nil {
		return fmt.Sprintf("exit code %d", e.code)
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

// usageError returns an error that makes the program exit with ExitUsage.
func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// Run executes one command line, given without the program name, and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr}
	_, err := a.parser().ParseArgs(args)
	var flagErr *flags.Error
	var exit *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr):
		exit = &exitError{ExitUsage, flagErr}
	case !errors.As(err, &exit):
		exit = &exitError{ExitFailure, err}
	}
	if exit.err != nil {
		_, _ = fmt.Fprintf(stderr, "fuchsiarelay: %v\n", exit.err)
	}
	if exit.code == ExitUsage {
		_, _ = fmt.Fprintln(stderr, "Run fuchsiarelay --help, or fuchsiarelay COMMAND --help.")
	}
	return exit.code
}

// parser returns a parser of the command line that knows all commands.
func (a *app) parser() *flags.Parser {
	p := flags.NewNamedParser("fuchsiarelay", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "query tier between callers and sharded targets"
	p.LongDescription = programHelp
	for _, c := range []struct {
		name, short, long string
		command           any
	}{
		{"serve", "run one entry process", serveHelp, &serveCommand{app: a}},
		{"forward", "run one entry process on the users' platform", forwardHelp, &forwardCommand{app: a}},
		{"check", "list every fault of a settings file and a rules file", checkHelp, &checkCommand{app: a}},
		{"explain", "say which rules touch a request, who asked for them, and why", explainHelp, &explainCommand{app: a}},
		{"query", "ask one query as a caller", queryHelp, &queryCommand{app: a}},
		{"order", "place one order as a caller", orderHelp, &orderCommand{app: a}},
		{"status", "describe a running entry process", statusHelp, &statusCommand{app: a}},
		{"trace", "count by cause the requests that were not answered completely", traceHelp, &traceCommand{app: a}},
		{"example-config", "print a settings file with every key", exampleHelp, &exampleCommand{app: a}},
		{"completion", "print the completion script for bash", completionHelp, &completionCommand{app: a}},
		{"version", "print the version", "Prints the version, the revision that it was built from, and the version of Go.", &versionCommand{app: a}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			panic(err) // can only be a malformed struct tag of the command
		}
	}
	return p
}

// rejectArguments returns a usage error if the command line has positional arguments that the command doesn't take, for example
// because the name of an option was forgotten.
func rejectArguments(args []string) error {
	if len(args) > 0 {
		return usageError("unexpected argument %q", args[0])
	}
	return nil
}

// exitCode returns the exit code of the program for the result code of a query or order.
func exitCode(c codes.Code) int {
	switch {
	case c == codes.Partial:
		return ExitPartial
	case c.OK():
		return ExitOK
	case c.Ran() == codes.NotRun:
		return ExitNotRun
	case c.Ran() == codes.Did:
		return ExitFailed
	}
	return ExitUnknown
}

// resultError returns an error that carries the exit code for c, or nil if that is ExitOK.
func resultError(c codes.Code) error {
	if code := exitCode(c); code != ExitOK {
		return &exitError{code: code}
	}
	return nil
}
