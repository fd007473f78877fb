package measure

import (
	"bytes"
	"fmt"

	"github.com/tidwall/gjson"

	"gatetack/internal/node"
)

// listLine is a whole list of so many executors as discovery tells it, on one line.
func listLine(executors int) []byte {
	var line bytes.Buffer
	line.WriteString(`{"index":41,"snapshot":true,"endpoints":[`)
	for i := range executors {
		if i > 0 {
			line.WriteByte(',')
		}
		fmt.Fprintf(&line, `{"name":"s-%08x","address":"10.%d.%d.%d:8443","zone":"z%d","type":"m2","group":%d,"status":"ready","weight":1.0,"since_ms":0}`,
			i, i>>16, i>>8&255, i&255, i%zones, i/zones%cellsPerZone)
	}
	line.WriteString("]}\n")
	return line.Bytes()
}

// ListCost is what a whole list costs a process that reads it, without what the decision module does with it.
type ListCost struct {
	Bytes  float64
	Micros float64 // of processor time
}

// WholeList measures the reading of a whole list.
func WholeList(executors int) (ListCost, error) {
	line := listLine(executors)
	used, err := perOperation(func() error {
		list, err := node.ParseEndpointList(gjson.ParseBytes(line))
		if err == nil && len(list.Entries) != executors {
			return fmt.Errorf("measure: %d executors were read of %d", len(list.Entries), executors)
		}
		return err
	})
	return ListCost{Bytes: float64(len(line)), Micros: used.Seconds() * 1e6}, err
}
