// Package cpexplain reconstructs the handling of one request from the logs of any number of VMs: its outcome, the calls
// that failed, and the state of the VM on which decisions were based. It reads only logs and contacts no process.
package cpexplain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/clementineport/clementineport/cplogevent"
)

// Error is the class of errors in reading logs.
var Error = errs.Class("explain")

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one line of a VM's log.
type Line struct {
	VM     string
	Time   time.Time
	Event  cplogevent.Name
	ID     string
	Fields map[string]any
}

// Read reads a log and returns its lines and the number of lines skipped because they hold no JSON object with an event
// and a valid time.
//
// A line may have a prefix before its JSON object, whose last word is the name of the VM. Without a prefix, the VM is
// that of the last Started event or, before the first one, name.
func Read(r io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	vm := name
	for scanner.Scan() {
		prefix, object, ok := cutObject(scanner.Bytes())
		if !ok {
			skipped++
			continue
		}
		line, ok := parse(object)
		if !ok {
			skipped++
			continue
		}
		if line.Event == cplogevent.Started {
			vm = line.text(cplogevent.FieldVM)
		}
		line.VM = vm
		if words := strings.Fields(prefix); len(words) > 0 {
			line.VM = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	return lines, skipped, Error.Wrap(scanner.Err())
}

// cutObject splits a line before its JSON object.
func cutObject(line []byte) (prefix string, object []byte, ok bool) {
	at := bytes.IndexByte(line, '{')
	if at < 0 {
		return "", nil, false
	}
	return string(line[:at]), line[at:], true
}

// parse decodes the JSON object of a line. It reports false if the object has no event or no valid time.
func parse(object []byte) (Line, bool) {
	l := Line{Fields: map[string]any{}}
	if json.Unmarshal(object, &l.Fields) != nil {
		return l, false
	}
	l.Event = cplogevent.Name(l.text(cplogevent.FieldEvent))
	l.ID = l.text(cplogevent.FieldID)
	at, err := time.Parse(time.RFC3339, l.text(cplogevent.FieldTime))
	l.Time = at
	return l, err == nil && l.Event != ""
}

// text returns a string field.
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// number returns a numeric field.
func (l *Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// flag returns a boolean field; a missing one is false.
func (l *Line) flag(field string) bool {
	is, _ := l.Fields[field].(bool)
	return is
}

// millis returns a duration field, which is logged in milliseconds.
func (l *Line) millis(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Millisecond)).Round(100 * time.Microsecond)
}

// Report describes the handling of a request at one VM.
type Report struct {
	VM string
	// End is the line that reports the end of the request, or nil if the log does not contain it.
	End *Line
	// Calls are the failed calls of the request.
	Calls []Line
	// Before holds the lines about changes to the state of the VM, from some time before the request until its end.
	Before []Line
	// Omitted is the number of lines that the VM dropped around the time of the request.
	Omitted int
}

// contextWindow is how long before the end of a request changes to the state of the VM are included.
const contextWindow = 10 * time.Second

// omittedWindow is how long after the end of a request a LinesOmitted event may still count lines of that time. It
// exceeds the report period of the log.
const omittedWindow = 6 * time.Second

// Explain returns one report for each VM whose lines name the request, in order of the end of the request there.
func Explain(lines []Line, id string) []Report {
	byVM := map[string]*Report{}
	var vms []string
	for i := range lines {
		l := lines[i]
		if l.ID != id {
			continue
		}
		r := byVM[l.VM]
		if r == nil {
			r = &Report{VM: l.VM}
			byVM[l.VM] = r
			vms = append(vms, l.VM)
		}
		if l.Event == cplogevent.CallFailed {
			r.Calls = append(r.Calls, l)
		} else {
			r.End = &lines[i]
		}
	}
	reports := make([]Report, 0, len(vms))
	for _, vm := range vms {
		r := byVM[vm]
		r.addContext(lines)
		reports = append(reports, *r)
	}
	slices.SortStableFunc(reports, func(a, b Report) int { return a.at().Compare(b.at()) })
	return reports
}

// at returns the time when the request ended at the VM or, without that line, when its last failed call ended.
func (r *Report) at() time.Time {
	if r.End != nil {
		return r.End.Time
	}
	return r.Calls[len(r.Calls)-1].Time
}

// addContext adds the lines of the same VM that do not concern requests. It compares only times of one VM, because the
// clocks of VMs differ.
func (r *Report) addContext(lines []Line) {
	end := r.at()
	for _, l := range lines {
		if l.VM != r.VM || l.ID != "" || strings.HasPrefix(string(l.Event), "Request") {
			continue
		}
		if l.Event == cplogevent.LinesOmitted {
			if after := l.Time.Sub(end); after >= 0 && after <= omittedWindow {
				r.Omitted += int(l.number("TooManyOfAKind") + l.number("WriterFull"))
			}
			continue
		}
		if before := end.Sub(l.Time); before >= 0 && before <= contextWindow {
			r.Before = append(r.Before, l)
		}
	}
	slices.SortStableFunc(r.Before, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(r.Calls, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Crash describes a process that ended without logging it.
type Crash struct {
	VM string
	// Last is the time of the last line before the crash, and Started that of the next start.
	Last    time.Time
	Started time.Time
}

// Crashes returns the crashes in the logs: each Started event that follows a line of the same VM other than a Stopped
// event. Requests in flight at a crash have no line about their end.
func Crashes(lines []Line) (crashes []Crash) {
	last := map[string]*Line{}
	for i := range lines {
		l := &lines[i]
		if l.Event == cplogevent.LinesOmitted {
			continue // a log may write it after Stopped, when it is closed
		}
		before := last[l.VM]
		if l.Event == cplogevent.Started && before != nil && before.Event != cplogevent.Stopped {
			crashes = append(crashes, Crash{VM: l.VM, Last: before.Time, Started: l.Time})
		}
		last[l.VM] = l
	}
	return crashes
}
