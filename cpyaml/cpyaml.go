// Package cpyaml decodes YAML strictly into Go structs and reports all faults of a text at once.
// It checks the form of a text only: the meaning of keys is checked by its users. It opens no files.
package cpyaml

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// Fault is one fault of a text.
type Fault struct {
	Line    int
	Key     string
	Problem string
	Allowed string `json:",omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("line %d: %s: %s", f.Line, f.Key, f.Problem)
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// Faults is an error that lists all faults of a text.
type Faults []Fault

// Error implements error with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a fault.
func (f *Faults) Add(line int, key, allowed, problem string, args ...any) {
	*f = append(*f, Fault{Line: line, Key: key, Problem: fmt.Sprintf(problem, args...), Allowed: allowed})
}

// Err returns the faults in the order of their lines, or nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	sort.SliceStable(f, func(i, j int) bool { return f[i].Line < f[j].Line })
	return f
}

// Location is the location of a mapping in a text. Decode sets the fields of this type in each struct that it fills.
type Location struct {
	node *yaml.Node
	key  string
}

// find returns the nodes of a key and its value, or nil.
func (l Location) find(key string) (k, value *yaml.Node) {
	if l.node == nil {
		return nil, nil
	}
	for i := 0; i+1 < len(l.node.Content); i += 2 {
		if l.node.Content[i].Value == key {
			return l.node.Content[i], l.node.Content[i+1]
		}
	}
	return nil, nil
}

// Line returns the line of a key of the mapping, or the line of the mapping if it does not have the key.
func (l Location) Line(key string) int {
	if k, _ := l.find(key); k != nil {
		return k.Line
	}
	if l.node == nil {
		return 0
	}
	return l.node.Line
}

// Key returns the full path of a key of the mapping.
func (l Location) Key(key string) string { return joinKey(l.key, key) }

// Has reports whether the mapping has the key.
func (l Location) Has(key string) bool {
	k, _ := l.find(key)
	return k != nil
}

// Report adds a fault at a key of the mapping. It does nothing if the value of the key could not be decoded, since that
// has been reported.
func (l Location) Report(faults *Faults, key, allowed, problem string, args ...any) {
	if _, value := l.find(key); value != nil && value.Tag == invalidTag {
		return
	}
	faults.Add(l.Line(key), l.Key(key), allowed, problem, args...)
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

// Decode decodes a text of at most limit bytes into the struct that v points to and adds its faults to faults.
// Fields whose keys are absent from the text are left unchanged.
func Decode(text []byte, limit int, v any, faults *Faults) {
	switch {
	case len(text) > limit:
		faults.Add(1, "text", fmt.Sprintf("at most %d bytes", limit), "has %d bytes", len(text))
		return
	case !utf8.Valid(text):
		faults.Add(1, "text", "UTF-8", "is not valid UTF-8")
		return
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(strings.NewReader(string(text)))
	if err := dec.Decode(&doc); err != nil {
		addSyntaxFault(faults, err)
		return
	}
	if err := dec.Decode(new(yaml.Node)); err == nil {
		faults.Add(1, "text", "one document", "has several documents")
	}
	if len(doc.Content) != 1 {
		faults.Add(1, "text", "a mapping", "is empty")
		return
	}
	d := decoder{faults: faults}
	d.decode(doc.Content[0], "", v)
}

// addSyntaxFault adds the error of the YAML parser as a fault, at the line that the error names.
func addSyntaxFault(faults *Faults, err error) {
	line := 1
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	faults.Add(line, "text", "YAML", "can't be parsed: %s", strings.TrimPrefix(err.Error(), "yaml: "))
}

func joinKey(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
