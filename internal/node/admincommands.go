package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"go.uber.org/zap"
)

// The admin API's calls. GET calls report state. PUT calls change only overrides, and the response is sent after the
// change has been written to the overrides file.

// adminResponse is the response to a call: one line of plain text.
type adminResponse struct {
	status int
	text   string
	allow  string // the allowed method, if the call used another one
}

func (a adminResponse) encode() []byte {
	var b strings.Builder
	text := strings.Map(controlToSpace, a.text) + "\n"
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	fmt.Fprintf(&b, "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n", len(text))
	if a.allow != "" {
		b.WriteString("Allow: " + a.allow + "\r\n")
	}
	b.WriteString("\r\n" + text)
	return []byte(b.String())
}

func controlToSpace(r rune) rune {
	if r < ' ' {
		return ' '
	}
	return r
}

func ok(text string) adminResponse { return adminResponse{status: http.StatusOK, text: text} }

func unavailable(reason string) adminResponse {
	return adminResponse{status: http.StatusServiceUnavailable, text: reason}
}

// handle executes a call and returns the response.
func (s *adminServer) handle(r *http.Request) adminResponse {
	method, known := adminMethods[r.URL.Path]
	if !known || !s.isEnabled(r.URL.Path) {
		return adminResponse{status: http.StatusNotFound, text: "no such call"}
	}
	if r.Method != method {
		return adminResponse{status: http.StatusMethodNotAllowed, text: "expected " + method, allow: method}
	}
	switch r.URL.Path {
	case pathReady:
		if reason := s.node.notReadyReason(); reason != "" {
			return unavailable(reason)
		}
		return ok("ready")
	case pathMembers:
		text, err := s.node.members.viewJSON()
		if err != nil {
			return unavailable(err.Error())
		}
		return ok(text)
	case pathState:
		return ok(s.node.persistence.statusJSON())
	case pathRelays:
		return ok(s.node.relays.StatusJSON())
	default:
		return s.handleOverride(r)
	}
}

// isEnabled reports whether the feature behind a path is enabled on this node.
func (s *adminServer) isEnabled(path string) bool {
	switch path {
	case pathMembers:
		return s.node.members != nil
	case pathState:
		return s.node.persistence != nil
	case pathRelays:
		return s.node.relays != nil
	}
	return true
}

// handleOverride applies the override change of a PUT call.
func (s *adminServer) handleOverride(r *http.Request) adminResponse {
	change := drainChanges[r.URL.Path]
	if change == nil {
		target, errorResponse := s.target(r.URL.RawQuery)
		if errorResponse != nil {
			return *errorResponse
		}
		now := s.node.clock.now()
		if r.URL.Path == pathEnable {
			change = func(o *overrideSet) string { return o.enable(target, now) }
		} else {
			change = func(o *overrideSet) string { return o.disable(target, now) }
		}
	}
	newState, err := s.node.overrides.change(change)
	if err != nil {
		s.node.log.Error("override not changed", zap.String("call", r.URL.Path), zap.Error(err))
		text := "override not written, state is unchanged: " + err.Error()
		return adminResponse{status: http.StatusInternalServerError, text: text}
	}
	s.node.log.Info("override changed", zap.String("call", r.URL.RequestURI()), zap.String("now", newState))
	return ok(newState)
}

var drainChanges = map[string]func(*overrideSet) string{
	pathDrain: func(o *overrideSet) string {
		o.drained = true
		return "drained"
	},
	pathUndrain: func(o *overrideSet) string {
		o.drained = false
		return "serving"
	},
}

// target returns the endpoint named in a call's query, or an error response if the name is missing or unknown.
func (s *adminServer) target(query string) (name string, errorResponse *adminResponse) {
	name, err := parseTarget(query)
	if err != nil {
		return "", &adminResponse{status: http.StatusBadRequest, text: err.Error()}
	}
	if !s.node.overrides.isKnown(name) {
		text := fmt.Sprintf("target: expected a server that has been listed, got %q", name)
		return "", &adminResponse{status: http.StatusNotFound, text: text}
	}
	return name, nil
}

// parseTarget returns the single target of a query.
func parseTarget(query string) (string, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return "", errors.New("target: a query that cannot be read")
	}
	switch targets := values[queryTarget]; {
	case len(targets) == 0:
		return "", errors.New("target: expected a server's id, got none")
	case len(targets) > 1:
		return "", fmt.Errorf("target: expected one server's id, got %d", len(targets))
	case targets[0] == "":
		return "", errors.New("target: expected a server's id, got an empty one")
	default:
		return targets[0], nil
	}
}
