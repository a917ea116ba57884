// Command emulate runs stand-ins for what lies outside fuchsiarelay: targets and the platform.
//
// # Usage
//
//	emulate platform --listen 127.0.0.1:7000 --rules rules.txt --vms vms.json --services services.json
//	emulate target --listen 127.0.0.1:9000 --id ledger-t1 --service ledger --slots 2 --shard 0=1000
//	emulate fleet --preset small --rules rules.txt --entry-port 18000 --state fleet.json
//
// Each subcommand takes --control for a second listener through which faults are set while it runs:
//
//	curl -d '{"action":"fall_cold","target":"ledger-t1"}' http://127.0.0.1:7100/control
//	curl http://127.0.0.1:7100/counts
//
// Published files are read again every 200 ms and published when they have changed. The log is JSON lines
// on standard error. SIGTERM and SIGINT drain the targets, wait for running work and stop.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
)

// drainTimeout bounds the wait for running work after a stop signal.
const drainTimeout = 30 * time.Second

// drainPollInterval is the interval at which running work is looked at during a stop.
const drainPollInterval = 20 * time.Millisecond

// helpText has one line per paragraph, because go-flags wraps lines at the width of the terminal; table
// lines stay below 78 columns.
const helpText = `Stand-ins for the targets and the platform of fuchsiarelay, for demonstrations and tests.

` +
	`A stand-in target has a fixed number of slots and no queue. Work beyond the slots (or beyond what it bears ` +
	`while cold) is recorded as an overload and either shed with 503, or makes the target collapse: it restarts ` +
	`cold, with a new incarnation, and breaks all its connections. It logs every piece of work that it starts.

` +
	`Faults are set through the control listener (--control), with POST /control and a JSON body. Without ` +
	`"target":ID an action applies to all targets of the process.

{"action":"drain","on":true}         refuse new work; false ends it
{"action":"fall_cold"}               cold, new incarnation, connections stay
{"action":"crash"}                   reset connections, lose running work
{"action":"straggle","factor":5}     slower work; 1 ends it
{"action":"silence"}                 open connections go silent
{"action":"truncate","n":20}         cut reply bodies; 0 ends it
{"action":"partial_parts","factor":0.5}  fewer documents; 1 ends it
{"action":"poison","texts":["q"]}    crash on these query texts
{"action":"wrong_ids","n":3}         wrong request id in n replies
{"action":"lie_health","stamp":{"state":"warm"}}  no stamp: tell the truth
{"action":"lag_health","n":5000}     health page lags by n milliseconds
{"action":"holdings","holdings":[]}  replace the snapshots that it serves
{"action":"publish","key":"rules","value":"..."}  publish a document
{"action":"platform_down","on":true} break every platform call
{"action":"platform_stale","n":2}    answer older revisions; 0 ends it

GET /counts returns totals of all logs. GET /runs?target=ID returns everything that one target ran and ` +
	`every overload.`

type controlOption struct {
	Control string `long:"control" value-name:"ADDR" description:"address of the control listener; none by default"`
}

// serveControl answers control requests until the returned function is called.
func (o controlOption) serveControl(ctx context.Context, c *emul.Control) (func(), error) {
	if o.Control == "" {
		return func() {}, nil
	}
	l, err := listen(ctx, o.Control)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: c, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(l) }()
	log.Info("control listener ready", "addr", l.Addr().String())
	return func() { _ = srv.Close() }, nil
}

func listen(ctx context.Context, addr string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("address %q: %w", addr, err)
	}
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

// stopSignal returns a context that ends at the first SIGTERM or SIGINT.
func stopSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// drain refuses new work at all targets and waits for running work.
func drain(targets map[string]*emul.Target) {
	for _, t := range targets {
		t.Drain(true)
	}
	deadline := time.Now().Add(drainTimeout)
	for id, t := range targets {
		for t.Stamp().Load.InFlight > 0 {
			if time.Now().After(deadline) {
				log.Warn("stopping with work in flight", "target", id, "in_flight", t.Stamp().Load.InFlight)
				return
			}
			time.Sleep(drainPollInterval)
		}
	}
	log.Info("all running work is finished")
}

func main() {
	log.SetFormatter(log.JSONFormatter)
	log.SetReportTimestamp(true)
	log.SetTimeFormat(time.RFC3339Nano)
	parser := flags.NewNamedParser("emulate", flags.Default&^flags.PrintErrors)
	parser.ShortDescription = "stand-in targets and platform"
	parser.LongDescription = helpText
	addCommand(parser, "platform", "run the configuration service", platformHelp, &platformCommand{})
	addCommand(parser, "target", "run one target", targetHelp, &targetCommand{})
	addCommand(parser, "fleet", "run all targets of a fleet and the platform in one process", fleetHelp, &fleetCommand{})
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		log.Error("emulate failed", "err", err)
		os.Exit(1)
	}
}

func addCommand(p *flags.Parser, name, short, long string, command any) {
	if _, err := p.AddCommand(name, short, long, command); err != nil {
		panic(err) // a struct tag is malformed
	}
}
