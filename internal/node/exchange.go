package node

// This file owns the exchange, the one object in which client side and server side meet: a task as the client side
// read it, and the one answer that the client side is to write. It must never touch a socket, nor know which side
// called it.

import (
	"bytes"
	"net/http"
	"strconv"
	"sync/atomic"

	"fawnglade/policy"
)

// answer is what a client gets; status 0 stands for nothing, as the client has gone.
type answer struct {
	status int
	header http.Header
	body   []byte
	advice int64 // when to come back, where that is told
}

type exchange struct {
	task   policy.Task
	method string
	last   bool // the client wants its connection closed afterwards
	head   []byte
	body   []byte

	answered chan answer
	settled  atomic.Bool

	handOffs []*handOff // these two belong to the loop
	open     int
}

func newExchange() *exchange {
	return &exchange{answered: make(chan answer, 1)}
}

// settle gives the exchange its one answer and tells whether this was it.
func (x *exchange) settle(a answer) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	x.answered <- a
	return true
}

// keep holds on to a task's message in the form in which it goes out.
func (x *exchange) keep(r *http.Request, body []byte) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	endToEnd(r.Header).Write(&b)
	if len(body) > 0 || r.Method == http.MethodPost {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	x.method, x.head, x.body = r.Method, b.Bytes(), body
}

// message is the task as it goes out, with the time that the node will wait for its answer.
func (x *exchange) message(wait int64) []byte {
	b := make([]byte, 0, len(x.head)+len(x.body)+40)
	b = append(append(append(b, x.head...), headerRemaining...), ": "...)
	b = append(strconv.AppendInt(b, max(1, wait/milli), 10), "\r\n\r\n"...)
	return append(b, x.body...)
}

// text is the answer as it goes to the client.
func (a *answer) text(last bool) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	a.header.Write(&b)
	if a.advice > 0 {
		b.WriteString(headerAdvice + ": " + strconv.FormatFloat(float64(a.advice)/float64(second), 'f', 3, 64) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n")
	b.Write(a.body)
	return b.Bytes()
}
