package membudget

import (
	"math"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against clients that hold more than their limits, are counted twice or not at all, or are ended
// while their requests are handled.
func TestClientsAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ClientLimits{Bytes: 1 << 16, Conns: 12, ConnBytes: 1 << 10}
		account := New(1 << 20)
		clients := NewClients(account, &sync.Mutex{}, limits)
		now := start
		var open []*Client
		served, ending := map[*Client]bool{}, map[*Client]bool{}
		note := func(end []*Client) {
			for _, client := range end {
				assert.Assert(t, !served[client] && !ending[client])
				ending[client] = true
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			operation := rapid.IntRange(0, 5).Draw(t, "operation")
			if operation == 0 || len(open) == 0 {
				client := &Client{}
				admission := clients.Admit(client, now)
				note(admission.End)
				if admission.Admitted {
					open = append(open, client)
				}
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "client")
			client := open[i]
			switch operation {
			case 1:
				if !served[client] && !ending[client] {
					_, end := clients.GrowHeader(client, int64(rapid.IntRange(1, 1<<15).Draw(t, "bytes")), now)
					note(end)
				}
			case 2:
				clients.Serve(client)
				served[client], ending[client] = true, false
			case 3:
				client.Wait(now)
				clients.ReturnHeader(client)
				served[client] = false
			default:
				clients.Remove(client)
				clients.Remove(client)
				delete(served, client)
				delete(ending, client)
				open = append(open[:i], open[i+1:]...)
			}
			assert.Equal(t, account.Total(), clients.kept.bytes)
			assert.Equal(t, account.Held(RequestHeader), clients.kept.header)
			assert.Assert(t, clients.kept.conns == len(open) && clients.kept.conns <= withEnding(limits.Conns))
			assert.Assert(t, clients.kept.bytes-clients.kept.header <= withEnding(limits.Bytes))
			assert.Assert(t, clients.kept.header <= withEnding(limits.Bytes/headerDivisor))
		}
		for _, client := range open {
			clients.Remove(client)
		}
		assert.Equal(t, account.Total(), int64(0))
		assert.Equal(t, clients.kept, clientUse{})
		assert.Equal(t, clients.ending, clientUse{})
	})
}

// Guards against ending a client that just came, or one that holds little, in place of the one that has
// kept most memory waiting.
func TestWorstWaitingClientEndsFirst(t *testing.T) {
	clients := NewClients(New(math.MaxInt64), &sync.Mutex{}, ClientLimits{Bytes: 1000, Conns: 4, ConnBytes: 100})
	var served, old, large, newer Client
	for i, client := range []*Client{&served, &old, &large, &newer} {
		assert.Assert(t, clients.Admit(client, start.Add(time.Duration(i)*time.Second)).Admitted)
	}
	clients.Serve(&served)
	granted, end := clients.GrowHeader(&large, 300, start.Add(4*time.Second))
	assert.Assert(t, granted && len(end) == 0)
	now := start.Add(5 * time.Second)
	for _, want := range []*Client{&large, &old, &newer} {
		admission := clients.Admit(&Client{}, now)
		assert.Assert(t, admission.Admitted && len(admission.End) == 1 && admission.End[0] == want)
		clients.Remove(want)
	}
	clients.ReturnHeader(&served)
}

// Guards against refusing connections for ever, and against ending those whose requests are handled.
func TestServedClientsLeaveNoRoom(t *testing.T) {
	clients := NewClients(New(math.MaxInt64), &sync.Mutex{}, ClientLimits{Conns: 4, ConnBytes: 100})
	served := make([]Client, 4)
	for i := range served {
		assert.Assert(t, clients.Admit(&served[i], start).Admitted)
		clients.Serve(&served[i])
	}
	admission := clients.Admit(&Client{}, start.Add(time.Hour))
	assert.Assert(t, !admission.Admitted && len(admission.End) == 0 && admission.Retry == nil)
	served[1].Wait(start)
	first := clients.Admit(&Client{}, start.Add(time.Hour))
	assert.Assert(t, first.Admitted && first.End[0] == &served[1])
	served[2].Wait(start)
	second := clients.Admit(&Client{}, start.Add(time.Hour))
	assert.Assert(t, !second.Admitted && second.Retry != nil, "five connections at once are the most")
	clients.Remove(&served[1])
	<-second.Retry
	assert.Assert(t, clients.Admit(&Client{}, start.Add(time.Hour)).Admitted)
}
