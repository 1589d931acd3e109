package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// discoveryCommand serves the endpoint list of the plan, at one address for each zone, as the addresses of the servers
// differ between zones. Nothing changes: a watch gets the list, and then an empty line every 2 s.
func discoveryCommand(args []string) error {
	flags, planPath := newFlags("discovery")
	if err := flags.Parse(args); err != nil {
		return err
	}
	p, err := readPlan(*planPath)
	if err != nil {
		return err
	}
	failed := make(chan error)
	for zone, address := range p.Discovery {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		line, err := json.Marshal(p.endpointList(zone))
		if err != nil {
			return err
		}
		go func() { failed <- http.Serve(listener, listHandler(line)) }()
	}
	return <-failed
}

// listHandler answers calls and watches with the complete list.
func listHandler(line []byte) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/endpoints", func(w http.ResponseWriter, r *http.Request) {
		next := append(line, '\n')
		for r.URL.Query().Get("watch") == "1" {
			_, err := w.Write(next)
			if err != nil || http.NewResponseController(w).Flush() != nil {
				return
			}
			next = []byte("\n")
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
		}
		_, _ = w.Write(next) // a caller that has gone needs no list
	})
	return mux
}
