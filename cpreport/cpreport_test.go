package cpreport_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpreport"
)

func sampleReport() *cpreport.Report {
	c := cpreport.NewCollector()
	c.Add(&cpreport.Result{Service: "desk", Policy: "current", Latency: 10 * time.Millisecond, Answer: &clementineport.Answer{
		Verdict: clementineport.Ran, Shards: 4, Covered: []clementineport.ShardID{0, 1, 2, 3}, Complete: true,
		Stats: clementineport.GatherStats{Calls: 5, Hedges: 1},
	}})
	c.Add(&cpreport.Result{Service: "desk", Policy: "current", Due: 1500 * time.Millisecond, Latency: 30 * time.Millisecond, Answer: &clementineport.Answer{
		Verdict: clementineport.Ran, Shards: 4, Covered: []clementineport.ShardID{0}, Stats: clementineport.GatherStats{Calls: 6, Retries: 2},
	}, CheckErr: errors.New("two snapshots")})
	c.Add(&cpreport.Result{
		Service: "desk", Policy: "current", Due: 1600 * time.Millisecond, Latency: time.Millisecond,
		Err: clementineport.Fail(clementineport.FaultShed, "overloaded"),
	})
	return c.Report()
}

func TestReport(t *testing.T) {
	r := sampleReport()
	assert.Equal(t, len(r.Series), 1)
	s := r.Series[0]
	assert.Equal(t, s.Sent, 3)
	assert.Equal(t, s.Answered, 2)
	assert.Equal(t, s.Wrong, 1)
	assert.DeepEqual(t, s.Coverage, cpreport.Coverage{Mean: 0.625, Min: 0.25, Complete: 0.5})
	assert.DeepEqual(t, s.Verdicts, map[string]int{"ran": 2, "not-run": 1})
	assert.DeepEqual(t, s.Faults, map[string]int{"shed": 1})
	assert.Equal(t, s.ExtraLoad, 3.0/8)
	assert.Equal(t, len(r.Timeline), 2)
	assert.Equal(t, r.Timeline[1].Refused, 1)
	assert.Equal(t, r.Timeline[1].Coverage, 0.25)
}

func TestQuantilesAreOfTheLatencies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.SliceOfN(rapid.IntRange(1, 60_000), 1, 200).Draw(t, "millis")
		c := cpreport.NewCollector()
		for _, ms := range millis {
			c.Add(&cpreport.Result{Latency: time.Duration(ms) * time.Millisecond, Answer: new(clementineport.Answer)})
		}
		slices.Sort(millis)
		got := c.Report().Series[0].Latency
		for _, q := range []struct {
			got  float64
			want int
		}{{got.P50Millis, millis[(len(millis)-1)/2]}, {got.MaxMillis, millis[len(millis)-1]}} {
			assert.Assert(t, q.got >= 0.99*float64(q.want) && q.got <= 1.01*float64(q.want), "%v", q)
		}
	})
}

func TestSVGIsWellFormed(t *testing.T) {
	var svg bytes.Buffer
	assert.NilError(t, cpreport.WriteSVG(&svg, sampleReport()))
	for decoder := xml.NewDecoder(&svg); ; {
		if _, err := decoder.Token(); err != nil {
			assert.ErrorIs(t, err, io.EOF)
			return
		}
	}
}

func ExampleWriteCSV() {
	_ = cpreport.WriteCSV(os.Stdout, sampleReport())
	// Output:
	// Second,Policy,Sent,Answered,Refused,Failed,P50Millis,P99Millis,Coverage,ExtraLoad
	// 0,current,1,1,0,0,10.0470,10.0470,1.0000,0.2500
	// 1,current,2,1,1,1,30.0790,30.0790,0.2500,0.5000
}
