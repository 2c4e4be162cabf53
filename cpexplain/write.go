package cpexplain

import (
	"fmt"
	"io"
	"strings"

	"github.com/clementineport/clementineport/cplogevent"
)

// maxContextLines is the maximum number of state changes written for one VM; the latest are kept.
const maxContextLines = 12

// Write writes the reports of a request as text. If there are none, it writes the crashes in which the request may have
// been lost.
func Write(w io.Writer, id string, reports []Report, crashes []Crash) error {
	var b strings.Builder
	if len(reports) == 0 {
		fmt.Fprintf(&b, "No line names request %s. Only a sample of successful requests is logged, and lines may have been left out.\n", id)
		writeCrashes(&b, crashes)
	}
	for i := range reports {
		reports[i].write(&b, id)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// writeCrashes writes the crashes in which a request without a line may have been lost.
func writeCrashes(b *strings.Builder, crashes []Crash) {
	if len(crashes) == 0 {
		return
	}
	b.WriteString("Requests that were under way when a process was killed or lost power have no line. That happened here:\n")
	for i := range crashes {
		c := &crashes[i]
		fmt.Fprintf(b, "  %s: last line at %s, started again at %s\n", c.VM, c.Last.Format(timeLayout), c.Started.Format(timeLayout))
	}
}

// timeLayout is the layout of times in the text.
const timeLayout = "15:04:05.000"

// write writes one report.
func (r *Report) write(b *strings.Builder, id string) {
	if r.End == nil {
		fmt.Fprintf(b, "%s: calls of request %s failed here, but there is no line about its end.\n", r.VM, id)
	} else {
		r.writeEnd(b, id)
	}
	for i := range r.Calls {
		l := &r.Calls[i]
		fmt.Fprintf(b, "  %s a call to %s failed after %v: %s (%s)\n", timestamp(l), l.text("Target"), l.millis("Elapsed"),
			l.text("Fault"), l.text("Reason"))
	}
	r.writeContext(b)
	if r.Omitted > 0 {
		fmt.Fprintf(b, "  %d lines of this VM were left out around this time, so calls may be missing here.\n", r.Omitted)
	}
}

func timestamp(l *Line) string { return l.Time.Format(timeLayout) }

// writeEnd writes the outcome of the request and the state of the VM's view.
func (r *Report) writeEnd(b *strings.Builder, id string) {
	l := r.End
	fmt.Fprintf(b, "%s at %s: request %s %s.\n", r.VM, timestamp(l), id, ending(l))
	fmt.Fprintf(b, "  It took %v of the %v that the caller gave; status %.0f on route %q.\n", l.millis("Elapsed"),
		l.millis("Left"), l.number("Status"), l.text("Route"))
	fmt.Fprintf(b, "  The VM had version %.0f of the routes; its view was last known to be current %v earlier.\n",
		l.number("Version"), l.millis("ViewAge"))
	if l.number("Sends") > 0 {
		fmt.Fprintf(b, "  %.0f of %.0f shards answered, with %.0f calls: %.0f hedges, %.0f retries, %.0f refused by targets.\n",
			l.number("Covered"), l.number("Shards"), l.number("Sends"), l.number("Hedges"), l.number("Retries"), l.number("Refused"))
	}
	if target := l.text("Target"); target != "" {
		version := ""
		if v := l.text("TargetVersion"); v != "" {
			version = " of version " + v
		}
		fmt.Fprintf(b, "  The response is that of target %s%s.\n", target, version)
	}
	writeLeftOut(b, l)
	if reason := l.text("Reason"); reason != "" {
		fmt.Fprintf(b, "  Reason: %s. Verdict: %s.\n", reason, l.text("Verdict"))
	}
	if err := l.text("WriteError"); err != "" {
		fmt.Fprintf(b, "  The answer did not reach the caller: %s.\n", err)
	}
}

// ending returns the outcome of a request as a predicate.
func ending(l *Line) string {
	switch l.Event {
	case cplogevent.RequestServed:
		return "was answered"
	case cplogevent.RequestRepeated:
		return "was answered after hedges or retries"
	case cplogevent.RequestIncomplete:
		return "was answered without some shards"
	case cplogevent.RequestRefused:
		return "was refused and has not run"
	default:
		return "failed"
	}
}

// writeLeftOut writes why each missing shard did not contribute to the answer.
func writeLeftOut(b *strings.Builder, l *Line) {
	shards, _ := l.Fields["LeftOut"].([]any)
	for _, s := range shards {
		shard, _ := s.(map[string]any)
		sub := Line{Fields: shard}
		var why string
		switch fault := sub.text("Fault"); {
		case sub.number("Sends") == 0 && fault == "unavailable":
			why = "no target was usable"
		case sub.flag("Held"):
			why = "its targets were loaded and would have answered too late, so none was called"
		case sub.number("Sends") == 0:
			why = "all targets were busy and none was called"
		case sub.number("Waiting") > 0:
			why = fmt.Sprintf("%.0f of %.0f calls had no answer yet", sub.number("Waiting"), sub.number("Sends"))
		default:
			why = fmt.Sprintf("all %.0f calls failed, first with %q", sub.number("Sends"), fault)
		}
		fmt.Fprintf(b, "  Left out %s: %s%s.\n", sub.text("Service"), why, calledTargets(shard))
	}
}

// calledTargets returns the list of the targets that were called for a shard.
func calledTargets(shard map[string]any) string {
	targets, _ := shard["Targets"].([]any)
	if len(targets) == 0 {
		return ""
	}
	var names []string
	for _, t := range targets {
		names = append(names, fmt.Sprint(t))
	}
	return " (called " + strings.Join(names, ", ") + ")"
}

// writeContext writes the state changes of the VM before the end of the request.
func (r *Report) writeContext(b *strings.Builder) {
	if len(r.Before) == 0 {
		return
	}
	fmt.Fprintf(b, "  What changed at this VM in the %v before:\n", contextWindow)
	for _, l := range r.Before[max(0, len(r.Before)-maxContextLines):] {
		kind, _ := cplogevent.Find(l.Event)
		var details []string
		for _, name := range kind.Fields {
			if v, ok := l.Fields[name]; ok {
				details = append(details, fmt.Sprintf("%s %v", name, v))
			}
		}
		fmt.Fprintf(b, "    %s %s: %s (%s)\n", timestamp(&l), l.Event, kind.Meaning, strings.Join(details, ", "))
	}
}
