package settings

import (
	"fmt"
	"strconv"
	"time"
)

const (
	maxNumber       = 1e18
	maxMicroseconds = 9e15 // such a time still fits in an int64 of nanoseconds
	maxCount        = 10000
)

// values reads settings by path and keeps the first error.
type values struct {
	byPath map[string]string
	err    error
}

// option is one allowed text of a setting, and the value that it stands for.
type option[T any] struct {
	name  string
	value T
}

func (v *values) fail(path, want string) {
	if v.err != nil {
		return
	}
	got, ok := v.byPath[path]
	if !ok {
		got = "nothing"
	}
	v.err = fmt.Errorf("%s: expected %s, got %s", path, want, got)
}

func (v *values) has(path string) bool {
	_, ok := v.byPath[path]
	return ok
}

// number reads a required number of at least minimum.
func (v *values) number(path string, minimum float64) float64 {
	n, err := strconv.ParseFloat(v.byPath[path], 64)
	if err != nil || !(n >= minimum) || n > maxNumber {
		v.fail(path, fmt.Sprintf("a number of at least %g", minimum))
		return minimum
	}
	return n
}

func (v *values) numberOr(path string, minimum, fallback float64) float64 {
	if !v.has(path) {
		return fallback
	}
	return v.number(path, minimum)
}

// count reads the required length of an array.
func (v *values) count(path string, minimum float64) int {
	n := v.number(path, minimum)
	if n > maxCount {
		v.fail(path, "a count of at most 10000")
		return 0
	}
	return int(n)
}

// duration reads a required time in microseconds.
func (v *values) duration(path string, minimum float64) time.Duration {
	n := v.number(path, minimum)
	if n > maxMicroseconds {
		v.fail(path, "a time in microseconds")
		return 0
	}
	return time.Duration(n) * time.Microsecond
}

func (v *values) durationOrZero(path string) time.Duration {
	if !v.has(path) {
		return 0
	}
	return v.duration(path, 0)
}

// flag reads an optional boolean; the default is false.
func (v *values) flag(path string) bool {
	switch v.byPath[path] {
	case "true":
		return true
	case "false":
		return false
	}
	if v.has(path) {
		v.fail(path, "true or false")
	}
	return false
}

// readOption reads a required setting that must be one of the options.
func readOption[T any](v *values, path string, options []option[T]) T {
	want := "one of"
	for _, o := range options {
		if name, ok := v.byPath[path]; ok && name == o.name {
			return o.value
		}
		want += " " + o.name
	}
	v.fail(path, want)
	var zero T
	return zero
}
