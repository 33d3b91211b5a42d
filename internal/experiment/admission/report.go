package admission

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Report holds all runs of an experiment. It can be encoded as JSON.
type Report struct {
	Config Config   `json:"config"`
	Runs   []Result `json:"runs"`
}

// Result is the result of one run. Fractions are fractions of the capacity.
type Result struct {
	Experiment string    `json:"experiment"`
	Detail     string    `json:"detail"`
	Deployment string    `json:"deployment"`
	Policy     Policy    `json:"policy"`
	Placement  Placement `json:"placement"`
	// Goodput is the fraction used for requests that completed in time.
	Goodput float64 `json:"goodput"`
	// Shortfall is the fraction that customers were guaranteed and demanded but did
	// not receive, because others used it or it was idle.
	Shortfall float64 `json:"taken"`
	// IdleAtTarget is the fraction that was idle while a request waited at the same
	// target, IdleInFleet while a request waited at any target.
	IdleAtTarget float64        `json:"idle_at_target"`
	IdleInFleet  float64        `json:"idle_in_fleet"`
	Customers    []Customer     `json:"customers"`
	Streams      []Stream       `json:"streams"`
	Refusals     map[string]int `json:"refusals"`
}

// Customer is the result of one customer.
type Customer struct {
	Name string `json:"name"`
	// Guaranteed, Demand and Received are fractions of the capacity.
	Guaranteed float64 `json:"promised"`
	Demand     float64 `json:"demand"`
	Received   float64 `json:"received"`
	// Fulfilled is Received / min(Demand, Guaranteed), at most 1.
	Fulfilled float64 `json:"kept"`
	// MaxHeld and LimitSlots count slots over all targets.
	MaxHeld    int     `json:"held_most"`
	LimitSlots float64 `json:"limit_slots"`
}

// Stream is the result of one class of one customer. Waits are in milliseconds.
type Stream struct {
	Customer string  `json:"customer"`
	Class    string  `json:"class"`
	Offered  int     `json:"offered"`
	Refused  int     `json:"refused"`
	WaitP50  float64 `json:"wait_p50_ms"`
	WaitP99  float64 `json:"wait_p99_ms"`
	WaitP999 float64 `json:"wait_p999_ms"`
}

func (r *Report) add(result Result) { r.Runs = append(r.Runs, result) }

// MinFulfilled returns the smallest fraction of its contract that any customer
// received.
func (r *Result) MinFulfilled() float64 {
	lowest := 1.0
	for i := range r.Customers {
		lowest = min(lowest, r.Customers[i].Fulfilled)
	}
	return lowest
}

// Stream returns the result of a customer's class, or nil.
func (r *Result) Stream(customer, class string) *Stream {
	for i := range r.Streams {
		if r.Streams[i].Customer == customer && r.Streams[i].Class == class {
			return &r.Streams[i]
		}
	}
	return nil
}

// WriteText writes the report as one table for each deployment and experiment.
func (r *Report) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "seed %d, %g s of virtual time a run; waits in ms as p50/p99/p99.9\n", r.Config.Seed, r.Config.Seconds)
	heading := ""
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range r.Runs {
		run := &r.Runs[i]
		if next := run.Experiment + ", " + run.Deployment; next != heading {
			heading = next
			fmt.Fprintf(table, "\n%s\ncase\tpolicy\tplacement\tgoodput\ttaken\tidle target\tidle fleet\tkept\twaits\trefused\n", heading)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.3f\t%.3f\t%.4f\t%.4f\t%s\t%s\t%s\n", run.Detail, run.Policy, run.Placement,
			run.Goodput, run.Shortfall, run.IdleAtTarget, run.IdleInFleet, run.fulfilledText(), run.waitText(), run.refusedText())
	}
	return table.Flush()
}

func (r *Result) fulfilledText() string {
	var list []string
	for _, c := range r.Customers {
		text := fmt.Sprintf("%s %.3f", c.Name, c.Fulfilled)
		if r.Experiment == "limit" {
			text += fmt.Sprintf(" (held %d, limit %.1f)", c.MaxHeld, c.LimitSlots)
		}
		list = append(list, text)
	}
	return strings.Join(list, ", ")
}

func (r *Result) waitText() string {
	var list []string
	for _, s := range r.Streams {
		list = append(list, fmt.Sprintf("%.1f/%.1f/%.1f", s.WaitP50, s.WaitP99, s.WaitP999))
	}
	return strings.Join(list, ", ")
}

func (r *Result) refusedText() string {
	var list []string
	for _, reason := range slices.Sorted(maps.Keys(r.Refusals)) {
		list = append(list, fmt.Sprintf("%s %d", reason, r.Refusals[reason]))
	}
	return strings.Join(list, ", ")
}
