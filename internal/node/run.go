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

// Signals subscribes to the signals that Run handles. Call it early: a SIGTERM before the call terminates the process
// at once, even if connections are waiting in the listen backlog.
func Signals() chan os.Signal {
	signal.Ignore(syscall.SIGPIPE) // the process must survive when the reader of its log has exited
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	return signals
}

// Run serves until SIGTERM or SIGINT, then shuts down gracefully and returns. Further SIGTERM and SIGINT signals are
// ignored during the shutdown. SIGUSR1 logs the counters and SIGHUP reloads the configuration at any time. All signals
// are handled as well while the node waits for discovery and is not ready yet.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.limitRuntime()
	n.startComponents()
	go n.becomeReady()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	var shutDown chan struct{} // closed when the shutdown has ended; nil until it begins
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
				n.log.Info("resources in use", n.resourceUsage().fields()...)
			case received == syscall.SIGHUP:
				n.reload()
			case shutDown == nil:
				shutDown = n.beginShutdown()
			}
		}
	}
}

// reload reads the configuration file again. Only the discovery address can change while the node runs; the keys that
// changedKeys returns are logged as taking effect only after a restart. An invalid file changes nothing.
func (n *Node) reload() {
	reloaded, err := rereadConfig(n.config.path)
	if err != nil {
		n.counters.add(configReloadsRejected)
		n.log.Error("invalid configuration rejected; keeping the previous one", zap.Error(err))
		return
	}
	n.counters.add(configReloads)
	n.log.Info("configuration reloaded", zap.String("discovery", reloaded.Discovery),
		zap.Strings("only after a restart", n.config.changedKeys(reloaded)))
	n.endpointWatch.setAddress(reloaded.Discovery)
}

// changedKeys returns which of the keys listen, limits, settings, news and console differ in another configuration.
// They take effect only after a restart.
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
