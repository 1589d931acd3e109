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

// Signals that arrive during the start, while the process waits for the handover of an old process that sends nothing,
// must be handled after the start. They must not kill the process, since the kernel has already accepted a connection
// with a request.
func TestSignalsDuringStart(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"a single SIGTERM":                       {syscall.SIGTERM},
		"all others, then SIGTERM":               {syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM},
		"SIGTERM twice, then SIGHUP and SIGUSR1": {syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGUSR1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, listenerFile := inheritedListener(t)
			dir, err := os.MkdirTemp("", "")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = os.RemoveAll(dir) }()
			h := fnv.New64a()
			writeText(h, "n0\n"+listener.Addr().String())
			oldProcess, err := net.Listen("unix", filepath.Join(dir, fmt.Sprintf("fawnglade-%016x.sock", h.Sum64())))
			if err != nil {
				t.Fatal(err)
			}
			defer oldProcess.Close()
			listen := fmt.Sprintf(`"listen":%q`, listener.Addr())
			c := nodeCommand(t, strings.Replace(config, `"listen":"127.0.0.1:0"`, listen, 1), "serve")
			c.Env = append(c.Env, "TMPDIR="+dir, "NODE_INHERITED_FD=3")
			c.ExtraFiles = []*os.File{listenerFile}
			if err := c.Start(); err != nil {
				t.Fatal(err)
			}
			defer killProcess(c)
			handoverConn, err := oldProcess.Accept()
			if err != nil {
				t.Fatal(err)
			}
			client, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			client.SetDeadline(time.Now().Add(10 * time.Second))
			writeText(client, "GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: t\r\n\r\n")
			for _, s := range signals {
				sendSignal(t, c, s)
			}
			handoverConn.Close()
			r, err := http.ReadResponse(bufio.NewReader(client), nil)
			if err != nil || r.StatusCode != http.StatusServiceUnavailable { // the only endpoint is unreachable
				t.Errorf("got response %v, error %v; want status 503", r, err)
			}
			if err := c.Wait(); err != nil {
				t.Errorf("the process exited with %v, want exit code 0", err)
			}
		})
	}
}
