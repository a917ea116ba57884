// Command emulate runs stand-ins for the systems that fuchsiarelay works with: targets and the platform.
//
// # Usage
//
//	emulate platform --listen 127.0.0.1:7000 --rules rules.txt --vms vms.json --services services.json
//	emulate target --listen 127.0.0.1:9000 --id ledger-t1 --service ledger --slots 2 --shard 0=1000
//	emulate fleet --preset small --rules rules.txt --entry-port 18000 --state fleet.json
//
// With --control, each subcommand opens a second listener through which faults are set at run time:
//
//	curl -d '{"action":"fall_cold","target":"ledger-t1"}' http://127.0.0.1:7100/control
//	curl http://127.0.0.1:7100/counts
//
// The subcommands platform and fleet read published files again every 200 ms, and publish a file again when its content has
// changed. The log is written to standard error as JSON lines. On SIGTERM or SIGINT the process drains the targets, waits up
// to 30 s for running work and exits.
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

// drainTimeout is the longest wait for running work after SIGTERM or SIGINT.
const drainTimeout = 30 * time.Second

// drainPollInterval is the interval at which a stopping process checks for running work.
const drainPollInterval = 20 * time.Millisecond

// helpText has one line per paragraph, because go-flags wraps lines at the width of the terminal. Lines of the table are
// shorter than 78 columns.
const helpText = `Stand-ins for the targets and the platform of fuchsiarelay, for demonstrations and tests.

` +
	`A stand-in target has a fixed number of slots and no queue. Work above the slots (or above the limit of a cold ` +
	`target) is recorded as an overload. The work is refused with 503, or makes the target collapse: restart cold, ` +
	`with a new incarnation, and reset all its connections. The target logs all work that it starts.

` +
	`Faults are set through the control listener (--control), with POST /control and a JSON body. Without ` +
	`"target":ID an action applies to all targets of the process.

{"action":"drain","on":true}         refuse new work; false ends the fault
{"action":"fall_cold"}               new cold incarnation, connections stay
{"action":"crash"}                   reset connections, lose running work
{"action":"straggle","factor":5}     multiply service times; 1 ends the fault
{"action":"silence"}                 drop all bytes of open connections
{"action":"truncate","n":20}         cut reply bodies at n bytes; 0 ends it
{"action":"partial_parts","factor":0.5}  fewer documents; 1 ends it
{"action":"poison","texts":["q"]}    crash on these query texts
{"action":"wrong_ids","n":3}         wrong request id in n replies
{"action":"lie_health","stamp":{"state":"warm"}}  show this; no stamp ends it
{"action":"lag_health","n":5000}     health page lags by n milliseconds
{"action":"holdings","holdings":[]}  replace the snapshots that it serves
{"action":"publish","key":"rules","value":"..."}  publish a document
{"action":"platform_down","on":true} break every platform call
{"action":"platform_stale","n":2}    answer older revisions; 0 ends it

GET /counts returns the totals of all logs. GET /runs?target=ID returns all work that one target ran, and ` +
	`every overload.`

// controlOption is the option --control, which all subcommands have.
type controlOption struct {
	Control string `long:"control" value-name:"ADDR" description:"address of the control listener; none by default"`
}

// serveControl serves the control listener until the returned function is called. Without --control it does nothing.
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

// listen opens a TCP listener on addr, an IP address and port. It rejects host names.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("parse address %q: %w", addr, err)
	}
	return (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
}

// contextUntilSignal returns a context that ends at the first SIGTERM or SIGINT.
func contextUntilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}

// drainTargets makes all targets refuse new work, and waits until running work has finished or drainTimeout has passed.
func drainTargets(targets map[string]*emul.Target) {
	for _, t := range targets {
		t.SetDraining(true)
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
		var flagsErr *flags.Error
		if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		log.Error("cannot parse arguments or run subcommand", "err", err)
		os.Exit(1)
	}
}

// addCommand adds a subcommand to the parser.
func addCommand(parser *flags.Parser, name, short, long string, command any) {
	if _, err := parser.AddCommand(name, short, long, command); err != nil {
		panic(err) // a struct tag of command is malformed
	}
}
