package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/explain"
)

func explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG ...]",
		Short: "Tell the story of one request from the hosts' logs",
		Long: `Reads decision logs of any number of hosts, from files or from standard input,
and prints what was decided about the request with the given id and about the
calls made for it, in order of time, and the cause of its end.`,
		Example: "  gooseberryshed explain 9c41d07be2a35f68 host-*.log\n  cat host-*.log | gooseberryshed explain 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[0] == "" {
				return usageError{errors.New("the id is empty; pass that of one request")}
			}
			lines, err := readLogs(cmd.InOrStdin(), args[0], args[1:])
			if err != nil {
				return err
			}
			return explain.Tell(cmd.OutOrStdout(), lines, args[0])
		},
	}
}

func readLogs(stdin io.Reader, id string, files []string) ([]explain.Line, error) {
	if len(files) == 0 {
		return explain.Read("stdin", stdin, id)
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log; check the file's name")
		}
		lines, err := explain.Read(name, f, id)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
