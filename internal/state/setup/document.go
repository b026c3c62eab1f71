package setup

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid reports invalid settings.
var ErrInvalid = errors.New("invalid settings")

// document is a settings file with the position of every field and the faults found in it.
type document struct {
	path     string
	data     []byte
	standard []byte // data as standard JSON, with the same offsets
	root     hujson.Value
	offsets  map[string]int // in bytes from the start of data, by dotted name
	faults   []string       // one line each, with path, line and field
}

func newDocument(path string, data []byte) (*document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.WithMessagef(ErrInvalid, "%s: %v", path, err)
	}

	d := &document{path: path, data: data, root: root, offsets: map[string]int{}}
	d.indexFields("", root)

	standard := root.Clone()
	standard.Standardize()
	d.standard = standard.Pack()
	return d, nil
}

func (d *document) indexFields(prefix string, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}

	for _, m := range object.Members {
		field := join(prefix, memberName(m))
		d.offsets[field] = m.Name.StartOffset
		d.indexFields(field, m.Value)
	}
}

// checkFields adds a fault for every field that the target does not have or that occurs twice.
func (d *document) checkFields(target any) {
	d.checkObject("", d.root, reflect.TypeOf(target).Elem())
}

func (d *document) checkObject(prefix string, v hujson.Value, t reflect.Type) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}

	seen := map[string]bool{}
	for _, m := range object.Members {
		name := memberName(m)
		field := join(prefix, name)
		if seen[name] {
			d.addFault(m.Name.StartOffset, field, "duplicate field")
		}
		seen[name] = true

		fieldType, known := fieldTypeOf(t, name)
		if !known {
			d.addFault(m.Name.StartOffset, field, "unknown field")
			continue
		}
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		if fieldType.Kind() == reflect.Struct {
			d.checkObject(field, m.Value, fieldType)
		}
	}
}

func (d *document) require(field string, ok bool, problem string) {
	if ok {
		return
	}
	d.addFault(d.offsetOf(field), field, problem)
}

// addDecodeError adds a fault for an error of json.Unmarshal.
func (d *document) addDecodeError(err error) {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		d.addFault(int(mismatch.Offset), mismatch.Field, "is a "+mismatch.Value+", want "+mismatch.Type.String())
		return
	}
	d.locateDecodeError(err)
}

// locateDecodeError adds a fault for an error of a value's own decoder. Such an error
// does not contain the position, so it looks for a field whose value the error quotes.
func (d *document) locateDecodeError(err error) {
	for field, offset := range d.offsets {
		text := d.valueText(field)
		if text != "" && strings.Contains(err.Error(), text) {
			d.addFault(offset, field, err.Error())
			return
		}
	}
	d.faults = append(d.faults, fmt.Sprintf("%s: %v", d.path, err))
}

func (d *document) valueText(field string) string {
	value := d.root.Find("/" + strings.ReplaceAll(field, ".", "/"))
	if value == nil {
		return ""
	}
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return string(literal)
}

func (d *document) addFault(offset int, field, problem string) {
	line := 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
	d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: %s", d.path, line, field, problem))
}

// offsetOf returns the offset of a field, or if it is missing that of the innermost
// object around it.
func (d *document) offsetOf(field string) int {
	for field != "" {
		if offset, ok := d.offsets[field]; ok {
			return offset
		}
		field = field[:max(0, strings.LastIndexByte(field, '.'))]
	}
	return 0
}

func (d *document) err() error {
	if len(d.faults) == 0 {
		return nil
	}
	return errors.WithMessage(ErrInvalid, strings.Join(d.faults, "\n"))
}

func memberName(m hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func fieldTypeOf(t reflect.Type, name string) (reflect.Type, bool) {
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == name {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

func join(prefix, name string) string {
	if prefix == "" {
		return name
	}
	return prefix + "." + name
}
