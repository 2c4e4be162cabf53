package cpyaml

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

var (
	locationType = reflect.TypeFor[Location]()
	durationType = reflect.TypeFor[time.Duration]()
)

// decoder decodes nodes into values. It continues after a fault, so that all faults of a text are found.
type decoder struct {
	faults *Faults
}

func (d *decoder) decode(n *yaml.Node, key string, v any) {
	d.node(n, key, reflect.ValueOf(v).Elem())
}

func (d *decoder) node(n *yaml.Node, key string, v reflect.Value) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" || n.Style&yaml.TaggedStyle != 0 {
		d.addFault(n, key, "plain values", "anchors, aliases and tags are not allowed")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(n, key, u)
		return
	}
	switch {
	case v.Type() == durationType:
		d.duration(n, key, v)
	case v.Kind() == reflect.Struct:
		d.mapping(n, key, v)
	case v.Kind() == reflect.Slice:
		d.sequence(n, key, v)
	default:
		d.scalar(n, key, v)
	}
}

// invalidTag marks a node whose value could not be decoded, so that no further faults are reported for it.
const invalidTag = "!bad"

// addFault adds a fault at a node and marks the node with invalidTag.
func (d *decoder) addFault(n *yaml.Node, key, allowed, problem string, args ...any) {
	n.Tag = invalidTag
	d.faults.Add(n.Line, faultKey(key), allowed, problem, args...)
}

func (d *decoder) mapping(n *yaml.Node, key string, v reflect.Value) {
	if n.Kind != yaml.MappingNode {
		d.addFault(n, key, "a mapping with the keys "+strings.Join(fieldNames(v.Type()), ", "), "is not a mapping")
		return
	}
	for i := range v.NumField() {
		if v.Field(i).Type() == locationType {
			v.Field(i).Set(reflect.ValueOf(Location{node: n, key: key}))
		}
	}
	var seen uint64 // one bit per field
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		full := joinKey(key, k.Value)
		field, known := v.Type().FieldByName(k.Value)
		if k.Kind != yaml.ScalarNode || !known || field.Type == locationType {
			d.faults.Add(k.Line, full, strings.Join(fieldNames(v.Type()), ", "), "unknown key")
			continue
		}
		bit := uint64(1) << field.Index[0]
		if seen&bit != 0 {
			d.faults.Add(k.Line, full, "each key once", "the key stands twice")
			continue
		}
		seen |= bit
		d.node(n.Content[i+1], full, v.FieldByIndex(field.Index))
	}
}

func (d *decoder) sequence(n *yaml.Node, key string, v reflect.Value) {
	if n.Kind != yaml.SequenceNode {
		d.addFault(n, key, "a list", "is not a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.node(item, key+"["+strconv.Itoa(i)+"]", list.Index(i))
	}
	v.Set(list)
}

// scalarText returns the text of a scalar node. If the node is not a scalar, it adds a fault and returns false.
func (d *decoder) scalarText(n *yaml.Node, key, allowed string) (string, bool) {
	if n.Kind != yaml.ScalarNode {
		d.addFault(n, key, allowed, "is not a single value")
		return "", false
	}
	return n.Value, true
}

func (d *decoder) text(n *yaml.Node, key string, u encoding.TextUnmarshaler) {
	text, ok := d.scalarText(n, key, "a single value")
	if !ok {
		return
	}
	if err := u.UnmarshalText([]byte(text)); err != nil {
		d.addFault(n, key, err.Error(), "is %q", text)
	}
}

func (d *decoder) duration(n *yaml.Node, key string, v reflect.Value) {
	const allowed = "a duration with its unit, such as 6ms, 2s or 1m30s"
	text, ok := d.scalarText(n, key, allowed)
	if !ok {
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		d.addFault(n, key, allowed, "is %q", text)
		return
	}
	v.SetInt(int64(value))
}

func (d *decoder) scalar(n *yaml.Node, key string, v reflect.Value) {
	allowed := allowedFor(v.Kind())
	text, ok := d.scalarText(n, key, allowed)
	if !ok {
		return
	}
	if err := setScalar(v, text); err != nil {
		d.addFault(n, key, allowed, "is %q", text)
	}
}

func setScalar(v reflect.Value, text string) error {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
		return nil
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		v.SetBool(b)
		return err
	case reflect.Int, reflect.Int32, reflect.Int64:
		i, err := strconv.ParseInt(text, 10, v.Type().Bits())
		v.SetInt(i)
		return err
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		u, err := strconv.ParseUint(text, 10, v.Type().Bits())
		v.SetUint(u)
		return err
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		v.SetFloat(f)
		return err
	default:
		return fmt.Errorf("kind %s is not supported", v.Kind())
	}
}

// allowedFor returns what is allowed for a scalar of a kind, as faults report it.
func allowedFor(kind reflect.Kind) string {
	switch kind {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number"
	default:
		return "a single value"
	}
}

// fieldNames returns the names of the fields of a struct, which are its keys, without fields of type Location.
func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if t.Field(i).Type != locationType {
			names = append(names, t.Field(i).Name)
		}
	}
	return names
}

// faultKey returns the key to report in a fault; a fault of the top-level mapping has the key "text".
func faultKey(key string) string {
	if key == "" {
		return "text"
	}
	return key
}
