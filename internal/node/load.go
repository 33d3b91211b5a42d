package node

import "sync"

// loadCounter counts the calls that this node has open at each target. It is
// safe for concurrent use.
type loadCounter struct {
	mu   sync.Mutex
	open map[string]int
}

func newLoadCounter() *loadCounter { return &loadCounter{open: map[string]int{}} }

func (c *loadCounter) add(id string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[id] += n
	if c.open[id] == 0 {
		delete(c.open, id)
	}
}

func (c *loadCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[id]
}
