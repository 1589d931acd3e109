package node

// From a request as HTTP to a request as the decisions know it, and the requests that are answered without a decision.

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fawnglade/policy"
)

const (
	maxRequestIDBytes = 128           // the error text for clients says so too
	maxRemainingMs    = 1_000_000_000 // of the time that a client says remains
	maxCostHintUs     = 1_000_000_000_000
)

// handle passes a request to the event loop, or answers at once what needs no decision: a readiness check, a request
// beyond the node's capacity, or one that can't be read.
func (c *clientConn) handle(pending *pendingRequest, r *http.Request) {
	node := c.frontend.node
	if r.URL.Path == pathReady {
		pending.answer(response{status: node.readyStatus()})
		return
	}
	if int(c.frontend.activeConns.Load()) > c.frontend.capacity() {
		pending.closeAfter = true
		c.rejectOverCapacity(pending)
		return
	}
	request, err := node.parseRequest(r, node.clock.now())
	if err != nil {
		node.counters.add(requestsMalformed)
		pending.answer(response{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")})
		return
	}
	overMemory := node.bufferedBytes.Load() > bodyMemoryHardFactor*node.maxBufferedBytes.Load()
	if len(pending.body) > 0 && overMemory { // a streamed body holds its first part
		c.rejectOverCapacity(pending)
		return
	}
	request.StreamingBody = pending.source != nil
	if request.StreamingBody {
		node.counters.add(requestsStreamed)
	}
	pending.request = request
	pending.bufferHead(r)
	node.loop.post(func() { node.loop.requestArrived(pending) })
}

// rejectMalformed answers a request that could not be read. Where the next request on the connection begins is
// unknown then, so that it is closed.
func (c *clientConn) rejectMalformed(pending *pendingRequest, err error) {
	c.frontend.node.counters.add(requestsMalformed)
	pending.closeAfter = true
	pending.answer(response{status: statusFor(err)})
}

func (c *clientConn) rejectOverCapacity(pending *pendingRequest) {
	node := c.frontend.node
	node.counters.add(requestsOverCapacity)
	pending.answer(node.overCapacityResponse())
}

// readyStatus answers a readiness check.
func (n *Node) readyStatus() int {
	if n.notReadyReason() != "" {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// parseRequest reads what the decisions need to know of a request. The text of an error goes to the client.
func (n *Node) parseRequest(r *http.Request, now policy.Time) (policy.Request, error) {
	request := policy.Request{
		ID:          policy.RequestID(r.Header.Get(headerRequestID)),
		ClientRetry: r.Header.Get(headerClientRetry) == "1",
	}
	if request.ID == "" || len(request.ID) > maxRequestIDBytes {
		return request, errors.New(headerRequestID + ": expected an id of at most 128 bytes")
	}
	var err error
	if request.Class, err = n.parseClass(r); err != nil {
		return request, err
	}
	if request.Tenant, err = n.parseTenant(r); err != nil {
		return request, err
	}
	if request.Deadline, err = parseDeadline(r, now, n.settings.Deadlines[request.Class]); err != nil {
		return request, err
	}
	request.CostHint = parseCostHint(r)
	if cookie, err := r.Cookie(affinityCookie); n.settings.Policy.KeyAffinity && err == nil {
		request.Key = cookie.Value
	}
	return request, nil
}

// parseClass finds a request's class by its header, or else by the first part of its path.
func (n *Node) parseClass(r *http.Request) (int, error) {
	name := r.Header.Get(headerClass)
	if name == "" {
		name, _, _ = strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	}
	class, ok := n.classIndex[name]
	if !ok {
		return 0, fmt.Errorf("%s: expected a category of the settings, got %q", headerClass, name)
	}
	return class, nil
}

// parseTenant finds a request's tenant; one that names none is the first tenant's.
func (n *Node) parseTenant(r *http.Request) (int, error) {
	name := r.Header.Get(headerTenant)
	if name == "" {
		return 0, nil
	}
	tenant, ok := n.tenantIndex[name]
	if !ok {
		return 0, fmt.Errorf("%s: expected a customer of the settings, got %q", headerTenant, name)
	}
	return tenant, nil
}

// parseDeadline is the end of the class's time, or of the time that the client says remains, whichever comes first.
func parseDeadline(r *http.Request, now policy.Time, classTime time.Duration) (policy.Time, error) {
	deadline := now.Add(classTime)
	text := r.Header.Get(headerRemaining)
	if text == "" {
		return deadline, nil
	}
	remainingMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remainingMs < 0 || remainingMs > maxRemainingMs {
		return 0, fmt.Errorf("%s: expected whole milliseconds, got %q", headerRemaining, text)
	}
	return min(deadline, now.Add(time.Duration(remainingMs)*time.Millisecond)), nil
}

// parseCostHint is the client's estimate of the request's service time; 0 if it has none, or none that can be read,
// as the request itself is sound.
func parseCostHint(r *http.Request) time.Duration {
	costUs, err := strconv.ParseInt(r.Header.Get(headerCostHint), 10, 64)
	if err != nil || costUs <= 0 || costUs >= maxCostHintUs {
		return 0
	}
	return time.Duration(costUs) * time.Microsecond
}
