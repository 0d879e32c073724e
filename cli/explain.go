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
		Short: "Trace one request through the decision logs of hosts",
		Long: `Read the decision logs of any number of hosts, from files or standard input, and
print in chronological order the decisions about the request with the given id
and about the calls made for it, followed by the cause of its outcome.

With --survey, count the causes of all requests that were refused, failed, late
or abandoned by their callers, with an example id for each cause.`,
		Example: "  gooseberryshed explain 9c41d07be2a35f68 host-*.log\n  cat host-*.log | gooseberryshed explain 9c41d07be2a35f68\n" +
			"  gooseberryshed explain --survey host-*.log",
		Args: func(_ *cobra.Command, args []string) error {
			if !survey && (len(args) == 0 || args[0] == "") {
				return usageError{errors.New("no request id; pass the id of a request, or --survey to summarize all requests")}
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
	cmd.Flags().BoolVar(&survey, "survey", false, "count the causes of all requests instead of tracing one request")
	return cmd
}

func runSurvey(cmd *cobra.Command, files []string) error {
	lines, err := readLogs(cmd.InOrStdin(), files, explain.ReadAll)
	if err != nil {
		return err
	}
	return explain.NewSurvey(lines).Write(cmd.OutOrStdout())
}

// readLogs reads the named log files, or standard input if none are named.
func readLogs(stdin io.Reader, files []string, read func(name string, r io.Reader) ([]explain.Line, error)) ([]explain.Line, error) {
	if len(files) == 0 {
		return read("stdin", stdin)
	}
	var all []explain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log file; check the file name")
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
