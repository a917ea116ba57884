package gossip

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/plat"
)

const (
	neighboursPerTopic = 3
	targetsPerService  = 3
)

// interestOverlay chooses neighbours greedily until every node shares each of its topics with neighboursPerTopic neighbours.
// Topics are the data centre, one topic for the global keys, and the services of the targets that a node dispatches. The
// method is from Chockler, Melamed, Tock, Vitenberg: SpiderCast (DEBS 2007).
type interestOverlay struct {
	rnd          *rand.Rand
	topicsByNode []map[string]int // topics of each node, with the number of neighbours that share the topic
	nodesByTopic map[string][]int
	links        []map[int]bool
}

// join adds a topic to node i.
func (s *interestOverlay) join(i int, topic string) {
	if _, ok := s.topicsByNode[i][topic]; !ok {
		s.topicsByNode[i][topic] = 0
		s.nodesByTopic[topic] = append(s.nodesByTopic[topic], i)
	}
}

// bestNeighbour returns the node, not yet linked to i, that shares the most topics for which i has too few neighbours, or
// -1.
func (s *interestOverlay) bestNeighbour(i int) int {
	sharedTopics := make([]int, len(s.topicsByNode))
	for topic, n := range s.topicsByNode[i] {
		if n >= neighboursPerTopic {
			continue
		}
		for _, other := range s.nodesByTopic[topic] {
			sharedTopics[other]++
		}
	}
	best, start := -1, s.rnd.IntN(len(sharedTopics))
	for k := range sharedTopics {
		other := (start + k) % len(sharedTopics)
		if other != i && !s.links[i][other] && sharedTopics[other] > 0 && (best < 0 || sharedTopics[other] > sharedTopics[best]) {
			best = other
		}
	}
	return best
}

// link makes two nodes neighbours.
func (s *interestOverlay) link(i, j int) {
	s.links[i][j], s.links[j][i] = true, true
	for topic := range s.topicsByNode[i] {
		if _, ok := s.topicsByNode[j][topic]; ok {
			s.topicsByNode[i][topic]++
			s.topicsByNode[j][topic]++
		}
	}
}

// linkByInterest replaces the neighbours of every node by those of an interestOverlay. With services, it models 11,000
// targets per 1,800 VMs, each dispatched by two VMs of a data centre.
func (w *network) linkByInterest(vms []plat.VM, services bool, rnd *rand.Rand) {
	s := interestOverlay{rnd: rnd, nodesByTopic: map[string][]int{}}
	byDC := map[string][]int{}
	for i, vm := range vms {
		s.topicsByNode, s.links = append(s.topicsByNode, map[string]int{}), append(s.links, map[int]bool{})
		byDC[vm.DataCentre] = append(byDC[vm.DataCentre], i)
		s.join(i, vm.DataCentre)
		s.join(i, "global")
	}
	for target := 0; services && target < len(vms)*11000/1800; target++ {
		local := byDC[vms[rnd.IntN(len(vms))].DataCentre]
		for range 2 {
			s.join(local[rnd.IntN(len(local))], fmt.Sprintf("service-%d", target/targetsPerService))
		}
	}
	for _, i := range rnd.Perm(len(vms)) {
		for m := s.bestNeighbour(i); m >= 0; m = s.bestNeighbour(i) {
			s.link(i, m)
		}
	}
	for i, vm := range vms {
		g := w.nodes[vm.ID]
		g.fullMesh, g.neighbours = false, nil
		for m := range s.links[i] {
			g.neighbours = append(g.neighbours, vms[m].ID)
		}
		sort.Strings(g.neighbours)
	}
}

// BenchmarkOverlays reports the degree, the rounds and the messages per change for neighbours on cycles and for neighbours
// by interest, once with and once without the services as topics. A hop takes three rounds: announcement, request, document.
func BenchmarkOverlays(b *testing.B) {
	for _, n := range sizes {
		vms := fleet(n)
		for _, overlay := range []string{"cycles", "services", "global"} {
			b.Run(fmt.Sprintf("n=%d/%s", n, overlay), func(b *testing.B) {
				w := newNetwork(vms, Config{FullMeshLimit: 1})
				if overlay != "cycles" {
					w.linkByInterest(vms, overlay == "services", rand.New(rand.NewPCG(1, 1)))
				}
				rounds := w.spread(vms[0].ID)
				mean, largestDegree := w.degree()
				b.ReportMetric(mean, "degree")
				b.ReportMetric(float64(largestDegree), "most-degree")
				b.ReportMetric(float64(rounds), "rounds")
				b.ReportMetric(float64(w.sent[Announcement]+w.sent[Request]), "small")
				b.ReportMetric(float64(w.sent[Document]), "documents")
				b.ReportMetric(float64(n-w.holderCount()), "missed")
			})
		}
	}
}
