package config

import (
	"testing"

	"github.com/matryer/is"
)

func TestParseRefusesUnknownField(t *testing.T) {
	is := is.New(t)
	_, err := Parse("a.hujson", []byte(`{"cell": "c", "tems": []}`))
	is.True(err != nil)
}

func TestParseAllowsCommentsAndTrailingCommas(t *testing.T) {
	is := is.New(t)
	c, err := Parse("a.hujson", []byte("{\n// the cell\n\"cell\": \"c\",\n}"))
	is.NoErr(err)
	is.Equal(c.Cell, "c")
}
