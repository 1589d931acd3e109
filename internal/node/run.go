package node

import (
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"
)

const idleSweepInterval = time.Second

// Signals subscribes to the signals that Run handles. It is to be called early: a SIGTERM before the call ends the
// process even if connections already wait in the listener's backlog.
func Signals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE) // a log that is no longer read is no reason to end
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run serves until the graceful shutdown that SIGTERM or SIGINT begins has ended. During it a further SIGTERM or
// SIGINT changes nothing; SIGUSR1 logs the counters and SIGHUP reloads the configuration at any time.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.limitRuntime()
	n.start()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	var shutDown chan struct{} // closed when the shutdown has ended; nil before it begins
	for {
		select {
		case <-sweep.C:
			n.upstreams.closeExpired()
		case <-shutDown:
			n.close()
			return nil
		case received := <-signals:
			switch {
			case received == syscall.SIGUSR1:
				n.counters.log(n.log, "asked for")
			case received == syscall.SIGHUP:
				n.reload()
			case shutDown == nil:
				shutDown = n.beginShutdown()
			}
		}
	}
}

// reload reads the configuration file again. Only the address of discovery can change while the node runs; other
// changed keys are logged as waiting for a restart. A bad file changes nothing.
func (n *Node) reload() {
	reloaded, err := ReadConfig(n.config.path)
	if err != nil {
		n.counters.add(configReloadsRejected)
		n.log.Error("configuration rejected, the old one kept", zap.Error(err))
		return
	}
	n.counters.add(configReloads)
	n.log.Info("configuration reloaded", zap.String("discovery", reloaded.Discovery),
		zap.Strings("only after a restart", n.config.changedKeys(reloaded)))
	n.endpointWatch.setAddress(reloaded.Discovery)
}

// changedKeys returns the keys that differ in another configuration and that only a restart takes in.
func (c *Config) changedKeys(other *Config) []string {
	var changed []string
	for key, same := range map[string]bool{
		"listen":   other.Listen == c.Listen,
		"limits":   other.Limits == c.Limits,
		"settings": reflect.DeepEqual(other.parsedSettings, c.parsedSettings),
		"news":     reflect.DeepEqual(other.Gossip, c.Gossip),
		"console":  other.AdminListen == c.AdminListen,
	} {
		if !same {
			changed = append(changed, key)
		}
	}
	return changed
}
