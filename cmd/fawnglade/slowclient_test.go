package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// slowClient misuses a connection until stop is closed.
type slowClient func(conn net.Conn, id string, stop <-chan struct{})

// sendSlowly writes the text in small parts.
func sendSlowly(conn net.Conn, text string, part int, pause time.Duration, stop <-chan struct{}) {
	for len(text) > 0 {
		n := min(part, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func requestHead(method, path, id string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: h\r\nX-Txn: %s\r\nIdempotency-Key: %s\r\n", method, path, id, id)
}

func slowBody(conn net.Conn, id string, stop <-chan struct{}) {
	writef(conn, "%sContent-Length: 1000000\r\n\r\n", requestHead("POST", "update", id))
	sendSlowly(conn, strings.Repeat("x", 1_000_000), 6_400, 100*time.Millisecond, stop)
}

func stoppedBody(conn net.Conn, id string, stop <-chan struct{}) {
	writef(conn, "%sContent-Length: 1000000\r\n\r\n%s", requestHead("POST", "update", id), strings.Repeat("x", 500_000))
	<-stop
}

func stoppedChunkedBody(conn net.Conn, id string, stop <-chan struct{}) {
	head := requestHead("POST", "pay", id) + "Transfer-Encoding: chunked\r\n\r\n"
	writef(conn, "%sf4240\r\n%s", head, strings.Repeat("x", 500_000))
	<-stop
}

func manyFields(conn net.Conn, id string, stop <-chan struct{}) {
	var fields strings.Builder
	for i := 0; fields.Len() < 15<<10; i++ {
		fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
			head := requestHead("GET", "view", fmt.Sprint(id, "-", i))
			if _, err := io.WriteString(conn, head+fields.String()+"\r\n"); err != nil {
				return
			}
		}
	}
}

func slowHead(conn net.Conn, id string, stop <-chan struct{}) {
	head := requestHead("GET", "view", id) + "X-Rest: " + strings.Repeat("x", 15<<10)
	sendSlowly(conn, head, 4<<10, 100*time.Millisecond, stop)
	<-stop
}

func slowReaderOfLongResponse(conn net.Conn, id string, stop <-chan struct{}) {
	writeText(conn, requestHead("GET", "view/long", id)+"\r\n")
	for buffer := make([]byte, 4<<10); ; {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func slowReaderOfChunkedResponse(conn net.Conn, id string, stop <-chan struct{}) {
	writeText(conn, requestHead("GET", "view/chunked", id)+"\r\n")
	<-stop
}

// runSlowClients runs the clients on connections of their own, and returns once all have ended.
func runSlowClients(address string, count int, client func(i int) slowClient) {
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range count {
		done.Go(func() {
			for k := 0; ; k++ {
				conn, err := net.Dial("tcp", address)
				if err == nil {
					closeAt := time.AfterFunc(slowPlay, func() { conn.Close() })
					client(i)(conn, fmt.Sprintf("slow%d-%d", i, k), stop)
					closeAt.Stop()
					conn.Close()
				}
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(slowPlay)
	close(stop)
	done.Wait()
}
