package follow

import (
	"slices"
	"time"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
)

// targetStatus is the state of a target in the view.
type targetStatus struct {
	state string
	// usableUntil is set if the target stays in use although its entry was removed, usableFrom if
	// it is out of use although its entry says that it is ready.
	usableUntil, usableFrom time.Time
}

// Names of target states in the log.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	// stateLapsed is a target that stays in use although its entry was removed.
	stateLapsed  = "lapsed"
	stateRemoved = "gone"
	// stateUnconfirmed is a target whose ready entry may be a late write, after a draining one.
	stateUnconfirmed = "unconfirmed"
)

// stateNames holds the names of the states that targets report.
var stateNames = map[mesh.TargetState]string{mesh.Ready: stateReady, mesh.Draining: stateDraining}

// statesOf returns the current states of the targets in an update.
func (f *Follower) statesOf(update *mesh.Update) map[string]targetStatus {
	states := map[string]targetStatus{}
	for i := range update.Targets {
		states[update.Targets[i].ID] = f.stateOf(update.Targets[i].ID)
	}
	for i := range update.Removed {
		states[update.Removed[i].ID] = f.stateOf(update.Removed[i].ID)
	}
	return states
}

func (f *Follower) stateOf(id string) targetStatus {
	member := f.view.Members()[id]
	switch {
	case member == nil:
		return targetStatus{state: stateRemoved}
	case !member.UsableUntil.IsZero():
		return targetStatus{state: stateLapsed, usableUntil: member.UsableUntil}
	case member.State == mesh.Draining:
		return targetStatus{state: stateDraining}
	case f.clock.Now().Before(member.UsableFrom):
		return targetStatus{state: stateUnconfirmed, usableFrom: member.UsableFrom}
	}
	return targetStatus{state: stateReady}
}

// logTransitions logs the targets whose state has changed. Age is the age of the view
// before the update, late is the time that the update was in transit.
func (f *Follower) logTransitions(before map[string]targetStatus, age, late time.Duration) {
	now := f.clock.Now()
	for id, was := range before {
		is := f.stateOf(id)
		if is == was {
			continue
		}
		line := f.log.Info().Str(logfield.Target, id).Str(logfield.State, is.state).Str(logfield.Before, was.state).
			Int64(logfield.ViewAge, age.Milliseconds()).Int64(logfield.UpdateDelay, late.Milliseconds())
		switch is.state {
		case stateLapsed:
			line = line.Int64(logfield.UsableFor, is.usableUntil.Sub(now).Milliseconds())
		case stateUnconfirmed:
			line = line.Int64(logfield.UnconfirmedFor, is.usableFrom.Sub(now).Milliseconds())
		}
		line.Msg("target")
	}
}

// logIgnored logs the entries of an update that the view ignores although the platform wrote
// them later than the one that it holds, because another process seems to have started later.
func (f *Follower) logIgnored(update *mesh.Update) {
	for i := range update.Targets {
		target := &update.Targets[i]
		known := f.view.Members()[target.ID]
		if known == nil || known.Revision >= target.Revision {
			continue
		}
		f.log.Warn().Str(logfield.Target, target.ID).Str(logfield.State, stateNames[target.State]).
			Uint64(logfield.TargetRevision, target.Revision).Int64(logfield.Started, target.Started).
			Uint64(logfield.Revision, known.Revision).Int64(logfield.KnownStart, known.Started).Msg("entry of an earlier start ignored")
	}
}

// logEvacuations logs the failure domains whose evacuation was requested or withdrawn. Before
// holds the domains that were evacuated, late is the time that the update was in transit.
func (f *Follower) logEvacuations(before []string, late time.Duration) {
	after := f.view.Evacuations()
	write := func(domain string, evacuated bool) {
		line := f.log.Info()
		if _, known := f.config.Regions[domain]; !known {
			line = f.log.Warn().Str(logfield.Error, "unknown failure domain")
		}
		line.Str(logfield.FailureDomain, domain).Bool(logfield.Evacuated, evacuated).Int64(logfield.UpdateDelay, late.Milliseconds()).Msg("evacuation")
	}
	for _, domain := range after {
		if !slices.Contains(before, domain) {
			write(domain, true)
		}
	}
	for _, domain := range before {
		if !slices.Contains(after, domain) {
			write(domain, false)
		}
	}
}
