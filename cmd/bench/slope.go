package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/fuchsiarelay/fuchsiarelay/internal/slope"
)

// controlCommand holds the options of the subcommand control, which measures the control traffic of idle fleets.
type controlCommand struct {
	Sizes    []int         `long:"nodes" default:"8" default:"16" default:"32" default:"64" default:"128" description:"fleet size; repeatable"`
	Overlay  string        `long:"overlay" choice:"mesh" choice:"bounded" default:"bounded" description:"neighbours of a process"`
	Targets  int           `long:"targets-per-node" default:"6" description:"published targets per node"`
	IdleTime time.Duration `long:"steady" default:"10s" description:"length of the measured idle phase"`
	Procs    int           `long:"procs" default:"4" description:"cores to use at most"`
}

// Execute implements flags.Commander.
func (c *controlCommand) Execute([]string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	runtime.GOMAXPROCS(c.Procs)
	rows, err := slope.MeasureControl(ctx, slope.ControlOptions{
		Sizes: c.Sizes, Overlay: slope.Overlay(c.Overlay), TargetsPerNode: c.Targets, IdleTime: c.IdleTime,
	})
	if len(rows) > 0 {
		if writeErr := slope.WriteControl(os.Stdout, rows); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// costCommand holds the options of the subcommand cost, which measures the parts of the query path.
type costCommand struct {
	FanOuts  []int         `long:"fan-out" default:"10" default:"50" default:"150" description:"targets of a query; repeatable"`
	Duration time.Duration `long:"for" default:"2s" description:"length of each measurement"`
	Procs    int           `long:"procs" default:"4" description:"cores to use at most"`
}

// Execute implements flags.Commander.
func (c *costCommand) Execute([]string) error {
	runtime.GOMAXPROCS(c.Procs)
	rows, err := slope.MeasureCost(context.Background(), slope.CostOptions{FanOuts: c.FanOuts, Duration: c.Duration})
	if err != nil {
		return err
	}
	return slope.WriteCost(os.Stdout, rows)
}

// addSlopeCommands adds the subcommands control and cost to the parser. docs/CAPACITY.md is based on their output.
func addSlopeCommands(parser *flags.Parser) error {
	parser.SubcommandsOptional = true
	if _, err := parser.AddCommand("control", "measure idle fleets", "Starts fleets on loopback and measures what control costs each node.", &controlCommand{}); err != nil {
		return fmt.Errorf("add command control: %w", err)
	}
	if _, err := parser.AddCommand("cost", "measure the query path", "Measures what a query and a sub-request cost a node.", &costCommand{}); err != nil {
		return fmt.Errorf("add command cost: %w", err)
	}
	return nil
}
