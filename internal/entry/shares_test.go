package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/internal/table"
)

// Whatever the size of the fleet, the processes together stay below the connections that a target bears, and use most
// of them.
func TestConnectionsOfAllProcesses(t *testing.T) {
	b := table.New()
	b.SetConfig(table.Config{Version: 1, Services: []table.Service{{Name: "s", Connections: 72}}})
	view := b.View()
	for _, n := range []int{1, 2, 8, 9, 13, 60, 61, 62, 80, 300} {
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("10.0.0.%d:1", i))
		}
		for _, target := range []string{"a", "b", "c"} {
			sum := 0
			for i, self := range ids {
				members := append(append([]string{}, ids[:i]...), ids[i+1:]...)
				s := &shares{size: n, members: members, self: self, view: view, mine: map[string]bool{}}
				sum += s.connections(&table.Target{ID: target, Service: "s"})
			}
			assert.Assert(t, sum <= 72 && sum >= 30, "%d processes: %d connections", n, sum)
		}
	}
}
