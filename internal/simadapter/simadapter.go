// Package simadapter runs many independent balancers for a simulator, over a line-based protocol on standard input and
// output. The simulator sends batches of events with the current time, and reads the resulting actions. The package
// translates the protocol's names, microseconds and list numbers, so that no other package depends on them.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"fawnglade/policy"
)

const (
	maxLineBytes     = 8 << 20
	inputBuffer      = 1 << 20
	outputBuffer     = 1 << 18
	maxEndpointLists = 16 // list numbers that the simulator may use

	// gcPercent trades memory, of which little is used, for less time in garbage collection, which the simulator counts
	// as processor time of the nodes.
	gcPercent = 400
)

// session is the connection to one simulator.
type session struct {
	in            *bufio.Reader
	out           *bufio.Writer
	instances     map[string]*instance // by the simulator's number for them
	endpointLists [maxEndpointLists]endpointList
	now           policy.Time
	line          int // number of the last line read, for error messages

	ignoredGossip int    // gossip messages that gossip.Inbox rejected
	actionLine    []byte // buffer for the action being written
	longLine      []byte // buffer for a line that exceeds the input buffer
}

// endpointList is an endpoint list that the simulator has sent; not defined: none was sent under this number.
type endpointList struct {
	endpoints []policy.EndpointInfo
	defined   bool
}

// Run serves the protocol until the input ends and returns the exit code of the process: 0, or 1 after an error
// in the input or a failed write.
func Run(in io.Reader, out, errorOutput io.Writer) int {
	debug.SetGCPercent(gcPercent)
	s := &session{
		in:        bufio.NewReaderSize(in, inputBuffer),
		out:       bufio.NewWriterSize(out, outputBuffer),
		instances: map[string]*instance{},
	}
	for {
		err := s.handleBatch()
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if s.ignoredGossip > 0 {
				printError(errorOutput, "%d messages passed over", s.ignoredGossip)
			}
			return 0
		}
		s.out.Flush() //nolint:errcheck // the first error is printed next
		printError(errorOutput, "line %d: %v", s.line, err)
		return 1
	}
}

func printError(out io.Writer, format string, arguments ...any) {
	fmt.Fprintf(out, "benchlink: "+format+"\n", arguments...) //nolint:errcheck // there is no other output for errors
}

// handleBatch handles one batch of events. It returns io.EOF at the end of the input.
func (s *session) handleBatch() error {
	text, err := s.readLine()
	if err != nil {
		return err
	}
	f := fields{rest: text}
	if name := f.token(fieldMessage); string(name) != messageBeginBatch {
		return fmt.Errorf("%s: expected %s, got %q", fieldMessage, messageBeginBatch, name)
	}
	s.now = policy.Time(f.time(fieldClock))
	if f.err != nil {
		return f.err
	}
	for {
		text, err = s.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("%s: expected %s, got the end of the input within a batch", fieldMessage, messageEndOfBatch)
		}
		if err != nil {
			return err
		}
		f = fields{rest: text}
		name := f.token(fieldMessage)
		if string(name) == messageEndOfBatch {
			break
		}
		if err = s.handleEvent(name, &f); err != nil {
			return err
		}
	}
	if _, err = s.out.WriteString(messageDone + "\n"); err != nil {
		return err
	}
	return s.out.Flush()
}

// readLine returns the next line without its line break. The slice is valid until the next call.
func (s *session) readLine() ([]byte, error) {
	line, err := s.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.readLongLine(line)
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		s.line++
		return nil, fmt.Errorf("expected a line of at most %d bytes", maxLineBytes)
	}
	s.line++
	if errors.Is(err, io.EOF) && len(line) > 0 {
		return nil, errors.New("expected a complete line, got the end of the input within it")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// readLongLine reads the rest of a line that exceeds the input buffer. It returns bufio.ErrBufferFull if the line is
// longer than maxLineBytes.
func (s *session) readLongLine(start []byte) ([]byte, error) {
	s.longLine = append(s.longLine[:0], start...)
	err := bufio.ErrBufferFull
	for errors.Is(err, bufio.ErrBufferFull) && len(s.longLine) <= maxLineBytes {
		var chunk []byte
		chunk, err = s.in.ReadSlice('\n')
		s.longLine = append(s.longLine, chunk...)
	}
	if len(s.longLine) > maxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	return s.longLine, err
}
