package node

import (
	"net"
	"testing"
	"time"
)

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (client net.Conn, server *bufferedConn) {
	t.Helper()
	accepted := make(chan net.Conn, 1)
	held := make(chan struct{})
	address := listen(t, func(c net.Conn) {
		accepted <- c
		<-held
	})
	t.Cleanup(func() { close(held) })
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return client, newBufferedConn(<-accepted, nil)
}

// Guards against dating input by when it is read.
func TestInputArrivals(t *testing.T) {
	client, server := tcpPair(t)
	arrivals := &inputArrivals{conn: server}
	send := func(text string) {
		writeText(client, text)
		awaitTaken(t, client)
	}
	began := time.Now()
	arrivals.begin(began)
	for i := range 3 {
		send("ab")
		arrivals.observe(began.Add(time.Duration(i) * time.Second))
	}
	if err := server.fill(); err != nil { // what is read has arrived as well
		t.Fatal(err)
	}
	late := began.Add(time.Minute)
	send("c")
	arrivals.begin(late)
	const second = time.Second
	for offset, want := range []time.Duration{0, 0, 0, second, second, 2 * second, 2 * second, time.Minute} {
		at, complete := arrivals.completeAt(int64(offset))
		early := began.Add(want).Sub(at)
		if !complete || early < 0 || early > arrivalPollInterval+arrivalResolution {
			t.Errorf("offset %d: got %v after the start, complete %t, want %v, up to %v earlier", offset, at.Sub(began),
				complete, want, arrivalPollInterval+arrivalResolution)
		}
	}
	if _, complete := arrivals.completeAt(8); complete {
		t.Error("input that has not arrived: got complete")
	}
	arrivals.forget(6)
	if got := cap(arrivals.marks); got > 2 {
		t.Errorf("after forgetting all but two marks: got room for %d, want 2", got)
	}
	if at, _ := arrivals.completeAt(1); at.Before(began.Add(time.Second)) {
		t.Errorf("forgotten input: got %v after the start, want the time of what came later", at.Sub(began))
	}
	if at := arrivals.latestAt(); !at.Equal(late) {
		t.Errorf("latest input: got %v after the start, want %v", at.Sub(began), time.Minute)
	}
}

// Guards against memory that grows with an unread connection, and against forgetting what arrived first.
func TestInputArrivalsAreBounded(t *testing.T) {
	arrivals := &inputArrivals{}
	began := time.Now()
	const marks = 3 * maxArrivalMarks
	for i := range marks {
		arrivals.addLocked(arrivalMark{offset: int64(i + 1), at: began.Add(time.Duration(i) * arrivalPollInterval)})
	}
	if got := len(arrivals.marks); got != maxArrivalMarks {
		t.Errorf("got %d marks, want %d", got, maxArrivalMarks)
	}
	for offset, want := range map[int64]time.Duration{1: 0, marks: (marks - 1) * arrivalPollInterval} {
		if at, complete := arrivals.completeAt(offset); !complete || at.Sub(began) != want {
			t.Errorf("offset %d: got %v after the start, complete %t, want %v", offset, at.Sub(began), complete, want)
		}
	}
}
