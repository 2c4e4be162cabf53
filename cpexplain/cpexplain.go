// Package cpexplain reads the logs of any number of VMs and tells what became of one request: what was decided, by
// what the VM believed and how old that was. It reads lines only; it asks no process.
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

// Error is the class of errors in logs.
var Error = errs.Class("explain")

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a VM's log.
type Line struct {
	VM     string
	Time   time.Time
	Event  cplogevent.Name
	ID     string
	Fields map[string]any
}

// Read reads a log. Bytes before the JSON object of a line are passed over, and its last word names the VM if there is
// one; otherwise the line about the start does, and before that the log's own name. Lines without an object are
// counted.
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

// parse reads one object.
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

// text returns a field that is text.
func (l *Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// number returns a field that is a number.
func (l *Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// flag returns a field that is true or false; a missing one is false.
func (l *Line) flag(field string) bool {
	is, _ := l.Fields[field].(bool)
	return is
}

// millis returns a field that is a duration in milliseconds.
func (l *Line) millis(field string) time.Duration {
	return time.Duration(l.number(field) * float64(time.Millisecond)).Round(100 * time.Microsecond)
}

// Report is what became of a request at one VM.
type Report struct {
	VM string
	// End is the line about the end of the request; nil if it is not in the log.
	End *Line
	// Calls are the failed calls of the request.
	Calls []Line
	// Before are lines about what the VM believed, from some time before the request until its end.
	Before []Line
	// Omitted is the number of lines that the VM left out around the request.
	Omitted int
}

// contextWindow is how long before a request the changes of what a VM believed are told.
const contextWindow = 10 * time.Second

// omittedWindow is how long after a request a line tells how many were left out.
const omittedWindow = 6 * time.Second

// Explain returns the stories of a request, one for each VM that saw it, in order of their ends.
func Explain(lines []Line, id string) []Report {
	byVM := map[string]*Report{}
	var vms []string
	for i := range lines {
		l := lines[i]
		if l.ID != id {
			continue
		}
		s := byVM[l.VM]
		if s == nil {
			s = &Report{VM: l.VM}
			byVM[l.VM] = s
			vms = append(vms, l.VM)
		}
		if l.Event == cplogevent.CallFailed {
			s.Calls = append(s.Calls, l)
		} else {
			s.End = &lines[i]
		}
	}
	stories := make([]Report, 0, len(vms))
	for _, vm := range vms {
		s := byVM[vm]
		s.addContext(lines)
		stories = append(stories, *s)
	}
	slices.SortStableFunc(stories, func(a, b Report) int { return a.at().Compare(b.at()) })
	return stories
}

// at returns when the request ended at the VM, or when its last failed call did.
func (s *Report) at() time.Time {
	if s.End != nil {
		return s.End.Time
	}
	return s.Calls[len(s.Calls)-1].Time
}

// addContext adds the lines of the same VM that are not about requests. Only lines of one VM are compared by time, since
// the clocks of VMs differ.
func (s *Report) addContext(lines []Line) {
	end := s.at()
	for _, l := range lines {
		if l.VM != s.VM || l.ID != "" || strings.HasPrefix(string(l.Event), "Request") {
			continue
		}
		if l.Event == cplogevent.LinesOmitted {
			if after := l.Time.Sub(end); after >= 0 && after <= omittedWindow {
				s.Omitted += int(l.number("TooManyOfAKind") + l.number("WriterFull"))
			}
			continue
		}
		if before := end.Sub(l.Time); before >= 0 && before <= contextWindow {
			s.Before = append(s.Before, l)
		}
	}
	slices.SortStableFunc(s.Before, func(a, b Line) int { return a.Time.Compare(b.Time) })
	slices.SortStableFunc(s.Calls, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Crash is the end of a process without a line about it.
type Crash struct {
	VM string
	// Last is the time of the last line before, and Started that of the next start.
	Last    time.Time
	Started time.Time
}

// Crashes returns the ends of processes that the logs show only by the next start. Requests under way at one have no
// line.
func Crashes(lines []Line) (crashes []Crash) {
	last := map[string]*Line{}
	for i := range lines {
		l := &lines[i]
		if l.Event == cplogevent.LinesOmitted {
			continue // the log itself ends with it
		}
		before := last[l.VM]
		if l.Event == cplogevent.Started && before != nil && before.Event != cplogevent.Stopped {
			crashes = append(crashes, Crash{VM: l.VM, Last: before.Time, Started: l.Time})
		}
		last[l.VM] = l
	}
	return crashes
}
