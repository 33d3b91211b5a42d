package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// saveRun saves the history of a run and the logs of its nodes, so that a finding
// that can't be reproduced can still be traced.
func (f *fleet) saveRun(o Options, h *History) error {
	if o.KeepDir == "" {
		return nil
	}
	if err := f.saveLogs(o); err != nil {
		return err
	}
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(o.runDir(), "history.json"), raw, 0o644)
}

// runDir is the folder for the files of a run.
func (o *Options) runDir() string { return filepath.Join(o.KeepDir, fmt.Sprintf("seed-%d", o.Seed)) }

func (f *fleet) saveLogs(o Options) error {
	if o.KeepDir == "" {
		return nil
	}
	if err := os.MkdirAll(o.runDir(), 0o755); err != nil {
		return err
	}
	for _, m := range f.vms {
		if err := os.WriteFile(filepath.Join(o.runDir(), m.name+".log"), m.nodeLog.bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
