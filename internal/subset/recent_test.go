package subset

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A value stays listed for the window after it has left the list, and is listed at once when it comes back.
func TestRecent(t *testing.T) {
	r := Recent[string]{Window: 10 * time.Second, Compare: strings.Compare}
	start := time.Unix(1000, 0)
	assert.DeepEqual(t, r.Update(start, []string{"b", "a"}), []string{"a", "b"})
	assert.DeepEqual(t, r.Update(start.Add(time.Second), []string{"a", "c"}), []string{"a", "b", "c"})
	assert.DeepEqual(t, r.Update(start.Add(10*time.Second), []string{"a"}), []string{"a", "b", "c"})
	assert.DeepEqual(t, r.Update(start.Add(10100*time.Millisecond), []string{"a"}), []string{"a", "c"})
	assert.DeepEqual(t, r.Update(start.Add(12*time.Second), []string{"b"}), []string{"a", "b"})
}
