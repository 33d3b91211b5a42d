package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

func (f *fleet) seedName(seed uint64) string { return fmt.Sprintf("seed-%d", seed) }

// keep writes the history of a run and the logs of its nodes, so that a finding
// that shows once can be traced.
func (f *fleet) keep(dir string, h *History) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	raw, err := json.Marshal(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "history.json"), raw, 0o644); err != nil {
		return err
	}
	for _, m := range f.vms {
		if err := os.WriteFile(filepath.Join(dir, m.name+".log"), m.nodeLog.bytes(), 0o644); err != nil {
			return err
		}
	}
	return nil
}
