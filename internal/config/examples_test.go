package config

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
	"github.com/tailscale/hujson"
)

func TestExamplesAreValid(t *testing.T) {
	for name, key := range map[string]string{"holunderhof": "example-key-presse", "himali": "example-key-counter-east-2"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := ParseFiles(filepath.Join("../../examples", name))
			is.NoErr(err)
			is.Equal(c.Cell, name)
			is.Equal(len(c.AZs), 3)
			is.Equal(len(c.Workers), 48)
			is.Equal(len(c.Organisations), 6)
			is.Equal(len(c.Shards()), 3)
			is.Equal(len(c.ShardWorkers(c.Shards()[0].Name)), 16)
			_, ok := c.KeyTeam(HashKey(key))
			is.True(ok)
		})
	}
}

// schemaNode is the part of a JSON Schema that the test evaluates.
type schemaNode struct {
	Ref        string                 `json:"$ref"`
	Type       string                 `json:"type"`
	Properties map[string]*schemaNode `json:"properties"`
	Items      *schemaNode            `json:"items"`
	Enum       []string               `json:"enum"`
	Additional *bool                  `json:"additionalProperties"`
	Defs       map[string]*schemaNode `json:"$defs"`
}

// violations returns where value does not conform to the schema node.
func (n *schemaNode) violations(root *schemaNode, path string, value any) []string {
	if n.Ref != "" {
		return root.Defs[filepath.Base(n.Ref)].violations(root, path, value)
	}
	var found []string
	kind := ""
	switch v := value.(type) {
	case map[string]any:
		kind = "object"
		for name, member := range v {
			p, ok := n.Properties[name]
			if !ok {
				found = append(found, path+"."+name+" is unknown")
				continue
			}
			found = append(found, p.violations(root, path+"."+name, member)...)
		}
	case []any:
		kind = "array"
		for i, e := range v {
			found = append(found, n.Items.violations(root, elementPath(path, i), e)...)
		}
	case string:
		kind = "string"
	case float64:
		kind = "integer"
	case bool:
		kind = "boolean"
	}
	if kind != n.Type {
		found = append(found, fmt.Sprintf("%s is %s, not %s", path, kind, n.Type))
	}
	return found
}

func TestSchemaDescribesTheExamples(t *testing.T) {
	is := is.New(t)
	text, err := Schema()
	is.NoErr(err)
	root := new(schemaNode)
	is.NoErr(json.Unmarshal(text, root))
	for _, name := range []string{"holunderhof", "himali"} {
		files, err := ReadFiles(filepath.Join("../../examples", name))
		is.NoErr(err)
		for _, f := range files {
			plain, err := hujson.Standardize(f.Data)
			is.NoErr(err)
			var value any
			is.NoErr(json.Unmarshal(plain, &value))
			is.Equal(len(root.violations(root, f.Name, value)), 0)
		}
	}
	is.Equal(len(root.violations(root, "x", map[string]any{"sell": "c", "cell": 1.0})), 2)
	is.Equal(root.Defs["Queue"].Properties["policy"].Enum, []string{"direct", "service", "batch", "gang"})
	is.Equal(*root.Defs["Config"].Additional, false)
}
