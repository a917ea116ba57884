package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// sum returns the connections of all processes of a fleet to a target that bears 72.
func sum(n int, target string, young bool) (sum int) {
	b := table.New()
	b.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", Connections: 72}}})
	view := b.View()
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("10.0.0.%d:1", i))
	}
	for i, self := range ids {
		members := append(append([]string{}, ids[:i]...), ids[i+1:]...)
		s := &shares{size: n, young: young, members: members, self: self, view: view, mine: map[string]bool{}}
		sum += s.connections(&table.Target{ID: target, Service: "s"})
	}
	return sum
}

// Whatever the size of the fleet, the processes together stay below the connections that a target bears, and use many of
// them. A fleet that has lost power and is back keeps them beside what it has left behind: one for each process and
// target, or what it had kept.
func TestConnectionsOfAllProcesses(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 13, 35, 36, 37, 51, 52, 80, 300} {
		for _, target := range []string{"a", "b", "c"} {
			kept, young := sum(n, target, false), sum(n, target, true)
			assert.Assert(t, kept <= 72 && kept >= 30, "%d processes: %d connections", n, kept)
			left := min(kept, n)
			if 2*n > 72 {
				left = kept
			}
			assert.Assert(t, left+min(young, n) <= 72, "%d processes: %d connections beside %d", n, young, left)
		}
	}
}
