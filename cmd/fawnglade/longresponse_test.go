package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// strictProfiles are classes whose responses have no value after the objective, so that attempts last no longer.
const strictProfiles = `
{"deadline_us":300000,"name":"view","objective_us":150000,"late_worth":0,"repeat":"safe"},
{"deadline_us":1200000,"group":"zone","memory_span_us":1000000,"name":"update","objective_us":300000,"late_worth":0,
"repeat":"keyed"},
{"deadline_us":1500000,"name":"pay","objective_us":500000,"late_worth":0,"repeat":"unsafe"}`

var strictDeadlines = map[string]time.Duration{
	"view":   300 * time.Millisecond,
	"update": 1200 * time.Millisecond,
	"pay":    1500 * time.Millisecond,
}

// lumpPause is the time between two parts of a response that an upstream writes in lumps, and before a late body.
const lumpPause = 450 * time.Millisecond

// longResponse is a response over 64 KiB that its upstream writes slowly.
type longResponse struct {
	framing string // "close", "chunked" or "length"
	rhythm  string // "late body", "lumps" or "steady"
	bytes   int
}

func (r longResponse) head() string {
	switch r.framing {
	case "close":
		return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	case "chunked":
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", r.bytes)
}

// write writes the response at its rhythm.
func (r longResponse) write(conn net.Conn) {
	part, pause := 48<<10, lumpPause
	if r.rhythm != "lumps" {
		part, pause = 8<<10, 20*time.Millisecond
	}
	writeText(conn, r.head())
	if r.rhythm == "late body" {
		time.Sleep(lumpPause)
	}
	for left := r.bytes; left > 0; left -= part {
		n := min(part, left)
		text := strings.Repeat("z", n)
		if r.framing == "chunked" {
			text = fmt.Sprintf("%x\r\n%s\r\n", n, text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
	if r.framing == "chunked" {
		writeText(conn, "0\r\n\r\n")
	}
}

// startSlowUpstream starts an upstream that answers each request as its ID says.
func startSlowUpstream(t *testing.T, responses *sync.Map) string {
	return startTCPServer(t, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			forwardedIDs.Store(r.Header.Get("X-Txn"), true)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			response, found := responses.Load(r.Header.Get("X-Txn"))
			if !found {
				writeText(c, responseWith("200 OK", "short"))
				continue
			}
			long := response.(longResponse)
			responses.Store(r.Header.Get("X-Txn")+" begun", true)
			long.write(c)
			if long.framing == "close" {
				return
			}
		}
	})
}

// checkLongResponse sends a request and checks that the response begins before the deadline and comes whole.
func checkLongResponse(t *testing.T, responses *sync.Map, address, class, id string, want longResponse) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	sentAt := time.Now()
	method := "POST"
	if class == "view" {
		method = "GET"
	}
	text := requestHead(method, class, id)
	if method == "POST" {
		text += "Content-Length: 0\r\n"
	}
	writeText(conn, text+"\r\n")
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	began := time.Since(sentAt)
	if err != nil {
		t.Errorf("%s, %+v: no response: %v", class, want, err)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if _, sent := responses.Load(id + " begun"); !sent && r.StatusCode == http.StatusServiceUnavailable {
		return // rejected without an attempt
	}
	if r.StatusCode != http.StatusOK || err != nil || int(n) != want.bytes || began > strictDeadlines[class] {
		t.Errorf("%s, %+v: got status %d after %v, %d bytes, error %v, want all of it, begun within %v",
			class, want, r.StatusCode, began, n, err, strictDeadlines[class])
	}
}

// Guards against cutting off a long response that its upstream is still writing.
func TestLongResponseWrittenSlowlyIsNotCutOff(t *testing.T) {
	var responses sync.Map
	var upstreams []string
	for range 3 {
		upstreams = append(upstreams, startSlowUpstream(t, &responses))
	}
	listen := freeAddress(t)
	startProcess(t, playConfig(listen, strictProfiles, upstreams...), listen)
	var done sync.WaitGroup
	count := 0
	for _, framing := range []string{"close", "chunked", "length"} {
		for _, rhythm := range []string{"late body", "lumps", "steady"} {
			for _, class := range []string{"view", "update", "pay"} {
				response := longResponse{framing, rhythm, 100_000 + rand.IntN(200_000)}
				id := fmt.Sprint("long", count)
				count++
				responses.Store(id, response)
				done.Go(func() { checkLongResponse(t, &responses, listen, class, id, response) })
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	done.Wait()
}
