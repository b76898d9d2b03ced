package config

import (
	"encoding/json"
	"reflect"

	"github.com/gravitational/trace"
	"github.com/invopop/jsonschema"

	"cuminloft/internal/model"
)

// Schema returns the JSON Schema of configuration files, for editors.
func Schema() ([]byte, error) {
	r := jsonschema.Reflector{Anonymous: true, Mapper: policySchema, RequiredFromJSONSchemaTags: true}
	s := r.Reflect(&Config{})
	s.Title = "cuminloft configuration"
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return append(text, '\n'), nil
}

// policySchema returns the schema of model.Policy, an enumeration, and nil for other types.
func policySchema(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[model.Policy]() {
		return nil
	}
	return &jsonschema.Schema{
		Type: "string",
		Enum: []any{model.PolicyDirect, model.PolicyService, model.PolicyBatch, model.PolicyGang},
	}
}
