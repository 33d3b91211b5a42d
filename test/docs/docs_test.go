// Package docs checks the pages against the code: every metric, setting, finding and
// reason is documented, every command shown on a page exists, and no link is broken.
package docs

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"gotest.tools/v3/assert"

	"tamarackquay/internal/adapter/settings"
	"tamarackquay/internal/command/root"
	"tamarackquay/internal/contract"
	"tamarackquay/internal/explain"
	"tamarackquay/internal/load/cli"
	"tamarackquay/internal/port"
)

// repoRoot is the root of the repository.
const repoRoot = "../.."

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repoRoot, name))
	assert.NilError(t, err)
	return string(text)
}

// stringConstants returns the string constants of a named type from the source of all
// packages. A list maintained by hand would not show new constants that lack
// documentation.
func stringConstants(t *testing.T, typeName string) []string {
	t.Helper()
	var values []string
	walkFiles(t, "internal", ".go", func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if ok && exprName(spec.Type) == typeName {
				values = append(values, stringLiterals(spec)...)
			}
			return true
		})
	})
	assert.Check(t, len(values) > 3, "%s: %v", typeName, values)
	return values
}

func exprName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.SelectorExpr:
		return e.Sel.Name
	}
	return ""
}

func stringLiterals(spec *ast.ValueSpec) []string {
	var values []string
	for _, value := range spec.Values {
		if literal, ok := value.(*ast.BasicLit); ok {
			if text, err := strconv.Unquote(literal.Value); err == nil && text != "" {
				values = append(values, text)
			}
		}
	}
	return values
}

func walkFiles(t *testing.T, dir, suffix string, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(filepath.Join(repoRoot, dir), func(path string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && strings.HasSuffix(path, suffix) {
			visit(path)
		}
		return err
	})
	assert.NilError(t, err)
}

func TestConstantsAreDocumented(t *testing.T) {
	for _, test := range []struct{ typeName, page string }{
		{"Metric", "docs/METRICS.md"},
		{"Code", "docs/FINDINGS.md"},
		{"Reason", "docs/FINDINGS.md"},
		{"AuditKind", "docs/LOGS.md"},
		{"HealthState", "docs/LOGS.md"},
		{"Name", "docs/LOGS.md"},
		{"Ending", "docs/LOGS.md"},
	} {
		t.Run(test.typeName, func(t *testing.T) {
			page := readPage(t, test.page)
			for _, value := range stringConstants(t, test.typeName) {
				assert.Check(t, strings.Contains(page, "`"+value+"`"), "%s does not document %s", test.page, value)
			}
		})
	}
}

func TestEveryReasonIsExplained(t *testing.T) {
	for _, reason := range stringConstants(t, "Reason") {
		_, ok := explain.MeaningOf(port.Reason(reason))
		assert.Check(t, ok, "'tamarackctl explain --reason %s' has no explanation", reason)
	}
}

// logFieldPattern matches a call that adds a field to a log line.
var logFieldPattern = regexp.MustCompile(`\.(?:Str|Strs|Int|Int64|Uint64|Dur|Bool|Object|Float64)\("([a-z_]+)"`)

// Guards against log fields that are not part of the documented schema: the queries
// of log collectors depend on the field names.
func TestLogFieldsAreInTheSchema(t *testing.T) {
	page := readPage(t, "docs/LOGS.md")
	for _, dir := range []string{"internal", "cmd"} {
		walkFiles(t, dir, ".go", func(path string) {
			source, err := os.ReadFile(path)
			assert.NilError(t, err)
			for _, match := range logFieldPattern.FindAllStringSubmatch(string(source), -1) {
				assert.Check(t, strings.Contains(page, "`"+match[1]+"`"), "%s logs field %s, which docs/LOGS.md does not document", path, match[1])
			}
		})
	}
}

// visitKeys visits the TOML keys of a struct, as dotted paths, with their values.
func visitKeys(prefix string, value reflect.Value, visit func(key string, value any)) {
	for i := range value.NumField() {
		key, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("toml"), ",")
		switch field := value.Field(i); {
		case key == "" || key == "-":
		case field.Kind() == reflect.Struct:
			visitKeys(prefix+key+".", field, visit)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			visitKeys(prefix+key+".", reflect.New(field.Type().Elem()).Elem(), visit)
		default:
			visit(prefix+key, field.Interface())
		}
	}
}

// Guards against outdated defaults on the settings page, which an operator would
// notice only in an outage. A setting's row is "| `key` | default | ...".
func TestSettingsAreDocumentedWithTheirDefaults(t *testing.T) {
	page := readPage(t, "docs/SETTINGS.md")
	visitKeys("", reflect.ValueOf(settings.Default()), func(key string, value any) {
		want := fmt.Sprintf("| `%s` | %s |", key, defaultText(value))
		assert.Check(t, strings.Contains(page, want), "docs/SETTINGS.md has no row beginning %s", want)
	})
}

func defaultText(value any) string {
	if reflect.ValueOf(value).IsZero() {
		return "-"
	}
	if text, ok := value.(interface{ MarshalText() ([]byte, error) }); ok {
		raw, _ := text.MarshalText()
		return fmt.Sprintf("`\"%s\"`", raw)
	}
	return fmt.Sprintf("`%#v`", value)
}

func TestContractKeysAreDocumented(t *testing.T) {
	page := readPage(t, "docs/CONTRACTS.md")
	visitKeys("", reflect.ValueOf(contract.File{}), func(key string, _ any) {
		assert.Check(t, strings.Contains(page, "| `"+key+"` |"), "docs/CONTRACTS.md has no row for %s", key)
	})
}

// visitPages visits every page of the repository.
func visitPages(t *testing.T, visit func(path, text string)) {
	t.Helper()
	visitFile := func(path string) {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		visit(path, string(text))
	}
	walkFiles(t, "docs", ".md", visitFile)
	for _, name := range []string{"README.md", "CHANGELOG.md", "CONTRIBUTING.md"} {
		visitFile(filepath.Join(repoRoot, name))
	}
}

// commandPattern matches a command in a fenced block or in backquotes.
var commandPattern = regexp.MustCompile("(?m)(?:^\\s*(?:\\$ )?(?:bin/)?|`)(tamarackctl|tamarackload) ([^`\\n]*)")

func TestCommandsInPagesExist(t *testing.T) {
	roots := map[string]*cobra.Command{"tamarackctl": root.New(), "tamarackload": cli.New(cli.Dependencies{})}
	for _, tree := range roots {
		tree.InitDefaultHelpFlag()
		tree.InitDefaultCompletionCmd()
	}
	count := 0
	visitPages(t, func(path, text string) {
		for _, match := range commandPattern.FindAllStringSubmatch(strings.ReplaceAll(text, "\\\n", " "), -1) {
			count++
			checkCommand(t, path, roots[match[1]], match[2])
		}
	})
	assert.Check(t, count > 20, "%d commands found", count)
}

// shellEnd matches the rest of the line from where a shell would end the command.
var shellEnd = regexp.MustCompile(`[|>;&#].*`)

func checkCommand(t *testing.T, path string, tree *cobra.Command, line string) {
	t.Helper()
	words := strings.Fields(shellEnd.ReplaceAllString(line, ""))
	if len(words) == 0 {
		return
	}
	command, _, err := tree.Find(words[:1])
	if err != nil || command == tree {
		t.Errorf("%s shows %q: %s has no such subcommand", path, line, tree.Name())
		return
	}
	command.InitDefaultHelpFlag()
	for _, word := range words {
		name, ok := strings.CutPrefix(word, "--")
		name, _, _ = strings.Cut(name, "=")
		if ok && command.Flags().Lookup(strings.Trim(name, "[]()")) == nil {
			t.Errorf("%s shows %q: %s has no flag --%s", path, line, command.CommandPath(), name)
		}
	}
}

// Checks that each subcommand is shown on some page, and that its help has an example
// whose commands and flags exist.
func TestEveryCommandIsDocumented(t *testing.T) {
	var all strings.Builder
	visitPages(t, func(_, text string) { all.WriteString(text) })
	for _, tree := range []*cobra.Command{root.New(), cli.New(cli.Dependencies{})} {
		for _, command := range tree.Commands() {
			assert.Check(t, strings.Contains(all.String(), command.CommandPath()), "no page shows %s", command.CommandPath())
			assert.Check(t, command.Example != "", "%s has no example", command.CommandPath())
			for _, match := range commandPattern.FindAllStringSubmatch(command.Example, -1) {
				checkCommand(t, "the help of "+command.CommandPath(), tree, match[2])
			}
		}
	}
}

var linkPattern = regexp.MustCompile(`\]\(([^)#:\s]+)(?:#[^)]*)?\)`)

func TestLinkTargetsExist(t *testing.T) {
	visitPages(t, func(path, text string) {
		for _, match := range linkPattern.FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(path), match[1]))
			assert.Check(t, err == nil, "%s links to %s", path, match[1])
		}
	})
}

// Guards against an ablation whose expression no longer matches the code: it would measure
// nothing.
func TestAblationsMatchTheCode(t *testing.T) {
	output, err := exec.Command("../../scripts/ablation.sh", "--check").CombinedOutput()
	assert.NilError(t, err, "%s", output)
}
