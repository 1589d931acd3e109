package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Signals that come while the node starts, held in the midst of it by an old process that says nothing, wait until it can follow
// them: none ends it where it is, with a request already in the machine.
func TestSignalsDuringAStart(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"the end":                  {syscall.SIGTERM},
		"all others, then the end": {syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM},
		"the end twice, then a new configuration": {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			door, held := heldDoor(t)
			dir, err := os.MkdirTemp("", "")
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			h := fnv.New64a()
			io.WriteString(h, "n0\n"+door.Addr().String())
			before, err := net.Listen("unix", filepath.Join(dir, fmt.Sprintf("fawnglade-%016x.sock", h.Sum64())))
			if err != nil {
				t.Fatal(err)
			}
			defer before.Close()
			c := program(t, strings.Replace(config, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, door.Addr()), 1), "serve")
			c.Env = append(c.Env, "TMPDIR="+dir, "NODE_INHERITED_FD=3")
			c.ExtraFiles = []*os.File{held}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			defer c.Process.Kill()
			start, err := before.Accept()
			if err != nil {
				t.Fatal(err)
			}
			client, err := net.Dial("tcp", door.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetDeadline(time.Now().Add(10 * time.Second))
			io.WriteString(client, "GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\n\r\n")
			for _, s := range signals {
				c.Process.Signal(s)
			}
			start.Close()
			r, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || r.StatusCode != http.StatusServiceUnavailable { // its one server is not there
				t.Errorf("the task was answered %v, %v", r, err)
			}
			if err := c.Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}
