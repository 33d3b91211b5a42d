package placement

import "time"

// WorkMargin is how many times the usual work must fit into the time after a wait. A request that
// starts with less is likely to be cut off at its deadline, and its work is wasted.
const WorkMargin = 1.5

// refusalProbability returns the probability that the target's owner node refuses the request because
// the wait for a slot is too long. Without it, all requests go to fast targets until these refuse,
// while slower ones have free slots. It counts only for services whose targets report how long work
// takes, which makes the expected wait exact enough. The curve is soft, because other nodes have sent
// requests since the report.
func (s *Stats) refusalProbability(r *Request, wait, hold time.Duration) float64 {
	if wait <= 0 || !s.Service.ReportsSlowdown() {
		return 0
	}
	allowed := r.TimeLeft - time.Duration(WorkMargin*float64(max(hold, r.Route.Hold)))
	if r.Late || allowed <= 0 {
		allowed = r.LateWait
	}
	if allowed <= 0 {
		return 1
	}
	ratio := float64(wait) / float64(allowed)
	return ratio * ratio / (1 + ratio*ratio)
}
