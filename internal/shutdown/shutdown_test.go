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
		millis := rapid.SliceOfN(rapid.IntRange(0, 60_000), 1, windowObserved).Draw(t, "ms")
		var times Times
		for _, ms := range millis {
			times.Observe(start, "r", time.Duration(ms)*time.Millisecond)
		}
		slices.Sort(millis)
		rank := int(math.Ceil(highQuantile * float64(len(millis))))
		want := time.Duration(millis[rank-1]) * time.Millisecond
		high, observed := times.High("r")
		assert.Equal(t, observed, len(millis))
		assert.Assert(t, high >= want-time.Nanosecond && high <= max(minTime, time.Duration(bucketRatio*1.001*float64(want))), "%v, want %v", high, want)
	})
}

// More time until the end must never cause a refusal, and a request whose sender stops
// waiting before the end is always accepted.
func TestAcceptanceGrowsWithTheTimeLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var times Times
		for range rapid.IntRange(0, 2*minLongest).Draw(t, "observed") {
			times.Observe(start, "r", time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "took")))
		}
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, name))
		}
		r := Request{Route: "r", Timeout: duration("timeout"), LinkTime: duration("link"), Small: rapid.Bool().Draw(t, "small"), AcceptUnknown: rapid.Bool().Draw(t, "unknown")}
		left, more := duration("left"), duration("more")
		_, ok := times.Accepts(start, start.Add(left), r)
		_, later := times.Accepts(start, start.Add(left+more), r)
		assert.Assert(t, !ok || later)
		assert.Assert(t, ok || r.Timeout > left)
	})
}

func TestTimeoutStandsForMissingObservations(t *testing.T) {
	var times Times
	for range minLongest - 1 {
		times.Observe(start, "few", time.Millisecond)
		times.Observe(start, "known", time.Millisecond)
	}
	times.Observe(start, "known", 100*time.Millisecond)
	times.Observe(start, "slow", 1100*time.Millisecond)
	end := start.Add(time.Second)
	const ends, longer = time.Second, 2 * time.Second
	for _, test := range []struct {
		desc string
		r    Request
		want bool
	}{
		{"small, quick", Request{Route: "few", Timeout: longer, Small: true, AcceptUnknown: true}, true},
		{"small, not observed", Request{Route: "none", Timeout: longer, Small: true, AcceptUnknown: true}, true},
		{"small, slow", Request{Route: "slow", Timeout: longer, Small: true, AcceptUnknown: true}, false},
		{"small, the link is full", Request{Route: "few", Timeout: longer, Small: true, AcceptUnknown: true, LinkTime: 1100 * time.Millisecond}, false},
		{"small, few observations at an owner node", Request{Route: "slow", Timeout: longer, Small: true}, false},
		{"few observations", Request{Route: "few", Timeout: longer}, false},
		{"the timeout ends before", Request{Route: "few", Timeout: ends}, true},
		{"known", Request{Route: "known", Timeout: longer}, true},
		{"the link is nearly full", Request{Route: "known", Timeout: longer, LinkTime: 700 * time.Millisecond}, false},
	} {
		_, ok := times.Accepts(start, end, test.r)
		assert.Equal(t, ok, test.want, test.desc)
	}
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
	high, observed := times.High("r")
	assert.Assert(t, observed > 0 && high >= 5*time.Second)
	times.Observe(start.Add(2*windowTime), "r", 10*time.Millisecond)
	high, observed = times.High("r")
	assert.Assert(t, observed > 0 && high < 20*time.Millisecond, "%v", high)
	times.Retain(func(string) bool { return false })
	_, observed = times.High("r")
	assert.Equal(t, observed, 0)
}

// stopResult counts the requests that arrive during many stops.
type stopResult struct{ arrived, cut, refused int }

// playStops plays stops at random moments under downloads that take twice the median in the 0.99
// quantile, and small requests of 20 ms. Requests arrive
// for 2.5 s, and the process ends after 5.3 s.
func playStops(median time.Duration, accept func(times *Times, now, end time.Time, r Request) bool) (downloads, small stopResult) {
	const stops, timeout, left, arriving = 4000, 8 * time.Second, 5300 * time.Millisecond, 2500 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	download := func() time.Duration { return time.Duration(float64(median) * math.Exp(0.287*random.NormFloat64())) }
	quick := func() time.Duration { return time.Duration(2e7 * math.Exp(0.5*random.NormFloat64())) }
	play := func(result *stopResult, times *Times, route string, now, end time.Time, took time.Duration) {
		result.arrived++
		if !accept(times, now, end, Request{Route: route, Timeout: timeout, Small: route == "small"}) {
			result.refused++
		} else if now.Add(took).After(end) {
			result.cut++
		}
	}
	for range stops {
		// A node has observed no more than two windows.
		var times Times
		for range windowObserved {
			times.Observe(start, "download", download())
			times.Observe(start, "small", quick())
		}
		for at := time.Duration(0); at < arriving; at += 50 * time.Millisecond {
			play(&downloads, &times, "download", start.Add(at), start.Add(left), download())
			play(&small, &times, "small", start.Add(at), start.Add(left), quick())
		}
	}
	return downloads, small
}

// Guards against stops that cut off downloads at full links, where they take 1.9 s in the median,
// and against needless refusals at links that are not full. Accepting all requests, or those whose
// 0.99 quantile is below the time left, cuts downloads off; judging by the timeout refuses all.
func TestStopsUnderLoad(t *testing.T) {
	const full, notFull = 1900 * time.Millisecond, 600 * time.Millisecond
	accept := func(times *Times, now, end time.Time, r Request) bool {
		_, ok := times.Accepts(now, end, r)
		return ok
	}
	downloads, small := playStops(full, accept)
	quick, _ := playStops(notFull, accept)
	all, _ := playStops(full, func(*Times, time.Time, time.Time, Request) bool { return true })
	byTimeout, smallByTimeout := playStops(full, func(_ *Times, now, end time.Time, r Request) bool { return !now.Add(r.Timeout).After(end) })
	t.Logf("downloads %+v, at a link that is not full %+v, small %+v; accepting all %+v; by timeout %+v, small %+v", downloads, quick, small, all, byTimeout, smallByTimeout)
	byQuantile, _ := playStops(full, func(times *Times, now, end time.Time, r Request) bool {
		r.Small = true
		_, ok := times.Accepts(now, end, r)
		return ok
	})
	t.Logf("by quantile %+v", byQuantile)
	assert.Equal(t, downloads.cut, 0)
	assert.Assert(t, byQuantile.cut > 0 && all.cut > 10*byQuantile.cut)
	assert.Assert(t, downloads.refused <= byTimeout.refused)
	assert.Assert(t, quick.cut == 0 && quick.refused*100 < quick.arrived, "%+v", quick)
	assert.Equal(t, small, stopResult{arrived: small.arrived})
	assert.Equal(t, smallByTimeout.refused, small.arrived)
}

func BenchmarkObserve(b *testing.B) {
	var times Times
	for i := 0; b.Loop(); i++ {
		times.Observe(start, "r", time.Duration(i%1000)*time.Millisecond)
	}
}
