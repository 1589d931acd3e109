package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// This file owns what a node has descriptors for while idle clients hold all that they can get: discovery, attempts, operators' calls,
// another process of the node. The machine gives each process no more than its configuration says.

// freeAddress is one at which nobody listens now.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// crowd is clients that connect, say nothing and come back at once when they are shut, until the test ends.
type crowd struct {
	standing, shut atomic.Int64
	stop           chan struct{}
	done           sync.WaitGroup
}

func gather(t *testing.T, at string, clients int) *crowd {
	c := &crowd{stop: make(chan struct{})}
	for range clients {
		c.done.Go(func() {
			for {
				held, err := net.Dial("tcp", at)
				if err != nil {
					select {
					case <-c.stop:
						return
					case <-time.After(time.Millisecond):
						continue
					}
				}
				c.standing.Add(1)
				go func() { <-c.stop; held.Close() }()
				held.Read(make([]byte, 1))
				held.Close()
				c.standing.Add(-1)
				select {
				case <-c.stop:
					return
				default:
					c.shut.Add(1)
				}
			}
		})
	}
	t.Cleanup(c.leave)
	return c
}

func (c *crowd) leave() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.done.Wait()
}

// smallServer answers views after a time, and shuts a connection beyond so many with no word.
func smallServer(t *testing.T, most int64, after time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var open atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				defer open.Add(-1)
				if open.Add(1) > most {
					return
				}
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					time.Sleep(after)
					id := r.Header.Get("X-Txn")
					if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func hosts(health string, servers ...string) string {
	var list []string
	for i, s := range servers {
		list = append(list, fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0}`, i+1, s, health))
	}
	return strings.Join(list, ",")
}

// descriptors is how many a process has open now.
func descriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// crowded is one node's process among a crowd, with no more descriptors than its configuration says.
type crowded struct {
	*exec.Cmd
	console string
	log     string
}

// startCrowded starts a process of a node; door is the clients' socket where the platform holds it, else nil.
func startCrowded(t *testing.T, sockets int, mode, listen, discovery, dir string, door *os.File, servers []string, more ...string) *crowded {
	t.Helper()
	c := &crowded{console: freeAddress(t), log: filepath.Join(t.TempDir(), "log")}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0","discovery":"127.0.0.1:1"`, fmt.Sprintf(`"listen":%q,"discovery":%q`, listen, discovery),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), `"discovery":"ask"`, fmt.Sprintf(`"discovery":%q`, mode),
		`"ask_within_us":10000000`, `"ask_within_us":1000000`, `"connect_timeout_us":75000`, `"connect_timeout_us":5000000`,
		`300000`, `20000000`, `100000`, `20000000`).Replace(config) // nothing here is about time
	from, to := strings.Index(text, `"known"`), strings.Index(text, `"settings"`)
	text = text[:from] + fmt.Sprintf(`"known":{"seq":1,"whole":true,"hosts":[%s]},`, hosts("up", servers...)) + text[to:]
	node := program(t, text, append([]string{"serve"}, more...)...)
	c.Cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, sockets), "sh"}, node.Args...)...)
	c.Env = append(node.Env, "TMPDIR="+dir, "NODE_CONSOLE="+c.console)
	if door != nil {
		c.Env, c.ExtraFiles = append(c.Env, "NODE_INHERITED_FD=3"), []*os.File{door}
	}
	log, err := os.Create(c.log)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	if c.Stderr = log; c.Start() != nil {
		t.Fatal("it does not start")
	}
	t.Cleanup(func() { c.Process.Kill(); c.Wait() })
	until(t, "ready", func() bool { return call(c.console, "GET /ready") == 200 })
	return c
}

// sound ends a process and reads in its log whether it was ever short of a descriptor.
func (c *crowded) sound(t *testing.T) {
	t.Helper()
	c.Process.Signal(syscall.SIGTERM)
	if err := c.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
	said, err := os.ReadFile(c.log)
	if err != nil {
		t.Fatal(err)
	}
	short, first := 0, ""
	for line := range strings.Lines(string(said)) {
		if strings.Contains(line, "too many open files") {
			if short++; short == 1 {
				first = line
			}
		}
	}
	if short > 0 {
		t.Errorf("short of a descriptor %d times, first: %s", short, first)
	}
	if !strings.Contains(string(said), `"attempts not sent":0,`) {
		t.Errorf("attempts found no descriptor: %s", said[strings.LastIndex(string(said), `"attempts sent"`):])
	}
}

// atOnce has so many ask at once, and tells what was not answered 200.
func atOnce(t *testing.T, many int, ask func(i int) (what string, status int)) {
	t.Helper()
	var done sync.WaitGroup
	for i := range many {
		done.Go(func() {
			if what, status := ask(i); status != 200 {
				t.Errorf("%s in a crowd: %d", what, status)
			}
		})
	}
	done.Wait()
}

// view asks for one answer on a connection of its own.
func view(at, id string) (string, int) {
	return "a request", call(at, "GET /view HTTP/1.1\r\nX-Txn: "+id+"\r\nX-Rest:")
}

var orders = []string{"PUT /servers/disable?target=s-1", "GET /ready", "PUT /servers/enable?target=s-1", "GET /ready"}

// Twice as many idle clients as there are descriptors, who come back at once, leave one for discovery, for each attempt, and for
// operators' calls: while discovery is down, when it is back, and behind that.
func TestDescriptorsInACrowd(t *testing.T) {
	for _, c := range []struct {
		sockets, tasks, calls int // the last two at once
		mode                  string
		state                 bool
		most                  int64 // connections that each server takes
		after                 time.Duration
	}{
		{32, 2, 2, "ask", false, 64, 0},
		{64, 8, 4, "ask", true, 64, 0},
		{64, 8, 4, "push", false, 64, 0},
		{64, 4, 4, "ask", true, 4, 0},
		{256, 90, 4, "push", true, 64, 200 * time.Millisecond},
		{1024, 16, 4, "ask", true, 64, 0},
	} {
		t.Run(fmt.Sprintf("%d, %s, servers of %d", c.sockets, c.mode, c.most), func(t *testing.T) {
			var servers []string
			for range 30 {
				servers = append(servers, smallServer(t, c.most, c.after))
			}
			listen, discovery := freeAddress(t), freeAddress(t)
			var more []string
			if c.state {
				more = []string{"--state", filepath.Join(t.TempDir(), "state")}
			}
			node := startCrowded(t, c.sockets, c.mode, listen, discovery, t.TempDir(), nil, servers, more...)
			crowd := gather(t, listen, 2*c.sockets)
			until(t, "a full house", func() bool { return crowd.shut.Load() > int64(c.sockets) })
			rounds := func(name string) {
				for k := range 5 {
					atOnce(t, c.tasks, func(i int) (string, int) { return view(listen, fmt.Sprintf("%s-%d-%d", name, k, i)) })
					atOnce(t, c.calls, func(i int) (string, int) { return orders[i], call(node.console, orders[i]) })
				}
			}
			rounds("down")
			back, err := net.Listen("tcp", discovery)
			if err != nil {
				t.Fatal(err)
			}
			defer back.Close()
			var told atomic.Int64
			go http.Serve(back, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, `{"seq":2,"whole":true,"hosts":[%s]}`+"\n", hosts("up", servers...))
				w.(http.Flusher).Flush()
				told.Add(1)
				<-r.Context().Done()
			}))
			until(t, "a call for the list", func() bool { return told.Load() > 0 })
			rounds("back")
			if status := call(node.console, "PUT /drain"); status != 200 {
				t.Errorf("a drain in a crowd: %d", status)
			}
			if status := call(node.console, "PUT /undrain"); status != 200 {
				t.Errorf("its end: %d", status)
			}
			crowd.leave()
			node.sound(t)
		})
	}
}

// Two processes of a node, at an upgrade in the midst of a crowd, hold no more descriptors together than the node may have.
func TestUpgradeInACrowd(t *testing.T) {
	for _, sockets := range []int{64, 256} {
		t.Run(fmt.Sprint(sockets), func(t *testing.T) {
			var servers []string
			for range 4 {
				servers = append(servers, smallServer(t, 64, 0))
			}
			door, held := heldDoor(t)
			dir, listen := t.TempDir(), door.Addr().String()
			old := startCrowded(t, sockets, "ask", listen, "127.0.0.1:1", dir, held, servers)
			crowd := gather(t, listen, 2*sockets)
			until(t, "a full house", func() bool { return crowd.shut.Load() > int64(sockets) })
			atOnce(t, 4, func(i int) (string, int) { return view(listen, fmt.Sprint("old", i)) })
			fresh := startCrowded(t, sockets, "ask", listen, "127.0.0.1:1", dir, held, servers)
			most := 0
			for k := range 10 {
				atOnce(t, 4, func(i int) (string, int) { return view(listen, fmt.Sprintf("both-%d-%d", k, i)) })
				for _, one := range []*crowded{old, fresh} {
					if status := call(one.console, "GET /ready"); status != 200 {
						t.Errorf("ready in a crowd: %d", status)
					}
				}
				most = max(most, descriptors(old.Process.Pid)+descriptors(fresh.Process.Pid))
			}
			t.Logf("%d descriptors together, of %d", most, sockets)
			if most > sockets {
				t.Errorf("%d descriptors together, of %d", most, sockets)
			}
			old.sound(t)
			atOnce(t, 4, func(i int) (string, int) { return view(listen, fmt.Sprint("fresh", i)) })
			crowd.leave()
			fresh.sound(t)
		})
	}
}
