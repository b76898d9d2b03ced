package config

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"cuminloft/internal/strictjson"
)

// FileSuffix is the suffix of the files that ParseFiles reads in a directory.
const FileSuffix = ".hujson"

// File is one named file of a configuration.
type File struct {
	Name string
	Data []byte
}

// Parse reads and checks a configuration of one file. The error is a
// *strictjson.Error with every problem found.
func Parse(name string, data []byte) (*Config, error) {
	return ParseSet([]File{{Name: name, Data: data}})
}

// ParseFiles reads and checks the file at path or, if path is a directory, all
// files in it that end in FileSuffix, merged in name order; see ParseSet.
func ParseFiles(path string) (*Config, error) {
	files, err := ReadFiles(path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return ParseSet(files)
}

// ReadFiles reads the files that ParseFiles merges.
func ReadFiles(path string) ([]File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	paths := []string{path}
	if info.IsDir() {
		paths, err = filepath.Glob(filepath.Join(path, "*"+FileSuffix))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(paths) == 0 {
			return nil, trace.NotFound("no file in %s ends in %s", path, FileSuffix)
		}
	}
	var files []File
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		files = append(files, File{Name: p, Data: data})
	}
	return files, nil
}

// ParseSet merges files to one configuration and checks it whole. The list
// sections (azs, workers, organisations, queues) are concatenated in name
// order; cell and policy may stand in one file only. The error is a
// *strictjson.Error with every problem found.
func ParseSet(files []File) (*Config, error) {
	if len(files) == 0 {
		return nil, trace.NotFound("no configuration file")
	}
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return compareNames(a.Name, b.Name) })
	s := &source{merged: new(Config)}
	for _, f := range files {
		s.add(f)
	}
	if !s.unreadable {
		ch := &checker{locate: s.locate}
		ch.config(s.merged)
		s.addChecked(ch.problems)
	}
	if len(s.problems) > 0 {
		return nil, &strictjson.Error{Problems: s.problems}
	}
	return s.merged.withIndex(), nil
}

// source is a configuration under construction that still knows which file
// each part came from.
type source struct {
	merged     *Config
	parts      []part
	problems   []strictjson.Problem
	unreadable bool // some file has no valid syntax
}

// part is one file's contribution.
type part struct {
	document *strictjson.Document
	config   *Config
	first    sizes // index of the part's first element in each list section
}

// sizes counts the elements of the list sections.
type sizes struct{ azs, workers, organisations, queues int }

func sizesOf(c *Config) sizes {
	return sizes{len(c.AZs), len(c.Workers), len(c.Organisations), len(c.Queues)}
}

// section returns the count of the named list section.
func (s sizes) section(name string) (int, bool) {
	switch name {
	case "azs":
		return s.azs, true
	case "workers":
		return s.workers, true
	case "organisations":
		return s.organisations, true
	case "queues":
		return s.queues, true
	}
	return 0, false
}

func (s *source) add(f File) {
	if len(f.Data) > MaxFileBytes {
		s.unreadable = true
		s.problems = append(s.problems, tooLargeFile(f))
		return
	}
	c := new(Config)
	d, err := strictjson.Decode(f.Name, f.Data, c)
	var found *strictjson.Error
	if errors.As(err, &found) {
		s.problems = append(s.problems, found.Problems...)
	}
	if d == nil {
		s.unreadable = true
		return
	}
	p := part{document: d, config: c, first: sizesOf(s.merged)}
	s.mergeScalars(p)
	s.parts = append(s.parts, p)
	s.merged.AZs = append(s.merged.AZs, c.AZs...)
	s.merged.Workers = append(s.merged.Workers, c.Workers...)
	s.merged.Organisations = append(s.merged.Organisations, c.Organisations...)
	s.merged.Queues = append(s.merged.Queues, c.Queues...)
}

// mergeScalars takes over the sections that may stand in one file only.
func (s *source) mergeScalars(p part) {
	const remedy = "keep it in one file"
	if p.config.Cell != "" {
		if s.merged.Cell != "" {
			s.problems = append(s.problems, p.document.Problem("cell", CodeDuplicateSection, "another file sets the cell too", remedy))
		}
		s.merged.Cell = p.config.Cell
	}
	if p.config.Policy != (Knobs{}) {
		if s.merged.Policy != (Knobs{}) {
			s.problems = append(s.problems, p.document.Problem("policy", CodeDuplicateSection, "another file sets the policy too", remedy))
		}
		s.merged.Policy = p.config.Policy
	}
}

// locate returns the document of the merged path and the path within it.
func (s *source) locate(path string) (*strictjson.Document, string) {
	name, rest, isElement := strings.Cut(path, "[")
	number, rest, _ := strings.Cut(rest, "]")
	if isElement {
		n := parseIndex(number)
		for _, p := range slices.Backward(s.parts) {
			if first, ok := p.first.section(name); ok && n >= first {
				return p.document, elementPath(name, n-first) + rest
			}
		}
	}
	for _, p := range s.parts {
		if _, here := p.document.Lookup(path); here {
			return p.document, path
		}
	}
	return s.parts[0].document, path
}

// addChecked adds the problems of the check but those that follow from a value
// that could not be decoded.
func (s *source) addChecked(found []strictjson.Problem) {
	decoded := s.problems
	for _, p := range found {
		follows := slices.ContainsFunc(decoded, func(q strictjson.Problem) bool {
			return p.Position.File == q.Position.File && (within(p.Path, q.Path) || within(q.Path, p.Path))
		})
		if !follows {
			s.problems = append(s.problems, p)
		}
	}
}

// within reports whether path is outer or lies in it.
func within(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
