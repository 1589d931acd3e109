package sweep

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// tableFile is the name of the table in the directory of a sweep.
const tableFile = "sweep.csv"

// Figures are the results of a cell, in the order of Columns.
type Figures []float64

// Columns are the names of the figures.
var Columns = []string{
	"in_time", "declined", "p50_ms", "p99_ms", "worst_10s", "worst_category", "connections_a_task", "rules_broken",
}

// Row is a finished cell with its figures.
type Row struct {
	Cell
	Figures
}

// Table is the CSV file of a sweep, with a row for each finished cell.
type Table struct {
	axes []Axis

	mu       sync.Mutex // guards the fields below
	file     *os.File
	rows     []Row
	finished map[string]bool // by Cell.name
}

// Open opens the table in a directory, which it creates if needed, and reads the rows of earlier runs. It removes an
// incomplete last line, which an interrupted write leaves behind. A table with other axes is an error.
func Open(dir string, axes []Axis) (*Table, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, tableFile)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	complete := text[:bytes.LastIndexByte(text, '\n')+1]
	t := &Table{axes: axes, finished: map[string]bool{}}
	if err := t.read(complete); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t.file, err = os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := t.continueAt(int64(len(complete))); err != nil {
		return nil, errors.Join(err, t.file.Close())
	}
	return t, nil
}

// read adds the rows of an earlier run.
func (t *Table) read(text []byte) error {
	in := csv.NewReader(bytes.NewReader(text))
	for line := 1; ; line++ {
		fields, err := in.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line == 1 {
			if header := t.header(); !slices.Equal(fields, header) {
				return fmt.Errorf("contains a sweep with columns %s: expected columns %s, or choose another directory",
					strings.Join(fields, ","), strings.Join(header, ","))
			}
			continue
		}
		row, err := t.parse(fields)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		t.add(row)
	}
}

// continueAt truncates the file at an offset, where the next row is written, and writes the header of an empty table.
func (t *Table) continueAt(offset int64) error {
	if err := t.file.Truncate(offset); err != nil {
		return err
	}
	if _, err := t.file.Seek(0, io.SeekEnd); err != nil {
		return err
	}
	if offset == 0 {
		return t.write(t.header())
	}
	return nil
}

func (t *Table) header() []string {
	var fields []string
	for _, a := range t.axes {
		fields = append(fields, a.Key)
	}
	fields = append(fields, "by", "seed")
	return append(fields, Columns...)
}

// parse parses a row. The CSV reader has already checked the number of fields.
func (t *Table) parse(fields []string) (Row, error) {
	values, deciderField, figures := len(t.axes), len(t.axes), len(t.axes)+2
	seed, err := strconv.ParseUint(fields[deciderField+1], 10, 64)
	if err != nil {
		return Row{}, err
	}
	row := Row{Cell: Cell{slices.Clone(fields[:values]), fields[deciderField], seed}}
	for _, field := range fields[figures:] {
		v, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return Row{}, err
		}
		row.Figures = append(row.Figures, v)
	}
	return row, nil
}

func (t *Table) add(row Row) {
	t.rows = append(t.rows, row)
	t.finished[row.name()] = true
}

func (t *Table) write(fields []string) error {
	w := csv.NewWriter(t.file)
	if err := w.Write(fields); err != nil {
		return err
	}
	w.Flush()
	return w.Error()
}

// Rows returns all rows, in the order in which they were written.
func (t *Table) Rows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.rows)
}

// Remaining returns the cells that are not in the table yet.
func (t *Table) Remaining(cells []Cell) []Cell {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cells), func(c Cell) bool { return t.finished[c.name()] })
}

// Add appends a row with the figures of a cell. It is safe for concurrent use.
func (t *Table) Add(c Cell, figures Figures) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	fields := c.fields()
	for _, v := range figures {
		fields = append(fields, strconv.FormatFloat(v, 'g', 8, 64))
	}
	if err := t.write(fields); err != nil {
		return err
	}
	row, err := t.parse(fields) // rounded to the precision of the file, so that resumed and uninterrupted sweeps agree
	if err != nil {
		return err
	}
	t.add(row)
	return nil
}

// Close closes the file.
func (t *Table) Close() error { return t.file.Close() }
