package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Signals that come during a start, which waits for an old process that sends nothing, are followed once that is
// possible: none ends the process at once, with a request already accepted by the kernel.
func TestSignalsDuringStart(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"the end":                  {syscall.SIGTERM},
		"all others, then the end": {syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM},
		"the end twice, then a new configuration": {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			door, held := inheritedListener(t)
			dir, err := os.MkdirTemp("", "")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = os.RemoveAll(dir) }()
			h := fnv.New64a()
			writeText(h, "n0\n"+door.Addr().String())
			before, err := net.Listen("unix", filepath.Join(dir, fmt.Sprintf("fawnglade-%016x.sock", h.Sum64())))
			if err != nil {
				t.Fatal(err)
			}
			defer before.Close()
			listen := fmt.Sprintf(`"listen":%q`, door.Addr())
			c := nodeCommand(t, strings.Replace(config, `"listen":"127.0.0.1:0"`, listen, 1), "serve")
			c.Env = append(c.Env, "TMPDIR="+dir, "NODE_INHERITED_FD=3")
			c.ExtraFiles = []*os.File{held}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			defer killProcess(c)
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
			writeText(client, "GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\n\r\n")
			for _, s := range signals {
				sendSignal(t, c, s)
			}
			start.Close()
			r, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || r.StatusCode != http.StatusServiceUnavailable { // its one server is not there
				t.Errorf("the request was answered %v, %v", r, err)
			}
			if err := c.Wait(); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}
