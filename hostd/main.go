package hostd

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/platform/karpithaz"
)

// Command returns the command that runs the daemon.
func Command() *cobra.Command {
	var metricsPort int
	var o Options
	cmd := &cobra.Command{
		Use:   "host",
		Short: "Run the daemon of one host on the Kárpitház platform",
		Long: `Runs the daemon that serves the target of one host on the Kárpitház platform.
The host's settings are read from the file named by the environment variable ` + karpithaz.SettingsEnvVar + `.

SIGTERM and SIGINT start a graceful stop that does not cut requests. SIGHUP reloads the settings.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(o, metricsPort) },
	}
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port of the metrics page at the host's address; 0 disables it")
	cmd.Flags().StringVar(&o.GateBind, "gate-bind", "", "IP:port to listen on for requests from other daemons, if it differs from the advertised address in the settings")
	cmd.Flags().StringVar(&o.DatagramBind, "datagram-bind", "", "IP:port to listen on for datagrams from other daemons, if it differs from the advertised address in the settings")
	return cmd
}

const maxPort = 65535

func run(o Options, metricsPort int) error {
	if metricsPort < 0 || metricsPort > maxPort {
		return errors.Errorf("--metrics-port %d is not a port; use 0 to %d", metricsPort, maxPort)
	}
	for flag, addr := range map[string]string{"gate-bind": o.GateBind, "datagram-bind": o.DatagramBind} {
		if _, err := netip.ParseAddrPort(addr); addr != "" && err != nil {
			return errors.Wrapf(err, "--%s %q is not an address; write it like 10.0.0.1:7000", flag, addr)
		}
	}
	set, err := karpithaz.LoadSettings()
	if err != nil {
		return err
	}
	o.Settings, o.Output = set, os.Stdout
	if metricsPort > 0 {
		o.MetricsListen = net.JoinHostPort(set.IP, strconv.Itoa(metricsPort))
	}
	h, err := New(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go handleSignals(h, signals, cancel)
	return h.Run(ctx)
}

// signalBuffer is the number of signals that can be pending while one is
// handled.
const signalBuffer = 8

// handleSignals reloads the settings on SIGHUP and stops the host on any other
// signal. Further stop signals change nothing: the platform may count its time limit
// from any of them, and the first one is safe in every case.
func handleSignals(h *Host, signals <-chan os.Signal, stop context.CancelFunc) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			h.Reload()
		case stopping:
			h.log.Logger().Info("asked to stop again; the time limit of the first signal holds", "signal", s)
		default:
			stopping = true
			stop()
		}
	}
}
