package measure

import (
	"bytes"
	"fmt"

	"github.com/tidwall/gjson"

	"gatetack/internal/node"
)

// endpointListLine returns an endpoint list snapshot with the given number of executors as one line of the
// discovery watch.
func endpointListLine(executors int) []byte {
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

// ListCost is the cost of parsing an endpoint list snapshot, without the work of the decision module on it.
type ListCost struct {
	Bytes  float64
	Micros float64 // processor time
}

// ReadEndpointList measures the parsing of an endpoint list snapshot.
func ReadEndpointList(executors int) (ListCost, error) {
	line := endpointListLine(executors)
	used, err := perOperation(func() error {
		list, err := node.ParseEndpointList(gjson.ParseBytes(line))
		if err == nil && len(list.Entries) != executors {
			return fmt.Errorf("measure: the parsed list has %d executors, expected %d", len(list.Entries), executors)
		}
		return err
	})
	return ListCost{Bytes: float64(len(line)), Micros: used.Seconds() * 1e6}, err
}
