// Package strictjson decodes JSON with comments into Go structs. It reports every unknown
// field, duplicate field and wrong type of a file, each with its line, column and path.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Code is a stable machine-readable kind of problem.
type Code string

// Codes of the problems that Decode reports. Callers define further codes.
const (
	CodeSyntax       Code = "syntax"
	CodeUnknownField Code = "unknown_field"
	CodeDuplicate    Code = "duplicate_field"
	CodeWrongType    Code = "wrong_type"
)

// Position is a position in a file. Lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one problem of a file.
type Problem struct {
	Position Position
	Path     string // for example teams[2].share
	Code     Code
	Message  string
	Remedy   string
}

// String returns the problem on one line.
func (p Problem) String() string {
	s := p.Position.String() + ": "
	if p.Path != "" {
		s += p.Path + ": "
	}
	s += p.Message
	if p.Remedy != "" {
		s += " (" + p.Remedy + ")"
	}
	return s
}

// Error holds all problems that were found.
type Error struct {
	Problems []Problem
}

// Error returns one problem per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file with the position of each path.
type Document struct {
	name      string
	data      []byte
	positions map[string]Position
}

// Decode decodes data into the struct that into points to. The error is an *Error with
// every problem found. If the syntax is valid, Decode returns the document even with an
// error, and into holds the values that could be decoded, so that callers can add the
// problems of their own checks.
func Decode(name string, data []byte, into any) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Error{Problems: []Problem{syntaxProblem(name, err)}}
	}
	d := &Document{name: name, data: data, positions: map[string]Position{}}
	w := &walker{document: d}
	w.value(&root, reflect.TypeOf(into).Elem(), "")
	standard := root.Clone()
	standard.Standardize()
	err = json.Unmarshal(standard.Pack(), into)
	switch {
	case len(w.problems) > 0:
		return d, &Error{Problems: w.problems}
	case err != nil:
		return d, &Error{Problems: []Problem{d.unmarshalProblem(err)}}
	}
	return d, nil
}

// Lookup returns the position of the value at path, and false if there is no such value.
func (d *Document) Lookup(path string) (Position, bool) {
	p, ok := d.positions[path]
	return p, ok
}

// Position returns the position of the value at path, or of the nearest enclosing value if
// there is no value at path.
func (d *Document) Position(path string) Position {
	for {
		if p, ok := d.positions[path]; ok {
			return p
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return Position{File: d.name, Line: 1, Column: 1}
		}
		path = path[:cut]
	}
}

// Problem returns a Problem at path.
func (d *Document) Problem(path string, code Code, message, remedy string) Problem {
	return Problem{Position: d.Position(path), Path: path, Code: code, Message: message, Remedy: remedy}
}

func (d *Document) positionAt(n int) Position {
	before := d.data[:min(max(n, 0), len(d.data))]
	line := 1 + strings.Count(string(before), "\n")
	column := len(before) - strings.LastIndexByte(string(before), '\n')
	return Position{File: d.name, Line: line, Column: column}
}

func (d *Document) unmarshalProblem(err error) Problem {
	path := ""
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		path = typeErr.Field
	}
	return d.Problem(path, CodeWrongType, err.Error(), "")
}

// syntaxProblem converts an error of hujson, "line L, column C: message", to a Problem.
func syntaxProblem(name string, err error) Problem {
	p := Problem{Position: Position{File: name, Line: 1, Column: 1}, Code: CodeSyntax, Message: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	var line, column int
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &line, &column); n == 2 {
		p.Position.Line = line
		p.Position.Column = column
		_, p.Message, _ = strings.Cut(text, ": ")
	}
	return p
}
