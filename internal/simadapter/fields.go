package simadapter

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"

	"fawnglade/policy"
)

// nanosPerMicrosecond converts the times of the protocol, which are in microseconds.
const nanosPerMicrosecond = 1000

// fields parses the values of one line in order and keeps the first error.
type fields struct {
	rest []byte
	err  error
}

func (f *fields) fail(format string, arguments ...any) {
	if f.err == nil {
		f.err = fmt.Errorf(format, arguments...)
	}
}

// token returns the next value, which must not be empty.
func (f *fields) token(field string) []byte {
	token, rest, _ := bytes.Cut(f.rest, []byte{' '})
	if len(token) == 0 {
		f.fail("%s: expected a value, got none", field)
	}
	f.rest = rest
	return token
}

// optionalToken returns the next value, or "" if it is missing or "-".
func (f *fields) optionalToken() string {
	token, rest, _ := bytes.Cut(f.rest, []byte{' '})
	f.rest = rest
	if string(token) == "-" {
		return ""
	}
	return string(token)
}

// skipAbsent reports whether the next value is missing or "-", and if so skips it.
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
	token := f.token(field)
	v, err := strconv.ParseUint(string(token), 10, bits)
	if err != nil {
		f.fail("%s: expected a whole number below 2^%d, got %q", field, bits, token)
	}
	return v
}

func (f *fields) unsignedOrZero(field string, bits int) uint64 {
	if f.skipAbsent() {
		return 0
	}
	return f.unsigned(field, bits)
}

// time parses a time in microseconds and returns it in nanoseconds.
func (f *fields) time(field string) int64 {
	token := f.token(field)
	v, err := strconv.ParseInt(string(token), 10, 64)
	if err != nil || v < math.MinInt64/nanosPerMicrosecond || v > math.MaxInt64/nanosPerMicrosecond {
		f.fail("%s: expected a time in microseconds, got %q", field, token)
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
	token := f.token(field)
	v, err := strconv.ParseFloat(string(token), 64)
	if err != nil || !(v >= 0) || math.IsInf(v, 0) {
		f.fail("%s: expected a number of at least 0, got %q", field, token)
	}
	return v
}

func (f *fields) boolean(field string) bool {
	token := f.token(field)
	if len(token) != 1 || token[0] != '0' && token[0] != '1' {
		f.fail("%s: expected 1 or 0, got %q", field, token)
	}
	return len(token) == 1 && token[0] == '1'
}

func (f *fields) listNumber() uint64 {
	v := f.unsigned(fieldListNumber, 31)
	if v >= maxEndpointLists {
		f.fail("%s: expected a number from 0 to %d, got %d", fieldListNumber, maxEndpointLists-1, v)
		return 0
	}
	return v
}

// loadReport parses a load report. It skips unknown names, and values that are negative or not finite.
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
