// Package settings decodes the settings of a deployment, which a simulator sends as a line of path=value pairs and a
// node reads as nested JSON. It maps their names to the fields of policy.Settings (names.go). A missing required
// setting and an invalid value are errors; unknown names are ignored.
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

// Settings holds the settings of the balancer, and those that a node needs in addition.
type Settings struct {
	// Policy holds the settings of the balancer.
	Policy policy.Settings
	// Classes, Tenants and Zones are the names of the classes, tenants and zones that Policy refers to by number.
	Classes, Tenants, Zones []string
	// Deadlines holds, by class, the deadline of a request that states none, relative to its arrival.
	Deadlines []time.Duration
	// ConnectTimeout bounds the time to open a connection to an endpoint; 0: not set.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which an endpoint closes an idle connection; 0: not set.
	IdleTimeout time.Duration
	// DrainGrace is the time within which attempts to a draining endpoint must stop; 0: not set.
	DrainGrace time.Duration
}

// FromLine decodes path=value pairs separated by spaces. The error names the first invalid setting.
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

// FromJSON decodes the same settings from nested JSON. The error names the first invalid setting.
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

// flatten adds the leaves of a JSON value under their paths, as FromLine reads them.
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

// flattenArray adds an array of objects as numbered paths and a count, and any other array as one comma-separated
// value.
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
