package executor

import (
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"gatetack/internal/http1"
)

const (
	loadReportHeader = "Endpoint-Load-Metrics"
	loadReportFormat = "TEXT " // name=value, name=value
)

// reportFromHeader parses the load report in an answer's header. It returns nil if there is none.
func (c *Client) reportFromHeader(message *http1.Message) []float32 {
	text := strings.TrimPrefix(message.Get(loadReportHeader), loadReportFormat)
	if text == "" {
		return nil
	}
	values := map[string]float64{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if number, err := strconv.ParseFloat(value, 64); err == nil {
			values[name] = number
		}
	}
	return c.names.LoadReport(func(name string) (float64, bool) {
		value, ok := values[name]
		return value, ok
	})
}

// reportFromJSON parses the load report in a JSON object. It returns nil if there is none.
func (c *Client) reportFromJSON(object gjson.Result) []float32 {
	if !object.IsObject() {
		return nil
	}
	return c.names.LoadReport(func(name string) (float64, bool) {
		value := object.Get(name)
		return value.Float(), value.Type == gjson.Number
	})
}
