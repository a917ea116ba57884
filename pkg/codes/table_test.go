package codes_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/fuchsiarelay/fuchsiarelay/pkg/codes"
)

// Guards against a table in docs/result-codes.md that differs from All.
func TestResultCodesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/result-codes.md")
	assert.NilError(t, err)
	row := regexp.MustCompile(`^\| [0-9]{4} `)
	var want, got strings.Builder
	for _, c := range codes.All {
		fmt.Fprintf(&want, "| %d | %s | %d | %s | %s |\n", c.Code, c.Name, c.Status, c.Code.Ran(), c.Text)
	}
	for line := range strings.Lines(string(page)) {
		if row.MatchString(line) {
			got.WriteString(line)
		}
	}
	assert.Equal(t, got.String(), want.String(), "replace the rows of docs/result-codes.md by the expected ones")
}
