// Package strictjson decodes JSON with comments into Go structs and reports
// every unknown field, duplicate field and wrong type at once, each with its
// line, column and path.
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

// The kinds of problems that decoding itself finds. Callers add their own.
const (
	CodeSyntax       Code = "syntax"
	CodeUnknownField Code = "unknown_field"
	CodeDuplicate    Code = "duplicate_field"
	CodeWrongType    Code = "wrong_type"
)

// Position is a place in a file; lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Problem is one fault of a file.
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

// Error holds all problems of a file.
type Error struct {
	Problems []Problem
}

// Error returns one problem a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Document is a decoded file that still knows where each path stands.
type Document struct {
	name      string
	data      []byte
	positions map[string]Position
}

// Decode reads data into the struct that into points to. The error is an
// *Error with every problem found. If the syntax is right, the document is
// returned and into holds what could be decoded even with an error, so that
// callers can add the problems of their own check.
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

// Lookup returns where the value at path stands, and false if it is absent.
func (d *Document) Lookup(path string) (Position, bool) {
	p, ok := d.positions[path]
	return p, ok
}

// Position returns where the value at path stands; for an absent path, where
// its nearest enclosing value stands.
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

// Problem returns a problem at path.
func (d *Document) Problem(path string, code Code, message, remedy string) Problem {
	return Problem{Position: d.Position(path), Path: path, Code: code, Message: message, Remedy: remedy}
}

func (d *Document) offset(n int) Position {
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

// syntaxProblem turns hujson's "line L, column C: message" into a Problem.
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
