// Command fuchsiarelay is a query tier between callers and sharded targets.
//
// # Usage
//
//	fuchsiarelay example-config > node.ini
//	fuchsiarelay check --config node.ini --rules rules.txt
//	fuchsiarelay serve --config node.ini
//	fuchsiarelay query --addr 10.0.0.7:8080 --service billing --class clerk --tenant dredger "ticket 4471"
//
// "fuchsiarelay --help" lists all commands and exit codes; package internal/cmds implements them.
package main

import (
	"os"

	"github.com/fuchsiarelay/fuchsiarelay/internal/cmds"
)

func main() { os.Exit(cmds.Run(os.Args[1:], os.Stdout, os.Stderr)) }
