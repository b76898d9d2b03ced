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

// Parse decodes and checks a configuration of one file. The error is a
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

// ParseSet merges files into one configuration and checks the result. The list sections
// (azs, workers, organisations, queues) are concatenated in the order of the file names;
// cell and policy may appear in one file only. The error is a *strictjson.Error with
// every problem found.
func ParseSet(files []File) (*Config, error) {
	if len(files) == 0 {
		return nil, trace.NotFound("no configuration file")
	}
	files = slices.Clone(files)
	slices.SortFunc(files, func(a, b File) int { return compareNames(a.Name, b.Name) })
	m := &merger{merged: new(Config)}
	for _, f := range files {
		m.add(f)
	}
	if !m.unreadable {
		ch := &checker{locate: m.locate}
		ch.checkConfig(m.merged)
		m.addChecked(ch.problems)
	}
	if len(m.problems) > 0 {
		return nil, &strictjson.Error{Problems: m.problems}
	}
	return m.merged.withIndex(), nil
}

// merger merges configuration files and records which file each element came from, so
// that problems are reported with their position.
type merger struct {
	merged     *Config
	files      []parsedFile
	problems   []strictjson.Problem
	unreadable bool // at least one file is too large or has a syntax error
}

// parsedFile is one decoded configuration file.
type parsedFile struct {
	document *strictjson.Document
	config   *Config
	offsets  sectionLengths // index of the file's first element in each merged list section
}

// sectionLengths holds the number of elements of each list section.
type sectionLengths struct{ azs, workers, organisations, queues int }

func sectionLengthsOf(c *Config) sectionLengths {
	return sectionLengths{len(c.AZs), len(c.Workers), len(c.Organisations), len(c.Queues)}
}

// of returns the number of elements of the named list section, and false if name is not
// a list section.
func (s sectionLengths) of(name string) (int, bool) {
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

func (m *merger) add(f File) {
	if len(f.Data) > MaxFileBytes {
		m.unreadable = true
		m.problems = append(m.problems, fileTooLarge(f))
		return
	}
	c := new(Config)
	d, err := strictjson.Decode(f.Name, f.Data, c)
	var found *strictjson.Error
	if errors.As(err, &found) {
		m.problems = append(m.problems, found.Problems...)
	}
	if d == nil {
		m.unreadable = true
		return
	}
	file := parsedFile{document: d, config: c, offsets: sectionLengthsOf(m.merged)}
	m.mergeScalars(file)
	m.files = append(m.files, file)
	m.merged.AZs = append(m.merged.AZs, c.AZs...)
	m.merged.Workers = append(m.merged.Workers, c.Workers...)
	m.merged.Organisations = append(m.merged.Organisations, c.Organisations...)
	m.merged.Queues = append(m.merged.Queues, c.Queues...)
}

// mergeScalars merges the sections that may appear in one file only.
func (m *merger) mergeScalars(file parsedFile) {
	const remedy = "keep it in one file"
	if file.config.Cell != "" {
		if m.merged.Cell != "" {
			m.problems = append(m.problems, file.document.Problem("cell", CodeDuplicateSection, "another file sets the cell too", remedy))
		}
		m.merged.Cell = file.config.Cell
	}
	if file.config.Policy != (Knobs{}) {
		if m.merged.Policy != (Knobs{}) {
			m.problems = append(m.problems, file.document.Problem("policy", CodeDuplicateSection, "another file sets the policy too", remedy))
		}
		m.merged.Policy = file.config.Policy
	}
}

// locate returns the document that contains the value at path, which is a path in the
// merged configuration, and the path of the value in that document.
func (m *merger) locate(path string) (*strictjson.Document, string) {
	name, rest, isElement := strings.Cut(path, "[")
	number, rest, _ := strings.Cut(rest, "]")
	if isElement {
		n := parseIndex(number)
		for _, file := range slices.Backward(m.files) {
			if first, ok := file.offsets.of(name); ok && n >= first {
				return file.document, elementPath(name, n-first) + rest
			}
		}
	}
	for _, file := range m.files {
		if _, here := file.document.Lookup(path); here {
			return file.document, path
		}
	}
	return m.files[0].document, path
}

// addChecked adds the problems that the check found, except those that only result from
// a value that could not be decoded.
func (m *merger) addChecked(found []strictjson.Problem) {
	decoded := m.problems
	for _, p := range found {
		consequence := slices.ContainsFunc(decoded, func(q strictjson.Problem) bool {
			return p.Position.File == q.Position.File && (within(p.Path, q.Path) || within(q.Path, p.Path))
		})
		if !consequence {
			m.problems = append(m.problems, p)
		}
	}
}

// within reports whether path is outer or a path below it.
func within(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
