// Command standin-platform serves an in-memory fake of the platform over HTTP,
// for tests.
package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/platform/standin"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     "standin-platform",
		Short:   "Serve an in-memory fake of the platform for tests",
		Example: "  standin-platform --listen 127.0.0.1:0",
		Args:    cobra.NoArgs,
		RunE:    func(cmd *cobra.Command, _ []string) error { return run(cmd.Context(), listen) },
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:0", "IP:port to listen on; port 0 selects a free port")
	return cmd
}

func run(ctx context.Context, listen string) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	logger := log.NewWithOptions(os.Stderr, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	srv := standin.New().Server()
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	logger.Info("listening", "address", ln.Addr().String())
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return srv.Shutdown()
	}
}
