package main

import (
	"flag"
	"fmt"
	"net/http"
	"time"
)

// readyTime is how long a node may take until it is ready.
const readyTime = 30 * time.Second

// readyCommand waits until a node says that it is ready.
func readyCommand(args []string) error {
	flags := flag.NewFlagSet("ready", flag.ExitOnError)
	address := flags.String("address", "", "address of the node")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := http.Get("http://" + *address + "/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", *address, readyTime)
}
