package distsim

// This file owns the origin's process: the module's origin behind the server that relays connect to, with a control on its standard
// input in the place of discovery and a directory, so that the run knows when each change was made and under which number. It must
// never change a record on its own.

import (
	"bufio"
	"context"
	"encoding/json"
	"fawnglade/internal/distribution"
	"fawnglade/internal/relay"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"
)

// originLine is one line of the origin's on its standard output.
type originReply struct {
	Address string `json:"address,omitempty"`
	Version uint64 `json:"through"`
	Records int    `json:"records,omitempty"`
}

const maxRequestBytes = 16 << 20

var classesByName = map[string]distribution.Class{classWithdrawal: distribution.ClassWithdrawal, classEndpoint: distribution.ClassEndpoint, classConfiguration: distribution.ClassConfiguration}

// Origin is that process: the first line in is a Size, every other a list of changes. It ends with its input.
func Origin(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxRequestBytes)
	var size Size
	if !lines.Scan() {
		return fmt.Errorf("expected a size: %w", io.ErrUnexpectedEOF)
	}
	if err := json.Unmarshal(lines.Bytes(), &size); err != nil {
		return err
	}
	clock := relay.NewClock()
	records := size.Endpoints + size.Routes + size.Tenants
	origin := distribution.NewOrigin(uint64(time.Now().UnixNano()), distribution.Limits{Records: 2 * records, Bytes: 2 * records * relayRecordBytes})
	var through uint64
	var wrong error
	put := func(now int64, c Change) {
		if c.Removed {
			through, _ = origin.Remove(now, c.Scope, c.Key)
			return
		}
		v, err := origin.Put(now, c.Scope, c.Key, classesByName[c.Class], []byte(c.Body))
		if through = v; err != nil && wrong == nil {
			wrong = fmt.Errorf("%s %s: %w", c.Scope, c.Key, err)
		}
	}
	size.forEachRecord(func(scope, key, class, body string) {
		put(clock(), Change{Scope: scope, Key: key, Class: class, Body: body})
	})
	if wrong != nil {
		return wrong
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer l.Close()
	server := relay.NewServer(origin.Relay(), relay.ServerConfig{Clock: clock}, zap.NewNop())
	go server.Serve(l)
	defer func() {
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Close(end)
	}()
	say := json.NewEncoder(out)
	if err := say.Encode(originReply{Address: l.Addr().String(), Version: through, Records: records}); err != nil {
		return err
	}
	for ctx.Err() == nil && lines.Scan() {
		var all []Change
		if err := json.Unmarshal(lines.Bytes(), &all); err != nil {
			return err
		}
		server.Do(func(now int64) {
			for _, c := range all {
				put(now, c)
			}
		})
		if wrong != nil {
			return wrong
		}
		if err := say.Encode(originReply{Version: through}); err != nil {
			return err
		}
	}
	return lines.Err()
}
