package process

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/standin/target"
	"tamarackquay/standin/usertarget"
)

// Guards against nodes that end, or stop following the platform, because of an entry that another
// writer has left among those of the targets.
func TestOddEntryOfAnotherWriterIsIgnored(t *testing.T) {
	t.Parallel()
	f, targets := newSidecarFleet(t, 3)
	first := targets[0]
	entry := func(change func(fields map[string]any)) string {
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(first.entry("ready", time.Now()), &fields))
		change(fields)
		raw, err := json.Marshal(fields)
		assert.NilError(t, err)
		return string(raw)
	}
	info := func(key string, value any) string {
		return entry(func(fields map[string]any) { fields["Info"].(map[string]any)[key] = value })
	}
	status := func(key string, value any) string {
		return entry(func(fields map[string]any) { fields["Status"].(map[string]any)[key] = value })
	}
	top := func(key string, value any) string {
		return entry(func(fields map[string]any) { fields[key] = value })
	}
	const depth = 400_000
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	for _, test := range []struct{ desc, value string }{
		{"no bytes", ""},
		{"null", "null"},
		{"bytes that can't be read", "\xff\xfe{"},
		{"nested arrays", nested},
		{"nested arrays that don't end", strings.Repeat("[", depth)},
		{"nested objects", strings.Repeat(`{"Info":`, depth/8) + "1" + strings.Repeat("}", depth/8)},
		{"nested in an unknown field", strings.Replace(info("Extra", 0), `"Extra":0`, `"Extra":`+nested, 1)},
		{"nested within the depth that is read", strings.Replace(info("Service", 0), `"Service":0`, `"Service":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000), 1)},
		{"slots over 64 bits", strings.Replace(info("Slots", 0), `"Slots":0`, `"Slots":1e400`, 1)},
		{"the most slots of 64 bits", info("Slots", math.MaxInt64)},
		{"a billion slots", info("Slots", 1_000_000_000)},
		{"negative slots", info("Slots", -12)},
		{"start over 64 bits", strings.Replace(top("born", 0), `"born":0`, `"born":1e19`, 1)},
		{"the latest start of 64 bits", top("born", math.MaxInt64)},
		{"long warm-up", status("ColdRemaining", "2562047h47m16s")},
		{"warm-up over 64 bits", status("ColdRemaining", "9999999999999h")},
		{"negative warm-up", status("ColdRemaining", "-2562047h")},
		{"port out of range", top("Address", first.vm.ip+":99999")},
		{"port zero", top("Address", first.vm.ip+":0")},
		{"negative port", top("Address", first.vm.ip+":-1")},
		{"named port", top("Address", first.vm.ip+":http")},
		{"any address", top("Address", fmt.Sprintf("0.0.0.0:%d", portTarget))},
		{"address of another network", top("Address", fmt.Sprintf("[::1]:%d", portTarget))},
		{"long service", info("Service", strings.Repeat("s", 700_000))},
		{"long failure domain", info("Zone", strings.Repeat("a", 700_000))},
		{"fields of other types", `{"Address":{},"Info":[],"Status":"ready","born":"now"}`},
	} {
		f.store.Put(usertarget.Key("odd"), []byte(test.value), 0)
		time.Sleep(100 * time.Millisecond)
		before := first.ranSince(0)
		for _, vm := range f.vms {
			for range 4 {
				got := vm.call(t, http.MethodPost, "/once/x", "certificate").StatusCode
				assert.Check(t, got == http.StatusOK, "%s: %s answered %d", test.desc, vm.name, got)
			}
		}
		assert.Check(t, first.ranSince(0) > before, "%s: the target at the entry's address gets no requests", test.desc)
		for _, vm := range f.vms {
			select {
			case <-vm.node.done:
				t.Fatalf("%s: the process of %s has ended", test.desc, vm.name)
			default:
			}
		}
		f.store.Put(usertarget.Key(strings.ReplaceAll(test.desc, " ", "-")), []byte(test.value), 0)
		f.store.Delete(usertarget.Key("odd"))
	}

	restarted := f.vms[2]
	restarted.node.signal(syscall.SIGKILL)
	<-restarted.node.done
	restarted.startNode()
	restarted.waitReady()
	f.startCallers(targets)
	targets[1].register("draining", targets[1].born)
	targets[1].assertLeft(target.SinceBoot())
}
