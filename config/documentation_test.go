package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readConfigurationPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	assert.NilError(t, err)
	return string(page)
}

// TestConfigurationPageExamples parses and validates each example of
// docs/CONFIGURATION.md as a whole document.
func TestConfigurationPageExamples(t *testing.T) {
	examples := regexp.MustCompile("(?s)```yaml\n(.*?)```").FindAllStringSubmatch(readConfigurationPage(t), -1)
	assert.Equal(t, len(examples), 6)
	for i, ex := range examples {
		sections, err := Parse(fmt.Sprintf("example-%d", i+1), []byte(ex[1]))
		assert.NilError(t, err)
		assert.NilError(t, Validate(sections))
	}
}

// documentedFields returns the table rows under a heading of the page, as cells by
// field name.
func documentedFields(t *testing.T, heading string) map[string][]string {
	t.Helper()
	_, rest, ok := strings.Cut(readConfigurationPage(t), "\n## "+heading+"\n")
	assert.Assert(t, ok, heading)
	part, _, _ := strings.Cut(rest, "\n## ")
	rows := map[string][]string{}
	for _, line := range strings.Split(part, "\n") {
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		if name, ok := strings.CutPrefix(cells[0], "`"); ok && len(cells) == 6 {
			rows[strings.TrimSuffix(name, "`")] = cells
		}
	}
	return rows
}

// TestConfigurationPageListsEveryField checks that the tables of the page list
// exactly the fields of the types, and the defaults of services as in the code.
func TestConfigurationPageListsEveryField(t *testing.T) {
	for heading, item := range map[string]any{
		"Data centres": DataCentre{}, "Workspaces": Workspace{}, "Keys": Key{}, "Services": Service{}, "Routes": Route{},
	} {
		rows := documentedFields(t, heading)
		typ := reflect.TypeOf(item)
		fields := 0
		for i := range typ.NumField() {
			if !typ.Field(i).IsExported() {
				continue
			}
			fields++
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("yaml"), ",")
			assert.Check(t, rows[name] != nil, "%s lacks %s", heading, name)
		}
		assert.Equal(t, len(rows), fields, heading)
	}
	const defaultColumn = 3
	defaults := reflect.ValueOf(Service{}.withDefaults())
	for i := range defaults.NumField() {
		name, optional, _ := strings.Cut(defaults.Type().Field(i).Tag.Get("yaml"), ",")
		if optional != "" {
			assert.Equal(t, documentedFields(t, "Services")[name][defaultColumn], fmt.Sprint(defaults.Field(i)), name)
		}
	}
}
