package strictjson

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

type sample struct {
	Name  string         `json:"name"`
	Count int            `json:"count"`
	Items []item         `json:"items"`
	Tags  map[string]int `json:"tags"`
}

type item struct {
	On bool `json:"on"`
}

func TestDecodeReportsEveryProblem(t *testing.T) {
	cases := []struct {
		name, input string
		want        []string
	}{
		{"whole", `{"name": "a", /* note */ "count": 2, "items": [{"on": true},], "tags": {"x": 1}}`, nil},
		{"unknown field", "{\n  \"label\": \"a\"\n}", []string{"f:2:3: label: unknown field (known here: count, items, name, tags)"}},
		{"wrong types", `{"name": 1, "count": "two", "items": [{"on": "yes"}]}`, []string{
			"f:1:10: name: found a number (want a string)",
			"f:1:22: count: found a string (want a whole number)",
			"f:1:46: items[0].on: found a string (want true or false)",
		}},
		{"fraction", `{"count": 1.5}`, []string{"f:1:11: count: found the number 1.5 (want a whole number)"}},
		{"null", `{"name": null}`, []string{"f:1:10: name: found null (want a string)"}},
		{"duplicate", `{"count": 1, "count": 2}`, []string{"f:1:14: count: field appears twice (keep one of them)"}},
		{"array for object", `[]`, []string{"f:1:1: found an array (want an object)"}},
		{"map value", `{"tags": {"x": true}}`, []string{"f:1:16: tags.x: found a boolean (want a whole number)"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s sample
			_, err := Decode("f", []byte(c.input), &s)
			if c.want == nil {
				is.NoErr(err)
				return
			}
			var all *Error
			is.True(errors.As(err, &all))
			is.Equal(strings.Split(all.Error(), "\n"), c.want)
		})
	}
}

func TestSyntaxErrorsNameTheirLine(t *testing.T) {
	is := is.New(t)
	var s sample
	_, err := Decode("f", []byte("{\n\n\"name\" 1}"), &s)
	var all *Error
	is.True(errors.As(err, &all))
	is.Equal(all.Problems[0].Code, CodeSyntax)
	is.Equal(all.Problems[0].Position.Line, 3)
}

func TestPositionOfAbsentPathIsItsParent(t *testing.T) {
	is := is.New(t)
	var s sample
	d, err := Decode("f", []byte("{\"items\": [\n{}]}"), &s)
	is.NoErr(err)
	is.Equal(d.Position("items[0].on"), Position{File: "f", Line: 2, Column: 1})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "a", "items": [{"on": true}]}`))
	f.Add([]byte(`{"tags": {"": 1e999}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s sample
		_, _ = Decode("f", data, &s)
	})
}
