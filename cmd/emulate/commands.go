package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

// filePollInterval is the interval at which published files are checked for changes.
const filePollInterval = 200 * time.Millisecond

const (
	platformHelp = "Serves GET /v1/read?key= and GET /v1/watch?key=&after=&wait_ms= for the keys rules, vms and " +
		"services. A file that changes is published as the next revision. Calls above the budget get status 429."
	targetHelp = "Serves POST /v1/sub, POST /v1/order and GET /v1/health for one target with one snapshot. The " +
		"target holds each --shard ID=DOCUMENTS; replies have no part for other shards."
	fleetHelp = "Serves every target of a preset, each on its own loopback port, and the platform, which publishes " +
		"the targets. Entry VM i is published with 127.0.0.1 and port entry-port+2i for callers and the port after it for " +
		"peers. With --state the process writes the platform address, the entry VMs and all target addresses to a " +
		"file once the targets and the platform accept connections."
)

// publishedFile is a file whose content the platform publishes under a key. If the path is empty, nothing is published.
type publishedFile struct {
	key, path   string
	lastContent []byte // content of the last publication
}

// publishFiles publishes the files, and starts a goroutine that publishes each file again when its content changes, until ctx
// ends.
func publishFiles(ctx context.Context, p *emul.Platform, files []*publishedFile) error {
	for _, f := range files {
		if err := f.publish(p); err != nil {
			return err
		}
	}
	go func() {
		tick := time.NewTicker(filePollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			for _, f := range files {
				if err := f.publish(p); err != nil {
					log.Error("cannot publish file; the last published revision stays", "key", f.key, "err", err)
				}
			}
		}
	}()
	return nil
}

// publish publishes the file if its content differs from the last publication.
func (f *publishedFile) publish(p *emul.Platform) error {
	if f.path == "" {
		return nil
	}
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return fmt.Errorf("read file for key %s: %w", f.key, err)
	}
	if f.lastContent != nil && bytes.Equal(raw, f.lastContent) {
		return nil
	}
	revision, err := p.Publish(f.key, raw)
	if err != nil {
		return err
	}
	f.lastContent = append([]byte{}, raw...)
	log.Info("published document", "key", f.key, "revision", revision, "bytes", len(raw))
	return nil
}

// platformCommand holds the options of the subcommand platform.
type platformCommand struct {
	controlOption
	Listen   string        `long:"listen" value-name:"ADDR" default:"127.0.0.1:7000" description:"address to serve on"`
	Rules    string        `long:"rules" value-name:"FILE" description:"rules file"`
	VMs      string        `long:"vms" value-name:"FILE" description:"list of entry VMs, JSON"`
	Services string        `long:"services" value-name:"FILE" description:"services with targets and partitions, JSON"`
	Latency  time.Duration `long:"latency" default:"2ms" description:"delay of each call"`
	Budget   int           `long:"budget" default:"2000" description:"calls per second of all readers together"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	ctx, cancel := contextUntilSignal()
	defer cancel()
	p := &emul.Platform{Latency: c.Latency, Budget: c.Budget}
	files := []*publishedFile{
		{key: plat.KeyRules, path: c.Rules},
		{key: plat.KeyVMs, path: c.VMs},
		{key: plat.KeyServices, path: c.Services},
	}
	if err := publishFiles(ctx, p, files); err != nil {
		return err
	}
	l, err := listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	defer p.Serve(l)()
	closeControl, err := c.serveControl(ctx, &emul.Control{Platform: p})
	if err != nil {
		return err
	}
	defer closeControl()
	log.Info("platform ready", "addr", l.Addr().String())
	<-ctx.Done()
	log.Info("platform stopped", "counts", p.Counts())
	return nil
}

// targetCommand holds the options of the subcommand target.
type targetCommand struct {
	controlOption
	Listen      string            `long:"listen" value-name:"ADDR" default:"127.0.0.1:9000" description:"address to serve on"`
	ID          string            `long:"id" required:"true" description:"id of the target"`
	Service     string            `long:"service" required:"true" description:"service of the target"`
	Slots       int               `long:"slots" default:"2" description:"concurrent sub-requests and orders"`
	Connections int               `long:"connections" default:"25" description:"limit of open connections; further ones are reset"`
	ConnCost    time.Duration     `long:"conn-cost" default:"6ms" description:"delay of the first request of a connection"`
	Mean        time.Duration     `long:"mean" default:"8ms" description:"mean service time"`
	Jitter      time.Duration     `long:"jitter" default:"3ms" description:"largest deviation from the mean, uniform"`
	ColdSlots   int               `long:"cold-bears" default:"1" description:"highest concurrency while cold"`
	ColdFactor  float64           `long:"cold-factor" default:"3" description:"factor of the service time while cold"`
	WarmReplies int               `long:"warm-replies" default:"20" description:"successful replies until it is warm"`
	WarmTime    time.Duration     `long:"warm-time" default:"0s" description:"time until it is warm"`
	StartWarm   bool              `long:"start-warm" description:"the first incarnation is warm"`
	RestartTime time.Duration     `long:"restart-time" default:"500ms" description:"time after a crash in which connections are reset"`
	Mode        string            `long:"mode" choice:"shed" choice:"collapse" default:"shed" description:"reaction to overload"`
	Generation  uint64            `long:"generation" default:"1" description:"generation of the shard layout"`
	Version     uint64            `long:"version" default:"1" description:"index version"`
	Shard       map[uint32]uint64 `long:"shard" key-value-delimiter:"=" value-name:"ID=DOCUMENTS" description:"shard that the target holds; repeatable"`
	Seed        uint64            `long:"seed" default:"1" description:"seed of the service times"`
}

// Execute implements flags.Commander.
func (c *targetCommand) Execute([]string) error {
	ctx, cancel := contextUntilSignal()
	defer cancel()
	t := &emul.Target{
		ID: c.ID, Service: c.Service, Slots: c.Slots, MaxConns: c.Connections, ConnCost: c.ConnCost,
		Mean: c.Mean, Jitter: c.Jitter, ColdSlots: c.ColdSlots, ColdFactor: c.ColdFactor, WarmReplies: c.WarmReplies,
		WarmTime: c.WarmTime, StartWarm: c.StartWarm, RestartTime: c.RestartTime, Mode: emul.OverloadMode(c.Mode), Seed: c.Seed,
		Holdings: []emul.HeldSnapshot{{Generation: c.Generation, Version: c.Version, Documents: c.Shard}},
		// The start time serves as the incarnation, because a process that is started again must have a higher one.
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	l, err := listen(ctx, c.Listen)
	if err != nil {
		return err
	}
	defer t.Serve(l)()
	targets := map[string]*emul.Target{t.ID: t}
	closeControl, err := c.serveControl(ctx, &emul.Control{Targets: targets})
	if err != nil {
		return err
	}
	defer closeControl()
	log.Info("target ready", "id", c.ID, "addr", l.Addr().String(), "seed", c.Seed)
	<-ctx.Done()
	drainTargets(targets)
	log.Info("target stopped", "id", c.ID, "counts", t.Counts())
	return nil
}

// fleetCommand holds the options of the subcommand fleet.
type fleetCommand struct {
	controlOption
	Preset    string `long:"preset" choice:"small" choice:"head-office" choice:"dredger" default:"small" description:"sizes; see docs/design.md"`
	Platform  string `long:"platform" value-name:"ADDR" default:"127.0.0.1:7000" description:"address of the platform"`
	Rules     string `long:"rules" value-name:"FILE" required:"true" description:"rules file, published again when it changes"`
	EntryPort uint16 `long:"entry-port" default:"18000" description:"first port of the entry VMs"`
	Mode      string `long:"mode" choice:"shed" choice:"collapse" default:"collapse" description:"reaction of targets to overload"`
	State     string `long:"state" value-name:"FILE" description:"file for the addresses, JSON"`
	Seed      uint64 `long:"seed" default:"1" description:"seed of the service times"`
}

// fleetState is the content of the file that --state names.
type fleetState struct {
	Platform netip.AddrPort `json:"platform"`
	Control  string         `json:"control,omitempty"`
	VMs      []plat.VM      `json:"vms"`
	Services []plat.Service `json:"services"`
}

// Execute implements flags.Commander.
func (c *fleetCommand) Execute([]string) error {
	ctx, cancel := contextUntilSignal()
	defer cancel()
	presets := map[string]func() emul.FleetSpec{"small": emul.Small, "head-office": emul.HeadOffice, "dredger": emul.Dredger}
	f := presets[c.Preset]().Build()
	f.SetLoopbackAddrs(c.EntryPort)
	platformAddr := f.Platform
	// The platform listens on the address of --platform, each target on a free loopback port.
	listenAt := func(addr netip.AddrPort) (net.Listener, error) {
		if addr == platformAddr {
			return listen(ctx, c.Platform)
		}
		return emul.Loopback(addr)
	}
	runningFleet, stop, err := f.Start(listenAt, func(t *emul.Target) {
		t.Mode = emul.OverloadMode(c.Mode)
		t.RestartTime = 500 * time.Millisecond
		t.Seed += c.Seed << 32
		t.Incarnation = uint64(time.Now().UnixMilli()) // higher than that of an earlier process
	})
	if err != nil {
		return err
	}
	defer stop()
	rules, err := os.ReadFile(c.Rules)
	if err != nil {
		return fmt.Errorf("read rules file: %w", err)
	}
	if err := f.Publish(runningFleet.Platform, string(rules)); err != nil {
		return err
	}
	if err := publishFiles(ctx, runningFleet.Platform, []*publishedFile{{key: plat.KeyRules, path: c.Rules, lastContent: rules}}); err != nil {
		return err
	}
	control := &emul.Control{Platform: runningFleet.Platform, Targets: runningFleet.Targets}
	closeControl, err := c.serveControl(ctx, control)
	if err != nil {
		return err
	}
	defer closeControl()
	if err := c.writeState(f); err != nil {
		return err
	}
	log.Info("fleet ready", "platform", f.Platform.String(), "targets", len(runningFleet.Targets), "entry_vms", len(f.VMs), "seed", c.Seed)
	<-ctx.Done()
	drainTargets(runningFleet.Targets)
	log.Info("fleet stopped", "platform_counts", runningFleet.Platform.Counts())
	return nil
}

// writeState writes the state file under a temporary name and renames it, so that a process that waits for the state file
// never reads an incomplete one. Without --state it does nothing.
func (c *fleetCommand) writeState(f *emul.Fleet) error {
	if c.State == "" {
		return nil
	}
	raw, err := json.MarshalIndent(fleetState{Platform: f.Platform, Control: c.Control, VMs: f.VMs, Services: f.Services}, "", "  ")
	if err != nil {
		return fmt.Errorf("encode state file: %w", err)
	}
	tempPath := c.State + ".part"
	if err := os.WriteFile(tempPath, append(raw, '\n'), 0o644); err != nil {
		return fmt.Errorf("write state file: %w", err)
	}
	return os.Rename(tempPath, c.State)
}
