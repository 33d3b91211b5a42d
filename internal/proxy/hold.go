package proxy

import (
	"net/http"
	"time"

	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/placement"
)

// Weights of what the owner node observes of its own target.
const (
	holdGain = 0.1
	failGain = 0.1
)

// holds is what the owner node saw of its own target: how long requests held a
// slot, and which part failed. The proxy's mutex guards it.
type holds struct {
	mean    time.Duration
	failing float64
}

func (p *Proxy) noteHold(held time.Duration, response *exchange.Response, err error) {
	failed := 0.0
	if err != nil || response.Status >= http.StatusInternalServerError {
		failed = 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held.failing += failGain * (failed - p.held.failing)
	if err != nil {
		return
	}
	if p.held.mean == 0 {
		p.held.mean = held
	}
	p.held.mean += time.Duration(holdGain * float64(held-p.held.mean))
}

// loadWord is this node's word on its target.
func (p *Proxy) loadWord(received time.Time, held time.Duration) loadWord {
	running, waiting := p.gate.Counts()
	word := loadWord{held: held, spent: p.ports.Clock.Now().Sub(received)}
	word.Load = placement.Load{Running: running, Waiting: waiting}
	if picture := p.picture.Load(); picture != nil && picture.Own != nil {
		word.Slots = picture.Own.Slots
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	word.Hold = p.held.mean
	word.FailureRate = p.held.failing
	word.LinkRate = p.link.Rate()
	word.LinkWait = p.link.Wait(p.ports.Clock.Now())
	return word
}
