package targetspeed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// sharedVM returns the factor at each millisecond of a target that is slow for a share of the time,
// for the given mean time in milliseconds each.
func sharedVM(random *rand.Rand, millis int, slow, share, meanSlow float64) []float64 {
	factors := make([]float64, millis)
	isSlow := false
	for i := range factors {
		leave := 1 / meanSlow
		if !isSlow {
			leave *= share / (1 - share)
		}
		if random.Float64() < leave {
			isSlow = !isSlow
		}
		factors[i] = 1
		if isSlow {
			factors[i] = slow
		}
	}
	return factors
}

// Guards against a forecast that is worse than assuming the mean, or the last report, for any time
// ahead, and against a mean that follows deviations.
func TestForecastOfSharedVM(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	const millis, warmup = 300_000, 60_000
	factors := sharedVM(random, millis, 2.5, 0.15, 600)
	var tracker Tracker
	mean := 1 + 0.15*1.5
	for _, ahead := range []int{50, 300, 1000} {
		tracker = Tracker{}
		var forecastError, meanError, lastError float64
		for i := 0; i+ahead < millis; i += 1 + random.IntN(120) {
			tracker.Record(at(i), factors[i])
			if i < warmup {
				continue
			}
			speed := tracker.Speed(at(i))
			truth := factors[i+ahead]
			forecastError += math.Pow(tracker.Mean()*speed.At(time.Duration(ahead)*time.Millisecond)-truth, 2)
			meanError += math.Pow(mean-truth, 2)
			lastError += math.Pow(factors[i]-truth, 2)
		}
		assert.Check(t, forecastError < 1.03*meanError && forecastError < lastError, "%d ms ahead: errors %.0f, mean %.0f, last %.0f", ahead, forecastError, meanError, lastError)
	}
	assert.Assert(t, math.Abs(tracker.Mean()-mean) < 0.12, "mean %.2f", tracker.Mean())
	// The correlation decays at the sum of the rates at which slow and usual times end.
	persistence := tracker.Speed(at(millis)).Persistence
	assert.Assert(t, persistence > 300*time.Millisecond && persistence < 800*time.Millisecond, "%v", persistence)
}

// Guards against one time constant for all targets.
func TestPersistenceIsLearned(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	learned := func(meanSlow float64) time.Duration {
		var tracker Tracker
		for i, factor := range sharedVM(random, 200_000, 2.5, 0.3, meanSlow) {
			if i%40 == 0 {
				tracker.Record(at(i), factor)
			}
		}
		return tracker.Speed(at(200_000)).Persistence
	}
	short, long := learned(120), learned(4000)
	assert.Assert(t, short < 200*time.Millisecond && long > time.Second, "%v and %v", short, long)
}

// Guards against reports that are lost, late or invalid and still count, and against a forecast
// outside its bounds, in any order of reports.
func TestSpeedUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker, inOrder Tracker
		last := -1
		for range rapid.IntRange(0, 60).Draw(t, "reports") {
			millis := rapid.IntRange(0, 20_000).Draw(t, "at")
			factor := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0.5, 4), rapid.Just(math.NaN()), rapid.Just(math.Inf(1))).Draw(t, "factor")
			tracker.Record(at(millis), factor)
			if valid := factor >= MinSlowdown && factor <= MaxSlowdown; valid && millis >= last {
				last = millis
				inOrder.Record(at(millis), factor)
			}
		}
		assert.Equal(t, tracker, inOrder, "overtaken and invalid reports change nothing")
		now := 20_000
		speed := tracker.Speed(at(now))
		if last < 0 {
			assert.Equal(t, speed, Speed{})
			assert.Equal(t, speed.At(0), 1.0)
			return
		}
		assert.Equal(t, speed.Age, at(now).Sub(at(last)))
		assert.Assert(t, speed.Persistence >= MinPersistence && speed.Persistence <= MaxPersistence)
		assert.Assert(t, speed.Slowdown >= MinSlowdown && speed.Slowdown <= MaxSlowdown)
		for _, later := range []time.Duration{0, time.Second, time.Minute} {
			assert.Assert(t, math.Abs(speed.At(later)-1) <= math.Abs(speed.Slowdown-1))
		}
		assert.Assert(t, math.Abs(speed.At(5*time.Minute)-1) < 1e-6, "a lost report has no effect in the end")
	})
}
