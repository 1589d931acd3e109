package distsim

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"

	"go.uber.org/zap"
)

// originReply is a line that the origin process writes to its standard output.
type originReply struct {
	Address string `json:"address,omitempty"` // only in the first line
	Version uint64 `json:"through"`           // version of the last change
	Records int    `json:"records,omitempty"` // only in the first line
}

const (
	maxRequestBytes    = 16 << 20 // of one input line
	originCloseTimeout = time.Second
)

var classesByName = map[string]distribution.Class{
	classWithdrawal:    distribution.ClassWithdrawal,
	classEndpoint:      distribution.ClassEndpoint,
	classConfiguration: distribution.ClassConfiguration,
}

// Origin runs the origin process: the distribution package's origin, served to relays over TCP. Instead of polling
// endpoint sources it reads changes from its input, so that the run knows when each change was made. The first line is
// a Size, each further line a list of changes. Every line is answered with an originReply. Origin returns at the end of
// its input.
func Origin(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRequestBytes)
	if !lines.Scan() {
		return fmt.Errorf("origin input: expected a size in the first line: %w", io.ErrUnexpectedEOF)
	}
	var size Size
	if err := json.Unmarshal(lines.Bytes(), &size); err != nil {
		return err
	}
	clock := relay.NewClock()
	state, err := newOriginRecords(size, clock)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := relay.NewServer(state.origin.Relay(), relay.ServerConfig{Clock: clock}, zap.NewNop())
	defer listener.Close()
	go func() {
		_ = server.Serve(listener) // returns when the listener is closed; other errors are logged
	}()
	defer func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), originCloseTimeout)
		defer cancel()
		_ = server.Close(closeCtx) // remaining connections end with the process
	}()
	replies := json.NewEncoder(out)
	first := originReply{Address: listener.Addr().String(), Version: state.version, Records: size.records()}
	if err := replies.Encode(first); err != nil {
		return err
	}
	for ctx.Err() == nil && lines.Scan() {
		var changes []Change
		if err := json.Unmarshal(lines.Bytes(), &changes); err != nil {
			return err
		}
		server.Do(func(now int64) { err = state.apply(now, changes) })
		if err != nil {
			return err
		}
		if err := replies.Encode(originReply{Version: state.version}); err != nil {
			return err
		}
	}
	return lines.Err()
}

// originRecords is the origin together with the version of its last change.
type originRecords struct {
	origin  *distribution.Origin
	version uint64
}

// newOriginRecords returns an origin with the initial state of all records.
func newOriginRecords(size Size, clock func() int64) (*originRecords, error) {
	maxRecords := 2 * size.records()
	o := &originRecords{
		origin: distribution.NewOrigin(uint64(time.Now().UnixNano()), distribution.Limits{Records: maxRecords, Bytes: maxRecords * relayRecordBytes}),
	}
	var problem error
	size.forEachRecord(func(c Change) {
		if problem == nil {
			problem = o.put(clock(), c)
		}
	})
	return o, problem
}

func (o *originRecords) apply(now int64, changes []Change) error {
	for _, c := range changes {
		if err := o.put(now, c); err != nil {
			return err
		}
	}
	return nil
}

func (o *originRecords) put(now int64, c Change) error {
	if c.Removed {
		o.version, _ = o.origin.Remove(now, c.Scope, c.Key)
		return nil
	}
	version, err := o.origin.Put(now, c.Scope, c.Key, classesByName[c.Class], []byte(c.Body))
	if err != nil {
		return fmt.Errorf("%s %s: %w", c.Scope, c.Key, err)
	}
	o.version = version
	return nil
}
