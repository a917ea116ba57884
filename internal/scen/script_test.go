package scen_test

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/emul"
	"github.com/fuchsiarelay/fuchsiarelay/internal/scen"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// bubbleT implements testscript.T. It runs a script on the goroutine of a synctest bubble, where t.Run isn't allowed.
type bubbleT struct{ *testing.T }

func (b bubbleT) Parallel()                          {}
func (b bubbleT) Verbose() bool                      { return testing.Verbose() }
func (b bubbleT) Run(_ string, f func(testscript.T)) { f(b) }
func (b bubbleT) Skip(args ...any)                   { b.Fatal(args...) }

// script is the state of one scenario file.
type script struct {
	sim    *scen.Simulation
	tokens map[string]string // by the name that the script gives the token
}

// Guards against the failures that the first lines of the files in testdata/script name. Each method of script that
// implements a command of these files states the syntax of the command in its comment.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/script/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := &script{tokens: map[string]string{}}
				testscript.RunT(bubbleT{t}, testscript.Params{Files: []string{file}, Cmds: s.commands()})
			})
		})
	}
}

// commands returns the functions of the script commands by command name. No command is named kill or stop, because these
// names are built-in commands of testscript.
func (s *script) commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"fleet": s.startFleet, "start": s.start, "kill_process": s.forEachArg((*scen.Simulation).Kill),
		"suspend": s.forEachArg((*scen.Simulation).Suspend), "resume": s.forEachArg((*scen.Simulation).Resume),
		"planned_stop": s.plannedStop, "rules": s.rules, "sleep": s.sleep, "query": s.sendQuery, "token": s.requestToken,
		"order": s.sendOrder, "target": s.injectTargetFault, "platform": s.setPlatformState, "split": s.split,
		"unblock_links": s.unblockLinks, "exclude_data_centre": s.forEachArg((*scen.Simulation).ExcludeDataCentre),
		"include_data_centre": s.forEachArg((*scen.Simulation).IncludeDataCentre), "roll_out": s.rollOut,
		"publish_vms_without": s.publishVMsWithout, "addresses": s.checkAddresses, "check_invariants": s.checkInvariants,
		"ran": s.checkRunCount, "forbid": s.forbid,
	}
}

// startFleet starts the targets and the platform: fleet [RULES-FILE].
func (s *script) startFleet(ts *testscript.TestScript, _ bool, args []string) {
	cfg := scen.Config{Spec: emul.Small(), Rules: rulesText, Seed: 1}
	if len(args) > 0 {
		cfg.Rules = ts.ReadFile(args[0])
	}
	sim, closeSimulation, err := scen.New(cfg)
	ts.Check(err)
	ts.Defer(closeSimulation)
	s.sim = sim
}

// start starts the named entry processes, or all of them, and waits 7 s, after which they serve and their capacity shares
// have grown: start [ENTRY...].
func (s *script) start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Check(s.sim.StartAll())
	}
	for _, id := range args {
		ts.Check(s.sim.Start(id))
	}
	time.Sleep(7 * time.Second)
}

// forEachArg returns a command that calls f with each argument: kill_process|suspend|resume ENTRY... and
// exclude_data_centre|include_data_centre DATA-CENTRE...
func (s *script) forEachArg(f func(*scen.Simulation, string)) func(*testscript.TestScript, bool, []string) {
	return func(_ *testscript.TestScript, _ bool, args []string) {
		for _, id := range args {
			f(s.sim, id)
		}
	}
}

// plannedStop performs a planned stop of an entry process and waits until the process has ended: planned_stop ENTRY.
func (s *script) plannedStop(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(s.sim.Stop(args[0], 90*time.Second))
}

// rules publishes a rules file: rules FILE.
func (s *script) rules(ts *testscript.TestScript, _ bool, args []string) {
	s.sim.PublishRules(ts.ReadFile(args[0]))
}

// sleep lets the virtual time pass: sleep DURATION.
func (s *script) sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// checkCall fails the script unless the call matches all wanted words: the name of a result code, ran=, coverage=, version=,
// retry (the answer states a retry time) or within= (longest duration). A call without an answer matches only if the first
// word is "lost".
func checkCall(ts *testscript.TestScript, c *scen.Call, words []string) {
	if c.Err != nil {
		if len(words) > 0 && words[0] == "lost" {
			return
		}
		ts.Fatalf("no answer: %v", c.Err)
	}
	for _, word := range words {
		key, want, _ := strings.Cut(word, "=")
		got := ""
		switch key {
		case "ran":
			got = string(c.Status.Ran)
		case "coverage":
			got = strconv.FormatFloat(c.Answer.Coverage, 'f', 2, 64)
		case "version":
			got = strconv.FormatUint(c.Answer.IndexVersion, 10)
		case "retry":
			if c.Status.RetryAfterMS <= 0 {
				ts.Fatalf("answer has no retry time: %+v", c.Status)
			}
			continue
		case "within":
			limit, err := time.ParseDuration(want)
			ts.Check(err)
			if took := c.End.Sub(c.Start); took > limit {
				ts.Fatalf("got the answer after %s, wanted it within %s", took, limit)
			}
			continue
		default:
			got, want = c.Status.Name, key
		}
		if got != want {
			ts.Fatalf("got %s, wanted %s: %+v", got, word, c.Status)
		}
	}
}

// sendQuery sends a query and checks its answer: query ENTRY CLASS TEXT [WANTED...].
func (s *script) sendQuery(ts *testscript.TestScript, _ bool, args []string) {
	checkCall(ts, s.sim.Query(args[0], args[1], "ledger", args[2]), args[3:])
}

// requestToken requests a token and stores it under the name: token NAME ENTRY. With ! the request must fail.
func (s *script) requestToken(ts *testscript.TestScript, neg bool, args []string) {
	tok, err := s.sim.Token(args[1])
	if neg {
		if err == nil {
			ts.Fatalf("got a token, wanted an error")
		}
		return
	}
	ts.Check(err)
	s.tokens[args[0]] = tok.Token
}

// sendOrder sends an order and checks its answer: order ENTRY TOKEN-NAME KEY [WANTED...].
func (s *script) sendOrder(ts *testscript.TestScript, _ bool, args []string) {
	checkCall(ts, s.sim.Order(args[0], s.tokens[args[1]], "order", "ledger", args[2]), args[3:])
}

// checkRunCount checks how often the order with the token ran: ran TOKEN-NAME N.
func (s *script) checkRunCount(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, id := range s.sim.StandIns.IDs() {
		n += s.sim.StandIns.Targets[id].OrdersByToken()[s.tokens[args[0]]]
	}
	if strconv.Itoa(n) != args[1] {
		ts.Fatalf("the order ran %d times, wanted %s", n, args[1])
	}
}

// injectTargetFault injects a fault into a target, or into all targets if ID is all: target ID FAULT [VALUE].
func (s *script) injectTargetFault(ts *testscript.TestScript, _ bool, args []string) {
	ids := []string{args[0]}
	if args[0] == "all" {
		ids = s.sim.StandIns.IDs()
	}
	value := 0.0
	if len(args) > 2 && args[1] != "poison" {
		v, err := strconv.ParseFloat(args[2], 64)
		ts.Check(err)
		value = v
	}
	for _, id := range ids {
		t := s.sim.StandIns.Targets[id]
		switch args[1] {
		case "crash":
			t.Crash()
		case "cold":
			t.StartColdIncarnation()
		case "drain":
			t.SetDraining(true)
		case "undrain":
			t.SetDraining(false)
		case "straggle":
			t.SetServiceTimeFactor(value)
		case "silence":
			t.DropOpenConns()
		case "truncate":
			t.SetTruncateAfter(int(value))
		case "partial":
			t.SetDocumentShare(value)
		case "wrong_ids":
			t.SetWrongIDs(int(value))
		case "poison":
			t.SetCrashTexts(args[2:]...)
		default:
			ts.Fatalf("unknown target fault %q", args[1])
		}
	}
}

// setPlatformState starts or ends a fault of the platform: platform down|up|stale|fresh.
func (s *script) setPlatformState(ts *testscript.TestScript, _ bool, args []string) {
	p := s.sim.StandIns.Platform
	switch args[0] {
	case "down":
		p.SetDown(true)
	case "up":
		p.SetDown(false)
	case "stale":
		p.SetRevisionsBehind(1)
	case "fresh":
		p.SetRevisionsBehind(0)
	default:
		ts.Fatalf("unknown platform state %q", args[0])
	}
}

// split partitions the network: the named entry VMs can't reach the other entry VMs and the platform: split ENTRY...
func (s *script) split(_ *testscript.TestScript, _ bool, args []string) { s.sim.Split(args, false) }

// unblockLinks ends the partition of the network by split: unblock_links.
func (s *script) unblockLinks(*testscript.TestScript, bool, []string) { s.sim.Net.UnblockLinks() }

// rollOut publishes the next index version, to which the targets switch one after another: roll_out.
func (s *script) rollOut(*testscript.TestScript, bool, []string) { s.sim.RollOut() }

// publishVMsWithout publishes the VM list without the named VMs: publish_vms_without ENTRY...
func (s *script) publishVMsWithout(_ *testscript.TestScript, _ bool, args []string) {
	s.sim.PublishVMs(args...)
}

// forbid makes new work at the targets a violation of the invariant once scen.MaxConfigDelay has passed: forbid PROPERTY
// TARGET...
func (s *script) forbid(_ *testscript.TestScript, _ bool, args []string) {
	s.sim.Forbid(args[0], args[1:], nil)
}

// checkAddresses checks that the address list of an entry process contains the VM, or with ! that it doesn't: addresses ENTRY
// VM.
func (s *script) checkAddresses(ts *testscript.TestScript, neg bool, args []string) {
	list, err := s.sim.Addresses(args[0])
	ts.Check(err)
	found := false
	for _, a := range list.Addresses {
		for _, vm := range s.sim.Fleet.VMs {
			found = found || vm.ID == args[1] && vm.Addr == a.Addr
		}
	}
	if found == neg {
		ts.Fatalf("address list contains VM %s: %v", args[1], found)
	}
}

// checkInvariants fails the script if an invariant was violated: check_invariants.
func (s *script) checkInvariants(ts *testscript.TestScript, _ bool, _ []string) {
	executedCalls := 0
	for _, c := range s.sim.Calls() {
		if c.Status.Ran == codes.Did {
			executedCalls++
		}
	}
	violations := s.sim.Violations()
	for _, v := range violations {
		ts.Logf("%s", v)
	}
	if len(violations) > 0 {
		ts.Fatalf("%s", fmt.Sprintf("%d violations in %d calls that ran", len(violations), executedCalls))
	}
}
