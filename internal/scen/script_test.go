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
	world  *scen.Simulation
	tokens map[string]string
}

// Guards against the failures that the first lines of the scenarios in testdata/script name. The methods of script describe
// the commands of these files.
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

// commands returns the functions of the script commands by command name.
func (s *script) commands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"fleet": s.fleet, "boot": s.boot, "killed": s.forEachArg((*scen.Simulation).Kill), "freeze": s.forEachArg((*scen.Simulation).Freeze),
		"thaw": s.forEachArg((*scen.Simulation).Thaw), "drain": s.drain, "rules": s.rules, "sleep": s.sleep, "query": s.query,
		"token": s.token, "order": s.order, "target": s.target, "platform": s.platform, "split": s.split, "heal": s.heal,
		"out": s.forEachArg((*scen.Simulation).ExcludeDataCentre), "back": s.forEachArg((*scen.Simulation).IncludeDataCentre), "roll": s.roll,
		"unlist": s.unlist, "addresses": s.addresses, "judge": s.judge, "ran": s.ran, "forbid": s.forbid,
	}
}

// fleet starts the targets and the platform: fleet [rules-file].
func (s *script) fleet(ts *testscript.TestScript, _ bool, args []string) {
	cfg := scen.Config{Spec: emul.Small(), Rules: rulesText, Seed: 1}
	if len(args) > 0 {
		cfg.Rules = ts.ReadFile(args[0])
	}
	w, closeWorld, err := scen.New(cfg)
	ts.Check(err)
	ts.Defer(closeWorld)
	s.world = w
}

// boot starts the named entry processes, or all of them, and waits 7 s, until they serve and their capacity shares have
// grown: boot [ENTRY...].
func (s *script) boot(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 0 {
		ts.Check(s.world.StartAll())
	}
	for _, id := range args {
		ts.Check(s.world.Start(id))
	}
	time.Sleep(7 * time.Second)
}

// forEachArg returns a command that calls f with each argument.
func (s *script) forEachArg(f func(*scen.Simulation, string)) func(*testscript.TestScript, bool, []string) {
	return func(_ *testscript.TestScript, _ bool, args []string) {
		for _, id := range args {
			f(s.world, id)
		}
	}
}

// drain performs a planned stop and waits until the process has ended: drain ENTRY.
func (s *script) drain(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(s.world.Stop(args[0], 90*time.Second))
}

// rules publishes a rules file: rules FILE.
func (s *script) rules(ts *testscript.TestScript, _ bool, args []string) {
	s.world.PublishRules(ts.ReadFile(args[0]))
}

// sleep lets the simulated time pass: sleep DURATION.
func (s *script) sleep(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// checkCall fails the script unless the call matches the wanted words: a code name, ran=, coverage=, version=, retry (the
// answer has a retry time), within= (longest duration). If lost is the first word, a call without an answer matches.
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

// query sends a query: query ENTRY CLASS TEXT [wanted words].
func (s *script) query(ts *testscript.TestScript, _ bool, args []string) {
	checkCall(ts, s.world.Query(args[0], args[1], "ledger", args[2]), args[3:])
}

// token requests a token and stores it under the name: token NAME ENTRY. With ! the request must fail.
func (s *script) token(ts *testscript.TestScript, neg bool, args []string) {
	tok, err := s.world.Token(args[1])
	if neg {
		if err == nil {
			ts.Fatalf("got a token, wanted an error")
		}
		return
	}
	ts.Check(err)
	s.tokens[args[0]] = tok.Token
}

// order sends an order: order ENTRY TOKEN-NAME KEY [wanted words].
func (s *script) order(ts *testscript.TestScript, _ bool, args []string) {
	checkCall(ts, s.world.Order(args[0], s.tokens[args[1]], "order", "ledger", args[2]), args[3:])
}

// ran checks how often the order with the token ran: ran TOKEN-NAME N.
func (s *script) ran(ts *testscript.TestScript, _ bool, args []string) {
	n := 0
	for _, id := range s.world.StandIns.IDs() {
		n += s.world.StandIns.Targets[id].OrdersByToken()[s.tokens[args[0]]]
	}
	if strconv.Itoa(n) != args[1] {
		ts.Fatalf("the order ran %d times, wanted %s", n, args[1])
	}
}

// target injects a fault into a target, or into all targets if ID is all: target ID FAULT [value].
func (s *script) target(ts *testscript.TestScript, _ bool, args []string) {
	ids := []string{args[0]}
	if args[0] == "all" {
		ids = s.world.StandIns.IDs()
	}
	value := 0.0
	if len(args) > 2 && args[1] != "poison" {
		v, err := strconv.ParseFloat(args[2], 64)
		ts.Check(err)
		value = v
	}
	for _, id := range ids {
		t := s.world.StandIns.Targets[id]
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

// platform changes the state of the platform: platform down|up|stale|fresh.
func (s *script) platform(ts *testscript.TestScript, _ bool, args []string) {
	p := s.world.StandIns.Platform
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

// split cuts the network between the named entry VMs and the other VMs and the platform: split ENTRY...
func (s *script) split(_ *testscript.TestScript, _ bool, args []string) { s.world.Split(args, false) }

// heal ends split.
func (s *script) heal(*testscript.TestScript, bool, []string) { s.world.Net.UnblockLinks() }

// roll publishes the next index version, to which the targets switch one after another.
func (s *script) roll(*testscript.TestScript, bool, []string) { s.world.RollOut() }

// unlist publishes the VM list without the named VMs: unlist ENTRY...
func (s *script) unlist(_ *testscript.TestScript, _ bool, args []string) { s.world.PublishVMs(args...) }

// forbid makes new work at the targets a violation of the invariant once scen.MaxControlDelay has passed: forbid PROPERTY
// TARGET...
func (s *script) forbid(_ *testscript.TestScript, _ bool, args []string) {
	s.world.Forbid(args[0], args[1:], nil)
}

// addresses checks that the address list of an entry process contains the VM, or with ! that it doesn't: addresses ENTRY VM.
func (s *script) addresses(ts *testscript.TestScript, neg bool, args []string) {
	list, err := s.world.Addresses(args[0])
	ts.Check(err)
	found := false
	for _, a := range list.Addresses {
		for _, vm := range s.world.Fleet.VMs {
			found = found || vm.ID == args[1] && vm.Addr == a.Addr
		}
	}
	if found == neg {
		ts.Fatalf("address list contains VM %s: %v", args[1], found)
	}
}

// judge fails the script if an invariant was violated.
func (s *script) judge(ts *testscript.TestScript, _ bool, _ []string) {
	answered := 0
	for _, c := range s.world.Calls() {
		if c.Status.Ran == codes.Did {
			answered++
		}
	}
	violations := s.world.Violations()
	for _, v := range violations {
		ts.Logf("%s", v)
	}
	if len(violations) > 0 {
		ts.Fatalf("%s", fmt.Sprintf("%d violations in %d calls that ran", len(violations), answered))
	}
}
