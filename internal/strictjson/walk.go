package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// walker checks a parsed value against a Go type.
type walker struct {
	document *Document
	problems []Problem
}

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// value checks v against t and records its position.
func (w *walker) value(v *hujson.Value, t reflect.Type, path string) {
	w.document.positions[path] = w.document.positionAt(v.StartOffset)
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		return
	}
	switch x := v.Value.(type) {
	case *hujson.Object:
		w.object(x, t, path)
	case *hujson.Array:
		w.array(x, t, path)
	case hujson.Literal:
		w.literal(x, t, path)
	}
}

func (w *walker) object(o *hujson.Object, t reflect.Type, path string) {
	switch t.Kind() {
	case reflect.Struct:
		w.members(o, path, structMembers(t))
	case reflect.Map:
		w.members(o, path, mapMembers(t.Elem()))
	default:
		w.wrongType(path, "an object", t)
	}
}

// memberTypes maps the names of an object's members to the types of their values.
type memberTypes struct {
	lookup func(name string) (reflect.Type, bool)
	names  []string
}

func (w *walker) members(o *hujson.Object, path string, types memberTypes) {
	seen := map[string]bool{}
	for i := range o.Members {
		m := &o.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := join(path, name)
		if seen[name] {
			w.add(memberPath, m.Name.StartOffset, CodeDuplicate, "field appears twice", "keep one of them")
			continue
		}
		seen[name] = true
		t, ok := types.lookup(name)
		if !ok {
			w.add(memberPath, m.Name.StartOffset, CodeUnknownField, "unknown field", "known here: "+strings.Join(types.names, ", "))
			continue
		}
		w.value(&m.Value, t, memberPath)
	}
}

func (w *walker) array(a *hujson.Array, t reflect.Type, path string) {
	if t.Kind() != reflect.Slice && t.Kind() != reflect.Array {
		w.wrongType(path, "an array", t)
		return
	}
	for i := range a.Elements {
		w.value(&a.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *walker) literal(l hujson.Literal, t reflect.Type, path string) {
	switch l.Kind() {
	case 'n':
		w.wrongType(path, "null", t)
	case 't', 'f':
		w.expect(t.Kind() == reflect.Bool, path, "a boolean", t)
	case '"':
		w.expect(t.Kind() == reflect.String, path, "a string", t)
	default:
		w.number(l, t, path)
	}
}

func (w *walker) number(l hujson.Literal, t reflect.Type, path string) {
	target := reflect.New(t)
	switch {
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Float64:
		err := json.Unmarshal([]byte(l), target.Interface())
		w.expect(err == nil, path, "the number "+string(l), t)
	default:
		w.wrongType(path, "a number", t)
	}
}

func (w *walker) expect(ok bool, path, found string, t reflect.Type) {
	if !ok {
		w.wrongType(path, found, t)
	}
}

func (w *walker) wrongType(path, found string, t reflect.Type) {
	p := w.document.Problem(path, CodeWrongType, "found "+found, "want "+describe(t))
	w.problems = append(w.problems, p)
}

func (w *walker) add(path string, offset int, code Code, message, remedy string) {
	p := Problem{Position: w.document.positionAt(offset), Path: path, Code: code, Message: message, Remedy: remedy}
	w.problems = append(w.problems, p)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func structMembers(t reflect.Type) memberTypes {
	types := map[string]reflect.Type{}
	collectFields(t, types)
	var names []string
	for name := range types {
		names = append(names, name)
	}
	slices.Sort(names)
	lookup := func(name string) (reflect.Type, bool) {
		found, ok := types[name]
		return found, ok
	}
	return memberTypes{lookup: lookup, names: names}
}

// collectFields adds the JSON names and types of t's fields, including those of embedded
// structs.
func collectFields(t reflect.Type, into map[string]reflect.Type) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Anonymous && name == "":
			collectFields(f.Type, into)
		case !f.IsExported() || name == "-":
		case name == "":
			into[f.Name] = f.Type
		default:
			into[name] = f.Type
		}
	}
}

func mapMembers(t reflect.Type) memberTypes {
	return memberTypes{lookup: func(string) (reflect.Type, bool) { return t, true }}
}

// describe returns the JSON type that corresponds to a Go type.
func describe(t reflect.Type) string {
	switch k := t.Kind(); {
	case k == reflect.Bool:
		return "true or false"
	case k == reflect.String:
		return "a string"
	case k >= reflect.Int && k <= reflect.Int64:
		return "a whole number"
	case k >= reflect.Uint && k <= reflect.Uint64:
		return "a whole number that is not negative"
	case k == reflect.Float32 || k == reflect.Float64:
		return "a number"
	case k == reflect.Slice || k == reflect.Array:
		return "an array"
	default:
		return "an object"
	}
}
