// Package simadapter runs many independent instances of the decisions for a simulator, which it talks to in lines on
// its standard input and output. The simulator sends batches of events with a clock and reads the actions that they
// lead to. The words of that protocol, its microseconds and its list numbers end here.
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
	maxEndpointLists = 16 // endpoint lists that the simulator may refer to

	// gcPercent trades memory, of which little is used, for the collector's time, which counts as the nodes'.
	gcPercent = 400
)

// session is one conversation with a simulator.
type session struct {
	in            *bufio.Reader
	out           *bufio.Writer
	instances     map[string]*instance // by the simulator's number
	endpointLists [maxEndpointLists]endpointList
	now           policy.Time
	line          int // of the input, for error messages

	ignoredGossip int    // between instances, that were no valid gossip
	actionLine    []byte // memory of the action that is written
	longLine      []byte // memory of a line that exceeds the input buffer
}

// endpointList is an endpoint list under one of the simulator's numbers.
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

func printError(to io.Writer, format string, arguments ...any) {
	fmt.Fprintf(to, "benchlink: "+format+"\n", arguments...) //nolint:errcheck // there is no other output for errors
}

// batch handles one batch of events; it returns io.EOF at the end of the input.
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
			return fmt.Errorf("%s: expected %s, the input ends within a batch", fieldMessage, messageEndOfBatch)
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

// readLine returns the next line without its end. It is valid until the next call.
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
		return nil, errors.New("expected a whole line, the input ends within it")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'}), nil
}

// readLongLine reads the rest of a line that exceeds the input buffer; it returns bufio.ErrBufferFull for one that is
// too long.
func (s *session) readLongLine(begin []byte) ([]byte, error) {
	s.longLine = append(s.longLine[:0], begin...)
	err := bufio.ErrBufferFull
	for errors.Is(err, bufio.ErrBufferFull) && len(s.longLine) <= maxLineBytes {
		var part []byte
		part, err = s.in.ReadSlice('\n')
		s.longLine = append(s.longLine, part...)
	}
	if len(s.longLine) > maxLineBytes {
		return nil, bufio.ErrBufferFull
	}
	return s.longLine, err
}
