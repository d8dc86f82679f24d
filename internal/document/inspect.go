package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"strings"
)

// maxDepth is the largest nesting depth of objects and arrays.
const maxDepth = 16

// errSyntax ends the inspection of a document that is not JSON or is nested too
// deeply.
var errSyntax = errors.New("malformed JSON")

// inspector checks the tokens of a document against the type of a wire struct.
type inspector struct {
	dec    *json.Decoder
	faults Faults
	depth  int
}

// inspect reports unknown fields, repeated fields and values of a wrong type.
func inspect(data []byte, wire any) Faults {
	in := &inspector{dec: json.NewDecoder(bytes.NewReader(data))}
	in.dec.UseNumber()
	if err := in.value(reflect.TypeOf(wire), ""); err != nil {
		text := fmt.Sprintf("%v at byte %d", err, in.dec.InputOffset())
		return Faults{{Field: Root, Value: text, Allowed: "one JSON document"}}
	}
	if _, err := in.dec.Token(); !errors.Is(err, io.EOF) {
		text := fmt.Sprintf("data after byte %d", in.dec.InputOffset())
		return Faults{{Field: Root, Value: text, Allowed: "one JSON document"}}
	}
	return in.faults
}

// value inspects the next value of the document. A nil type t accepts any value: it
// is passed when a fault of the value, or of an object or array around it, has
// already been reported.
func (in *inspector) value(t reflect.Type, path string) error {
	for t != nil && t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	token, err := in.dec.Token()
	if err != nil {
		return fmt.Errorf("%w: %w", errSyntax, err)
	}
	switch token {
	case json.Delim('{'):
		return in.nested(func() error { return in.object(t, path) })
	case json.Delim('['):
		return in.nested(func() error { return in.array(t, path) })
	}
	in.scalar(token, t, path)
	return nil
}

func (in *inspector) nested(inner func() error) error {
	in.depth++
	defer func() { in.depth-- }()
	if in.depth > maxDepth {
		return fmt.Errorf("%w: nested deeper than %d", errSyntax, maxDepth)
	}
	if err := inner(); err != nil {
		return err
	}
	if _, err := in.dec.Token(); err != nil {
		return fmt.Errorf("%w: %w", errSyntax, err)
	}
	return nil
}

func (in *inspector) object(t reflect.Type, path string) error {
	if t != nil && t.Kind() != reflect.Struct {
		in.addFault(path, "an object", describeType(t))
		t = nil
	}
	var seen []string
	for in.dec.More() {
		token, err := in.dec.Token()
		if err != nil {
			return fmt.Errorf("%w: %w", errSyntax, err)
		}
		name, _ := token.(string)
		inner := joinPath(path, name)
		if slices.Contains(seen, name) {
			in.addFault(inner, "a repeated field", "each field once")
		}
		seen = append(seen, name)
		if err := in.value(in.fieldType(t, name, inner), inner); err != nil {
			return err
		}
	}
	return nil
}

// fieldType returns the type of the field with exactly this name. If there is
// none, it reports a fault and returns nil.
func (in *inspector) fieldType(t reflect.Type, name, path string) reflect.Type {
	if t == nil {
		return nil
	}
	if field, ok := t.FieldByName(name); ok && field.IsExported() {
		return field.Type
	}
	in.addFault(path, "an unknown field", "one of "+fieldNames(t))
	return nil
}

func (in *inspector) array(t reflect.Type, path string) error {
	var elem reflect.Type
	switch {
	case t == nil:
	case t.Kind() == reflect.Slice:
		elem = t.Elem()
	default:
		in.addFault(path, "a list", describeType(t))
	}
	for i := 0; in.dec.More(); i++ {
		if err := in.value(elem, fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (in *inspector) scalar(token json.Token, t reflect.Type, path string) {
	if t == nil {
		return
	}
	text, err := json.Marshal(token)
	if err != nil || json.Unmarshal(text, reflect.New(t).Interface()) != nil || token == nil {
		in.addFault(path, string(text), describeType(t))
	}
}

func (in *inspector) addFault(path, value, allowed string) {
	if path == "" {
		path = Root
	}
	if !in.faults.Has(path) {
		in.faults = append(in.faults, Fault{Field: path, Value: truncate(value), Allowed: allowed})
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return strings.Join(names, ", ")
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number of at least 0"
	default:
		return "a whole number"
	}
}
