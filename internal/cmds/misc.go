package cmds

import (
	"fmt"
	"runtime/debug"

	"github.com/fuchsiarelay/fuchsiarelay/internal/conf"
)

type exampleCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *exampleCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	_, err := fmt.Fprint(c.app.stdout, conf.Example())
	return err
}

// bashCompletion is the completion script for bash. It runs the program with GO_FLAGS_COMPLETION set, which makes go-flags print
// the candidates.
const bashCompletion = `_fuchsiarelay() {
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    local IFS=$'\n'
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _fuchsiarelay fuchsiarelay
`

type completionCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *completionCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	_, err := fmt.Fprint(c.app.stdout, bashCompletion)
	return err
}

type versionCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *versionCommand) Execute(args []string) error {
	if err := rejectArguments(args); err != nil {
		return err
	}
	version, revision, goVersion := "unknown", "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	_, err := fmt.Fprintf(c.app.stdout, "fuchsiarelay %s\nrevision %s\n%s\n", version, revision, goVersion)
	return err
}
