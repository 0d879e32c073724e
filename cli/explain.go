package cli

import (
	"io"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/gooseberryshed/gooseberryshed/explain"
)

func explainCommand() *cobra.Command {
	var survey bool
	cmd := &cobra.Command{
		Use:   "explain ID [LOG ...] | explain --survey [LOG ...]",
		Short: "Tell the story of one request from the hosts' logs",
		Long: `Reads decision logs of any number of hosts, from files or from standard input,
and prints what was decided about the request with the given id and about the
calls made for it, in order of time, and the cause of its end.

With --survey it counts the causes of all requests that were refused, failed,
late or left by their callers, with an id of each to explain.`,
		Example: "  gooseberryshed explain 9c41d07be2a35f68 host-*.log\n  cat host-*.log | gooseberryshed explain 9c41d07be2a35f68\n" +
			"  gooseberryshed explain --survey host-*.log",
		Args: func(_ *cobra.Command, args []string) error {
			if !survey && (len(args) == 0 || args[0] == "") {
				return usageError{errors.New("no id; pass that of one request, or --survey for all")}
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			if survey {
				return runSurvey(cmd, args)
			}
			id := args[0]
			lines, err := readLogs(cmd.InOrStdin(), args[1:], func(name string, r io.Reader) ([]explain.Line, error) {
				return explain.Read(name, r, id)
			})
			if err != nil {
				return err
			}
			return explain.WriteTimeline(cmd.OutOrStdout(), lines, id)
		},
	}
	cmd.Flags().BoolVar(&survey, "survey", false, "count the causes of all requests instead of telling one story")
	return cmd
}

func runSurvey(cmd *cobra.Command, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files, explain.ReadAll)
	if err != nil {
		return err
	}
	return explain.NewSurvey(lines).Write(cmd.OutOrStdout())
}

// readLogs reads the named logs, or standard input when there are none.
func readLogs(stdin io.Reader, files []string, read func(name string, r io.Reader) ([]explain.Line, error)) ([]explain.Line, error) {
	if len(files) == 0 {
		return read("stdin", stdin)
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log; check the file's name")
		}
		lines, err := read(name, f)
		f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
