package pauses

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

const (
	period = 2400 * time.Millisecond
	pause  = 100 * time.Millisecond
	usual  = 10 * time.Millisecond
)

// fleet simulates processes that send requests to targets with pauses. New pauses reach all processes without delay.
type fleet struct {
	predictors []*Predictor
	targets    []string
	rnd        *rand.Rand
	messages   int
}

func newFleet(processes, targets int) *fleet {
	f := &fleet{rnd: rand.New(rand.NewPCG(1, 2))}
	for range processes {
		f.predictors = append(f.predictors, New(Config{}))
	}
	for i := range targets {
		f.targets = append(f.targets, fmt.Sprint("t", i))
	}
	return f
}

// remainingPause returns the time until the end of the pause of the i-th target; 0 if it isn't pausing at that time.
func remainingPause(i int, at time.Time) time.Duration {
	elapsed := (at.Sub(start) + time.Duration(i*377)*time.Millisecond) % period
	return max(pause-elapsed, 0)
}

// run sends requests from one time to another, at a rate for each process and target. It sends none to a target whose pause
// the process predicts, and returns the share of the sent requests that were delayed by a pause nevertheless.
func (f *fleet) run(from, to time.Duration, perSecond float64) (delayedShare float64) {
	sends, delayed := 0, 0
	rate := perSecond * float64(len(f.predictors)*len(f.targets))
	for at := from; at < to; at += time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)) {
		pr := f.predictors[f.rnd.IntN(len(f.predictors))]
		i := f.rnd.IntN(len(f.targets))
		sent := start.Add(at)
		if pr.PredictedWait(sent, f.targets[i], usual) > 0 {
			continue
		}
		work := time.Duration((0.6 + 0.8*f.rnd.Float64()) * float64(usual))
		if f.rnd.Float64() < 0.01 {
			work *= 5
		}
		wait := remainingPause(i, sent)
		if wait == 0 && remainingPause(i, sent.Add(work)) > 0 {
			wait = pause // the request was running when the pause began
		}
		sends++
		if wait > 20*time.Millisecond {
			delayed++
		}
		p, isNew := pr.RecordReply(sent.Add(work+wait), f.targets[i], sent, usual)
		if isNew {
			for _, other := range f.predictors {
				if other != pr && other.RecordPeerPause(p) {
					f.messages++
				}
			}
		}
	}
	return float64(delayed) / float64(sends)
}

// Guards against a small fleet, whose processes send to each target several times a second, that learns pauses slowly or
// wrongly.
func TestSmallFleetLearns(t *testing.T) {
	f := newFleet(8, 30)
	before := f.run(0, 2*time.Second, 7)
	f.run(2*time.Second, 12*time.Second, 7)
	after := f.run(12*time.Second, 20*time.Second, 7)
	t.Logf("share of delayed requests: %.3f before, %.3f after; period %v", before, after, f.predictors[0].Period())
	// Fewer than one of twenty queries over ten shards may be delayed by a pause; without predictions, one of three is.
	assert.Assert(t, before > 0.03 && after < 0.005)
	assert.Assert(t, (f.predictors[0].Period()-period).Abs() < 5*time.Millisecond)
}

// Guards against a large fleet, in which each process sends to a target only every three seconds and must learn from the
// others, that learns pauses slowly or still sends messages about them once all processes know them.
func TestLargeFleetLearns(t *testing.T) {
	f := newFleet(80, 108)
	f.run(0, 14*time.Second, 0.33)
	learningMessages := f.messages
	after := f.run(14*time.Second, 20*time.Second, 0.33)
	t.Logf("share of delayed requests: %.3f; %d messages at first, %d later", after, learningMessages, f.messages-learningMessages)
	assert.Assert(t, after < 0.006)
	assert.Assert(t, f.messages-learningMessages < learningMessages/4)
}

// Guards against avoiding targets that are slow or whose reply times vary, but that don't pause regularly.
func TestIrregularDelays(t *testing.T) {
	pr := New(Config{})
	rnd := rand.New(rand.NewPCG(3, 4))
	now := start
	avoided := 0
	for range 4000 {
		now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
		id := fmt.Sprint("t", rnd.IntN(10))
		if pr.PredictedWait(now, id, usual) > 0 {
			avoided++
		}
		took := usual
		if rnd.Float64() < 0.05 {
			took = time.Duration(40+rnd.IntN(80)) * time.Millisecond
		}
		pr.RecordReply(now.Add(took), id, now, usual)
	}
	t.Logf("%d of 4000 requests avoided their target", avoided)
	assert.Assert(t, avoided < 200)
}

// Guards against slow replies that lengthen the predicted pauses, or add predicted pauses, after the real pauses are known.
func TestTemporarilySlowReplies(t *testing.T) {
	f := newFleet(8, 30)
	f.run(0, 12*time.Second, 7)
	pr := f.predictors[0]
	before := pr.pauseLength
	rnd := rand.New(rand.NewPCG(5, 6))
	usualOf := map[string]time.Duration{}
	now := start.Add(12 * time.Second)
	for range 3000 {
		now = now.Add(time.Duration(rnd.IntN(3)) * time.Millisecond)
		id := fmt.Sprint("slow", rnd.IntN(6))
		if rnd.IntN(2) == 0 {
			id = f.targets[rnd.IntN(30)]
		}
		took := time.Duration(45+rnd.IntN(300)) * time.Millisecond
		pr.RecordReply(now.Add(took), id, now, usualOf[id])
		// The usual time of a target is a moving average of its reply times, as in package place.
		usualOf[id] = (85*max(usualOf[id], usual) + 15*took) / 100
	}
	t.Logf("predicted length of a pause: %v before, %v after", before, pr.pauseLength)
	// A target must stay usable for nine tenths of the time.
	assert.Assert(t, pr.pauseLength < period/10)
	avoided := 0
	for i := range 6 {
		for ms := range 2400 {
			if pr.PredictedWait(now.Add(time.Duration(ms)*time.Millisecond), fmt.Sprint("slow", i), usual) > 0 {
				avoided++
			}
		}
	}
	assert.Assert(t, avoided < 6*2400/10, "%d", avoided)
}

// Guards against confirmed pauses with a wrong phase that are never replaced, because no request is sent during a predicted
// pause that could contradict it.
func TestWrongPhaseIsReplaced(t *testing.T) {
	f := newFleet(1, 1)
	f.predictors[0].RecordPeerPause(Pause{Target: "t0", End: start.Add(700 * time.Millisecond), Length: pause, Period: period})
	f.run(0, 15*time.Second, 20)
	after := f.run(15*time.Second, 200*time.Second, 20)
	t.Logf("share of delayed requests: %.3f", after)
	assert.Assert(t, after < 0.005)
}

// Guards against too many messages to peers about a target whose replies are always late.
func TestConstantDelaysAreReportedRarely(t *testing.T) {
	pr := New(Config{})
	rnd := rand.New(rand.NewPCG(7, 8))
	now := start
	reported := 0
	for range 5000 {
		now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
		if _, isNew := pr.RecordReply(now.Add(time.Duration(45+rnd.IntN(300))*time.Millisecond), "t", now, usual); isNew {
			reported++
		}
	}
	assert.Assert(t, reported <= maxUnmatchedEnds+DefaultMaxContradictions*maxUnmatchedEnds, "%d", reported)
}

func BenchmarkRecordReply(b *testing.B) {
	predictor := New(Config{})
	rnd := rand.New(rand.NewPCG(7, 8))
	now := start
	for i := range b.N {
		now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
		predictor.RecordReply(now.Add(time.Duration(45+rnd.IntN(300))*time.Millisecond), fmt.Sprint("t", i%100), now, usual)
	}
}

// Guards against avoiding a target forever after it has stopped pausing.
func TestContradictedPauseIsForgotten(t *testing.T) {
	pr := New(Config{})
	assert.Assert(t, pr.RecordPeerPause(Pause{Target: "t", End: start, Length: pause, Period: period}))
	during := start.Add(period - pause/2)
	assert.Assert(t, pr.PredictedWait(during, "t", usual) > 0)
	for range DefaultMaxContradictions {
		pr.RecordReply(during.Add(5*time.Millisecond), "t", during, usual)
	}
	assert.Equal(t, pr.PredictedWait(during, "t", usual), time.Duration(0))
}

// Guards against sending a request that would still be running when a pause begins.
func TestPredictedWait(t *testing.T) {
	pr := New(Config{})
	pr.RecordPeerPause(Pause{Target: "t", End: start, Length: pause, Period: period})
	for _, c := range []struct{ ms, wait int }{{1, 0}, {1000, 0}, {2285, 0}, {2295, 105}, {2350, 50}, {2400, 0}, {2401, 0}} {
		assert.Equal(t, pr.PredictedWait(start.Add(time.Duration(c.ms)*time.Millisecond), "t", usual), time.Duration(c.wait)*time.Millisecond, "%d", c.ms)
	}
	assert.Equal(t, len(pr.ConfirmedPauses()), 1)
	pr.Forget("t")
	assert.Equal(t, len(pr.ConfirmedPauses()), 0)
}
