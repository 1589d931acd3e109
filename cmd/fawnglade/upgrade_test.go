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

// Three processes of one node in a row, under load, on a socket that outlives them: no request is lost.
func TestUpgradeUnderLoadLosesNoRequest(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	serveHTTP(server, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(3 * time.Millisecond)
		writeText(w, r.Header.Get("X-Txn"))
	}))
	door, held := inheritedListener(t)
	dir := t.TempDir()
	text := strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, door.Addr()),
		`"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, server.Addr())).Replace(config)
	start := func(want int) (*exec.Cmd, string) {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		console := free.Addr().String()
		free.Close()
		c := nodeCommand(t, text, "serve")
		c.Env = append(c.Env, "TMPDIR="+dir, "NODE_CONSOLE="+console, "NODE_INHERITED_FD=3")
		c.ExtraFiles = []*os.File{held}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { killProcess(c) })
		eventually(t, "ready", func() bool { return requestStatus(console, "GET /ready") == want })
		return c, console
	}
	old, console := start(200)
	if status := requestStatus(console, "PUT /servers/disable?target=s-9"); status != 404 {
		t.Errorf("a server never listed was taken out: %d", status)
	}
	var done sync.WaitGroup
	var stop atomic.Bool
	var requests, lost atomic.Int64
	for i := range 8 {
		done.Go(func() {
			var c net.Conn
			var err error // its own: the clients run side by side
			var in *bufio.Reader
			for k := 0; !stop.Load(); k++ {
				if c == nil {
					if c, err = net.Dial("tcp", door.Addr().String()); err != nil {
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
				if r.Close || i%2 == 0 { // half of them connect anew for each request
					c.Close()
					c = nil
				}
			}
		})
	}
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		fresh, at := start(200)
		sendSignal(t, old, syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			t.Errorf("the old process ended with %v", err)
		}
		old, console = fresh, at
	}
	time.Sleep(200 * time.Millisecond)
	stop.Store(true)
	done.Wait()
	if lost.Load() > 0 || requests.Load() < 100 {
		t.Errorf("%d of %d requests were lost", lost.Load(), requests.Load())
	}
	if requestStatus(console, "PUT /servers/disable?target=s-1") != 200 {
		t.Error("the third process does not know the server")
	}
	// An upgrade while the one server is out and the node is drained: the fourth process knows both, and ends both.
	requestStatus(console, "PUT /drain")
	_, at := start(503)
	sendSignal(t, old, syscall.SIGTERM)
	if err := old.Wait(); err != nil {
		t.Errorf("the third process ended with %v", err)
	}
	request := func(id string) int {
		return requestStatus(door.Addr().String(), "GET /view HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Rest:")
	}
	if status := request("out"); status != 503 {
		t.Errorf("with its server out a request got %d", status)
	}
	if requestStatus(at, "PUT /undrain") != 200 || requestStatus(at, "GET /ready") != 200 {
		t.Error("not ready after the end of a drain that another process began")
	}
	if requestStatus(at, "PUT /servers/enable?target=s-1") != 200 {
		t.Error("not put back")
	}
	eventually(t, "the server put back is in use", func() bool {
		return request(fmt.Sprint("back", time.Now().UnixNano())) == 200
	})
}

// The admin API answers while clients hold all their descriptors and a thousand callers send nothing or half a call;
// the system gives the process no more descriptors than its configuration says.
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
		held, err := net.Dial("tcp", addresses[i%6/5]) // a thousand clients, two hundred callers, then the others
		if err != nil {
			t.Fatal(err)
		}
		defer held.Close()
		if i%2 == 0 {
			writeText(held, "PUT /drain HT")
		}
	}
	for i := range 2000 {
		if i%2 == 0 {
			held, err := net.Dial("tcp", addresses[1])
			if err != nil {
				t.Fatal(err)
			}
			defer held.Close()
		}
		if i%200 == 0 {
			for _, one := range []string{
				"PUT /servers/disable?target=s-1", "PUT /servers/enable?target=s-1",
				"GET /ready",
			} {
				if status := requestStatus(addresses[1], one); status != 200 {
					t.Errorf("%s among idle clients, after %d callers: %d", one, i/2, status)
				}
			}
		}
	}
}
