package config

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cuminloft/internal/strictjson"
)

const valid = `{
	// The cell.
	"cell": "c",
	"azs": [{"name": "a", "in_service": true}, {"name": "b", "in_service": true}],
	"workers": [
		{"id": "w1", "addr": "127.0.0.1:1", "az": "a", "rack": "r1", "connections": 64,
		 "capacity": {"milli_cores": 1000, "memory_mb": 1024, "slots": 2}},
	],
	"organisations": [{"name": "o", "share": 1, "teams": [
		{"name": "t", "share": 1, "limit": {"slots": 4}, "keys": [{"id": "k", "sha256": "HASH"}]},
	]}],
	"queues": [{"name": "q", "policy": "batch", "teams": ["t"], "max_task": {}}],
}`

func validFile() string { return strings.ReplaceAll(valid, "HASH", HashKey("secret")) }

func problemsOf(t *testing.T, err error) []strictjson.Problem {
	t.Helper()
	var found *strictjson.Error
	if !errors.As(err, &found) {
		t.Fatalf("no problems in %v", err)
	}
	return found.Problems
}

func TestParseAllowsCommentsAndTrailingCommas(t *testing.T) {
	is := is.New(t)
	c, err := Parse("a.hujson", []byte(validFile()))
	is.NoErr(err)
	is.Equal(c.Cell, "c")
	team, ok := c.KeyTeam(HashKey("secret"))
	is.True(ok)
	is.Equal(team.Name, "t")
	_, ok = c.KeyTeam(HashKey("other"))
	is.True(!ok)
	_, ok = c.KeyTeam(strings.Repeat("0", 64))
	is.True(!ok) // the zero hash does not match the zero value of an absent entry
}

// Each case replaces a piece of the valid file and expects one problem.
func TestCheckFindsEachProblem(t *testing.T) {
	cases := []struct {
		old, new string
		code     strictjson.Code
		path     string
	}{
		{`"cell"`, `"sell": 1, "cell"`, strictjson.CodeUnknownField, "sell"},
		{`"cell": "c"`, `"cell": "C!"`, CodeInvalidName, "cell"},
		{`"share": 1, "teams"`, `"share": "one", "teams"`, strictjson.CodeWrongType, "organisations[0].share"},
		{`"share": 1, "teams"`, `"share": 0, "teams"`, CodeOutOfRange, "organisations[0].share"},
		{`{"name": "b",`, `{"name": "a",`, CodeDuplicateName, "azs[1].name"},
		{`"az": "a"`, `"az": "z"`, CodeUnknownReference, "workers[0].az"},
		{`"addr": "127.0.0.1:1"`, `"addr": ""`, CodeMissing, "workers[0].addr"},
		{`"addr": "127.0.0.1:1"`, `"addr": "here"`, CodeInvalidAddress, "workers[0].addr"},
		{`"milli_cores": 1000`, `"milli_cores": 0`, CodeOutOfRange, "workers[0].capacity.milli_cores"},
		{`"memory_mb": 1024`, `"memory_mb": -1`, CodeOutOfRange, "workers[0].capacity.memory_mb"},
		{`"limit": {"slots": 4}`, `"limit": {"slots": -4}`, CodeOutOfRange, "organisations[0].teams[0].limit.slots"},
		{HashKey("secret"), "abc", CodeInvalidHash, "organisations[0].teams[0].keys[0].sha256"},
		{`"teams": ["t"]`, `"teams": ["u"]`, CodeUnknownReference, "queues[0].teams[0]"},
		{`"teams": ["t"]`, `"open": true`, CodeMissing, "queues[0].open_team"},
		{`"teams": ["t"]`, `"open": true, "open_team": "u"`, CodeUnknownReference, "queues[0].open_team"},
		{`"teams": ["t"]`, `"open_team": "t"`, CodeContradiction, "queues[0].open_team"},
		{`"policy": "batch"`, `"policy": "bach"`, CodeInvalidPolicy, "queues[0].policy"},
		{`"cell": "c"`, `"cell": "c", "policy": {"lease_seconds": 1}`, CodeOutOfRange, "policy.lease_seconds"},
		{`"cell": "c"`, `"cell": "c", "policy": {"lease_seconds": 5, "start_window_millis": 30000}`, CodeContradiction, "policy.lease_seconds"},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %s", c.code, c.path), func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validFile(), c.old, c.new, 1)
			_, err := Parse("a.hujson", []byte(text))
			found := problemsOf(t, err)
			is.Equal(found[0].Code, c.code)
			is.Equal(found[0].Path, c.path)
			is.True(found[0].Remedy != "")
			line := strings.Split(text, "\n")[found[0].Position.Line-1]
			field := c.path[strings.LastIndexAny(c.path, ".")+1:]
			is.True(strings.Contains(line, strings.Split(field, "[")[0]) || strings.Contains(line, "workers") || found[0].Code == CodeMissing)
		})
	}
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		`"cell": "c"`, `"cell": 3, "sell": 1`,
		`"az": "a"`, `"az": "z"`,
		`"slots": 4`, `"slots": -4`,
	).Replace(validFile())
	_, err := Parse("a.hujson", []byte(text))
	found := problemsOf(t, err)
	is.Equal(len(found), 4)
	is.Equal(found[0].Position.String(), "a.hujson:3:10")
}

func TestParseSetConcatenatesListsAndRefusesDuplicateScalars(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	more := `{"azs": [{"name": "c", "in_service": false}],
	"workers": [{"id": "w1", "addr": "127.0.0.1:2", "az": "c", "rack": "r", "connections": 1,
		"capacity": {"milli_cores": 1, "memory_mb": 1, "slots": 1}}]}`
	is.NoErr(os.WriteFile(filepath.Join(dir, "a.hujson"), []byte(validFile()), 0o600))
	second := filepath.Join(dir, "b.hujson")
	is.NoErr(os.WriteFile(second, []byte(more), 0o600))
	_, err := ParseFiles(dir)
	found := problemsOf(t, err)
	is.Equal(len(found), 1)
	is.Equal(found[0].Code, CodeDuplicateName)
	is.Equal(found[0].Position, strictjson.Position{File: second, Line: 2, Column: 21})
	is.Equal(found[0].Path, "workers[0].id")

	is.NoErr(os.WriteFile(second, []byte(`{"cell": "d"}`), 0o600))
	_, err = ParseFiles(dir)
	is.Equal(problemsOf(t, err)[0].Code, CodeDuplicateSection)

	is.NoErr(os.WriteFile(second, []byte(strings.Replace(more, "w1", "w2", 1)), 0o600))
	c, err := ParseFiles(dir)
	is.NoErr(err)
	is.Equal(len(c.Workers), 2)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile()))
	f.Add([]byte(`{"azs": [{"name": "a", "shards": -1}], "queues": [{"teams": [""]}]}`))
	f.Add([]byte(`{"workers": [{}, {"addr": ":"}], "organisations": [{"teams": [{"keys": [{}]}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse("f.hujson", data)
		if err != nil {
			problemsOf(t, err)
			return
		}
		body, digest, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(body, digest)
		if err != nil || !back.Equal(c) || Check(back) != nil {
			t.Fatalf("stored form differs: %v", err)
		}
	})
}
