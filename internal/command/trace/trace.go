// Package trace implements 'tamarackctl trace', which collects the log lines of all
// nodes about one request.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"tamarackquay/internal/command"
	"tamarackquay/internal/logfield"
)

// New returns the subcommand.
func New() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "trace REQUEST-ID [FILE...]",
		Short: "Show the nodes' decisions on a request, in order, and the state that each was based on",
		Long: "Show every log line of a request across nodes, in order of time, with the load report that each decision was based on, and its age.\n\n" +
			"The lines come from the named files, or from standard input. Text before the JSON object of a line is skipped.\n" +
			"The exit code is 1 if no line names the request.",
		Example: "  tamarackctl trace 9c41d07be2a35f68 node-*.log\n" +
			"  collector query 'request=9c41d07be2a35f68' | tamarackctl trace 9c41d07be2a35f68 --output json",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return o.run(c, args[0], args[1:]) },
	}
	command.AddFormat(c, &o.format)
	return c
}

type options struct{ format command.Format }

func (o *options) run(c *cobra.Command, id string, files []string) error {
	lines, err := readLines(id, files, c.InOrStdin())
	if err != nil {
		return err
	}
	if o.format == command.FormatJSON {
		err = command.PrintJSON(c.OutOrStdout(), lines)
	} else {
		err = printText(c.OutOrStdout(), lines)
	}
	if err == nil && len(lines) == 0 {
		return command.ErrFindings
	}
	return err
}

// Line is one log line: its time, node and message, and all other fields.
type Line struct {
	Time    time.Time      `json:"time"`
	Node    string         `json:"node"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func readLines(id string, files []string, stdin io.Reader) ([]Line, error) {
	lines := []Line{}
	if len(files) == 0 {
		found, err := scanLines(id, stdin)
		lines = append(lines, found...)
		if err != nil {
			return nil, errors.Wrap(err, "read standard input")
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		found, err := scanLines(id, file)
		// An error on closing a file that was only read has no effect.
		_ = file.Close()
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

func scanLines(id string, from io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(id, scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a log line of the request. It skips lines of other programs and
// truncated lines, and ignores text before the JSON object.
func parseLine(id string, text []byte) (Line, bool) {
	if !bytes.Contains(text, []byte(id)) {
		return Line{}, false
	}
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil || fields[logfield.Request] != id {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Node, _ = fields["node"].(string)
	line.Message, _ = fields["message"].(string)
	timestamp, _ := fields["time"].(string)
	// A line without a valid time is shown first.
	line.Time, _ = time.Parse(time.RFC3339Nano, timestamp)
	for _, name := range []string{"node", "message", "time", "level", logfield.Request} {
		delete(fields, name)
	}
	return line, true
}

// leadingFields are shown first, in this order. The others follow, sorted by name.
var leadingFields = []string{
	logfield.Outcome, logfield.Reason, logfield.Status, logfield.Target, logfield.ReportedLoad, logfield.ReportedLoadAge,
	logfield.Elapsed, logfield.TimeLeft, logfield.RetryAfter,
}

func printText(w io.Writer, lines []Line) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", line.Time.Format("15:04:05.000"), line.Node, line.Message, formatFields(line.Fields))
	}
	return table.Flush()
}

func formatFields(fields map[string]any) string {
	var names []string
	for _, name := range leadingFields {
		if _, ok := fields[name]; ok {
			names = append(names, name)
		}
	}
	var others []string
	for name := range fields {
		if !slices.Contains(leadingFields, name) {
			others = append(others, name)
		}
	}
	slices.Sort(others)
	var parts []string
	for _, name := range append(names, others...) {
		parts = append(parts, fmt.Sprintf("%s=%v", name, fields[name]))
	}
	return strings.Join(parts, " ")
}
