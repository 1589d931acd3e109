// Package sweep evaluates a scenario over a grid of parameter values. It enumerates the cells of the grid, sets their
// values in the scenario's text, stores the figures of finished cells in a CSV table from which an interrupted sweep
// resumes, and reports their means as text and as plots. The caller runs the scenarios.
package sweep

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fawnglade/internal/lab/scenario"

	"github.com/pelletier/go-toml/v2"
)

// Axis is one key of the scenario file and the values to set it to.
type Axis struct {
	Key    string // such as load.rate or fault.0.share
	Values []string
}

// ParseAxis parses an axis of the form KEY=a,b,c.
func ParseAxis(text string) (Axis, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return Axis{}, fmt.Errorf("%q: expected KEY=a,b,c with a key of the scenario file, such as load.rate=800,1600", text)
	}
	return Axis{key, strings.Split(values, ",")}, nil
}

// Cell is one run of the grid.
type Cell struct {
	Values  []string // one for each axis
	Decider string   // name of the decider
	Seed    uint64
}

// name identifies the cell within its sweep.
func (c Cell) name() string { return strings.Join(c.fields(), ",") }

// fields returns the leading fields of the cell's row in the table: its values, decider and seed.
func (c Cell) fields() []string {
	return append(slices.Clone(c.Values), c.Decider, strconv.FormatUint(c.Seed, 10))
}

// Grid returns all cells: combinations of the axes' values in the outer loop, then deciders, then as many seeds as
// there are repeats, counting up from firstSeed.
func Grid(axes []Axis, deciders []string, firstSeed uint64, repeats int) []Cell {
	combinations := [][]string{nil}
	for _, a := range axes {
		var longer [][]string
		for _, values := range combinations {
			for _, v := range a.Values {
				longer = append(longer, append(slices.Clone(values), v))
			}
		}
		combinations = longer
	}
	var cells []Cell
	for _, values := range combinations {
		for _, decider := range deciders {
			for n := range repeats {
				cells = append(cells, Cell{values, decider, firstSeed + uint64(n)})
			}
		}
	}
	return cells
}

// Scenario returns the scenario of a cell: the text with the cell's values set. The path is used in error messages.
func Scenario(path string, text []byte, axes []Axis, c Cell) (*scenario.Scenario, error) {
	for i, a := range axes {
		var err error
		text, err = setKey(text, a.Key, c.Values[i])
		if err != nil {
			return nil, err
		}
	}
	s, err := scenario.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.name(), err)
	}
	return s, nil
}

// setKey returns a TOML text with one dotted key set. Missing tables along the path are created; a number in the path
// is an index into an array of tables.
func setKey(text []byte, key, value string) ([]byte, error) {
	var root map[string]any
	if err := toml.Unmarshal(text, &root); err != nil {
		return nil, err
	}
	var node any = root
	parts := strings.Split(key, ".")
	for i, part := range parts {
		last := i == len(parts)-1
		switch table := node.(type) {
		case map[string]any:
			if last {
				table[part] = parseValue(value)
			} else if table[part] == nil {
				table[part] = map[string]any{}
			}
			node = table[part]
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index < 0 || index >= len(table) {
				return nil, fmt.Errorf("%s: expected an array index, a number from 0 to %d, got %s", key, len(table)-1, part)
			}
			if last {
				table[index] = parseValue(value)
			}
			node = table[index]
		default:
			return nil, fmt.Errorf("%s: %s is not a table", key, strings.Join(parts[:i], "."))
		}
	}
	return toml.Marshal(root)
}

// parseValue returns a text as a TOML value: a number or a boolean if it parses as one, else a string.
func parseValue(text string) any {
	if v, err := strconv.ParseInt(text, 10, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseFloat(text, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseBool(text); err == nil {
		return v
	}
	return text
}
