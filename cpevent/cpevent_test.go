package cpevent_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpevent"
)

// requestFields stands for the fields that all lines about requests share.
const requestFields = "(request)"

// table reads the rows of the events table of the operators' page: name to fields and meaning.
func table(t *testing.T) map[cpevent.Name][2]string {
	t.Helper()
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(text), "| event | fields | meaning |\n|---|---|---|\n")
	assert.Assert(t, ok, "the page has no table of events")
	rows := map[cpevent.Name][2]string{}
	for _, line := range strings.Split(rest, "\n") {
		if !strings.HasPrefix(line, "| ") {
			break
		}
		cells := strings.Split(line, "|")
		assert.Equal(t, len(cells), 5, line)
		rows[cpevent.Name(strings.TrimSpace(cells[1]))] = [2]string{strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])}
	}
	return rows
}

func TestTheOperatorsPageNamesEveryKindOfLine(t *testing.T) {
	rows := table(t)
	assert.Equal(t, len(rows), len(cpevent.Kinds()))
	for _, kind := range cpevent.Kinds() {
		fields := strings.Join(kind.Fields, ", ")
		if strings.HasPrefix(string(kind.Name), "Request") {
			fields = requestFields
		}
		assert.DeepEqual(t, rows[kind.Name], [2]string{fields, kind.Meaning})
	}
}

func TestKindsAreFoundByName(t *testing.T) {
	kind, ok := cpevent.Find(cpevent.StoreLost)
	assert.Assert(t, ok)
	assert.Equal(t, kind.Name, cpevent.StoreLost)
	_, ok = cpevent.Find("Unknown")
	assert.Assert(t, !ok)
}
