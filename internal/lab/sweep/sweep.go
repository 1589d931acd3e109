// Package sweep owns grids over a scenario's figures: which cells there are, which are still to be played, and the table that
// they leave. It must never play a cell twice, nor lose one that was played.
package sweep

import (
	"encoding/csv"
	"errors"
	"fawnglade/internal/lab/scenario"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"
)

// Axis is one key with its values.
type Axis struct {
	Key    string
	Values []string
}

// ParseAxis reads KEY=a,b,c.
func ParseAxis(text string) (Axis, error) {
	key, values, ok := strings.Cut(text, "=")
	if !ok || key == "" || values == "" {
		return Axis{}, fmt.Errorf("%q: expected KEY=a,b,c with a key of the scenario file, such as load.rate=800,1600", text)
	}
	return Axis{key, strings.Split(values, ",")}, nil
}

// Cell is one day to be played.
type Cell struct {
	Values []string // one for each axis
	By     string
	Seed   uint64
}

func (c Cell) name() string {
	return strings.Join(append(slices.Clone(c.Values), c.By, strconv.FormatUint(c.Seed, 10)), ",")
}

// Grid is every cell, the repeats innermost.
func Grid(axes []Axis, by []string, first uint64, repeats int) []Cell {
	cells := []Cell{{}}
	for _, a := range axes {
		var wider []Cell
		for _, c := range cells {
			for _, v := range a.Values {
				wider = append(wider, Cell{Values: append(slices.Clone(c.Values), v)})
			}
		}
		cells = wider
	}
	var out []Cell
	for _, c := range cells {
		for _, who := range by {
			for n := range repeats {
				out = append(out, Cell{c.Values, who, first + uint64(n)})
			}
		}
	}
	return out
}

// With is a scenario's text with one key set. A part of the key that is a number names one of several tables, from 0.
func With(text []byte, key, value string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	var into any = tree
	parts := strings.Split(key, ".")
	for i, part := range parts {
		last := i == len(parts)-1
		switch at := into.(type) {
		case map[string]any:
			if last {
				at[part] = valueOf(value)
			} else if at[part] == nil {
				at[part] = map[string]any{}
			}
			into = at[part]
		case []any:
			n, err := strconv.Atoi(part)
			if err != nil || n < 0 || n >= len(at) {
				return nil, fmt.Errorf("%s: expected a number from 0 to %d, got %s", key, len(at)-1, part)
			}
			if last {
				at[n] = valueOf(value)
			}
			into = at[n]
		default:
			return nil, fmt.Errorf("%s: %s is no table", key, strings.Join(parts[:i], "."))
		}
	}
	return toml.Marshal(tree)
}

func valueOf(text string) any {
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

// Scenario is a cell's.
func Scenario(path string, text []byte, axes []Axis, c Cell) (*scenario.Scenario, error) {
	for i, a := range axes {
		var err error
		if text, err = With(text, a.Key, c.Values[i]); err != nil {
			return nil, err
		}
	}
	s, err := scenario.Parse(path, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.name(), err)
	}
	return s, nil
}

// Figures of a cell, in the order of Columns.
type Figures []float64

// Columns are the figures that a cell leaves.
var Columns = []string{"in_time", "declined", "p50_ms", "p99_ms", "worst_10s", "worst_category", "connections_a_task", "rules_broken"}

// Row is a cell that was played.
type Row struct {
	Cell
	Figures
}

// Table is the CSV of a sweep, one row for each cell, written as they come.
type Table struct {
	mu   sync.Mutex
	axes []Axis
	file *os.File
	Rows []Row
	done map[string]bool
}

// Open reads what an earlier run left, and goes on behind it. A last line that was cut off is written again.
func Open(dir string, axes []Axis) (*Table, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	t := &Table{axes: axes, done: map[string]bool{}}
	path := filepath.Join(dir, "sweep.csv")
	header := t.header()
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	whole := text[:strings.LastIndexByte(string(text), '\n')+1]
	in := csv.NewReader(strings.NewReader(string(whole)))
	for n := 0; ; n++ {
		line, err := in.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if n == 0 {
			if !slices.Equal(line, header) {
				return nil, fmt.Errorf("%s: holds another sweep, of %s: expected %s, or another directory", path, strings.Join(line, ","), strings.Join(header, ","))
			}
			continue
		}
		if err := t.take(line); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", path, n+1, err)
		}
	}
	if t.file, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644); err != nil {
		return nil, err
	}
	if err := errors.Join(t.file.Truncate(int64(len(whole))), seekEnd(t.file)); err != nil {
		return nil, err
	}
	if len(whole) == 0 {
		return t, t.write(header)
	}
	return t, nil
}

func seekEnd(f *os.File) error { _, err := f.Seek(0, io.SeekEnd); return err }

func (t *Table) header() []string {
	var line []string
	for _, a := range t.axes {
		line = append(line, a.Key)
	}
	return append(append(line, "by", "seed"), Columns...)
}

func (t *Table) take(line []string) error {
	n := len(t.axes)
	seed, err := strconv.ParseUint(line[n+1], 10, 64)
	if err != nil {
		return err
	}
	r := Row{Cell: Cell{slices.Clone(line[:n]), line[n], seed}}
	for _, text := range line[n+2:] {
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return err
		}
		r.Figures = append(r.Figures, v)
	}
	t.Rows, t.done[r.name()] = append(t.Rows, r), true
	return nil
}

func (t *Table) write(line []string) error {
	w := csv.NewWriter(t.file)
	if err := w.Write(line); err != nil {
		return err
	}
	w.Flush()
	return w.Error()
}

// Left are the cells that are not in the table yet.
func (t *Table) Left(cells []Cell) []Cell {
	return slices.DeleteFunc(slices.Clone(cells), func(c Cell) bool { return t.done[c.name()] })
}

// Add writes one cell's figures. It may be called by many at once.
func (t *Table) Add(c Cell, f Figures) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	line := append(slices.Clone(c.Values), c.By, strconv.FormatUint(c.Seed, 10))
	for _, v := range f {
		line = append(line, strconv.FormatFloat(v, 'g', 8, 64))
	}
	if err := t.write(line); err != nil {
		return err
	}
	return t.take(line)
}

// Close ends the writing.
func (t *Table) Close() error { return t.file.Close() }
