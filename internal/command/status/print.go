package status

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackquay/internal/node"
)

func (r report) print(w io.Writer) {
	const row = "%-14s %-18s %-17s %-9s %-12s %-9s %8s %8s %8s\n"
	fmt.Fprintf(w, row, "VM", "FAILURE DOMAIN", "STATE", "VERSION", "ROOT", "AGE", "RUNNING", "WAITING", "MEMBERS")
	for _, line := range r.Nodes {
		if line.Problem != "" {
			fmt.Fprintf(w, "%s no answer: %s\n", line.Address, line.Problem)
			continue
		}
		s := line.Value
		fmt.Fprintf(w, row, s.VM.ID, s.VM.FailureDomain, s.Health.State, s.Applied, s.Root.Short(),
			age(line.AgeSeconds), fmt.Sprint(s.Running), fmt.Sprint(s.Waiting), fmt.Sprint(s.MemberCount))
		line.printDetails(w)
	}
	reachable, lagging := 0, 0
	for _, line := range r.Nodes {
		if line.Problem == "" {
			reachable++
		}
		if line.Lags {
			lagging++
		}
	}
	fmt.Fprintf(w, "newest version %s; %d of %d nodes answer, %d lag\n", r.Newest, reachable, len(r.Nodes), lagging)
	if r.Waited != nil {
		fmt.Fprintln(w, r.Waited)
	}
}

func (l nodeReport) printDetails(w io.Writer) {
	s := l.Value
	if l.Lags {
		fmt.Fprintln(w, "  lags: another node has a newer version, or other content under this number")
	}
	if s.Health.State != node.HealthReady {
		fmt.Fprintf(w, "  %s since %s\n", s.Health.State, s.Health.Since.UTC().Format(time.RFC3339))
	}
	for _, reason := range s.Health.Reasons {
		fmt.Fprintf(w, "  %s\n", reason)
	}
	if len(s.Unreachable) > 0 {
		fmt.Fprintf(w, "  no contact with failure domains: %s\n", strings.Join(s.Unreachable, " "))
	}
	if s.Isolated {
		fmt.Fprintln(w, "  no contact with any peer")
	}
	for _, problem := range s.VersionProblems {
		fmt.Fprintf(w, "  %s: %s from %s at %s\n", problem.Kind, problem.Subject(), problem.From, problem.Time.UTC().Format(time.RFC3339))
		for _, f := range problem.Findings {
			fmt.Fprintf(w, "    %s\n", f)
		}
	}
	for _, reason := range slices.Sorted(maps.Keys(s.RefusedRequests)) {
		fmt.Fprintf(w, "  refused requests: %d %s\n", s.RefusedRequests[reason], reason)
	}
}

func age(seconds float64) string {
	return (time.Duration(seconds) * time.Second).String()
}
