package node

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// serveFixedResponse answers each request that ends with the benchmark's end marker, without parsing it, so that the
// upstream costs little compared with the node.
func serveFixedResponse(c net.Conn) {
	buffer := make([]byte, 8192)
	received := 0
	for {
		n, err := c.Read(buffer[received:])
		if err != nil {
			return
		}
		received += n
		if !bytes.HasSuffix(buffer[:received], []byte("!!!!")) {
			continue
		}
		received = 0
		const answer = "HTTP/1.1 200 OK\r\nX-Pressure: queue=0\r\nContent-Length: 4\r\n\r\ndone"
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// BenchmarkNode measures requests with a body of 200 bytes over 32 client connections. Clients and upstreams run in the
// same process as the node.
func BenchmarkNode(b *testing.B) {
	for _, upstreamCount := range []int{8, 64, 512, 4096} {
		b.Run(fmt.Sprint(upstreamCount), func(b *testing.B) {
			t := &testing.T{}
			var addresses []string
			for range upstreamCount {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer l.Close()
				addresses = append(addresses, l.Addr().String())
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go func() { defer c.Close(); serveFixedResponse(c) }()
					}
				}()
			}
			n := newNode(t, func(c *Config) { c.Limits.Sockets = 16384 }, addresses...)
			defer n.frontend.listener.Close()
			n.start()
			body := bytes.Repeat([]byte("x"), 196)
			body = append(body, "!!!!"...)
			var remaining, rejected atomic.Int64
			remaining.Store(int64(b.N))
			var clients sync.WaitGroup
			b.ReportAllocs()
			b.ResetTimer()
			for client := range 32 {
				clients.Go(func() {
					c, err := net.Dial("tcp", n.address())
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					buf := make([]byte, 4096)
					for i := remaining.Add(-1); i >= 0; i = remaining.Add(-1) {
						writef(c, "POST /batch HTTP/1.1\r\nHost: h\r\nX-Txn: t%d-%d\r\nX-Lane: batch\r\n"+
							"X-Org: acme\r\nX-Remaining-Ms: 9000\r\n"+
							"Content-Length: 200\r\n\r\n%s", client, i, body)
						received, err := c.Read(buf)
						if err != nil {
							b.Error(err)
							return
						}
						if !bytes.HasPrefix(buf[:received], []byte("HTTP/1.1 200")) {
							rejected.Add(1)
						}
					}
				})
			}
			clients.Wait()
			b.ReportMetric(float64(rejected.Load()), "rejected")
		})
	}
}
