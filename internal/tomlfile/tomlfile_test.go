package tomlfile

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tamarackquay/internal/finding"
)

type exampleFile struct {
	Wait  Duration `toml:"wait"`
	Name  string   `toml:"name"`
	Inner struct {
		Wait Duration `toml:"wait"`
	} `toml:"inner"`
	Items []struct {
		Wait Duration       `toml:"wait"`
		Size map[string]int `toml:"size"`
	} `toml:"item"`
}

// Guards against durations that are not strings. An operator wrote drain = 30 and meant seconds;
// it was silently decoded as 30 nanoseconds, and a planned stop interrupted all downloads. A
// duration written as true ended the check of the file, so that the unknown table below it
// was not reported either.
func TestDurationsMustBeStrings(t *testing.T) {
	source := `wait = 30
name = "x"
[inner]
wait = true
[[item]]
wait = "15s"
[[item]]
wait = 1.5
[unknown]
`
	var file exampleFile
	_, found := Decode("x.toml", []byte(source), &file)
	var lines []int
	for _, f := range found {
		lines = append(lines, f.Line)
		assert.Check(t, f.Hint != "", "%s", f)
	}
	assert.DeepEqual(t, lines, []int{1, 4, 8, 9})
	assert.Equal(t, file.Name, "x")
	assert.Equal(t, file.Wait, Duration(0))
	assert.Equal(t, file.Items[0].Wait.Std(), 15*time.Second)
}

func TestInlineTablesHaveLines(t *testing.T) {
	source := `
item = [
  { wait = "1s", size = { a = 1 } },
  { wait = 2 },
]
`
	var file exampleFile
	lines, found := Decode("x.toml", []byte(source), &file)
	assert.Equal(t, len(found), 1, "%v", found)
	assert.Equal(t, found[0].Line, 4)
	assert.Equal(t, found[0].Key, "item[1].wait")
	assert.Equal(t, lines.Of("item[0].size.a"), 3)
	assert.Equal(t, lines.Of("item[0].size.b"), 3, "closest parent")
}

func TestRepeatedKeys(t *testing.T) {
	var file exampleFile
	_, found := Decode("x.toml", []byte("name = \"a\"\nname = \"b\"\n"), &file)
	assert.Equal(t, len(found), 1, "%v", found)
	assert.Equal(t, found[0].Code, finding.CodeRepeated)
}
