package reporter

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against a metric that docs/metrics.md lacks or describes differently.
func TestMetricsDoc(t *testing.T) {
	data, err := os.ReadFile("../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	doc := string(data)
	for _, m := range Metrics {
		row := fmt.Sprintf("| `%s_%s` | %s | %s | %s | %s |", metricPrefix, m.Name, m.Kind, m.Unit, strings.Join(m.Tags, ", "), m.Help)
		if !strings.Contains(doc, row) {
			t.Errorf("docs/metrics.md lacks the row\n%s", row)
		}
	}
}
