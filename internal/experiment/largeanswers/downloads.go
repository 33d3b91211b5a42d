package largeanswers

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"tamarackquay/internal/link"
)

// Downloads is a load of downloads from several VMs. A request tries the VMs with the shortest
// waits; a refused caller retries after the Retry-After that it was given.
type Downloads struct {
	// Links is the number of VMs, LinkRate the speed of each link in bytes per second.
	Links    int
	LinkRate float64
	// Rate is the number of downloads per second over all VMs, Arrivals their total.
	Rate     float64
	Arrivals int
	// Size is the mean and MaxSize the largest size in bytes.
	Size, MaxSize float64
	Work          time.Duration
	TargetLatency time.Duration
	Timeout       time.Duration
	Retries       int
}

// SixLinks is the load of customer B in docs/design/hard-load.md at its busiest.
var SixLinks = Downloads{
	Links: 6, LinkRate: 10e6 / 8, Rate: 90, Arrivals: 6_000, Size: 90e3, MaxSize: 540e3,
	Work: 180 * time.Millisecond, TargetLatency: 2500 * time.Millisecond, Timeout: 8 * time.Second, Retries: 2,
}

// DownloadPolicy is a way to admit and order downloads.
type DownloadPolicy struct {
	Name string
	// WholeBacklog admits downloads as if all others were sent before them.
	WholeBacklog bool
	// ByTimeout admits downloads that can arrive within the timeout; otherwise, they must be
	// able to meet the target latency, as the terms of entry nodes say.
	ByTimeout bool
	// LateLast sends downloads that miss the target latency after those that can meet it, by
	// their deadline. Otherwise, all are ordered by their due time.
	LateLast bool
}

// DownloadPolicies are the compared policies.
var DownloadPolicies = []DownloadPolicy{
	{Name: "target latency and whole backlog, by due time", WholeBacklog: true},
	{Name: "target latency, late ones last", LateLast: true},
	{Name: "timeout, by due time", ByTimeout: true},
	{Name: "timeout, late ones last", ByTimeout: true, LateLast: true},
}

// DownloadResult counts downloads by their end.
type DownloadResult struct{ InTime, Late, Lost, Refused int }

const (
	// sizeStdDev is the standard deviation of the logarithm of the sizes of downloads.
	sizeStdDev = 0.7
	// maxTargets is the number of targets that an entry node tries.
	maxTargets = 3
	// workMargin is the part of the work for which an entry node leaves time.
	workMargin = 1.5
)

// download is one caller's request.
type download struct {
	arrived  time.Time
	size     float64
	work     time.Duration
	tries    int
	transfer *link.Transfer
}

// event happens at a time of the simulation.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// vm is a VM from which downloads come. Responses are sent one after another.
type vm struct {
	pacer   *link.Pacer
	queue   link.TransferQueue
	waiting map[*link.Transfer]*download
	busy    bool
}

type downloadRun struct {
	load   Downloads
	policy DownloadPolicy
	events events
	now    time.Time
	vms    []*vm
	result DownloadResult
}

// Run plays the load under a policy.
func (l Downloads) Run(seed uint64, policy DownloadPolicy) DownloadResult {
	random := rand.New(rand.NewPCG(seed, 3))
	logNormal := func(s float64) float64 { return math.Exp(s*random.NormFloat64() - s*s/2) }
	r := &downloadRun{load: l, policy: policy}
	for range l.Links {
		v := &vm{pacer: link.NewPacer(l.LinkRate), waiting: map[*link.Transfer]*download{}}
		for range link.MaxConcurrent {
			v.queue.Start(&link.Transfer{})
		}
		r.vms = append(r.vms, v)
	}
	at := start
	for range l.Arrivals {
		at = at.Add(time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)))
		d := &download{arrived: at, size: min(l.Size*logNormal(sizeStdDev), l.MaxSize), work: time.Duration(float64(l.Work) * logNormal(logStdDev))}
		r.schedule(at, func() { r.arrive(d) })
	}
	for len(r.events) > 0 {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.run()
	}
	return r.result
}

func (r *downloadRun) schedule(at time.Time, run func()) { heap.Push(&r.events, event{at, run}) }

// arrive tries the VMs with the shortest waits.
func (r *downloadRun) arrive(d *download) {
	tried := map[*vm]bool{}
	retryAfter := r.load.Timeout
	for range maxTargets {
		var best *vm
		for _, v := range r.vms {
			if !tried[v] && (best == nil || v.pacer.Wait(r.now) < best.pacer.Wait(r.now)) {
				best = v
			}
		}
		tried[best] = true
		after, ok := r.admit(best, d)
		if ok {
			r.schedule(r.now.Add(d.work), func() { r.ready(best, d) })
			return
		}
		retryAfter = min(retryAfter, after)
	}
	left := d.arrived.Add(r.load.Timeout).Sub(r.now)
	if d.tries++; d.tries > r.load.Retries || retryAfter >= left {
		r.result.Refused++
		return
	}
	r.schedule(r.now.Add(min(retryAfter, left/3)), func() { r.arrive(d) })
}

func (r *downloadRun) admit(v *vm, d *download) (time.Duration, bool) {
	deadline, due := d.arrived.Add(r.load.Timeout), d.arrived.Add(r.load.TargetLatency)
	reserve := time.Duration(workMargin * float64(r.load.Work))
	maxWait := due.Sub(r.now) - reserve
	if maxWait <= 0 {
		due = deadline
		maxWait = r.load.TargetLatency / 2
	}
	maxWait = min(maxWait, deadline.Sub(r.now)-reserve)
	if r.policy.ByTimeout {
		maxWait = r.load.Timeout
	}
	d.transfer = &link.Transfer{Due: due, Deadline: deadline, Size: r.load.Size}
	queue := &v.queue
	if r.policy.WholeBacklog {
		queue = &link.TransferQueue{}
	}
	return v.pacer.Admit(r.now, queue, d.transfer, link.Terms{MaxWait: maxWait, Work: r.load.Work})
}

func (r *downloadRun) ready(v *vm, d *download) {
	v.pacer.CorrectSize(r.load.Size, d.size)
	v.queue.Cancel(d.transfer)
	d.transfer.Size = d.size
	v.queue.Start(d.transfer)
	v.waiting[d.transfer] = d
	r.send(v)
}

// send sends the next waiting download unless one is being sent.
func (r *downloadRun) send(v *vm) {
	if v.busy || len(v.waiting) == 0 {
		return
	}
	next := r.next(v)
	d := v.waiting[next]
	delete(v.waiting, next)
	v.busy = true
	took := time.Duration(d.size / v.pacer.Rate() * float64(time.Second))
	r.schedule(r.now.Add(took), func() {
		v.busy = false
		r.finish(d)
		r.send(v)
	})
}

// next takes the next transfer from the queue, or the one that is due first if the policy
// ignores which are late.
func (r *downloadRun) next(v *vm) *link.Transfer {
	if r.policy.LateLast {
		return v.queue.Finish(r.now, v.pacer.Rate())
	}
	var first *link.Transfer
	for transfer := range v.waiting {
		if first == nil || transfer.Due.Before(first.Due) {
			first = transfer
		}
	}
	v.queue.Cancel(first)
	return first
}

func (r *downloadRun) finish(d *download) {
	switch took := r.now.Sub(d.arrived); {
	case took <= r.load.TargetLatency:
		r.result.InTime++
	case took <= r.load.Timeout:
		r.result.Late++
	default:
		r.result.Lost++
	}
}
