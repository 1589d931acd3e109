package emulator

// A proxy that copies bytes between each client connection and a connection to an endpoint without parsing them. It is
// a lower bound for the cost of forwarding, with which the cost of a node is compared. It keeps none of the rules.

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

// PassThrough runs the proxy with a node's configuration file. It only returns if it cannot start.
func PassThrough(config string) error {
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
		return errors.New("known: expected at least one server in hosts, got none")
	}
	if in.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(in.Limits.Cores)))
	}
	ln, err := net.Listen("tcp", in.Listen)
	if err != nil {
		return err
	}
	var turn atomic.Int64
	for {
		c, err := ln.Accept()
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		go pipe(c, in.Known.Hosts[int(turn.Add(1))%len(in.Known.Hosts)].Dial)
	}
}

// pipe copies bytes in both directions until either side closes. It answers the readiness check itself, as endpoints do
// not support it.
func pipe(c net.Conn, to string) {
	defer c.Close()
	first := make([]byte, 4096)
	n, err := c.Read(first)
	if err != nil {
		return
	}
	if ask := "GET " + pathReady; n > len(ask) && string(first[:len(ask)]) == ask {
		send(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
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
		forward(s, c)
		s.Close()
	}()
	forward(c, s)
}

// forward copies until either side closes or fails. The caller then closes both.
func forward(to io.Writer, from io.Reader) { _, _ = io.Copy(to, from) }
