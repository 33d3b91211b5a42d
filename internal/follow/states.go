package follow

import (
	"time"

	"tamarackquay/internal/logfield"
	"tamarackquay/internal/mesh"
)

// standing is what this node makes of a target.
type standing struct {
	state string
	// usableUntil is set for a target that stays in use though its entry is gone.
	usableUntil time.Time
}

// Names of states in the log.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	// stateLapsed is a target in use whose entry is gone.
	stateLapsed = "lapsed"
	stateGone   = "gone"
)

// statesOf returns where the targets stand that the news are about.
func (f *Follower) statesOf(news *mesh.News) map[string]standing {
	states := map[string]standing{}
	for i := range news.Targets {
		states[news.Targets[i].ID] = f.stateOf(news.Targets[i].ID)
	}
	for i := range news.Removed {
		states[news.Removed[i].ID] = f.stateOf(news.Removed[i].ID)
	}
	return states
}

func (f *Follower) stateOf(id string) standing {
	member := f.view.Members()[id]
	switch {
	case member == nil:
		return standing{state: stateGone}
	case !member.UsableUntil.IsZero():
		return standing{state: stateLapsed, usableUntil: member.UsableUntil}
	case member.State == mesh.Draining:
		return standing{state: stateDraining}
	}
	return standing{state: stateReady}
}

// tellStates logs which of the targets stand otherwise than before. Age is how old
// the view was, late for how long the news were on their way.
func (f *Follower) tellStates(before map[string]standing, age, late time.Duration) {
	now := f.clock.Now()
	for id, was := range before {
		is := f.stateOf(id)
		if is == was {
			continue
		}
		line := f.log.Info().Str(logfield.Target, id).Str(logfield.State, is.state).Str(logfield.Before, was.state).
			Int64(logfield.ViewAge, age.Milliseconds()).Int64(logfield.Late, late.Milliseconds())
		if is.state == stateLapsed {
			line = line.Int64(logfield.UsableFor, is.usableUntil.Sub(now).Milliseconds())
		}
		line.Msg("target")
	}
}
