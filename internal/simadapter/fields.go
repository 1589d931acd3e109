package simadapter

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"fawnglade/policy"
)

// nanosPerMicrosecond converts the protocol's times.
const nanosPerMicrosecond = 1000

// fields takes the values of one line in turn and keeps the first error.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) fail(format string, arguments ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, arguments...)
	}
}

// word takes the next value, which must not be empty.
func (f *fields) token(field string) []byte {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	if len(word) == 0 {
		f.fail("%s: expected a value, got none", field)
	}
	f.rest = rest
	return word
}

// optional takes the next value; "" if it is missing or "-".
func (f *fields) optionalToken() string {
	word, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	if string(word) == "-" {
		return ""
	}
	return string(word)
}

// skipAbsent reports whether the next value is missing or "-", and takes it then.
func (f *fields) skipAbsent() bool {
	if len(f.rest) == 0 {
		return true
	}
	if f.rest[0] == '-' && (len(f.rest) == 1 || f.rest[1] == ' ') {
		f.token("")
		return true
	}
	return false
}

func (f *fields) unsigned(field string, bits int) uint64 {
	word := f.token(field)
	v, err := strconv.ParseUint(string(word), 10, bits)
	if err != nil {
		f.fail("%s: expected a whole number below 2^%d, got %q", field, bits, word)
	}
	return v
}

func (f *fields) unsignedOrZero(field string, bits int) uint64 {
	if f.skipAbsent() {
		return 0
	}
	return f.unsigned(field, bits)
}

// time takes a time in microseconds and returns it in nanoseconds.
func (f *fields) time(field string) int64 {
	word := f.token(field)
	v, err := strconv.ParseInt(string(word), 10, 64)
	if err != nil || v < math.MinInt64/nanosPerMicrosecond || v > math.MaxInt64/nanosPerMicrosecond {
		f.fail("%s: expected a time in microseconds, got %q", field, word)
	}
	return v * nanosPerMicrosecond
}

func (f *fields) timeOrZero(field string) int64 {
	if f.skipAbsent() {
		return 0
	}
	return f.time(field)
}

func (f *fields) decimalOrZero(field string) float64 {
	if f.skipAbsent() {
		return 0
	}
	word := f.token(field)
	v, err := strconv.ParseFloat(string(word), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		f.fail("%s: expected a number of at least 0, got %q", field, word)
	}
	return v
}

func (f *fields) boolean(field string) bool {
	word := f.token(field)
	if len(word) != 1 || word[0] != '0' && word[0] != '1' {
		f.fail("%s: expected 1 or 0, got %q", field, word)
	}
	return len(word) == 1 && word[0] == '1'
}

func (f *fields) listNumber() uint64 {
	v := f.unsigned(fieldListNumber, 31)
	if v >= maxEndpointLists {
		f.fail("%s: expected a number from 0 to %d, got %d", fieldListNumber, maxEndpointLists-1, v)
		return 0
	}
	return v
}

// loadReport takes a load report; it skips names that it doesn't know and values that can't be a load.
func (f *fields) loadReport() policy.LoadReport {
	report := policy.LoadReport{Utilization: -1, QueueLength: -1, ServiceTime: -1}
	if f.skipAbsent() {
		return report
	}
	for text := f.token(fieldLoadReport); len(text) > 0; {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			f.fail("%s: expected name:value pairs, got %q", fieldLoadReport, pair)
			return report
		}
		v, err := strconv.ParseFloat(string(value), 64)
		if err != nil && !errors.Is(err, strconv.ErrRange) {
			f.fail("%s: expected a number for %s, got %q", fieldLoadReport, name, value)
		}
		if !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		switch string(name) {
		case reportUtilization:
			report.Utilization = v
		case reportQueueLength:
			report.QueueLength = v
		case reportServiceTime:
			report.ServiceTime = v
		}
	}
	return report
}
