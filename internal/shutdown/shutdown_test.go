package shutdown

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// Guards against a quantile below the true one, by which requests would be accepted that the
// stop then cuts off.
func TestHighIsAnUpperBoundOfTheQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		millis := rapid.SliceOfN(rapid.IntRange(0, 60_000), minObserved, windowObserved).Draw(t, "ms")
		var times Times
		for _, ms := range millis {
			times.Observe(start, "r", time.Duration(ms)*time.Millisecond)
		}
		slices.Sort(millis)
		rank := int(math.Ceil(highQuantile * float64(len(millis))))
		want := time.Duration(millis[rank-1]) * time.Millisecond
		high, ok := times.High("r")
		assert.Assert(t, ok)
		assert.Assert(t, high >= want-time.Nanosecond && high <= max(minTime, time.Duration(bucketRatio*1.001*float64(want))), "%v, want %v", high, want)
	})
}

// More time until the end must never cause a refusal, and a request whose sender stops
// waiting before the end is always accepted.
func TestAcceptanceGrowsWithTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times Times
		for range rapid.IntRange(0, 2*minObserved).Draw(t, "observed") {
			times.Observe(start, "r", time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "took")))
		}
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		r := Request{Route: "r", Timeout: duration("timeout"), LinkTime: duration("link"), AcceptUnknown: rapid.Bool().Draw(t, "unknown")}
		left, more := duration("left"), duration("more")
		_, ok := times.Accepts(start, start.Add(left), r)
		_, later := times.Accepts(start, start.Add(left+more), r)
		assert.Assert(t, !ok || later)
		assert.Assert(t, ok || r.Timeout > left)
	})
}

func TestRequestsWithoutObservations(t *testing.T) {
	var times Times
	for range minObserved - 1 {
		times.Observe(start, "r", time.Millisecond)
	}
	end := start.Add(time.Second)
	for _, test := range []struct {
		desc string
		r    Request
		want bool
	}{
		{"small, and callers may still arrive", Request{Route: "r", Timeout: 2 * time.Second, AcceptUnknown: true}, true},
		{"the timeout ends later", Request{Route: "r", Timeout: 2 * time.Second}, false},
		{"the timeout ends before", Request{Route: "r", Timeout: time.Second}, true},
	} {
		_, ok := times.Accepts(start, end, test.r)
		assert.Equal(t, ok, test.want, test.desc)
	}
	times.Observe(start, "r", time.Millisecond)
	_, ok := times.Accepts(start, end, Request{Route: "r", Timeout: 2 * time.Second})
	assert.Assert(t, ok, "the route is known now")
	_, ok = times.Accepts(start, end, Request{Route: "r", Timeout: 2 * time.Second, LinkTime: 1100 * time.Millisecond})
	assert.Assert(t, !ok, "the link is full")
}

// Guards against times of a past overload that count for ever, and against a window that
// forgets them before others were observed.
func TestOldTimesAreReplaced(t *testing.T) {
	var times Times
	for range windowObserved {
		times.Observe(start, "r", 5*time.Second)
	}
	for range windowObserved {
		times.Observe(start.Add(windowTime), "r", 10*time.Millisecond)
	}
	high, ok := times.High("r")
	assert.Assert(t, ok && high >= 5*time.Second)
	times.Observe(start.Add(2*windowTime), "r", 10*time.Millisecond)
	high, ok = times.High("r")
	assert.Assert(t, ok && high < 20*time.Millisecond, "%v", high)
	times.Retain(func(string) bool { return false })
	_, ok = times.High("r")
	assert.Assert(t, !ok)
}

// stopResult counts the requests that arrive during many stops.
type stopResult struct{ arrived, cut, refused int }

// playStops plays stops at random moments under downloads that take 1.9 s in the median and
// 3.7 s in the 0.99 quantile, as at a full link, and small requests of 20 ms. Requests arrive
// for 2.5 s, and the process ends after 5.3 s.
func playStops(accept func(times *Times, now, end time.Time, r Request) bool) (downloads, small stopResult) {
	const stops, timeout, left, arriving = 400, 8 * time.Second, 5300 * time.Millisecond, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	download := func() time.Duration { return time.Duration(1.9e9 * math.Exp(0.287*random.NormFloat64())) }
	quick := func() time.Duration { return time.Duration(2e7 * math.Exp(0.5*random.NormFloat64())) }
	var times Times
	for range 5000 {
		times.Observe(start, "download", download())
		times.Observe(start, "small", quick())
	}
	play := func(result *stopResult, route string, now, end time.Time, took time.Duration) {
		result.arrived++
		if !accept(&times, now, end, Request{Route: route, Timeout: timeout}) {
			result.refused++
		} else if now.Add(took).After(end) {
			result.cut++
		}
	}
	for range stops {
		for at := time.Duration(0); at < arriving; at += 50 * time.Millisecond {
			play(&downloads, "download", start.Add(at), start.Add(left), download())
			play(&small, "small", start.Add(at), start.Add(left), quick())
		}
	}
	return downloads, small
}

// Guards against stops that cut off downloads, and against needless refusals. Accepting all
// requests cuts downloads off; judging by the timeout refuses nearly all requests.
func TestStopsUnderLoad(t *testing.T) {
	downloads, small := playStops(func(times *Times, now, end time.Time, r Request) bool {
		_, ok := times.Accepts(now, end, r)
		return ok
	})
	all, _ := playStops(func(*Times, time.Time, time.Time, Request) bool { return true })
	byTimeout, smallByTimeout := playStops(func(_ *Times, now, end time.Time, r Request) bool { return !now.Add(r.Timeout).After(end) })
	t.Logf("downloads %+v, small %+v; accepting all %+v; by timeout %+v, small %+v", downloads, small, all, byTimeout, smallByTimeout)
	assert.Assert(t, downloads.cut*1000 <= downloads.arrived, "%+v", downloads)
	assert.Assert(t, all.cut > 10*downloads.cut)
	assert.Assert(t, downloads.refused < byTimeout.refused/2)
	assert.Equal(t, small, stopResult{arrived: small.arrived})
	assert.Equal(t, smallByTimeout.refused, small.arrived)
}

func BenchmarkObserve(b *testing.B) {
	var times Times
	for i := 0; b.Loop(); i++ {
		times.Observe(start, "r", time.Duration(i%1000)*time.Millisecond)
	}
}
