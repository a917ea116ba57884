package once_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fuchsiarelay/fuchsiarelay/internal/once"
)

var start = time.Unix(1000, 0)

// atSecond returns the time that is the given number of seconds after start.
func atSecond(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// Guards against reporting that an order has not run although it ran and its outcome was removed from the table.
func TestOutcomeUnknownIsNotExpired(t *testing.T) {
	table := once.New[string](once.Config{}, "vm-1", 7)
	tok, _ := table.Issue(atSecond(0))
	decision, _ := table.Begin(atSecond(1), tok)
	assert.Equal(t, decision, once.Run)
	table.Finish(atSecond(2), tok, "done")
	table.OpenCount(atSecond(100))
	decision, _ = table.Begin(atSecond(100), tok)
	assert.Assert(t, decision != once.Expired && decision != once.Run, "decision %d", decision)
}

// Guards against running an order after its caller was told that the order had not run and never would.
func TestExpiredStaysExpired(t *testing.T) {
	table := once.New[string](once.Config{}, "vm-1", 7)
	tok, _ := table.Issue(atSecond(0))
	decision, _ := table.Begin(atSecond(10), tok)
	assert.Equal(t, decision, once.Expired)
	decision, _ = table.Begin(atSecond(9), tok)
	assert.Equal(t, decision, once.Expired, "the clock was read before the other call and used after it")
}

// Guards against storing an outcome with a token of another process or an earlier incarnation.
func TestFinishWithForeignTokenIsIgnored(t *testing.T) {
	table := once.New[string](once.Config{}, "vm-1", 7)
	tok, _ := table.Issue(atSecond(0))
	table.Begin(atSecond(0), tok)
	foreign := tok
	foreign.Incarnation = 6
	table.Finish(atSecond(1), foreign, "foreign")
	decision, _ := table.Begin(atSecond(1), foreign)
	assert.Equal(t, decision, once.OtherIssuer)
	decision, _ = table.Begin(atSecond(1), tok)
	assert.Equal(t, decision, once.InProgress)
}

// Guards against accepting a guessed token, which would use up the token of another caller.
func TestForgedTokenIsInvalid(t *testing.T) {
	table := once.New[string](once.Config{}, "vm-1", 7)
	tok, _ := table.Issue(atSecond(0))
	decision, _ := table.Begin(atSecond(0), once.Token{VM: "vm-1", Incarnation: 7, Seq: 1})
	assert.Equal(t, decision, once.Invalid)
	decision, _ = table.Begin(atSecond(0), tok)
	assert.Equal(t, decision, once.Run)
}

// Guards against a process that stops while a caller may still request an outcome.
func TestOpenCountIncludesFinishedOrders(t *testing.T) {
	table := once.New[string](once.Config{}, "vm-1", 7)
	tok, _ := table.Issue(atSecond(0))
	table.Begin(atSecond(0), tok)
	table.Finish(atSecond(1), tok, "done")
	assert.Equal(t, table.OpenCount(atSecond(9)), 1)
	assert.Equal(t, table.OpenCount(atSecond(10)), 0)
}

// Guards against accepting several texts for the same token.
func TestTokenTextIsCanonical(t *testing.T) {
	table := once.New[string](once.Config{}, "vm.with.dots", 7)
	tok, _ := table.Issue(atSecond(0))
	parsed, err := once.ParseToken(tok.String())
	assert.NilError(t, err)
	assert.Equal(t, parsed, tok)
	_, err = once.ParseToken("vm-1.7.1")
	assert.Assert(t, err != nil)
	_, err = once.ParseToken("0" + tok.String()[:len(tok.String())-1] + "G")
	assert.Assert(t, err != nil)
}

// Guards against a full table that removes the entry of an order that ran, or that refuses new tokens for longer than
// necessary.
func TestFullTableKeepsFinishedOrders(t *testing.T) {
	table := once.New[string](once.Config{MaxEntries: 2}, "vm-1", 7)
	ran, _ := table.Issue(atSecond(0))
	table.Begin(atSecond(0), ran)
	table.Finish(atSecond(1), ran, "done")
	_, _ = table.Issue(atSecond(2))
	_, ok := table.Issue(atSecond(3))
	assert.Assert(t, !ok)
	assert.Equal(t, table.RetryAfter(atSecond(3)), 9*time.Second, "the unused token expires")
	_, ok = table.Issue(atSecond(12))
	assert.Assert(t, ok)
	decision, outcome := table.Begin(atSecond(40), ran)
	assert.Equal(t, decision, once.Finished)
	assert.Equal(t, outcome, "done")
}

// orderTable holds the methods of once.Table that the checker calls.
type orderTable interface {
	Issue(now time.Time) (once.Token, bool)
	Begin(now time.Time, tok once.Token) (once.Decision, int)
	Finish(now time.Time, tok once.Token, out int)
	OpenCount(now time.Time) int
	Len() int
}

// brokenTable is a table that returns one decision in place of another, which the checker has to detect.
type brokenTable struct {
	*once.Table[int]
	replaced, replacement once.Decision
}

func (b brokenTable) Begin(now time.Time, tok once.Token) (once.Decision, int) {
	decision, outcome := b.Table.Begin(now, tok)
	if decision == b.replaced {
		decision = b.replacement
	}
	return decision, outcome
}

// recordedOrder holds what the checker has recorded of one token and its order.
type recordedOrder struct {
	token                           once.Token
	hasRun, hasFinished, hasExpired bool
	outcome                         int
	finishedAt                      time.Time
}

// checkDecision returns why a decision is wrong, or records the decision and returns an empty text.
func (o *recordedOrder) checkDecision(now time.Time, decision once.Decision, outcome int) string {
	outcomeKept := o.hasFinished && now.Before(o.finishedAt.Add(40*time.Second))
	switch {
	case decision == once.Run && (o.hasRun || o.hasExpired):
		return "order ran twice, or ran after the decision Expired"
	case decision == once.Expired && o.hasRun:
		return "decision Expired, but the order ran"
	case decision != once.InProgress && o.hasRun && !o.hasFinished:
		return "order is running, but the decision isn't InProgress"
	case outcomeKept && decision != once.Finished, decision == once.Finished && (!o.hasFinished || outcome != o.outcome):
		return "wrong or missing outcome"
	case decision == once.OtherIssuer || decision == once.Invalid:
		return "valid token refused"
	}
	o.hasRun = o.hasRun || decision == once.Run
	o.hasExpired = o.hasExpired || decision == once.Expired
	return ""
}

// checkForged passes forged tokens to Begin and returns the violation found, if any.
func checkForged(now time.Time, table orderTable, tok once.Token) string {
	tok.Seq++
	if decision, _ := table.Begin(now, tok); decision != once.Invalid {
		return "forged token accepted"
	}
	tok.Incarnation--
	if decision, _ := table.Begin(now, tok); decision != once.OtherIssuer {
		return "token of an earlier incarnation accepted"
	}
	table.OpenCount(now)
	return ""
}

// runHistory calls the methods of a table in a random order, with repeated, concurrent and late requests. It returns
// the violation found, if any.
func runHistory(draw func(n int) int, table orderTable) string {
	var orders []*recordedOrder
	now := atSecond(0)
	for step := range 150 {
		now = now.Add(time.Duration(draw(4000)) * time.Millisecond)
		if table.Len() > 8 {
			return "more entries than allowed"
		}
		if draw(4) == 0 || len(orders) == 0 {
			if tok, ok := table.Issue(now); ok {
				orders = append(orders, &recordedOrder{token: tok})
			}
			continue
		}
		// Mostly use one of the last tokens, sometimes any earlier one.
		candidates := min(len(orders), 4)
		if draw(5) == 0 {
			candidates = len(orders)
		}
		order := orders[len(orders)-1-draw(candidates)]
		switch draw(5) {
		case 0:
			if order.hasRun && !order.hasFinished {
				order.hasFinished, order.outcome, order.finishedAt = true, step, now
			}
			table.Finish(now, order.token, step)
		case 1:
			if violation := checkForged(now, table, order.token); violation != "" {
				return violation
			}
		default:
			// A request may have read the clock up to a second before Begin is called.
			decision, outcome := table.Begin(now.Add(-time.Duration(draw(1000))*time.Millisecond), order.token)
			if violation := order.checkDecision(now, decision, outcome); violation != "" {
				return fmt.Sprintf("step %d: %s (decision %d)", step, violation, decision)
			}
		}
	}
	return ""
}

// newTable returns a table with room for 8 tokens.
func newTable() *once.Table[int] {
	return once.New[int](once.Config{MaxEntries: 8, Key: []byte("k")}, "vm-1", 7)
}

// Guards against an order that runs twice, or that is reported as not run although it ran, in any sequence of calls.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		assert.Equal(t, runHistory(draw, newTable()), "")
	})
}

// Guards against a checker that doesn't detect violations. An earlier version of this package behaved like the first
// broken table.
func TestCheckerDetectsBrokenTables(t *testing.T) {
	detected := map[string]int{}
	for seed := range int64(100) {
		for name, broken := range map[string]orderTable{
			"unknown is reported as expired": brokenTable{newTable(), once.OutcomeUnknown, once.Expired},
			"unknown runs again":             brokenTable{newTable(), once.OutcomeUnknown, once.Run},
			"duplicates run as well":         brokenTable{newTable(), once.InProgress, once.Run},
		} {
			if runHistory(rand.New(rand.NewSource(seed)).Intn, broken) != "" {
				detected[name]++
			}
		}
		assert.Equal(t, runHistory(rand.New(rand.NewSource(seed)).Intn, newTable()), "", "seed %d", seed)
	}
	t.Logf("histories with a violation, of 100: %v", detected)
	assert.Equal(t, len(detected), 3)
}

// Guards against a text that makes ParseToken panic, and against accepting several texts for the same token.
func FuzzParseToken(f *testing.F) {
	tok, _ := newTable().Issue(atSecond(0))
	for _, seed := range []string{
		tok.String(), "", ".", "....", "vm-1.7.1", "10.0.0.7.0000000000000007.1.1.0000000000000000",
		"vm.0000000000000007.1.ffffffffffffffff.0000000000000000", "vm.0000000000000007.01.1.0000000000000000",
		"vm.+000000000000007.1.1.0000000000000000", "\n.0000000000000007.1.1.0000000000000000",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		tok, err := once.ParseToken(s)
		if err == nil {
			assert.Equal(t, tok.String(), s)
		}
	})
}
