package cplogevent_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cplogevent"
)

// requestFields is what the page has in place of the fields that all request events share.
const requestFields = "(request)"

// table returns the fields and the meaning of each event in the table of the operators' page.
func table(t *testing.T) map[cplogevent.Name][2]string {
	t.Helper()
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	_, rest, ok := strings.Cut(string(text), "| event | fields | meaning |\n|---|---|---|\n")
	assert.Assert(t, ok, "the page has no table of events")
	rows := map[cplogevent.Name][2]string{}
	for _, line := range strings.Split(rest, "\n") {
		if !strings.HasPrefix(line, "| ") {
			break
		}
		cells := strings.Split(line, "|")
		assert.Equal(t, len(cells), 5, line)
		rows[cplogevent.Name(strings.TrimSpace(cells[1]))] = [2]string{strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])}
	}
	return rows
}

func TestTheOperatorsPageNamesEveryKindOfLine(t *testing.T) {
	rows := table(t)
	assert.Equal(t, len(rows), len(cplogevent.Kinds()))
	for _, kind := range cplogevent.Kinds() {
		fields := strings.Join(kind.Fields, ", ")
		if strings.HasPrefix(string(kind.Name), "Request") {
			fields = requestFields
		}
		assert.DeepEqual(t, rows[kind.Name], [2]string{fields, kind.Meaning})
	}
}

func TestKindsAreFoundByName(t *testing.T) {
	kind, ok := cplogevent.Find(cplogevent.StoreLost)
	assert.Assert(t, ok)
	assert.Equal(t, kind.Name, cplogevent.StoreLost)
	_, ok = cplogevent.Find("Unknown")
	assert.Assert(t, !ok)
}
