package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// keep writes the history of a run and the logs of its nodes, so that a finding
// that shows once can be traced.
func (f *fleet) keep(o Options, h *History) error {
	if o.KeepDir == "" {
		return nil
	}
	if err := f.keepLogs(o); err != nil {
		return err
	}
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.folder(), "history.json"), raw, 0o644)
}

// folder is where what is kept of a run goes.
func (o *Options) folder() string { return filepath.Join(o.KeepDir, fmt.Sprintf("seed-%d", o.Seed)) }

func (f *fleet) keepLogs(o Options) error {
	if o.KeepDir == "" {
		return nil
	}
	if err := os.MkdirAll(o.folder(), 0o755); err != nil {
		return err
	}
	for _, m := range f.vms {
		if err := os.WriteFile(filepath.Join(o.folder(), m.name+".log"), m.nodeLog.bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
