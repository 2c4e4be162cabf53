// Package cpyaml decodes YAML strictly into Go structs and lists every fault of a text at once.
// It decides what a well-formed text is; it knows nothing of the meaning of any key and opens no file.
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

// Fault is one thing that is wrong with a text.
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

// Faults is the error that lists everything that is wrong with a text.
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

// Location is where a mapping stands in a text; a struct with a Location field has it set by Decode.
type Location struct {
	node *yaml.Node
	key  string
}

// find returns the nodes of a key and its value, or nil.
func (p Location) find(key string) (k, value *yaml.Node) {
	if p.node == nil {
		return nil, nil
	}
	for i := 0; i+1 < len(p.node.Content); i += 2 {
		if p.node.Content[i].Value == key {
			return p.node.Content[i], p.node.Content[i+1]
		}
	}
	return nil, nil
}

// Line returns the line of a key of the mapping, or that of the mapping if it has no such key.
func (p Location) Line(key string) int {
	if k, _ := p.find(key); k != nil {
		return k.Line
	}
	if p.node == nil {
		return 0
	}
	return p.node.Line
}

// Key returns the full name of a key of the mapping.
func (p Location) Key(key string) string { return join(p.key, key) }

// Has reports whether the mapping has the key.
func (p Location) Has(key string) bool {
	k, _ := p.find(key)
	return k != nil
}

// Report adds a fault at a key of the mapping, unless its value could not be decoded at all.
func (p Location) Report(faults *Faults, key, allowed, problem string, args ...any) {
	if _, value := p.find(key); value != nil && value.Tag == badTag {
		return
	}
	faults.Add(p.Line(key), p.Key(key), allowed, problem, args...)
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

// Decode decodes a text of at most limit bytes into the struct that v points to and adds what is wrong to faults.
// Keys that are absent from the text leave the fields as they are.
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
		addSyntax(faults, err)
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
	d.value(doc.Content[0], "", v)
}

func addSyntax(faults *Faults, err error) {
	line := 1
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	faults.Add(line, "text", "YAML", "can't be parsed: %s", strings.TrimPrefix(err.Error(), "yaml: "))
}

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}
