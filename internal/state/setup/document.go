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

// ErrInvalid reports settings that cannot be used.
var ErrInvalid = errors.New("invalid settings")

// document is a settings file with the place of every field, and the faults found in it.
type document struct {
	path     string
	data     []byte
	standard []byte
	root     hujson.Value
	offsets  map[string]int
	faults   []string
}

func newDocument(path string, data []byte) (*document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, errors.WithMessagef(ErrInvalid, "%s: %v", path, err)
	}

	d := &document{path: path, data: data, root: root, offsets: map[string]int{}}
	d.index("", root)

	standard := root.Clone()
	standard.Standardize()
	d.standard = standard.Pack()
	return d, nil
}

func (d *document) index(prefix string, v hujson.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return
	}

	for _, m := range object.Members {
		field := join(prefix, memberName(m))
		d.offsets[field] = m.Name.StartOffset
		d.index(field, m.Value)
	}
}

// checkFields adds a fault for every field that the target has no place for, or that stands twice.
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
			d.addAt(m.Name.StartOffset, field, "stands twice")
		}
		seen[name] = true

		fieldType, known := fieldOf(t, name)
		if !known {
			d.addAt(m.Name.StartOffset, field, "unknown field")
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

func (d *document) require(field string, holds bool, problem string) {
	if holds {
		return
	}
	d.addAt(d.offsetOf(field), field, problem)
}

// addDecode adds a fault for a value of the wrong kind.
func (d *document) addDecode(err error) {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		d.addAt(int(wrong.Offset), wrong.Field, "is a "+wrong.Value+", want "+wrong.Type.String())
		return
	}
	d.addDecodeField(err)
}

// addDecodeField finds the field that fails alone, since errors of a value's
// own decoder do not tell where it stands.
func (d *document) addDecodeField(err error) {
	for field, offset := range d.offsets {
		text := d.valueText(field)
		if text != "" && strings.Contains(err.Error(), text) {
			d.addAt(offset, field, err.Error())
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

func (d *document) addAt(offset int, field, problem string) {
	line := 1 + bytes.Count(d.data[:min(offset, len(d.data))], []byte("\n"))
	d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: %s", d.path, line, field, problem))
}

// offsetOf returns where a field stands, or else the nearest object around it.
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

func fieldOf(t reflect.Type, name string) (reflect.Type, bool) {
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
