package reporter

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against a page that lacks a metric or describes it in another way.
func TestPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	for _, m := range Metrics {
		row := fmt.Sprintf("| `%s_%s` | %s | %s | %s | %s |", prefix, m.Name, m.Kind, m.Unit, strings.Join(m.Tags, ", "), m.Help)
		if !strings.Contains(page, row) {
			t.Errorf("docs/metrics.md lacks the row\n%s", row)
		}
	}
}
