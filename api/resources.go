package api

import (
	"fmt"
	"strconv"
	"strings"
)

// FormatResources formats resources for a header, such as
// "milli_cores=500,memory_mb=256,slots=1". Zero components are omitted.
func FormatResources(r Resources) string {
	var parts []string
	for _, f := range resourceFields(&r) {
		if *f.value != 0 {
			parts = append(parts, f.name+"="+strconv.FormatInt(*f.value, 10))
		}
	}
	return strings.Join(parts, ",")
}

// ParseResources is the inverse of FormatResources. Unknown names, repeated names and
// negative values are errors.
func ParseResources(s string) (Resources, error) {
	var r Resources
	if strings.TrimSpace(s) == "" {
		return r, nil
	}
	seen := make(map[string]bool)
	for part := range strings.SplitSeq(s, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || seen[name] {
			return Resources{}, fmt.Errorf("resources %q: want name=value pairs, each name once", s)
		}
		seen[name] = true
		if err := setResource(&r, name, text); err != nil {
			return Resources{}, err
		}
	}
	return r, nil
}

type resourceField struct {
	name  string
	value *int64
}

func resourceFields(r *Resources) []resourceField {
	return []resourceField{
		{"milli_cores", &r.MilliCores},
		{"memory_mb", &r.MemoryMB},
		{"accelerators", &r.Accelerators},
		{"slots", &r.Slots},
	}
}

func setResource(r *Resources, name, text string) error {
	for _, f := range resourceFields(r) {
		if f.name != name {
			continue
		}
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("resource %s=%q: want a natural number", name, text)
		}
		*f.value = n
		return nil
	}
	return fmt.Errorf("unknown resource %q", name)
}
