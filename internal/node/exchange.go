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
	flow   *flow // what follows the body, of one that is too long to hold
}

type exchange struct {
	task   policy.Request
	method string
	last   bool // the client wants its connection closed afterwards
	head   []byte
	body   []byte
	old    bool    // the client speaks HTTP/1.0, which knows no chunks
	source *source // what follows the body, of one that is too long to hold

	left func() bool // whether its client has gone, as far as can be known now; told by the client side

	answered chan answer
	settled  atomic.Bool

	handOffs []*handOff // these two belong to the loop
	open     int
}

func newExchange() *exchange {
	return &exchange{answered: make(chan answer, 1), left: func() bool { return false }}
}

// settle gives the exchange its one answer and tells whether this was it.
func (x *exchange) settle(a answer) bool {
	if !x.settled.CompareAndSwap(false, true) {
		a.drop()
		return false
	}
	x.answered <- a
	return true
}

// keep holds on to a task's message in the form in which it goes out.
func (x *exchange) keep(r *http.Request) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.RequestURI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	endToEnd(r.Header).Write(&b)
	switch {
	case x.source != nil && x.source.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case x.source != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(x.source.length, 10) + "\r\n")
	case len(x.body) > 0 || r.Method == http.MethodPost:
		b.WriteString("Content-Length: " + strconv.Itoa(len(x.body)) + "\r\n")
	}
	x.head = b.Bytes()
}

// headFor is the task's head as it goes out, with the time that the node will wait for its answer.
func (x *exchange) headFor(wait int64) []byte {
	b := make([]byte, 0, len(x.head)+40)
	b = append(append(append(b, x.head...), headerRemaining...), ": "...)
	return append(strconv.AppendInt(b, max(1, wait/milli), 10), "\r\n\r\n"...)
}

// half tells whether the task's body is still coming, or ended before it was whole.
func (x *exchange) half() bool { return x.source != nil && !x.source.whole.Load() }

// spent tells whether the task can't be sent again, as part of its body has gone to a server and is held no more.
func (x *exchange) spent() bool { return x.source != nil && x.source.taken.Load() }

// text is the answer's head as it goes to the client, and whether its body goes in chunks.
func (a *answer) text(x *exchange, last bool) (head []byte, chunks bool) {
	b := bytes.NewBuffer(make([]byte, 0, 512))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.status) + " " + http.StatusText(a.status) + "\r\n")
	length := strconv.Itoa(len(a.body))
	if declared := a.header.Get("Content-Length"); declared != "" && !hasBody(x.method) {
		length = declared
	}
	if a.header != nil {
		a.header.Del("Content-Length")
		a.header.Write(b)
	}
	if a.advice > 0 {
		b.WriteString(headerAdvice + ": " + strconv.FormatFloat(float64(a.advice)/float64(second), 'f', 3, 64) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	switch {
	case a.flow == nil:
		b.WriteString("Content-Length: " + length + "\r\n")
	case a.flow.length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(a.flow.length, 10) + "\r\n")
	case !x.old:
		b.WriteString("Transfer-Encoding: chunked\r\n")
		chunks = true
	}
	b.WriteString("\r\n")
	return b.Bytes(), chunks
}
