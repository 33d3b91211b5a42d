package targetreport

// Load is the load that a target reports in a response.
type Load struct {
	// Running and Waiting are the requests at the target, and Slots how many it runs at a
	// time. All three are zero if the target reports none.
	Running, Waiting, Slots int
	// WorkFactor is how long work takes on the target's VM at the moment, as a multiple of
	// the usual time; 0 if the target doesn't report it.
	WorkFactor float64
}

// HasFreeSlots reports whether the load leaves free slots. A target that sheds requests with free
// slots is unhealthy rather than full: sending fewer requests would not make it shed less.
func (l Load) HasFreeSlots() bool { return l.Running+l.Waiting < l.Slots }
