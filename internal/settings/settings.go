// Package settings decodes the settings of a deployment, which come as a line of path=value pairs from a simulator and
// as nested JSON at a node. It maps their names to the fields of the decisions (names.go). A setting that the decisions
// need and that is missing is an error, as is a value that makes no sense; names that are not known are ignored.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"fawnglade/policy"
)

// Settings holds what the decisions read, and what a node needs besides.
type Settings struct {
	// Policy is what the decisions read.
	Policy policy.Settings
	// Classes, Tenants and Zones are the names of what Policy refers to by number.
	Classes, Tenants, Zones []string
	// Deadlines is, by class, the time after its arrival at which the client of a request that states no deadline gives
	// up.
	Deadlines []time.Duration
	// ConnectTimeout bounds the opening of a connection to an endpoint; 0: not stated.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an endpoint closes an idle connection; 0: not stated.
	IdleTimeout time.Duration
	// DrainGrace is the time within which sends to a draining endpoint have to stop; 0: not stated.
	DrainGrace time.Duration
}

// FromLine decodes path=value pairs that are separated by spaces. Its error names the first setting that is wrong.
func FromLine(text string) (Settings, error) {
	values := map[string]string{}
	for _, pair := range strings.Fields(text) {
		key, value, ok := strings.Cut(pair, "=")
		if !ok {
			return Settings{}, fmt.Errorf("expected path=value, got %s", pair)
		}
		values[key] = value
	}
	return decode(values)
}

// FromJSON decodes the nested form of the same settings. Its error names the first setting that is wrong.
func FromJSON(text []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree map[string]any
	if err := decoder.Decode(&tree); err != nil {
		return Settings{}, fmt.Errorf("expected an object: %w", err)
	}
	values := map[string]string{}
	flatten(values, "", tree)
	return decode(values)
}

// flatten adds the leaves of a JSON value by their paths, as they are in the form of one line.
func flatten(into map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(into, strings.TrimPrefix(path+"."+name, "."), inner)
		}
	case []any:
		flattenArray(into, path, v)
	case nil:
	default:
		into[path] = fmt.Sprint(v)
	}
}

// flattenArray adds an array of objects by number, with its count, and any other as one value with commas.
func flattenArray(into map[string]string, path string, array []any) {
	var simple []string
	for i, inner := range array {
		if _, nested := inner.(map[string]any); nested {
			flatten(into, fmt.Sprintf("%s.%d", path, i), inner)
		} else {
			simple = append(simple, fmt.Sprint(inner))
		}
	}
	if len(simple) == 0 {
		into[path+".count"] = strconv.Itoa(len(array))
	}
	into[path] = strings.Join(simple, ",")
}
