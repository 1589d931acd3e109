package node

// Converting an HTTP request to a policy.Request, and answering the requests that don't reach the policy.

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
	maxRequestIDBytes = 128           // the error text for clients contains the same number
	maxRemainingMs    = 1_000_000_000 // bounds the remaining time in a request
	maxCostHintUs     = 1_000_000_000_000
)

// handle passes a request to the event loop. It answers directly if the request is a readiness check, exceeds the
// node's capacity or is malformed, or if the node does not serve yet.
func (c *clientConn) handle(pending *pendingRequest, r *http.Request) {
	node := c.frontend.node
	if r.URL.Path == pathReady {
		pending.answer(response{status: node.readyStatus()})
		return
	}
	if !node.serving.Load() {
		c.reject(pending, r, requestsBeforeServing, "starting")
		return
	}
	if int(c.frontend.activeConns.Load()) > c.frontend.capacity() {
		pending.closeAfter = true
		c.rejectOverCapacity(pending, r)
		return
	}
	age := max(time.Since(pending.arrivedAt), 0)
	request, err := node.parseRequest(r, node.clock.now().Add(-age))
	if err != nil {
		node.counters.add(requestsMalformed)
		node.recordRefused(r.Header.Get(headerRequestID), http.StatusBadRequest, err.Error())
		pending.answer(response{status: http.StatusBadRequest, body: []byte(err.Error() + "\n")})
		return
	}
	if node.memory.isExhausted() || pending.source != nil && !c.countStreamed(pending) {
		c.rejectOverCapacity(pending, r)
		return
	}
	request.Age = age
	request.StreamingBody = pending.source != nil
	pending.request = request
	pending.bufferHead(r)
	node.memory.force(cap(pending.head))
	node.loop.post(func() { node.loop.requestArrived(pending) })
}

// countStreamed counts a request whose body is streamed, and reports whether there may be one more. Each holds a
// connection to an upstream for as long as its client sends, so they get a part of these connections only.
func (c *clientConn) countStreamed(pending *pendingRequest) bool {
	node := c.frontend.node
	if node.streamedRequests.Add(1) > node.upstreams.maxStreamedRequests() {
		node.streamedRequests.Add(-1)
		return false
	}
	pending.countedStreamed = true
	node.counters.add(requestsStreamed)
	return true
}

// rejectMalformed answers a request that could not be read. It closes the connection, because the start of the next
// request is unknown.
func (c *clientConn) rejectMalformed(pending *pendingRequest, err error) {
	c.frontend.node.counters.add(requestsMalformed)
	c.frontend.node.recordRefused("", statusFor(err), err.Error())
	c.setCloseReason(clientCloseMalformed)
	pending.closeAfter = true
	pending.answer(response{status: statusFor(err)})
}

func (c *clientConn) rejectOverCapacity(pending *pendingRequest, r *http.Request) {
	c.reject(pending, r, requestsOverCapacity, "over capacity")
}

// reject rejects a request that never ran, counts it and records the reason.
func (c *clientConn) reject(pending *pendingRequest, r *http.Request, counted counter, reason string) {
	node := c.frontend.node
	node.counters.add(counted)
	node.recordRefused(r.Header.Get(headerRequestID), http.StatusServiceUnavailable, reason)
	pending.answer(node.overCapacityResponse())
}

// readyStatus returns the response status of a readiness check.
func (n *Node) readyStatus() int {
	if n.notReadyReason() != "" {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// parseRequest extracts what the policy needs from a request that arrived at a time. The text of an error is sent to the
// client.
func (n *Node) parseRequest(r *http.Request, arrivedAt policy.Time) (policy.Request, error) {
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
	if request.Deadline, err = parseDeadline(r, arrivedAt, n.settings.Deadlines[request.Class]); err != nil {
		return request, err
	}
	request.CostHint = parseCostHint(r)
	if cookie, err := r.Cookie(affinityCookie); n.settings.Policy.KeyAffinity && err == nil {
		request.Key = cookie.Value
	}
	return request, nil
}

// parseClass returns a request's class, named by its header or else by the first segment of its path.
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

// parseTenant returns a request's tenant. The default is the first tenant of the settings.
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

// parseDeadline returns the deadline of the class or that of the client's remaining time, whichever is earlier.
func parseDeadline(r *http.Request, arrivedAt policy.Time, classTime time.Duration) (policy.Time, error) {
	deadline := arrivedAt.Add(classTime)
	text := r.Header.Get(headerRemaining)
	if text == "" {
		return deadline, nil
	}
	remainingMs, err := strconv.ParseInt(text, 10, 64)
	if err != nil || remainingMs < 0 || remainingMs > maxRemainingMs {
		return 0, fmt.Errorf("%s: expected whole milliseconds, got %q", headerRemaining, text)
	}
	return min(deadline, arrivedAt.Add(time.Duration(remainingMs)*time.Millisecond)), nil
}

// parseCostHint returns the client's estimate of the request's service time. It returns 0 if the header is missing or
// invalid, because the request itself is still valid.
func parseCostHint(r *http.Request) time.Duration {
	costUs, err := strconv.ParseInt(r.Header.Get(headerCostHint), 10, 64)
	if err != nil || costUs <= 0 || costUs >= maxCostHintUs {
		return 0
	}
	return time.Duration(costUs) * time.Microsecond
}
