package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
	"github.com/fuchsiarelay/fuchsiarelay/pkg/wire"
)

// maxInFlight is the largest number of requests for whose answers the generator waits at the same time. A request beyond this
// number isn't sent and counts as an error, so that a system that answers nothing can't exhaust the memory of the generator.
const maxInFlight = 20000

// Names of errors of requests that ended without a result code. They are keys of ClassReport.Refusals.
const (
	nameNotConnected   = "not_connected"
	nameConnectionLost = "connection_lost"
	nameNoAnswer       = "no_answer_in_time"
	nameGeneratorFull  = "generator_full"
)

// sample holds the answer to one request, or the reason why there is none.
type sample struct {
	plannedRequest
	latency          time.Duration // from the intended send time
	code             codes.Code    // 0: no result code arrived
	errName          string        // reason why no result code arrived; empty if code is not 0
	complete         bool
	coverage         float64
	token            string   // of an order
	documentsCovered uint64   // documents covered according to the answer
	hitShards        []uint32 // shard of each hit
	violations       []string // violations found in the answer alone
}

// generator sends requests at a fixed rate and collects their samples.
type generator struct {
	exp      Experiment
	services []plat.Service
	callers  []*caller

	mu      sync.Mutex
	samples []sample
}

// plannedRequest describes a request that is to be sent.
type plannedRequest struct {
	id       string
	mixIndex int // index into Experiment.Mix
	service  *plat.Service
	caller   *caller
	at       time.Duration // intended send time, from the start of the measured time; negative in the warm-up
}

// run sends requests during the warm-up and the measured time of the experiment, and waits for all answers.
func (g *generator) run(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(g.exp.Seed, 2))
	interval := time.Duration(float64(time.Second) / g.exp.Rate)
	start := time.Now().Add(g.exp.WarmUpTime)
	inFlight := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		at := time.Duration(i)*interval - g.exp.WarmUpTime
		if at >= g.exp.Duration {
			return
		}
		timer := time.NewTimer(time.Until(start.Add(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		p := g.newRequest(rnd, i, at)
		select {
		case inFlight <- struct{}{}:
		default:
			g.addSample(sample{plannedRequest: p, errName: nameGeneratorFull})
			continue
		}
		wg.Go(func() {
			g.addSample(g.send(ctx, start, p))
			<-inFlight
		})
	}
}

// newRequest returns request number i, with a random share of the load (by weight), a random service and a random caller.
func (g *generator) newRequest(rnd *rand.Rand, i int, at time.Duration) plannedRequest {
	total := 0
	for _, loadShare := range g.exp.Mix {
		total += loadShare.Weight
	}
	draw := rnd.IntN(total)
	mixIndex := 0
	for draw >= g.exp.Mix[mixIndex].Weight {
		draw -= g.exp.Mix[mixIndex].Weight
		mixIndex++
	}
	return plannedRequest{
		id: fmt.Sprintf("%s-%d", g.exp.Name, i), mixIndex: mixIndex, at: at,
		service: &g.services[rnd.IntN(len(g.services))], caller: g.callers[rnd.IntN(len(g.callers))],
	}
}

// addSample stores the sample of a request that has ended or was not sent.
func (g *generator) addSample(s sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.samples = append(g.samples, s)
}

// send sends a request, waits for the answer, at most until answerGrace after the deadline, and returns the sample.
func (g *generator) send(ctx context.Context, start time.Time, p plannedRequest) sample {
	share := g.exp.Mix[p.mixIndex]
	intended := start.Add(p.at)
	ctx, cancel := context.WithDeadline(ctx, intended.Add(share.Deadline+answerGrace))
	defer cancel()
	s := sample{plannedRequest: p}
	var err error
	if share.Order {
		var answer wire.OrderAnswer
		s.token, answer, err = p.caller.sendOrder(ctx, wire.Order{
			RequestID: p.id, Service: p.service.Name, Class: share.Class, Tenant: share.Tenant, Key: p.id,
			Body: p.id, DeadlineMS: share.Deadline.Milliseconds(),
		})
		s.code = answer.Code
	} else {
		var answer wire.Answer
		answer, err = p.caller.sendQuery(ctx, wire.Query{
			RequestID: p.id, Service: p.service.Name, Class: share.Class, Tenant: share.Tenant,
			DeadlineMS: share.Deadline.Milliseconds(), Text: p.id,
		})
		s.code, s.complete, s.coverage = answer.Code, answer.Complete, answer.Coverage
		if err == nil && answer.Code.OK() {
			s.violations = answerViolations(p, share.MinCoverage, answer)
			s.documentsCovered = answer.DocumentsCovered
			for _, h := range answer.Hits {
				s.hitShards = append(s.hitShards, h.Shard)
			}
		}
	}
	s.latency = time.Since(intended)
	if err != nil {
		s.code, s.errName = 0, errorName(ctx, err)
	}
	return s
}

// answerViolations returns the violations that can be detected from the answer to a query alone.
func answerViolations(p plannedRequest, minCoverage float64, a wire.Answer) []string {
	var out []string
	if a.Coverage < minCoverage {
		out = append(out, "answer below the minimum coverage of its class")
	}
	if a.RequestID != p.id {
		out = append(out, "answer belongs to another request")
	}
	shardsWithHit := map[uint32]bool{}
	searchedDocuments := uint64(0)
	for _, h := range a.Hits {
		// The id of a hit consists of the snapshot, the shard and the number of documents that the target searched.
		documents, ok := strings.CutPrefix(h.ID, fmt.Sprintf("g%d-v%d-s%d-d", a.PartitionGeneration, a.IndexVersion, h.Shard))
		n, err := strconv.ParseUint(documents, 10, 64)
		if !ok || err != nil || h.Body != p.id {
			out = append(out, "hit of another snapshot or request")
			break
		}
		shardsWithHit[h.Shard] = true
		searchedDocuments += n
	}
	if searchedDocuments != a.DocumentsCovered {
		out = append(out, "covered documents differ from those of the hits")
	}
	for _, partition := range p.service.Partitions {
		sameSnapshot := partition.Generation == a.PartitionGeneration && partition.Version == a.IndexVersion
		if sameSnapshot && a.Complete && len(shardsWithHit) < len(partition.Shards) {
			out = append(out, "answer says complete and lacks shards")
		}
	}
	return out
}

// errorName returns the name under which a failed request is reported.
func errorName(ctx context.Context, err error) string {
	var op *net.OpError
	switch {
	case ctx.Err() != nil:
		return nameNoAnswer
	case errors.As(err, &op) && op.Op == "dial":
		return nameNotConnected
	default:
		return nameConnectionLost
	}
}
