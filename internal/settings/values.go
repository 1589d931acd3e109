package settings

import (
	"fmt"
	"strconv"
	"time"
)

const (
	maxNumber       = 1e18
	maxMicroseconds = 9e15 // fits in nanoseconds
	maxCount        = 10000
)

// values reads settings by their paths and keeps the first error.
type values struct {
	byPath map[string]string
	err    error
}

// option is a word that is allowed as the value of a setting, and the value that it stands for.
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

// number reads a number that has to be there.
func (v *values) number(path string, low float64) float64 {
	n, err := strconv.ParseFloat(v.byPath[path], 64)
	if err != nil || !(n >= low) || n > maxNumber {
		v.fail(path, fmt.Sprintf("a number of at least %g", low))
		return low
	}
	return n
}

func (v *values) numberOr(path string, low, missing float64) float64 {
	if !v.has(path) {
		return missing
	}
	return v.number(path, low)
}

// count reads the length of an array.
func (v *values) count(path string, low float64) int {
	n := v.number(path, low)
	if n > maxCount {
		v.fail(path, "a count of at most 10000")
		return 0
	}
	return int(n)
}

// duration reads a time in microseconds.
func (v *values) duration(path string, low float64) time.Duration {
	n := v.number(path, low)
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

// flag reads a boolean; a missing one is false.
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

// choice reads one of a few words.
func readOption[T any](v *values, path string, options []option[T]) T {
	want := "one of"
	for _, o := range options {
		if word, ok := v.byPath[path]; ok && word == o.name {
			return o.value
		}
		want += " " + o.name
	}
	v.fail(path, want)
	var zero T
	return zero
}
