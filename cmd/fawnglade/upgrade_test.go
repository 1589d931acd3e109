package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Three processes of one node replace each other under load, on a listening socket that they inherit. No request may be
// lost, and overrides and the drain state must be handed over.
func TestUpgradeUnderLoadLosesNoRequest(t *testing.T) {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer upstream.Close()
	serveHTTP(upstream, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * time.Millisecond)
		writeText(w, r.Header.Get("X-Txn"))
	}))
	listener, listenerFile := inheritedListener(t)
	dir := t.TempDir()
	text := strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, listener.Addr()),
		`"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, upstream.Addr())).Replace(config)
	start := func(want int) (*exec.Cmd, string) {
		adminListener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		adminAddress := adminListener.Addr().String()
		adminListener.Close()
		c := nodeCommand(t, text, "serve")
		c.Env = append(c.Env, "TMPDIR="+dir, "NODE_CONSOLE="+adminAddress, "NODE_INHERITED_FD=3")
		c.ExtraFiles = []*os.File{listenerFile}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { killProcess(c) })
		eventually(t, "ready", func() bool { return requestStatus(adminAddress, "GET /ready") == want })
		return c, adminAddress
	}
	oldProcess, adminAddress := start(200)
	if status := requestStatus(adminAddress, "PUT /servers/disable?target=s-9"); status != 404 {
		t.Errorf("disabling an unknown endpoint: got status %d, want 404", status)
	}
	var done sync.WaitGroup
	var stop atomic.Bool
	var requests, lost atomic.Int64
	for i := range 8 {
		done.Go(func() {
			var c net.Conn
			var err error // not shared, as the clients run concurrently
			var in *bufio.Reader
			for k := 0; !stop.Load(); k++ {
				if c == nil {
					if c, err = net.Dial("tcp", listener.Addr().String()); err != nil {
						lost.Add(1)
						return
					}
					in = bufio.NewReader(c)
				}
				id := fmt.Sprintf("t%d-%d", i, k)
				writef(c, "GET /view HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\n\r\n", id)
				requests.Add(1)
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					lost.Add(1)
					c = nil
					continue
				}
				body, err := io.ReadAll(r.Body)
				if err != nil || r.StatusCode == 200 && string(body) != id {
					lost.Add(1)
				}
				if r.Close || i%2 == 0 { // half of the clients use a new connection for each request
					c.Close()
					c = nil
				}
			}
		})
	}
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		newProcess, newAddress := start(200)
		sendSignal(t, oldProcess, syscall.SIGTERM)
		if err := oldProcess.Wait(); err != nil {
			t.Errorf("the old process exited with %v, want exit code 0", err)
		}
		oldProcess, adminAddress = newProcess, newAddress
	}
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	done.Wait()
	if lost.Load() > 0 || requests.Load() < 100 {
		t.Errorf("got %d of %d requests lost, want none of at least 100", lost.Load(), requests.Load())
	}
	if requestStatus(adminAddress, "PUT /servers/disable?target=s-1") != 200 {
		t.Error("disabling an endpoint in the third process failed, want status 200")
	}
	// Upgrade while the only endpoint is disabled and the node is drained: the fourth process takes over both states,
	// and can end them.
	requestStatus(adminAddress, "PUT /drain")
	_, newAddress := start(503)
	sendSignal(t, oldProcess, syscall.SIGTERM)
	if err := oldProcess.Wait(); err != nil {
		t.Errorf("the third process exited with %v, want exit code 0", err)
	}
	request := func(id string) int {
		return requestStatus(listener.Addr().String(), "GET /view HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Rest:")
	}
	if status := request("out"); status != 503 {
		t.Errorf("with the only endpoint disabled: got status %d, want 503", status)
	}
	if requestStatus(newAddress, "PUT /undrain") != 200 || requestStatus(newAddress, "GET /ready") != 200 {
		t.Error("the node is not ready after /undrain in the process that took over the drain")
	}
	if requestStatus(newAddress, "PUT /servers/enable?target=s-1") != 200 {
		t.Error("enabling the endpoint failed, want status 200")
	}
	eventually(t, "the enabled endpoint is in use", func() bool {
		return request(fmt.Sprint("back", time.Now().UnixNano())) == 200
	})
}

// The admin API must respond while idle clients use all descriptors that they can get, and a thousand callers of the
// admin API send nothing or an incomplete call. The process runs with a descriptor limit equal to the configured one.
func TestAdminAPIAnswersAmongIdleClients(t *testing.T) {
	var addresses [2]string
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = l.Addr().String()
		l.Close()
	}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"listen":%q,"console":%q`, addresses[0], addresses[1]),
		`"sockets":1024`, `"sockets":96`).Replace(config)
	node := nodeCommand(t, text, "serve")
	c := exec.Command("/bin/sh", append([]string{"-c", `ulimit -n 96; exec "$@"`, "sh"}, node.Args...)...)
	c.Env = append(node.Env, "TMPDIR="+t.TempDir())
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer killProcess(c)
	eventually(t, "ready", func() bool { return requestStatus(addresses[1], "GET /ready") == 200 })
	for i := range 1200 {
		conn, err := net.Dial("tcp", addresses[i%6/5]) // 1,000 clients and 200 admin callers; 1,000 more callers follow
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if i%2 == 0 {
			writeText(conn, "PUT /drain HT")
		}
	}
	for i := range 2000 {
		if i%2 == 0 {
			conn, err := net.Dial("tcp", addresses[1])
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
		}
		if i%200 == 0 {
			for _, call := range []string{
				"PUT /servers/disable?target=s-1", "PUT /servers/enable?target=s-1",
				"GET /ready",
			} {
				if status := requestStatus(addresses[1], call); status != 200 {
					t.Errorf("%s among idle clients, after %d admin callers: got status %d, want 200", call, i/2, status)
				}
			}
		}
	}
}
