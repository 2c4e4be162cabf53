package cpcli

import (
	"encoding/json"
	"io"
	"os"

	"github.com/clementineport/clementineport/cpexplain"
	"github.com/clementineport/clementineport/cpsubcommand"
)

// explainLogs prints how a request was handled according to the logs of any number of VMs.
func explainLogs(stdout, stderr io.Writer, files []string, id string, asJSON bool) error {
	var lines []cpexplain.Line
	for _, file := range files {
		more, err := readLog(stderr, file)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	reports := cpexplain.Explain(lines, id)
	if asJSON {
		return json.NewEncoder(stdout).Encode(reports)
	}
	return cpexplain.Write(stdout, id, reports, cpexplain.Crashes(lines))
}

// readLog reads the log in a file, and warns on stderr if lines were skipped.
func readLog(stderr io.Writer, file string) ([]cpexplain.Line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, cpsubcommand.Usagef("%v", err)
	}
	defer func() { _ = f.Close() }() // opened for reading only
	lines, skipped, err := cpexplain.Read(f, file)
	if err != nil {
		return nil, cpexplain.Error.New("%s: %w", file, err)
	}
	if skipped > 0 {
		_, err = io.WriteString(stderr, file+": lines that are not log lines were skipped\n")
	}
	return lines, err
}
