package cpreport

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// WriteText writes the report as a table with a summary of each series.
func WriteText(w io.Writer, r *Report) error {
	fmt.Fprintf(w, "%.1f s at %.0f queries/s, %d callers, %.0f%% non-idempotent, seed %d, %d unsent\n\n",
		r.Seconds, r.Rate, r.Callers, 100*r.NonIdempotent, r.Seed, r.Unsent)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tpolicy\tsent\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tcoverage\tleast\tcomplete\textra\twrong\t")
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.4f\t%.3f\t%.4f\t%.2f%%\t%d\t\n",
			s.Service, s.Policy, s.Sent, s.Answered,
			s.Latency.P50Millis, s.Latency.P99Millis, s.Latency.P999Millis,
			s.Coverage.Mean, s.Coverage.Min, s.Coverage.Complete, 100*s.ExtraLoad, s.Wrong)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for i := range r.Series {
		s := &r.Series[i]
		fmt.Fprintf(w, "\n%s %s: verdicts %s; faults %s; %d calls, %d hedges, %d retries, %d resent after a refusal, %d restarts, %d late\n",
			s.Service, s.Policy, formatCounts(s.Verdicts), formatCounts(s.Faults),
			s.Stats.Calls, s.Stats.Hedges, s.Stats.Retries, s.Stats.Resends, s.Stats.Restarts, s.Stats.Late)
		if s.Failed > 0 {
			fmt.Fprintf(w, "  failures took p50 %.1f ms, p99 %.1f ms\n", s.FailedLatency.P50Millis, s.FailedLatency.P99Millis)
		}
		if s.FirstWrong != "" {
			fmt.Fprintf(w, "  first wrong answer: %s\n", s.FirstWrong)
		}
	}
	return nil
}

// WriteCSV writes the timeline as CSV with a header row.
func WriteCSV(w io.Writer, r *Report) error {
	c := csv.NewWriter(w)
	rows := [][]string{{
		"Second", "Policy", "Sent", "Answered", "Refused", "Failed", "P50Millis", "P99Millis", "Coverage", "ExtraLoad",
	}}
	for _, s := range r.Timeline {
		rows = append(rows, []string{
			strconv.Itoa(s.Second), s.Policy, strconv.Itoa(s.Sent), strconv.Itoa(s.Answered),
			strconv.Itoa(s.Refused), strconv.Itoa(s.Failed), formatDecimal(s.P50Millis), formatDecimal(s.P99Millis),
			formatDecimal(s.Coverage), formatDecimal(s.ExtraLoad),
		})
	}
	return c.WriteAll(rows)
}

func formatCounts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	parts := make([]string, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

func formatDecimal(v float64) string { return strconv.FormatFloat(v, 'f', 4, 64) }
