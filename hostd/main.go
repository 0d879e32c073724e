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

// Command returns the command that runs the daemon on the platform.
func Command() *cobra.Command {
	var metricsPort int
	var o Options
	cmd := &cobra.Command{
		Use:   "host",
		Short: "Run beside the target of one host of the Kárpitház platform",
		Long: `Runs beside the target of one host of the Kárpitház platform. The host's facts
come from the settings file that the environment variable ` + karpithaz.SettingsVariable + ` names.

SIGTERM and SIGINT start a planned stop that cuts no request.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return run(o, metricsPort) },
	}
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port of the metrics page at the host's address; 0 has none")
	cmd.Flags().StringVar(&o.GateBind, "gate-bind", "", "IP:port to listen on for other daemons' requests, if it is not the address in the settings, which they use")
	cmd.Flags().StringVar(&o.DatagramBind, "datagram-bind", "", "IP:port to listen on for other daemons' datagrams, likewise")
	return cmd
}

// maxPort is the highest TCP port.
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
	signals := make(chan os.Signal, signalBacklog)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	go obey(h, signals, cancel)
	return h.Run(ctx)
}

// signalBacklog is how many signals may wait while one is obeyed.
const signalBacklog = 8

// obey does what signals ask for. Further signals to stop start the time of the
// planned stop anew.
func obey(h *Host, signals <-chan os.Signal, stop context.CancelFunc) {
	stopping := false
	for s := range signals {
		switch {
		case s == syscall.SIGHUP:
			h.Reload()
		case stopping:
			h.StopAgain()
		default:
			stopping = true
			stop()
		}
	}
}
