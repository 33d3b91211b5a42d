package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"tamarackquay/internal/adapter/callhttp"
	"tamarackquay/internal/adapter/exchange"
	"tamarackquay/internal/placement"
	"tamarackquay/internal/port"
	"tamarackquay/internal/targetreport"
	"tamarackquay/internal/targetspeed"
)

// headerTargetSpeed carries the speed of a target in responses of its owner node:
// "factor;age_us;persistence_us", the slowdown in percent. It is left out for a target that has not
// reported a work factor.
const headerTargetSpeed = callhttp.HeaderPrefix + "Target-Speed"

const (
	// speedFields is the number of fields of headerTargetSpeed.
	speedFields = 3
	// percent converts a fraction, such as the slowdown in headerTargetSpeed.
	percent = 100
	// maxSpeedAge is the highest age and persistence in headerTargetSpeed: far longer than
	// any that has an effect, and short enough to add up.
	maxSpeedAge = time.Hour
)

// Kinds of ignored reports, by which port.MetricReportsIgnored is counted.
const (
	ignoredTargetLoad  = "target-load"
	ignoredTargetSpeed = "target-speed"
)

func writeTargetSpeed(header http.Header, load *placement.Load) {
	if load.Slowdown <= 0 {
		return
	}
	slowdown := min(max(load.Slowdown, targetspeed.MinSlowdown), targetspeed.MaxSlowdown)
	header[headerTargetSpeed] = []string{strings.Join([]string{
		strconv.FormatInt(int64(math.Round(slowdown*percent)), 10),
		strconv.FormatInt(min(load.SlowdownAge, maxSpeedAge).Microseconds(), 10),
		strconv.FormatInt(load.SlowdownPersistence.Microseconds(), 10),
	}, fieldSeparator)}
}

// parseTargetSpeed parses the header written by writeTargetSpeed into a load. With an error, the
// load holds the slowdown if only fields after the known ones are the reason, and none otherwise.
func parseTargetSpeed(text string, load *placement.Load) error {
	parts := strings.Split(text, fieldSeparator)
	if len(parts) < speedFields {
		return errors.Errorf("%d fields instead of %d", len(parts), speedFields)
	}
	var numbers [speedFields]int64
	bounds := [speedFields][2]int64{
		{percent * targetspeed.MinSlowdown, percent * targetspeed.MaxSlowdown},
		{0, maxSpeedAge.Microseconds()},
		{1, maxSpeedAge.Microseconds()},
	}
	for i := range numbers {
		number, err := strconv.ParseInt(parts[i], 10, 64)
		if err != nil {
			return errors.Wrapf(err, "field %d", i)
		}
		if number < bounds[i][0] || number > bounds[i][1] {
			return errors.Errorf("field %d is %d, not between %d and %d", i, number, bounds[i][0], bounds[i][1])
		}
		numbers[i] = number
	}
	load.Slowdown = float64(numbers[0]) / percent
	load.SlowdownAge = time.Duration(numbers[1]) * time.Microsecond
	load.SlowdownPersistence = time.Duration(numbers[2]) * time.Microsecond
	if len(parts) > speedFields {
		return errors.Errorf("%d fields instead of %d", len(parts), speedFields)
	}
	return nil
}

// readPeerLoad reads the load and the speed of a target from a response of its owner node. The
// report is zero if there is none.
func (p *Proxy) readPeerLoad(header http.Header) loadReport {
	report, ok := readLoadReport(header)
	text := header.Get(headerTargetSpeed)
	if !ok || text == "" {
		return report
	}
	if err := parseTargetSpeed(text, &report.Load); err != nil {
		p.ports.Meter.Count(port.MetricReportsIgnored, ignoredTargetSpeed, 1)
		p.ports.Log.Debug().Err(err).Msg("node reports an invalid target speed")
	}
	return report
}

// readTargetLoad returns the load that a response of the local target reports.
func (p *Proxy) readTargetLoad(now time.Time, response *exchange.Response) targetreport.Load {
	text := response.Header.Get(p.config.Headers.Load)
	if text == "" || p.config.DecodeLoad == nil {
		return targetreport.Load{}
	}
	load, err := p.config.DecodeLoad(text)
	if err != nil {
		p.ports.Meter.Count(port.MetricReportsIgnored, ignoredTargetLoad, 1)
		p.requestLog.invalidLoad(now, text, err)
	}
	return load
}

// recordTargetLoad records the work factor that the local target reports in a response received at
// the given time, and applies the speed to the waits estimated by the gate. sent is when its request
// was sent.
func (p *Proxy) recordTargetLoad(sent, received time.Time, load targetreport.Load) {
	if load.WorkFactor <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if sent.Before(p.localReports.restartedAt) {
		// The response is one of the target's earlier process.
		return
	}
	p.localReports.speed.Record(received, load.WorkFactor)
	p.gate.SetSpeed(received, p.localReports.speed.Speed(received))
}

// forgetTargetSpeed forgets the speed of the local target, which restarts. It must be called with
// the mutex held.
func (p *Proxy) forgetTargetSpeed(now time.Time) {
	p.localReports.restartedAt = now
	p.localReports.speed = targetspeed.Tracker{}
	p.gate.SetSpeed(now, targetspeed.Speed{})
}
