package emulator

// This file owns a relay that reads nothing: each client's connection is joined to one of a server's. It is what passing
// bytes on costs at the least, to set a node's cost against. It must never be taken for a proxy: it keeps no rule.

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"time"
)

// Relay serves by a node's configuration until it is ended.
func Relay(config string) error {
	text, err := os.ReadFile(config)
	if err != nil {
		return err
	}
	var in struct {
		Listen string
		Limits struct{ Cores float64 }
		Known  struct{ Hosts []struct{ Dial string } }
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return fmt.Errorf("%s: %w", config, err)
	}
	if len(in.Known.Hosts) == 0 {
		return errors.New("known: expected servers, got none")
	}
	if in.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(in.Limits.Cores)))
	}
	l, err := net.Listen("tcp", in.Listen)
	if err != nil {
		return err
	}
	var turn atomic.Int64
	for {
		c, err := l.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go join(c, in.Known.Hosts[int(turn.Add(1))%len(in.Known.Hosts)].Dial)
	}
}

// join passes bytes on until either side ends. The rig's question whether a node is ready is answered here, as servers
// do not know it.
func join(c net.Conn, to string) {
	defer c.Close()
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	if ask := "GET " + pathReady; n > len(ask) && string(first[:len(ask)]) == ask {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return
	}
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	if _, err := s.Write(first[:n]); err != nil {
		return
	}
	go func() {
		io.Copy(s, c)
		s.Close()
	}()
	io.Copy(c, s)
}
