package cpexplain_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpexplain"
)

const log = `no JSON here
{"Level":"info","Time":"2026-03-31T01:02:20.000Z","Event":"Started","VM":"vm-1","Domain":"a"}
{"Level":"warn","Time":"2026-03-31T01:02:25.000Z","Event":"StoreLost","Error":"timeout","AsOf":41}
{"Level":"warn","Time":"2026-03-31T01:02:26.900Z","Event":"CallFailed","ID":"r1","Target":"t-3","Fault":"reset","Elapsed":3.5,"Reason":"reset: EOF"}
{"Level":"warn","Time":"2026-03-31T01:02:27.000Z","Event":"RequestFailed","ID":"r1","Route":"all","Status":504,"Elapsed":485,"Left":500,"Version":7,"ViewAge":2100.5,"Shards":10,"Covered":8,"Sends":12,"Hedges":1,"Retries":1,"Refused":0,"LeftOut":[{"Service":"s1","Sends":2,"Waiting":1,"Fault":"reset","Targets":["t-3","t-4"]},{"Service":"s2","Sends":0,"Waiting":0,"Fault":"unavailable","Targets":[]},{"Service":"s3","Sends":0,"Waiting":0,"Held":true,"Fault":"unknown","Targets":[]}],"Verdict":"may-have-run","Reason":"coverage: 8 of 10 shards answered, 9 are needed"}
{"Level":"info","Time":"2026-03-31T01:02:28.000Z","Event":"LinesOmitted","TooManyOfAKind":30,"WriterFull":1}
{"Level":"info","Time":"2026-03-31T01:02:29.000Z","Event":"StoreRegained","AsOf":44}
`

const other = `  24.0012 vm-2 {"Level":"warn","Time":"2026-03-31T01:02:27.400Z","Event":"RequestRefused","ID":"r1","Route":"","Status":503,"Elapsed":0.1,"Left":400,"Version":0,"ViewAge":9000000,"Shards":0,"Covered":0,"Sends":0,"Hedges":0,"Retries":0,"Refused":0,"Verdict":"not-run","Reason":"unavailable: routes are not known yet"}
`

// read returns the lines of both logs.
func read(t *testing.T) []cpexplain.Line {
	t.Helper()
	lines, skipped, err := cpexplain.Read(strings.NewReader(log), "vm-1.log")
	assert.NilError(t, err)
	assert.Equal(t, skipped, 1)
	more, _, err := cpexplain.Read(strings.NewReader(other), "all.log")
	assert.NilError(t, err)
	return append(lines, more...)
}

func TestAReportHasTheEndTheCallsAndWhatChangedBefore(t *testing.T) {
	reports := cpexplain.Explain(read(t), "r1")
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].VM, "vm-1")
	assert.Equal(t, reports[1].VM, "vm-2")
	assert.Equal(t, len(reports[0].Calls), 1)
	assert.Equal(t, len(reports[0].Before), 2)
	assert.Equal(t, reports[0].Omitted, 31)
}

func TestAReportIsWrittenAsText(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, cpexplain.Write(&b, "r1", cpexplain.Explain(read(t), "r1"), nil))
	for _, want := range []string{
		"vm-1 at 01:02:27.000: request r1 failed.",
		"It took 485ms of the 500ms that the caller gave; status 504",
		"The VM had version 7 of the routes; its view was last known to be current 2.1005s earlier.",
		"8 of 10 shards answered, with 12 calls: 1 hedges, 1 retries",
		"Left out s1: 1 of 2 calls had no answer yet (called t-3, t-4).",
		"Left out s2: no target was usable.",
		"Left out s3: its targets were loaded and would have answered too late, so none was called.",
		"a call to t-3 failed after 3.5ms: reset",
		"StoreLost: the platform's store does not answer",
		"31 lines of this VM were left out",
		"vm-2 at 01:02:27.400: request r1 was refused and has not run.",
		"routes are not known yet",
	} {
		assert.Assert(t, strings.Contains(b.String(), want), "%q is not in\n%s", want, b.String())
	}
	assert.Assert(t, !strings.Contains(b.String(), "StoreRegained"))
}

func TestARequestThatNoLineNames(t *testing.T) {
	var b strings.Builder
	lines := read(t)
	again := lines[0]
	again.Time = again.Time.Add(time.Minute)
	lines = append(lines, again)
	assert.NilError(t, cpexplain.Write(&b, "r9", cpexplain.Explain(lines, "r9"), cpexplain.Crashes(lines)))
	assert.Assert(t, strings.Contains(b.String(), "No line names request r9"))
	assert.Assert(t, strings.Contains(b.String(), "vm-1: last line at 01:02:29.000, started again at 01:03:20.000"), b.String())
}
